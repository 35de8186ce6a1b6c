//! When a request whose engine is silent is sent to another engine as well.
//!
//! Silence does not tell a lost connection from an engine that is slow or paused. So an attempt is
//! never given up for its silence: after some time the request is also sent to another engine, and
//! the attempt that delivers first is kept. Until then all attempts go on.

use stackpost_types::{Millis, Timestamp};

/// Checks whether another engine can be asked come at intervals of this part of the silence that
/// leads to the first one.
const RECHECK_PARTS: u64 = 2;
/// Shortest interval between two checks, whatever the request allows.
const MIN_CHECK_INTERVAL: Millis = Millis(50);
/// Delay of a check from which the router itself was held up: it may not have read yet what engines
/// have sent meanwhile.
const MAX_CHECK_DELAY: Millis = Millis(200);

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTerms {
    /// Silence of all attempts after which another engine is asked; `None` if the request must not
    /// run twice.
    pub hedge_after: Option<Millis>,
    /// Silence of the earliest attempt after which that may be an engine that is silent itself.
    pub any_engine_after: Millis,
}

/// When the attempts in flight last received a part of their responses, or began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sightings {
    /// The one that received something most recently.
    pub latest: Timestamp,
    /// The one that has been silent for the longest time.
    pub earliest: Timestamp,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeStep {
    /// Wait for the attempts, until this time at most; `None` for as long as they take.
    Wait(Option<Timestamp>),
    /// Ask another engine, if there is one.
    AskAnother {
        /// Whether that may be an engine that is silent itself.
        may_be_silent: bool,
    },
}

/// Decides when a request with attempts in flight is sent to another engine.
#[derive(Clone, Copy, Debug)]
pub struct Hedging {
    terms: HedgeTerms,
    /// No other engine is asked before.
    not_before: Timestamp,
}

impl Hedging {
    /// For the attempts of one request.
    pub fn new(terms: HedgeTerms) -> Self {
        Self { terms, not_before: Timestamp::default() }
    }

    /// What to do at `now`. A check that comes much too late decides nothing and is repeated.
    pub fn step(&mut self, now: Timestamp, sightings: Sightings) -> HedgeStep {
        let Some(hedge_after) = self.terms.hedge_after else {
            return HedgeStep::Wait(None);
        };
        let due = self.not_before.max(sightings.latest + hedge_after);
        if now < due {
            return HedgeStep::Wait(Some(due));
        }
        if now.since(due) >= MAX_CHECK_DELAY {
            self.on_not_asked(now);
            return HedgeStep::Wait(Some(self.not_before));
        }
        let silence = now.since(sightings.earliest);
        HedgeStep::AskAnother { may_be_silent: silence >= self.terms.any_engine_after }
    }

    /// Records that the request was sent to an engine.
    pub fn on_asked(&mut self, now: Timestamp) {
        self.not_before = now + self.terms.hedge_after.unwrap_or_default().max(MIN_CHECK_INTERVAL);
    }

    /// Records that one of the attempts has failed: another engine may be asked at once.
    pub fn on_failed(&mut self, now: Timestamp) {
        self.not_before = now;
    }

    /// Records that no other engine could be asked.
    pub fn on_not_asked(&mut self, now: Timestamp) {
        let hedge_after = self.terms.hedge_after.unwrap_or_default();
        self.not_before = now + MIN_CHECK_INTERVAL.max(Millis(hedge_after.0 / RECHECK_PARTS));
    }
}
