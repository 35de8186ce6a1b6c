//! What a control process hears of engines: their own calls, what other control processes say, and routers'
//! reports of engines that ended.

use crate::control_node::ControlNode;
use crate::departures::NotCommitted;
use crate::message::FleetMessage;
use crate::replica_api::ReplicaEvent;
use stackpost_gateway_core::{
    CrashReport, CrashSighting, DepartureRecord, EngineNotice, EngineState, MergeOutcome,
    QuarantineChange,
};
use stackpost_mesh::PeerRole;
use stackpost_types::{BackEndName, Timestamp};
use thiserror::Error;

/// Why an announcement is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The configuration in force names no such service. Nothing has changed.
    #[error("the configuration names no such service")]
    UnknownService,
    /// The engine is known to belong to another service. Nothing has changed.
    #[error("the engine belongs to another service")]
    ServiceMismatch,
    /// The engine leaves, which may not outlive this process. Whoever can be reached has been told.
    #[error(transparent)]
    NotCommitted(#[from] NotCommitted),
}

impl ControlNode {
    /// Takes in an engine's announcement. A change is on its way to everyone when this returns, and that an engine
    /// drains is written down.
    ///
    /// # Errors
    ///
    /// The announcement can't be one of an engine of this fleet, or could not be written down.
    pub async fn announce(&self, notice: EngineNotice) -> Result<(), AnnouncementError> {
        self.check(&notice)?;
        self.sync_departures();
        let word = DepartureRecord {
            engine: notice.engine.clone(),
            state: notice.state,
            sequence: notice.sequence,
        };
        if self.take_in(notice) == MergeOutcome::Changed {
            self.broadcast_engines();
        }
        self.acknowledge(word).await
    }

    /// Takes an announcement into the directory, and tells other control processes if it is news.
    fn take_in(&self, notice: EngineNotice) -> MergeOutcome {
        let now = self.now();
        let name = notice.engine.clone();
        let state = &mut *self.state.borrow_mut();
        let merge = state.directory.merge(now, notice.clone());
        self.metrics.on_announcement(notice.state, merge);
        match merge {
            MergeOutcome::Stale => log_old(&notice),
            MergeOutcome::Refreshed => {
                self.on_still_announced(&name);
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

    /// Has written down what an engine says of its end. That it takes work again is written down in passing: it is
    /// acknowledged as any other announcement.
    async fn acknowledge(&self, word: DepartureRecord) -> Result<(), AnnouncementError> {
        if word.state == EngineState::Ready {
            self.submit_departure(word);
            return Ok(());
        }
        if self.is_outdated(&word) || self.state.borrow().departures.covers(&word) {
            return Ok(());
        }
        let written = self.commit_departure(word.clone()).await;
        self.metrics.on_departure(word.state, written.is_ok());
        log_departure(&word, written);
        Ok(written?)
    }

    /// Whether an engine is known to take work again since it said `word`.
    fn is_outdated(&self, word: &DepartureRecord) -> bool {
        let state = self.state.borrow();
        let known = state.directory.get(&word.engine).map(|record| &record.notice);
        word.state != EngineState::Gone
            && known.is_some_and(|known| {
                known.state == EngineState::Ready && known.sequence > word.sequence
            })
    }

    /// An engine keeps its service for life, and there are none of services that nobody has configured.
    fn check(&self, notice: &EngineNotice) -> Result<(), AnnouncementError> {
        let services = self.replica.view().services;
        if services.is_some_and(|services| !services.contains(&notice.service)) {
            return Err(AnnouncementError::UnknownService);
        }
        let state = self.state.borrow();
        let same = state.directory.get(&notice.engine).is_none_or(|known| {
            let has_service = known.notice.state != EngineState::Gone && !known.is_name_only();
            !has_service || known.notice.service == notice.service
        });
        if same { Ok(()) } else { Err(AnnouncementError::ServiceMismatch) }
    }

    /// Takes in that the engine `id` has left; `started_at_ms` names the life, if that is known. It is written down when this
    /// returns.
    ///
    /// # Errors
    ///
    /// It could not be written down. Whoever can be reached has been told.
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
                None => state.directory.departing_incarnation(now, id),
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

    /// Takes in what another control process says of engines. It has told the routers that it reaches, so others hear of it
    /// with the next status.
    pub(crate) fn on_engines(&self, notices: Vec<EngineNotice>) {
        let now = self.now();
        for notice in notices {
            let engine = notice.engine.clone();
            let merge = self.state.borrow_mut().directory.merge(now, notice);
            if merge == MergeOutcome::Refreshed {
                self.on_still_announced(&engine);
            }
        }
    }

    /// Forgets engines that have not been announced for long, and tells routers to do so.
    pub(crate) fn expire_silent_engines(&self) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let given_up = state.directory.evict_silent(now);
        if !given_up.is_empty() {
            let routers = state.links.one_per_peer(now, PeerRole::Router);
            self.mesh.send_all(routers, &FleetMessage::ExpiredEngines(given_up));
        }
    }

    /// A report may be old: a router that was cut off tells what it saw meanwhile.
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

    /// An engine that is known goes on announcing itself.
    fn on_still_announced(&self, engine: &BackEndName) {
        if self.replica.view().quarantine.has_crashes_of(engine) {
            self.replica.send(ReplicaEvent::EngineAnnounced(engine.clone()));
        }
    }
}

/// An announcement that changes nothing is acknowledged all the same.
fn log_old(notice: &EngineNotice) {
    if notice.state != EngineState::Ready {
        log::info!(
            engine = notice.engine.as_str(),
            state = notice.state.as_str(),
            sequence = notice.sequence;
            "announcement is old"
        );
    }
}

fn log_departure(word: &DepartureRecord, written: Result<(), NotCommitted>) {
    let (engine, state) = (word.engine.as_str(), word.state.as_str());
    match written {
        Ok(()) => log::info!(engine = engine, state = state; "departure written down"),
        Err(error) => log::warn!(engine = engine, state = state; "not acknowledged: {error}"),
    }
}
