//! Holds requests back after this process stood still, until its state is current again.
//!
//! The leader acknowledges departures without a router that it has not heard for some time. When
//! that router runs again, requests and the updates that it missed are read in any order.

use stackpost_types::{Millis, Timestamp};

/// A process that did not run for this long has stalled. The leader waits for routers that were
/// silent for less.
const STALL_LIMIT: Millis = Millis(1_000);
/// Time in which the updates that arrived during a stall are read.
const BACKLOG_TIME: Millis = Millis(100);
/// Longest time for which requests are held back. Without a leader the router then goes on with what
/// it knows.
const MAX_HOLD: Millis = Millis(500);

/// Watches for stalls of the process.
#[derive(Clone, Debug, Default)]
pub struct StallGuard {
    last_run: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
}

impl StallGuard {
    /// Records that the process runs. Called regularly, and before any other method. Returns for how
    /// long it stood still, if it has stalled.
    pub fn on_run(&mut self, now: Timestamp) -> Option<Millis> {
        let paused_for = now.since(self.last_run.replace(now)?);
        if paused_for < STALL_LIMIT {
            return None;
        }
        self.resumed_at = Some(now);
        Some(paused_for)
    }

    /// Records that this router has all that the leader has stated to be committed. A statement that
    /// is read shortly after a stall may have been made before it.
    pub fn on_current(&mut self, now: Timestamp) {
        if self.resumed_at.is_some_and(|resumed_at| now.since(resumed_at) >= BACKLOG_TIME) {
            self.resumed_at = None;
        }
    }

    /// Remaining time for which requests are held back at most; `None` if they may be sent.
    pub fn hold_time(&self, now: Timestamp) -> Option<Millis> {
        let held_for = now.since(self.resumed_at?);
        (held_for < MAX_HOLD).then(|| Millis(MAX_HOLD.0 - held_for.0))
    }
}
