//! Detects congestion of this machine's own network link.
//!
//! The balancer sends each caller to one router, so one large caller can saturate the link of its
//! router while others are idle. Packets then queue, which shows first in the time to establish new
//! connections to engines: one round trip, whichever engine it is. A congested router reports that
//! it is not ready, so new connections go to others; open connections are still served.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Weight of the latest connection in the moving average.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Number of connections before the mean is used.
const MIN_SAMPLES: u32 = 40;
/// Mean time to connect from which the link counts as congested.
const CONGESTED_CONNECT_TIME: Duration = Duration::from_millis(60);
/// Time for which the link counts as congested after the mean was last that high. A router that is
/// not ready gets few new connections to measure, so the state has to end by time alone.
const CONGESTED_FOR: Duration = Duration::from_secs(10);

/// Tracks the time that new connections take.
#[derive(Debug, Default)]
pub struct Congestion {
    samples: Cell<u32>,
    mean: Cell<Duration>,
    congested_until: Cell<Option<Instant>>,
}

impl Congestion {
    /// Records that a connection was established after `took`.
    pub fn on_connected(&self, now: Instant, took: Duration) {
        self.samples.set(self.samples.get().saturating_add(1));
        let previous = self.mean.get().mul_f64(1.0 - NEWEST_WEIGHT);
        self.mean.set(previous + took.mul_f64(NEWEST_WEIGHT));
        if self.samples.get() < MIN_SAMPLES {
            return;
        }
        if self.mean.get() < CONGESTED_CONNECT_TIME {
            return;
        }
        if !self.is_congested(now) {
            let mean_ms = self.mean.get().as_millis() as u64;
            log::info!(mean_connect_ms = mean_ms; "network link of this machine is congested");
        }
        self.congested_until.set(Some(now + CONGESTED_FOR));
    }

    /// Whether the link is congested.
    pub fn is_congested(&self, now: Instant) -> bool {
        self.congested_until.get().is_some_and(|until| now < until)
    }
}
