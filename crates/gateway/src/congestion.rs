//! Tells when this machine's own link is full.
//!
//! The balancer sends each caller to one router, so one large caller can fill the link of its
//! router while others stand idle. Packets then wait, which shows first in the time that new
//! connections to engines take: one round trip, whichever engine it is. A congested router says
//! that it is not ready, and new connections go to others; what is open is served on.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Weight of the newest connection in the mean.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Connections before the mean says anything.
const LEAST_SAMPLES: u32 = 40;
/// Mean time to connect from which the link is congested.
const CONGESTED_FROM: Duration = Duration::from_millis(60);
/// Mean time to connect below which it no longer is.
const CLEAR_BELOW: Duration = Duration::from_millis(15);
/// How long the mean has to stay below that.
const CLEAR_FOR: Duration = Duration::from_millis(1_000);

/// Watches the time that new connections take.
#[derive(Debug, Default)]
pub struct Congestion {
    samples: Cell<u32>,
    mean: Cell<Duration>,
    congested: Cell<bool>,
    clear_since: Cell<Option<Instant>>,
}

impl Congestion {
    /// Notes that a connection has come up after `took`.
    pub fn on_connected(&self, now: Instant, took: Duration) {
        self.samples.set(self.samples.get().saturating_add(1));
        let kept = self.mean.get().mul_f64(1.0 - NEWEST_WEIGHT);
        self.mean.set(kept + took.mul_f64(NEWEST_WEIGHT));
        if self.samples.get() < LEAST_SAMPLES {
            return;
        }
        if self.mean.get() >= CONGESTED_FROM {
            self.clear_since.set(None);
            self.set_congested(true);
        } else if self.mean.get() >= CLEAR_BELOW {
            self.clear_since.set(None);
        } else if self.has_been_clear(now) {
            self.set_congested(false);
        }
    }

    /// Whether the link is full.
    pub fn is_congested(&self) -> bool {
        self.congested.get()
    }

    fn has_been_clear(&self, now: Instant) -> bool {
        let since = self.clear_since.get().unwrap_or(now);
        self.clear_since.set(Some(since));
        now.duration_since(since) >= CLEAR_FOR
    }

    fn set_congested(&self, congested: bool) {
        if self.congested.replace(congested) != congested {
            let mean_ms = self.mean.get().as_millis() as u64;
            log::info!(congested = congested, mean_connect_ms = mean_ms; "state of the own link");
        }
    }
}
