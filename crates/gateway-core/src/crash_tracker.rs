//! What a router knows of requests that end engines: the word of control, and what it saw itself.
//!
//! Its own sightings count beside that word because they are there at once, and also while control is out
//! of reach. They are forgotten soon: a router alone can't tell an engine that ended from a connection
//! that broke. In touch they count just until the leader has them; from then on its word holds, also where it takes
//! something back because the engine goes on announcing itself.
//!
//! While the leader is out of reach routers tell one another what they see; else each of them would learn alone, at three engines each.
//!
//! A connection that broke at an engine which still takes connections is no sighting. That engine may be the next life of the
//! one that broke it, or a listener that outlives its workers; then a newer life is announced, and the sighting counts.
//!
//! A request that ends engines never ends well. So one that has of late is no suspect here, whatever is held against
//! it, and the leader is told: while it was refused, nothing could show its innocence any more.

use crate::fingerprint::RequestFingerprint;
use crate::quarantine::{
    CRASHES_TO_QUARANTINE, CrashSighting, INITIAL_QUARANTINE, QuarantineNotice,
};
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long own sightings count. Ten times what a copy of a request took to come again where one ended
/// an engine a second.
const OWN_MEMORY: Millis = Millis(10_000);
/// How long own sightings count in touch: by estimate several times what the way to the leader, its commit and the way
/// back take, an election of 0.7 s in between included.
const LEADER_KNOWS_AFTER: Millis = Millis(2_000);
/// What the leader takes back it has taken back by then: two announcements of an engine (one in 1.2 s), with as much again.
/// Callers of a request that was quarantined a moment ago, or that ought to be free by now, are told to come again then.
const TAKEN_BACK_WITHIN: Millis = Millis(5_000);
/// How long it counts that a request has ended well.
const WELL_MEMORY: Millis = Millis(10_000);
/// Requests that ended well that are kept, the newest ones.
const MOST_ENDED_WELL: usize = 512;
/// How long they are kept for a leader that can't be reached: longer than a router is cut off as a rule. The
/// leader passes over engines that have announced themselves since, so an old sighting does no harm.
const REPORT_MEMORY: Millis = Millis(60_000);
/// How long a sighting is told again: two or three times at the pace of the router's slow round.
const TOLD_AGAIN_FOR: Millis = Millis(5_000);
/// How long a break at an engine that takes connections may still turn out to be its end: some announcements of a life
/// that has begun at once (one in 1.2 s).
const DOUBT_MEMORY: Millis = Millis(5_000);
/// Own sightings kept, the newest ones: several engines full of requests.
const MOST_SIGHTINGS: usize = 512;

/// What a router tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Engines that ended under requests, each with the time since.
    pub seen: Vec<(CrashSighting, Millis)>,
    /// Suspected requests that have ended well.
    pub cleared: Vec<RequestFingerprint>,
}

#[derive(Clone, Debug)]
struct OwnSighting {
    at: Timestamp,
    sighting: CrashSighting,
    told: bool,
    /// Whether this router saw it, or another one told it.
    seen_here: bool,
    /// Whether other routers have been told.
    told_routers: bool,
}

/// One router's knowledge.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    notice: QuarantineNotice,
    /// Requests that are let in no more by the word of control, with when this router heard so first.
    quarantined: BTreeMap<RequestFingerprint, Timestamp>,
    own: VecDeque<OwnSighting>,
    /// Breaks at engines that took connections after it, with their times, the oldest first.
    doubtful: VecDeque<(Timestamp, CrashSighting)>,
    cleared: BTreeSet<RequestFingerprint>,
    ended_well: VecDeque<(Timestamp, RequestFingerprint)>,
}

impl CrashTracker {
    /// Whether any request could be quarantined. If not, none needs its fingerprint taken.
    pub fn has_quarantine_candidates(&self) -> bool {
        !self.notice.quarantined.is_empty() || self.own.len() >= CRASHES_TO_QUARANTINE
    }

    /// Whether any request is under suspicion. If not, none needs to be cleared.
    pub fn has_suspects(&self) -> bool {
        let notice = &self.notice;
        let told = !(notice.quarantined.is_empty() && notice.suspected.is_empty());
        told || !self.own.is_empty() || !self.doubtful.is_empty()
    }

