//! Delivery of the configuration to the routers.

use crate::replica::Replica;
use stackpost_consensus::ReadConfirmed;
use stackpost_protocol::{Message, Peer};
use stackpost_storage::Disk;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time after which a delta that the router has not applied is resent.
const PUSH_RETRY_INTERVAL: Millis = Millis(300);
/// Time that a router must be behind before a follower sends it the configuration. It gives the
/// leader time to send it first.
const FOLLOWER_PUSH_DELAY: Millis = Millis(700);

/// Configuration deliveries in progress.
#[derive(Debug, Default)]
pub(crate) struct Pushes {
    pushed: BTreeMap<NodeId, (Version, Timestamp)>,
    behind_since: BTreeMap<NodeId, Timestamp>,
    next_read: u64,
    reads: BTreeMap<u64, (NodeId, Timestamp)>,
}

impl<D: Disk> Replica<D> {
    /// Sends the router the configuration changes that it lacks. The leader sends them at once,
    /// followers only if the router stays behind, as it does when it can't reach the leader.
    pub(crate) fn push_if_behind(&mut self, node: &NodeId) {
        let current = self.state.table().version();
        let Some(observed) = self.liveness.observed.get(node) else {
            return;
        };
        // An incarnation that has ended applies nothing.
        if !self.is_newest_incarnation(node) {
            return;
        }
        let router_version = observed.version;
        if router_version >= current {
            self.pushes.behind_since.remove(node);
            return;
        }
        let now = self.now;
        let since = *self.pushes.behind_since.entry(node.clone()).or_insert(now);
        if !self.is_leader() && now.since(since) < FOLLOWER_PUSH_DELAY {
            return;
        }
        if router_version == Version(0) {
            self.confirm_first_configuration(node);
            return;
        }
        let recently_pushed = self.pushes.pushed.get(node).is_some_and(|(version, at)| {
            *version >= current && now.since(*at) < PUSH_RETRY_INTERVAL
        });
        if recently_pushed {
            return;
        }
        self.pushes.pushed.insert(node.clone(), (current, now));
        let delta = self.state.table().delta_since(router_version);
        let message = Message::Configuration { confirmed: false, delta };
        self.send(Peer::Router(node.clone()), message);
    }

    /// Starts a linearizable read before a router is sent its first configuration. An earlier
    /// incarnation of the router may have had a newer configuration than this replica, so a
    /// majority must first confirm that this replica leads, and thus that no newer configuration
    /// has been committed.
    fn confirm_first_configuration(&mut self, node: &NodeId) {
        let now = self.now;
        self.pushes.reads.retain(|_, (_, at)| now.since(*at) < PUSH_RETRY_INTERVAL);
        let read_pending = self.pushes.reads.values().any(|(other, _)| other == node);
        if read_pending {
            return;
        }
        self.pushes.next_read += 1;
        let context = self.pushes.next_read;
        if self.raft.read_index(context).is_ok() {
            self.pushes.reads.insert(context, (node.clone(), now));
        }
    }

    pub(crate) fn on_read_confirmed(&mut self, read: ReadConfirmed) {
        let Some((node, _)) = self.pushes.reads.remove(&read.context) else {
            return;
        };
        if self.state.table().version() < Version(read.index) {
            return;
        }
        let delta = self.state.table().delta_since(Version(0));
        let message = Message::Configuration { confirmed: true, delta };
        self.send(Peer::Router(node), message);
    }

    pub(crate) fn tick_pushes(&mut self) {
        let nodes: Vec<NodeId> = self.liveness.observed.keys().cloned().collect();
        for node in &nodes {
            self.push_if_behind(node);
        }
        self.pushes.pushed.retain(|node, _| self.liveness.observed.contains_key(node));
        self.pushes.behind_since.retain(|node, _| self.liveness.observed.contains_key(node));
    }
}
