//! The load of an engine with requests that are not generations.
//!
//! Built for load that is concentrated on few routers of one zone: a router sees only a small part
//! of the requests at an engine, so each router reports the mean number of its requests in flight
//! there. Together with the engine's slots and its work time, which is learned from response times
//! while no queue is expected, the expected wait follows.

use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Time for which a report of another router is valid; as for generations.
const REPORT_TTL: Millis = Millis(4_000);
/// Factor by which the work time moves towards each response time: a running median, which a
/// response that waited in a queue unexpectedly distorts little.
const WORK_STEP: f64 = 1.05;
/// Bounds of the learned work time, in milliseconds.
const WORK_BOUNDS_MS: (f64, f64) = (0.5, 60_000.0);
/// Expected wait, as a share of the work time, up to which a response time counts as work time.
const QUIET_WAIT_SHARE: f64 = 0.15;
/// Decay time of the wait of the last answered request, in milliseconds.
const OBSERVED_DECAY_MS: f64 = 500.0;
/// Maximum number of routers whose reports about one engine are kept: three times the largest
/// fleet. Any host may send a datagram.
const MAX_REPORTERS: usize = 1_024;
/// Standard deviations beyond which the variation of the number in flight does not matter.
const NEGLIGIBLE_DEVIATIONS: f64 = 8.0;
/// Mean number in flight above which its variation is negligible: 5% of it at most.
const MAX_VARYING_MEAN: f64 = 500.0;
/// Largest number of requests in flight that a report is taken for.
const MAX_REPORTED_IN_FLIGHT: f64 = 10_000.0;

/// A router's report about its requests at one engine that are not generations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainLoadReport {
    /// Mean number in flight since the router's previous report. A mean, since the number at one
    /// moment is mostly zero while many routers send few requests each.
    pub in_flight: f32,
}

#[derive(Clone, Debug)]
struct PeerReport {
    in_flight: f64,
    zone: ZoneName,
    at: Timestamp,
}

/// The load of one engine with plain requests, as far as one router knows it.
#[derive(Clone, Debug, Default)]
pub struct PlainLoad {
    /// When the own requests in flight were sent, oldest first.
    own_sent: VecDeque<Timestamp>,
    /// Wait of the own request that was answered last, in milliseconds, and when it was.
    observed_wait_ms: f64,
    observed_at: Timestamp,
    /// Integral of the own requests in flight over time since the last report, in milliseconds.
    own_busy_ms: f64,
    own_changed_at: Timestamp,
    reported_at: Timestamp,
    /// Own mean in the last report.
    own_mean: f64,
    peers: HashMap<u64, PeerReport>,
    /// Sums of the valid reports of other routers by their zone.
    peers_by_zone: BTreeMap<ZoneName, f64>,
    work_ms: Option<f64>,
}

