//! What engines announce, and what processes tell one another of it.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, ServiceName, ZoneName};
use std::net::SocketAddr;

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
    /// Time since this life was first heard of, by the clock of whoever passes it on; zero from the engine itself.
    pub known_for: Millis,
}

impl EngineNotice {
    /// Stands for an engine of which only the name is known.
    pub fn name_only(engine: &BackEndName) -> Self {
        Self {
            engine: engine.clone(),
            sequence: 0,
            service: ServiceName::new(""),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: ZoneName::new(""),
            slots: 0,
            state: EngineState::Gone,
            age: Millis(0),
            known_for: Millis(0),
        }
    }

    /// Whether no more is known of the engine than its name.
    pub fn is_name_only(&self) -> bool {
        self.address.ip().is_unspecified()
    }
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing: it was old.
    Stale,
    /// The engine is still what it was.
    Refreshed,
    /// The engine is new or has changed its state.
    Changed,
}

impl MergeOutcome {
    /// The change as it stands in logs and figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stale => "old",
            Self::Refreshed => "refreshed",
            Self::Changed => "changed",
        }
    }
}

/// Changes of an [`crate::EngineDirectory`], for a process that follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The revision after which the changes begin.
    pub base: u64,
    /// The revision up to which they go.
    pub revision: u64,
    /// The engines that have changed since.
    pub notices: Vec<EngineNotice>,
}
