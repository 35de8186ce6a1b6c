//! Engines' departures on their way into the replicated state, and from there to the directory and to routers.
//!
//! An engine's word that it leaves is acknowledged only once a majority of the replicas holds it: whoever acknowledged may
//! be lost in that moment, and the engine calls nobody again.

use crate::control_node::ControlNode;
use crate::message::FleetMessage;
use crate::replica_api::ReplicaEvent;
use stackpost_gateway_core::{DepartureDelta, DepartureRecord, KnownDepartures};
use stackpost_mesh::LinkId;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Longest wait for a word to be written down: engines give a call up after a second.
const WRITE_LIMIT: Duration = Duration::from_millis(800);
/// A word that could not be written down is tried again for so long. It is true whether or not it was acknowledged.
const TRY_TIME: Millis = Millis(30_000);

/// The replicated state does not hold an engine's word yet, so it can't be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("engines' departures: not written down by a majority of the control replicas")]
pub struct NotCommitted;

/// Words that this process has taken in and that are not in the replicated state yet.
#[derive(Debug, Default)]
pub(crate) struct UncommittedDepartures {
    records: BTreeMap<BackEndName, (DepartureRecord, Timestamp)>,
}

impl UncommittedDepartures {
    /// Keeps a word until it is written down. The newest word of an engine counts.
    fn insert(&mut self, now: Timestamp, word: DepartureRecord) {
        self.records.insert(word.engine.clone(), (word, now));
    }

    /// What is still to be written down.
    fn remaining(&mut self, now: Timestamp, known: &KnownDepartures) -> Vec<DepartureRecord> {
        self.records
            .retain(|_, (word, since)| known.would_change(word) && now.since(*since) < TRY_TIME);
        self.records.values().map(|(word, _)| word.clone()).collect()
    }
}

impl ControlNode {
    /// Has a word written down. Returns once it is known to be, or a newer one of that engine.
    pub(crate) async fn commit_departure(&self, word: DepartureRecord) -> Result<(), NotCommitted> {
        let mut known = self.committed_departures_revision.subscribe();
        self.submit_departure(word.clone());
        let is_held = |_: &u64| self.state.borrow().departures.covers(&word);
        let waited = timeout(WRITE_LIMIT, known.wait_for(is_held)).await;
        let written = waited.is_ok_and(|known| known.is_ok());
        if written { Ok(()) } else { Err(NotCommitted) }
    }

    /// Has a word written down without waiting for it, if it is news.
    pub(crate) fn submit_departure(&self, word: DepartureRecord) {
        if self.state.borrow().departures.would_change(&word) {
            self.state.borrow_mut().uncommitted.insert(self.now(), word);
            self.forward_uncommitted();
        }
    }

    /// Hands words that are not written down yet to the leader. Its answer is the change of the replicated state.
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

    /// Takes over what the own replica holds.
    pub(crate) fn sync_departures(&self) {
        let view = self.replica.view();
        let known = self.state.borrow().departures.revision();
        if view.departures.revision() > known {
            self.on_departures(&view.departures.since(known));
        }
    }

    /// Takes in what is written down, and passes it on if this replica leads. A machine that stands by holds no log and hears
    /// of it from the leader.
    pub(crate) fn on_departures(&self, news: &DepartureDelta) {
        let now = self.now();
        let revision = {
            let state = &mut *self.state.borrow_mut();
            state.departures.merge_delta(now, news);
            for word in &news.records {
                state.directory.apply_departure(now, word);
            }
            state.departures.revision()
        };
        self.committed_departures_revision.send_replace(revision);
        if self.replica.view().leads() {
            self.broadcast_departures();
        }
    }

    /// Another control process says which departures it knows.
    pub(crate) fn on_departures_confirmed(&self, link: LinkId, revision: u64) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.delivery.departures.confirm(revision);
        }
        let view = self.replica.view();
        if view.leads() {
            self.send_departures(&[link], &view);
        }
    }
}
