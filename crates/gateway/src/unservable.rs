//! Requests that are known not to be servable now: refused at once, before tokens are set aside, with when to return.

use crate::decision_log;
use crate::refusal::{Refusal, retry_after_backoff};
use crate::request::RequestContext;
use stackpost_gateway_core::{PermitAvailability, RequestClass, ServiceAvailability};
use stackpost_types::Millis;

/// Callers heed a time to return that is up to this part of the time that they have left.
const HEEDED_PART: u64 = 3;

impl RequestContext {
    /// Refuses a request that no engine may be asked to serve, before tokens are set aside for it.
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

    /// Refuses a request that gives way to others, while all engines of its service state rates and these are short.
    pub fn refuse_if_shed(&self) -> Result<(), Refusal> {
        if self.router.permit_outlook(&self.service, &[]) == PermitAvailability::Unlimited {
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

    /// Refuses a request for which no permit comes in time, by what the engines state that they take.
    pub fn refuse_if_rate_limited(&self) -> Result<(), Refusal> {
        let patience = Millis(self.permit_wait_left.get().as_millis() as u64);
        match self.router.permit_outlook(&self.service, &[]) {
            PermitAvailability::Spent { soonest, engine } if soonest > patience => {
                self.router.shedding.borrow_mut().on_no_permit(self.router.now(), &self.service);
                decision_log::rate_limits_exhausted(self, &engine, soonest);
                Err(Refusal::RateLimitsExhausted { retry_after: self.retry_delay(soonest) })
            }
            _ => Ok(()),
        }
    }

    fn class(&self) -> RequestClass {
        let tenant = self.tenant.as_ref().map(|tenant| tenant.name.clone());
        RequestClass { priority: self.priority(), tenant }
    }

    /// When to tell the caller to return. Callers heed that for a third of their time only.
    fn retry_delay(&self, soonest: Millis) -> Millis {
        let latest = Millis(self.deadline.remaining().as_millis() as u64 / HEEDED_PART);
        let mut shedding = self.router.shedding.borrow_mut();
        shedding.retry_delay(self.router.now(), &self.service, soonest, latest, self.request_hash())
    }
}
