//! The clock is the one that counts time in suspension.

use rustix::time::{ClockId, clock_gettime};
use stackpost_clock::BootInstant;
use std::time::Duration;

fn reading(clock: ClockId) -> Duration {
    let reading = clock_gettime(clock);
    Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
}

/// Holds however long the machine has been suspended in its life: a reading lies between two of the
/// kernel's clock.
#[test]
fn it_reads_the_clock_that_goes_on_in_suspension() {
    let before = reading(ClockId::Boottime);
    let now = BootInstant::now().since_boot();
    let after = reading(ClockId::Boottime);
    assert!(before <= now && now <= after);
}

#[test]
fn time_never_runs_backwards() {
    let (first, second) = (BootInstant::now(), BootInstant::now());
    assert!(first <= second);
    assert_eq!(first.since(first + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((first + Duration::from_secs(1)).since(first), Duration::from_secs(1));
}
