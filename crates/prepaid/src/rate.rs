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

    /// Tokens per second since the beginning of the previous bucket, or the average if it is higher.
    /// It follows demand that has just begun within half a second.
    pub fn recent_per_second(&mut self, now: Timestamp) -> Tokens {
        let average = self.per_second(now);
        let Some(first) = self.first else {
            return average;
        };
        let previous = self.current.saturating_sub(1).max(first);
        let slot = |bucket: u64| self.buckets[(bucket % BUCKETS as u64) as usize];
        let total = (previous..=self.current).map(slot).sum::<u64>();
        let span = (now.0 - (previous * BUCKET.0).min(now.0)).max(BUCKET.0);
        average.max(Tokens(total.saturating_mul(1_000) / span))
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
