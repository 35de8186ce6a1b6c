//! One router's view of requests and parts of prompts that crash engines: the notices of the control processes and its
//! own sightings.
//!
//! Own sightings count in addition to the notices because they are available at once, and also
//! while the control processes are unreachable. They expire soon: a router alone can't distinguish
//! a crashed engine from an interrupted connection. While connected to the leader, they count only
//! until the leader has them; from then on its notice is decisive, including where it revokes a
//! sighting because the engine continues to announce itself.
//!
//! While disconnected from the leader, routers exchange their sightings; otherwise each of them
//! would lose three engines before it quarantines the request.
//!
//! An interrupted connection to an engine that still accepts connections is not a sighting. That
//! engine may be the next incarnation of the crashed one, or a listener that outlives its workers;
//! then a newer incarnation is announced, and the sighting counts.
//!
//! A request that crashes engines never succeeds. So one that has succeeded recently is no suspect
//! here, whatever other sightings there are, and the leader is notified: a quarantined request is
//! refused, so no later attempt could show that it is harmless.

use crate::fingerprint::Fingerprint;
use crate::quarantine::{
    CRASHES_TO_QUARANTINE, CrashSighting, INITIAL_QUARANTINE, QuarantineNotice,
};
use crate::quarantine_trials::ListedSuspect;
use crate::recent_successes::RecentSuccesses;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which own sightings count while disconnected from the leader. Ten times the interval at
/// which a request that crashed one engine per second was retried.
const SIGHTING_TTL: Millis = Millis(10_000);
/// Time for which own sightings count while connected to the leader: several times what a report to
/// the leader, its commit and the resulting notice take, including an election of 0.7 s.
const CONNECTED_SIGHTING_TTL: Millis = Millis(2_000);
/// Time within which the leader revokes sightings of engines that still run: two announcements of
/// an engine (one per 1.2 s), and as much again. Callers of a request that was quarantined less
/// than this ago, or whose quarantine should be over, are asked to retry after this time.
const REVOCATION_TIME: Millis = Millis(5_000);
/// Time for which sightings are kept for a disconnected leader: longer than most partitions of a
/// router. The leader ignores engines that have announced themselves since, so an old sighting does
/// no harm.
const REPORT_RETENTION: Millis = Millis(60_000);
/// Time for which a sighting is sent again: two or three times at the interval of the router's slow
/// periodic task.
const RESEND_WINDOW: Millis = Millis(5_000);
/// Time for which an unconfirmed crash of an engine that accepts connections may still be
/// confirmed: some announcements of an incarnation that has started at once (one per 1.2 s).
const UNCONFIRMED_TTL: Millis = Millis(5_000);
/// Maximum number of own sightings kept, the newest ones: several engines full of requests, each
/// with some parts.
const MAX_SIGHTINGS: usize = 2_048;

/// A router's report to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crash sightings, each with the time since.
    pub seen: Vec<(CrashSighting, Millis)>,
    /// Suspected requests that have succeeded.
    pub cleared: Vec<Fingerprint>,
}

#[derive(Clone, Debug)]
struct TrackedSighting {
    /// When the crash became known here. Its effect at this router is limited from then on.
    at: Timestamp,
    /// When the request was interrupted; an engine that has run later was not ended by it.
    interrupted_at: Timestamp,
    sighting: CrashSighting,
    reported: bool,
    /// Whether this router saw the crash, rather than another one that reported it.
    observed_locally: bool,
    /// Whether it has been sent to other routers.
    sent_to_peers: bool,
}

/// One router's view.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    notice: QuarantineNotice,
    /// Quarantined requests and parts of the notice.
    quarantined: BTreeMap<Fingerprint, ListedSuspect>,
    tracked: VecDeque<TrackedSighting>,
    /// Crashes of engines that accepted connections afterwards, with their times, the oldest first.
    unconfirmed: VecDeque<(Timestamp, CrashSighting)>,
    cleared: BTreeSet<Fingerprint>,
    succeeded: RecentSuccesses,
}

impl CrashTracker {
    /// Whether any request could be quarantined. If not, requests need no fingerprint.
    pub fn has_quarantine_candidates(&self) -> bool {
        !self.notice.quarantined.is_empty() || self.tracked.len() >= CRASHES_TO_QUARANTINE
    }

