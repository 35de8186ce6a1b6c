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

use stackpost_types::{Millis, RequestRate, ServiceName, TenantName, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time between two allocations.
const ALLOCATION_INTERVAL: Millis = Millis(1_000);
/// Time for which requests are shed after one found no permit.
const SHEDDING_TIME: Millis = Millis(2_000);
/// Part of the capacity that each priority gets first, if its demand is as high.
const MIN_PRIORITY_SHARE: f64 = 0.1;
/// Weight of the last interval in the smoothed demand and permit rate, so that a burst of one
/// second does not dominate.
const SMOOTHING: f64 = 0.5;
/// Factor by which the capacity exceeds the recent permit rate.
const CAPACITY_HEADROOM: f64 = 1.15;
/// Additional capacity in requests per second, so that a router without any permits still tries.
const MIN_HEADROOM_RPS: f64 = 0.5;
/// Maximum number of classes that are counted; further ones count as the last one.
const MAX_CLASSES: usize = 4_096;
/// Request hashes are reduced modulo this number.
const HASH_RANGE: u64 = 1 << 32;

/// Priority and tenant of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClass {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The tenant, if known.
    pub tenant: Option<TenantName>,
}

/// Demand of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassDemand {
    /// Requests in this interval.
    arrived: u32,
    /// Smoothed requests per second.
    rate: f64,
    admission_probability: f64,
}

/// Demand for one service.
#[derive(Clone, Debug)]
struct ServiceDemand {
    classes: BTreeMap<RequestClass, ClassDemand>,
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
        let admission_probability = demand.count(class);
        now >= demand.shedding_until
            || (request_hash % HASH_RANGE) as f64 <= admission_probability * HASH_RANGE as f64
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
            classes: BTreeMap::new(),
            permits: 0,
            permit_rate: 0.0,
            capacity: 0.0,
            allocated_at: now,
            shedding_until: Timestamp(0),
            last_retry_at: Timestamp(0),
        }
    }

    /// Counts a request. Returns the admission probability of its class.
    fn count(&mut self, class: &RequestClass) -> f64 {
        let is_full = self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class);
        let counted =
            if is_full { self.classes.last_key_value().map(|(last, _)| last) } else { None };
        let class = counted.cloned().unwrap_or_else(|| class.clone());
        let initial = ClassDemand { admission_probability: 1.0, ..ClassDemand::default() };
        let demand = self.classes.entry(class).or_insert(initial);
        demand.arrived += 1;
        demand.admission_probability
    }

    fn allocate_if_due(&mut self, now: Timestamp, owned: RequestRate) {
        let elapsed = now.since(self.allocated_at);
        if elapsed < ALLOCATION_INTERVAL {
            return;
        }
        self.allocated_at = now;
        let seconds = elapsed.0 as f64 / 1_000.0;
        let smooth = |before: f64, counted: u32| {
            let rate = f64::from(counted) / seconds;
            before + SMOOTHING * (rate - before)
        };
        self.permit_rate = smooth(self.permit_rate, std::mem::take(&mut self.permits));
        for demand in self.classes.values_mut() {
            demand.rate = smooth(demand.rate, std::mem::take(&mut demand.arrived));
        }
        self.classes.retain(|_, demand| demand.rate > 0.01);
        let owned = owned.milli_rps() as f64 / 1_000.0;
        self.capacity = (self.permit_rate * CAPACITY_HEADROOM + MIN_HEADROOM_RPS).max(owned);
        self.allocate();
    }

    /// Allocates the capacity to the classes.
    fn allocate(&mut self) {
        let mut demanded: BTreeMap<u32, f64> = BTreeMap::new();
        for (class, demand) in &self.classes {
            *demanded.entry(class.priority).or_default() += demand.rate;
        }
        let floor = |demanded: f64| demanded.min(MIN_PRIORITY_SHARE * self.capacity);
        let floors: f64 = demanded.values().map(|demanded| floor(*demanded)).sum();
        let mut remaining = (self.capacity - floors).max(0.0);
        for (priority, demanded) in demanded {
            let extra = (demanded - floor(demanded)).min(remaining);
            remaining -= extra;
            let granted = floor(demanded) + extra;
            let same_priority =
                self.classes.iter_mut().filter(|(class, _)| class.priority == priority);
            allocate_max_min(same_priority.map(|(_, demand)| demand).collect(), granted);
        }
    }
}

/// Allocates the same to each class, but at most its demand (max-min fairness).
fn allocate_max_min(mut demands: Vec<&mut ClassDemand>, mut granted: f64) {
    demands.sort_by(|left, right| left.rate.total_cmp(&right.rate));
    let mut unserved = demands.len();
    for demand in demands {
        let portion = (granted / unserved as f64).min(demand.rate);
        granted -= portion;
        unserved -= 1;
        demand.admission_probability = if demand.rate > 0.0 { portion / demand.rate } else { 1.0 };
    }
}
