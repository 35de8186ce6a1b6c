//! Engines that are silent for a second or so and go on.

use crate::support::*;
use hyper::StatusCode;
use std::time::Duration;

/// How long an engine may be silent without being disrupted: "a second or so".
const SILENCE: Duration = Duration::from_millis(2_000);

#[test]
fn connections_to_engines_outlast_a_silence_of_two_seconds() {
    run_local(async {
        let fleet = Fleet::start().await;
        let dialer = CuttableDialer::new();
        let router = fleet.add_router_with(dialer.clone()).await;
        router.ready(fleet.engines.len()).await;
        assert_eq!(router.ask("/once/1", "r").await.status, StatusCode::OK);
        let options = dialer.last_options().expect("a connection was opened");
        // A connection breaks after this time without an acknowledgement, whether of data or of
        // keepalive probes.
        let timeout = options.user_timeout.expect("a timeout is set");
        assert!(timeout > SILENCE, "{timeout:?}");
    });
}

#[test]
fn request_at_an_engine_that_falls_silent_is_answered_when_it_goes_on() {
    run_local(async {
        let fleet = Fleet::start().await;
        let dialer = CuttableDialer::new();
        let router = fleet.add_router_with(dialer.clone()).await;
        router.ready(fleet.engines.len()).await;
        dialer.set(Cut::None);
        let callers = router.callers;
        let runs = fleet.runs();
        let waiting =
            tokio::task::spawn_local(
                async move { ask_as_caller(callers, "/once/1", "patient").await },
            );
        wait_until(|| dialer.opened.get() > 0).await;
        dialer.set(Cut::Silent);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        dialer.set(Cut::None);
        let response = waiting.await.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(fleet.runs() - runs, 1);
    });
}
