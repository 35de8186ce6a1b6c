//! Log line that shows what an engine asked for when it rejected a request, and whether the router
//! knew of an earlier directive.

use crate::support::lines::{capture_log_lines, log_lines_of_requests};
use crate::support::*;
use std::time::Duration;

const REQUESTS: [&str; 2] = ["away-1", "away-2"];

#[test]
fn rejections_and_backoffs_are_logged() {
    capture_log_lines();
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines[0].backoff.set(Some(Duration::from_secs(3)));
        fleet.engines[1].backoff.set(None);
        for id in REQUESTS {
            fleet.ask("/once/1", id).await;
        }
    });
    let lines = log_lines_of_requests("attempt failed: not run", &REQUESTS);
    let rejection =
        lines.iter().find(|line| line["engine"] == "e1").expect("e1 rejected one of the requests");
    assert_eq!(rejection["rest_ms"], "3000");
    assert_eq!((rejection["status"].as_str(), rejection["standing"].as_str()), ("503", "good"));
    assert!(rejection["turned_away_before_ms"].parse::<u64>().is_err(), "its first rejection");
    let second_rejection = lines
        .iter()
        .filter(|line| line["engine"] == "e2")
        .nth(1)
        .expect("e2 asked for no backoff and rejected both requests");
    assert!(
        second_rejection["turned_away_before_ms"].parse::<u64>().is_ok(),
        "{second_rejection:?}"
    );
}
