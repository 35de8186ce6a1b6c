//! Which tenants' accounts a router holds alongside their owner, by the demand of its own callers.
//!
//! The load balancer sends most connections of a large tenant to one router at a time: 250 to 440
//! requests per second at one of 24. Borrowing for each of them takes a message in each direction
//! over a link that is saturated already, and half of the refusals for budget came from loans that
//! were not granted in time. Such a router keeps tokens of its own. A router that receives a tenant
//! seldom keeps none, because a budget that is split over many routers covers no request anywhere.

use stackpost_types::{Millis, TenantName, Timestamp};
use std::collections::BTreeMap;

/// Requests per second from which a router holds an account.
const BEGIN_RATE: f64 = 8.0;
/// Requests per second below which it no longer does.
const END_RATE: f64 = 4.0;
/// Time span of one bucket.
const BUCKET: Millis = Millis(500);
/// Buckets over which the rate is averaged: 3 s, longer than the 2 s after which the load balancer
/// moves a tenant away from a saturated router.
const BUCKETS: usize = 6;

/// A router begins or ceases to hold the account of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderChange {
    /// The tenant.
    pub tenant: TenantName,
    /// Whether the router holds the account from now on.
    pub holds: bool,
    /// The tenant's requests per second from the router's own callers.
    pub requests_per_second: f64,
}

/// One tenant's requests from the router's own callers.
#[derive(Clone, Debug, Default)]
struct OwnDemand {
    buckets: [u32; BUCKETS],
    /// Number of the newest bucket, counted from time zero.
    newest: u64,
    holds: bool,
}

impl OwnDemand {
    /// Empties the buckets of the time that has passed.
    fn advance(&mut self, now: Timestamp) {
        let bucket = now.0 / BUCKET.0;
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.buckets[((bucket - step) % BUCKETS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    fn record(&mut self) {
        let slot = (self.newest % BUCKETS as u64) as usize;
        self.buckets[slot] = self.buckets[slot].saturating_add(1);
    }

    fn requests_per_second(&self) -> f64 {
        let requests: u32 = self.buckets.iter().sum();
        f64::from(requests) * 1_000.0 / (BUCKET.0 * BUCKETS as u64) as f64
    }

    /// Applies the thresholds. Returns whether anything has changed.
    fn decide(&mut self) -> bool {
        let threshold = if self.holds { END_RATE } else { BEGIN_RATE };
        let holds = self.requests_per_second() >= threshold;
        std::mem::replace(&mut self.holds, holds) != holds
    }
}

/// The accounts that one router holds by demand.
#[derive(Clone, Debug, Default)]
pub struct AccountHolders {
    demands: BTreeMap<TenantName, OwnDemand>,
}

impl AccountHolders {
    /// Records a request of one of the router's own callers. Returns the change that follows.
    pub fn on_request(&mut self, now: Timestamp, tenant: &TenantName) -> Option<HolderChange> {
        let demand = self.demands.entry(tenant.clone()).or_default();
        demand.advance(now);
        demand.record();
        demand.decide().then(|| change(tenant, demand))
    }

    /// Whether the router holds the account of `tenant`.
    pub fn is_holder(&self, tenant: &TenantName) -> bool {
        self.demands.get(tenant).is_some_and(|demand| demand.holds)
    }

    /// Number of accounts held.
    pub fn held(&self) -> usize {
        self.demands.values().filter(|demand| demand.holds).count()
    }

    /// Ends the accounts whose demand has ceased, and removes tenants without requests. Returns the
    /// changes.
    pub fn expire(&mut self, now: Timestamp) -> Vec<HolderChange> {
        let mut changes = Vec::new();
        self.demands.retain(|tenant, demand| {
            demand.advance(now);
            changes.extend(demand.decide().then(|| change(tenant, demand)));
            demand.buckets.iter().any(|requests| *requests > 0)
        });
        changes
    }
}

fn change(tenant: &TenantName, demand: &OwnDemand) -> HolderChange {
    HolderChange {
        tenant: tenant.clone(),
        holds: demand.holds,
        requests_per_second: demand.requests_per_second(),
    }
}