    /// Whether a request is let in no more.
    pub fn is_quarantined(
        &mut self,
        now: Timestamp,
        request: &RequestFingerprint,
        in_touch: bool,
    ) -> bool {
        self.quarantine_remaining(now, request, in_touch).is_some()
    }

    /// After how long another try of a request that is let in no more makes sense; `None` if it is let in.
    pub fn quarantine_remaining(
        &mut self,
        now: Timestamp,
        request: &RequestFingerprint,
        in_touch: bool,
    ) -> Option<Millis> {
        self.forget_old(now);
        if self.ended_well_lately(now, request) {
            return None;
        }
        let Some(since) = self.quarantined.get(request) else {
            return self.own_quarantine_left(now, request, in_touch);
        };
        let lasted = now.since(*since);
        if lasted < TAKEN_BACK_WITHIN {
            return Some(TAKEN_BACK_WITHIN);
        }
        Some(Millis(INITIAL_QUARANTINE.0.saturating_sub(lasted.0)).max(TAKEN_BACK_WITHIN))
    }

    /// The same by this router's own sightings.
    fn own_quarantine_left(
        &self,
        now: Timestamp,
        request: &RequestFingerprint,
        in_touch: bool,
    ) -> Option<Millis> {
        let counts_for = if in_touch { LEADER_KNOWS_AFTER } else { OWN_MEMORY };
        let of_request = self.own.iter().filter(|own| own.sighting.request == *request);
        let newest: BTreeMap<_, _> = of_request.map(|own| (&own.sighting.engine, own.at)).collect();
        let mut times: Vec<Timestamp> = newest.into_values().collect();
        times.sort_unstable();
        let deciding = times.iter().rev().nth(CRASHES_TO_QUARANTINE - 1)?;
        let left = counts_for.0.checked_sub(now.since(*deciding).0)?;
        (left > 0).then_some(Millis(left))
    }

    /// A connection ended while an engine ran a request.
    pub fn on_engine_crash(&mut self, now: Timestamp, sighting: CrashSighting) {
        self.forget_old(now);
        if self.ended_well_lately(now, &sighting.request) {
            return;
        }
        if self.own.len() >= MOST_SIGHTINGS {
            self.own.pop_front();
        }
        self.cleared.remove(&sighting.request);
        self.own.push_back(OwnSighting {
            at: now,
            sighting,
            told: false,
            seen_here: true,
            told_routers: false,
        });
    }

    /// Another router that can't reach the leader has seen engines end so long ago. Whoever saw it tells the leader.
    pub fn on_peer_sightings(&mut self, now: Timestamp, seen: Vec<(CrashSighting, Millis)>) {
        self.forget_old(now);
        for (sighting, age) in seen {
            let is_known = self.own.iter().any(|own| own.sighting == sighting);
            let at = Timestamp(now.0.saturating_sub(age.0));
            if is_known || age >= OWN_MEMORY || self.ended_well_lately(now, &sighting.request) {
                continue;
            }
            if self.own.len() >= MOST_SIGHTINGS {
                self.own.pop_front();
            }
            self.own.push_back(OwnSighting {
                at,
                sighting,
                told: true,
                seen_here: false,
                told_routers: true,
            });
        }
    }

    /// What other routers have not been told while the leader can't be reached. Counts as told.
    pub fn take_peer_sightings(&mut self, now: Timestamp) -> Vec<(CrashSighting, Millis)> {
        let mut news = Vec::new();
        for own in self.own.iter_mut().filter(|own| !own.told_routers) {
            own.told_routers = true;
            let age = now.since(own.at);
            if age < OWN_MEMORY {
                news.push((own.sighting.clone(), age));
            }
        }
        news
    }

    /// A connection broke while an engine ran a request, and the engine still takes connections.
    pub fn on_unconfirmed_crash(&mut self, now: Timestamp, sighting: CrashSighting) {
        self.forget_old(now);
        if self.doubtful.len() >= MOST_SIGHTINGS {
            self.doubtful.pop_front();
        }
        self.doubtful.push_back((now, sighting));
    }

