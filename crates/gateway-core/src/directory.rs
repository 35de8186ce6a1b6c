//! Engines as they announce themselves.
//!
//! Announcements reach control replicas, which pass them on to every router. Notices of the same
//! engine may come late, twice and from several replicas; the one with the highest sequence
//! number wins, and an engine that has left never comes back under the same name.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an engine that has left is remembered, so that late notices do not revive it.
const REMEMBER_GONE: Millis = Millis(180_000);

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
            self.replace_at_address(&notice);
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
    fn replace_at_address(&mut self, notice: &EngineNotice) {
        if notice.state == EngineState::Gone || self.engines.contains_key(&notice.engine) {
            return;
        }
        for record in self.engines.values_mut() {
            if record.notice.address == notice.address {
                record.notice.state = EngineState::Gone;
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

    /// Forgets engines that left long ago or have not been heard of for as long.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.engines.retain(|_, record| now.since(record.announced_at) < REMEMBER_GONE);
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
