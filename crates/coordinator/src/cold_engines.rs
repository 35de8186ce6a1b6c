//! Passes on which engines are cold.

use crate::control_node::ControlNode;
use crate::message::FleetMessage;
use stackpost_gateway_core::ColdNotice;
use stackpost_mesh::{LinkId, PeerRole};

impl ControlNode {
    /// Records an engine's cold period and passes a change on to all connected processes.
    pub(crate) fn record_cold(&self, notice: ColdNotice) {
        let now = self.now();
        {
            let state = &mut *self.state.borrow_mut();
            if !state.cold.merge(now, &notice) {
                return;
            }
            let controls = state.links.one_per_peer(now, PeerRole::Control);
            let message = FleetMessage::ColdNotices(vec![notice.clone()]);
            self.mesh.send_all(controls, &message);
        }
        let (engine, left_ms) = (notice.engine.as_str(), notice.left.0);
        log::info!(engine = engine, left_ms = left_ms; "engine is cold");
        self.send_cold_engines(&self.all_routers());
    }

    /// Merges notices of another control process, and forwards the changes to the routers that are
    /// subscribed to this one.
    pub(crate) fn on_cold_notices(&self, notices: &[ColdNotice]) {
        let now = self.now();
        for notice in notices {
            self.state.borrow_mut().cold.merge(now, notice);
        }
        self.send_cold_engines(&self.all_routers());
    }

    /// Sends the changes of the cold engines to the subscribed routers that have not confirmed them.
    pub(crate) fn send_cold_engines(&self, routers: &[LinkId]) {
        let (now, revision) = (self.now(), self.state.borrow().cold.revision());
        let routers = self.subscribed_to_engines(routers);
        self.send_updates(
            &routers,
            revision,
            |delivery| &mut delivery.cold,
            |state, base| FleetMessage::ColdEngines(state.cold.since(now, base)),
        );
    }

    /// Records which revision of the cold engines a router has confirmed.
    pub(crate) fn on_cold_engines_confirmed(&self, link: LinkId, revision: u64) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.delivery.cold.confirm(revision);
        }
    }
}
