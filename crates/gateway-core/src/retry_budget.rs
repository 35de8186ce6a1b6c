//! How many requests may be retried at a further engine.
//!
//! The limit holds for the whole fleet in every window of a given length: retries are at most a
//! share of the requests plus a fixed number. Each router limits itself to the share of its own
//! requests and to its part of the fixed number, so that the sum over all routers keeps the limit
//! without messages between them.

use stackpost_types::{Millis, ServiceName, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Part of the limit that is used, in thousandths; the rest covers restarted routers, whose earlier
/// retries are not remembered.
const USED_PERMILLE: u64 = 700;

/// The limit for the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request, in thousandths.
    pub permille: u64,
    /// Retries allowed in addition.
    pub extra: u64,
    /// Length of the window.
    pub window: Millis,
}

#[derive(Clone, Debug, Default)]
struct History {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// One router's part of the limit, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    routers: u64,
    by_service: HashMap<ServiceName, History>,
}

impl RetryBudget {
    /// Creates the budget of one of `routers` routers.
    pub fn new(limits: RetryLimits, routers: u64) -> Self {
        Self { limits, routers: routers.max(1), by_service: HashMap::new() }
    }

    /// Raises the number of routers. It is never lowered: a router that is not connected may still
    /// be sending.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = self.routers.max(routers);
    }

    /// Records a request for a service.
    pub fn note_request(&mut self, now: Timestamp, service: &ServiceName) {
        let window = self.limits.window;
        let history = self.by_service.entry(service.clone()).or_default();
        history.requests.push_back(now);
        drop_older(&mut history.requests, now, window);
    }

    /// Whether a request may be retried now; counts the retry if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let window = self.limits.window;
        let history = self.by_service.entry(service.clone()).or_default();
        drop_older(&mut history.requests, now, window);
        drop_older(&mut history.retries, now, window);
        let proportional = history.requests.len() as u64 * self.limits.permille;
        let fixed = self.limits.extra * 1_000 / self.routers;
        let allowed = (proportional + fixed) * USED_PERMILLE / 1_000;
        if (history.retries.len() as u64 + 1) * 1_000 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

fn drop_older(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Millis) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
