//! Trials of quarantined parts of prompts.
//!
//! Parts that occur together are seen at the same crashes. A sound one among them is quarantined as
//! well if none of its requests has succeeded shortly before, and while it is refused none can. So
//! single requests that hold only some of the quarantined parts are admitted: one that ends well
//! clears its parts, one that crashes its engine costs one more.
//!
//! Invariants: a part has at most two trials in one quarantine at one router, and a request with
//! all quarantined parts has none, since its success could clear nothing that others need.

use stackpost_types::{Millis, Timestamp};

/// Time from the listing of a part to its first trial, and from that to the second: longer than a
/// success elsewhere takes to lift the quarantine.
const TRIAL_DELAYS: [Millis; 2] = [Millis(300), Millis(1_000)];

/// A quarantined suspect as one router knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedSuspect {
    /// When this router first received it.
    pub since: Timestamp,
    trials: usize,
    /// When the last trial began, or when the suspect was listed.
    waits_since: Timestamp,
}

impl ListedSuspect {
    /// A suspect that is listed from now on.
    pub fn new(now: Timestamp) -> Self {
        Self { since: now, trials: 0, waits_since: now }
    }

    /// Whether a trial may begin.
    pub fn may_be_tried(&self, now: Timestamp) -> bool {
        let delay = TRIAL_DELAYS.get(self.trials);
        delay.is_some_and(|delay| now.since(self.waits_since) >= *delay)
    }

    /// Records that a trial begins.
    pub fn begin_trial(&mut self, now: Timestamp) {
        self.trials += 1;
        self.waits_since = now;
    }
}
