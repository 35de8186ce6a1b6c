//! A token bucket that hands out what an engine takes.

use stackpost_types::{Millis, RequestRate, Timestamp};

/// Millionths of a request; what accrues in a millisecond at one request in a thousand seconds.
const ONE_REQUEST: u64 = 1_000_000;
/// What may gather beside one request while nobody asks: the requests of so long. Evens out arrivals by lot, and is
/// far less than engines bear in a few seconds.
const GATHERING: Millis = Millis(250);
/// An engine that nobody has been allowed to ask for so long may be asked once, however low its rate: only an answer
/// can tell that its statement has ended.
const LONGEST_SILENCE: Millis = Millis(10_000);
/// The same for an engine that takes nothing: it will take something sooner or later, and all of it is lost until then.
const LONGEST_SILENCE_AT_ZERO: Millis = Millis(4_000);

/// Requests that may be sent to one engine. It begins empty: what another router has handed out lately is not known here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateBucket {
    /// Millionths of a request.
    level: u64,
    filled_at: Timestamp,
    /// When a request was last let go, or the bucket began.
    taken_at: Timestamp,
}

impl RateBucket {
    /// An empty bucket.
    pub fn new(now: Timestamp) -> Self {
        Self { level: 0, filled_at: now, taken_at: now }
    }

    /// Adds what has accrued at `rate` up to now.
    pub fn fill(&mut self, now: Timestamp, rate: RequestRate) {
        let accrued = now.since(self.filled_at).0.saturating_mul(rate.milli_rps());
        let most = ONE_REQUEST + GATHERING.0 * rate.milli_rps();
        self.level = self.level.saturating_add(accrued).min(most);
        self.filled_at = now.max(self.filled_at);
    }

    /// Time from `now` until a request may be sent, after [`Self::fill`].
    pub fn wait(&self, now: Timestamp, rate: RequestRate) -> Millis {
        if self.level >= ONE_REQUEST {
            return Millis(0);
        }
        let longest =
            if rate == RequestRate::ZERO { LONGEST_SILENCE_AT_ZERO } else { LONGEST_SILENCE };
        let silence_ends = (self.taken_at + longest).since(now);
        let lacking = ONE_REQUEST - self.level;
        let accrues = lacking.checked_div(rate.milli_rps());
        accrues.map_or(silence_ends, |time| Millis(time + 1).min(silence_ends))
    }

    /// Lets one request go, after [`Self::wait`] has said that it may.
    pub fn take(&mut self, now: Timestamp) {
        self.level = self.level.saturating_sub(ONE_REQUEST);
        self.taken_at = now;
    }
}
