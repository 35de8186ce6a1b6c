//! Which requests a router admits while a service is short of capacity.
//!
//! The load that this handles: callers at all routers send more requests than the engines of a
//! service can serve. Without an order, every request has the same chance, and an urgent one that
//! two engines reject is lost. So each router admits what its share of the capacity allows: by
//! priority with a minimum for each, then by fair shares among tenants ([`ClassDemands`]), first
//! attempts before second ones at another engine. All others are refused at once.
//!
//! A service is short of capacity for some time after an engine rejected a request of this router
//! for lack of capacity, responded late because of its queue, or no permit was available. The
//! capacity is learned from these outcomes ([`CapacityEstimate`]), or stated by the engines.
//! Routers do not exchange anything: those that admit too much are rejected more often. A service
//! of which less than half of the slots are known to be in use is never shed, so that one faulty
//! engine does not cause refusals.
//!
//! No request waits at the router: a queue of up to an eighth of the objective served callers no
//! better, since the engines' own queues are as long.

use crate::capacity_estimate::{CapacityEstimate, CapacityOutcome};
use crate::class_demand::{ClassDemands, RequestClass};
use crate::pace::Pace;
use crate::work_time::{QueueDelay, ResponseTiming, WorkTimes};
use stackpost_types::{Millis, RequestRate, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time between two allocations.
const ALLOCATION_INTERVAL: Millis = Millis(250);
/// Time for which a service counts as short of capacity after the last sign of it.
const SHORTAGE_TIME: Millis = Millis(2_000);
/// Time without requests after which a service is removed.
const IDLE_TIME: Millis = Millis(60_000);
/// Requests of classes that are not admitted completely which are held back after a rejection: the
/// engines are full at that moment.
const REJECTION_COST: f64 = 1.0;
/// Time for which a rejection shows that all slots of the engine are in use. At one rejection in
/// 25 attempts and 13 attempts per second, an engine rejects one of this router every two seconds.
const REJECTION_EVIDENCE_TIME: Millis = Millis(4_000);
/// Part of a priority's rate at which its refused callers are asked to return while first attempts
/// of that priority are refused.
const RETRY_SHARE: f64 = 0.1;
/// Lowest rate, in requests per second, at which refused callers are asked to return.
const MIN_RETRY_RPS: f64 = 0.5;

/// Slots of the engines of a service that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUse {
    /// All slots.
    pub slots: u64,
    /// Those known to be in use.
    pub in_use: u64,
}

impl SlotUse {
    /// Adds an engine with `slots` slots: all of them are known to be in use if it rejected a
    /// request recently (`rejected_at`), otherwise those of the requests that are known to be there
    /// (`in_flight`). A lack of permits does not count: a router owns only some of the slots.
    pub fn add(
        &mut self,
        now: Timestamp,
        slots: u32,
        in_flight: u64,
        rejected_at: Option<Timestamp>,
    ) {
        let slots = u64::from(slots);
        let is_full = rejected_at.is_some_and(|at| now.since(at) < REJECTION_EVIDENCE_TIME);
        self.slots += slots;
        self.in_use += if is_full { slots } else { in_flight.min(slots) };
    }
}

/// What is known of the capacity of a service besides the outcomes of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownCapacity {
    /// Every engine states a rate; the sum of those that this router owns.
    Stated(RequestRate),
    /// At least one engine states no rate.
    Slots(SlotUse),
}

/// A router has begun or stopped refusing requests for a service, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct ShortageChange {
    /// Whether it has begun.
    pub begins: bool,
    /// This router's share of the capacity, in requests per second.
    pub capacity: f64,
    /// Requests per second that arrive here.
    pub demand: f64,
    /// Responses of engines per second.
    pub response_rate: f64,
    /// Share of attempts that engines rejected.
    pub rejected_share: f64,
    /// Share of responses that were late because of queues.
    pub late_share: f64,
    /// What is known of the capacity otherwise.
    pub known: KnownCapacity,
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Whether the request is admitted.
    pub is_admitted: bool,
    /// Set if this router has begun or stopped refusing requests for the service.
    pub change: Option<ShortageChange>,
}

/// Orders one router's requests.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOrder {
    services: HashMap<ServiceName, ServiceOrder>,
}

