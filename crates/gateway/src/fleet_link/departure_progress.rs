//! Tells the leader which departures this router knows, and which departing engines may not have
//! read all its requests. Those are probed.

use super::FleetLink;
use stackpost_coordinator::FleetMessage;
use stackpost_gateway_core::{DepartureRecord, EngineState, EngineTraffic};
use stackpost_mesh::LinkId;
use stackpost_types::{BackEndName, Millis, Timestamp};

/// Time after a departure from which an engine with unread requests is probed: most of them are
/// answered before.
const PROBE_AFTER: Millis = Millis(200);

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

    /// Reports to the leader what has changed, and probes engines with unread requests.
    pub(super) fn report_departure_progress(&self) {
        self.probe_departing_engines();
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

    fn probe_departing_engines(&self) {
        let now = self.router.now();
        for (engine, learned_at) in self.departure_progress.borrow().departing() {
            let is_unread = matches!(self.router.traffic(engine), EngineTraffic::UnreadSince(_));
            if is_unread && now.since(learned_at) >= PROBE_AFTER {
                self.router.probe_reading(engine);
            }
        }
    }
}
