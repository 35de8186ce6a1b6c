//! Log lines that show which process learned when that an engine left.

use crate::support::lines::{capture_log_lines, log_lines_with};
use crate::support::*;
use stackpost_gateway_core::EngineState;

const ENGINE: &str = "an-engine-that-goes";

#[test]
fn routers_log_departures_and_control_logs_old_announcements() {
    capture_log_lines();
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = Engine::start(ENGINE).await;
        fleet.announce(&engine, 7, EngineState::Ready).await;
        wait_until(|| !log_lines_with("engine comes", "engine", &[ENGINE]).is_empty()).await;
        fleet.announce(&engine, 9, EngineState::Draining).await;
        fleet.announce(&engine, 8, EngineState::Draining).await;
        wait_until(|| !log_lines_with("engine goes", "engine", &[ENGINE]).is_empty()).await;
    });
    let departure = &log_lines_with("engine goes", "engine", &[ENGINE])[0];
    assert_eq!((departure["state"].as_str(), departure["sequence"].as_str()), ("draining", "9"));
    assert_eq!(departure["sent_since"], "0");
    assert_eq!((departure["in_flight"].as_str(), departure["unread"].as_str()), ("0", "0"));
    assert!(
        departure["peer"].contains('#') && departure["age_ms"].parse::<u64>().is_ok(),
        "{departure:?}"
    );
    // The first one is repeated under its number until it is acknowledged.
    let old = log_lines_with("announcement is old", "engine", &[ENGINE]);
    assert!(old.iter().any(|line| line["sequence"] == "8"), "{old:?}");
}
