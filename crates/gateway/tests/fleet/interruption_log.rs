//! The lines that tell afterwards which requests engines broke off, and which of them are the same.

use crate::support::lines::{Fields, capture_log_lines, log_lines_of_requests};
use crate::support::*;

/// Requests of this test alone: the logger is shared by the whole program.
const REQUESTS: [&str; 7] =
    ["lost-1", "lost-2", "lost-3", "broken-1", "broken-2", "ended-1", "ended-2"];

#[test]
fn a_request_that_comes_again_is_told_from_others() {
    capture_log_lines();
    run_local(async {
        let fleet = Fleet::start().await;
        let second = fleet.add_router().await;
        second.ready(fleet.engines.len()).await;
        fleet.set_behaviours(Behaviour::DropConnection, Behaviour::DropConnection);
        fleet.ask("/once/first", "lost-1").await;
        second.ask("/once/first", "lost-2").await;
        fleet.ask("/once/second", "lost-3").await;
        fleet.set_behaviours(Behaviour::Truncate, Behaviour::Truncate);
        fleet.ask("/plain-stream/1", "broken-1").await;
        fleet.ask("/once/third", "broken-2").await;
        for (point, id) in CrashPoint::ALL.into_iter().zip(["ended-1", "ended-2"]) {
            fleet.ask(&format!("/plain-stream/{}", point.path_segment()), id).await;
        }
    });
    let own: Vec<Fields> = log_lines_of_requests("the engine broke off", &REQUESTS);
    let field = |name: &str| own.iter().map(|line| line[name].clone()).collect::<Vec<_>>();
    assert_eq!(field("request"), REQUESTS);
    let steps = ["head", "head", "head", "stream", "body", "head", "first_event"];
    assert_eq!(field("step"), steps);
    let fingerprints = field("fingerprint");
    assert_eq!(fingerprints[0], fingerprints[1], "the same, under another id at another router");
    assert_ne!(fingerprints[0], fingerprints[2]);
    assert!(own.iter().all(|line| line["engine"].starts_with('e')));
}
