//! Tells the leader which departures this router knows, and which departing engines may not have
//! read all its requests.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_gateway_core::{DepartureRecord, EngineState};
use stackpost_mesh::LinkId;
use stackpost_types::{BackEndName, Timestamp};

impl FleetLink {
    /// Begins or ends the watch over the requests at an engine whose departure is committed.
    pub(super) fn watch_departure(&self, now: Timestamp, record: &DepartureRecord) {
        let mut progress = self.departure_progress.borrow_mut();
        match record.state {
            EngineState::Ready => progress.on_return(&record.engine),
            EngineState::Draining | EngineState::Gone => progress.on_departure(now, &record.engine),
        }
    }

    /// Sends the complete report, which confirms the departures received so far.
    pub(super) fn send_departure_progress(&self, link: LinkId) {
        let (now, revision) = (self.router.now(), self.router.departures_revision());
        let traffic = |engine: &BackEndName| self.router.traffic(engine);
        let report = self.departure_progress.borrow_mut().report(now, revision, traffic);
        self.mesh.send(link, &FleetMessage::DepartureProgress(report));
    }

    /// Reports to the leader what has changed.
    pub(super) fn report_departure_progress(&self) {
        let Some(leader) = self.leader.get() else {
            return;
        };
        let (now, revision) = (self.router.now(), self.router.departures_revision());
        let traffic = |engine: &BackEndName| self.router.traffic(engine);
        let report = self.departure_progress.borrow_mut().report_if_due(now, revision, traffic);
        if let Some(report) = report {
            self.mesh.send(leader, &FleetMessage::DepartureProgress(report));
        }
    }
}
