//! `BootInstant` reads the clock that counts time in suspension.

use rustix::time::{ClockId, clock_gettime};
use stackpost_clock::BootInstant;
use std::time::Duration;

fn reading(clock: ClockId) -> Duration {
    let reading = clock_gettime(clock);
    Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
}

/// A reading is between two readings of the kernel's clock, however long the machine has been
/// suspended since boot.
#[test]
fn now_reads_the_clock_that_counts_suspension() {
    let before = reading(ClockId::Boottime);
    let now = BootInstant::now().since_boot();
    let after = reading(ClockId::Boottime);
    assert!(before <= now && now <= after);
}

#[test]
fn time_never_goes_backwards() {
    let (first, second) = (BootInstant::now(), BootInstant::now());
    assert!(first <= second);
    assert_eq!(first.since(first + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((first + Duration::from_secs(1)).since(first), Duration::from_secs(1));
}
