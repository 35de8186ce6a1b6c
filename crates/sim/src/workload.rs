//! Workloads: the requests of callers and their arrival rates.

use crate::callers::RequestPlan;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A random mix of request plans for runs with faults.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Callers a second.
    pub per_second: u64,
    /// Tenants to draw from.
    pub tenants: usize,
    /// Zones to draw from.
    pub zones: usize,
}

impl Workload {
    /// Draws a random plan.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> RequestPlan {
        let plain = rng.random_range(0..100) < 35;
        let tokens = rng.random_range(10..120);
        let keyed = rng.random_range(0..100) < 50;
        RequestPlan {
            tenant: rng.random_range(0..self.tenants),
            zone: rng.random_range(0..self.zones),
            plain,
            repeatable: !plain || rng.random_range(0..100) < 30,
            keyed,
            tokens,
            max_tokens: tokens + rng.random_range(0..100),
            leaves_after: (rng.random_range(0..100) < 8).then(|| rng.random_range(5..150)),
            resends_after: (keyed && rng.random_range(0..100) < 15)
                .then(|| rng.random_range(1..200)),
            retries: 4,
        }
    }
}

/// Request rate over time, for measuring false refusals.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Requests a second, by zone.
    pub per_second: Vec<f64>,
    /// Factor and period, in seconds, of bursts; `None`: a steady rate.
    pub burst: Option<(f64, u64)>,
}

impl Demand {
    /// Requests a second in a zone at the time `now`, in milliseconds.
    pub fn rate(&self, zone: usize, now: u64) -> f64 {
        let base = self.per_second[zone];
        match self.burst {
            // The burst takes one fifth of each period; the mean rate stays the same.
            Some((factor, period)) if (now / 1_000) % period < period / 5 => base * factor,
            Some((factor, _)) => base * (5.0 - factor).max(0.0) / 4.0,
            None => base,
        }
    }
}
