//! Bringing the configuration to the routers.

use crate::replica::Replica;
use stackpost_consensus::ReadConfirmed;
use stackpost_protocol::{Message, Peer};
use stackpost_storage::Disk;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time before a delta that was not taken up is sent again.
const PUSH_AGAIN_AFTER: Millis = Millis(300);
/// How much later than the leader a follower steps in for a router that is behind.
const FOLLOWER_DELAY: Millis = Millis(700);

/// What was pushed to whom.
#[derive(Debug, Default)]
pub(crate) struct Pushes {
    pushed: BTreeMap<NodeId, (Version, Timestamp)>,
    behind_since: BTreeMap<NodeId, Timestamp>,
    next_read: u64,
    reads: BTreeMap<u64, (NodeId, Timestamp)>,
}

impl<D: Disk> Replica<D> {
    /// Sends the router what it lacks. The leader does so at once, the others only if the router
    /// stays behind, as one does that can't reach the leader.
    pub(crate) fn push_if_behind(&mut self, node: &NodeId) {
        let current = self.state.table().version();
        let Some(observed) = self.liveness.observed.get(node) else {
            return;
        };
        // A life that is over takes nothing up any more.
        if !self.is_newest_incarnation(node) {
            return;
        }
        let have = observed.version;
        if have >= current {
            self.pushes.behind_since.remove(node);
            return;
        }
        let now = self.now;
        let since = *self.pushes.behind_since.entry(node.clone()).or_insert(now);
        if !self.is_leader() && now.since(since) < FOLLOWER_DELAY {
            return;
        }
        if have == Version(0) {
            self.confirm_first_configuration(node);
            return;
        }
        let repeated =
            self.pushes.pushed.get(node).is_some_and(|(version, at)| {
                *version >= current && now.since(*at) < PUSH_AGAIN_AFTER
            });
        if repeated {
            return;
        }
        self.pushes.pushed.insert(node.clone(), (current, now));
        let delta = self.state.table().delta_since(have);
        let message = Message::Configuration { confirmed: false, delta };
        self.send(Peer::Router(node.clone()), message);
    }

    /// A router without a configuration may have had a newer one in an earlier life than this
    /// replica has now. So its first one is sent only after a majority has confirmed that this
    /// replica leads, hence that nothing newer was ever accepted.
    fn confirm_first_configuration(&mut self, node: &NodeId) {
        let now = self.now;
        self.pushes.reads.retain(|_, (_, at)| now.since(*at) < PUSH_AGAIN_AFTER);
        let asked = self.pushes.reads.values().any(|(other, _)| other == node);
        if asked {
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