#[derive(Clone, Debug)]
struct ServiceOrder {
    demands: ClassDemands,
    estimate: CapacityEstimate,
    work_times: WorkTimes,
    allocated_at: Timestamp,
    short_until: Timestamp,
    is_refusing: bool,
    /// Requests that may be sent at once.
    pace: Pace,
    /// When the last of the refused callers is due to retry, in milliseconds, by priority.
    last_retry_ms: BTreeMap<u32, f64>,
}

impl AdmissionOrder {
    /// Decides whether to admit the first attempt of a request. `request_hash` differs from request
    /// to request.
    pub fn decide(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: &RequestClass,
        known: KnownCapacity,
        request_hash: u64,
    ) -> AdmissionDecision {
        let order = self.services.entry(service.clone()).or_insert_with(|| ServiceOrder::new(now));
        order.allocate_if_due(now, known);
        let is_limited = now < order.short_until && known.allows_refusals();
        let fits = order.fits(now, class, known, request_hash);
        AdmissionDecision {
            is_admitted: fits || !is_limited,
            change: order.note_refusing(now, is_limited && !fits, known),
        }
    }

    /// Whether a request that an engine rejected may be sent to another one: first attempts of its
    /// class must not be refused meanwhile.
    pub fn admits_retry(
        &self,
        now: Timestamp,
        service: &ServiceName,
        class: &RequestClass,
    ) -> bool {
        self.services.get(service).is_none_or(|order| {
            let is_refusing = order.is_refusing && now < order.short_until;
            !is_refusing || order.demands.admits_completely(class)
        })
    }

    /// Whether a service is short of capacity.
    pub fn is_short(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|order| now < order.short_until)
    }

    /// Number of services for which requests are refused, and the requests per second that are
    /// admitted for them.
    pub fn refusing(&self, now: Timestamp) -> (usize, f64) {
        let is_refusing = |order: &&ServiceOrder| order.is_refusing && now < order.short_until;
        let refusing = self.services.values().filter(is_refusing);
        let add = |(count, rate): (usize, f64), order: &ServiceOrder| {
            (count + 1, rate + order.estimate.capacity())
        };
        refusing.fold((0, 0.0), add)
    }

    /// Records that a request got a permit, or needed none.
    pub fn on_permit(&mut self, service: &ServiceName) {
        if let Some(order) = self.services.get_mut(service) {
            order.estimate.on_outcome(CapacityOutcome::Permitted);
        }
    }

    /// Records that a request found no permit.
    pub fn on_no_permit(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(order) = self.services.get_mut(service) {
            order.short_until = now + SHORTAGE_TIME;
        }
    }

    /// Records that an engine rejected a request for lack of capacity.
    pub fn on_rejected(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(order) = self.services.get_mut(service) {
            order.estimate.on_outcome(CapacityOutcome::Rejected);
            order.pace.take(REJECTION_COST);
            order.short_until = now + SHORTAGE_TIME;
        }
    }

    /// Records the response of an engine.
    pub fn on_response(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        response: &ResponseTiming<'_>,
    ) {
        let Some(order) = self.services.get_mut(service) else {
            return;
        };
        // Once short of capacity, queues are kept well below the objective: if only late responses
        // counted, the queue would grow back to it and half of all responses would be late.
        let is_delayed = match order.work_times.delay(now, response) {
            QueueDelay::InTime => false,
            QueueDelay::NearlyLate => now < order.short_until,
            QueueDelay::Late => true,
        };
        if is_delayed {
            order.short_until = now + SHORTAGE_TIME;
            order.estimate.on_outcome(CapacityOutcome::Late);
        } else {
            order.estimate.on_outcome(CapacityOutcome::Responded);
        }
    }

    /// The time after which a caller who is refused now should retry: not before `soonest`, after
    /// the callers of the same priority that were refused before, and no later than is useful to
    /// the caller (`latest`). Callers return at the rate at which their priority is served; while
    /// it is not served completely, at a tenth of that rate, since first attempts go before
    /// retries. If `latest` is exceeded, the caller retries at a time in the second half of
    /// `latest` that depends on `request_hash`.
    pub fn retry_delay(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: &RequestClass,
        (soonest, latest): (Millis, Millis),
        request_hash: u64,
    ) -> Millis {
        let Some(order) = self.services.get_mut(service) else {
            return soonest.min(latest);
        };
        let retry_ms = order.next_retry_ms(class, (now + soonest).0 as f64);
        if retry_ms > (now + latest).0 as f64 {
            return Millis(latest.0 - request_hash % (latest.0 / 2).max(1))
                .max(soonest.min(latest));
        }
        order.last_retry_ms.insert(class.priority, retry_ms);
        Timestamp(retry_ms as u64).since(now)
    }

    /// Removes services without requests, and engines without responses, for a minute.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.services.retain(|_, order| now.since(order.allocated_at) < IDLE_TIME);
        self.services.values_mut().for_each(|order| order.work_times.remove_expired(now));
    }
}

