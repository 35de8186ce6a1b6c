//! Whether a departing engine is quiescent: no router sends it further requests, and it has read
//! all that routers had sent. Only then is its departure acknowledged.
//!
//! Every control process hears every router that it can reach, so a new leader knows which routers
//! to wait for. Routers report to the leader which departures they know, and which engines may not
//! have read all that they sent. Reports may arrive late and twice, and at several leaders.
//!
//! Invariants: a router that has confirmed a departure never sends to that engine again, unless the
//! engine returns. While a router's lease lasts, nothing that it has not confirmed is acknowledged.
//! A router whose lease has expired was disconnected for that long, and receives every departure
//! before it counts as connected again.

use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{DepartureProgress, Departures, UNREAD_EXPIRY};
use stackpost_types::{BackEndName, Millis, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time since a router was last heard for which departures wait for it: several of its heartbeats
/// and the time that it needs to connect again.
pub const ROUTER_LEASE: Millis = Millis(3_000);

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
    /// The leader's process has started so recently that it may not have heard every router.
    #[error("the leader may not have heard every router since it started")]
    Recovering,
}

/// What is known of one router.
#[derive(Clone, Debug)]
struct KnownRouter {
    heard_at: Timestamp,
    /// Whether it has handled its last request.
    has_stopped: bool,
    /// Whether its machine has run another process since it was last heard.
    is_replaced: bool,
    /// Revision up to which it knows every departure.
    revision: u64,
    /// When it sent the newest request that an engine may not have read.
    unread: BTreeMap<BackEndName, Timestamp>,
}

impl KnownRouter {
    fn new(heard_at: Timestamp) -> Self {
        Self {
            heard_at,
            has_stopped: false,
            is_replaced: false,
            revision: 0,
            unread: BTreeMap::new(),
        }
    }

    fn holds_lease(&self, now: Timestamp) -> bool {
        !self.has_ended() && now.since(self.heard_at) < ROUTER_LEASE
    }

    fn has_ended(&self) -> bool {
        self.has_stopped || self.is_replaced
    }

    /// Whether an engine may not have read all that this router sent. Without the router nobody can
    /// tell, so its requests expire.
    fn may_be_unread(&self, now: Timestamp, engine: &BackEndName) -> bool {
        let sent_at = self.unread.get(engine);
        sent_at.is_some_and(|at| self.holds_lease(now) || now.since(*at) < UNREAD_EXPIRY)
    }
}

/// The routers that this process hears, and their reports.
#[derive(Clone, Debug)]
pub struct QuiescenceTracker {
    started: Timestamp,
    routers: BTreeMap<NodeId, KnownRouter>,
    /// Departing engines that were found quiescent.
    quiescent: BTreeSet<BackEndName>,
}

impl QuiescenceTracker {
    /// Creates a tracker for a process that has started now.
    pub fn new(now: Timestamp) -> Self {
        Self { started: now, routers: BTreeMap::new(), quiescent: BTreeSet::new() }
    }

    /// Records that anything was received from a router.
    pub fn on_heard(&mut self, now: Timestamp, router: &NodeId) {
        if let Some(known) = self.routers.get_mut(router) {
            known.heard_at = now;
            known.is_replaced = false;
            return;
        }
        for (other, known) in &mut self.routers {
            known.is_replaced |= other.machine == router.machine;
        }
        self.routers.insert(router.clone(), KnownRouter::new(now));
    }

    /// Records that a router has handled its last request and ends.
    pub fn on_stopped(&mut self, router: &NodeId) {
        if let Some(known) = self.routers.get_mut(router) {
            known.has_stopped = true;
        }
    }

    /// Records a router's report.
    pub fn on_progress(&mut self, now: Timestamp, router: &NodeId, progress: DepartureProgress) {
        self.on_heard(now, router);
        let Some(known) = self.routers.get_mut(router) else {
            return;
        };
        if progress.revision < known.revision {
            return;
        }
        known.revision = progress.revision;
        let sent_at = |age: Millis| Timestamp(now.0.saturating_sub(age.0));
        let unread = progress.unread.into_iter();
        known.unread = unread.map(|one| (one.engine, sent_at(one.newest_age))).collect();
    }

    /// The state of an engine, given the committed departures.
    pub fn state(
        &self,
        now: Timestamp,
        engine: &BackEndName,
        departures: &Departures,
    ) -> Quiescence {
        let Some(revision) = departures.departure_revision(engine) else {
            return Quiescence::NotDeparting;
        };
        if now.since(self.started) < ROUTER_LEASE {
            return Quiescence::Recovering;
        }
        let is_unconfirmed =
            |known: &KnownRouter| known.holds_lease(now) && known.revision < revision;
        if let Some(router) = self.find(is_unconfirmed) {
            return Quiescence::Unconfirmed(router.clone());
        }
        match self.find(|known| known.may_be_unread(now, engine)) {
            Some(router) => Quiescence::Unread(router.clone()),
            None => Quiescence::Quiescent,
        }
    }

    /// Records that an engine is quiescent. Returns whether that is new.
    pub fn on_quiescent(&mut self, engine: &BackEndName) -> bool {
        self.quiescent.insert(engine.clone())
    }

    /// The routers whose leases last.
    pub fn connected(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> {
        self.routers.iter().filter(move |(_, known)| known.holds_lease(now)).map(|(name, _)| name)
    }

    /// The routers whose leases have expired and whose processes are not known to have ended.
    pub fn disconnected(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> {
        let is_disconnected =
            move |known: &KnownRouter| !known.has_ended() && !known.holds_lease(now);
        self.routers.iter().filter(move |(_, known)| is_disconnected(known)).map(|(name, _)| name)
    }

    /// The routers that have not confirmed the departures up to `revision`, and when each was last
    /// heard.
    pub fn unconfirmed(&self, revision: u64) -> impl Iterator<Item = (&NodeId, Timestamp)> {
        let routers = self.routers.iter().filter(move |(_, known)| known.revision < revision);
        routers.map(|(name, known)| (name, known.heard_at))
    }

    /// Forgets engines that no longer depart, and routers that were not heard for a long time.
    pub fn remove_expired(&mut self, now: Timestamp, departures: &Departures) {
        self.quiescent.retain(|engine| departures.departure_revision(engine).is_some());
        self.routers.retain(|_, known| now.since(known.heard_at) < UNREAD_EXPIRY);
    }

    fn find(&self, matches: impl Fn(&KnownRouter) -> bool) -> Option<&NodeId> {
        self.routers.iter().find(|(_, known)| matches(known)).map(|(name, _)| name)
    }
}