impl PlainLoad {
    /// Records that this router sent a request there.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.accumulate(now);
        self.own_sent.push_back(now);
    }

    /// Records that a request of this router has ended: the oldest one, since engines work on
    /// requests in order.
    pub fn on_end(&mut self, now: Timestamp) {
        self.accumulate(now);
        self.own_sent.pop_front();
    }

    /// Records the response time of a request that ends now, and learns the work time from it.
    /// While a queue is expected, only a first sample is taken, less the queue's share.
    pub fn on_response(&mut self, now: Timestamp, slots: u32, response_ms: f64) {
        self.observed_wait_ms = self.work_ms.map_or(0.0, |work_ms| response_ms - work_ms).max(0.0);
        self.observed_at = now;
        let wait_share = self.expected_queue(slots) / f64::from(slots.max(1));
        let learned = match self.work_ms {
            None => response_ms / (1.0 + wait_share),
            Some(_) if wait_share > QUIET_WAIT_SHARE => return,
            Some(known) if response_ms > known => (known * WORK_STEP).min(response_ms),
            Some(known) => (known / WORK_STEP).max(response_ms),
        };
        self.work_ms = Some(learned.clamp(WORK_BOUNDS_MS.0, WORK_BOUNDS_MS.1));
    }

    /// This router's report; `None` if neither this nor the previous one has any request. What it
    /// contains counts as reported.
    pub fn take_report(&mut self, now: Timestamp) -> Option<PlainLoadReport> {
        self.accumulate(now);
        let interval_ms = now.since(self.reported_at).0 as f64;
        let is_due = self.own_mean > 0.0 || self.own_busy_ms > 0.0 || !self.own_sent.is_empty();
        let mean = if interval_ms > 0.0 { self.own_busy_ms / interval_ms } else { self.own_mean };
        self.own_busy_ms = 0.0;
        self.reported_at = now;
        self.own_mean = mean;
        is_due.then_some(PlainLoadReport { in_flight: mean as f32 })
    }

    /// Merges the report of another router, which is in `zone`.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        router: u64,
        zone: &ZoneName,
        report: PlainLoadReport,
    ) {
        if !self.peers.contains_key(&router) && self.peers.len() >= MAX_REPORTERS {
            return;
        }
        let in_flight = f64::from(report.in_flight);
        if !(0.0..=MAX_REPORTED_IN_FLIGHT).contains(&in_flight) {
            return;
        }
        let report = PeerReport { in_flight, zone: zone.clone(), at: now };
        if let Some(previous) = self.peers.insert(router, report)
            && let Some(sum) = self.peers_by_zone.get_mut(&previous.zone)
        {
            *sum = (*sum - previous.in_flight).max(0.0);
        }
        *self.peers_by_zone.entry(zone.clone()).or_default() += in_flight;
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.peers.retain(|_, report| now.since(report.at) < REPORT_TTL);
        self.peers_by_zone.clear();
        for report in self.peers.values() {
            *self.peers_by_zone.entry(report.zone.clone()).or_default() += report.in_flight;
        }
    }

    /// Whether a report of another router is known.
    pub fn has_reports(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Mean requests in flight there of the routers of each zone, with this router in `own_zone`.
    pub fn in_flight_by_zone(&self, own_zone: &ZoneName) -> BTreeMap<ZoneName, f64> {
        let mut by_zone = self.peers_by_zone.clone();
        *by_zone.entry(own_zone.clone()).or_default() += self.own_mean;
        by_zone
    }

    /// The learned work time, in milliseconds: response time without a queue.
    pub fn work_ms(&self) -> Option<f64> {
        self.work_ms
    }

    /// Expected number of requests that a further one waits for, with `slots` served at a time.
    pub fn expected_queue(&self, slots: u32) -> f64 {
        let others = self.reported_in_flight();
        let free = f64::from(slots.max(1)) - 1.0 - self.own_sent.len() as f64;
        mean_excess(others, free)
    }

    /// Wait that this router's own requests show, in milliseconds: of the oldest one in flight so
    /// far, and of the last one answered, with decay.
    pub fn observed_wait_ms(&self, now: Timestamp, work_ms: f64) -> f64 {
        let oldest = self.own_sent.front();
        let overdue = oldest.map_or(0.0, |sent| now.since(*sent).0 as f64 - work_ms);
        let age_ms = now.since(self.observed_at).0 as f64;
        overdue.max(self.observed_wait_ms * (-age_ms / OBSERVED_DECAY_MS).exp())
    }

    /// Mean requests of other routers in flight, by their reports.
    pub fn reported_in_flight(&self) -> f64 {
        self.peers_by_zone.values().sum()
    }

    /// Own requests in flight.
    pub fn own_in_flight(&self) -> usize {
        self.own_sent.len()
    }

    /// Expected wait of a further request by the reports of all routers, in milliseconds.
    pub fn expected_wait_ms(&self, slots: u32, work_ms: f64) -> f64 {
        self.expected_queue(slots) * work_ms / f64::from(slots.max(1))
    }

    fn accumulate(&mut self, now: Timestamp) {
        let elapsed_ms = now.since(self.own_changed_at).0 as f64;
        self.own_busy_ms += self.own_sent.len() as f64 * elapsed_ms;
        self.own_changed_at = now;
    }
}

/// Mean of `max(0, n - free)` for a Poisson variable `n` of the given mean: the number in flight
/// varies like that around the reported mean, since callers arrive independently.
fn mean_excess(mean: f64, free: f64) -> f64 {
    let certain = mean - free;
    let deviation = mean.sqrt();
    if certain.abs() > NEGLIGIBLE_DEVIATIONS * (deviation + 1.0) || mean > MAX_VARYING_MEAN {
        return certain.max(0.0);
    }
    let mut probability = (-mean).exp();
    let mut excess = certain;
    let mut count = 0.0;
    while count < free {
        excess += (free - count) * probability;
        count += 1.0;
        probability *= mean / count;
    }
    excess.max(0.0)
}
