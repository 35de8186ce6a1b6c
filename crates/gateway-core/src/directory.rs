//! Engines as they announce themselves.
//!
//! Announcements reach control replicas, which pass them on to every router. Notices of the same
//! engine may come late, twice and from several replicas; the one with the highest sequence
//! number wins, and an engine that has left never comes back under the same name.
//!
//! Two engines may claim one address: an engine that has ended and its successor, of which the first
//! may be heard of last, since announcements can be held up by a cut. A name that was not known yet takes
//! the address over; the other one gets it back by being announced on while the first is not.

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

/// Announcements in a row that give an address back to the engine that had lost it. One may have been
/// held up; its sender's successor is heard of in between.
const ANNOUNCEMENTS_TO_RETURN: u32 = 2;

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
    /// Set if it is taken for gone because another engine was announced at its address.
    replaced: Option<Replaced>,
}

impl EngineRecord {
    fn has_left(&self) -> bool {
        self.notice.state == EngineState::Gone && self.replaced.is_none()
    }
}

/// Which engine has taken an address, and how often the one before has been announced since the last
/// announcement of that engine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Replaced {
    by: BackEndName,
    announcements: u32,
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
#[derive(Clone, Debug)]
pub struct EngineDirectory {
    engines: BTreeMap<BackEndName, EngineRecord>,
    /// Announcements in a row that bring back an engine that was taken for replaced.
    announcements_to_return: u32,
    /// Engines that have not been announced of late, by the word of control.
    silent: BTreeSet<BackEndName>,
}

impl Default for EngineDirectory {
    /// For a process that hears every announcement.
    fn default() -> Self {
        Self {
            engines: BTreeMap::new(),
            announcements_to_return: ANNOUNCEMENTS_TO_RETURN,
            silent: BTreeSet::new(),
        }
    }
}

impl EngineDirectory {
    /// For a process that is told of changes only, after they have been decided elsewhere.
    pub fn following() -> Self {
        Self { announcements_to_return: 1, ..Self::default() }
    }

    /// Takes in a notice.
    pub fn merge(&mut self, now: Timestamp, notice: EngineNotice) -> Merge {
        let announced_at = Timestamp(now.0.saturating_sub(notice.age.0));
        let change = match self.engines.get(&notice.engine) {
            None => Merge::Changed,
            Some(known) if known.has_left() => return Merge::Old,
            Some(known)
                if notice.state != EngineState::Gone
                    && notice.sequence <= known.notice.sequence =>
            {
                return Merge::Old;
            }
            Some(known) if known.replaced.is_some() && notice.state != EngineState::Gone => {
                if !self.returns(&notice, announced_at) {
                    return Merge::Old;
                }
                Merge::Changed
            }
            Some(known) if known.notice.state == notice.state => Merge::Refreshed,
            Some(_) => Merge::Changed,
        };
        if change == Merge::Changed {
            self.replace_at_address(now, &notice);
        }
        let record = EngineRecord { notice, announced_at, replaced: None };
        self.engines.insert(record.notice.engine.clone(), record);
        change
    }

    /// Counts an announcement of an engine that was taken for replaced. Returns whether it has its
    /// address back. Only announcements later than the last one of the engine in its place count.
    fn returns(&mut self, notice: &EngineNotice, announced_at: Timestamp) -> bool {
        let holder_heard_at = self.holder_heard_at(&notice.engine);
        let enough = self.announcements_to_return;
        let Some(known) = self.engines.get_mut(&notice.engine) else {
            return false;
        };
        let in_a_row = known.announced_at > holder_heard_at;
        known.notice.sequence = notice.sequence;
        known.announced_at = announced_at;
        if announced_at <= holder_heard_at {
            return false;
        }
        known.replaced.as_mut().is_none_or(|replaced| {
            replaced.announcements = if in_a_row { replaced.announcements + 1 } else { 1 };
            replaced.announcements >= enough
        })
    }

    /// When the engine that took the place of `engine` was last announced.
    fn holder_heard_at(&self, engine: &BackEndName) -> Timestamp {
        let replaced = self.engines.get(engine).and_then(|known| known.replaced.as_ref());
        let holder = replaced.and_then(|replaced| self.engines.get(&replaced.by));
        holder.map_or(Timestamp(0), |holder| holder.announced_at)
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
        let record = EngineRecord { notice: notice.clone(), announced_at: now, replaced: None };
        self.engines.insert(engine.clone(), record);
        notice
    }

    /// An engine that is announced for the first time at an address, or has it back, has taken the
    /// place of whichever had it before.
    fn replace_at_address(&mut self, now: Timestamp, notice: &EngineNotice) {
        let known = self.engines.get(&notice.engine);
        let held_it = known.is_some_and(|record| record.replaced.is_none());
        if notice.state == EngineState::Gone || held_it {
            return;
        }
        for record in self.engines.values_mut() {
            if record.notice.address == notice.address && record.notice.state != EngineState::Gone {
                record.notice.state = EngineState::Gone;
                record.announced_at = now;
                record.replaced = Some(Replaced { by: notice.engine.clone(), announcements: 0 });
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

    /// All engines as notices of the present moment, but for those of which it was only concluded
    /// that they have been replaced.
    pub fn notices(&self, now: Timestamp) -> Vec<EngineNotice> {
        self.engines
            .values()
            .filter(|record| record.replaced.is_none())
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
