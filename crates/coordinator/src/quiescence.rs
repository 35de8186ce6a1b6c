//! Whether a departing engine is quiescent: no router sends it further requests, and it has read
//! all that routers had sent. Only then is its departure acknowledged.
//!
//! Routers report to the leader which departures they know, and which engines may not have read all
//! that they sent. What a router has reported is lost with the leader, and what it has sent since
//! its last report is lost with the router. So a leader decides only by what it has received itself.
//!
//! Invariants:
//! - A router that has confirmed a departure never sends to that engine again, unless the engine
//!   returns, and its unread requests there only become fewer.
//! - A router that is connected and has not confirmed a departure withholds its acknowledgement.
//! - One that is lost without a confirmation, whether it is cut off, killed or replaced, may have
//!   sent requests that nobody can report. It withholds the acknowledgement for [`UNREAD_EXPIRY`].
//!   An engine that has read what other routers sent later has read those as well. So has one, a
//!   lease later, that has read everything of most routers.
//! - The same holds for routers that this process may not know because it has started, stood still
//!   or been cut off; here the engine must have read a request shortly before.
//! - A router that has stopped sends nothing more and has reported all that is unread.

use crate::router_roll::{RolledRouter, RouterRoll};
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{DepartureProgress, Departures, EngineRead, UNREAD_EXPIRY};
use stackpost_types::{BackEndName, Millis, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time since a router was last heard for which it counts as connected: several of its heartbeats
/// and the time that it needs to connect again.
const ROUTER_LEASE: Millis = Millis(3_000);
/// Longest time for which a control process may stand still, or not reach a majority of the voters,
/// and still hear every router that is in contact with the control processes.
const MAX_COVERAGE_GAP: Millis = Millis(2_000);
/// Longest time for which a router may send requests after the last message that is received of it.
const LAST_SEND_MARGIN: Millis = Millis(1_000);
/// An engine was reading at a moment if it has read a request that was sent at most so long before.
const READING_WITHIN: Millis = UNREAD_EXPIRY;

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
    /// The leader may not have heard every router: its process has started, stood still or been cut
    /// off recently.
    #[error("the leader may not have heard every router since it started or was cut off")]
    Recovering,
    /// This router was heard recently, is no longer connected, and may have sent requests.
    #[error("router {0} is disconnected and has not confirmed the departure")]
    Disconnected(NodeId),
}

/// What is known of one router process.
#[derive(Clone, Debug)]
struct KnownRouter {
    heard_at: Timestamp,
    /// Whether it sends no request any more and has reported every unread one.
    has_stopped: bool,
    /// Whether its machine runs a later process.
    is_replaced: bool,
    /// Revision up to which it knows every departure.
    revision: u64,
    /// Engines that may not have read all its requests.
    unread: BTreeSet<BackEndName>,
}

impl KnownRouter {
    fn new(heard_at: Timestamp) -> Self {
        Self {
            heard_at,
            has_stopped: false,
            is_replaced: false,
            revision: 0,
            unread: BTreeSet::new(),
        }
    }

    fn is_connected(&self, now: Timestamp) -> bool {
        !self.has_stopped && !self.is_replaced && now.since(self.heard_at) < ROUTER_LEASE
    }

    /// Whether it may still send requests to an engine that departs with `revision`.
    fn may_send(&self, revision: u64) -> bool {
        !self.has_stopped && self.revision < revision
    }

    fn to_rolled(&self, now: Timestamp, router: &NodeId) -> RolledRouter {
        let unread = || self.unread.iter().cloned().collect();
        RolledRouter {
            router: router.clone(),
            silent_for: now.since(self.heard_at),
            stopped_with_unread: self.has_stopped.then(unread),
        }
    }

    fn set_unread(&mut self, progress: DepartureProgress) {
        self.unread = progress.unread.into_iter().map(|one| one.engine).collect();
    }
}

