//! What a control process tells routers, and of departures other control processes, too. Messages may be lost, so each
//! kind has a version, and what the other end does not confirm in time is told again.

use crate::control_node::ControlNode;
use crate::control_state::ControlState;
use crate::delivery::DeliveryTracker;
use crate::message::{FleetMessage, RouterVersions};
use crate::replica_thread::ReplicaView;
use crate::router_peers::select_peers;
use stackpost_gateway_core::{EngineDirectory, RouterEndpoint, ZoneRouters};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::{BackEndName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How far the other end of a connection is with each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
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
}

impl PeerDelivery {
    /// A router says what it has.
    pub fn confirm(&mut self, versions: &RouterVersions) {
        self.document.confirm(versions.document);
        self.departures.confirm(versions.departures);
        self.engines.confirm(versions.engines);
        self.silent.confirm(versions.silent);
        self.routers.confirm(versions.routers);
    }
}

/// Engines that have not been announced of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilentEngineList {
    pub engines: BTreeSet<BackEndName>,
    version: u64,
}

impl SilentEngineList {
    /// Looks at the directory. Returns whether other engines are silent now.
    pub fn refresh(&mut self, now: Timestamp, directory: &EngineDirectory) -> bool {
        let engines = directory.silent_engines(now);
        let has_changed = engines != self.engines;
        if has_changed {
            self.engines = engines;
            self.version += 1;
        }
        has_changed
    }
}

/// The routers that are connected, as they were told of one another.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouterList {
    endpoints: Vec<RouterEndpoint>,
    version: u64,
    /// Whether a router has connected since.
    pub is_outdated: bool,
}

impl ControlNode {
    /// Tells a router whatever it has not confirmed. The configuration and departures come from the leader, unless the
    /// router hears none.
    pub(crate) fn send_updates_to_router(&self, link: LinkId, accepts_unconfirmed: bool) {
        self.send_engines(&[link]);
        self.send_silent(&[link]);
        self.send_router_list(link);
        let view = self.replica.view();
        if view.leads() || accepts_unconfirmed {
            self.send_document(&[link], &view);
            self.send_departures(&[link], &view);
        }
    }

    /// Tells all routers what is new of the configuration.
    pub(crate) fn broadcast_document(&self) {
        self.send_document(&self.all_routers(), &self.replica.view());
    }

    /// Tells everyone of departures that they have not confirmed.
    pub(crate) fn broadcast_departures(&self) {
        let everyone = self.state.borrow().links.one_per_peer_all_roles(self.now());
        self.send_departures(&everyone, &self.replica.view());
    }

    /// Tells all routers what is new of the engines.
    pub(crate) fn broadcast_engines(&self) {
        self.send_engines(&self.all_routers());
    }

    /// Tells all routers which engines are silent, if these are others now.
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

    /// Tells every router of the others, if one has connected since.
    pub(crate) fn broadcast_router_list(&self) {
        let routers: Vec<LinkId> = {
            let state = &mut *self.state.borrow_mut();
            if !std::mem::take(&mut state.routers.is_outdated) {
                return;
            }
            let endpoints = state.router_endpoints();
            state.routers.endpoints = endpoints.keys().cloned().collect();
            state.routers.version += 1;
            endpoints.into_values().collect()
        };
        routers.into_iter().for_each(|link| self.send_router_list(link));
    }

    fn all_routers(&self) -> Vec<LinkId> {
        self.state.borrow().links.one_per_peer(self.now(), PeerRole::Router)
    }

    /// Sends what leads up to `version` to routers that do not have it and to which it is not on its way. `message` is given
    /// the version on which they can build, and is asked once for all that build on the same one.
    fn send_updates(
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

    fn send_engines(&self, links: &[LinkId]) {
        let (now, revision) = (self.now(), self.state.borrow().directory.revision());
        let message = |state: &mut ControlState, base| {
            FleetMessage::EngineChanges(state.directory.changes_since(now, base))
        };
        self.send_updates(links, revision, |delivery| &mut delivery.engines, message);
    }

    fn send_silent(&self, links: &[LinkId]) {
        let version = self.state.borrow().silent.version;
        let message = |state: &mut ControlState, _| FleetMessage::SilentEngines {
            version,
            engines: state.silent.engines.clone(),
        };
        self.send_updates(links, version, |delivery| &mut delivery.silent, message);
    }

    /// Each router is told of other peers.
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
