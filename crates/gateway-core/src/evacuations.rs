//! Zones whose engines an operator has taken out of service, replicated to all control replicas.
//!
//! Invariants: a change increases the revision by one, so equal revisions mean equal contents, and
//! of two states the one with the higher revision is newer. The last committed order for a zone is
//! in force. There is no I/O and no clock, so that replicas that apply the same orders in the same
//! order hold the same state.

use serde::{Deserialize, Serialize};
use stackpost_types::ZoneName;
use std::collections::BTreeSet;

/// An operator's order about the engines of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// No request is sent to the zone's engines any more.
    Start(ZoneName),
    /// The zone's engines are used again.
    End(ZoneName),
}

impl EvacuationOrder {
    /// The zone that the order is about.
    pub fn zone(&self) -> &ZoneName {
        match self {
            Self::Start(zone) | Self::End(zone) => zone,
        }
    }

    /// The order as written in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::End(_) => "end",
        }
    }
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    zones: BTreeSet<ZoneName>,
    revision: u64,
}

impl Evacuations {
    /// Increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The evacuated zones.
    pub fn zones(&self) -> &BTreeSet<ZoneName> {
        &self.zones
    }

    /// Applies an order. Returns whether it changes anything: an order may be sent again.
    pub fn apply(&mut self, order: EvacuationOrder) -> bool {
        let has_changed = match order {
            EvacuationOrder::Start(zone) => self.zones.insert(zone),
            EvacuationOrder::End(zone) => self.zones.remove(&zone),
        };
        self.revision += u64::from(has_changed);
        has_changed
    }
}
