//! Which requests are let in while a service's engines state that they take less than is asked.
//!
//! Whoever comes first would get a permit otherwise, and what is less urgent mostly comes more often. So demand is counted by
//! urgency and tenant, and each second what can be had is dealt out anew: a floor for every urgency, so that none
//! starves, the rest to the more urgent first; within one urgency tenants share alike up to what they ask for. A request
//! is let in by its own lot with the share of its tenant, the others are refused before anything is done for them.
//!
//! What can be had is what this router got of late and a little more, so that it finds out when there is more, and
//! no less than what it owns.

use stackpost_types::{Millis, RequestRate, ServiceName, TenantName, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time between two deals.
const DEAL_INTERVAL: Millis = Millis(1_000);
/// Requests are shed for so long after one last found no permit.
const SHORT_FOR: Millis = Millis(2_000);
/// Part of what can be had that each urgency gets first, if it asks for as much.
const FLOOR: f64 = 0.1;
/// Weight of the last interval in demand and in what was had: a burst of one second does not rule alone.
const SMOOTHING: f64 = 0.5;
/// What may be had beyond what was had of late.
const HEADROOM: f64 = 1.15;
/// The same in requests a second, so that one who got nothing asks again.
const LEAST_HEADROOM: f64 = 0.5;
/// Pairs of urgency and tenant that are counted; further ones count as the last one.
const MOST_CLASSES: usize = 4_096;
/// Lots of requests lie below this.
const LOTS: u64 = 1 << 32;

/// Whose request it is, and how urgent; lower is more urgent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClass {
    /// Urgency; 0 is the highest.
    pub priority: u32,
    /// The tenant, if known.
    pub tenant: Option<TenantName>,
}

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassDemand {
    /// In this interval.
    arrived: u32,
    /// A second, of late.
    rate: f64,
    /// The share that is let in.
    share: f64,
}

/// One service's demand.
#[derive(Clone, Debug)]
struct ServiceDemand {
    classes: BTreeMap<RequestClass, ClassDemand>,
    /// Permits in this interval.
    got: u32,
    /// Permits a second, of late.
    got_rate: f64,
    /// Permits a second that can be had.
    capacity: f64,
    dealt_at: Timestamp,
    short_until: Timestamp,
    /// When the last of the callers who were told to return is due.
    last_return: Timestamp,
}

/// What one router sheds.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    services: HashMap<ServiceName, ServiceDemand>,
}

impl LoadShedder {
    /// A request arrives for a service of which every engine states a rate; this router owns `owned` of these. Returns
    /// whether to let it in. `lot` is any number that differs from request to request.
    pub fn admits(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: &RequestClass,
        owned: RequestRate,
        lot: u64,
    ) -> bool {
        let demand =
            self.services.entry(service.clone()).or_insert_with(|| ServiceDemand::new(now));
        demand.deal_if_due(now, owned);
        let share = demand.count(class);
        now >= demand.short_until || (lot % LOTS) as f64 <= share * LOTS as f64
    }

    /// A request of a service got a permit.
    pub fn on_permit(&mut self, service: &ServiceName) {
        if let Some(demand) = self.services.get_mut(service) {
            demand.got += 1;
        }
    }

    /// A request of a service found no permit.
    pub fn on_no_permit(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(demand) = self.services.get_mut(service) {
            demand.short_until = now + SHORT_FOR;
        }
    }

    /// When a caller who is refused now should return: no sooner than the first permit comes (`soonest`), behind those who
    /// were told before at the pace at which permits can be had, and no later than is of use to it (`latest`). Beyond
    /// that it returns at a moment of its own (`lot`) in the later half of that time.
    pub fn retry_delay(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        soonest: Millis,
        latest: Millis,
        lot: u64,
    ) -> Millis {
        let Some(demand) = self.services.get_mut(service) else {
            return soonest.min(latest);
        };
        let pace = Millis((1_000.0 / demand.capacity.max(LEAST_HEADROOM)) as u64);
        let due = (now + soonest).max(demand.last_return + pace);
        if due > now + latest {
            return Millis(latest.0 - lot % (latest.0 / 2).max(1)).max(soonest.min(latest));
        }
        demand.last_return = due;
        due.since(now)
    }

    /// Forgets services of which nobody has asked anything for a minute.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.services.retain(|_, demand| now.since(demand.dealt_at) < Millis(60_000));
    }
}

impl ServiceDemand {
    fn new(now: Timestamp) -> Self {
        Self {
            classes: BTreeMap::new(),
            got: 0,
            got_rate: 0.0,
            capacity: 0.0,
            dealt_at: now,
            short_until: Timestamp(0),
            last_return: Timestamp(0),
        }
    }

    /// Counts a request. Returns the share of its class.
    fn count(&mut self, class: &RequestClass) -> f64 {
        let is_full = self.classes.len() >= MOST_CLASSES && !self.classes.contains_key(class);
        let counted =
            if is_full { self.classes.last_key_value().map(|(last, _)| last) } else { None };
        let class = counted.cloned().unwrap_or_else(|| class.clone());
        let unknown = ClassDemand { share: 1.0, ..ClassDemand::default() };
        let demand = self.classes.entry(class).or_insert(unknown);
        demand.arrived += 1;
        demand.share
    }

    fn deal_if_due(&mut self, now: Timestamp, owned: RequestRate) {
        let passed = now.since(self.dealt_at);
        if passed < DEAL_INTERVAL {
            return;
        }
        self.dealt_at = now;
        let seconds = passed.0 as f64 / 1_000.0;
        let smooth = |before: f64, counted: u32| {
            let rate = f64::from(counted) / seconds;
            before + SMOOTHING * (rate - before)
        };
        self.got_rate = smooth(self.got_rate, std::mem::take(&mut self.got));
        for demand in self.classes.values_mut() {
            demand.rate = smooth(demand.rate, std::mem::take(&mut demand.arrived));
        }
        self.classes.retain(|_, demand| demand.rate > 0.01);
        let owned = owned.milli_rps() as f64 / 1_000.0;
        self.capacity = (self.got_rate * HEADROOM + LEAST_HEADROOM).max(owned);
        self.deal();
    }

    /// Deals out what can be had.
    fn deal(&mut self) {
        let mut asked: BTreeMap<u32, f64> = BTreeMap::new();
        for (class, demand) in &self.classes {
            *asked.entry(class.priority).or_default() += demand.rate;
        }
        let floor = |asked: f64| asked.min(FLOOR * self.capacity);
        let floors: f64 = asked.values().map(|asked| floor(*asked)).sum();
        let mut left = (self.capacity - floors).max(0.0);
        for (priority, asked) in asked {
            let beyond = (asked - floor(asked)).min(left);
            left -= beyond;
            let given = floor(asked) + beyond;
            let of_priority =
                self.classes.iter_mut().filter(|(class, _)| class.priority == priority);
            share_alike(of_priority.map(|(_, demand)| demand).collect(), given);
        }
    }
}

/// Gives each the same, but no more than it asks for (max-min fairness).
fn share_alike(mut demands: Vec<&mut ClassDemand>, mut given: f64) {
    demands.sort_by(|left, right| left.rate.total_cmp(&right.rate));
    let mut waiting = demands.len();
    for demand in demands {
        let part = (given / waiting as f64).min(demand.rate);
        given -= part;
        waiting -= 1;
        demand.share = if demand.rate > 0.0 { part / demand.rate } else { 1.0 };
    }
}
