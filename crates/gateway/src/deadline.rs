//! When the time of a request is over, on both clocks.

use stackpost_clock::{BootInstant, MachineClock};
use std::time::Duration;
use tokio::time::Instant;

/// The end of a request's time. Timers wait for it on the monotonic clock; what an engine is told, and
/// whether another attempt makes sense, rests on the clock that goes on while the machine is suspended: the
/// caller's does.
#[derive(Clone, Debug)]
pub(crate) struct Deadline {
    timer: Instant,
    over: BootInstant,
    clock: MachineClock,
}

impl Deadline {
    /// `wait` from now on.
    pub fn after(wait: Duration, clock: MachineClock) -> Self {
        Self { timer: Instant::now() + wait, over: clock.now() + wait, clock }
    }

    /// The moment for timers.
    pub fn timer(&self) -> Instant {
        self.timer
    }

    /// What is left of the time.
    pub fn remaining(&self) -> Duration {
        self.over.since(self.clock.now())
    }

    /// Whether the time is over.
    pub fn is_expired(&self) -> bool {
        self.remaining().is_zero()
    }
}
