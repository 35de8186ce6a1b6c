//! Handles what a control process receives about engines: the engines' own calls, notices of other
//! control processes, and crash reports of routers.

use crate::control_node::ControlNode;
use crate::departures::{NotCommitted, NotQuiescent};
use crate::message::FleetMessage;
use crate::replica_api::ReplicaEvent;
use stackpost_gateway_core::{
    AmbiguousIncarnation, ColdNotice, CrashReport, CrashSighting, DepartureRecord, EngineNotice,
    EngineState, MergeOutcome, QuarantineChange,
};
use stackpost_mesh::PeerRole;
use stackpost_types::{BackEndName, Millis, Timestamp};
use thiserror::Error;

/// The reason why an announcement is not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The configuration in force has no such service. The state is unchanged.
    #[error("the configuration names no such service")]
    UnknownService,
    /// The engine is known to belong to another service. The state is unchanged.
    #[error("the engine belongs to another service")]
    ServiceMismatch,
    /// The engine is known to have announced later that it accepts requests, so the departure is not
    /// in force. The state is unchanged.
    #[error("the engine has announced later that it accepts requests")]
    Outdated,
    /// The engine's departure is not committed and may be lost with this process. All connected
    /// processes have received it.
    #[error(transparent)]
    NotCommitted(#[from] NotCommitted),
    /// The departure is committed, but requests may still reach the engine.
    #[error(transparent)]
    NotQuiescent(#[from] NotQuiescent),
    /// The call does not tell which incarnation leaves. The state is unchanged.
    #[error("engine departure: {0}")]
    Ambiguous(#[from] AmbiguousIncarnation),
}

impl ControlNode {
    /// Handles an engine's announcement. When this returns, a change has been sent to all connected
    /// processes, and the announcement that an engine drains is committed.
    ///
    /// # Errors
    ///
    /// The announcement does not fit an engine of this fleet, or could not be committed.
    pub async fn announce(&self, notice: EngineNotice) -> Result<(), AnnouncementError> {
        self.announce_cold(notice, Millis(0)).await
    }

    /// Handles the announcement of an engine that is cold for `cold_left` more.
    ///
    /// # Errors
    ///
    /// As for [`Self::announce`].
    pub async fn announce_cold(
        &self,
        notice: EngineNotice,
        cold_left: Millis,
    ) -> Result<(), AnnouncementError> {
        self.check(&notice)?;
        self.sync_departures();
        // Before the engine itself is passed on, so that no router takes it for a warm one.
        self.record_cold(ColdNotice {
            engine: notice.engine.clone(),
            sequence: notice.sequence,
            left: cold_left,
        });
        let departure = DepartureRecord {
            engine: notice.engine.clone(),
            state: notice.state,
            sequence: notice.sequence,
        };
        if self.merge_announcement(notice) == MergeOutcome::Changed {
            self.broadcast_engines();
        }
        self.acknowledge(departure).await
    }

    /// Merges an announcement into the directory, and sends it to other control processes if it
    /// changed something.
    fn merge_announcement(&self, notice: EngineNotice) -> MergeOutcome {
        let now = self.now();
        let name = notice.engine.clone();
        let state = &mut *self.state.borrow_mut();
        let merge = state.directory.merge(now, notice.clone());
        self.metrics.on_announcement(notice.state, merge);
        match merge {
            MergeOutcome::Stale => log_stale(&notice),
            MergeOutcome::Refreshed => {
                self.on_repeated_announcement(&name);
                state.refreshed.insert(name);
            }
            MergeOutcome::Changed => {
                log::info!(
                    engine = name.as_str(),
                    state = notice.state.as_str(),
                    sequence = notice.sequence;
                    "engine announced"
                );
                let message = FleetMessage::Engines(vec![notice]);
                self.mesh.send_all(state.links.one_per_peer(now, PeerRole::Control), &message);
            }
        }
        merge
    }

    /// Commits an engine's departure, and waits until nothing more reaches the engine. That an
    /// engine is ready again is submitted without waiting for the commit: it is acknowledged like
    /// any other announcement.
    async fn acknowledge(&self, departure: DepartureRecord) -> Result<(), AnnouncementError> {
        if departure.state == EngineState::Ready {
            self.submit_departure(departure);
            return Ok(());
        }
        if self.is_outdated(&departure) {
            return Err(AnnouncementError::Outdated);
        }
        let is_repeated = self.state.borrow().departures.covers(&departure);
        let started = self.now();
        let result = self.settle_departure(&departure).await;
        if !is_repeated || result.is_err() {
            self.metrics.on_departure(departure.state, result.is_ok());
            log_departure(&departure, self.now().since(started), &result);
        }
        result
    }

    /// Whether the engine is known to have become ready again after `departure`.
    fn is_outdated(&self, departure: &DepartureRecord) -> bool {
        let state = self.state.borrow();
        let known = state.directory.get(&departure.engine).map(|record| &record.notice);
        departure.state != EngineState::Gone
            && known.is_some_and(|known| {
                known.state == EngineState::Ready && known.sequence > departure.sequence
            })
    }

    /// Checks that the service is configured and that the engine has not changed its service, which
    /// stays the same for an incarnation.
    fn check(&self, notice: &EngineNotice) -> Result<(), AnnouncementError> {
        let services = self.replica.view().services;
        if services.is_some_and(|services| !services.contains(&notice.service)) {
            return Err(AnnouncementError::UnknownService);
        }
        let state = self.state.borrow();
        let is_same_service = state.directory.get(&notice.engine).is_none_or(|known| {
            let has_service = known.notice.state != EngineState::Gone && !known.is_name_only();
            !has_service || known.notice.service == notice.service
        });
        if is_same_service { Ok(()) } else { Err(AnnouncementError::ServiceMismatch) }
    }

    /// Records that the engine `id` has left; `started_at_ms` identifies the incarnation, if known.
    /// The departure is committed when this returns.
    ///
    /// # Errors
    ///
    /// The departure could not be committed; all connected processes have received it. Or the call
    /// may be of an earlier incarnation.
    pub async fn engine_left(
        &self,
        id: &str,
        started_at_ms: Option<u64>,
    ) -> Result<(), AnnouncementError> {
        let notice = {
            let now = self.now();
            let state = &mut *self.state.borrow_mut();
            let engine = match started_at_ms {
                Some(_) => BackEndName::of_incarnation(id, started_at_ms),
                None => state
                    .directory
                    .departing_incarnation(now, id)
                    .inspect_err(|error| log::warn!(engine = id; "not acknowledged: {error}"))?,
            };
            let notice = state.directory.mark_gone(now, &engine);
            let message = FleetMessage::Engines(vec![notice.clone()]);
            self.mesh.send_all(state.links.one_per_peer(now, PeerRole::Control), &message);
            notice
        };
        self.broadcast_engines();
        let EngineNotice { engine, state, sequence, .. } = notice;
        self.acknowledge(DepartureRecord { engine, state, sequence }).await
    }

    /// Merges engine notices of another control process. That process has sent them to the routers
    /// it is connected to; this one sends them to its routers at the next status interval.
    pub(crate) fn on_engines(&self, notices: Vec<EngineNotice>) {
        let now = self.now();
        for notice in notices {
            let engine = notice.engine.clone();
            let merge = self.state.borrow_mut().directory.merge(now, notice);
            if merge == MergeOutcome::Refreshed {
                self.on_repeated_announcement(&engine);
            }
        }
    }

    /// Evicts engines that have been silent for too long, and notifies routers.
    pub(crate) fn expire_silent_engines(&self) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let evicted = state.directory.evict_silent(now);
        if !evicted.is_empty() {
            let routers = state.links.one_per_peer(now, PeerRole::Router);
            self.mesh.send_all(routers, &FleetMessage::ExpiredEngines(evicted));
        }
    }

    /// Handles a crash report. It may be old: a router that was partitioned reports what it saw
    /// meanwhile, so sightings from before an engine's later announcements are ignored.
    pub(crate) fn on_crash_report(&self, report: CrashReport) {
        let now = self.now();
        let state = self.state.borrow();
        let reported = report.seen.len();
        let seen: Vec<CrashSighting> = report
            .seen
            .into_iter()
            .filter(|(seen, age)| {
                let at = Timestamp(now.0.saturating_sub(age.0));
                !state.directory.has_run_after(&seen.engine, at)
            })
            .map(|(seen, _)| seen)
            .collect();
        self.metrics.on_sightings(seen.len(), reported - seen.len());
        for change in
            [QuarantineChange::CrashesSeen(seen), QuarantineChange::Cleared(report.cleared)]
        {
            self.replica.send(ReplicaEvent::CrashReport(change));
        }
    }

    /// Notifies the replica that an engine with crash sightings has announced itself again.
    fn on_repeated_announcement(&self, engine: &BackEndName) {
        if self.replica.view().quarantine.has_crashes_of(engine) {
            self.replica.send(ReplicaEvent::EngineAnnounced(engine.clone()));
        }
    }
}

/// Logs an outdated announcement. It changes nothing but is acknowledged.
fn log_stale(notice: &EngineNotice) {
    if notice.state != EngineState::Ready {
        log::info!(
            engine = notice.engine.as_str(),
            state = notice.state.as_str(),
            sequence = notice.sequence;
            "announcement is old"
        );
    }
}

fn log_departure(
    departure: &DepartureRecord,
    waited: Millis,
    result: &Result<(), AnnouncementError>,
) {
    let (engine, state) = (departure.engine.as_str(), departure.state.as_str());
    match result {
        Ok(()) => log::info!(
            engine = engine, state = state, waited_ms = waited.0;
            "departure acknowledged"
        ),
        Err(error) => log::warn!(
            engine = engine, state = state, waited_ms = waited.0;
            "not acknowledged: {error}"
        ),
    }
}
