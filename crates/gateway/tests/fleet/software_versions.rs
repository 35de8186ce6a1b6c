//! Streams of a service whose engines run two software versions.

use crate::support::*;
use std::time::Duration;

/// Headers of a request that resumes a stream after its third event.
fn resumption<'a>(id: &'a str, first_id: &'a str) -> [(&'a str, &'a str); 4] {
    [("id", id), ("key", KEY), ("resumes", first_id), ("after", "3")]
}

#[test]
fn interrupted_stream_is_not_resumed_at_another_software_version() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v2"]).await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Truncate);
        for number in 0..6 {
            let response = fleet.ask("/stream/1", &format!("s{number}")).await;
            assert!(response.body.is_err(), "no engine can resume the stream: {response:?}");
        }
        assert_eq!(fleet.runs(), 6);
    });
}

#[test]
fn stream_of_another_router_is_resumed_at_its_software_version() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v2"]).await;
        let other = fleet.add_router().await;
        other.ready(2).await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Truncate);
        for number in 0..6 {
            let (first_id, id) = (format!("s{number}"), format!("r{number}"));
            assert!(fleet.ask("/stream/1", &first_id).await.body.is_err());
            let response = other.ask_with("/stream/1", &resumption(&id, &first_id)).await;
            assert_eq!(response.status, 200);
            let ran =
                |engine: &Engine, id: &str| engine.runs.borrow().iter().any(|run| run.0 == id);
            for engine in &fleet.engines {
                assert_eq!(ran(engine, &first_id), ran(engine, &id), "stream {number}");
            }
        }
    });
}

#[test]
fn stream_whose_software_version_is_unknown_is_not_resumed() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v2"]).await;
        let response = fleet.ask_with("/stream/1", &resumption("r", "unknown")).await;
        assert_eq!(response.status, 503);
        assert!(response.body.expect("a complete body").contains("stream_unknown"));
        let unnamed = [("id", "r2"), ("key", KEY), ("after", "3")];
        assert_eq!(fleet.ask_with("/stream/1", &unnamed).await.status, 503);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn stream_without_an_engine_of_its_software_version_is_refused() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v2"]).await;
        assert_eq!(fleet.ask("/stream/1", "s").await.status, 200);
        let (began, other) = match fleet.engines[0].runs.borrow().is_empty() {
            true => (&fleet.engines[1], &fleet.engines[0]),
            false => (&fleet.engines[0], &fleet.engines[1]),
        };
        fleet.leave(began.name.id()).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        let response = fleet.ask_with("/stream/1", &resumption("r", "s")).await;
        assert_eq!(response.status, 503);
        assert!(response.body.expect("a complete body").contains("no_engine_of_version"));
        assert!(other.runs.borrow().is_empty());
    });
}

#[test]
fn caller_that_resumes_a_stream_gets_no_event_twice() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Restart, Behaviour::Restart);
        assert_eq!(fleet.ask("/stream/1", "s").await.status, 200);
        let response = fleet.ask_with("/stream/1", &resumption("r", "s")).await;
        let body = response.body.expect("a complete body");
        assert!(!body.contains("id: 3") && body.contains("id: 4"), "{body}");
    });
}

/// A request that resumes a stream without naming the attempt that began it.
const UNNAMED: [(&str, &str); 3] = [("id", "r"), ("key", KEY), ("after", "3")];

/// Guards against a stream that goes on at another version because the router missed that there
/// are two.
#[test]
fn router_that_was_out_of_step_does_not_take_the_versions_it_knows_for_all() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v1"]).await;
        // Longer than the longest stream, so that the engines have been known for that long.
        fleet.clock.simulate_suspend(Duration::from_secs(11));
        let response = fleet.ask_with("/stream/1", &UNNAMED).await;
        assert_eq!(response.status, 503);
        assert!(response.body.expect("a complete body").contains("stream_unknown"));
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn router_in_step_resumes_a_stream_of_the_only_version() {
    run_local(async {
        let fleet = Fleet::start_with_software(["v1", "v1"]).await;
        // The engines must have been known for as long as a stream may last.
        let started = std::time::Instant::now();
        while fleet.ask_with("/stream/1", &UNNAMED).await.status != 200 {
            assert!(started.elapsed() < CONDITION_TIMEOUT, "never resumed");
        }
        assert_eq!(fleet.runs(), 1);
    });
}
