//! The lines that tell afterwards which process knew when that an engine left.

use crate::support::lines::{capture_log_lines, log_lines_with};
use crate::support::*;
use stackpost_gateway_core::EngineState;

const ENGINE: &str = "an-engine-that-goes";

#[test]
fn routers_say_when_an_engine_comes_and_goes_and_control_says_what_was_old() {
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
    let went = &log_lines_with("engine goes", "engine", &[ENGINE])[0];
    assert_eq!((went["state"].as_str(), went["sequence"].as_str()), ("draining", "9"));
    assert_eq!(went["sent_since"], "0");
    assert!(went["peer"].contains('#') && went["age_ms"].parse::<u64>().is_ok(), "{went:?}");
    let old = &log_lines_with("announcement is old", "engine", &[ENGINE])[0];
    assert_eq!(old["sequence"], "8");
}
