//! Log lines that external peers can trigger are rate limited, and the suppressed ones are counted.

use stackpost_telemetry::LineLimit;
use std::time::{Duration, Instant};

#[test]
fn one_line_per_second_passes_and_the_others_are_counted() {
    let (limit, start) = (LineLimit::default(), Instant::now());
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    assert_eq!(limit.pass(at(0)), Some(0));
    assert_eq!(limit.pass(at(10)), None);
    assert_eq!(limit.pass(at(999)), None);
    assert_eq!(limit.pass(at(1_000)), Some(2));
    assert_eq!(limit.pass(at(5_000)), Some(0));
}
