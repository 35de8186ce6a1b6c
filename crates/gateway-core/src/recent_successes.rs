//! Requests and shared parts that have recently succeeded.

use crate::fingerprint::Fingerprint;
use stackpost_types::{Millis, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Time for which a success counts. A part that begins to crash engines although it succeeded
/// before is suspected only after this time.
const SUCCESS_TTL: Millis = Millis(10_000);
/// A success is recorded anew only if the last one of the same request or part is older.
const REFRESH_INTERVAL: Millis = Millis(1_000);
/// Maximum number of successes kept, the newest ones: about 300 KB.
const MAX_SUCCESSES: usize = 4_096;

/// The successes that one router has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSuccesses {
    succeeded_at: HashMap<Fingerprint, Timestamp>,
    /// All records in order of time. Only the newest of a fingerprint is also in `succeeded_at`.
    records: VecDeque<(Timestamp, Fingerprint)>,
}

impl RecentSuccesses {
    /// Records a success.
    pub fn record(&mut self, now: Timestamp, succeeded: &Fingerprint) {
        self.remove_expired(now);
        let last = self.succeeded_at.get(succeeded);
        if last.is_some_and(|at| now.since(*at) < REFRESH_INTERVAL) {
            return;
        }
        if self.records.len() >= MAX_SUCCESSES {
            self.remove_oldest();
        }
        self.succeeded_at.insert(*succeeded, now);
        self.records.push_back((now, *succeeded));
    }

    /// Whether a success was recorded recently.
    pub fn contains(&self, now: Timestamp, fingerprint: &Fingerprint) -> bool {
        let succeeded_at = self.succeeded_at.get(fingerprint);
        succeeded_at.is_some_and(|at| now.since(*at) < SUCCESS_TTL)
    }

    /// Removes successes that no longer count.
    pub fn remove_expired(&mut self, now: Timestamp) {
        while self.records.front().is_some_and(|(at, _)| now.since(*at) >= SUCCESS_TTL) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((at, oldest)) = self.records.pop_front()
            && self.succeeded_at.get(&oldest) == Some(&at)
        {
            self.succeeded_at.remove(&oldest);
        }
    }
}
