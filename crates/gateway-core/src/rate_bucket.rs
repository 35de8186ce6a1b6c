//! A token bucket that issues permits at the rate an engine states.

use stackpost_types::{Millis, RequestRate, Timestamp};

/// Millionths of a request, the unit of the bucket: at 0.001 requests per second one accrues per
/// millisecond.
const UNITS_PER_REQUEST: u64 = 1_000_000;
/// Burst beyond one request, as the time for which unused permits accumulate. Smooths random
/// arrivals, and is far below the load that engines tolerate within a few seconds.
const BURST_TIME: Millis = Millis(250);
/// Time after which an engine may be sent one request, however low its rate: only a response can
/// show that the rate limit has ended.
const MAX_PERMIT_INTERVAL: Millis = Millis(10_000);
/// The same for an engine with a rate of zero: shorter, because the engine will accept requests
/// again at some time and its whole capacity is lost until that is noticed.
const MAX_PERMIT_INTERVAL_AT_ZERO: Millis = Millis(4_000);

/// Requests that may be sent to one engine. It starts empty, because the permits that another
/// router has issued recently are not known here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateBucket {
    /// Millionths of a request.
    level: u64,
    filled_at: Timestamp,
    /// When the last permit was taken, or the bucket was created.
    taken_at: Timestamp,
}

impl RateBucket {
    /// Creates an empty bucket.
    pub fn new(now: Timestamp) -> Self {
        Self { level: 0, filled_at: now, taken_at: now }
    }

    /// Adds the permits accrued at `rate` up to now.
    pub fn fill(&mut self, now: Timestamp, rate: RequestRate) {
        let accrued = now.since(self.filled_at).0.saturating_mul(rate.milli_rps());
        let capacity = UNITS_PER_REQUEST + BURST_TIME.0 * rate.milli_rps();
        self.level = self.level.saturating_add(accrued).min(capacity);
        self.filled_at = now.max(self.filled_at);
    }

    /// Time from `now` until a request may be sent; valid after [`Self::fill`].
    pub fn wait(&self, now: Timestamp, rate: RequestRate) -> Millis {
        if self.level >= UNITS_PER_REQUEST {
            return Millis(0);
        }
        let max_interval = if rate == RequestRate::ZERO {
            MAX_PERMIT_INTERVAL_AT_ZERO
        } else {
            MAX_PERMIT_INTERVAL
        };
        let max_wait = (self.taken_at + max_interval).since(now);
        let missing = UNITS_PER_REQUEST - self.level;
        let accrual_time = missing.checked_div(rate.milli_rps());
        accrual_time.map_or(max_wait, |time| Millis(time + 1).min(max_wait))
    }

    /// Takes one permit; valid if [`Self::wait`] has returned zero.
    pub fn take(&mut self, now: Timestamp) {
        self.level = self.level.saturating_sub(UNITS_PER_REQUEST);
        self.taken_at = now;
    }
}
