//! Refuses requests that can't be served at present, before tokens are reserved, with the time to
//! retry.

use crate::decision_log;
use crate::refusal::{Refusal, retry_after_backoff};
use crate::request::RequestContext;
use stackpost_gateway_core::{
    EngineProfile, MemoryDemand, PermitAvailability, ServiceAvailability,
};
use stackpost_types::{Millis, Tokens};

/// Callers respect a retry delay of up to a third of their remaining time, which is divided by this
/// number.
const RETRY_DELAY_DIVISOR: u64 = 3;

impl RequestContext {
    /// Refuses a request that no engine is available to serve, before tokens are reserved for it.
    pub fn refuse_if_unservable(&self) -> Result<(), Refusal> {
        match self.router.availability(&self.service) {
            ServiceAvailability::Available => Ok(()),
            ServiceAvailability::NoEngine => Err(Refusal::NoEngine),
            ServiceAvailability::AllBackingOff { soonest, engine } => {
                decision_log::all_engines_backing_off(self, &engine, soonest);
                Err(Refusal::EnginesBackingOff {
                    retry_after: retry_after_backoff(soonest, self.request_hash()),
                })
            }
        }
    }

    /// Refuses a generation that exceeds the memory of any engine of its service, with the engine
    /// model. An engine would reject it or end others for it, and a retry would not change that.
    pub fn refuse_if_exceeds_engine_memory(&self) -> Result<(), Refusal> {
        let Some(generation) = self.payload.caller.generation else {
            return Ok(());
        };
        let is_too_large = self.router.load_settings().engine_model
            && self.engine_profile().is_some_and(|engine| !engine.fits(generation.max_cost()));
        if !is_too_large {
            return Ok(());
        }
        decision_log::exceeds_engine_memory(self, generation.max_cost());
        Err(Refusal::ExceedsEngineMemory)
    }

    /// The properties of the service's engines, if they are model engines.
    pub fn engine_profile(&self) -> Option<&EngineProfile> {
        self.table.config().services.get(&self.service)?.engine.as_ref()
    }

    /// The memory that the request needs at an engine.
    pub fn memory_demand(&self) -> MemoryDemand {
        let generation = self.payload.caller.generation;
        MemoryDemand {
            tokens: generation.map_or(Tokens::ZERO, |generation| generation.max_cost()),
            engine_memory: self.engine_profile().and_then(EngineProfile::memory),
        }
    }

    /// Sheds a request in favour of others: by the admission order if it is switched on, otherwise
    /// only while all engines of its service state rate limits below the demand.
    pub fn refuse_if_shed(&self) -> Result<(), Refusal> {
        if self.router.load_settings().admission_order {
            return self.refuse_out_of_order();
        }
        if !self.router.is_service_rate_limited(&self.service) {
            return Ok(());
        }
        let (now, owned) = (self.router.now(), self.router.owned_rate(&self.service));
        let mut shedding = self.router.shedding.borrow_mut();
        if shedding.admits(now, &self.service, &self.class(), owned, self.request_hash()) {
            return Ok(());
        }
        drop(shedding);
        decision_log::shed(self);
        Err(Refusal::RateLimitsExhausted { retry_after: self.retry_delay(Millis(0)) })
    }

    /// Refuses a request that gets no permit in time according to the engines' stated rates.
    pub fn refuse_if_rate_limited(&self) -> Result<(), Refusal> {
        let wait_left = Millis(self.permit_wait_left.get().as_millis() as u64);
        match self.router.permit_availability(&self.service, &[]) {
            PermitAvailability::Exhausted { soonest, engine } if soonest > wait_left => {
                self.on_rates_exhausted();
                decision_log::rate_limits_exhausted(self, &engine, soonest);
                Err(Refusal::RateLimitsExhausted { retry_after: self.retry_delay(soonest) })
            }
            _ => Ok(()),
        }
    }

    fn on_rates_exhausted(&self) {
        let now = self.router.now();
        match self.router.load_settings().admission_order {
            true => self.router.admission.borrow_mut().on_no_permit(now, &self.service),
            false => self.router.shedding.borrow_mut().on_no_permit(now, &self.service),
        }
    }

    /// The retry delay for the caller. Callers respect delays of up to a third of their remaining
    /// time only.
    pub fn retry_delay(&self, soonest: Millis) -> Millis {
        let latest = Millis(self.deadline.remaining().as_millis() as u64 / RETRY_DELAY_DIVISOR);
        let (now, hash) = (self.router.now(), self.request_hash());
        if self.router.load_settings().admission_order {
            let mut order = self.router.admission.borrow_mut();
            return order.retry_delay(now, &self.service, &self.class(), (soonest, latest), hash);
        }
        let mut shedding = self.router.shedding.borrow_mut();
        shedding.retry_delay(now, &self.service, soonest, latest, hash)
    }
}
