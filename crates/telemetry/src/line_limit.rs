//! Rate limit for log lines that external peers can trigger.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Allows one line per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LineLimit {
    passed_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl LineLimit {
    /// Returns whether a line may be logged at `now`: the number of lines suppressed since the last
    /// one, or `None` if this one is suppressed too.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let too_soon = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.passed_at.get().is_some_and(too_soon) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.passed_at.set(Some(now));
        Some(self.suppressed.take())
    }
}
