//! How an engine has fared with one router's requests, and for how long it is avoided because of that.

use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// First time for which a failing engine is avoided; doubled at each further one.
const FIRST_EJECTION: Millis = Millis(1_500);
/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 3;
/// Weight of the newest attempt in an engine's failure rate, in thousandths.
const FAILURE_WEIGHT: u32 = 180;
/// Failure rate, in thousandths, from which an engine is avoided.
const FAILURE_LIMIT: u32 = 380;
/// Failure rate an engine is given back with after it was avoided.
const PROBATION_RATE: u32 = 250;

/// Newest requests to an engine whose times are kept.
const SENDS_KEPT: usize = 64;

/// What one router's requests show of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineHealth {
    /// Requests of this router that are there.
    pub in_flight: u64,
    /// When it last turned one away.
    pub rejected_at: Option<Timestamp>,
    failure_permille: u32,
    ejections: u32,
    /// Until when it is avoided.
    pub ejected_until: Option<Timestamp>,
    /// When it last answered.
    pub answered_at: Option<Timestamp>,
    /// When the newest requests were sent there, the newest last.
    sends: VecDeque<Timestamp>,
}

impl EngineHealth {
    /// Notes that a request is sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if self.sends.len() == SENDS_KEPT {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Requests sent later than `time`, of the newest [`SENDS_KEPT`].
    pub fn sent_since(&self, time: Timestamp) -> usize {
        self.sends.iter().rev().take_while(|sent| **sent > time).count()
    }

    /// Notes the end of a request that says something of the engine.
    pub fn record_outcome(&mut self, now: Timestamp, failed: bool) {
        let newest = if failed { 1_000 } else { 0 };
        let kept = self.failure_permille * (1_000 - FAILURE_WEIGHT);
        self.failure_permille = (kept + newest * FAILURE_WEIGHT) / 1_000;
        if self.failure_permille >= FAILURE_LIMIT {
            self.eject(now);
        } else if !failed && self.failure_permille < PROBATION_RATE / 2 {
            self.ejections = 0;
        }
    }

    /// Avoids it for a while. Requests that were under way when the engine was first avoided say nothing new.
    pub fn eject(&mut self, now: Timestamp) {
        self.failure_permille = PROBATION_RATE;
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + Millis(FIRST_EJECTION.0 << doublings));
        self.ejections += 1;
    }
}
