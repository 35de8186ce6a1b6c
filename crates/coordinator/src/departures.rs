//! Submits engines' departures to the replicated log, and passes committed ones to the directory
//! and to routers.
//!
//! A departure notice is acknowledged only once a majority of the replicas holds it: the process
//! that acknowledges may be lost right afterwards, and the engine does not repeat an acknowledged
//! notice.

use crate::control_node::ControlNode;
use crate::engine_updates::AnnouncementError;
use crate::message::FleetMessage;
use crate::quiescence::{Quiescence, QuiescenceTracker};
use crate::replica_api::ReplicaEvent;
use stackpost_gateway_core::{DepartureDelta, DepartureRecord, Departures, KnownDepartures};
use stackpost_mesh::{LinkId, PeerRole};
use stackpost_types::{BackEndName, MachineName, Millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout_at};

/// Longest wait for a departure to be committed and its engine to be quiescent: engines time out a
/// call after one second.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before the leader is asked again whether an engine is quiescent: about the time in which
/// routers confirm a departure. It is doubled each time up to the limit.
const FIRST_QUIESCENCE_PAUSE: Duration = Duration::from_millis(2);
const MAX_QUIESCENCE_PAUSE: Duration = Duration::from_millis(50);
/// How long the commit of a departure is retried. The departure is valid whether or not it was
/// acknowledged.
const COMMIT_RETRY_PERIOD: Millis = Millis(30_000);

/// The departure is not in the replicated state yet, so it can't be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("engine departure: not committed by a majority of the control replicas")]
pub struct NotCommitted;

/// Requests may still reach the engine, so its departure can't be acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("engine departure: {0}")]
pub struct NotQuiescent(pub Quiescence);

/// Departure records that this process has received and that are not committed yet.
#[derive(Debug, Default)]
pub(crate) struct UncommittedDepartures {
    records: BTreeMap<BackEndName, (DepartureRecord, Timestamp)>,
}

impl UncommittedDepartures {
    /// Keeps a record until it is committed, replacing an earlier one of the same engine.
    fn insert(&mut self, now: Timestamp, departure: DepartureRecord) {
        self.records.insert(departure.engine.clone(), (departure, now));
    }

    /// Drops committed and expired records and returns the rest.
    fn remaining(&mut self, now: Timestamp, known: &KnownDepartures) -> Vec<DepartureRecord> {
        self.records.retain(|_, (departure, since)| {
            known.lacks(departure) && now.since(*since) < COMMIT_RETRY_PERIOD
        });
        self.records.values().map(|(departure, _)| departure.clone()).collect()
    }
}

impl ControlNode {
    /// Waits until a departure is in force and nothing more reaches the engine.
    pub(crate) async fn settle_departure(
        &self,
        departure: &DepartureRecord,
    ) -> Result<(), AnnouncementError> {
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        if !self.state.borrow().departures.covers(departure) {
            self.commit_departure(departure.clone(), deadline).await?;
        }
        Ok(self.wait_until_quiescent(&departure.engine, deadline).await?)
    }

    /// Submits a departure and waits until it, or a newer one of that engine, is committed.
    async fn commit_departure(
        &self,
        departure: DepartureRecord,
        deadline: Instant,
    ) -> Result<(), NotCommitted> {
        let mut revision = self.committed_departures_revision.subscribe();
        self.submit_departure(departure.clone());
        let is_covered = |_: &u64| self.state.borrow().departures.covers(&departure);
        let result = timeout_at(deadline, revision.wait_for(is_covered)).await;
        let is_committed = result.is_ok_and(|revision| revision.is_ok());
        if is_committed { Ok(()) } else { Err(NotCommitted) }
    }

    /// Waits until a departing engine is quiescent.
    async fn wait_until_quiescent(
        &self,
        engine: &BackEndName,
        deadline: Instant,
    ) -> Result<(), NotQuiescent> {
        let token = self.new_token();
        let mut pause = FIRST_QUIESCENCE_PAUSE;
        let quiescence = loop {
            let quiescence = self.ask_quiescence(token, engine);
            if quiescence == Quiescence::Quiescent || Instant::now() >= deadline {
                break quiescence;
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_QUIESCENCE_PAUSE);
        };
        self.state.borrow_mut().quiescence_replies.remove(&token);
        if quiescence == Quiescence::Quiescent { Ok(()) } else { Err(NotQuiescent(quiescence)) }
    }

    /// The state of a departing engine as known to the leader, which is asked if this process does
    /// not lead. Its reply is returned by a later call with the same token.
    fn ask_quiescence(&self, token: u64, engine: &BackEndName) -> Quiescence {
        let view = self.replica.view();
        if view.is_leader() {
            return self.quiescence(engine);
        }
        if let Some(leader) = view.leader {
            let query = FleetMessage::QuiescenceQuery { token, engine: engine.clone() };
            self.send_to_control(&leader, &query);
        }
        let state = &mut *self.state.borrow_mut();
        state.quiescence_replies.entry(token).or_insert(Quiescence::Unknown).clone()
    }

