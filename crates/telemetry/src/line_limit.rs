//! A bound on log lines that outsiders can bring about.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Shortest time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Lets one line pass a second and counts the others.
#[derive(Debug, Default)]
pub struct LineLimit {
    passed_at: Cell<Option<Instant>>,
    held_back: Cell<u64>,
}

impl LineLimit {
    /// Asks for a line at `now`. Returns how many were held back since the last one, if it may pass.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        let too_soon = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.passed_at.get().is_some_and(too_soon) {
            self.held_back.set(self.held_back.get() + 1);
            return None;
        }
        self.passed_at.set(Some(now));
        Some(self.held_back.take())
    }
}
