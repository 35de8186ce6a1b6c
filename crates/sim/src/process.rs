//! Processes of the fleet in the simulation.

use stackpost_control_core::Replica;
use stackpost_protocol::Peer;
use stackpost_router_core::{Defects, Router, RouterConfig};
use stackpost_storage::MemoryDisk;
use stackpost_types::{Incarnation, MachineName, NodeId, Timestamp, Version, ZoneName};
use std::fmt;

/// Identifies a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// The router of a machine.
    Router(MachineName),
    /// The control replica of a machine.
    Replica(MachineName),
}

impl ProcessId {
    /// The process of a peer, whatever its incarnation.
    pub fn of(peer: &Peer) -> Self {
        match peer {
            Peer::Router(node) => Self::Router(node.machine.clone()),
            Peer::Control(machine) => Self::Replica(machine.clone()),
        }
    }

    /// The machine it runs on.
    pub fn machine(&self) -> &MachineName {
        match self {
            Self::Router(machine) | Self::Replica(machine) => machine,
        }
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Router(machine) => write!(formatter, "router {machine}"),
            Self::Replica(machine) => write!(formatter, "control {machine}"),
        }
    }
}

/// A router process, running or not.
#[derive(Debug)]
pub struct RouterProcess {
    pub zone: ZoneName,
    pub router: Option<Router>,
    /// Number of the current or latest incarnation.
    pub incarnation: u64,
    pub frozen: bool,
    pub draining: bool,
    /// Offset of its monotonic clock from the simulation's, in milliseconds.
    pub clock_offset: u64,
    /// Newest configuration version that was ever in force on this machine.
    pub newest_version: Version,
}

impl RouterProcess {
    pub fn node(&self, machine: &MachineName) -> NodeId {
        NodeId { machine: machine.clone(), incarnation: Incarnation(self.incarnation) }
    }

    pub fn config(
        &self,
        machine: &MachineName,
        control: Vec<MachineName>,
        defects: Defects,
    ) -> RouterConfig {
        let (node, zone) = (self.node(machine), self.zone.clone());
        RouterConfig { node, zone, control, has_platform: true, defects }
    }

    pub fn is_running(&self) -> bool {
        self.router.is_some()
    }

    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp(now + self.clock_offset)
    }
}

/// A control replica's process, running or not, and its disks.
#[derive(Debug)]
pub struct ReplicaProcess {
    pub zone: ZoneName,
    pub replica: Option<Replica<MemoryDisk>>,
    pub disk: MemoryDisk,
    pub bill_disk: MemoryDisk,
    pub starts: u64,
    pub frozen: bool,
    pub clock_offset: u64,
    /// Version of its table when it last stopped.
    pub newest_version: Version,
}

impl ReplicaProcess {
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp(now + self.clock_offset)
    }
}
