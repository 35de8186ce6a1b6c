//! What a router knows about one back end.

use crate::prefix::CacheIndex;
use serde::{Deserialize, Serialize};
use stackpost_table::{BackEndRow, BackEndState, PolicyRow};
use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Longest ejection, as a multiple of the first.
const MAX_EJECT_DOUBLINGS: u32 = 5;

/// A back end's own account of its load, as of some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting inside the back end.
    pub waiting: u32,
    /// Age of the figures when they were sent.
    pub age_ms: u64,
}

/// One back end as a router sees it.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// Its row of the table.
    pub row: BackEndRow,
    /// What its prompt cache is believed to hold.
    pub cache: CacheIndex,
    /// Requests that this router has there now.
    pub in_flight: u32,
    leaving_by_platform: bool,
    report: LoadReport,
    reported_at: Timestamp,
    /// Times of this router's dispatches that the report can't reflect yet.
    recent_dispatches: VecDeque<Timestamp>,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Option<Timestamp>,
    /// It has asked for rest until then. Not a guess as an ejection is: it holds whatever a report says.
    rests_until: Timestamp,
}

impl BackEnd {
    /// A back end of which nothing but its row is known.
    pub fn new(row: BackEndRow) -> Self {
        Self {
            row,
            cache: CacheIndex::default(),
            in_flight: 0,
            leaving_by_platform: false,
            report: LoadReport::default(),
            reported_at: Timestamp::default(),
            recent_dispatches: VecDeque::new(),
            failures_in_row: 0,
            ejections_in_row: 0,
            ejected_until: None,
            rests_until: Timestamp::default(),
        }
    }

    /// Whether new work may go there.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.is_in_use() && !self.is_ejected(now) && !self.is_resting(now)
    }

    /// When its rest is over, if that is all that keeps it from new work.
    pub fn available_from(&self, now: Timestamp) -> Option<Timestamp> {
        let rests_alone = self.is_in_use() && !self.is_ejected(now) && self.is_resting(now);
        rests_alone.then_some(self.rests_until)
    }

    fn is_in_use(&self) -> bool {
        let leaving = self.leaving_by_platform || self.row.state == BackEndState::Leaving;
        !leaving && self.row.weight > 0
    }

    fn is_resting(&self, now: Timestamp) -> bool {
        now < self.rests_until
    }

    /// It has turned a request away and wants none for `rest`. Where wishes overlap, the later end counts.
    pub fn on_backoff(&mut self, now: Timestamp, rest: Millis) {
        self.rests_until = self.rests_until.max(now + rest);
    }

    /// Whether it is kept out of use after failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it may be tried with one request only, to see if it has recovered.
    pub fn is_on_probation(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Requests it is believed to have: the newest report plus this router's dispatches since.
    pub fn estimated_load(&self) -> u32 {
        let reported = self.report.running + self.report.waiting;
        (reported + self.recent_dispatches.len() as u32).max(self.in_flight)
    }

    /// Takes in a load report received at `now`. A report is also a sign of life, so it ends an
    /// ejection whose time has passed.
    pub fn on_report(&mut self, now: Timestamp, report: LoadReport) {
        let sampled_at = Timestamp(now.0.saturating_sub(report.age_ms));
        if sampled_at < self.reported_at {
            return;
        }
        self.report = report;
        self.reported_at = sampled_at;
        while self.recent_dispatches.front().is_some_and(|sent| *sent < sampled_at) {
            self.recent_dispatches.pop_front();
        }
        if self.is_on_probation(now) {
            self.ejected_until = None;
        }
    }

    /// Takes in what the platform's list says.
    pub fn on_platform(&mut self, leaving: bool) {
        self.leaving_by_platform = leaving;
    }

    /// Notes a request sent there.
    pub fn on_dispatch(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.recent_dispatches.push_back(now);
    }

    /// Notes the end of a request sent there.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.recent_dispatches.pop_back();
    }

    /// Notes an answer.
    pub fn on_success(&mut self) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
    }

    /// Notes a failure; ejects the back end after several in a row.
    pub fn on_failure(&mut self, now: Timestamp, policy: &PolicyRow) {
        self.failures_in_row += 1;
        let on_probation = self.is_on_probation(now);
        if on_probation || self.failures_in_row >= policy.eject_after_failures {
            let doublings = self.ejections_in_row.min(MAX_EJECT_DOUBLINGS);
            self.ejected_until = Some(now + Millis(policy.eject_ms << doublings));
            self.ejections_in_row += 1;
            self.failures_in_row = 0;
        }
    }
}