    /// The state of a departing engine as known here, which is current only if this process leads.
    fn quiescence(&self, engine: &BackEndName) -> Quiescence {
        self.record_coverage();
        let (now, departures) = (self.now(), self.replica.view().departures);
        let tracker = &mut self.state.borrow_mut().quiescence;
        let quiescence = tracker.state(now, engine, &departures);
        if quiescence == Quiescence::Quiescent && tracker.on_quiescent(engine) {
            log_quiescent(now, engine, tracker, &departures);
        }
        quiescence
    }

    /// Tells another control process of the routers that this one knows, if none is missing.
    pub(crate) fn send_router_roll(&self, link: LinkId) {
        self.record_coverage();
        let roll = self.state.borrow().quiescence.roll(self.now());
        if let Some(roll) = roll {
            self.mesh.send(link, &FleetMessage::RouterRoll(roll));
        }
    }

    /// Records that this process runs, and whether it reaches a majority of the voters. It counts
    /// itself.
    pub(crate) fn record_coverage(&self) {
        let (now, view) = (self.now(), self.replica.view());
        let state = &mut *self.state.borrow_mut();
        let heard = state.links.heard_machines(now, PeerRole::Control);
        let is_reached =
            |voter: &&MachineName| view.own_name.as_ref() == Some(*voter) || heard.contains(*voter);
        let reached = view.voters.iter().filter(is_reached).count();
        state.quiescence.on_run(now, reached * 2 > view.voters.len());
    }

    pub(crate) fn on_quiescence_query(&self, link: LinkId, token: u64, engine: &BackEndName) {
        if self.replica.view().is_leader() {
            let quiescence = self.quiescence(engine);
            self.mesh.send(link, &FleetMessage::QuiescenceReply { token, quiescence });
        }
    }

    /// Keeps a reply of the leader if a call still waits for it.
    pub(crate) fn on_quiescence_reply(&self, token: u64, quiescence: Quiescence) {
        if let Some(reply) = self.state.borrow_mut().quiescence_replies.get_mut(&token) {
            *reply = quiescence;
        }
    }

    /// Submits a departure without waiting for the commit, if the replicated state lacks it.
    pub(crate) fn submit_departure(&self, departure: DepartureRecord) {
        if self.state.borrow().departures.lacks(&departure) {
            self.state.borrow_mut().uncommitted.insert(self.now(), departure);
            self.forward_uncommitted();
        }
    }

    /// Sends uncommitted departures to the leader. The change of the replicated state confirms
    /// them; there is no other reply.
    pub(crate) fn forward_uncommitted(&self) {
        let records = {
            let state = &mut *self.state.borrow_mut();
            state.uncommitted.remaining(self.now(), &state.departures)
        };
        if records.is_empty() {
            return;
        }
        if let Some(leader) = self.replica.view().leader {
            self.send_to_control(&leader, &FleetMessage::DepartureNotices(records.clone()));
        }
        // Only the leader proposes anything.
        self.replica.send(ReplicaEvent::DepartureNotices(records));
    }

    /// Copies new departures from this process's replica.
    pub(crate) fn sync_departures(&self) {
        let view = self.replica.view();
        let revision = self.state.borrow().departures.revision();
        if view.departures.revision() > revision {
            self.on_departures(&view.departures.since(revision));
        }
    }

    /// Merges committed departures, and forwards them if this replica leads. A standby machine
    /// holds no log and receives them from the leader.
    pub(crate) fn on_departures(&self, delta: &DepartureDelta) {
        let now = self.now();
        let (revision, newer) = {
            let state = &mut *self.state.borrow_mut();
            state.departures.merge_delta(now, delta);
            for departure in &delta.records {
                state.directory.apply_departure(now, departure);
            }
            let directory = &state.directory;
            let newer = delta.records.iter().filter_map(|one| directory.newer_announcement(one));
            (state.departures.revision(), newer.collect::<Vec<_>>())
        };
        self.committed_departures_revision.send_replace(revision);
        newer.into_iter().for_each(|announced| self.submit_departure(announced));
        if self.replica.view().is_leader() {
            self.broadcast_departures();
        }
    }

    /// Records which departures another control process has confirmed, and sends it later ones if
    /// this replica leads.
    pub(crate) fn on_departures_confirmed(&self, link: LinkId, revision: u64) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.delivery.departures.confirm(revision);
        }
        let view = self.replica.view();
        if view.is_leader() {
            self.send_departures(&[link], &view);
        }
    }
}

/// Logs the routers that were waited for, those that were not because they are disconnected, and
/// those of which nobody knows whether they have the departure.
fn log_quiescent(
    now: Timestamp,
    engine: &BackEndName,
    tracker: &QuiescenceTracker,
    departures: &Departures,
) {
    let disconnected: Vec<String> = tracker.disconnected(now).map(ToString::to_string).collect();
    let revision = departures.departure_revision(engine).unwrap_or_default();
    let unconfirmed: Vec<String> =
        tracker.unconfirmed(revision).map(|(name, _)| name.to_string()).collect();
    log::info!(
        engine = engine.as_str(),
        routers = tracker.connected(now).count(),
        disconnected = disconnected.join(" ").as_str(),
        unconfirmed = unconfirmed.join(" ").as_str();
        "engine is quiescent"
    );
}
