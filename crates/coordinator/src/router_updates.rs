//! Updates that a control process sends to routers; departures are also sent to other control
//! processes. Messages may be lost, so each kind of update has a version, and versions that are not
//! confirmed in time are resent.

use crate::control_node::ControlNode;
use crate::control_state::ControlState;
use crate::delivery::DeliveryTracker;
use crate::message::{FleetMessage, RouterVersions};
use crate::replica_thread::ReplicaView;
use crate::router_peers::select_peers;
use stackpost_gateway_core::{RouterEndpoint, ZoneRouters};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::{Millis, Timestamp};
use std::collections::BTreeMap;

/// Time between two lists of routers, for each router that is listed.
const LIST_PAUSE_PER_ROUTER: Millis = Millis(4);

/// Delivery state of each kind of update on one connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerDelivery {
    /// Versions of the configuration.
    pub document: DeliveryTracker,
    /// Revisions of the engines' departures.
    pub departures: DeliveryTracker,
    /// Revisions of the directory of engines.
    pub engines: DeliveryTracker,
    /// Versions of the list of silent engines.
    pub silent: DeliveryTracker,
    /// Versions of the list of routers.
    pub routers: DeliveryTracker,
    /// Revisions of the evacuated zones, confirmed by a message of their own.
    pub evacuations: DeliveryTracker,
    /// Revisions of the cold engines, confirmed by a message of their own.
    pub cold: DeliveryTracker,
}

impl PeerDelivery {
    /// Records the versions that a router has confirmed.
    pub fn confirm(&mut self, versions: &RouterVersions) {
        self.document.confirm(versions.document);
        self.departures.confirm(versions.departures);
        self.engines.confirm(versions.engines);
        self.silent.confirm(versions.silent);
        self.routers.confirm(versions.routers);
    }
}

/// The list of connected routers as last sent to them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouterList {
    endpoints: Vec<RouterEndpoint>,
    version: u64,
    /// Whether a router has connected since the list was sent.
    pub is_outdated: bool,
    sent_at: Timestamp,
}

impl RouterList {
    /// Whether a new list is due. While many routers connect, each of them would otherwise receive
    /// all others again and again.
    fn is_due(&self, now: Timestamp) -> bool {
        let pause = LIST_PAUSE_PER_ROUTER.0 * self.endpoints.len() as u64;
        self.is_outdated && now.since(self.sent_at) >= Millis(pause)
    }
}

impl ControlNode {
    /// Sends a router all updates that it has not confirmed. The configuration and departures are
    /// sent by the leader only, unless the router is not connected to a leader.
    pub(crate) fn send_updates_to_router(&self, link: LinkId, accepts_unconfirmed: bool) {
        // Before the engines: a router must not take a cold engine for a warm one.
        self.send_cold_engines(&[link]);
        self.send_engines(&[link]);
        self.send_silent(&[link]);
        self.send_router_list(link);
        let view = self.replica.view();
        if view.is_leader() || accepts_unconfirmed {
            self.send_document(&[link], &view);
            self.send_departures(&[link], &view);
            self.send_evacuations(&[link], &view);
        }
    }

    /// Sends the latest configuration to all routers that have not confirmed it.
    pub(crate) fn broadcast_document(&self) {
        self.send_document(&self.all_routers(), &self.replica.view());
    }

    /// Sends departures to all routers and control processes that have not confirmed them.
    pub(crate) fn broadcast_departures(&self) {
        let peers = self.state.borrow().links.one_per_peer_all_roles(self.now());
        self.send_departures(&peers, &self.replica.view());
    }

    /// Sends changes of the engine directory to all routers.
    pub(crate) fn broadcast_engines(&self) {
        self.send_engines(&self.all_routers());
    }

    /// Sends the silent engines to all routers if the list has changed.
    pub(crate) fn broadcast_silent_engines(&self) {
        let now = self.now();
        let has_changed = {
            let state = &mut *self.state.borrow_mut();
            state.silent.refresh(now, &state.directory)
        };
        if has_changed {
            self.send_silent(&self.all_routers());
        }
    }

