//! One budget, several routers of a zone.

use crate::support::{Fleet, PREPAID, PROMPT, TOKENS_PER_EVENT, run_local};

/// Routers beside the first one.
const OTHERS: usize = 4;
const ENGINES: usize = 2;
/// Refusals in a row after which the budget counts as spent.
const REFUSED_AT_ITS_END: usize = 12;

/// With an account at every router five hands and reserves share ten requests' worth of tokens.
#[test]
fn several_routers_spend_one_budget_to_its_end_and_never_beyond() {
    run_local(async {
        let fleet = Fleet::start().await;
        let mut others = Vec::new();
        for _ in 0..OTHERS {
            let router = fleet.add_router().await;
            router.ready(ENGINES).await;
            others.push(router);
        }
        let cost = PROMPT + 8 * TOKENS_PER_EVENT;
        let (mut served, mut refused_in_a_row) = (0, 0);
        for number in 0.. {
            let id = format!("g{number}");
            let got = match number % (OTHERS + 1) {
                0 => fleet.generate(&id).await,
                other => others[other - 1].generate(&id).await,
            };
            if got.status == 200 {
                served += 1;
                refused_in_a_row = 0;
            } else {
                assert_eq!(got.status, 429);
                refused_in_a_row += 1;
            }
            if refused_in_a_row == REFUSED_AT_ITS_END {
                break;
            }
        }
        assert!(served * cost <= PREPAID, "{served} requests of {cost}");
        assert!((served + 1) * cost * 100 > PREPAID * 97, "only {served} requests of {cost}");
    });
}
