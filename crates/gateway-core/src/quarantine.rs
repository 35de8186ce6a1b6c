//! Requests under which engines have ended, and which of them are let in no more.
//!
//! A request that ends the engine which runs it looks, in any one try, like a request that was unlucky.
//! Only over its repeats does it show: they come under other ids, over other connections, to any router.
//! So sightings are gathered for the whole fleet by what was asked, and a request that has been seen at
//! the end of [`CRASHES_TO_QUARANTINE`] engines is quarantined.
//!
//! Every request that ran beside it saw the same engine end. Three things keep these apart:
//! - An engine that goes on announcing itself has not ended; what was seen there is taken back.
//! - A request that has ended well is no cause, however often it was near; it is cleared.
//! - A quarantine ends after some time. The next engine that ends under the request brings it back, for
//!   twice as long.
//!
//! Invariants: a request's engines are distinct lives of engines; at most [`MAX_SUSPECTS`] requests are
//! kept, and one that is quarantined is forgotten only if all of them are. Without I/O and clock, so that
//! replicas that take in the same changes in the same order hold the same state.

use crate::fingerprint::RequestFingerprint;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Engines that may end under a request before it is let in no more. Of 7,784 requests of a day of
/// trouble without such a request none met the end of three; the request itself ends one a copy.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Requests kept. Each engine that ends adds those that ran there, some dozens; with names of engines
/// this is about 200 KB.
pub const MAX_SUSPECTS: usize = 2_048;
/// First quarantine of a request. Each release may cost an engine, and a copy that is under way beside it
/// another one; an innocent is cleared sooner by whatever ends well.
pub const INITIAL_QUARANTINE: Millis = Millis(300_000);
/// Doublings of the quarantine at most: 160 minutes.
const MAX_DOUBLINGS: u32 = 5;

/// An engine ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashSighting {
    /// What was asked.
    pub request: RequestFingerprint,
    /// The engine: one life of it.
    pub engine: BackEndName,
}

/// One change of what is held against requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// Engines have ended under requests.
    CrashesSeen(Vec<CrashSighting>),
    /// The engine has not ended after all.
    EngineAlive(BackEndName),
    /// These requests have ended well.
    Cleared(Vec<RequestFingerprint>),
    /// These requests have been quarantined for as long as they were to be.
    Released(Vec<RequestFingerprint>),
    /// Nothing has been seen of these requests for long.
    Expired(Vec<RequestFingerprint>),
}

/// What is held against one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Engines that ended under it, at most [`CRASHES_TO_QUARANTINE`].
    engines: BTreeSet<BackEndName>,
    /// How often it was released from quarantine.
    releases: u32,
    /// Position among the sightings; the oldest is forgotten first.
    order: u64,
}

impl Suspect {
    /// Engines that ended under it.
    pub fn engines(&self) -> impl Iterator<Item = &BackEndName> {
        self.engines.iter()
    }

    /// Whether it is let in no more.
    pub fn is_quarantined(&self) -> bool {
        self.engines.len() >= CRASHES_TO_QUARANTINE
    }

    /// How long its quarantine is to last.
    pub fn quarantine_time(&self) -> Millis {
        Millis(INITIAL_QUARANTINE.0 << self.releases.min(MAX_DOUBLINGS))
    }
}

/// All requests under which engines have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    next_order: u64,
    /// Rises with each change.
    revision: u64,
}

/// What routers are told of the quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Rises with each change of the quarantine; the highest holds.
    pub revision: u64,
    /// Requests that are let in no more.
    pub quarantined: BTreeSet<RequestFingerprint>,
    /// Requests for which one more engine is enough. Whoever sees one of them end well says so.
    pub suspected: BTreeSet<RequestFingerprint>,
}

impl QuarantineNotice {
    /// Whether the same requests are named.
    pub fn has_same_requests(&self, other: &Self) -> bool {
        self.quarantined == other.quarantined && self.suspected == other.suspected
    }

