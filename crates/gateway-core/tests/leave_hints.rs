//! Engines that may be leaving, judged by their responses.

use stackpost_gateway_core::LeaveHints;
use stackpost_types::{BackEndName, Millis, Timestamp};

const START: Timestamp = Timestamp(10_000);

#[test]
fn engine_may_leave_until_its_next_response_or_for_some_time() {
    let (closing, other) = (BackEndName::new("closing"), BackEndName::new("other"));
    let mut hints = LeaveHints::default();
    hints.on_response(START, &closing, true);
    hints.on_response(START, &other, false);
    assert!(hints.may_leave(START, &closing) && !hints.may_leave(START, &other));
    let later = START + Millis(1_000);
    hints.on_response(later, &closing, false);
    assert!(!hints.may_leave(later, &closing), "it serves on");
    hints.on_response(later, &closing, true);
    assert!(hints.may_leave(later + Millis(1_999), &closing));
    assert!(!hints.may_leave(later + Millis(2_000), &closing), "an engine that serves is lost");
}
