//! Sends routers the whole list of engines, or only its changes, as they want.

use crate::control_node::ControlNode;
use crate::delivery::DeliveryTracker;
use crate::links::Link;
use crate::message::FleetMessage;
use stackpost_gateway_core::{DirectoryDelta, EngineListDigest};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::{Millis, Timestamp};

/// Time after which a router that has not said what it wants is sent the whole list: it runs an
/// earlier version.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// Whether changes of the engines may be sent over a connection.
pub(crate) fn may_send_engines(now: Timestamp, link: &Link) -> bool {
    link.has_requested_engines || now.since(link.up_since) >= REQUEST_TIMEOUT
}

impl ControlNode {
    /// Sends a router the whole list of engines, or the revision from which on it receives changes.
    pub(crate) fn on_engine_list_wanted(&self, link: LinkId, is_wanted: bool) {
        let now = self.now();
        {
            let state = &mut *self.state.borrow_mut();
            let revision = state.directory.revision();
            let Some(entry) = state.links.get_mut(link) else {
                return;
            };
            entry.has_requested_engines = true;
            entry.delivery.engines = DeliveryTracker::default();
            if !is_wanted {
                entry.delivery.engines.begin_send(now, revision);
                let start = DirectoryDelta { base: 0, revision, notices: Vec::new() };
                self.mesh.send(link, &FleetMessage::EngineChanges(start));
            }
        }
        self.send_engines(&[link]);
    }

    /// Sends all routers the digest of the list of engines.
    pub(crate) fn broadcast_engine_digest(&self) {
        let state = self.state.borrow();
        let digest = EngineListDigest::of(&state.directory);
        let routers = state.links.one_per_peer(self.now(), PeerRole::Router);
        self.mesh.send_all(routers, &FleetMessage::EngineListDigest(digest));
    }
}
