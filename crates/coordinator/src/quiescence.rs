//! Whether a departing engine is quiescent: no router sends it further requests, and it has read
//! all that routers had sent. Only then is its departure acknowledged.
//!
//! Routers report which departures they know, and which engines may not have read all that they
//! sent. Reports may arrive late and twice, and at several leaders.
//!
//! Invariants: a router that has confirmed a departure never sends to that engine again, unless the
//! engine returns. A router that does not report delays an acknowledgement for
//! [`CONFIRMATION_TIMEOUT`] at most, an unread request for its expiry at most.

use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{DepartureProgress, Departures, UNREAD_EXPIRY};
use stackpost_types::{BackEndName, Millis, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Longest wait for routers that are connected and do not confirm a departure.
pub const CONFIRMATION_TIMEOUT: Millis = Millis(2_500);

/// The state of a departing engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Quiescence {
    /// Nothing reaches the engine any more.
    #[error("nothing reaches the engine any more")]
    Quiescent,
    /// The leader has not replied.
    #[error("the leader has not replied")]
    Unknown,
    /// The departure is not committed, or the engine has returned.
    #[error("the engine does not depart")]
    NotDeparting,
    /// This router may not know the departure yet.
    #[error("router {0} has not confirmed the departure")]
    Unconfirmed(NodeId),
    /// The engine may not have read a request of this router.
    #[error("the engine may not have read a request of router {0}")]
    Unread(NodeId),
}

/// What one router has reported.
#[derive(Clone, Debug, Default)]
struct RouterProgress {
    /// Revision up to which it knows every departure.
    revision: u64,
    /// When it sent the newest request that an engine may not have read.
    unread: BTreeMap<BackEndName, Timestamp>,
}

/// The reports of all routers.
#[derive(Clone, Debug, Default)]
pub struct QuiescenceTracker {
    routers: BTreeMap<NodeId, RouterProgress>,
    /// When this process was first asked about each departure.
    asked_at: BTreeMap<BackEndName, Timestamp>,
}

impl QuiescenceTracker {
    /// Records a router's report.
    pub fn on_progress(&mut self, now: Timestamp, router: NodeId, progress: DepartureProgress) {
        let known = self.routers.entry(router).or_default();
        if progress.revision < known.revision {
            return;
        }
        known.revision = progress.revision;
        let sent_at = |age: Millis| Timestamp(now.0.saturating_sub(age.0));
        let unread = progress.unread.into_iter();
        known.unread = unread.map(|one| (one.engine, sent_at(one.newest_age))).collect();
    }

    /// The state of an engine, given the committed departures and the routers that are connected.
    pub fn state(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        departures: &Departures,
        connected: &BTreeSet<NodeId>,
    ) -> Quiescence {
        let Some(revision) = departures.departure_revision(engine) else {
            return Quiescence::NotDeparting;
        };
        let asked_at = *self.asked_at.entry(engine.clone()).or_insert(now);
        let unconfirmed = connected.iter().find(|router| !self.has_confirmed(router, revision));
        if let Some(router) = unconfirmed
            && now.since(asked_at) < CONFIRMATION_TIMEOUT
        {
            return Quiescence::Unconfirmed(router.clone());
        }
        match self.router_with_unread(now, engine) {
            Some(router) => Quiescence::Unread(router.clone()),
            None => Quiescence::Quiescent,
        }
    }

    /// Forgets engines that no longer depart, and routers whose reports say nothing any more.
    pub fn remove_expired(
        &mut self,
        now: Timestamp,
        departures: &Departures,
        connected: &BTreeSet<NodeId>,
    ) {
        self.asked_at.retain(|engine, _| departures.departure_revision(engine).is_some());
        self.routers.retain(|router, progress| {
            progress.unread.retain(|_, sent_at| now.since(*sent_at) < UNREAD_EXPIRY);
            connected.contains(router) || !progress.unread.is_empty()
        });
    }

    fn has_confirmed(&self, router: &NodeId, revision: u64) -> bool {
        self.routers.get(router).is_some_and(|progress| progress.revision >= revision)
    }

    fn router_with_unread(&self, now: Timestamp, engine: &BackEndName) -> Option<&NodeId> {
        let is_unread = |progress: &RouterProgress| {
            let sent_at = progress.unread.get(engine);
            sent_at.is_some_and(|sent_at| now.since(*sent_at) < UNREAD_EXPIRY)
        };
        self.routers.iter().find(|(_, progress)| is_unread(progress)).map(|(router, _)| router)
    }
}
