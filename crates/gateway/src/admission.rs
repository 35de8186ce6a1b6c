//! Applies the admission order to requests, and reports the outcomes from which it learns.

use crate::decision_log;
use crate::refusal::Refusal;
use crate::request::{Progress, RequestContext};
use crate::router::Router;
use stackpost_gateway_core::{
    EngineRecord, KnownCapacity, PermitScope, RequestClass, ResponseTiming, SlotUse,
};
use stackpost_types::{Millis, ServiceName};
use tokio::time::Instant;

impl RequestContext {
    /// Whether the admission order is switched on and applies to the service: generations wait at
    /// their engines and are ordered only by stated rates.
    pub fn is_ordered(&self) -> bool {
        let is_plain = self.payload.caller.generation.is_none();
        self.router.load_settings().admission_order
            && (is_plain || self.router.is_service_rate_limited(&self.service))
    }

    /// Refuses a request that the admission order does not admit.
    pub fn refuse_out_of_order(&self) -> Result<(), Refusal> {
        if !self.is_ordered() {
            return Ok(());
        }
        let (router, service) = (&self.router, &self.service);
        let known = router.known_capacity(service);
        let mut order = router.admission.borrow_mut();
        let decision =
            order.decide(router.now(), service, &self.class(), known, self.request_hash());
        drop(order);
        if let Some(change) = &decision.change {
            decision_log::shortage_changed(service, change);
        }
        if decision.is_admitted {
            return Ok(());
        }
        router.metrics.on_shed();
        let retry_after = self.retry_delay(Millis(0));
        Err(match known {
            KnownCapacity::Stated(_) => Refusal::RateLimitsExhausted { retry_after },
            KnownCapacity::Slots(_) => Refusal::EnginesFull { retry_after },
        })
    }

    /// The refusal of a request that the engines which were tried had no capacity for.
    pub fn engines_full(&self) -> Refusal {
        if !self.is_ordered() {
            return Refusal::engines_full();
        }
        Refusal::EnginesFull { retry_after: self.retry_delay(Millis(0)) }
    }

    /// Whether a request that engines rejected may be sent to another one, by the admission order.
    /// A request that may have run, or whose response has begun, is exempt: its caller would lose
    /// more than an attempt.
    pub fn retry_is_in_order(&self, progress: &Progress) -> bool {
        let is_exempt = progress.may_have_run || progress.response_started;
        is_exempt
            || !self.is_ordered()
            || self.router.admission.borrow().admits_retry(
                self.router.now(),
                &self.service,
                &self.class(),
            )
    }

    /// Records that a request got a permit, or needed none, or that it found none. A service whose
    /// slots are not enforced lacks no permit: all engines were tried or have left.
    pub fn note_permit(&self, is_found: bool, scope: PermitScope) {
        let (now, mut order) = (self.router.now(), self.router.admission.borrow_mut());
        if is_found {
            order.on_permit(&self.service);
        } else if scope == PermitScope::RateAndSlot
            || self.router.is_service_rate_limited(&self.service)
        {
            order.on_no_permit(now, &self.service);
        }
    }

    /// Records that an engine responded, or did not in time, to an attempt that began at `started`.
    pub fn note_response_time(&self, engine: &EngineRecord, started: Instant) {
        if !self.is_ordered() {
            return;
        }
        let router = &self.router;
        let response = ResponseTiming {
            engine: &engine.notice.engine,
            since_sent: Millis(started.elapsed().as_millis() as u64),
            since_arrival: Millis(self.arrived.elapsed().as_millis() as u64),
            objective: self.route.objective,
            in_flight: router.picker.borrow().in_flight(&engine.notice.engine),
            slots: engine.notice.slots,
        };
        router.admission.borrow_mut().on_response(router.now(), &self.service, &response);
    }

    /// Priority and tenant of the request.
    pub fn class(&self) -> RequestClass {
        let tenant = self.tenant.as_ref().map(|tenant| tenant.name.clone());
        RequestClass { priority: self.priority(), tenant }
    }
}

impl Router {
    /// What is known of the capacity of a service besides the outcomes of requests.
    fn known_capacity(&self, service: &ServiceName) -> KnownCapacity {
        if self.is_service_rate_limited(service) {
            return KnownCapacity::Stated(self.owned_rate(service));
        }
        let now = self.now();
        if !self.admission.borrow().is_short(now, service) {
            // The slots do not matter.
            return KnownCapacity::Slots(SlotUse::default());
        }
        let (directory, picker) = (self.directory.borrow(), self.picker.borrow());
        let mut slots = SlotUse::default();
        for record in directory.iter().filter(|record| self.is_available(record, service)) {
            let engine = &record.notice.engine;
            let (in_flight, rejected_at) = (picker.in_flight(engine), picker.rejected_at(engine));
            slots.add(now, record.notice.slots, in_flight, rejected_at);
        }
        KnownCapacity::Slots(slots)
    }

    /// Exports the state of the admission order.
    pub(crate) fn record_admission(&self) {
        let (services, admitted_rps) = self.admission.borrow().refusing(self.now());
        self.metrics.record_admission(services, admitted_rps);
    }
}
