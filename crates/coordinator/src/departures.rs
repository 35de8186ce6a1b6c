//! Engines' departures on their way into the replicated state, and from there to the directory and to routers.
//!
//! An engine's word that it leaves is acknowledged only once the replicated state holds it: whoever acknowledged may
//! be lost in that moment, and the engine calls nobody again.

use crate::control_node::ControlNode;
use crate::message::FleetMessage;
use crate::replica_api::ReplicaEvent;
use crate::replica_thread::ReplicaView;
use stackpost_gateway_core::{DepartureWord, Departures};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Longest wait for a word to be written down: engines give a call up after a second.
const WRITE_LIMIT: Duration = Duration::from_millis(800);
/// A word that could not be written down is tried again for so long. It is true whether or not it was acknowledged.
const TRY_TIME: Millis = Millis(30_000);

/// The replicated state does not hold an engine's word yet, so it can't be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("engines' departures: not written down by a majority of the control replicas")]
pub struct NotWritten;

/// Words that this process has taken in and that are not in the replicated state yet.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenWords {
    words: BTreeMap<BackEndName, (DepartureWord, Timestamp)>,
}

impl UnwrittenWords {
    /// Keeps a word until it is written down. The newest word of an engine counts.
    fn insert(&mut self, now: Timestamp, word: DepartureWord) {
        self.words.insert(word.engine.clone(), (word, now));
    }

    /// What is still to be written down.
    fn remaining(&mut self, now: Timestamp, held: &Departures) -> Vec<DepartureWord> {
        self.words.retain(|_, (word, since)| held.is_news(word) && now.since(*since) < TRY_TIME);
        self.words.values().map(|(word, _)| word.clone()).collect()
    }
}

impl ControlNode {
    /// Has a word written down. Returns once the replicated state holds it, or a newer one of that engine.
    pub(crate) async fn write_down(&self, word: DepartureWord) -> Result<(), NotWritten> {
        if self.replica.view().departures.covers(&word) {
            return Ok(());
        }
        self.write_down_later(word.clone());
        let is_held = |view: &ReplicaView| view.departures.covers(&word);
        let written = self.replica.wait_until(is_held, WRITE_LIMIT).await;
        if written { Ok(()) } else { Err(NotWritten) }
    }

    /// Has a word written down without waiting for it, if it is news.
    pub(crate) fn write_down_later(&self, word: DepartureWord) {
        if self.replica.view().departures.is_news(&word) {
            self.state.borrow_mut().unwritten.insert(self.now(), word);
            self.push_unwritten();
        }
    }

    /// Hands words that are not written down yet to the leader. Its answer is the change of the replicated state.
    pub(crate) fn push_unwritten(&self) {
        let view = self.replica.view();
        let words = self.state.borrow_mut().unwritten.remaining(self.now(), &view.departures);
        if words.is_empty() {
            return;
        }
        if let Some(leader) = view.leader {
            self.send_to_control(&leader, &FleetMessage::DepartureWords(words.clone()));
        }
        // Only the leader proposes anything.
        self.replica.send(ReplicaEvent::DepartureWords(words));
    }

    /// Takes over what the replicated state says into the directory, and tells routers if this replica leads.
    pub(crate) fn take_over_departures(&self) {
        let view = self.replica.view();
        {
            let now = self.now();
            let state = &mut *self.state.borrow_mut();
            if view.departures.revision() == state.departures_taken {
                return;
            }
            // A data folder that was opened anew begins at zero again.
            let base = state.departures_taken.min(view.departures.revision());
            let news = view.departures.since(base);
            state.departures_taken = news.revision;
            for word in &news.words {
                state.directory.depart(now, word);
            }
        }
        if view.leads() {
            self.tell_departures();
        }
    }
}