    /// Sends each router its peers if a router has connected since the last time.
    pub(crate) fn broadcast_router_list(&self) {
        let routers: Vec<LinkId> = {
            let now = self.now();
            let state = &mut *self.state.borrow_mut();
            if !state.routers.is_due(now) {
                return;
            }
            state.routers.is_outdated = false;
            state.routers.sent_at = now;
            let endpoints = state.router_endpoints();
            state.routers.endpoints = endpoints.keys().cloned().collect();
            state.routers.version += 1;
            endpoints.into_values().collect()
        };
        routers.into_iter().for_each(|link| self.send_router_list(link));
    }

    pub(crate) fn all_routers(&self) -> Vec<LinkId> {
        self.state.borrow().links.one_per_peer(self.now(), PeerRole::Router)
    }

    /// Sends the update to `version` on the links that need it and on which it is not already in
    /// flight. `message` creates the update from a base version and is called once for all links
    /// with the same base.
    pub(crate) fn send_updates(
        &self,
        links: &[LinkId],
        version: u64,
        delivery: fn(&mut PeerDelivery) -> &mut DeliveryTracker,
        message: impl Fn(&mut ControlState, u64) -> FleetMessage,
    ) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let mut by_base: BTreeMap<u64, Vec<LinkId>> = BTreeMap::new();
        for link in links {
            let entry = state.links.get_mut(*link);
            if let Some(base) =
                entry.and_then(|entry| delivery(&mut entry.delivery).begin_send(now, version))
            {
                by_base.entry(base).or_default().push(*link);
            }
        }
        for (base, links) in by_base {
            let message = message(state, base);
            self.mesh.send_all(links, &message);
        }
    }

    fn send_document(&self, links: &[LinkId], view: &ReplicaView) {
        let Some(document) = &view.document else {
            return;
        };
        let message = |state: &mut ControlState, base| match state.delta(base, document) {
            Some(delta) => FleetMessage::DocumentDelta(delta),
            None => FleetMessage::Document(state.packed(document)),
        };
        self.send_updates(links, document.version, |delivery| &mut delivery.document, message);
    }

    pub(crate) fn send_departures(&self, links: &[LinkId], view: &ReplicaView) {
        let message =
            |_: &mut ControlState, base| FleetMessage::Departures(view.departures.since(base));
        self.send_updates(
            links,
            view.departures.revision(),
            |delivery| &mut delivery.departures,
            message,
        );
    }

    pub(crate) fn send_engines(&self, links: &[LinkId]) {
        let (now, revision) = (self.now(), self.state.borrow().directory.revision());
        let message = |state: &mut ControlState, base| {
            FleetMessage::EngineChanges(state.directory.changes_since(now, base))
        };
        let links = self.subscribed_to_engines(links);
        self.send_updates(&links, revision, |delivery| &mut delivery.engines, message);
    }

    pub(crate) fn send_silent(&self, links: &[LinkId]) {
        let version = self.state.borrow().silent.version();
        let message =
            |state: &mut ControlState, base| FleetMessage::SilentChanges(state.silent.since(base));
        let links = self.subscribed_to_engines(links);
        self.send_updates(&links, version, |delivery| &mut delivery.silent, message);
    }

    /// Sends a router its peers, which differ for each router.
    fn send_router_list(&self, link: LinkId) {
        let version = self.state.borrow().routers.version;
        let message = |state: &mut ControlState, _| {
            let endpoints = &state.routers.endpoints;
            let own = state.links.endpoint(link);
            let peers = own.map_or_else(Vec::new, |own| select_peers(endpoints, &own));
            let all = ZoneRouters::group(endpoints);
            FleetMessage::Routers { version, all, peers }
        };
        self.send_updates(&[link], version, |delivery| &mut delivery.routers, message);
    }
}
