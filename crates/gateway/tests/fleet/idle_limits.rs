//! Engines that state how long they keep an idle connection.

use crate::support::*;

/// Guards against a whole response that is lost because the stated time can't be computed with.
#[test]
fn response_is_delivered_whatever_idle_time_its_engine_states() {
    run_local(async {
        for seconds in ["0", "4294967295", "9223372036854775807", "18446744073709551616", "-1", ""]
        {
            let fleet = Fleet::start().await;
            replace_engines(&fleet, 1, move |request| {
                let id = request.id();
                Script::kept(format!(
                    "HTTP/1.1 200 OK\r\nid: {id}\r\nkeep-alive: timeout={seconds}\r\ncontent-length: 2\r\n\r\nok"
                ))
            })
            .await;
            for id in ["r-0-0", "r-0-1"] {
                let response = fleet.ask("/once/1", id).await;
                assert_eq!(response.body.as_deref(), Ok("ok"), "timeout={seconds}");
            }
        }
    });
}
