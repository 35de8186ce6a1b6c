//! Requests through a router over real sockets.

use crate::support::*;
use stackpost_coordinator::{AnnouncementError, PutReply};
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::time::Duration;

#[test]
fn response_is_unchanged_and_the_key_is_not_forwarded() {
    run_local(async {
        let fleet = Fleet::start().await;
        let response = fleet.ask("/once/1", "a").await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body.as_deref(), Ok("an answer"));
        assert_eq!(response.headers["signature"], "s");
        assert_eq!(response.headers["x-own"], "kept");
        assert_eq!(fleet.runs(), 1);
        assert!(fleet.engines.iter().all(|engine| engine.keys_seen.get() == 0));
    });
}

#[test]
fn unknown_routes_and_keys_reach_no_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.ask("/nowhere/1", "a").await.status, 404);
        let wrong = fleet.ask_with("/once/1", &[("id", "b"), ("key", "wrong")]).await;
        assert_eq!(wrong.status, 401);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for behaviour in
        [Behaviour::DropConnection, Behaviour::RespondToOtherRequest, Behaviour::Truncate]
    {
        run_local(async move {
            let fleet = Fleet::start().await;
            fleet.set_behaviours(behaviour, behaviour);
            let response = fleet.ask("/once/1", "a").await;
            assert_eq!(response.status, 502, "{behaviour:?}");
            assert!(response.body.expect("a complete body").contains("\"unknown\""));
            assert_eq!(fleet.runs(), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn idempotent_request_is_retried_once_at_another_engine() {
    for behaviour in [
        Behaviour::DropConnection,
        Behaviour::RespondToOtherRequest,
        Behaviour::Truncate,
        Behaviour::ServerError,
    ] {
        run_local(async move {
            let fleet = Fleet::start().await;
            fleet.set_behaviours(behaviour, behaviour);
            let response = fleet.ask("/again/1", "a").await;
            let expected = if behaviour == Behaviour::ServerError { 500 } else { 502 };
            assert_eq!(response.status, expected, "{behaviour:?}");
            assert_eq!(fleet.runs(), 2, "two attempts, {behaviour:?}");
            fleet.set_behaviours(behaviour, Behaviour::Respond);
            for number in 0..6 {
                let response = fleet.ask("/again/1", &format!("b{number}")).await;
                assert_eq!(response.status, 200, "{behaviour:?}");
            }
        });
    }
}

#[test]
fn rejected_request_counts_as_not_run() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        let response = fleet.ask("/once/1", "a").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        assert!(response.body.expect("a complete body").contains("\"not_run\""));
        assert_eq!(fleet.runs(), 0);
        fleet.set_behaviours(Behaviour::Full, Behaviour::Respond);
        assert_eq!(fleet.ask("/once/1", "b").await.status, 200);
    });
}

#[test]
fn interrupted_stream_resumes_seamlessly_at_another_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Respond);
        for number in 0..6 {
            let response = fleet.ask("/stream/1", &format!("s{number}")).await;
            assert_eq!(response.status, 200);
            assert_eq!(response.body, Ok(all_events()));
        }
        let resumed = fleet.engines[1].runs.borrow().iter().any(|(_, after)| *after == Some(3));
        assert!(resumed, "the second engine resumed after the third event");
    });
}

/// The record of tried engines applies to one incarnation: the next one under the same id may
/// resume the stream, though the request was sent to that id before.
#[test]
fn stream_resumes_at_the_next_incarnation_of_its_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = fleet.engines[0].clone();
        fleet.leave(fleet.engines[1].name.id()).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        engine.behaviour.set(Behaviour::Stall);
        let restart = async {
            wait_until(|| fleet.runs() == 1).await;
            engine.behaviour.set(Behaviour::Respond);
            let next = BackEndName::of_incarnation(engine.name.id(), Some(7));
            let notice = fleet.notice(&engine, 1, EngineState::Ready);
            let next = EngineNotice { engine: next, ..notice };
            fleet.control.announce(next).await.expect("an engine");
            // Updates arrive in order: once the router has learned of this engine and removed it
            // again, it has also received the next incarnation.
            let other = fleet.notice(&fleet.engines[1], 1, EngineState::Ready);
            fleet
                .control
                .announce(EngineNotice { engine: "e3".into(), ..other })
                .await
                .expect("an engine");
            wait_until(|| fleet.router.ready_engine_count() == 2).await;
            fleet.leave("e3").await;
            wait_until(|| fleet.router.ready_engine_count() == 1).await;
            engine.restart();
        };
        let (response, ()) = tokio::join!(fleet.ask("/stream/1", "s"), restart);
        assert_eq!(response.body, Ok(all_events()));
        assert_eq!(engine.runs.borrow().len(), 2, "one run in each incarnation");
    });
}

