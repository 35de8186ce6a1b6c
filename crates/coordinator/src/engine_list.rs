//! Sends the list of engines to the routers that want it, and its digest to all.

use crate::control_node::ControlNode;
use crate::delivery::DeliveryTracker;
use crate::links::Link;
use crate::message::FleetMessage;
use stackpost_gateway_core::EngineListDigest;
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::{Millis, Timestamp};

/// Time after which a router that has not sent a subscription is sent the full list: it runs an
/// earlier version.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// Whether the engines may be sent over a connection.
fn may_send_engines(now: Timestamp, link: &Link) -> bool {
    link.wants_engines.unwrap_or_else(|| now.since(link.up_since) >= REQUEST_TIMEOUT)
}

impl ControlNode {
    /// Records whether a router wants the list of engines, and sends it if so.
    pub(crate) fn on_engine_list_wanted(&self, link: LinkId, is_wanted: bool) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.wants_engines = Some(is_wanted);
            entry.delivery.engines = DeliveryTracker::default();
            entry.delivery.cold = DeliveryTracker::default();
            entry.delivery.silent = DeliveryTracker::default();
        }
        self.send_cold_engines(&[link]);
        self.send_engines(&[link]);
        self.send_silent(&[link]);
    }

    /// The routers among `links` that are subscribed to the engines.
    pub(crate) fn subscribed_to_engines(&self, links: &[LinkId]) -> Vec<LinkId> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let is_subscribed = |link: &LinkId| {
            state.links.get_mut(*link).is_some_and(|link| may_send_engines(now, link))
        };
        links.iter().copied().filter(is_subscribed).collect()
    }

    /// Sends all routers the digest of the list of engines.
    pub(crate) fn broadcast_engine_digest(&self) {
        let state = self.state.borrow();
        let digest = EngineListDigest::of(&state.directory);
        let routers = state.links.one_per_peer(self.now(), PeerRole::Router);
        self.mesh.send_all(routers, &FleetMessage::EngineListDigest(digest));
    }
}
