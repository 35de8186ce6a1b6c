//! The leader's part in engines' departures: which records are proposed to the log, and when they
//! expire.

use stackpost_gateway_core::{DepartureChange, DepartureRecord, Departures};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// How long a record is kept: longer than a leaving engine continues to serve, and longer than a
/// heartbeat may be delayed.
const RETENTION: Millis = Millis(180_000);
/// A record whose log entry has not been committed after this time is proposed again.
const PROPOSAL_TIMEOUT: Millis = Millis(400);
/// Time between two checks of the records' ages.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// The leader's timers for departure records. A new leader restarts them, so a change of leader can
/// only make a record stay longer.
#[derive(Debug, Default)]
pub(crate) struct DepartureWatch {
    /// Proposed records that are not committed yet, and when each was proposed.
    proposed: BTreeMap<BackEndName, (DepartureRecord, Timestamp)>,
    /// Revision of each committed record, and when this leader first saw it.
    first_seen: BTreeMap<BackEndName, (u64, Timestamp)>,
    checked_at: Timestamp,
}

impl DepartureWatch {
    /// Resets all timers when this replica becomes the leader or stops being it.
    pub fn on_role_change(&mut self) {
        *self = Self::default();
    }

    /// Returns the records received from control processes as a change to propose; `None` if it
    /// would change nothing.
    pub fn on_notices(
        &mut self,
        now: Timestamp,
        departures: &Departures,
        records: Vec<DepartureRecord>,
    ) -> Option<DepartureChange> {
        let is_pending = |record: &DepartureRecord| {
            let proposed = self.proposed.get(&record.engine);
            proposed.is_some_and(|(other, at)| other == record && now.since(*at) < PROPOSAL_TIMEOUT)
        };
        let new_records: Vec<DepartureRecord> = records
            .into_iter()
            .filter(|record| departures.lacks(record) && !is_pending(record))
            .collect();
        for record in &new_records {
            self.proposed.insert(record.engine.clone(), (record.clone(), now));
        }
        let proposal: Vec<DepartureRecord> =
            new_records.into_iter().flat_map(|record| departures.proposal(record)).collect();
        (!proposal.is_empty()).then_some(DepartureChange::Announced(proposal))
    }

    /// Returns the records to expire.
    pub fn on_tick(&mut self, now: Timestamp, departures: &Departures) -> Option<DepartureChange> {
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return None;
        }
        self.checked_at = now;
        self.proposed.retain(|_, (record, _)| departures.lacks(record));
        self.first_seen.retain(|engine, _| departures.get(engine).is_some());
        let mut expired = Vec::new();
        for (engine, revision) in departures.revisions() {
            let since = self.first_seen.entry(engine.clone()).or_insert((revision, now));
            if since.0 != revision {
                *since = (revision, now);
            }
            if now.since(since.1) >= RETENTION {
                expired.push(engine.clone());
            }
        }
        (!expired.is_empty()).then_some(DepartureChange::Expired(expired))
    }
}
