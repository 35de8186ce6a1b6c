//! A router whose machine is suspended for seconds and wakes up: its clock has gone on, its timers and sockets have
//! seen nothing of the time, and control and engines have gone on without it.

use crate::support::*;
use std::time::Duration;

/// Longer than a leader may be silent, a request may take, and a connection is kept.
const SUSPENDED: Duration = Duration::from_secs(20);

#[test]
fn a_router_that_wakes_is_out_of_touch_until_it_hears_the_leader() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert!(fleet.router.is_connected_to_leader());
        fleet.clock.simulate_suspend(SUSPENDED);
        assert!(!fleet.router.is_connected_to_leader(), "its last contact is long past");
        let router = fleet.router.clone();
        wait_until(|| router.is_connected_to_leader()).await;
        let got = fleet.ask("/once/1", "awake").await;
        assert_eq!(got.status, 200, "in touch again, it serves the first request");
    });
}

/// What it does not know may have come while it was suspended, so it is no final answer.
#[test]
fn a_route_that_is_not_known_is_not_denied_out_of_touch() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.ask("/unknown/1", "in-touch").await.status, 404);
        let mut asked_out_of_touch = 0;
        while asked_out_of_touch < 5 {
            fleet.clock.simulate_suspend(SUSPENDED);
            let got = fleet.ask("/unknown/1", "awake").await;
            // The leader may have been heard before the request was read, not the other way round.
            if !fleet.router.is_connected_to_leader() {
                assert_eq!(got.status, 503, "{got:?}");
                asked_out_of_touch += 1;
            }
        }
    });
}

/// The caller's time has gone on as well.
#[test]
fn a_request_under_way_is_not_sent_again_after_its_time() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let break_both = async {
            wait_until(|| fleet.runs() == 1).await;
            fleet.clock.simulate_suspend(SUSPENDED);
            fleet.engines.iter().for_each(|engine| engine.restart());
        };
        let (got, ()) = tokio::join!(fleet.ask("/again/1", "late"), break_both);
        assert_eq!(got.status, 504, "{got:?}");
        assert_eq!(fleet.runs(), 1, "nobody waits for it any more");
    });
}

/// Without a suspension the same request is sent again: what the test above sees is the clock.
#[test]
fn a_request_under_way_is_sent_again_within_its_time() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let break_both = async {
            wait_until(|| fleet.runs() == 1).await;
            fleet.set_behaviours(Behaviour::Answer, Behaviour::Answer);
            fleet.engines.iter().for_each(|engine| engine.restart());
        };
        let (got, ()) = tokio::join!(fleet.ask("/again/1", "in-time"), break_both);
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(fleet.runs(), 2);
    });
}

/// A rest is over when the engine's clock says so, which has gone on.
#[test]
fn what_an_engine_asked_for_before_is_over_after_a_long_suspension() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.backoff.set(Some(SUSPENDED / 2)));
        fleet.ask("/again/1", "first").await;
        let refused = fleet.ask("/again/1", "refused").await;
        assert!(refused.body.expect("whole").contains("engines_rest"));
        fleet.set_behaviours(Behaviour::Answer, Behaviour::Answer);
        fleet.clock.simulate_suspend(SUSPENDED);
        assert_eq!(fleet.ask("/again/1", "awake").await.status, 200);
    });
}

/// However often it is suspended, and whatever it then draws on its reserve, a tenant gets no more than it has paid for.
#[test]
fn a_router_that_is_suspended_again_and_again_spends_no_more_than_was_paid_for() {
    run_local(async {
        let fleet = Fleet::start().await;
        let (mut served, mut refused) = (0, 0);
        for number in 0.. {
            if number % 7 == 0 {
                fleet.clock.simulate_suspend(SUSPENDED / 4);
            }
            match fleet.generate(&format!("paid-{number}")).await.status.as_u16() {
                200 => served += 1,
                _ => refused += 1,
            }
            if refused > 20 {
                break;
            }
        }
        let spent = served * (PROMPT + 8 * TOKENS_PER_EVENT);
        assert!(served > 0 && spent <= PREPAID, "{served} served, {spent} tokens");
    });
}
