//! Requests after a stall of the process.

use proptest::prelude::*;
use stackpost_gateway_core::StallGuard;
use stackpost_types::{Millis, Timestamp};

const START: Timestamp = Timestamp(10_000);
const STALL: Millis = Millis(1_000);
const HOLD: Millis = Millis(500);
const BACKLOG_TIME: Millis = Millis(100);

/// A guard of a process that has stalled, and when it resumed.
fn resumed() -> (StallGuard, Timestamp) {
    let (mut guard, resumed_at) = (StallGuard::default(), START + STALL);
    assert_eq!(guard.on_run(START), None);
    assert_eq!(guard.on_run(resumed_at), Some(STALL));
    (guard, resumed_at)
}

#[test]
fn requests_are_held_until_the_state_is_current() {
    let (mut guard, resumed_at) = resumed();
    assert_eq!(guard.hold_time(resumed_at), Some(HOLD));
    guard.on_current(resumed_at + BACKLOG_TIME);
    assert_eq!(guard.hold_time(resumed_at + BACKLOG_TIME), None);
}

#[test]
fn statement_of_the_leader_from_before_the_stall_does_not_count() {
    let (mut guard, resumed_at) = resumed();
    guard.on_current(resumed_at + Millis(BACKLOG_TIME.0 - 1));
    assert_eq!(guard.hold_time(resumed_at + BACKLOG_TIME), Some(Millis(400)));
}

#[test]
fn requests_are_not_held_longer_without_a_leader() {
    let (guard, resumed_at) = resumed();
    assert_eq!(guard.hold_time(resumed_at + Millis(HOLD.0 - 1)), Some(Millis(1)));
    assert_eq!(guard.hold_time(resumed_at + HOLD), None);
}

#[test]
fn second_stall_holds_requests_again() {
    let (mut guard, resumed_at) = resumed();
    guard.on_current(resumed_at + BACKLOG_TIME);
    let resumed_again_at = resumed_at + BACKLOG_TIME + STALL;
    guard.on_run(resumed_again_at);
    assert_eq!(guard.hold_time(resumed_again_at), Some(HOLD));
}

proptest! {
    /// Guards against a delay of requests on a calm day.
    #[test]
    fn process_that_runs_never_holds_requests(pauses in prop::collection::vec(0..STALL.0, 1..50)) {
        let mut guard = StallGuard::default();
        let mut now = START;
        for pause in pauses {
            prop_assert_eq!(guard.on_run(now), None);
            prop_assert_eq!(guard.hold_time(now), None);
            now = now + Millis(pause);
        }
    }
}
