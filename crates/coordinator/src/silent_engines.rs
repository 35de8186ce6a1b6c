//! The engines whose announcements are overdue, as a control process reports them to routers.
//!
//! While a zone is cut off, hundreds of engines fall silent one after the other and return one
//! after the other, and each change goes to every subscribed router. So a router that has confirmed
//! a version receives only what has changed since.

use serde::{Deserialize, Serialize};
use stackpost_gateway_core::EngineDirectory;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which the return of an engine is remembered: far longer than a connected router takes
/// to confirm it. One that connects later starts with the full list.
const RETENTION: Millis = Millis(60_000);

/// Changes between two versions of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentEnginesDelta {
    /// The version that the delta applies to. Zero if it is the full list.
    pub base: u64,
    /// The version after the delta.
    pub version: u64,
    /// Engines that have fallen silent.
    pub silent: Vec<BackEndName>,
    /// Engines that are no longer silent.
    pub returned: Vec<BackEndName>,
}

impl SilentEnginesDelta {
    /// Applies the delta to a list of version `known`. Returns the version after it, or `None` if
    /// it does not build on that version.
    pub fn apply(&self, known: u64, engines: &mut BTreeSet<BackEndName>) -> Option<u64> {
        if self.base > known {
            return None;
        }
        if self.base == 0 {
            engines.clear();
        }
        self.returned.iter().for_each(|engine| {
            engines.remove(engine);
        });
        engines.extend(self.silent.iter().cloned());
        Some(known.max(self.version))
    }
}

#[derive(Clone, Copy, Debug)]
struct LastChange {
    is_silent: bool,
    /// The version that made the change, and when.
    version: u64,
    at: Timestamp,
}

/// The list and its changes.
#[derive(Clone, Debug, Default)]
pub struct SilentEngineList {
    /// Engines that are silent or have been.
    changes: BTreeMap<BackEndName, LastChange>,
    version: u64,
}

impl SilentEngineList {
    /// Updates the list from the directory. Returns whether it has changed.
    pub fn refresh(&mut self, now: Timestamp, directory: &EngineDirectory) -> bool {
        let silent = directory.silent_engines(now);
        let next_version = self.version + 1;
        let mut has_changed = false;
        for (engine, change) in &mut self.changes {
            if change.is_silent != silent.contains(engine) {
                *change =
                    LastChange { is_silent: !change.is_silent, version: next_version, at: now };
                has_changed = true;
            }
        }
        for engine in silent {
            self.changes.entry(engine).or_insert_with(|| {
                has_changed = true;
                LastChange { is_silent: true, version: next_version, at: now }
            });
        }
        self.version += u64::from(has_changed);
        has_changed
    }

    /// Increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of silent engines.
    pub fn count(&self) -> usize {
        self.changes.values().filter(|change| change.is_silent).count()
    }

    /// The changes after version `base`.
    pub fn since(&self, base: u64) -> SilentEnginesDelta {
        let changed = self.changes.iter().filter(|(_, change)| change.version > base);
        let mut delta = SilentEnginesDelta { base, version: self.version, ..Default::default() };
        for (engine, change) in changed {
            match change.is_silent {
                true => delta.silent.push(engine.clone()),
                false => delta.returned.push(engine.clone()),
            }
        }
        delta
    }

    /// Drops engines that returned a long time ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.changes.retain(|_, change| change.is_silent || now.since(change.at) < RETENTION);
    }
}
