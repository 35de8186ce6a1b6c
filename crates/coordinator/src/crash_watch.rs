//! The leader's part in detecting requests that crash engines: which crash sightings are proposed
//! to the replicated state, and when a sighting is revoked or a request is released or expired.
//!
//! A router reports a crash when a connection broke while the engine processed a request. A reset
//! or a corrupted response looks the same to the router, so the sighting counts at once and is
//! revoked if the engine continues to announce itself.

use stackpost_gateway_core::{Fingerprint, Quarantine, QuarantineChange};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Announcements after a sighting that show that an engine has not crashed. The first one may have
/// been delayed on its way.
const ANNOUNCEMENTS_TO_CLEAR: u32 = 2;
/// A suspect without further crash sightings for this long is expired.
const SUSPECT_RETENTION: Millis = Millis(600_000);

/// Time between two checks of the records' ages.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// What this leader has observed of one request's record.
#[derive(Clone, Copy, Debug)]
struct ObservedSuspect {
    /// Number of crashed engines at the last check.
    engines: usize,
    /// When that number last changed.
    since: Timestamp,
}

/// The leader's timers for crash sightings. A new leader restarts them, so a change of leader can
/// only make a quarantine last longer.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    /// Number of announcements of each engine since its last crash sighting.
    announcements: BTreeMap<BackEndName, u32>,
    observed: BTreeMap<Fingerprint, ObservedSuspect>,
    checked_at: Timestamp,
}

impl CrashWatch {
    /// Resets all timers when this replica becomes the leader or stops being it.
    pub fn on_role_change(&mut self) {
        *self = Self::default();
    }

    /// Returns a router's report as a change to propose; `None` if it would change nothing.
    pub fn on_report(
        &mut self,
        quarantine: &Quarantine,
        change: QuarantineChange,
    ) -> Option<QuarantineChange> {
        if let QuarantineChange::CrashesSeen(sightings) = &change {
            // A repeated sighting is no new crash. If it reset the count, an engine that is still
            // running would never reach the number of announcements that revokes the sighting.
            for sighting in sightings.iter().filter(|sighting| quarantine.is_new(sighting)) {
                self.announcements.remove(&sighting.engine);
            }
        }
        quarantine.would_change(&change).then_some(change)
    }

    /// Counts an announcement of an engine. Returns the change to propose once the engine has
    /// announced itself often enough since the sighting.
    pub fn on_announced(
        &mut self,
        quarantine: &Quarantine,
        engine: BackEndName,
    ) -> Option<QuarantineChange> {
        if !quarantine.has_crashes_of(&engine) {
            self.announcements.remove(&engine);
            return None;
        }
        let announcements = self.announcements.entry(engine.clone()).or_default();
        *announcements += 1;
        (*announcements >= ANNOUNCEMENTS_TO_CLEAR).then_some(QuarantineChange::EngineAlive(engine))
    }

    /// Returns the quarantines to release and the suspects to expire.
    pub fn on_tick(&mut self, now: Timestamp, quarantine: &Quarantine) -> Vec<QuarantineChange> {
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return Vec::new();
        }
        self.checked_at = now;
        self.observed.retain(|request, _| quarantine.suspect(request).is_some());
        let (mut released, mut expired) = (Vec::new(), Vec::new());
        for (request, suspect) in quarantine.suspects() {
            let engines = suspect.engines().count();
            let observed =
                self.observed.entry(*request).or_insert(ObservedSuspect { engines, since: now });
            if observed.engines != engines {
                *observed = ObservedSuspect { engines, since: now };
            }
            let age = now.since(observed.since);
            if suspect.is_quarantined() && age >= suspect.quarantine_time() {
                released.push(*request);
            } else if !suspect.is_quarantined() && age >= SUSPECT_RETENTION {
                expired.push(*request);
            }
        }
        let mut changes = Vec::new();
        if !released.is_empty() {
            changes.push(QuarantineChange::Released(released));
        }
        if !expired.is_empty() {
            changes.push(QuarantineChange::Expired(expired));
        }
        changes
    }
}
