//! Engines as they announce themselves.
//!
//! Announcements reach control replicas, which pass them on to every router. Notices of the same
//! engine may come late, twice and from several replicas; the one with the highest sequence
//! number wins, and an engine that has left never comes back under the same name.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long an engine that has left is remembered, so that late notices do not revive it.
const REMEMBER_GONE: Millis = Millis(180_000);
/// An engine that was announced longer ago than this may be gone.
const SILENCE_LIMIT: Millis = Millis(4_500);
/// An engine that has been silent for so long is taken for gone.
const GIVE_UP_AFTER: Millis = Millis(180_000);

/// What an engine says about taking work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

impl EngineState {
    /// The state as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// One announcement of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNotice {
    /// The engine: one life of it.
    pub engine: BackEndName,
    /// Rises with each announcement of the same engine.
    pub sequence: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Requests it handles at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: EngineState,
    /// Time since it was announced, by the clock of whoever passes it on.
    pub age: Millis,
}

/// An engine as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRecord {
    /// The newest announcement.
    pub notice: EngineNotice,
    /// When it was made, by this process's clock.
    pub announced_at: Timestamp,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing: it was old.
    Old,
    /// The engine is still what it was.
    Refreshed,
    /// The engine is new or has changed its state.
    Changed,
}

/// All engines known to a process.
#[derive(Clone, Debug, Default)]
pub struct EngineDirectory {
    engines: BTreeMap<BackEndName, EngineRecord>,
    /// Engines that have not been announced of late, by the word of control.
    silent: BTreeSet<BackEndName>,
}

impl EngineDirectory {
    /// Takes in a notice.
    pub fn merge(&mut self, now: Timestamp, notice: EngineNotice) -> Merge {
        let announced_at = Timestamp(now.0.saturating_sub(notice.age.0));
        let change = match self.engines.get(&notice.engine) {
            None => Merge::Changed,
            Some(known) if known.notice.state == EngineState::Gone => return Merge::Old,
            Some(known)
                if notice.state != EngineState::Gone
                    && notice.sequence <= known.notice.sequence =>
            {
                return Merge::Old;
            }
            Some(known) if known.notice.state == notice.state => Merge::Refreshed,
            Some(_) => Merge::Changed,
        };
        if change == Merge::Changed {
            self.replace_at_address(now, &notice);
        }
        self.engines.insert(notice.engine.clone(), EngineRecord { notice, announced_at });
        change
    }

    /// Notes that an engine has left and returns the notice to pass on. An engine that is not known
    /// here may be known elsewhere, so it is remembered as well.
    pub fn leave(&mut self, now: Timestamp, engine: &BackEndName) -> EngineNotice {
        let mut notice = match self.engines.get(engine) {
            Some(known) => known.notice.clone(),
            None => unknown_engine(engine),
        };
        notice.state = EngineState::Gone;
        notice.age = Millis(0);
        let record = EngineRecord { notice: notice.clone(), announced_at: now };
        self.engines.insert(engine.clone(), record);
        notice
    }

    /// An engine that is announced for the first time at an address has taken the place of
    /// whichever had it before.
    fn replace_at_address(&mut self, now: Timestamp, notice: &EngineNotice) {
        if notice.state == EngineState::Gone || self.engines.contains_key(&notice.engine) {
            return;
        }
        for record in self.engines.values_mut() {
            if record.notice.address == notice.address && record.notice.state != EngineState::Gone {
                record.notice.state = EngineState::Gone;
                record.announced_at = now;
            }
        }
    }

    /// One engine.
    pub fn get(&self, engine: &BackEndName) -> Option<&EngineRecord> {
        self.engines.get(engine)
    }

    /// All engines, those that have left among them.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// All engines as notices of the present moment.
    pub fn notices(&self, now: Timestamp) -> Vec<EngineNotice> {
        self.engines
            .values()
            .map(|record| EngineNotice {
                age: now.since(record.announced_at),
                ..record.notice.clone()
            })
            .collect()
    }

    /// Engines that should be announcing themselves and have not of late.
    pub fn silent_engines(&self, now: Timestamp) -> BTreeSet<BackEndName> {
        let is_silent = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= SILENCE_LIMIT
        };
        self.engines.values().filter(is_silent).map(|record| record.notice.engine.clone()).collect()
    }

    /// Takes over which engines are silent.
    pub fn set_silent(&mut self, silent: BTreeSet<BackEndName>) {
        self.silent = silent;
    }

    /// Whether an engine is silent, by the word of control.
    pub fn is_silent(&self, engine: &BackEndName) -> bool {
        self.silent.contains(engine)
    }

    /// Engines that have been silent for so long that they are taken for gone.
    pub fn given_up(&self, now: Timestamp) -> Vec<BackEndName> {
        let is_given_up = |record: &&EngineRecord| {
            record.notice.state != EngineState::Gone
                && now.since(record.announced_at) >= GIVE_UP_AFTER
        };
        self.engines
            .values()
            .filter(is_given_up)
            .map(|record| record.notice.engine.clone())
            .collect()
    }

    /// Forgets engines that left long ago.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.engines.retain(|_, record| {
            record.notice.state != EngineState::Gone
                || now.since(record.announced_at) < REMEMBER_GONE
        });
    }
}

/// Stands for an engine of which only the name is known.
fn unknown_engine(engine: &BackEndName) -> EngineNotice {
    EngineNotice {
        engine: engine.clone(),
        sequence: 0,
        service: ServiceName::new(""),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: ZoneName::new(""),
        slots: 0,
        state: EngineState::Gone,
        age: Millis(0),
    }
}
