//! What a router tells the leader about departing engines: which departures it knows, and which
//! engines may not have read all that it sent them.

use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Time for which an engine is reported after it has read all requests: many repetitions, any of
/// which may be lost.
const REPORT_TIME: Millis = Millis(10_000);
/// Time after which an unchanged report is repeated, since a message may be lost.
const REPEAT_AFTER: Millis = Millis(600);

/// A departing engine that may not have read all requests of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadEngine {
    /// The engine.
    pub engine: BackEndName,
    /// Time since the newest request was sent that it may not have read.
    pub newest_age: Millis,
}

/// A departing engine that has read requests of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRead {
    /// The engine.
    pub engine: BackEndName,
    /// Time since the newest request was sent that it has read.
    pub newest_age: Millis,
}

/// A router's progress with the committed departures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureProgress {
    /// Revision up to which the router knows every departure.
    pub revision: u64,
    /// Every other departing engine has read all that the router sent.
    pub unread: Vec<UnreadEngine>,
}

/// What a router knows of its requests at a departing engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTraffic {
    /// It has read all requests.
    AllRead,
    /// It may not have read a request that was sent at this time.
    UnreadSince(Timestamp),
    /// The router sends it further requests, since it knows a later announcement.
    Ongoing,
}

/// Decides when a router reports its progress. Without departures there is nothing to report.
#[derive(Clone, Debug, Default)]
pub struct ProgressReporter {
    /// Departing engines, and since when each has read all requests, as far as this router knows.
    departing: BTreeMap<BackEndName, Timestamp>,
    reported_unread: Vec<BackEndName>,
    reported_at: Timestamp,
}

impl ProgressReporter {
    /// Records that an engine departs.
    pub fn on_departure(&mut self, now: Timestamp, engine: &BackEndName) {
        self.departing.insert(engine.clone(), now);
    }

    /// Records that an engine accepts requests again.
    pub fn on_return(&mut self, engine: &BackEndName) {
        self.departing.remove(engine);
    }

    /// The complete report.
    pub fn report(
        &mut self,
        now: Timestamp,
        revision: u64,
        traffic: impl Fn(&BackEndName) -> EngineTraffic,
    ) -> DepartureProgress {
        for (engine, settled_at) in &mut self.departing {
            if traffic(engine) != EngineTraffic::AllRead {
                *settled_at = now;
            }
        }
        self.departing.retain(|_, settled_at| now.since(*settled_at) < REPORT_TIME);
        let unread: Vec<UnreadEngine> = self
            .departing
            .keys()
            .filter_map(|engine| {
                let newest_age = match traffic(engine) {
                    EngineTraffic::AllRead => return None,
                    EngineTraffic::UnreadSince(sent_at) => now.since(sent_at),
                    EngineTraffic::Ongoing => Millis(0),
                };
                Some(UnreadEngine { engine: engine.clone(), newest_age })
            })
            .collect();
        self.reported_unread = unread.iter().map(|one| one.engine.clone()).collect();
        self.reported_at = now;
        DepartureProgress { revision, unread }
    }

    /// The departing engines that have read requests. `newest_read` is when the newest of them was
    /// sent to an engine.
    pub fn reads(
        &self,
        now: Timestamp,
        newest_read: impl Fn(&BackEndName) -> Option<Timestamp>,
    ) -> Vec<EngineRead> {
        let read = |engine: &BackEndName| {
            let newest_age = now.since(newest_read(engine)?);
            Some(EngineRead { engine: engine.clone(), newest_age })
        };
        self.departing.keys().filter_map(read).collect()
    }

    /// The report if it has changed, or if one with unread requests is due to be repeated.
    pub fn report_if_due(
        &mut self,
        now: Timestamp,
        revision: u64,
        traffic: impl Fn(&BackEndName) -> EngineTraffic,
    ) -> Option<DepartureProgress> {
        let is_repeated = now.since(self.reported_at) >= REPEAT_AFTER;
        let (before, reported_at) = (self.reported_unread.clone(), self.reported_at);
        if self.departing.is_empty() && before.is_empty() {
            return None;
        }
        let report = self.report(now, revision, traffic);
        if self.reported_unread != before || is_repeated {
            return Some(report);
        }
        self.reported_at = reported_at;
        None
    }
}
