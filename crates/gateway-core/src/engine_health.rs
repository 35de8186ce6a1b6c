//! The health of an engine as seen by one router's requests, and its ejection after failures.

use crate::engine_silence::EngineSilence;
use crate::unread_requests::UnreadRequests;
use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Duration of an engine's first ejection; doubled at each further one.
const INITIAL_EJECTION: Millis = Millis(1_500);
/// Limit on the doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 3;
/// Weight of the newest attempt in an engine's failure rate, in thousandths.
const FAILURE_WEIGHT_PERMILLE: u32 = 180;
/// Failure rate, in thousandths, from which an engine is ejected.
const EJECTION_THRESHOLD_PERMILLE: u32 = 380;
/// Failure rate, in thousandths, that an engine starts with after an ejection.
const POST_EJECTION_PERMILLE: u32 = 250;

/// Number of the newest requests to an engine whose send times are kept.
const MAX_RECENT_SENDS: usize = 64;

/// The outcomes of one router's requests to an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineHealth {
    /// Requests of this router that are in flight there.
    pub in_flight: u64,
    /// When the engine last rejected a request.
    pub rejected_at: Option<Timestamp>,
    failure_permille: u32,
    ejections: u32,
    /// End of the ejection.
    pub ejected_until: Option<Timestamp>,
    /// When the engine last responded.
    pub responded_at: Option<Timestamp>,
    /// How long nothing was received from it.
    pub silence: EngineSilence,
    /// Requests that it may not have read.
    pub unread: UnreadRequests,
    /// Send times of the newest requests, newest last.
    recent_sends: VecDeque<Timestamp>,
}

impl EngineHealth {
    pub fn on_sent(&mut self, now: Timestamp) {
        self.silence.on_sent(now);
        self.in_flight += 1;
        if self.recent_sends.len() == MAX_RECENT_SENDS {
            self.recent_sends.pop_front();
        }
        self.recent_sends.push_back(now);
    }

    pub fn on_ended(&mut self, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silence.on_idle(now);
        }
    }

    /// Number of requests sent later than `time`, among the newest [`MAX_RECENT_SENDS`].
    pub fn sent_since(&self, time: Timestamp) -> usize {
        self.recent_sends.iter().rev().take_while(|sent| **sent > time).count()
    }

    /// Records the end of a request whose outcome depended on the engine.
    pub fn record_outcome(&mut self, now: Timestamp, failed: bool) {
        let newest = if failed { 1_000 } else { 0 };
        let previous = self.failure_permille * (1_000 - FAILURE_WEIGHT_PERMILLE);
        self.failure_permille = (previous + newest * FAILURE_WEIGHT_PERMILLE) / 1_000;
        if self.failure_permille >= EJECTION_THRESHOLD_PERMILLE {
            self.eject(now);
        } else if !failed && self.failure_permille < POST_EJECTION_PERMILLE / 2 {
            self.ejections = 0;
        }
    }

    /// Ejects the engine. Failures during an ejection do not extend it: they come from requests
    /// that were already in flight when it began.
    pub fn eject(&mut self, now: Timestamp) {
        self.failure_permille = POST_EJECTION_PERMILLE;
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + Millis(INITIAL_EJECTION.0 << doublings));
        self.ejections += 1;
    }
}
