//! A router's view of one back end.

use crate::prefix::CacheIndex;
use serde::{Deserialize, Serialize};
use stackpost_table::{BackEndRow, BackEndState, PolicyRow};
use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Maximum number of times that the ejection time is doubled for consecutive ejections.
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// A back end's report of its load, sampled some time before it is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued inside the back end.
    pub waiting: u32,
    /// Age of the sample in milliseconds when the report was sent.
    pub age_ms: u64,
}

/// One back end as a router sees it.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// Its row in the table.
    pub row: BackEndRow,
    /// Estimated content of its prompt cache.
    pub cache: CacheIndex,
    /// Requests from this router that are in flight there.
    pub in_flight: u32,
    leaving_by_platform: bool,
    report: LoadReport,
    report_sampled_at: Timestamp,
    /// Times of this router's dispatches since the report was sampled, which it does not include.
    recent_dispatches: VecDeque<Timestamp>,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Timestamp>,
    /// End of the backoff that it asked for. Unlike an ejection, which is inferred from failures,
    /// it stays in force whatever a load report says.
    backoff_until: Timestamp,
}

impl BackEnd {
    /// Creates a back end of which only its row is known.
    pub fn new(row: BackEndRow) -> Self {
        Self {
            row,
            cache: CacheIndex::default(),
            in_flight: 0,
            leaving_by_platform: false,
            report: LoadReport::default(),
            report_sampled_at: Timestamp::default(),
            recent_dispatches: VecDeque::new(),
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            backoff_until: Timestamp::default(),
        }
    }

    /// Whether new requests may be sent there.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.is_enabled() && !self.is_ejected(now) && !self.is_backing_off(now)
    }

    /// End of its backoff, if nothing else keeps it from accepting requests.
    pub fn available_from(&self, now: Timestamp) -> Option<Timestamp> {
        let only_backing_off =
            self.is_enabled() && !self.is_ejected(now) && self.is_backing_off(now);
        only_backing_off.then_some(self.backoff_until)
    }

    fn is_enabled(&self) -> bool {
        let leaving = self.leaving_by_platform || self.row.state == BackEndState::Leaving;
        !leaving && self.row.weight > 0
    }

    fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Records that it refused a request and asked for a backoff of `duration`. If several overlap,
    /// the latest end applies.
    pub fn on_backoff(&mut self, now: Timestamp, duration: Millis) {
        self.backoff_until = self.backoff_until.max(now + duration);
    }

    /// Whether it is ejected after failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether its ejection time has passed, so that it may be probed with a single request.
    pub fn is_probing(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Estimated number of requests there: the newest report plus this router's dispatches since,
    /// at least those in flight.
    pub fn estimated_load(&self) -> u32 {
        let reported = self.report.running + self.report.waiting;
        (reported + self.recent_dispatches.len() as u32).max(self.in_flight)
    }

    /// Records a load report received at `now`. A report also shows that the back end is alive, so
    /// it ends an ejection whose time has passed. Reports older than the newest one are ignored.
    pub fn on_report(&mut self, now: Timestamp, report: LoadReport) {
        let sampled_at = Timestamp(now.0.saturating_sub(report.age_ms));
        if sampled_at < self.report_sampled_at {
            return;
        }
        self.report = report;
        self.report_sampled_at = sampled_at;
        while self
            .recent_dispatches
            .front()
            .is_some_and(|dispatched_at| *dispatched_at < sampled_at)
        {
            self.recent_dispatches.pop_front();
        }
        if self.is_probing(now) {
            self.ejected_until = None;
        }
    }

    /// Records whether the platform's list marks the back end as leaving.
    pub fn on_platform(&mut self, leaving: bool) {
        self.leaving_by_platform = leaving;
    }

    /// Records a request sent there.
    pub fn on_dispatch(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.recent_dispatches.push_back(now);
    }

    /// Records the end of a request sent there.
    pub fn on_request_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.recent_dispatches.pop_back();
    }

    /// Records a successful response; ends an ejection and resets the failure counts.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = None;
    }

    /// Records a failure; ejects the back end after several consecutive failures, or after one
    /// while probing.
    pub fn on_failure(&mut self, now: Timestamp, policy: &PolicyRow) {
        self.consecutive_failures += 1;
        let was_probing = self.is_probing(now);
        if was_probing || self.consecutive_failures >= policy.eject_after_failures {
            let doublings = self.consecutive_ejections.min(MAX_EJECT_DOUBLINGS);
            self.ejected_until = Some(now + Millis(policy.eject_ms << doublings));
            self.consecutive_ejections += 1;
            self.consecutive_failures = 0;
        }
    }
}
