//! The simulated network between zones and machines.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stackpost_protocol::Peer;
use stackpost_types::{MachineName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// A network partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Isolates a zone from all others.
    Zone(ZoneName),
    /// Isolates a group of zones from the others.
    Region(BTreeSet<ZoneName>),
    /// Drops messages into a zone; messages out of it are delivered.
    IntoZone(ZoneName),
    /// Isolates one machine from all others.
    Machine(MachineName),
    /// Isolates a control replica from all processes; the router on the same machine stays
    /// reachable.
    Replica(MachineName),
}

/// Bytes of message bodies sent since the counters were last taken, without any headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// From routers to routers.
    pub router_to_router: u64,
    /// From routers to control replicas.
    pub router_to_control: u64,
    /// From control replicas to routers.
    pub control_to_router: u64,
    /// Among control replicas.
    pub control_to_control: u64,
    /// Messages sent by routers.
    pub router_messages: u64,
}

impl Traffic {
    pub(crate) fn count(&mut self, from: &Peer, to: &Peer, bytes: u64) {
        let sum = match (from, to) {
            (Peer::Router(_), Peer::Router(_)) => &mut self.router_to_router,
            (Peer::Router(_), Peer::Control(_)) => &mut self.router_to_control,
            (Peer::Control(_), Peer::Router(_)) => &mut self.control_to_router,
            (Peer::Control(_), Peer::Control(_)) => &mut self.control_to_control,
        };
        *sum += bytes;
        self.router_messages += u64::from(matches!(from, Peer::Router(_)));
    }
}

/// Delays, losses and duplicates of messages.
#[derive(Debug)]
pub struct Network {
    zones: BTreeMap<MachineName, ZoneName>,
    zone_delay: u64,
    /// Partitions in force.
    pub partitions: Vec<Cut>,
    /// Share of messages that are lost, in thousandths.
    pub drop_permille: u32,
    /// Share of messages that are delivered twice, in thousandths.
    pub duplicate_permille: u32,
    /// Share of messages that get an extra delay, in thousandths.
    pub late_permille: u32,
}

/// Longest extra delay of a late message.
const MAX_LATE_DELAY_MS: u64 = 800;

impl Network {
    pub fn new(zones: BTreeMap<MachineName, ZoneName>, zone_delay: u64) -> Self {
        Self {
            zones,
            zone_delay,
            partitions: Vec::new(),
            drop_permille: 0,
            duplicate_permille: 0,
            late_permille: 0,
        }
    }

    /// Delays after which a message is delivered: none if it is lost, two if it is duplicated.
    pub fn delays(&self, rng: &mut ChaCha8Rng, from: &Peer, to: &Peer) -> Vec<u64> {
        if self.is_partitioned(from, to) || self.occurs(rng, self.drop_permille) {
            return Vec::new();
        }
        let copies = if self.occurs(rng, self.duplicate_permille) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(rng, from, to)).collect()
    }

    /// Whether messages from one zone to the other are dropped.
    pub fn zones_partitioned(&self, from: &ZoneName, to: &ZoneName) -> bool {
        from != to
            && self.partitions.iter().any(|partition| match partition {
                Cut::Zone(zone) => from == zone || to == zone,
                Cut::Region(zones) => zones.contains(from) != zones.contains(to),
                Cut::IntoZone(zone) => to == zone,
                Cut::Machine(_) | Cut::Replica(_) => false,
            })
    }

    fn is_partitioned(&self, from: &Peer, to: &Peer) -> bool {
        let same_machine = from.machine() == to.machine();
        let zone_partitioned = match (self.zones.get(from.machine()), self.zones.get(to.machine()))
        {
            (Some(from), Some(to)) => self.zones_partitioned(from, to),
            _ => false,
        };
        let replica = |peer: &Peer, machine: &MachineName| matches!(peer, Peer::Control(name) if name == machine);
        let machine_partitioned = self.partitions.iter().any(|partition| match partition {
            Cut::Machine(machine) => {
                !same_machine && (from.machine() == machine || to.machine() == machine)
            }
            Cut::Replica(machine) => replica(from, machine) || replica(to, machine),
            _ => false,
        });
        zone_partitioned || machine_partitioned
    }

    fn delay(&self, rng: &mut ChaCha8Rng, from: &Peer, to: &Peer) -> u64 {
        let across = self.zones.get(from.machine()) != self.zones.get(to.machine());
        let base = if across { self.zone_delay } else { 0 };
        let jitter = rng.random_range(0..=1);
        let late = if self.occurs(rng, self.late_permille) {
            rng.random_range(1..=MAX_LATE_DELAY_MS)
        } else {
            0
        };
        base + jitter + late
    }

    fn occurs(&self, rng: &mut ChaCha8Rng, permille: u32) -> bool {
        permille > 0 && rng.random_range(0..1_000) < permille
    }
}
