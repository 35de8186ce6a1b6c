//! Engines that have asked this router to send nothing for some time (backoff), or nothing any more
//! (leaving).
//!
//! An engine that rejects a request may state for how long it wants none, and one that leaves says
//! so in its responses. Unlike a failure rate, neither is an estimate: both hold regardless of the
//! engine's announcements in between, and such an engine is not used even if there is no other.
//! Both apply to one incarnation of an engine, not to the next.
//!
//! When a backoff is over, it is not known whether the engine has capacity again, and all waiting
//! requests would reach it at once. So the engine is probed first: one request every
//! [`PROBE_INTERVAL`], until it accepts one.

use crate::directory::EngineDirectory;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{HashMap, HashSet};

/// Time between two requests to an engine after its backoff, until it has accepted one. An engine
/// with capacity responds within two round trips and the time of a request; one that still has none
/// gets at most ten requests per second.
const PROBE_INTERVAL: Millis = Millis(100);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Timestamp,
    /// When the last request after the backoff was sent.
    probed_at: Option<Timestamp>,
}

/// Backoffs and departures of engines, as stated in their responses to one router.
#[derive(Clone, Debug, Default)]
pub struct BackoffTracker {
    backoffs: HashMap<BackEndName, Backoff>,
    leaving: HashSet<BackEndName>,
}

/// How a backoff directive changed an engine's backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffChange {
    /// Whether the engine was not backing off before.
    pub begins: bool,
    /// By how much the backoff ends later than before.
    pub added: Millis,
}

impl BackoffTracker {
    /// Records that an engine asks for a backoff of `duration` from now. If it overlaps with an
    /// earlier one, the later end applies.
    pub fn on_backoff(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        duration: Millis,
    ) -> BackoffChange {
        let known = self.backoffs.get(engine).map_or(now, |known| known.until.max(now));
        let until = known.max(now + duration);
        self.backoffs.insert(engine.clone(), Backoff { until, probed_at: None });
        BackoffChange { begins: known == now && until > now, added: until.since(known) }
    }

    /// Records that an engine is leaving. Returns whether that was not known.
    pub fn on_leaving(&mut self, engine: &BackEndName) -> bool {
        self.leaving.insert(engine.clone())
    }

    /// Records that a request is sent to an engine.
    pub fn on_sent(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(backoff) = self.backoffs.get_mut(engine) {
            backoff.probed_at = Some(now);
        }
    }

    /// Records that an engine has accepted a request that was sent to it at `sent_at`. It ends the
    /// probing only if the request was sent after the backoff.
    pub fn on_accepted(&mut self, engine: &BackEndName, sent_at: Timestamp) {
        if self.backoffs.get(engine).is_some_and(|backoff| sent_at >= backoff.until) {
            self.backoffs.remove(engine);
        }
    }

    /// Whether an engine is backing off.
    pub fn is_backing_off(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.backoffs.get(engine).is_some_and(|backoff| backoff.until > now)
    }

    /// Whether an engine has requested a backoff and accepted no request after it.
    pub fn is_probing(&self, engine: &BackEndName) -> bool {
        self.backoffs.contains_key(engine)
    }

    /// Whether an engine has announced in a response that it is leaving.
    pub fn is_leaving(&self, engine: &BackEndName) -> bool {
        self.leaving.contains(engine)
    }

    /// When a request may be sent to an engine; `now` or earlier if it may be now, `None` if the
    /// engine is leaving.
    pub fn available_from(&self, engine: &BackEndName) -> Option<Timestamp> {
        if self.is_leaving(engine) {
            return None;
        }
        let Some(backoff) = self.backoffs.get(engine) else {
            return Some(Timestamp(0));
        };
        let next_probe = backoff.probed_at.map_or(Timestamp(0), |probed| probed + PROBE_INTERVAL);
        Some(backoff.until.max(next_probe))
    }

    /// Whether a request may be sent to an engine now.
    pub fn is_available(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.available_from(engine).is_some_and(|from| from <= now)
    }

    /// Number of engines that are backing off.
    pub fn backing_off(&self, now: Timestamp) -> usize {
        self.backoffs.values().filter(|backoff| backoff.until > now).count()
    }

    /// Removes engines that the directory no longer knows, so that the memory is bounded by the
    /// directory.
    pub fn remove_unknown(&mut self, directory: &EngineDirectory) {
        self.backoffs.retain(|engine, _| directory.get(engine).is_some());
        self.leaving.retain(|engine| directory.get(engine).is_some());
    }
}
