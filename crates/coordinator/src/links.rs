//! The connections of a control process, and which of them is used for each message.
//!
//! Both ends of a pair of control processes dial, so there are often two connections between them.
//! Each end closes a connection over which it receives nothing, so statuses are sent over every
//! one. Messages that must not be lost are sent over a connection that has received something
//! recently: a connection may stop working without a reset, long before it times out.

use crate::router_updates::PeerDelivery;
use stackpost_gateway_core::RouterEndpoint;
use stackpost_mesh::{LinkId, PeerInfo, PeerRole};
use stackpost_types::{MachineName, Millis, NodeId, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// A connection that has received a message within this time, two and a half status intervals,
/// counts as active.
const ACTIVE_WITHIN: Millis = Millis(500);

/// A machine is heard if it has sent something within this time, several status intervals.
const HEARD_WITHIN: Millis = Millis(1_000);

/// One connection to another process.
#[derive(Clone, Debug)]
pub struct Link {
    /// The other end.
    pub peer: PeerInfo,
    /// What has been sent over it: departures to control processes, all kinds of updates to
    /// routers.
    pub delivery: PeerDelivery,
    /// When the connection was opened.
    pub up_since: Timestamp,
    /// Whether a router is subscribed to the engines; `None` until it has said so.
    pub wants_engines: Option<bool>,
    last_received_at: Timestamp,
}

/// All connections of one control process.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<LinkId, Link>,
}

impl Links {
    /// Adds a new connection.
    pub fn up(&mut self, now: Timestamp, link: LinkId, peer: PeerInfo) {
        let entry = Link {
            peer,
            delivery: PeerDelivery::default(),
            up_since: now,
            wants_engines: None,
            last_received_at: now,
        };
        self.links.insert(link, entry);
    }

    /// Removes a closed connection.
    pub fn down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Records that a message was received. Returns its sender; `None` if the connection is closed.
    pub fn on_received(&mut self, now: Timestamp, link: LinkId) -> Option<(NodeId, PeerRole)> {
        let entry = self.links.get_mut(&link)?;
        entry.last_received_at = now;
        Some((entry.peer.node.clone(), entry.peer.role))
    }

    /// The state of a connection.
    pub fn get_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&link)
    }

    /// The best connection to a process that `matches`.
    pub fn best(&self, now: Timestamp, matches: impl Fn(&PeerInfo) -> bool) -> Option<LinkId> {
        let candidates = self.links.iter().filter(|(_, link)| matches(&link.peer));
        candidates.max_by_key(|(id, link)| rank(now, **id, link)).map(|(id, _)| *id)
    }

    /// The best connection to the control process of a machine.
    pub fn link_to_control(&self, now: Timestamp, machine: &MachineName) -> Option<LinkId> {
        self.best(now, |peer| peer.role == PeerRole::Control && peer.node.machine == *machine)
    }

    /// The best connection to one incarnation of a router.
    pub fn link_to_router(&self, now: Timestamp, router: &NodeId) -> Option<LinkId> {
        self.best(now, |peer| peer.role == PeerRole::Router && peer.node == *router)
    }

    /// One connection to each process with `role`.
    pub fn one_per_peer(&self, now: Timestamp, role: PeerRole) -> Vec<LinkId> {
        let mut best: BTreeMap<&NodeId, (LinkId, &Link)> = BTreeMap::new();
        for (id, link) in self.links.iter().filter(|(_, link)| link.peer.role == role) {
            let chosen = best.entry(&link.peer.node).or_insert((*id, link));
            if rank(now, *id, link) > rank(now, chosen.0, chosen.1) {
                *chosen = (*id, link);
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

    /// Every connection to processes with `role`, for messages that also serve as keep-alives.
    pub fn all(&self, role: PeerRole) -> Vec<LinkId> {
        self.peers(role).map(|(link, _)| link).collect()
    }

    /// The connected machines with `role`, with their zones.
    pub fn machines(&self, role: PeerRole) -> BTreeMap<MachineName, ZoneName> {
        let peers = self.links.values().map(|link| &link.peer).filter(|peer| peer.role == role);
        peers.map(|peer| (peer.node.machine.clone(), peer.zone.clone())).collect()
    }

    /// The machines with `role` from which something was received recently.
    pub fn heard_machines(&self, now: Timestamp, role: PeerRole) -> BTreeSet<MachineName> {
        let links = self.links.values().filter(|link| link.peer.role == role);
        let heard = links.filter(|link| now.since(link.last_received_at) < HEARD_WITHIN);
        heard.map(|link| link.peer.node.machine.clone()).collect()
    }

    /// The connected processes with `role`, once for each connection.
    pub fn peers(&self, role: PeerRole) -> impl Iterator<Item = (LinkId, &PeerInfo)> {
        let links = self.links.iter().map(|(id, link)| (*id, &link.peer));
        links.filter(move |(_, peer)| peer.role == role)
    }

    /// Zone and listen address of the process at the other end.
    pub fn endpoint(&self, link: LinkId) -> Option<RouterEndpoint> {
        let peer = &self.links.get(&link)?.peer;
        Some(RouterEndpoint { zone: peer.zone.clone(), address: peer.listen_address })
    }

    /// Number of connected machines with `role`.
    pub fn count_machines(&self, role: PeerRole) -> usize {
        let machines: BTreeSet<&MachineName> =
            self.peers(role).map(|(_, peer)| &peer.node.machine).collect();
        machines.len()
    }
}

/// Ranks connections: active ones before inactive ones; among active ones the newest, among
/// inactive ones the one that received a message last.
fn rank(now: Timestamp, id: LinkId, link: &Link) -> (bool, Timestamp, LinkId) {
    let is_active = now.since(link.last_received_at) < ACTIVE_WITHIN;
    let last_received_at = if is_active { Timestamp(0) } else { link.last_received_at };
    (is_active, last_received_at, id)
}
