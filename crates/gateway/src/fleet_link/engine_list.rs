//! Subscribes to the list of engines at one control process, and compares it with the others'.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_gateway_core::EngineListDigest;
use stackpost_mesh::LinkId;
use stackpost_types::ZoneName;

impl FleetLink {
    /// Tells a control process whether it should send the list and its changes.
    pub(super) fn on_control_up(&self, link: LinkId, zone: &ZoneName) {
        let is_own_zone = *zone == self.endpoint.zone;
        let now = self.router.now();
        let is_wanted = self.engine_subscription.borrow_mut().on_up(now, link, is_own_zone);
        self.mesh.send(link, &FleetMessage::EngineListWanted(is_wanted));
    }

    pub(super) fn subscribe_if_due(&self) {
        let due = self.engine_subscription.borrow_mut().due(self.router.now());
        if let Some(link) = due {
            self.request_engine_list(link);
        }
    }

    /// Requests the list if it has differed from a control process's for some time.
    pub(super) fn on_engine_list_digest(&self, link: LinkId, digest: EngineListDigest) {
        let (now, own) = (self.router.now(), self.own_digest());
        if self.engine_subscription.borrow_mut().on_digest(now, link, own, digest) {
            log::info!(peer = self.name_of(link).as_str(); "list of engines differs");
            self.request_engine_list(link);
        }
    }

    /// Ends the changes of a control process whose list was wanted once only.
    pub(super) fn on_whole_engine_list(&self, link: LinkId) {
        if self.engine_subscription.borrow_mut().on_list(link) {
            self.mesh.send(link, &FleetMessage::EngineListWanted(false));
            self.forget_silent_engines(|reported_by| reported_by == link);
        } else {
            self.forget_silent_engines(|reported_by| reported_by != link);
        }
    }

    fn request_engine_list(&self, link: LinkId) {
        self.update_versions(link, |versions| {
            versions.engines = 0;
            versions.silent = 0;
        });
        self.mesh.send(link, &FleetMessage::EngineListWanted(true));
    }

    fn own_digest(&self) -> EngineListDigest {
        let directory = self.router.directory.borrow();
        let (revision, records) = (directory.revision(), directory.iter().count());
        match self.own_digest.get() {
            Some((known, counted, digest)) if (known, counted) == (revision, records) => digest,
            _ => {
                let digest = EngineListDigest::of(&directory);
                self.own_digest.set(Some((revision, records, digest)));
                digest
            }
        }
    }
}
