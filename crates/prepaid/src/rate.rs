//! Demand on a tenant's budget in tokens per second.

use stackpost_types::{Millis, Timestamp, Tokens};

/// Time span of one bucket.
const BUCKET: Millis = Millis(500);
/// Buckets over which the rate is averaged.
const BUCKETS: usize = 8;

/// Smallest number of buckets over which the rate is averaged, so that the first requests do not
/// give an excessive rate.
const MIN_BUCKETS: u64 = 6;

/// Tokens requested per second, averaged over the last four seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandRate {
    buckets: [u64; BUCKETS],
    current: u64,
    first: Option<u64>,
}

impl DemandRate {
    /// Records a request for `amount`.
    pub fn record(&mut self, now: Timestamp, amount: Tokens) {
        self.advance(now);
        let slot = (self.current as usize) % BUCKETS;
        self.buckets[slot] = self.buckets[slot].saturating_add(amount.0);
    }

    /// Tokens per second.
    pub fn per_second(&mut self, now: Timestamp) -> Tokens {
        self.advance(now);
        let Some(first) = self.first else {
            return Tokens::ZERO;
        };
        let span = (self.current - first + 1).min(BUCKETS as u64);
        let total: u64 = self.buckets.iter().sum();
        Tokens(total.saturating_mul(1_000) / (span.max(MIN_BUCKETS) * BUCKET.0))
    }

    fn advance(&mut self, now: Timestamp) {
        let bucket = now.0 / BUCKET.0;
        if self.first.is_none() {
            self.first = Some(bucket);
            self.current = bucket;
            return;
        }
        let passed = bucket.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=passed {
            let slot = ((bucket - passed + step) as usize) % BUCKETS;
            self.buckets[slot] = 0;
        }
        self.current = self.current.max(bucket);
    }
}