    /// Whether any request is suspected. If not, none needs to be cleared.
    pub fn has_suspects(&self) -> bool {
        let notice = &self.notice;
        let has_listed = !(notice.quarantined.is_empty() && notice.suspected.is_empty());
        has_listed || !self.tracked.is_empty() || !self.unconfirmed.is_empty()
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(
        &mut self,
        now: Timestamp,
        request: &Fingerprint,
        is_connected: bool,
    ) -> bool {
        self.quarantine_remaining(now, request, is_connected).is_some()
    }

    /// Time after which the caller of a quarantined request should retry; `None` if it is not
    /// quarantined.
    pub fn quarantine_remaining(
        &mut self,
        now: Timestamp,
        request: &Fingerprint,
        is_connected: bool,
    ) -> Option<Millis> {
        self.remove_expired(now);
        if self.succeeded.contains(now, request) {
            return None;
        }
        let Some(listed) = self.quarantined.get(request) else {
            return self.own_quarantine_remaining(now, request, is_connected);
        };
        let elapsed = now.since(listed.since);
        if elapsed < REVOCATION_TIME {
            return Some(REVOCATION_TIME);
        }
        Some(Millis(INITIAL_QUARANTINE.0.saturating_sub(elapsed.0)).max(REVOCATION_TIME))
    }

    /// Whether a request may be sent although these parts of its prompt are refused, to learn
    /// whether they are sound. Counts the trial if so.
    pub fn begin_trial(&mut self, now: Timestamp, refused: &[Fingerprint]) -> bool {
        let is_due = |part: &Fingerprint| {
            self.quarantined.get(part).is_some_and(|listed| listed.may_be_tried(now))
        };
        let are_all_due = refused.iter().all(is_due);
        let other_is_listed = self.quarantined.keys().any(|listed| !refused.contains(listed));
        if !are_all_due || !other_is_listed {
            return false;
        }
        for part in refused {
            if let Some(listed) = self.quarantined.get_mut(part) {
                listed.begin_trial(now);
            }
        }
        true
    }

    /// The remaining quarantine by this router's own sightings.
    fn own_quarantine_remaining(
        &self,
        now: Timestamp,
        request: &Fingerprint,
        is_connected: bool,
    ) -> Option<Millis> {
        let ttl = if is_connected { CONNECTED_SIGHTING_TTL } else { SIGHTING_TTL };
        let of_request = self.tracked.iter().filter(|tracked| tracked.sighting.suspect == *request);
        let newest: BTreeMap<_, _> =
            of_request.map(|tracked| (&tracked.sighting.engine, tracked.at)).collect();
        let mut times: Vec<Timestamp> = newest.into_values().collect();
        times.sort_unstable();
        let deciding = times.iter().rev().nth(CRASHES_TO_QUARANTINE - 1)?;
        let remaining = ttl.0.checked_sub(now.since(*deciding).0)?;
        (remaining > 0).then_some(Millis(remaining))
    }

    /// Records that an engine crashed while it ran a request.
    pub fn on_engine_crash(&mut self, now: Timestamp, sighting: CrashSighting) {
        self.track(now, now, sighting);
    }

    fn track(&mut self, now: Timestamp, interrupted_at: Timestamp, sighting: CrashSighting) {
        self.remove_expired(now);
        // Each request that holds a part reports it.
        let is_known =
            |tracked: &TrackedSighting| tracked.observed_locally && tracked.sighting == sighting;
        let has_succeeded = self.succeeded.contains(now, &sighting.suspect);
        if has_succeeded || self.tracked.iter().any(is_known) {
            return;
        }
        if self.tracked.len() >= MAX_SIGHTINGS {
            self.tracked.pop_front();
        }
        self.cleared.remove(&sighting.suspect);
        self.tracked.push_back(TrackedSighting {
            at: now,
            interrupted_at,
            sighting,
            reported: false,
            observed_locally: true,
            sent_to_peers: false,
        });
    }

    /// Merges sightings of another router that is disconnected from the leader, with their ages.
    /// Only the router that saw a crash reports it to the leader.
    pub fn on_peer_sightings(&mut self, now: Timestamp, seen: Vec<(CrashSighting, Millis)>) {
        self.remove_expired(now);
        for (sighting, age) in seen {
            let is_known = self.tracked.iter().any(|tracked| tracked.sighting == sighting);
            let at = Timestamp(now.0.saturating_sub(age.0));
            if is_known || age >= SIGHTING_TTL || self.succeeded.contains(now, &sighting.suspect) {
                continue;
            }
            if self.tracked.len() >= MAX_SIGHTINGS {
                self.tracked.pop_front();
            }
            self.tracked.push_back(TrackedSighting {
                at,
                interrupted_at: at,
                sighting,
                reported: true,
                observed_locally: false,
                sent_to_peers: true,
            });
        }
    }

    /// Sightings to send to other routers while disconnected from the leader, without those already
    /// sent. Counts as sent.
    pub fn take_peer_sightings(&mut self, now: Timestamp) -> Vec<(CrashSighting, Millis)> {
        let mut sightings = Vec::new();
        for tracked in self.tracked.iter_mut().filter(|tracked| !tracked.sent_to_peers) {
            tracked.sent_to_peers = true;
            let age = now.since(tracked.at);
            if age < SIGHTING_TTL {
                sightings.push((tracked.sighting.clone(), age));
            }
        }
        sightings
    }

    /// Records that a connection was interrupted while an engine ran a request, and that the engine
    /// still accepts connections.
    pub fn on_unconfirmed_crash(&mut self, now: Timestamp, sighting: CrashSighting) {
        self.remove_expired(now);
        if self.unconfirmed.len() >= MAX_SIGHTINGS {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back((now, sighting));
    }

    /// Records that an incarnation of an engine has started, so that the earlier ones have ended.
    /// Returns whether this confirms a crash.
    pub fn on_incarnation_started(&mut self, now: Timestamp, engine: &BackEndName) -> bool {
        self.remove_expired(now);
        let is_older = |(_, seen): &(Timestamp, CrashSighting)| {
            seen.engine.id() == engine.id() && seen.engine.started_at_ms() < engine.started_at_ms()
        };
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let (ended, remaining): (VecDeque<_>, VecDeque<_>) =
            unconfirmed.into_iter().partition(is_older);
        self.unconfirmed = remaining;
        let is_confirmed = !ended.is_empty();
        ended.into_iter().for_each(|(at, sighting)| self.track(now, at, sighting));
        is_confirmed
    }

    /// Records that a request has succeeded, so that it does not crash engines.
    pub fn on_request_succeeded(&mut self, now: Timestamp, request: &Fingerprint) {
        self.succeeded.record(now, request);
        self.unconfirmed.retain(|(_, seen)| seen.suspect != *request);
        let before = self.tracked.len();
        self.tracked.retain(|tracked| tracked.sighting.suspect != *request);
        if before > self.tracked.len() || self.notice.includes(request) {
            self.cleared.insert(*request);
        }
    }

    /// Stores the notice of a control process, unless a newer one is known. Returns whether the
    /// leader should be notified of a listed request that has succeeded here.
    pub fn on_notice(&mut self, now: Timestamp, notice: QuarantineNotice) -> bool {
        if notice.revision < self.notice.revision {
            return false;
        }
        self.notice = notice;
        let before = std::mem::take(&mut self.quarantined);
        let entry = |suspect: &Fingerprint| {
            before.get(suspect).copied().unwrap_or_else(|| ListedSuspect::new(now))
        };
        let listed = self.notice.quarantined.iter();
        self.quarantined = listed.map(|suspect| (*suspect, entry(suspect))).collect();
        let listed = self.notice.quarantined.iter().chain(&self.notice.suspected);
        let succeeded = listed.filter(|request| self.succeeded.contains(now, request));
        let newly_cleared: Vec<Fingerprint> = succeeded.copied().collect();
        self.cleared.extend(&newly_cleared);
        !newly_cleared.is_empty()
    }

    /// Number of quarantined requests by the notice of the control processes.
    pub fn quarantined(&self) -> usize {
        self.notice.quarantined.len()
    }

    /// The report of what has not been sent to the leader, if anything. Counts as sent.
    pub fn take_report(&mut self, now: Timestamp) -> Option<CrashReport> {
        let unreported = self.tracked.iter().filter(|tracked| !tracked.reported);
        let seen: Vec<_> = unreported
            .map(|tracked| (tracked.sighting.clone(), now.since(tracked.interrupted_at)))
            .collect();
        self.tracked.iter_mut().for_each(|tracked| tracked.reported = true);
        let cleared: Vec<_> = std::mem::take(&mut self.cleared).into_iter().collect();
        let has_unsent = !seen.is_empty() || !cleared.is_empty();
        has_unsent.then_some(CrashReport { seen, cleared })
    }

    /// Marks all own sightings as unsent: the previous leader may not have committed them.
    pub fn on_new_leader(&mut self, now: Timestamp) {
        self.remove_expired(now);
        self.tracked
            .iter_mut()
            .filter(|tracked| tracked.observed_locally)
            .for_each(|tracked| tracked.reported = false);
    }

    /// Marks recent own sightings as unsent: a report may be lost because a queue was full.
    pub fn resend_recent(&mut self, now: Timestamp) {
        let is_new = |tracked: &&mut TrackedSighting| now.since(tracked.at) < RESEND_WINDOW;
        let observed_locally = self.tracked.iter_mut().filter(|tracked| tracked.observed_locally);
        observed_locally.filter(is_new).for_each(|tracked| tracked.reported = false);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.tracked.front().is_some_and(|tracked| now.since(tracked.at) >= REPORT_RETENTION)
        {
            self.tracked.pop_front();
        }
        while self.unconfirmed.front().is_some_and(|(at, _)| now.since(*at) >= UNCONFIRMED_TTL) {
            self.unconfirmed.pop_front();
        }
        self.succeeded.remove_expired(now);
    }
}
