//! Tells the leader which departures this router knows, and which departing engines may not have
//! read all its requests.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_gateway_core::{DepartureProgress, DepartureRecord, EngineState};
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
        self.send_report(now, link, report);
    }

    /// Sends a report. What engines have read goes before it: the leader may decide by the report.
    fn send_report(&self, now: Timestamp, link: LinkId, report: DepartureProgress) {
        let picker = self.router.picker.borrow();
        let newest_read = |engine: &BackEndName| picker.unread(engine)?.newest_read();
        let reads = self.departure_progress.borrow().reads(now, newest_read);
        if !reads.is_empty() {
            self.mesh.send(link, &FleetMessage::EngineReads(reads));
        }
        self.mesh.send(link, &FleetMessage::DepartureProgress(report));
    }

    /// Tells all control processes that this router sends no request any more, and which engines may
    /// not have read all its requests.
    pub(super) fn send_stopped(&self) {
        let (now, revision) = (self.router.now(), self.router.departures_revision());
        let unread = self.router.picker.borrow().unread_engines(now);
        let message = FleetMessage::RouterStopped(DepartureProgress { revision, unread });
        self.mesh.send_all(self.links.borrow().keys().copied(), &message);
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
            self.send_report(now, leader, report);
        }
    }
}
