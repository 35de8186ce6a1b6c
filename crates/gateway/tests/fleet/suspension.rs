//! A router whose machine is suspended for seconds: its clock includes the suspension, but its
//! timers and sockets do not, and control and engines have continued meanwhile.

use crate::support::*;
use std::time::Duration;

/// Longer than the leader contact timeout, a request's timeout and the idle limit of connections.
const SUSPENDED: Duration = Duration::from_secs(20);

#[test]
fn resumed_router_is_disconnected_until_leader_contact() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert!(fleet.router.is_connected_to_leader());
        fleet.clock.simulate_suspend(SUSPENDED);
        assert!(!fleet.router.is_connected_to_leader(), "its last leader contact is too old");
        let router = fleet.router.clone();
        wait_until(|| router.is_connected_to_leader()).await;
        let response = fleet.ask("/once/1", "awake").await;
        assert_eq!(response.status, 200, "reconnected to the leader, it serves the first request");
    });
}

/// The route may have been added during the suspension, so 404 is not a valid response.
#[test]
fn unknown_route_is_not_final_while_disconnected() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_eq!(fleet.ask("/unknown/1", "in-touch").await.status, 404);
        let mut disconnected_requests = 0;
        while disconnected_requests < 5 {
            fleet.clock.simulate_suspend(SUSPENDED);
            let response = fleet.ask("/unknown/1", "awake").await;
            // A router that is disconnected now was also disconnected when it read the request.
            if !fleet.router.is_connected_to_leader() {
                assert_eq!(response.status, 503, "{response:?}");
                disconnected_requests += 1;
            }
        }
    });
}

/// The suspension counts towards the caller's timeout.
#[test]
fn interrupted_request_is_not_retried_after_its_timeout() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let restart_both = async {
            wait_until(|| fleet.runs() == 1).await;
            fleet.clock.simulate_suspend(SUSPENDED);
            fleet.engines.iter().for_each(|engine| engine.restart());
        };
        let (response, ()) = tokio::join!(fleet.ask("/again/1", "late"), restart_both);
        assert_eq!(response.status, 504, "{response:?}");
        assert_eq!(fleet.runs(), 1, "the caller's timeout has passed");
    });
}

/// Counterpart of the test above without a suspension: the request is retried.
#[test]
fn interrupted_request_is_retried_within_its_timeout() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Hang, Behaviour::Hang);
        let restart_both = async {
            wait_until(|| fleet.runs() == 1).await;
            fleet.set_behaviours(Behaviour::Respond, Behaviour::Respond);
            fleet.engines.iter().for_each(|engine| engine.restart());
        };
        let (response, ()) = tokio::join!(fleet.ask("/again/1", "in-time"), restart_both);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(fleet.runs(), 2);
    });
}

/// A backoff ends by the engine's clock, which includes the suspension.
#[test]
fn backoff_ends_during_a_long_suspension() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.backoff.set(Some(SUSPENDED / 2)));
        fleet.ask("/again/1", "first").await;
        let refused = fleet.ask("/again/1", "refused").await;
        assert!(refused.body.expect("a complete body").contains("engines_rest"));
        fleet.set_behaviours(Behaviour::Respond, Behaviour::Respond);
        fleet.clock.simulate_suspend(SUSPENDED);
        assert_eq!(fleet.ask("/again/1", "awake").await.status, 200);
    });
}

/// The reserve that is drawn on after each suspension must not exceed the budget.
#[test]
fn repeated_suspensions_do_not_overspend_a_budget() {
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
