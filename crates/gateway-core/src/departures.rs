//! Departures of engines, replicated to all control replicas.
//!
//! An engine whose leave call was acknowledged makes no other. So its departure must outlive the
//! process that received it, and every process that starts later must receive it.
//!
//! Invariants: an incarnation that has left stays gone; otherwise the record with the higher
//! sequence number is in force. A change increases the revision by one, so equal revisions mean
//! equal records. At most [`MAX_DEPARTURES`] records are kept. There is no I/O and no clock, so
//! that replicas that apply the same changes in the same order hold the same state.

use crate::engine_notice::EngineState;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of records kept; the oldest are evicted first. Several times the engines of a
/// large fleet; with names about 400 KB.
pub const MAX_DEPARTURES: usize = 4_096;

/// Time for which a follower keeps records that it no longer receives: longer than the replicas do.
const FOLLOWER_RETENTION: Millis = Millis(360_000);

/// A change of an engine's state when it drains or leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// The engine's incarnation.
    pub engine: BackEndName,
    /// `Draining` or `Gone`; `Ready` if it accepts requests again after `Draining`.
    pub state: EngineState,
    /// The sequence number of its announcement. An engine that has left is gone whatever the
    /// number.
    pub sequence: u64,
}

impl DepartureRecord {
    /// Whether this record is in force where `held` is, or outdated. A later drain is not: some
    /// process may know the engine as ready in between.
    fn is_covered_by(&self, held: &Self) -> bool {
        match (held.state, self.state) {
            (EngineState::Gone, _) => true,
            (_, EngineState::Gone) => false,
            // Nothing can have been announced between consecutive numbers.
            (EngineState::Draining, EngineState::Draining) => self.sequence <= held.sequence + 1,
            (before, after) => before == after || self.sequence <= held.sequence,
        }
    }

    /// Whether this record has to be committed where `held` is in force. An engine without a record
    /// accepts requests.
    fn is_lacking(&self, held: Option<&Self>) -> bool {
        held.map_or(self.state != EngineState::Ready, |held| !self.is_covered_by(held))
    }

    /// Whether this record changes anything where `held` is in force.
    fn is_newer_than(&self, held: &Self) -> bool {
        match (held.state, self.state) {
            (EngineState::Gone, _) => false,
            (_, EngineState::Gone) => true,
            (before, after) => before != after && self.sequence > held.sequence,
        }
    }
}

/// One change of the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureChange {
    /// Engines have announced departures.
    Announced(Vec<DepartureRecord>),
    /// These engines left a long time ago.
    Expired(Vec<BackEndName>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionedRecord {
    record: DepartureRecord,
    /// The revision that added it.
    revision: u64,
}

/// The records in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    records: BTreeMap<BackEndName, VersionedRecord>,
    revision: u64,
}

/// Changes of [`Departures`] between two revisions, for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureDelta {
    /// The revision that the delta applies to.
    pub base: u64,
    /// The revision after the delta.
    pub revision: u64,
    /// The records added or changed in between.
    pub records: Vec<DepartureRecord>,
}

impl Departures {
    /// Increases with each change; equal revisions mean equal contents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a record has to be committed.
    pub fn lacks(&self, record: &DepartureRecord) -> bool {
        record.is_lacking(self.get(&record.engine))
    }

    /// Whether a record is in force, or a newer one of the same engine.
    pub fn covers(&self, record: &DepartureRecord) -> bool {
        self.records.contains_key(&record.engine) && !self.lacks(record)
    }

    /// What the leader proposes to bring a record into force. A second drain follows the state that
    /// preceded it, since equal states change nothing: replicas of every version must apply the
    /// same entry alike.
    pub fn proposal(&self, record: DepartureRecord) -> Vec<DepartureRecord> {
        let held_state = self.get(&record.engine).map(|held| held.state);
        let is_second_drain =
            held_state == Some(EngineState::Draining) && record.state == EngineState::Draining;
        let preceding = is_second_drain.then(|| DepartureRecord {
            engine: record.engine.clone(),
            state: EngineState::Ready,
            sequence: record.sequence - 1,
        });
        preceding.into_iter().chain([record]).collect()
    }

    /// Applies a change. Returns whether anything is different.
    pub fn apply(&mut self, change: DepartureChange) -> bool {
        let before = self.revision;
        match change {
            DepartureChange::Announced(records) => {
                records.into_iter().for_each(|record| self.insert(record))
            }
            DepartureChange::Expired(engines) => {
                engines.iter().for_each(|engine| self.remove(engine));
            }
        }
        self.revision != before
    }

    /// The changes after revision `base`. Removed records are not included: followers remove them
    /// by their own clock.
    pub fn since(&self, base: u64) -> DepartureDelta {
        let newer = self.records.values().filter(|held| held.revision > base);
        let records = newer.map(|held| held.record.clone()).collect();
        DepartureDelta { base, revision: self.revision, records }
    }

    /// The record in force for an engine.
    pub fn get(&self, engine: &BackEndName) -> Option<&DepartureRecord> {
        self.records.get(engine).map(|held| &held.record)
    }

    /// The revision of an engine's record if the engine departs.
    pub fn departure_revision(&self, engine: &BackEndName) -> Option<u64> {
        let held = self.records.get(engine)?;
        (held.record.state != EngineState::Ready).then_some(held.revision)
    }

    /// The engines with a record, each with the revision that added it.
    pub fn revisions(&self) -> impl Iterator<Item = (&BackEndName, u64)> {
        self.records.iter().map(|(engine, held)| (engine, held.revision))
    }

    fn insert(&mut self, record: DepartureRecord) {
        let would_change = match self.records.get(&record.engine) {
            Some(held) => record.is_newer_than(&held.record),
            None => record.state != EngineState::Ready,
        };
        if !would_change {
            return;
        }
        if !self.records.contains_key(&record.engine) && self.records.len() >= MAX_DEPARTURES {
            self.evict_oldest();
        }
        self.revision += 1;
        let held = VersionedRecord { revision: self.revision, record };
        self.records.insert(held.record.engine.clone(), held);
    }

    fn remove(&mut self, engine: &BackEndName) {
        if self.records.remove(engine).is_some() {
            self.revision += 1;
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.records.values().min_by_key(|held| held.revision);
        if let Some(engine) = oldest.map(|held| held.record.engine.clone()) {
            self.records.remove(&engine);
        }
    }
}

/// The committed records known to a follower, and the revision it has reached.
#[derive(Clone, Debug, Default)]
pub struct KnownDepartures {
    records: BTreeMap<BackEndName, (DepartureRecord, Timestamp)>,
    revision: u64,
}

impl KnownDepartures {
    /// The revision up to which every change is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges a delta. If it does not build on the known revision, its records apply but the
    /// revision stays, so that the missing changes are sent again.
    pub fn merge_delta(&mut self, now: Timestamp, delta: &DepartureDelta) {
        for record in &delta.records {
            if self.lacks(record) {
                self.records.insert(record.engine.clone(), (record.clone(), now));
            }
        }
        if delta.base <= self.revision {
            self.revision = self.revision.max(delta.revision);
        }
    }

    /// Whether a record has to be committed.
    pub fn lacks(&self, record: &DepartureRecord) -> bool {
        record.is_lacking(self.records.get(&record.engine).map(|(held, _)| held))
    }

    /// Whether a record is committed, or a newer one of the same engine.
    pub fn covers(&self, record: &DepartureRecord) -> bool {
        self.records.contains_key(&record.engine) && !self.lacks(record)
    }

    /// Removes records received a long time ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.records.retain(|_, (_, received_at)| now.since(*received_at) < FOLLOWER_RETENTION);
    }
}
