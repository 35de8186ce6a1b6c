//! The leader's part in finding requests that end engines: which sightings are taken into the replicated
//! state, and when one is taken back, released or forgotten.
//!
//! A router says that an engine ended when a connection broke while the engine ran a request. A reset or
//! a spoiled answer looks the same there, so the sighting counts at once and is taken back if the engine
//! goes on announcing itself.

use stackpost_gateway_core::{Quarantine, QuarantineChange, RequestFingerprint};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Announcements after a sighting that show that an engine has not ended. The first may have been held
/// up on its way.
const ANNOUNCEMENTS_TO_CLEAR: u32 = 2;
/// Suspicions of which nothing more was seen for so long are dropped.
const SUSPICION_TIME: Millis = Millis(600_000);

/// Time between two looks at how long each record has stood.
const LOOK_INTERVAL: Millis = Millis(1_000);

/// What this leader has seen happen to one request's record.
#[derive(Clone, Copy, Debug)]
struct Watched {
    /// Engines that had ended under it when it was looked at last.
    engines: usize,
    /// Since when it has been so.
    since: Timestamp,
}

/// The leader's watch. Its times begin anew with each leader, so a change of leader can only make a
/// quarantine last longer.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    /// Announcements of engines that are said to have ended.
    announcements: BTreeMap<BackEndName, u32>,
    watched: BTreeMap<RequestFingerprint, Watched>,
    looked_at: Timestamp,
}

impl CrashWatch {
    /// Another replica leads, or this one does from now on.
    pub fn on_role_change(&mut self) {
        *self = Self::default();
    }

    /// What routers report, as a change to propose; `None` if it is nothing new.
    pub fn on_report(
        &mut self,
        held: &Quarantine,
        change: QuarantineChange,
    ) -> Option<QuarantineChange> {
        if let QuarantineChange::CrashesSeen(sightings) = &change {
            // One that is told again is no new end of the engine: counted anew, an engine that lives would never have
            // announced itself often enough since.
            for seen in sightings.iter().filter(|seen| held.is_new(seen)) {
                self.announcements.remove(&seen.engine);
            }
        }
        held.would_change(&change).then_some(change)
    }

    /// An engine has announced itself. Returns the change if that shows that it has not ended.
    pub fn on_announced(
        &mut self,
        held: &Quarantine,
        engine: BackEndName,
    ) -> Option<QuarantineChange> {
        if !held.has_crashes_of(&engine) {
            self.announcements.remove(&engine);
            return None;
        }
        let announcements = self.announcements.entry(engine.clone()).or_default();
        *announcements += 1;
        (*announcements >= ANNOUNCEMENTS_TO_CLEAR).then_some(QuarantineChange::EngineAlive(engine))
    }

    /// What has lasted for as long as it was to.
    pub fn on_tick(&mut self, now: Timestamp, held: &Quarantine) -> Vec<QuarantineChange> {
        if now.since(self.looked_at) < LOOK_INTERVAL {
            return Vec::new();
        }
        self.looked_at = now;
        self.watched.retain(|request, _| held.suspect(request).is_some());
        let (mut released, mut forgotten) = (Vec::new(), Vec::new());
        for (request, suspect) in held.suspects() {
            let engines = suspect.engines().count();
            let watched = self.watched.entry(*request).or_insert(Watched { engines, since: now });
            if watched.engines != engines {
                *watched = Watched { engines, since: now };
            }
            let lasted = now.since(watched.since);
            if suspect.is_quarantined() && lasted >= suspect.quarantine_time() {
                released.push(*request);
            } else if !suspect.is_quarantined() && lasted >= SUSPICION_TIME {
                forgotten.push(*request);
            }
        }
        let mut changes = Vec::new();
        if !released.is_empty() {
            changes.push(QuarantineChange::Released(released));
        }
        if !forgotten.is_empty() {
            changes.push(QuarantineChange::Expired(forgotten));
        }
        changes
    }
}
