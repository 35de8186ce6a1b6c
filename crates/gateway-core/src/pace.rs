//! Spaces the requests that a router admits, at the rate of its capacity.
//!
//! Random arrivals at the rate that engines can serve fill their short queues now and then, which
//! costs urgent requests their attempts. Evenly spaced ones leave the slots as busy with fewer
//! rejections.

use stackpost_types::Timestamp;

/// Time whose requests may be admitted at once after a pause, in seconds. Half of it refuses requests
/// although the demand is only as high as the capacity; twice of it lets bursts through that fill
/// the engines' queues.
const BURST_S: f64 = 0.1;
/// Requests that may be admitted at once at least: at some ten requests per second, closer limits
/// refuse random arrivals without shortening the engines' queues.
const MIN_BURST: f64 = 4.0;

/// Requests that may be admitted now, at a rate that the caller states.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    room: f64,
    filled_at: Timestamp,
}

impl Pace {
    /// Adds the room that has accrued at `rate` requests per second.
    pub fn fill(&mut self, now: Timestamp, rate: f64) {
        let seconds = now.since(self.filled_at).0 as f64 / 1_000.0;
        self.filled_at = now;
        let burst = (BURST_S * rate).max(MIN_BURST);
        self.room = (self.room + seconds * rate).clamp(-burst, burst);
    }

    /// Whether a request may be admitted.
    pub fn has_room(&self) -> bool {
        self.room >= 1.0
    }

    /// Uses room, whether there is any or not: the most urgent requests are not delayed.
    pub fn take(&mut self, requests: f64) {
        self.room -= requests;
    }
}