/// The routers that this process hears, and their reports.
#[derive(Clone, Debug)]
pub struct QuiescenceTracker {
    routers: BTreeMap<NodeId, KnownRouter>,
    /// When the newest request was sent that a departing engine has read.
    read_until: BTreeMap<BackEndName, Timestamp>,
    /// Since when this process has heard every router in contact with the control processes.
    covered_since: Timestamp,
    /// When this process last ran and reached a majority of the voters.
    covered_at: Timestamp,
    /// Departing engines that were found quiescent.
    quiescent: BTreeSet<BackEndName>,
}

impl QuiescenceTracker {
    /// Creates a tracker for a process that has started now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            routers: BTreeMap::new(),
            read_until: BTreeMap::new(),
            covered_since: now,
            covered_at: now,
            quiescent: BTreeSet::new(),
        }
    }

    /// Records that this process runs, and whether it reaches a majority of the voters. Called
    /// several times within [`MAX_COVERAGE_GAP`].
    pub fn on_run(&mut self, now: Timestamp, reaches_majority: bool) {
        if !reaches_majority {
            return;
        }
        if self.is_gap(now) {
            self.covered_since = now;
        }
        self.covered_at = now;
    }

    /// Records that the fleet starts for the first time: there was no router before.
    pub fn on_new_fleet(&mut self) {
        self.covered_since = Timestamp(0);
    }

    /// The routers to tell another control process of; `None` if some may be missing now.
    pub fn roll(&self, now: Timestamp) -> Option<RouterRoll> {
        let routers = self.routers.iter().map(|(name, known)| known.to_rolled(now, name));
        let covered_for = now.since(self.covered_since).min(UNREAD_EXPIRY);
        (!self.is_gap(now)).then(|| RouterRoll { covered_for, routers: routers.collect() })
    }

    /// Adds the routers that another control process knows.
    pub fn on_roll(&mut self, now: Timestamp, roll: RouterRoll) {
        let before = |age: Millis| Timestamp(now.0.saturating_sub(age.0));
        for RolledRouter { router, silent_for, stopped_with_unread } in roll.routers {
            let heard_at = before(silent_for);
            let known = self.routers.entry(router).or_insert_with(|| KnownRouter::new(heard_at));
            known.heard_at = known.heard_at.max(heard_at);
            if let Some(unread) = stopped_with_unread {
                known.has_stopped = true;
                known.unread.extend(unread);
            }
        }
        let covered_since = before(roll.covered_for);
        if self.is_gap(now) || covered_since < self.covered_since {
            self.covered_since = covered_since;
        }
        self.covered_at = now;
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

    /// Records that a router sends no request any more, and which engines may not have read all
    /// that it sent.
    pub fn on_stopped(&mut self, now: Timestamp, router: &NodeId, progress: DepartureProgress) {
        self.on_heard(now, router);
        if let Some(known) = self.routers.get_mut(router) {
            known.has_stopped = true;
            known.set_unread(progress);
        }
    }

    /// Records a router's report.
    pub fn on_progress(&mut self, now: Timestamp, router: &NodeId, progress: DepartureProgress) {
        self.on_heard(now, router);
        let Some(known) = self.routers.get_mut(router) else {
            return;
        };
        // A report from before it stopped names only engines that departed then.
        if progress.revision < known.revision || known.has_stopped {
            return;
        }
        known.revision = progress.revision;
        known.set_unread(progress);
    }

    /// Records which requests departing engines have read.
    pub fn on_reads(&mut self, now: Timestamp, reads: Vec<EngineRead>) {
        for EngineRead { engine, newest_age } in reads {
            let sent_at = Timestamp(now.0.saturating_sub(newest_age.0));
            let read_until = self.read_until.entry(engine).or_insert(sent_at);
            *read_until = sent_at.max(*read_until);
        }
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
        let covered_for = now.since(self.covered_since);
        let knows_all_connected = !self.is_gap(now) && covered_for >= ROUTER_LEASE;
        let was_reading = self.was_reading(engine, self.covered_since);
        if !knows_all_connected || self.may_be_unread(now, engine, self.covered_since, was_reading)
        {
            return Quiescence::Recovering;
        }
        let unconfirmed = |known: &KnownRouter| known.may_send(revision);
        if let Some(router) = self.find(|known| unconfirmed(known) && known.is_connected(now)) {
            return Quiescence::Unconfirmed(router.clone());
        }
        let knows_most = self.most_are_connected(now);
        let is_lost =
            |known: &KnownRouter| self.may_be_unread(now, engine, known.heard_at, knows_most);
        if let Some(router) = self.find(|known| unconfirmed(known) && is_lost(known)) {
            return Quiescence::Disconnected(router.clone());
        }
        let reports_unread = |known: &KnownRouter| {
            known.unread.contains(engine) && now.since(known.heard_at) < UNREAD_EXPIRY
        };
        match self.find(reports_unread) {
            Some(router) => Quiescence::Unread(router.clone()),
            None => Quiescence::Quiescent,
        }
    }

    /// Records that an engine is quiescent. Returns whether that is new.
    pub fn on_quiescent(&mut self, engine: &BackEndName) -> bool {
        self.quiescent.insert(engine.clone())
    }

    /// The routers that are connected.
    pub fn connected(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> {
        self.routers.iter().filter(move |(_, known)| known.is_connected(now)).map(|(name, _)| name)
    }

    /// The routers that were heard recently, are no longer connected and have not stopped.
    pub fn disconnected(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> {
        let is_disconnected =
            move |known: &KnownRouter| !known.has_stopped && !known.is_connected(now);
        self.routers.iter().filter(move |(_, known)| is_disconnected(known)).map(|(name, _)| name)
    }

    /// The routers that may still send requests to an engine that departs with `revision`, and when
    /// each was last heard.
    pub fn unconfirmed(&self, revision: u64) -> impl Iterator<Item = (&NodeId, Timestamp)> {
        let routers = self.routers.iter().filter(move |(_, known)| known.may_send(revision));
        routers.map(|(name, known)| (name, known.heard_at))
    }

    /// Forgets engines that no longer depart, and routers that were not heard for a long time.
    pub fn remove_expired(&mut self, now: Timestamp, departures: &Departures) {
        self.quiescent.retain(|engine| departures.departure_revision(engine).is_some());
        self.read_until.retain(|engine, _| departures.departure_revision(engine).is_some());
        self.routers.retain(|_, known| now.since(known.heard_at) < UNREAD_EXPIRY);
    }

    /// Whether this process may by now have missed a router that came in contact meanwhile.
    fn is_gap(&self, now: Timestamp) -> bool {
        now.since(self.covered_at) >= MAX_COVERAGE_GAP
    }

    /// Whether an engine may not have read requests of routers that were last heard at `heard_at`.
    /// With `seems_to_read` it counts as having read them after a lease.
    fn may_be_unread(
        &self,
        now: Timestamp,
        engine: &BackEndName,
        heard_at: Timestamp,
        seems_to_read: bool,
    ) -> bool {
        let silent_for = now.since(heard_at);
        let has_read_later = self.has_read_after(engine, heard_at + LAST_SEND_MARGIN);
        let is_read = has_read_later || (seems_to_read && silent_for >= ROUTER_LEASE);
        silent_for < UNREAD_EXPIRY && !is_read
    }

    fn was_reading(&self, engine: &BackEndName, at: Timestamp) -> bool {
        self.has_read_after(engine, Timestamp(at.0.saturating_sub(READING_WITHIN.0)))
    }

    fn has_read_after(&self, engine: &BackEndName, sent_at: Timestamp) -> bool {
        self.read_until.get(engine).is_some_and(|read| *read > sent_at)
    }

    /// Whether more routers are connected than are lost.
    fn most_are_connected(&self, now: Timestamp) -> bool {
        let is_lost = |known: &&KnownRouter| {
            let was_heard = now.since(known.heard_at) < UNREAD_EXPIRY;
            was_heard && !known.has_stopped && !known.is_connected(now)
        };
        self.connected(now).count() > self.routers.values().filter(is_lost).count()
    }

    fn find(&self, matches: impl Fn(&KnownRouter) -> bool) -> Option<&NodeId> {
        self.routers.iter().find(|(_, known)| matches(known)).map(|(name, _)| name)
    }
}
