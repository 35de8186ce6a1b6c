//! Engines that are cold: they have started, or lost their caches, a short time ago and accept only
//! few requests for some time.
//!
//! An engine announces how much longer it stays cold. The announcement with the highest sequence
//! number is in force; an engine's next incarnation has another name and starts anew. Announcements
//! repeat the same end again and again, each with another delay, so an end that differs only a
//! little from the known one is no change: all processes keep the one that they learned first.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Difference of two ends up to which they count as the same.
const END_TOLERANCE: Millis = Millis(300);
/// Time for which the end of a cold period is remembered, so that a late announcement does not
/// begin it again.
const RETENTION: Millis = Millis(60_000);

/// A cold period as sent from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The engine's incarnation.
    pub engine: BackEndName,
    /// The sequence number of its announcement.
    pub sequence: u64,
    /// Time until the engine is no longer cold, as of sending.
    pub left: Millis,
}

/// Changes of [`ColdEngines`] between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdDelta {
    /// The revision that the delta applies to.
    pub base: u64,
    /// The revision after the delta.
    pub revision: u64,
    /// The engines that have changed in between.
    pub notices: Vec<ColdNotice>,
}

#[derive(Clone, Copy, Debug)]
struct ColdPeriod {
    sequence: u64,
    until: Timestamp,
    /// The revision that last changed the end.
    revision: u64,
}

/// The cold periods known to a process.
#[derive(Clone, Debug, Default)]
pub struct ColdEngines {
    periods: BTreeMap<BackEndName, ColdPeriod>,
    revision: u64,
}

impl ColdEngines {
    /// Merges a notice. Returns whether the engine's cold period has changed.
    pub fn merge(&mut self, now: Timestamp, notice: &ColdNotice) -> bool {
        let known = self.periods.get(&notice.engine).copied();
        let is_older = known.is_some_and(|known| notice.sequence <= known.sequence);
        let was_never_cold = known.is_none() && notice.left == Millis(0);
        if is_older || was_never_cold {
            return false;
        }
        let until = now + notice.left;
        let has_changed = known.is_none_or(|known| is_another_end(now, known.until, until));
        self.revision += u64::from(has_changed);
        let period = match known.filter(|_| !has_changed) {
            Some(known) => ColdPeriod { sequence: notice.sequence, ..known },
            None => ColdPeriod { sequence: notice.sequence, until, revision: self.revision },
        };
        self.periods.insert(notice.engine.clone(), period);
        has_changed
    }

    /// When an engine's cold period ends; `None` if it is not cold.
    pub fn cold_until(&self, now: Timestamp, engine: &BackEndName) -> Option<Timestamp> {
        self.periods.get(engine).map(|period| period.until).filter(|until| now < *until)
    }

    /// Increases whenever a cold period changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The cold periods that have changed after revision `base`.
    pub fn since(&self, now: Timestamp, base: u64) -> ColdDelta {
        let changed = self.periods.iter().filter(|(_, period)| period.revision > base);
        let notices = changed.map(|(engine, period)| ColdNotice {
            engine: engine.clone(),
            sequence: period.sequence,
            left: period.until.since(now),
        });
        ColdDelta { base, revision: self.revision, notices: notices.collect() }
    }

    /// Removes periods that ended a long time ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.periods.retain(|_, period| now.since(period.until) < RETENTION);
    }
}

/// Whether a cold period that ends at `until` is not the known one. Two ends in the past are the
/// same: the engine is not cold.
fn is_another_end(now: Timestamp, known: Timestamp, until: Timestamp) -> bool {
    let is_over = known <= now && until <= now;
    let difference = known.since(until).max(until.since(known));
    !is_over && difference > END_TOLERANCE
}
