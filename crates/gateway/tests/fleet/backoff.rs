//! Engines that ask for a backoff, or announce their departure, in response headers.
//!
//! Guards against requests sent during a backoff. Four of twelve engines of one service rejected
//! every request for nine seconds, each time asking for a backoff of three seconds. A router still
//! sent requests to one of them 0.2 s, 0.7 s (twice) and 2.3 s after its first directive, and
//! callers were refused after two such attempts each, while eight engines had free capacity. The
//! directive applied to a single attempt only: it counted as one failure among others, and ejection
//! began with the third consecutive failure and lasted for a time of the router's own, so that
//! requests were sent again 1.5 s later.
//!
//! See `docs/incidents/2026-12-03-rests-not-kept.md`.

use crate::support::*;
use std::time::{Duration, Instant};

/// The backoff that engines ask for.
const BACKOFF: Duration = Duration::from_secs(3);
/// Requests already in flight may arrive up to this long after a directive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Interval between two requests of a test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that reached an engine during its backoff, after its first directive.
fn arrivals_in_backoff(engine: &Engine) -> usize {
    let arrived = engine.rejected_at.borrow();
    let Some(first) = arrived.first() else {
        return 0;
    };
    let in_backoff = |at: &Instant| (IN_FLIGHT_TIME..BACKOFF).contains(&at.duration_since(*first));
    arrived.iter().filter(|at| in_backoff(at)).count()
}

#[test]
fn backoff_of_an_engine_is_respected() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Respond);
        fleet.engines[0].backoff.set(Some(BACKOFF));
        let started = Instant::now();
        for number in 0.. {
            let response = fleet.ask("/again/1", &format!("rest-{number}")).await;
            assert_eq!(response.status, 200, "the other engine has free capacity");
            tokio::time::sleep(REQUEST_INTERVAL).await;
            if started.elapsed() > BACKOFF - REQUEST_INTERVAL {
                break;
            }
        }
        assert!(!fleet.engines[0].rejected_at.borrow().is_empty(), "the engine received a request");
        assert_eq!(arrivals_in_backoff(&fleet.engines[0]), 0);
    });
}

#[test]
fn backoff_is_respected_without_an_alternative() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.backoff.set(Some(BACKOFF)));
        fleet.ask("/again/1", "first").await;
        fleet.ask("/again/1", "second").await;
        let arrived = || -> usize {
            fleet.engines.iter().map(|engine| engine.rejected_at.borrow().len()).sum()
        };
        let before = arrived();
        for (number, path) in
            ["/once/1", "/again/1", "/stream/1", "/plain-stream/1"].iter().enumerate()
        {
            let response = fleet.ask(path, &format!("late-{number}")).await;
            assert_eq!(response.status, 503, "{path}");
            assert!(response.body.expect("a complete body").contains("\"not_run\""));
        }
        assert_eq!(arrived(), before, "no request was sent to an engine");
    });
}

#[test]
fn leaving_engine_receives_no_new_requests() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.engines[0].leaving.set(true);
        while fleet.engines[0].runs.borrow().is_empty() {
            fleet.ask("/once/1", &format!("before-{}", fleet.runs())).await;
        }
        for number in 0..20 {
            // The engine keeps announcing itself as ready, as one with delayed announcements does.
            fleet
                .announce(&fleet.engines[0], 2 + number, stackpost_gateway_core::EngineState::Ready)
                .await;
            fleet.ask("/once/1", &format!("after-{number}")).await;
        }
        assert_eq!(fleet.engines[0].runs.borrow().len(), 1);
        assert_eq!(fleet.engines[1].runs.borrow().len(), fleet.runs() - 1);
    });
}

/// The retry delay sent to a caller, in seconds.
fn retry_after(response: &CallerResponse) -> f64 {
    let value = response.headers.get("retry-after").expect("a retry-after header");
    value.to_str().expect("text").parse().expect("seconds")
}

#[test]
fn retry_delays_match_the_first_backoff_and_are_spread() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines[0].backoff.set(Some(BACKOFF));
        fleet.engines[1].backoff.set(Some(2 * BACKOFF));
        let first_request_at = Instant::now();
        fleet.ask("/again/1", "first").await;
        let mut delays = Vec::new();
        for number in 0..12 {
            let response = fleet.ask("/again/1", &format!("told-{number}")).await;
            assert!(response.body.as_ref().expect("a complete body").contains("engines_rest"));
            let (least, most) =
                (BACKOFF.saturating_sub(first_request_at.elapsed()), BACKOFF + IN_FLIGHT_TIME);
            let delay = retry_after(&response);
            assert!((least.as_secs_f64()..most.as_secs_f64()).contains(&delay), "{delay} s");
            delays.push((delay * 1_000.0) as u64);
        }
        delays.sort_unstable();
        delays.dedup();
        assert!(delays.len() > 6, "retry delays are not spread: {delays:?}");
    });
}

#[test]
fn no_tokens_are_reserved_while_no_engine_is_available() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.backoff.set(Some(BACKOFF)));
        fleet.ask("/again/1", "first").await;
        // Together the requests exceed the budget; none may be refused because of it.
        for number in 0..2 * PREPAID / (PROMPT + MAX_GENERATED) {
            let response = fleet.generate(&format!("unserved-{number}")).await;
            assert!(response.body.expect("a complete body").contains("engines_rest"));
        }
        fleet.set_behaviours(Behaviour::Respond, Behaviour::Respond);
        wait_until_served(&fleet).await;
    });
}

/// Waits until a generation is served.
async fn wait_until_served(fleet: &Fleet) {
    let mut number = 0;
    wait_until_async(async || {
        number += 1;
        fleet.generate(&format!("served-{number}")).await.status == 200
    })
    .await;
}

#[test]
fn stream_is_not_resumed_at_an_engine_in_backoff() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Respond);
        fleet.engines[0].backoff.set(Some(BACKOFF));
        while fleet.engines[0].rejected_at.borrow().is_empty() {
            fleet.ask("/again/1", &format!("before-{}", fleet.runs())).await;
        }
        fleet.engines[1].behaviour.set(Behaviour::Truncate);
        let response = fleet.ask("/stream/1", "stream").await;
        assert!(response.body.is_err(), "no engine can resume the stream: {response:?}");
        assert_eq!(fleet.engines[0].rejected_at.borrow().len(), 1);
    });
}

#[test]
fn stream_at_a_leaving_engine_completes() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.leave(fleet.engines[1].name.id()).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        fleet.engines[0].leaving.set(true);
        let response = fleet.ask("/plain-stream/1", "stream").await;
        assert_eq!(
            response.body,
            Ok(all_events()),
            "the engine announces its departure in the head of this response"
        );
        let response = fleet.ask("/plain-stream/1", "next").await;
        assert_eq!(response.status, 503);
        assert!(response.body.expect("a complete body").contains("no_engine"));
    });
}
