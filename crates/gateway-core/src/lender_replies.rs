//! Whether a lender that has not replied to a loan query counts as unresponsive.
//!
//! A router with 250 to 440 requests per second saturates its own link. It then marked each lender
//! unresponsive in turn for its own delay, and asked routers that hold no tokens. A lender's silence
//! therefore counts only if replies of others arrive.

use stackpost_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Age up to which a reply of another lender shows that replies arrive.
const EVIDENCE_TIME: Millis = Millis(1_000);

/// The latest reply of each lender. `L` identifies a lender.
#[derive(Clone, Debug)]
pub struct LenderReplies<L> {
    latest: BTreeMap<L, Timestamp>,
}

impl<L> Default for LenderReplies<L> {
    fn default() -> Self {
        Self { latest: BTreeMap::new() }
    }
}

impl<L: Copy + Ord> LenderReplies<L> {
    /// Records a reply, whatever it says.
    pub fn on_reply(&mut self, now: Timestamp, lender: L) {
        self.latest.insert(lender, now);
    }

    /// Forgets a lender.
    pub fn remove(&mut self, lender: L) {
        self.latest.remove(&lender);
    }

    /// Whether `lender`, which was asked at `asked_at` and had to reply by now, is unresponsive:
    /// it has replied to nothing since, and another one has replied since then or within
    /// [`EVIDENCE_TIME`].
    pub fn is_unresponsive(&self, now: Timestamp, lender: L, asked_at: Timestamp) -> bool {
        let has_replied = self.latest.get(&lender).is_some_and(|at| *at >= asked_at);
        let is_evidence = |at: Timestamp| at >= asked_at || now.since(at) < EVIDENCE_TIME;
        let others = self.latest.iter().filter(|(other, _)| **other != lender);
        !has_replied && others.into_iter().any(|(_, at)| is_evidence(*at))
    }
}
