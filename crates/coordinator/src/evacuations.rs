//! Commits operators' orders to evacuate zones, and sends the evacuated zones to routers.

use crate::control_node::ControlNode;
use crate::message::FleetMessage;
use crate::replica_api::{PutReply, ReplicaEvent};
use crate::replica_thread::ReplicaView;
use stackpost_gateway_core::EvacuationOrder;
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::ZoneName;
use std::collections::BTreeSet;
use thiserror::Error;

/// The order names a zone in which neither machines nor engines are known. No state is changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("evacuation: zone `{0}` is not known")]
pub struct UnknownZone(pub ZoneName);

impl ControlNode {
    /// Commits an order. When this returns [`PutReply::Accepted`], a majority of the replicas holds
    /// it.
    ///
    /// # Errors
    ///
    /// The zone is neither one of `zones`, those of the fleet's machines, nor that of an engine.
    pub async fn evacuate(
        &self,
        zones: &BTreeSet<ZoneName>,
        order: EvacuationOrder,
    ) -> Result<PutReply, UnknownZone> {
        let zone = order.zone();
        if !zones.contains(zone) && !self.state.borrow().directory.has_engine_in(zone) {
            return Err(UnknownZone(zone.clone()));
        }
        Ok(self.commit_order(|token| ReplicaEvent::Evacuate { token, order }).await)
    }

    /// The evacuated zones as of the last entry that this process's replica has applied.
    pub fn evacuated_zones(&self) -> BTreeSet<ZoneName> {
        self.replica.view().evacuations.zones().clone()
    }

    pub(crate) fn on_evacuations_changed(&self) {
        let view = self.replica.view();
        let zones: Vec<&str> = view.evacuations.zones().iter().map(ZoneName::as_str).collect();
        let (zones, revision) = (zones.join(","), view.evacuations.revision());
        log::info!(zones = zones.as_str(), revision = revision; "evacuated zones");
        self.broadcast_evacuations();
    }

    /// Sends the evacuated zones to all routers if this replica leads.
    pub(crate) fn broadcast_evacuations(&self) {
        let view = self.replica.view();
        if view.is_leader() {
            let routers = self.state.borrow().links.one_per_peer(self.now(), PeerRole::Router);
            self.send_evacuations(&routers, &view);
        }
    }

    /// Sends the evacuated zones to the routers that have not confirmed them. The list is short, so
    /// it is always sent whole.
    pub(crate) fn send_evacuations(&self, routers: &[LinkId], view: &ReplicaView) {
        let evacuations = &view.evacuations;
        self.send_updates(
            routers,
            evacuations.revision(),
            |delivery| &mut delivery.evacuations,
            |_, _| FleetMessage::Evacuations(evacuations.as_ref().clone()),
        );
    }

    /// Records which revision of the evacuated zones a router has confirmed.
    pub(crate) fn on_evacuations_confirmed(&self, link: LinkId, revision: u64) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.delivery.evacuations.confirm(revision);
        }
    }
}
