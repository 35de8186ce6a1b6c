//! Log line that shows which rate limit an engine stated, when, and for which request.

use crate::support::lines::{capture_log_lines, log_lines_of_requests};
use crate::support::*;

const REQUESTS: [&str; 3] = ["rate-1", "rate-2", "rate-3"];

#[test]
fn changes_of_a_stated_rate_are_logged() {
    capture_log_lines();
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Respond, Behaviour::Full);
        for (rate, id) in [Some(200.0), Some(100.5), None].into_iter().zip(REQUESTS) {
            fleet.engines[0].rate.set(rate);
            while fleet.ask("/once/1", id).await.status != 200 {}
        }
    });
    let lines = log_lines_of_requests("engine states its rate", &REQUESTS);
    let rates: Vec<(&str, &str)> =
        lines.iter().map(|line| (line["rate_before"].as_str(), line["rate"].as_str())).collect();
    assert_eq!(rates, [("None", "200.000"), ("200.000", "100.500"), ("100.500", "None")]);
    assert!(lines.iter().all(|line| line["engine"] == "e1"));
    assert!(lines.iter().all(|line| line["sent_before_ms"].parse::<u64>().is_ok()));
}
