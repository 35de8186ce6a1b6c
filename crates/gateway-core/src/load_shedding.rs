//! Which requests are admitted while demand for a service exceeds the rates that its engines state.
//!
//! Without this, permits would go to whichever request arrives first, and less urgent requests
//! mostly arrive more often. So demand is counted by priority and tenant, and each second the
//! capacity is allocated anew: a minimum for every priority, so that none starves, and the
//! remainder to the higher priorities first; within one priority tenants get equal shares up to
//! their demand. Each class has a probability with which its requests are admitted, decided by
//! the hash of the request; the others are refused before any work is done for them.
//!
//! The capacity is the rate of permits this router got recently plus some headroom, so that it
//! discovers when more is available, and at least the rate it owns.

use crate::class_demand::{ClassDemands, RequestClass};
use stackpost_types::{Millis, RequestRate, ServiceName, Timestamp};
use std::collections::HashMap;

/// Time between two allocations.
const ALLOCATION_INTERVAL: Millis = Millis(1_000);
/// Time for which requests are shed after one found no permit.
const SHEDDING_TIME: Millis = Millis(2_000);
/// Weight of the last interval in the smoothed demand and permit rate, so that a burst of one
/// second does not dominate.
const SMOOTHING: f64 = 0.5;
/// Factor by which the capacity exceeds the recent permit rate.
const CAPACITY_HEADROOM: f64 = 1.15;
/// Additional capacity in requests per second, so that a router without any permits still tries.
const MIN_HEADROOM_RPS: f64 = 0.5;

/// Demand for one service.
#[derive(Clone, Debug)]
struct ServiceDemand {
    classes: ClassDemands,
    /// Permits in this interval.
    permits: u32,
    /// Smoothed permits per second.
    permit_rate: f64,
    /// Permits per second that can be expected.
    capacity: f64,
    allocated_at: Timestamp,
    shedding_until: Timestamp,
    /// When the last of the refused callers is due to retry.
    last_retry_at: Timestamp,
}

/// Sheds one router's load.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    services: HashMap<ServiceName, ServiceDemand>,
}

impl LoadShedder {
    /// Whether to admit a request for a service of which every engine states a rate; `owned` is the
    /// sum of the rates that this router owns. `request_hash` is a number that differs from request
    /// to request.
    pub fn admits(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: &RequestClass,
        owned: RequestRate,
        request_hash: u64,
    ) -> bool {
        let demand =
            self.services.entry(service.clone()).or_insert_with(|| ServiceDemand::new(now));
        demand.allocate_if_due(now, owned);
        let fits = demand.classes.count(class, request_hash).admits_by_hash(request_hash);
        now >= demand.shedding_until || fits
    }

    /// Records that a request of a service got a permit.
    pub fn on_permit(&mut self, service: &ServiceName) {
        if let Some(demand) = self.services.get_mut(service) {
            demand.permits += 1;
        }
    }

    /// Records that a request of a service found no permit.
    pub fn on_no_permit(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(demand) = self.services.get_mut(service) {
            demand.shedding_until = now + SHEDDING_TIME;
        }
    }

    /// The time after which a caller who is refused now should retry: not before the first permit
    /// is available (`soonest`), after the callers that were refused before, at the rate of the
    /// permits, and no later than is useful to the caller (`latest`). If that is exceeded, the
    /// caller retries at a time in the second half of `latest` that depends on `request_hash`.
    pub fn retry_delay(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        soonest: Millis,
        latest: Millis,
        request_hash: u64,
    ) -> Millis {
        let Some(demand) = self.services.get_mut(service) else {
            return soonest.min(latest);
        };
        let permit_interval = Millis((1_000.0 / demand.capacity.max(MIN_HEADROOM_RPS)) as u64);
        let retry_at = (now + soonest).max(demand.last_retry_at + permit_interval);
        if retry_at > now + latest {
            return Millis(latest.0 - request_hash % (latest.0 / 2).max(1))
                .max(soonest.min(latest));
        }
        demand.last_retry_at = retry_at;
        retry_at.since(now)
    }

    /// Removes services without requests for a minute.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.services.retain(|_, demand| now.since(demand.allocated_at) < Millis(60_000));
    }
}

impl ServiceDemand {
    fn new(now: Timestamp) -> Self {
        Self {
            classes: ClassDemands::default(),
            permits: 0,
            permit_rate: 0.0,
            capacity: 0.0,
            allocated_at: now,
            shedding_until: Timestamp(0),
            last_retry_at: Timestamp(0),
        }
    }

    fn allocate_if_due(&mut self, now: Timestamp, owned: RequestRate) {
        let elapsed = now.since(self.allocated_at);
        if elapsed < ALLOCATION_INTERVAL {
            return;
        }
        self.allocated_at = now;
        let seconds = elapsed.0 as f64 / 1_000.0;
        let permit_rate = f64::from(std::mem::take(&mut self.permits)) / seconds;
        self.permit_rate += SMOOTHING * (permit_rate - self.permit_rate);
        self.classes.end_interval(seconds, SMOOTHING);
        let owned = owned.milli_rps() as f64 / 1_000.0;
        self.capacity = (self.permit_rate * CAPACITY_HEADROOM + MIN_HEADROOM_RPS).max(owned);
        self.classes.allocate(self.capacity);
    }
}
