//! Whether this router can open connections to the engines by itself.
//!
//! A single engine that cannot be reached may have crashed. If connections to several engines fail
//! and none succeeds meanwhile, the path from this router is the more likely cause: it counts as
//! isolated. Open connections show nothing, since they may live on while new ones are refused. The
//! isolation ends where these engines turn out to have ended, since then the path was not the cause.
//!
//! The path to a single engine may be lost as well. If another router connects where this one could
//! not, or new connections break one after the other, a detour is preferred until a probe succeeds.

use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Number of engines to which a connection must fail before the router counts as isolated.
const MIN_FAILED_ENGINES: usize = 2;
/// Time for which a failed connection counts.
const FAILURE_TTL: Millis = Millis(3_000);
/// Consecutive failures at one engine from which a detour is preferred.
const MIN_FAILURES_FOR_DETOUR: u32 = 2;
/// Time until an engine that is reached by a detour is probed.
const DETOUR_TIME: Millis = Millis(1_000);
/// Consecutive probes that must succeed, each at another engine, before the router counts as
/// connected again.
const MIN_SUCCESSFUL_PROBES: usize = 2;

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No engine can be reached any more.
    Isolated {
        /// Number of engines to which connections failed.
        failed: usize,
    },
    /// Engines can be reached again.
    Connected {
        /// How long the router was isolated.
        after: Millis,
    },
}

/// Failures at one engine without a success in between.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    last: Timestamp,
}

/// The outcomes of this router's new connections to engines.
#[derive(Clone, Debug, Default)]
pub struct EngineReachability {
    /// Engines to which the newest connection failed, since the last success at any engine.
    failed: BTreeMap<BackEndName, Failures>,
    /// Engines that are reached by a detour, with the time of the next probe.
    detours: BTreeMap<BackEndName, Timestamp>,
    isolated_since: Option<Timestamp>,
    /// Engines to which connections failed, from the failures that led to the isolation on.
    unreachable: BTreeSet<BackEndName>,
    /// Engines at which probes succeeded, since the last failed probe.
    probed: Vec<BackEndName>,
}

impl EngineReachability {
    /// Whether no engine can be reached from here.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Whether a connection to an engine should be opened through another router.
    pub fn prefers_detour(&self, engine: &BackEndName) -> bool {
        self.is_isolated() || self.detours.contains_key(engine)
    }

    /// Whether any path is lost, so that probes are needed.
    pub fn needs_probes(&self) -> bool {
        self.is_isolated() || !self.detours.is_empty()
    }

    /// An engine whose path is to be probed now.
    pub fn due_detour(&self, now: Timestamp) -> Option<&BackEndName> {
        self.detours.iter().find(|(_, due)| **due <= now).map(|(engine, _)| engine)
    }

    /// Forgets an engine that has left.
    pub fn forget(&mut self, engine: &BackEndName) {
        self.failed.remove(engine);
        self.detours.remove(engine);
    }

    /// Records that another router connected to an engine where this one could not.
    pub fn on_detour(&mut self, now: Timestamp, engine: &BackEndName) {
        self.detours.insert(engine.clone(), now + DETOUR_TIME);
    }

    /// Records that a new connection to an engine failed, or broke before it carried anything.
    /// `engines` is the number of engines in service.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        engines: usize,
    ) -> Option<ReachabilityChange> {
        self.failed.retain(|_, failures| now.since(failures.last) < FAILURE_TTL);
        let failures = self.failed.entry(engine.clone()).or_default();
        *failures = Failures { count: failures.count + 1, last: now };
        if failures.count >= MIN_FAILURES_FOR_DETOUR {
            self.on_detour(now, engine);
        }
        if self.is_isolated() {
            self.unreachable.insert(engine.clone());
            return None;
        }
        let failed = self.failed.len();
        if failed < MIN_FAILED_ENGINES.min(engines) {
            return None;
        }
        self.isolated_since = Some(now);
        self.unreachable = self.failed.keys().cloned().collect();
        self.probed.clear();
        Some(ReachabilityChange::Isolated { failed })
    }

    /// Records which engines have not ended. `engines` is the number of engines in service.
    pub fn on_engines_changed(
        &mut self,
        now: Timestamp,
        has_not_ended: impl Fn(&BackEndName) -> bool,
        engines: usize,
    ) -> Option<ReachabilityChange> {
        let since = self.isolated_since?;
        self.unreachable.retain(&has_not_ended);
        let unreachable = self.unreachable.len();
        if unreachable > 0 && unreachable >= MIN_FAILED_ENGINES.min(engines) {
            return None;
        }
        self.failed.retain(|engine, _| has_not_ended(engine));
        self.isolated_since = None;
        Some(ReachabilityChange::Connected { after: now.since(since) })
    }

    /// Records the first response over a connection to an engine that was opened at `opened`. It
    /// shows nothing about the time after that.
    pub fn on_success(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        opened: Timestamp,
    ) -> Option<ReachabilityChange> {
        self.failed.retain(|_, failures| failures.last > opened);
        if !self.failed.contains_key(engine) {
            self.detours.remove(engine);
        }
        let since = self.isolated_since.filter(|since| *since <= opened)?;
        self.isolated_since = None;
        Some(ReachabilityChange::Connected { after: now.since(since) })
    }

    /// Records the outcome of a probe, a connection that carries no request. `engines` is the
    /// number of engines in service.
    pub fn on_probe(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        succeeded: bool,
        engines: usize,
    ) -> Option<ReachabilityChange> {
        if !succeeded {
            self.probed.clear();
            if self.is_isolated() {
                self.unreachable.insert(engine.clone());
            }
            if self.detours.contains_key(engine) {
                self.on_detour(now, engine);
            }
            return None;
        }
        self.forget(engine);
        if !self.probed.contains(engine) {
            self.probed.push(engine.clone());
        }
        if self.probed.len() < MIN_SUCCESSFUL_PROBES.min(engines) {
            return None;
        }
        self.on_success(now, engine, now)
    }
}
