//! Announcements of engines, and how processes pass them on to one another.

use crate::notice_list;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, ServiceName, SoftwareVersion, ZoneName};
use std::net::SocketAddr;

/// Whether an engine accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineState {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and accepts no new ones.
    Draining,
    /// It has left.
    Gone,
}

impl EngineState {
    /// The state as written in logs.
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
    /// The engine's incarnation.
    pub engine: BackEndName,
    /// Increases with each announcement of the same incarnation.
    pub sequence: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Requests it handles concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: EngineState,
    /// Time since it was announced, by the clock of the process that passes it on.
    pub age: Millis,
    /// Time since this incarnation became known, by the clock of the process that passes it on;
    /// zero in a notice from the engine itself.
    pub known_for: Millis,
    /// Version of its software. The list that holds the notice encodes it ([`notice_list`]).
    #[serde(skip)]
    pub software: SoftwareVersion,
}

impl EngineNotice {
    /// A placeholder for an engine of which only the name is known.
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
            software: SoftwareVersion::default(),
        }
    }

    /// Whether only the engine's name is known.
    pub fn is_name_only(&self) -> bool {
        self.address.ip().is_unspecified()
    }
}

/// Result of merging a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The notice is older than what is known; nothing changed.
    Stale,
    /// The engine's state is unchanged.
    Refreshed,
    /// The engine is new or its state has changed.
    Changed,
}

impl MergeOutcome {
    /// The outcome as written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stale => "old",
            Self::Refreshed => "refreshed",
            Self::Changed => "changed",
        }
    }
}

/// Changes of an [`crate::EngineDirectory`] between two revisions, for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The revision that the delta applies to.
    pub base: u64,
    /// The revision after the delta.
    pub revision: u64,
    /// The engines that have changed in between.
    #[serde(with = "notice_list")]
    pub notices: Vec<EngineNotice>,
}
