//! Requests and parts of prompts under which engines have crashed, and which of them are
//! quarantined.
//!
//! A request that crashes the engine that runs it looks, in a single attempt, like any interrupted
//! request. Only its retries reveal it: they arrive under other ids, over other connections, at any
//! router. So crash sightings are collected for the whole fleet by request content, and a request
//! that was running on [`CRASHES_TO_QUARANTINE`] engines when they crashed is quarantined.
//!
//! A part of the prompt may be the cause, whatever else a request holds, so that no two requests
//! are alike. Each part that other requests may share is a suspect of its own, in the same way as the
//! request. Below, "request" means either.
//!
//! Every request that ran on the engine at that time saw the same crash. Three rules tell them
//! apart:
//! - An engine that continues to announce itself has not crashed; sightings at it are revoked.
//! - A request that has succeeded is not the cause, however many crashes it was near; it is
//!   cleared.
//! - A quarantine ends after some time. The next engine that crashes under the request renews it,
//!   for twice as long.
//!
//! Invariants: a request's engines are distinct incarnations of engines; at most [`MAX_SUSPECTS`]
//! requests are kept, and a quarantined one is evicted only if all of them are quarantined. There
//! is no I/O and no clock, so that replicas that apply the same changes in the same order hold the
//! same state.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Number of engines that crash under a request before it is quarantined. Of 7,784 requests of a
/// day with failures but without a crashing request, none saw three engines crash; a crashing
/// request crashes one with each copy.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Maximum number of requests kept. Each crashed engine adds the requests that ran there, some
/// dozens; with the names of engines this is about 200 KB.
pub const MAX_SUSPECTS: usize = 2_048;
/// First quarantine of a request. Each release may cost an engine, and another one if a second copy
/// is in flight at the same time; a harmless request is cleared earlier by any of its retries that
/// succeeds.
pub const INITIAL_QUARANTINE: Millis = Millis(300_000);
/// Limit on the doublings of the quarantine: 160 minutes.
const MAX_DOUBLINGS: u32 = 5;

/// An engine crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashSighting {
    /// The request, or a part of its prompt that other requests share.
    pub suspect: Fingerprint,
    /// The engine's incarnation.
    pub engine: BackEndName,
}

/// One change of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// Engines have crashed under requests.
    CrashesSeen(Vec<CrashSighting>),
    /// The engine has not crashed.
    EngineAlive(BackEndName),
    /// These requests have succeeded.
    Cleared(Vec<Fingerprint>),
    /// The quarantine of these requests is over.
    Released(Vec<Fingerprint>),
    /// There have been no sightings of these requests for a long time.
    Expired(Vec<Fingerprint>),
}

/// The crashes recorded for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Engines that crashed under it, at most [`CRASHES_TO_QUARANTINE`].
    engines: BTreeSet<BackEndName>,
    /// How often it was released from quarantine.
    releases: u32,
    /// Sequence number of its newest sighting; the oldest request is evicted first.
    order: u64,
}

impl Suspect {
    /// Engines that crashed under it.
    pub fn engines(&self) -> impl Iterator<Item = &BackEndName> {
        self.engines.iter()
    }

    /// Whether it is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.engines.len() >= CRASHES_TO_QUARANTINE
    }

    /// Duration of its quarantine.
    pub fn quarantine_time(&self) -> Millis {
        Millis(INITIAL_QUARANTINE.0 << self.releases.min(MAX_DOUBLINGS))
    }
}

/// All requests under which engines have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    next_order: u64,
    /// Increases with each change.
    revision: u64,
}

/// The quarantine as sent to routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Increases with each change of the quarantine; the highest is in force.
    pub revision: u64,
    /// Requests that are quarantined.
    pub quarantined: BTreeSet<Fingerprint>,
    /// Requests that one more crash would quarantine. A router that sees one of them succeed
    /// reports it.
    pub suspected: BTreeSet<Fingerprint>,
}

impl QuarantineNotice {
    /// Whether both notices list the same requests.
    pub fn has_same_requests(&self, other: &Self) -> bool {
        self.quarantined == other.quarantined && self.suspected == other.suspected
    }

    /// Whether a request is listed.
    pub fn includes(&self, request: &Fingerprint) -> bool {
        self.quarantined.contains(request) || self.suspected.contains(request)
    }
}

impl Quarantine {
    /// Whether applying a change would have an effect.
    pub fn would_change(&self, change: &QuarantineChange) -> bool {
        let known = |request: &Fingerprint| self.suspects.contains_key(request);
        match change {
            QuarantineChange::CrashesSeen(sightings) => {
                sightings.iter().any(|sighting| self.is_new(sighting))
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

    /// Applies a change.
    pub fn apply(&mut self, change: QuarantineChange) {
        self.revision += 1;
        match change {
            QuarantineChange::CrashesSeen(sightings) => {
                sightings.into_iter().for_each(|sighting| self.record_crash(sighting));
            }
            QuarantineChange::EngineAlive(engine) => self.revoke_engine(&engine),
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

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.suspects.get(request).is_some_and(Suspect::is_quarantined)
    }

    /// Increases with each change; equal revisions mean equal contents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a crash of an engine is recorded.
    pub fn has_crashes_of(&self, engine: &BackEndName) -> bool {
        self.suspects.values().any(|suspect| suspect.engines.contains(engine))
    }

    /// Whether no crash is recorded for any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// All requests with recorded crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.suspects.iter()
    }

    /// The crashes recorded for a request.
    pub fn suspect(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.suspects.get(request)
    }

    /// The notice for routers.
    pub fn notice(&self) -> QuarantineNotice {
        let with_crashes = |engines: usize| {
            let matching =
                self.suspects.iter().filter(move |(_, suspect)| suspect.engines.len() == engines);
            matching.map(|(request, _)| *request).collect()
        };
        QuarantineNotice {
            revision: self.revision,
            quarantined: with_crashes(CRASHES_TO_QUARANTINE),
            suspected: with_crashes(CRASHES_TO_QUARANTINE - 1),
        }
    }

    /// Whether a sighting is not recorded yet.
    pub fn is_new(&self, sighting: &CrashSighting) -> bool {
        self.suspects.get(&sighting.suspect).is_none_or(|suspect| {
            !suspect.is_quarantined() && !suspect.engines.contains(&sighting.engine)
        })
    }

    fn record_crash(&mut self, sighting: CrashSighting) {
        if !self.is_new(&sighting) {
            return;
        }
        if !self.suspects.contains_key(&sighting.suspect) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_one();
        }
        self.next_order += 1;
        let suspect = self.suspects.entry(sighting.suspect).or_default();
        suspect.order = self.next_order;
        suspect.engines.insert(sighting.engine);
    }

    /// Evicts the request with the fewest engines, among equals the oldest.
    fn evict_one(&mut self) {
        let evicted =
            self.suspects.iter().min_by_key(|(_, suspect)| (suspect.engines.len(), suspect.order));
        if let Some(request) = evicted.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }

    fn revoke_engine(&mut self, engine: &BackEndName) {
        self.suspects.retain(|_, suspect| {
            suspect.engines.remove(engine);
            !suspect.engines.is_empty()
        });
    }

    /// Ends the quarantine of a request. One more crash under it renews the quarantine.
    fn release(&mut self, request: &Fingerprint) {
        if let Some(suspect) =
            self.suspects.get_mut(request).filter(|suspect| suspect.is_quarantined())
        {
            suspect.engines.pop_first();
            suspect.releases += 1;
        }
    }
}