    /// A life of an engine has begun, so those before it have ended. Returns whether that ended one under a request.
    pub fn on_incarnation_started(&mut self, now: Timestamp, engine: &BackEndName) -> bool {
        self.forget_old(now);
        let is_former = |(_, seen): &(Timestamp, CrashSighting)| {
            seen.engine.id() == engine.id() && seen.engine.started_at_ms() < engine.started_at_ms()
        };
        let doubtful = std::mem::take(&mut self.doubtful);
        let (ended, left): (VecDeque<_>, VecDeque<_>) = doubtful.into_iter().partition(is_former);
        self.doubtful = left;
        let is_news = !ended.is_empty();
        ended.into_iter().for_each(|(_, sighting)| self.on_engine_crash(now, sighting));
        is_news
    }

    /// A request has ended well, so it does not end engines.
    pub fn on_request_succeeded(&mut self, now: Timestamp, request: &RequestFingerprint) {
        self.ended_well.retain(|(_, ended)| ended != request);
        if self.ended_well.len() >= MOST_ENDED_WELL {
            self.ended_well.pop_front();
        }
        self.ended_well.push_back((now, *request));
        self.doubtful.retain(|(_, seen)| seen.request != *request);
        let before = self.own.len();
        self.own.retain(|own| own.sighting.request != *request);
        if before > self.own.len() || self.notice.includes(request) {
            self.cleared.insert(*request);
        }
    }

    /// Takes in the word of a control process, unless a newer one is known. Returns whether the leader should hear
    /// of a request named there that has ended well here.
    pub fn on_notice(&mut self, now: Timestamp, notice: QuarantineNotice) -> bool {
        if notice.revision < self.notice.revision {
            return false;
        }
        self.notice = notice;
        let before = std::mem::take(&mut self.quarantined);
        let since = |request: &RequestFingerprint| before.get(request).copied().unwrap_or(now);
        let named = self.notice.quarantined.iter();
        self.quarantined = named.map(|request| (*request, since(request))).collect();
        let named = |request: &&RequestFingerprint| {
            self.notice.includes(request) && self.ended_well_lately(now, request)
        };
        let ended_well = self.ended_well.iter().map(|(_, request)| request);
        let innocent: Vec<RequestFingerprint> = ended_well.filter(named).copied().collect();
        self.cleared.extend(&innocent);
        !innocent.is_empty()
    }

    fn ended_well_lately(&self, now: Timestamp, request: &RequestFingerprint) -> bool {
        let lately = self.ended_well.iter().filter(|(at, _)| now.since(*at) < WELL_MEMORY);
        lately.map(|(_, ended)| ended).any(|ended| ended == request)
    }

    /// Requests that are let in no more, by the word of control.
    pub fn quarantined(&self) -> usize {
        self.notice.quarantined.len()
    }

    /// What the leader has not been told, if anything. Counts as told.
    pub fn take_report(&mut self, now: Timestamp) -> Option<CrashReport> {
        let untold = self.own.iter().filter(|own| !own.told);
        let seen: Vec<_> = untold.map(|own| (own.sighting.clone(), now.since(own.at))).collect();
        self.own.iter_mut().for_each(|own| own.told = true);
        let cleared: Vec<_> = std::mem::take(&mut self.cleared).into_iter().collect();
        let is_news = !seen.is_empty() || !cleared.is_empty();
        is_news.then_some(CrashReport { seen, cleared })
    }

    /// Another control process leads; the one before may not have passed on what it was told.
    pub fn on_new_leader(&mut self, now: Timestamp) {
        self.forget_old(now);
        self.own.iter_mut().filter(|own| own.seen_here).for_each(|own| own.told = false);
    }

    /// A report may be lost with a queue that was full. What is still new is told once more.
    pub fn resend_recent(&mut self, now: Timestamp) {
        let is_new = |own: &&mut OwnSighting| now.since(own.at) < TOLD_AGAIN_FOR;
        let seen_here = self.own.iter_mut().filter(|own| own.seen_here);
        seen_here.filter(is_new).for_each(|own| own.told = false);
    }

    fn forget_old(&mut self, now: Timestamp) {
        while self.own.front().is_some_and(|own| now.since(own.at) >= REPORT_MEMORY) {
            self.own.pop_front();
        }
        while self.doubtful.front().is_some_and(|(at, _)| now.since(*at) >= DOUBT_MEMORY) {
            self.doubtful.pop_front();
        }
        while self.ended_well.front().is_some_and(|(at, _)| now.since(*at) >= WELL_MEMORY) {
            self.ended_well.pop_front();
        }
    }
}
