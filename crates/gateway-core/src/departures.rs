//! What engines have said of their end, as all control replicas agree on it.
//!
//! An engine is told that its leaving is known, and calls nobody again. So its word must outlive whoever took it in,
//! and every process that comes later must hear of it.
//!
//! Invariants: a life of an engine that has left stays gone; otherwise the word with the higher count holds. A change
//! raises the revision by one, so equal revisions mean equal words. At most [`MAX_DEPARTURES`] words are kept. Without I/O
//! and clock, so that replicas that take in the same changes in the same order hold the same state.

use crate::engine_notice::EngineState;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Words kept; the oldest go first. Several times the engines of a large fleet; with names about 400 KB.
pub const MAX_DEPARTURES: usize = 4_096;

/// How long a process that follows keeps words that it is told of no more: longer than the replicas do.
const FOLLOWED_TIME: Millis = Millis(360_000);

/// What an engine says of its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// The engine: one life of it.
    pub engine: BackEndName,
    /// `Draining` or `Gone`; `Ready` if it takes work again after it had said `Draining`.
    pub state: EngineState,
    /// Its count of announcements. What has left is gone whatever the count.
    pub sequence: u64,
}

impl DepartureRecord {
    /// Whether this word changes anything where `held` holds.
    fn is_newer_than(&self, held: &Self) -> bool {
        match (held.state, self.state) {
            (EngineState::Gone, _) => false,
            (_, EngineState::Gone) => true,
            (before, after) => before != after && self.sequence > held.sequence,
        }
    }
}

/// One change of what is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureChange {
    /// Engines have said something of their end.
    Announced(Vec<DepartureRecord>),
    /// These engines left long ago.
    Expired(Vec<BackEndName>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldWord {
    word: DepartureRecord,
    /// The revision that brought it.
    revision: u64,
}

/// The words that hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    records: BTreeMap<BackEndName, HeldWord>,
    revision: u64,
}

/// Changes of [`Departures`], for a process that follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureDelta {
    /// The revision after which the changes begin.
    pub base: u64,
    /// The revision up to which they go.
    pub revision: u64,
    /// The words that hold since.
    pub records: Vec<DepartureRecord>,
}

impl Departures {
    /// Rises with each change; equal for equal contents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a word would change anything.
    pub fn would_change(&self, word: &DepartureRecord) -> bool {
        match self.records.get(&word.engine) {
            Some(held) => word.is_newer_than(&held.word),
            // An engine of which nothing is held takes work.
            None => word.state != EngineState::Ready,
        }
    }

    /// Whether a word holds, or a newer one of the same engine.
    pub fn covers(&self, word: &DepartureRecord) -> bool {
        self.records.contains_key(&word.engine) && !self.would_change(word)
    }

    /// Takes in a change. Returns whether anything is different.
    pub fn apply(&mut self, change: DepartureChange) -> bool {
        let before = self.revision;
        match change {
            DepartureChange::Announced(records) => {
                records.into_iter().for_each(|word| self.say(word))
            }
            DepartureChange::Expired(engines) => {
                engines.iter().for_each(|engine| self.forget(engine));
            }
        }
        self.revision != before
    }

    /// What has changed after revision `base`. Words that were forgotten are not told: whoever follows forgets by its
    /// own clock.
    pub fn since(&self, base: u64) -> DepartureDelta {
        let newer = self.records.values().filter(|held| held.revision > base);
        let records = newer.map(|held| held.word.clone()).collect();
        DepartureDelta { base, revision: self.revision, records }
    }

    /// The word that holds for an engine.
    pub fn get(&self, engine: &BackEndName) -> Option<&DepartureRecord> {
        self.records.get(engine).map(|held| &held.word)
    }

    /// The engines with a word, and the revision that brought it.
    pub fn revisions(&self) -> impl Iterator<Item = (&BackEndName, u64)> {
        self.records.iter().map(|(engine, held)| (engine, held.revision))
    }

    fn say(&mut self, word: DepartureRecord) {
        if !self.would_change(&word) {
            return;
        }
        if !self.records.contains_key(&word.engine) && self.records.len() >= MAX_DEPARTURES {
            self.forget_oldest();
        }
        self.revision += 1;
        let held = HeldWord { revision: self.revision, word };
        self.records.insert(held.word.engine.clone(), held);
    }

    fn forget(&mut self, engine: &BackEndName) {
        if self.records.remove(engine).is_some() {
            self.revision += 1;
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.records.values().min_by_key(|held| held.revision);
        if let Some(engine) = oldest.map(|held| held.word.engine.clone()) {
            self.records.remove(&engine);
        }
    }
}

/// The words that a process knows which follows what is written down, and how far it is.
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

    /// Takes in changes. What does not build on what is known counts, but leaves a gap that is to be told again.
    pub fn merge_delta(&mut self, now: Timestamp, news: &DepartureDelta) {
        for word in &news.records {
            if self.would_change(word) {
                self.records.insert(word.engine.clone(), (word.clone(), now));
            }
        }
        if news.base <= self.revision {
            self.revision = self.revision.max(news.revision);
        }
    }

    /// Whether a word would change anything.
    pub fn would_change(&self, word: &DepartureRecord) -> bool {
        match self.records.get(&word.engine) {
            Some((held, _)) => word.is_newer_than(held),
            None => word.state != EngineState::Ready,
        }
    }

    /// Whether a word is written down, or a newer one of the same engine.
    pub fn covers(&self, word: &DepartureRecord) -> bool {
        self.records.contains_key(&word.engine) && !self.would_change(word)
    }

    /// Forgets words of long ago.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.records.retain(|_, (_, since)| now.since(*since) < FOLLOWED_TIME);
    }
}
