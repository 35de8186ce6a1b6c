//! The line that tells afterwards what an engine asked for as it turned a request away, and whether the
//! router knew of an earlier wish.

use crate::support::lines::{capture_log_lines, log_lines_of_requests};
use crate::support::*;
use std::time::Duration;

const REQUESTS: [&str; 2] = ["away-1", "away-2"];

#[test]
fn what_an_engine_asks_for_stands_in_the_line() {
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
    let asked =
        lines.iter().find(|line| line["engine"] == "e1").expect("it was asked first or second");
    assert_eq!(asked["rest_ms"], "3000");
    assert_eq!((asked["status"].as_str(), asked["standing"].as_str()), ("503", "good"));
    assert!(asked["turned_away_before_ms"].parse::<u64>().is_err(), "it was the first time");
    let again =
        lines.iter().filter(|line| line["engine"] == "e2").nth(1).expect("it asked for no rest");
    assert!(again["turned_away_before_ms"].parse::<u64>().is_ok(), "{again:?}");
}
