//! The clock on which leases, rights and ages rest.
//!
//! A machine may be suspended for seconds. Its monotonic clock, which `std::time::Instant` and timers use,
//! stands still meanwhile, while everyone else's goes on: a leader that wakes would hold its lease for
//! valid, a router would take its last contact with the leader for a moment ago. [`BootInstant`] reads
//! `CLOCK_BOOTTIME`, which counts that time and never jumps. Whatever another process rests on is measured
//! by it; the other clock remains for timers, which may be late, and for figures.

use rustix::time::{ClockId, clock_gettime};
use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A moment in the life of this machine, by a clock that goes on while it is suspended. Moments of two
/// lives of a machine can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// This moment.
    pub fn now() -> Self {
        let reading = clock_gettime(ClockId::Boottime);
        // The kernel never gives a negative reading, and the nanoseconds are below a second.
        Self(Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32))
    }

    /// Time since the machine started.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to this moment; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time since this moment.
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

/// Where the parts of one process read the time: the machine's clock, which tests may move on. Clones read the same one.
#[derive(Clone, Debug, Default)]
pub struct MachineClock {
    /// Time that this clock is ahead of the machine's, in milliseconds.
    ahead: Arc<AtomicU64>,
}

impl MachineClock {
    /// This moment.
    pub fn now(&self) -> BootInstant {
        BootInstant::now() + Duration::from_millis(self.ahead.load(Ordering::Relaxed))
    }

    /// Time since `earlier`.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        self.now().since(earlier)
    }

    /// Moves the clock on as a suspension of the machine does: timers and sockets have seen nothing of the time.
    pub fn simulate_suspend(&self, time: Duration) {
        self.ahead.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }
}
