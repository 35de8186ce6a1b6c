//! The connections of a control process, and over which of them each other process is told things.
//!
//! Both ends of a pair of control processes dial, so there are often two connections between them. Each
//! end gives up a connection over which it hears nothing, so statuses go over every one. What must not
//! be lost goes over one that has been heard lately: a connection may fall silent for good without
//! a reset, long before it is given up.

use crate::router_updates::PeerDelivery;
use stackpost_gateway_core::RouterEndpoint;
use stackpost_mesh::{LinkId, PeerInfo, PeerRole};
use stackpost_types::{MachineName, Millis, NodeId, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// A connection that has been heard within this time is as good as any: two statuses and a half.
const HEARD_LATELY: Millis = Millis(500);

/// One connection to another process.
#[derive(Clone, Debug)]
pub struct Link {
    /// The other end.
    pub peer: PeerInfo,
    /// What has been told over it: departures to control processes, all of it to routers.
    pub delivery: PeerDelivery,
    last_received_at: Timestamp,
}

/// All connections of one control process.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<LinkId, Link>,
}

impl Links {
    /// A connection has come up.
    pub fn up(&mut self, now: Timestamp, link: LinkId, peer: PeerInfo) {
        let entry = Link { peer, delivery: PeerDelivery::default(), last_received_at: now };
        self.links.insert(link, entry);
    }

    /// A connection is gone.
    pub fn down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// A message has come over a connection. Returns its sender, unless the connection is gone.
    pub fn on_received(&mut self, now: Timestamp, link: LinkId) -> Option<NodeId> {
        let entry = self.links.get_mut(&link)?;
        entry.last_received_at = now;
        Some(entry.peer.node.clone())
    }

    /// A connection's books.
    pub fn get_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&link)
    }

    /// The connection over which to tell a process that `matches` something.
    pub fn best(&self, now: Timestamp, matches: impl Fn(&PeerInfo) -> bool) -> Option<LinkId> {
        let candidates = self.links.iter().filter(|(_, link)| matches(&link.peer));
        candidates.max_by_key(|(id, link)| rank(now, **id, link)).map(|(id, _)| *id)
    }

    /// The connection to a machine that serves control.
    pub fn link_to_control(&self, now: Timestamp, machine: &MachineName) -> Option<LinkId> {
        self.best(now, |peer| peer.role == PeerRole::Control && peer.node.machine == *machine)
    }

    /// The connection to one life of a router.
    pub fn link_to_router(&self, now: Timestamp, router: &NodeId) -> Option<LinkId> {
        self.best(now, |peer| peer.role == PeerRole::Router && peer.node == *router)
    }

    /// One connection to each process with `role`.
    pub fn one_per_peer(&self, now: Timestamp, role: PeerRole) -> Vec<LinkId> {
        let mut best: BTreeMap<&NodeId, (LinkId, &Link)> = BTreeMap::new();
        for (id, link) in self.links.iter().filter(|(_, link)| link.peer.role == role) {
            let held = best.entry(&link.peer.node).or_insert((*id, link));
            if rank(now, *id, link) > rank(now, held.0, held.1) {
                *held = (*id, link);
            }
        }
        best.into_values().map(|(id, _)| id).collect()
    }

    /// One connection to each process.
    pub fn one_per_peer_all_roles(&self, now: Timestamp) -> Vec<LinkId> {
        let mut links = self.one_per_peer(now, PeerRole::Control);
        links.extend(self.one_per_peer(now, PeerRole::Router));
        links
    }

    /// Every connection, for what also shows the other end that this one is alive.
    pub fn all(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }

    /// The machines with `role` that are connected, with their zones.
    pub fn machines(&self, role: PeerRole) -> BTreeMap<MachineName, ZoneName> {
        let peers = self.links.values().map(|link| &link.peer).filter(|peer| peer.role == role);
        peers.map(|peer| (peer.node.machine.clone(), peer.zone.clone())).collect()
    }

    /// The processes with `role` that are connected.
    pub fn peers(&self, role: PeerRole) -> impl Iterator<Item = (LinkId, &PeerInfo)> {
        let links = self.links.iter().map(|(id, link)| (*id, &link.peer));
        links.filter(move |(_, peer)| peer.role == role)
    }

    /// Where the process at the other end stands.
    pub fn endpoint(&self, link: LinkId) -> Option<RouterEndpoint> {
        let peer = &self.links.get(&link)?.peer;
        Some(RouterEndpoint { zone: peer.zone.clone(), address: peer.listen_address })
    }

    /// How many machines with `role` are connected.
    pub fn count_machines(&self, role: PeerRole) -> usize {
        let machines: BTreeSet<&MachineName> =
            self.peers(role).map(|(_, peer)| &peer.node.machine).collect();
        machines.len()
    }
}

/// Connections that were heard lately first, the newest of them; else the one that was heard last.
fn rank(now: Timestamp, id: LinkId, link: &Link) -> (bool, Timestamp, LinkId) {
    let lately = now.since(link.last_received_at) < HEARD_LATELY;
    let last_received_at = if lately { Timestamp(0) } else { link.last_received_at };
    (lately, last_received_at, id)
}
