//! One budget, several routers of one zone.

use crate::support::{Fleet, PREPAID, PROMPT, TOKENS_PER_EVENT, run_local};

/// Routers in addition to the first one.
const OTHER_ROUTERS: usize = 4;
const ENGINES: usize = 2;
/// Consecutive refusals after which the budget counts as exhausted.
const REFUSALS_WHEN_EXHAUSTED: usize = 12;

/// With an account at every router, five primaries and reserves would share tokens for ten
/// requests.
#[test]
fn several_routers_exhaust_but_never_exceed_a_budget() {
    run_local(async {
        let fleet = Fleet::start().await;
        let mut others = Vec::new();
        for _ in 0..OTHER_ROUTERS {
            let router = fleet.add_router().await;
            router.ready(ENGINES).await;
            others.push(router);
        }
        let cost = PROMPT + 8 * TOKENS_PER_EVENT;
        let (mut served, mut consecutive_refusals) = (0, 0);
        for number in 0.. {
            let id = format!("g{number}");
            let response = match number % (OTHER_ROUTERS + 1) {
                0 => fleet.generate(&id).await,
                other => others[other - 1].generate(&id).await,
            };
            if response.status == 200 {
                served += 1;
                consecutive_refusals = 0;
            } else {
                assert_eq!(response.status, 429);
                consecutive_refusals += 1;
            }
            if consecutive_refusals == REFUSALS_WHEN_EXHAUSTED {
                break;
            }
        }
        assert!(served * cost <= PREPAID, "{served} requests of {cost}");
        assert!((served + 1) * cost * 100 > PREPAID * 97, "only {served} requests of {cost}");
    });
}