    /// Whether a request is named.
    pub fn includes(&self, request: &RequestFingerprint) -> bool {
        self.quarantined.contains(request) || self.suspected.contains(request)
    }
}

impl Quarantine {
    /// Whether a change would change anything.
    pub fn would_change(&self, change: &QuarantineChange) -> bool {
        let known = |request: &RequestFingerprint| self.suspects.contains_key(request);
        match change {
            QuarantineChange::CrashesSeen(sightings) => {
                sightings.iter().any(|seen| self.is_new(seen))
            }
            QuarantineChange::EngineAlive(engine) => self.has_crashes_of(engine),
            QuarantineChange::Released(requests) => {
                requests.iter().any(|request| self.is_quarantined(request))
            }
            QuarantineChange::Cleared(requests) | QuarantineChange::Expired(requests) => {
                requests.iter().any(known)
            }
        }
    }

    /// Takes in a change.
    pub fn apply(&mut self, change: QuarantineChange) {
        self.revision += 1;
        match change {
            QuarantineChange::CrashesSeen(sightings) => {
                sightings.into_iter().for_each(|seen| self.see(seen));
            }
            QuarantineChange::EngineAlive(engine) => self.still_runs(&engine),
            QuarantineChange::Cleared(requests) | QuarantineChange::Expired(requests) => {
                requests.iter().for_each(|request| {
                    self.suspects.remove(request);
                });
            }
            QuarantineChange::Released(requests) => {
                requests.iter().for_each(|request| self.release(request));
            }
        }
    }

    /// Whether a request is let in no more.
    pub fn is_quarantined(&self, request: &RequestFingerprint) -> bool {
        self.suspects.get(request).is_some_and(Suspect::is_quarantined)
    }

    /// Rises with each change; equal for equal contents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether an engine is said to have ended.
    pub fn has_crashes_of(&self, engine: &BackEndName) -> bool {
        self.suspects.values().any(|suspect| suspect.engines.contains(engine))
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Everything that is held against requests.
    pub fn suspects(&self) -> impl Iterator<Item = (&RequestFingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// What is held against a request.
    pub fn suspect(&self, request: &RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(request)
    }

    /// What routers are to be told.
    pub fn notice(&self) -> QuarantineNotice {
        let with = |engines: usize| {
            let held = self.suspects.iter().filter(move |(_, held)| held.engines.len() == engines);
            held.map(|(request, _)| *request).collect()
        };
        QuarantineNotice {
            revision: self.revision,
            quarantined: with(CRASHES_TO_QUARANTINE),
            suspected: with(CRASHES_TO_QUARANTINE - 1),
        }
    }

    /// Whether a sighting is not held yet.
    pub fn is_new(&self, seen: &CrashSighting) -> bool {
        self.suspects.get(&seen.request).is_none_or(|suspect| {
            !suspect.is_quarantined() && !suspect.engines.contains(&seen.engine)
        })
    }

    fn see(&mut self, seen: CrashSighting) {
        if !self.is_new(&seen) {
            return;
        }
        if !self.suspects.contains_key(&seen.request) && self.suspects.len() >= MAX_SUSPECTS {
            self.forget_one();
        }
        self.next_order += 1;
        let suspect = self.suspects.entry(seen.request).or_default();
        suspect.order = self.next_order;
        suspect.engines.insert(seen.engine);
    }

    /// Makes room: the request with the fewest engines goes, the oldest among equals.
    fn forget_one(&mut self) {
        let least = self.suspects.iter().min_by_key(|(_, held)| (held.engines.len(), held.order));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }

    fn still_runs(&mut self, engine: &BackEndName) {
        self.suspects.retain(|_, suspect| {
            suspect.engines.remove(engine);
            !suspect.engines.is_empty()
        });
    }

    /// Lets a request in again. One engine that ends under it is then enough.
    fn release(&mut self, request: &RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(request).filter(|held| held.is_quarantined()) {
            suspect.engines.pop_first();
            suspect.releases += 1;
        }
    }
}
