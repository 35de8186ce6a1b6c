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
/// The link counts as congested for so long after the mean was last that high. A router that is not
/// ready gets few new connections to measure, so time alone has to end this.
const CONGESTED_FOR: Duration = Duration::from_secs(10);

/// Watches the time that new connections take.
#[derive(Debug, Default)]
pub struct Congestion {
    samples: Cell<u32>,
    mean: Cell<Duration>,
    congested_until: Cell<Option<Instant>>,
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
        if self.mean.get() < CONGESTED_FROM {
            return;
        }
        if !self.is_congested(now) {
            let mean_ms = self.mean.get().as_millis() as u64;
            log::info!(mean_connect_ms = mean_ms; "the own link is congested");
        }
        self.congested_until.set(Some(now + CONGESTED_FOR));
    }

    /// Whether the link is full.
    pub fn is_congested(&self, now: Instant) -> bool {
        self.congested_until.get().is_some_and(|until| now < until)
    }
}
