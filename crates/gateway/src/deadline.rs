//! The deadline of a request, on two clocks.

use stackpost_clock::{BootInstant, MachineClock};
use std::time::Duration;
use tokio::time::Instant;

/// The deadline of a request. Timers use the monotonic clock. The timeout sent to an engine, and
/// the decision on another attempt, use the clock that includes suspensions of the machine, as the
/// caller's does.
#[derive(Clone, Debug)]
pub(crate) struct Deadline {
    timer: Instant,
    expires_at: BootInstant,
    clock: MachineClock,
}

impl Deadline {
    /// A deadline `wait` from now.
    pub fn after(wait: Duration, clock: MachineClock) -> Self {
        Self { timer: Instant::now() + wait, expires_at: clock.now() + wait, clock }
    }

    /// The deadline for timers.
    pub fn timer(&self) -> Instant {
        self.timer
    }

    /// The time left.
    pub fn remaining(&self) -> Duration {
        self.expires_at.since(self.clock.now())
    }

    /// Whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        self.remaining().is_zero()
    }
}
