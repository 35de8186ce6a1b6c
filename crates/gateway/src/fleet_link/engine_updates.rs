//! Handles engine updates of control processes.

use super::FleetLink;
use crate::decision_log;
use stackpost_coordinator::{FleetMessage, SilentEnginesDelta};
use stackpost_gateway_core::{
    ColdDelta, DepartureDelta, DepartureRecord, DirectoryDelta, EngineNotice, EngineState,
    MergeOutcome,
};
use stackpost_mesh::LinkId;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeSet;

/// Engine arrivals of one message that are logged individually; a router that starts receives all
/// engines at once.
const MAX_ARRIVAL_LINES: usize = 4;

impl FleetLink {
    /// Applies a directory delta of a control process. One that does not build on the received
    /// version leaves a gap and is sent again.
    pub(super) fn on_engine_changes(&self, link: LinkId, delta: DirectoryDelta) {
        let (base, revision) = (delta.base, delta.revision);
        if base == 0 && !delta.notices.is_empty() {
            self.on_whole_engine_list(link);
        }
        self.on_engines(link, delta.notices);
        self.update_versions(link, |versions| {
            if base <= versions.engines {
                versions.engines = versions.engines.max(revision);
            }
        });
    }

    fn on_engines(&self, link: LinkId, notices: Vec<EngineNotice>) {
        let now = self.router.now();
        let mut arrivals = Vec::new();
        for notice in notices {
            let before = self.state_of(&notice.engine);
            let merged = self.router.directory.borrow_mut().merge(now, notice.clone());
            if merged != MergeOutcome::Changed {
                continue;
            }
            self.on_engine_changed(now, &notice.engine, notice.state);
            if notice.state == EngineState::Ready {
                arrivals.push(notice);
            } else if before != Some(notice.state) {
                let (state, sequence) = (notice.state, notice.sequence);
                let record = DepartureRecord { engine: notice.engine, state, sequence };
                self.on_departure(now, link, &record, Some(notice.age));
            }
        }
        self.router.on_engines_changed();
        self.log_arrivals(link, &arrivals);
    }

    /// Applies the departures that the control replicas have committed, and acknowledges them.
    pub(super) fn on_departures(&self, link: LinkId, delta: &DepartureDelta) {
        let now = self.router.now();
        for record in &delta.records {
            let has_changed = self.router.directory.borrow_mut().apply_departure(now, record);
            if has_changed && record.state != EngineState::Ready {
                self.on_departure(now, link, record, None);
            }
            self.watch_departure(now, record);
        }
        self.router.on_engines_changed();
        self.router.on_departures_received(delta);
        self.send_departure_progress(link);
        self.send_status(link);
    }

    /// Applies the changes of a control process's cold engines, and confirms what is known of them.
    pub(super) fn on_cold_engines(&self, link: LinkId, delta: &ColdDelta) {
        self.router.permits.merge_cold(self.router.now(), delta);
        let mut revisions = self.cold_revisions.borrow_mut();
        let known = revisions.entry(link).or_default();
        if delta.base <= *known {
            *known = (*known).max(delta.revision);
        }
        self.mesh.send(link, &FleetMessage::ColdEnginesConfirmed(*known));
    }

    fn state_of(&self, engine: &BackEndName) -> Option<EngineState> {
        self.router.directory.borrow().get(engine).map(|record| record.notice.state)
    }

    /// A new incarnation shows that the previous one has ended.
    fn on_engine_changed(&self, now: Timestamp, engine: &BackEndName, state: EngineState) {
        let mut tracker = self.router.crash_tracker.borrow_mut();
        if state != EngineState::Gone && tracker.on_incarnation_started(now, engine) {
            self.router.crash_report_due.notify_one();
        }
    }

    /// Logs that an engine accepts no more requests. If `age`, the time since the engine announced
    /// it, is known, also records how late this router received it and how many requests it sent
    /// there meanwhile.
    fn on_departure(
        &self,
        now: Timestamp,
        link: LinkId,
        record: &DepartureRecord,
        age: Option<Millis>,
    ) {
        let sent_since = age.map(|age| {
            let left_at = Timestamp(now.0.saturating_sub(age.0));
            let sent_since = self.router.picker.borrow().sent_since(&record.engine, left_at);
            self.router.metrics.on_departure(age, sent_since);
            sent_since
        });
        decision_log::engine_departs(&self.router, record, &self.name_of(link), age, sent_since);
    }

    fn log_arrivals(&self, link: LinkId, arrivals: &[EngineNotice]) {
        let peer = self.name_of(link);
        for notice in arrivals.iter().take(MAX_ARRIVAL_LINES) {
            log::info!(
                engine = notice.engine.as_str(),
                software = notice.software.as_str(),
                sequence = notice.sequence,
                age_ms = notice.age.0,
                peer = peer.as_str();
                "engine comes"
            );
        }
        if arrivals.len() > MAX_ARRIVAL_LINES {
            let others = arrivals.len() - MAX_ARRIVAL_LINES;
            log::info!(others = others, peer = peer.as_str(); "engines come");
        }
    }

    /// Name of the control process at the other end of a connection.
    pub(super) fn name_of(&self, link: LinkId) -> String {
        self.links.borrow().get(&link).map_or_else(String::new, ToString::to_string)
    }

    pub(super) fn on_silent_engines(&self, link: LinkId, engines: BTreeSet<BackEndName>) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|known, _| self.links.borrow().contains_key(known));
        silent.insert(link, engines);
        drop(silent);
        self.apply_silent_engines();
    }

    /// Applies changes of the engines that a control process reports as silent. A delta that does
    /// not build on the received version is sent again.
    pub(super) fn on_silent_changes(&self, link: LinkId, delta: &SilentEnginesDelta) {
        let known = self.versions.borrow().get(&link).map_or(0, |versions| versions.silent);
        let mut engines = self.silent.borrow().get(&link).cloned().unwrap_or_default();
        if let Some(version) = delta.apply(known, &mut engines) {
            self.update_versions(link, |versions| versions.silent = version);
            self.on_silent_engines(link, engines);
        }
    }

    /// Drops the silent engines of control processes that report them no longer. If none is left,
    /// no engine counts as silent until the next report.
    pub(super) fn forget_silent_engines(&self, is_outdated: impl Fn(LinkId) -> bool) {
        self.silent.borrow_mut().retain(|link, _| !is_outdated(*link));
        if self.silent.borrow().is_empty() {
            self.router.directory.borrow_mut().set_silent(BTreeSet::new());
        }
        self.apply_silent_engines();
    }

    /// Drops the silent engines that a control process reported, unless it was the last one:
    /// without any control process the last report stays valid.
    pub(super) fn on_control_down(&self, link: LinkId) {
        let mut silent = self.silent.borrow_mut();
        if silent.len() > 1 {
            silent.remove(&link);
        }
        drop(silent);
        self.apply_silent_engines();
        self.router_lists.borrow_mut().on_disconnect(self.router.now(), link);
    }

    /// An engine counts as silent if every control process reports it as silent.
    fn apply_silent_engines(&self) {
        let silent = self.silent.borrow();
        let mut sets = silent.values();
        let Some(first) = sets.next() else {
            return;
        };
        let silent_everywhere =
            sets.fold(first.clone(), |common, set| common.intersection(set).cloned().collect());
        self.router.directory.borrow_mut().set_silent(silent_everywhere);
    }
}