#[test]
fn interrupted_stream_does_not_look_complete() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Truncate);
        let response = fleet.ask("/plain-stream/1", "s").await;
        assert!(response.body.is_err(), "{response:?}");
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn caller_disconnect_cancels_the_request() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let asking = fleet.ask("/once/1", "a");
        let left = tokio::time::timeout(Duration::from_millis(200), asking).await;
        assert!(left.is_err(), "the engine sends no response");
        let router = fleet.router.clone();
        wait_until(|| router.in_flight_requests() == 0).await;
    });
}

#[test]
fn too_large_body_is_refused() {
    run_local(async {
        let fleet = Fleet::start().await;
        let headers = [("id", "a"), ("key", "ferry-key"), ("content-length", "5000")];
        assert_eq!(fleet.ask_with("/once/1", &headers).await.status, 413);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn prepaid_budget_is_exhausted_but_never_exceeded() {
    run_local(async {
        let fleet = Fleet::start().await;
        let cost = PROMPT + 8 * TOKENS_PER_EVENT;
        let mut served = 0;
        let mut consecutive_refusals = 0;
        while consecutive_refusals < 8 {
            let response = fleet.generate(&format!("g{served}-{consecutive_refusals}")).await;
            if response.status == 200 {
                served += 1;
                consecutive_refusals = 0;
            } else {
                assert_eq!(response.status, 429);
                assert!(response.headers.contains_key("retry-after"));
                consecutive_refusals += 1;
            }
        }
        assert!(served * cost <= PREPAID, "{served} requests of {cost}");
        assert!(served * cost * 100 >= PREPAID * 90, "only {served} requests of {cost}");
    });
}

#[test]
fn announcements_of_unknown_engines_change_nothing() {
    run_local(async {
        let fleet = Fleet::start().await;
        let genuine = fleet.notice(&fleet.engines[0], 2, EngineState::Ready);
        let other_service = EngineNotice { service: "others".into(), ..genuine.clone() };
        let other_engine = EngineNotice { engine: "foreign".into(), ..other_service.clone() };
        for notice in [other_service, other_engine] {
            let refused = fleet.control.announce(notice).await;
            assert_eq!(refused, Err(AnnouncementError::UnknownService));
        }
        assert_eq!(fleet.control.announce(genuine).await, Ok(()));
        for number in 0..6 {
            assert_eq!(fleet.ask("/once/1", &format!("f{number}")).await.status, 200);
        }
        assert_eq!(fleet.router.ready_engine_count(), 2);
    });
}

#[test]
fn draining_engine_receives_no_new_requests() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.announce(&fleet.engines[0], 2, EngineState::Draining).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        for number in 0..6 {
            assert_eq!(fleet.ask("/once/1", &format!("d{number}")).await.status, 200);
        }
        assert_eq!(fleet.engines[0].runs.borrow().len(), 0);
    });
}

#[test]
fn only_newer_configurations_are_applied() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.control.put_document(b"3".as_slice().into()).await, PutReply::Accepted);
        wait_until(|| fleet.router.configuration_version() == 3).await;
        assert_eq!(fleet.control.put_document(b"2".as_slice().into()).await, PutReply::Accepted);
        assert!(matches!(
            fleet.control.put_document(b"none".as_slice().into()).await,
            PutReply::Invalid(_)
        ));
        assert_eq!(fleet.router.configuration_version(), 3);
    });
}

#[test]
fn planned_shutdown_completes_requests_and_returns_tokens() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.generate("g1").await.status, 200);
        fleet.router.begin_drain(Duration::from_secs(8));
        assert!(!fleet.router.is_ready());
        let response = fleet.ask("/once/1", "late").await;
        assert_eq!(response.status, 200, "callers that still connect are served");
        assert_eq!(response.headers["connection"], "close");
        fleet.server.drain(Duration::from_secs(8)).await;
        let response = fleet.ask("/once/1", "too-late").await;
        assert_eq!(response.status, 503, "a stream that starts now might be cut off");
        assert_eq!(fleet.runs(), 2);
        fleet.link.report_final_usage(Duration::from_secs(5)).await;
    });
}
