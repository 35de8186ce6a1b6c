//! Requests through a router on real sockets.

use crate::support::*;
use stackpost_coordinator::{AnnouncementError, PutReply};
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::time::Duration;

#[test]
fn an_answer_comes_back_unchanged_and_the_key_stays_here() {
    run_local(async {
        let fleet = Fleet::start().await;
        let got = fleet.ask("/once/1", "a").await;
        assert_eq!(got.status, 200);
        assert_eq!(got.body.as_deref(), Ok("an answer"));
        assert_eq!(got.headers["signature"], "s");
        assert_eq!(got.headers["x-own"], "kept");
        assert_eq!(fleet.runs(), 1);
        assert!(fleet.engines.iter().all(|engine| engine.keys_seen.get() == 0));
    });
}

#[test]
fn unknown_routes_and_keys_are_refused_without_an_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.ask("/nowhere/1", "a").await.status, 404);
        let wrong = fleet.ask_with("/once/1", &[("id", "b"), ("key", "wrong")]).await;
        assert_eq!(wrong.status, 401);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn what_may_have_run_is_never_sent_again_unless_it_may_repeat() {
    for behaviour in [Behaviour::DropConnection, Behaviour::AnswerOtherRequest, Behaviour::Truncate]
    {
        run_local(async move {
            let fleet = Fleet::start().await;
            fleet.set_behaviours(behaviour, behaviour);
            let got = fleet.ask("/once/1", "a").await;
            assert_eq!(got.status, 502, "{behaviour:?}");
            assert!(got.body.expect("whole").contains("\"unknown\""));
            assert_eq!(fleet.runs(), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn what_may_repeat_is_sent_to_another_engine_once() {
    for behaviour in [
        Behaviour::DropConnection,
        Behaviour::AnswerOtherRequest,
        Behaviour::Truncate,
        Behaviour::ServerError,
    ] {
        run_local(async move {
            let fleet = Fleet::start().await;
            fleet.set_behaviours(behaviour, behaviour);
            let got = fleet.ask("/again/1", "a").await;
            let expected = if behaviour == Behaviour::ServerError { 500 } else { 502 };
            assert_eq!(got.status, expected, "{behaviour:?}");
            assert_eq!(fleet.runs(), 2, "at most two attempts, {behaviour:?}");
            fleet.set_behaviours(behaviour, Behaviour::Answer);
            for number in 0..6 {
                let got = fleet.ask("/again/1", &format!("b{number}")).await;
                assert_eq!(got.status, 200, "{behaviour:?}");
            }
        });
    }
}

#[test]
fn engines_that_turn_a_request_away_prove_that_it_did_not_run() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        let got = fleet.ask("/once/1", "a").await;
        assert_eq!(got.status, 503);
        assert!(got.headers.contains_key("retry-after"));
        assert!(got.body.expect("whole").contains("\"not_run\""));
        assert_eq!(fleet.runs(), 0);
        fleet.set_behaviours(Behaviour::Full, Behaviour::Answer);
        assert_eq!(fleet.ask("/once/1", "b").await.status, 200);
    });
}

#[test]
fn a_resumable_stream_goes_on_at_another_engine_without_a_seam() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Answer);
        for number in 0..6 {
            let got = fleet.ask("/stream/1", &format!("s{number}")).await;
            assert_eq!(got.status, 200);
            assert_eq!(got.body, Ok(all_events()));
        }
        let resumed = fleet.engines[1].runs.borrow().iter().any(|(_, after)| *after == Some(3));
        assert!(resumed, "the second engine was asked to go on after the third event");
    });
}

/// What a request believes of an engine belongs to one life of it: the next one under the same id may take
/// the stream up, though the request was sent to that id before.
#[test]
fn a_stream_goes_on_at_the_next_life_of_its_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = fleet.engines[0].clone();
        fleet.leave(fleet.engines[1].name.id()).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        engine.behaviour.set(Behaviour::Stall);
        let restart = async {
            wait_until(|| fleet.runs() == 1).await;
            engine.behaviour.set(Behaviour::Answer);
            let next = BackEndName::of_incarnation(engine.name.id(), Some(7));
            let notice = fleet.notice(&engine, 1, EngineState::Ready);
            let next = EngineNotice { engine: next, ..notice };
            fleet.control.announce(next).await.expect("an engine");
            // What control says later has come once the router knows this one and has forgotten it again.
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
        let (got, ()) = tokio::join!(fleet.ask("/stream/1", "s"), restart);
        assert_eq!(got.body, Ok(all_events()));
        assert_eq!(engine.runs.borrow().len(), 2, "once in each life");
    });
}

#[test]
fn a_stream_that_breaks_off_does_not_look_complete() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Truncate);
        let got = fleet.ask("/plain-stream/1", "s").await;
        assert!(got.body.is_err(), "{got:?}");
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn a_caller_that_leaves_ends_the_run() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let asking = fleet.ask("/once/1", "a");
        let left = tokio::time::timeout(Duration::from_millis(200), asking).await;
        assert!(left.is_err(), "the engine does not answer");
        let router = fleet.router.clone();
        wait_until(|| router.in_flight_requests() == 0).await;
    });
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    run_local(async {
        let fleet = Fleet::start().await;
        let headers = [("id", "a"), ("key", "ferry-key"), ("content-length", "5000")];
        assert_eq!(fleet.ask_with("/once/1", &headers).await.status, 413);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn a_prepaid_budget_is_spent_to_its_end_and_never_beyond() {
    run_local(async {
        let fleet = Fleet::start().await;
        let cost = PROMPT + 8 * TOKENS_PER_EVENT;
        let mut served = 0;
        let mut refused_in_a_row = 0;
        while refused_in_a_row < 8 {
            let got = fleet.generate(&format!("g{served}-{refused_in_a_row}")).await;
            if got.status == 200 {
                served += 1;
                refused_in_a_row = 0;
            } else {
                assert_eq!(got.status, 429);
                assert!(got.headers.contains_key("retry-after"));
                refused_in_a_row += 1;
            }
        }
        assert!(served * cost <= PREPAID, "{served} requests of {cost}");
        assert!(served * cost * 100 >= PREPAID * 90, "only {served} requests of {cost}");
    });
}

#[test]
fn an_announcement_that_names_no_engine_of_the_fleet_changes_nothing() {
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
fn an_engine_that_drains_gets_nothing_new() {
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
fn a_newer_configuration_reaches_the_router_and_an_older_one_changes_nothing() {
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
fn a_planned_stop_ends_what_is_under_way_and_gives_the_budget_back() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.generate("g1").await.status, 200);
        fleet.router.begin_drain();
        assert!(!fleet.router.is_ready());
        let got = fleet.ask("/once/1", "late").await;
        assert_eq!(got.status, 200, "callers that still come are served");
        assert_eq!(got.headers["connection"], "close");
        fleet.server.drain(Duration::from_secs(8)).await;
        let got = fleet.ask("/once/1", "too-late").await;
        assert_eq!(got.status, 503, "a stream that begins now might be cut off");
        assert_eq!(fleet.runs(), 2);
        fleet.link.report_final_usage(Duration::from_secs(5)).await;
    });
}
