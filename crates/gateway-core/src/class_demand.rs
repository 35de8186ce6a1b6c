//! Demand for a service by priority and tenant, and how a capacity is divided among it.
//!
//! A minimum is granted to every priority, so that none starves, and the remainder to the higher
//! priorities first; within one priority tenants get equal shares up to their demand. Each class
//! has a probability with which its requests are admitted.

use stackpost_types::TenantName;
use std::collections::BTreeMap;

/// Part of the capacity that each priority gets first, if its demand is as high.
const MIN_PRIORITY_SHARE: f64 = 0.1;
/// Maximum number of classes that are counted; further ones count as the last one.
const MAX_CLASSES: usize = 4_096;
/// Factor by which the admission probability is raised where the rate is limited by other means.
const PACED_MARGIN: f64 = 1.25;
/// Admission probability from which a class counts as admitted completely: it is a quotient of
/// sums, which are not exact. An urgent request in a hundred was refused without it.
const COMPLETE_PROBABILITY: f64 = 0.999;
/// Demand in requests per second below which a class is removed.
const MIN_RATE_RPS: f64 = 0.01;

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
pub(crate) struct ClassDemand {
    /// Requests in this interval.
    arrived: u32,
    /// Smoothed requests per second.
    rate: f64,
    /// Probability with which a request is admitted.
    pub admission_probability: f64,
    /// Whether its priority is granted its minimum only.
    pub has_floor_only: bool,
    /// Sum of the probabilities of past requests, less the number of those admitted.
    credit: f64,
}

impl ClassDemand {
    /// Whether all requests of the class are admitted.
    pub fn is_admitted_completely(&self) -> bool {
        self.admission_probability >= COMPLETE_PROBABILITY
    }

    /// Decides about a request by its hash.
    pub fn admits_by_hash(&self, request_hash: u64) -> bool {
        (request_hash % HASH_RANGE) as f64 <= self.admission_probability * HASH_RANGE as f64
    }

    /// Decides about the next request so that the share of those admitted equals the probability
    /// with the least variation: independent draws would add the noise of a coin to that of the
    /// arrivals.
    pub fn admits_next(&mut self, is_paced: bool) -> bool {
        let margin = if is_paced { PACED_MARGIN } else { 1.0 };
        self.credit += (self.admission_probability * margin).min(1.0);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}

/// Demand for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassDemands {
    classes: BTreeMap<RequestClass, ClassDemand>,
}

impl ClassDemands {
    /// Counts a request. `request_hash` differs from request to request; it sets the phase in which
    /// the requests of a new class are admitted, so that routers do not admit in step.
    pub fn count(&mut self, class: &RequestClass, request_hash: u64) -> &mut ClassDemand {
        let is_full = self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class);
        let counted =
            if is_full { self.classes.last_key_value().map(|(last, _)| last) } else { None };
        let class = counted.cloned().unwrap_or_else(|| class.clone());
        let phase = request_hash as f64 / u64::MAX as f64;
        let initial =
            ClassDemand { admission_probability: 1.0, credit: phase, ..ClassDemand::default() };
        let demand = self.classes.entry(class).or_insert(initial);
        demand.arrived += 1;
        demand
    }

    /// Whether all requests of a class are admitted.
    pub fn admits_completely(&self, class: &RequestClass) -> bool {
        self.classes.get(class).is_none_or(ClassDemand::is_admitted_completely)
    }

    /// Ends an interval of `seconds`, which has the weight `weight` in the smoothed rates.
    pub fn end_interval(&mut self, seconds: f64, weight: f64) {
        for demand in self.classes.values_mut() {
            let rate = f64::from(std::mem::take(&mut demand.arrived)) / seconds;
            demand.rate += weight * (rate - demand.rate);
        }
        self.classes.retain(|_, demand| demand.rate > MIN_RATE_RPS);
    }

    /// Requests per second of all classes.
    pub fn total_rate(&self) -> f64 {
        self.classes.values().map(|demand| demand.rate).sum()
    }

    /// Requests per second of a priority that are admitted.
    pub fn admitted_rate(&self, priority: u32) -> f64 {
        let same_priority = self.classes.iter().filter(|(class, _)| class.priority == priority);
        same_priority.map(|(_, demand)| demand.rate * demand.admission_probability).sum()
    }

    /// Allocates a capacity, in requests per second, to the classes.
    pub fn allocate(&mut self, capacity: f64) {
        let mut demanded: BTreeMap<u32, f64> = BTreeMap::new();
        for (class, demand) in &self.classes {
            *demanded.entry(class.priority).or_default() += demand.rate;
        }
        let floor = |demanded: f64| demanded.min(MIN_PRIORITY_SHARE * capacity);
        let floors: f64 = demanded.values().map(|demanded| floor(*demanded)).sum();
        let mut remaining = (capacity - floors).max(0.0);
        for (priority, demanded) in demanded {
            let extra = (demanded - floor(demanded)).min(remaining);
            remaining -= extra;
            let granted = floor(demanded) + extra;
            let same_priority =
                self.classes.iter_mut().filter(|(class, _)| class.priority == priority);
            let mut same_priority: Vec<_> = same_priority.map(|(_, demand)| demand).collect();
            same_priority.iter_mut().for_each(|demand| demand.has_floor_only = extra <= 0.0);
            allocate_max_min(same_priority, granted);
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
