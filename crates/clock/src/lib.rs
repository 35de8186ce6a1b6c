//! The clock used for leases, rights and ages.
//!
//! A machine may be suspended for seconds. Its monotonic clock, which `std::time::Instant` and
//! timers use, stops meanwhile, while the clocks of other machines keep running: after resuming, a
//! leader would still consider its lease valid, and a router would consider its last contact with
//! the leader recent. [`BootInstant`] reads `CLOCK_BOOTTIME`, which counts the time in suspension
//! and never jumps. It measures every time that another process relies on; the monotonic clock is
//! used only for timers, which may be late, and for measurements.

use rustix::time::{ClockId, clock_gettime};
use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A reading of a clock that starts with the boot of the machine and counts time in suspension.
/// Readings from different boots can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        let reading = clock_gettime(ClockId::Boottime);
        // The kernel never returns a negative reading, and the nanoseconds are below one second.
        Self(Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32))
    }

    /// Time since the machine booted.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from `self` to now.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

/// The clock that all parts of one process read: the machine's clock plus an offset that tests can
/// increase. Clones share the offset.
#[derive(Clone, Debug, Default)]
pub struct MachineClock {
    /// Offset from the machine's clock, in milliseconds.
    offset_ms: Arc<AtomicU64>,
}

impl MachineClock {
    /// The current time.
    pub fn now(&self) -> BootInstant {
        BootInstant::now() + Duration::from_millis(self.offset_ms.load(Ordering::Relaxed))
    }

    /// Time since `earlier`.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        self.now().since(earlier)
    }

    /// Advances the clock as a suspension of the machine would: timers and sockets do not notice
    /// the time.
    pub fn simulate_suspend(&self, time: Duration) {
        self.offset_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}
