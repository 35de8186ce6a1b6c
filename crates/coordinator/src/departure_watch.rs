//! The leader's part in engines' departures: which words are written down, and when they are forgotten.

use stackpost_gateway_core::{DepartureChange, DepartureRecord, Departures};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// How long a word is kept: longer than an engine serves on, and than a heartbeat may be held up.
const KEEP_TIME: Millis = Millis(180_000);
/// A word whose entry has not been committed for so long is proposed again.
const PROPOSE_AGAIN: Millis = Millis(400);
/// Time between two looks at how long words have been kept.
const LOOK_INTERVAL: Millis = Millis(1_000);

/// The leader's watch. Its times begin anew with each leader, so a change of leader can only make a word stay longer.
#[derive(Debug, Default)]
pub(crate) struct DepartureWatch {
    /// Words on their way into the log, and since when.
    proposed: BTreeMap<BackEndName, (DepartureRecord, Timestamp)>,
    /// The revision of each word that is held, and since when.
    held: BTreeMap<BackEndName, (u64, Timestamp)>,
    looked_at: Timestamp,
}

impl DepartureWatch {
    /// Another replica leads, or this one does from now on.
    pub fn on_role_change(&mut self) {
        *self = Self::default();
    }

    /// What control processes ask to have written down, as a change to propose; `None` if it is nothing new.
    pub fn on_notices(
        &mut self,
        now: Timestamp,
        held: &Departures,
        words: Vec<DepartureRecord>,
    ) -> Option<DepartureChange> {
        let is_under_way = |word: &DepartureRecord| {
            let proposed = self.proposed.get(&word.engine);
            proposed.is_some_and(|(other, at)| other == word && now.since(*at) < PROPOSE_AGAIN)
        };
        let news: Vec<DepartureRecord> = words
            .into_iter()
            .filter(|word| held.would_change(word) && !is_under_way(word))
            .collect();
        for word in &news {
            self.proposed.insert(word.engine.clone(), (word.clone(), now));
        }
        (!news.is_empty()).then_some(DepartureChange::Announced(news))
    }

    /// What has been kept for long enough.
    pub fn on_tick(&mut self, now: Timestamp, held: &Departures) -> Option<DepartureChange> {
        if now.since(self.looked_at) < LOOK_INTERVAL {
            return None;
        }
        self.looked_at = now;
        self.proposed.retain(|_, (word, _)| held.would_change(word));
        self.held.retain(|engine, _| held.get(engine).is_some());
        let mut old = Vec::new();
        for (engine, revision) in held.revisions() {
            let since = self.held.entry(engine.clone()).or_insert((revision, now));
            if since.0 != revision {
                *since = (revision, now);
            }
            if now.since(since.1) >= KEEP_TIME {
                old.push(engine.clone());
            }
        }
        (!old.is_empty()).then_some(DepartureChange::Expired(old))
    }
}
