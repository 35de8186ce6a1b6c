//! How many requests may be sent to a further engine.
//!
//! The bound holds for the whole fleet in every window of a given length: further sends are at
//! most a share of the requests plus a fixed number. Each router keeps to the share of its own
//! requests and to its part of the fixed number, so that the sum over all routers keeps the bound
//! without a message between them.

use stackpost_types::{Millis, ServiceName, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Part of what is allowed that is used, in thousandths; the rest covers routers that restart,
/// whose earlier sends nobody remembers.
const USED_PERMILLE: u64 = 700;

/// The fleet's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Further sends allowed for each request, in thousandths.
    pub permille: u64,
    /// Further sends allowed besides.
    pub extra: u64,
    /// Length of the window.
    pub window: Millis,
}

#[derive(Clone, Debug, Default)]
struct History {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

/// One router's part of the bound, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    routers: u64,
    by_service: HashMap<ServiceName, History>,
}

impl RetryBudget {
    /// A budget for one of `routers` routers.
    pub fn new(limits: RetryLimits, routers: u64) -> Self {
        Self { limits, routers: routers.max(1), by_service: HashMap::new() }
    }

    /// Takes in how many routers there are. The number never falls: one that is out of sight may
    /// still be sending.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = self.routers.max(routers);
    }

    /// Notes a request for a service.
    pub fn note_request(&mut self, now: Timestamp, service: &ServiceName) {
        let window = self.limits.window;
        let history = self.by_service.entry(service.clone()).or_default();
        history.requests.push_back(now);
        forget_before(&mut history.requests, now, window);
    }

    /// Whether a request may be sent to a further engine now; counts it if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let window = self.limits.window;
        let history = self.by_service.entry(service.clone()).or_default();
        forget_before(&mut history.requests, now, window);
        forget_before(&mut history.repeats, now, window);
        let by_share = history.requests.len() as u64 * self.limits.permille;
        let fixed = self.limits.extra * 1_000 / self.routers;
        let allowed = (by_share + fixed) * USED_PERMILLE / 1_000;
        if (history.repeats.len() as u64 + 1) * 1_000 > allowed {
            return false;
        }
        history.repeats.push_back(now);
        true
    }
}

fn forget_before(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Millis) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