impl KnownCapacity {
    /// Whether requests may be refused: by rates that engines state, or if at least half of the
    /// slots are known to be in use.
    fn allows_refusals(&self) -> bool {
        match self {
            Self::Stated(_) => true,
            Self::Slots(slots) => 2 * slots.in_use >= slots.slots,
        }
    }
}

impl ServiceOrder {
    fn new(now: Timestamp) -> Self {
        Self {
            demands: ClassDemands::default(),
            estimate: CapacityEstimate::default(),
            work_times: WorkTimes::default(),
            allocated_at: now,
            short_until: Timestamp(0),
            is_refusing: false,
            pace: Pace::default(),
            last_retry_ms: BTreeMap::new(),
        }
    }

    fn allocate_if_due(&mut self, now: Timestamp, known: KnownCapacity) {
        let elapsed = now.since(self.allocated_at);
        if elapsed < ALLOCATION_INTERVAL {
            return;
        }
        self.allocated_at = now;
        let seconds = elapsed.0 as f64 / 1_000.0;
        let weight = match known {
            KnownCapacity::Stated(_) => self.estimate.end_interval(seconds, true),
            KnownCapacity::Slots(_) => self.estimate.end_interval(seconds, self.is_refusing),
        };
        self.demands.end_interval(seconds, weight);
        match known {
            KnownCapacity::Stated(owned) => {
                self.estimate.update_stated(owned.milli_rps() as f64 / 1_000.0);
            }
            KnownCapacity::Slots(_) => self.estimate.update_learned(self.demands.total_rate()),
        }
        self.demands.allocate(self.estimate.capacity());
    }

    /// Whether a request fits the capacity. Classes that are admitted completely are not paced, nor
    /// those that only get the minimum of their priority: the others make room for both. Permits
    /// pace the requests to engines that state rates.
    fn fits(
        &mut self,
        now: Timestamp,
        class: &RequestClass,
        known: KnownCapacity,
        request_hash: u64,
    ) -> bool {
        let demand = self.demands.count(class, request_hash);
        if matches!(known, KnownCapacity::Stated(_)) {
            return demand.admits_by_hash(request_hash);
        }
        self.pace.fill(now, self.estimate.capacity());
        let is_paced = !demand.has_floor_only;
        let fits = demand.is_admitted_completely()
            || demand.admits_next(is_paced) && (!is_paced || self.pace.has_room());
        if fits {
            self.pace.take(1.0);
        }
        fits
    }

    /// Notes whether requests are refused: from the first refusal until the service is no longer
    /// short of capacity.
    fn note_refusing(
        &mut self,
        now: Timestamp,
        refuses: bool,
        known: KnownCapacity,
    ) -> Option<ShortageChange> {
        let is_refusing = refuses || (self.is_refusing && now < self.short_until);
        if std::mem::replace(&mut self.is_refusing, is_refusing) == is_refusing {
            return None;
        }
        Some(ShortageChange {
            begins: is_refusing,
            capacity: self.estimate.capacity(),
            demand: self.demands.total_rate(),
            response_rate: self.estimate.response_rate(),
            rejected_share: self.estimate.rejected_share(),
            late_share: self.estimate.late_share(),
            known,
        })
    }

    fn next_retry_ms(&self, class: &RequestClass, soonest_ms: f64) -> f64 {
        let admitted = self.demands.admitted_rate(class.priority);
        let is_served = self.demands.admits_completely(class);
        let rate = if is_served { admitted } else { RETRY_SHARE * admitted };
        let interval_ms = 1_000.0 / rate.max(MIN_RETRY_RPS);
        let after_last = self.last_retry_ms.get(&class.priority).map(|last| last + interval_ms);
        after_last.map_or(soonest_ms, |after_last| after_last.max(soonest_ms))
    }
}
