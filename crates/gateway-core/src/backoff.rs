//! Engines that have asked this router to hold off: to send nothing for a while, or nothing more at all.
//!
//! An engine that turns a request away may say for how long it wants none, and one that leaves says so in its
//! answers. Neither is a guess as a failure rate is: it holds for as long as the engine said, whatever it announces
//! meanwhile, and no such engine is asked for want of another one. Both belong to one life of an engine; the next
//! life owes nothing to it.
//!
//! When a rest is over nobody knows whether the engine has room again. All that waited would meet it at one moment,
//! so it is on trial first: one request every [`TRIAL_INTERVAL`], until it takes one.

use crate::directory::EngineDirectory;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{HashMap, HashSet};

/// Time between two requests to an engine whose rest is over, until it has taken one. An engine with room answers
/// within two round trips and the time of a request, so this is what is sent to one that still has none: ten a second.
const TRIAL_INTERVAL: Millis = Millis(100);

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Timestamp,
    /// When the last request went to the engine after its rest.
    tried_at: Option<Timestamp>,
}

/// What the engines of one router have asked for.
#[derive(Clone, Debug, Default)]
pub struct BackoffTracker {
    rests: HashMap<BackEndName, Rest>,
    leaving: HashSet<BackEndName>,
}

/// What a wish for rest changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffChange {
    /// Whether the engine was not resting before.
    pub begins: bool,
    /// By how much the rest ends later than was known.
    pub added: Millis,
}

impl BackoffTracker {
    /// An engine wants no request for `rest` from now on. Where wishes overlap, the later end counts.
    pub fn on_backoff(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        rest: Millis,
    ) -> BackoffChange {
        let known = self.rests.get(engine).map_or(now, |known| known.until.max(now));
        let until = known.max(now + rest);
        self.rests.insert(engine.clone(), Rest { until, tried_at: None });
        BackoffChange { begins: known == now && until > now, added: until.since(known) }
    }

    /// An engine says that it leaves. Returns whether that is news.
    pub fn on_leaving(&mut self, engine: &BackEndName) -> bool {
        self.leaving.insert(engine.clone())
    }

    /// A request goes to an engine.
    pub fn on_sent(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(rest) = self.rests.get_mut(engine) {
            rest.tried_at = Some(now);
        }
    }

    /// An engine has taken a request that was sent to it at `sent_at`. What was sent before its rest says nothing
    /// of the time after it.
    pub fn on_accepted(&mut self, engine: &BackEndName, sent_at: Timestamp) {
        if self.rests.get(engine).is_some_and(|rest| sent_at >= rest.until) {
            self.rests.remove(engine);
        }
    }

    /// Whether an engine rests.
    pub fn is_backing_off(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.rests.get(engine).is_some_and(|rest| rest.until > now)
    }

    /// Whether an engine has asked for rest and taken no request since.
    pub fn is_probing(&self, engine: &BackEndName) -> bool {
        self.rests.contains_key(engine)
    }

    /// Whether an engine has said that it leaves.
    pub fn is_leaving(&self, engine: &BackEndName) -> bool {
        self.leaving.contains(engine)
    }

    /// When an engine may be asked; `now` or earlier if it may be now. One that leaves never may.
    pub fn available_from(&self, engine: &BackEndName) -> Option<Timestamp> {
        if self.is_leaving(engine) {
            return None;
        }
        let Some(rest) = self.rests.get(engine) else {
            return Some(Timestamp(0));
        };
        let next_trial = rest.tried_at.map_or(Timestamp(0), |tried| tried + TRIAL_INTERVAL);
        Some(rest.until.max(next_trial))
    }

    /// Whether an engine may be asked now.
    pub fn is_available(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.available_from(engine).is_some_and(|from| from <= now)
    }

    /// Engines that rest.
    pub fn resting(&self, now: Timestamp) -> usize {
        self.rests.values().filter(|rest| rest.until > now).count()
    }

    /// Forgets engines that the directory no longer knows, so that what is kept is bounded by what is known.
    pub fn forget_unknown(&mut self, directory: &EngineDirectory) {
        self.rests.retain(|engine, _| directory.get(engine).is_some());
        self.leaving.retain(|engine| directory.get(engine).is_some());
    }
}
