//! Panics under a request.

use crate::support::*;

/// Guards against a caller whose connection ends without an answer because of a panic.
#[test]
fn caller_is_answered_after_a_panic_and_others_are_served() {
    run_local(async {
        let fleet = Fleet::start().await;
        replace_engines(&fleet, 1, |request| {
            let id = request.id();
            // The codec of the tests panics on a backoff that is no number.
            let backoff = if id == "panics" { "rest: none\r\n" } else { "" };
            Script::kept(format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\n{backoff}content-length: 2\r\n\r\nok"
            ))
        })
        .await;
        let response = fleet.ask("/once/1", "panics").await;
        assert_eq!(response.status, 502);
        assert!(response.body.expect("whole").contains("unknown"));
        assert_eq!(fleet.ask("/once/1", "others").await.body.as_deref(), Ok("ok"));
    });
}
