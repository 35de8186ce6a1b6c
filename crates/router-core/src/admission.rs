//! Admission: authenticates the tenant, finds the service and computes the maximum cost.

use crate::call::*;
use crate::effect::Effect;
use crate::refusal::{ExecutionOutcome, Refusal, RefusalReason};
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_table::{ServiceKind, ServiceRow};
use stackpost_types::*;

/// `retry_after` of refusals by a router that is not ready or is draining.
const RETRY_AFTER_NOT_READY: Millis = Millis(1_000);

/// Tenant, service and maximum cost of an admitted request.
struct Admitted {
    tenant: TenantName,
    tenant_weight: u32,
    budget: BudgetName,
    home_zone: ZoneName,
    service: ServiceName,
    bound: Tokens,
    repeatable: bool,
}

impl Router {
    pub(crate) fn on_call(&mut self, call: Call) {
        let id = call.id;
        match self.admit(&call) {
            Ok(admitted) => self.accept_call(call, admitted),
            Err(mut refusal) => {
                // An earlier request under the same key may have run at another router.
                if call.idempotency_key.is_some() && refusal.reason.is_transient() {
                    refusal.outcome = ExecutionOutcome::Unknown;
                }
                self.trace_step(call.request, TraceStep::Refused(refusal.clone()));
                self.effects.push(Effect::Refuse { call: id, refusal });
            }
        }
    }

    fn admit(&self, call: &Call) -> Result<Admitted, Refusal> {
        if self.draining.is_some() {
            let refusal = Refusal::not_run(RefusalReason::Draining, "this router is stopping");
            return Err(refusal.retry_after(RETRY_AFTER_NOT_READY));
        }
        if !self.directory.confirmed {
            let refusal = Refusal::not_run(RefusalReason::NotReady, "no configuration yet");
            return Err(refusal.retry_after(RETRY_AFTER_NOT_READY));
        }
        if !self.platform_list_ready() {
            let refusal = Refusal::not_run(RefusalReason::NotReady, "no machine list yet");
            return Err(refusal.retry_after(RETRY_AFTER_NOT_READY));
        }
        if self.call_by_request.contains_key(&call.request) {
            let detail = format!("request {} is being worked on", call.request);
            return Err(Refusal::not_run(RefusalReason::RequestIdInUse, detail));
        }
        let hash = call.key_hash.as_ref().ok_or_else(|| {
            Refusal::not_run(RefusalReason::MissingKey, "no bearer key in the request")
        })?;
        let tenant = self.directory.tenant(hash).ok_or_else(|| {
            Refusal::not_run(RefusalReason::WrongKey, "no tenant has this bearer key")
        })?;
        let (service, bound, repeatable) = match &call.target {
            Target::Chat { model, prompt_tokens, max_tokens, .. } => {
                self.admit_chat(model, *prompt_tokens, *max_tokens)?
            }
            Target::Plain { method, path } => self.admit_plain(method, path)?,
        };
        Ok(Admitted {
            tenant: tenant.name.clone(),
            tenant_weight: tenant.row.weight,
            budget: tenant.row.budget.clone(),
            home_zone: tenant.row.home_zone.clone(),
            service,
            bound,
            repeatable: repeatable && !call.not_repeatable,
        })
    }

    fn admit_chat(
        &self,
        model: &ModelName,
        prompt_tokens: u64,
        max_tokens: Option<u64>,
    ) -> Result<(ServiceName, Tokens, bool), Refusal> {
        let name = self.directory.service_of_model(model).ok_or_else(|| {
            Refusal::not_run(RefusalReason::UnknownModel, format!("no service has model `{model}`"))
        })?;
        let limit = self.directory.service(name).map_or(0, |row| row.max_tokens_limit);
        match max_tokens {
            Some(0) => {
                return Err(Refusal::not_run(RefusalReason::MaxTokensInvalid, "max_tokens is 0"));
            }
            Some(requested) if requested > limit => {
                let detail = format!("max_tokens is {requested}; service {name} allows {limit}");
                return Err(Refusal::not_run(RefusalReason::MaxTokensTooLarge, detail));
            }
            _ => {}
        }
        let max_generated = max_tokens.unwrap_or(limit);
        Ok((name.clone(), Tokens(prompt_tokens.saturating_add(max_generated)), true))
    }

    fn admit_plain(
        &self,
        method: &str,
        path: &str,
    ) -> Result<(ServiceName, Tokens, bool), Refusal> {
        let route = self.directory.route(method, path).ok_or_else(|| {
            Refusal::not_run(RefusalReason::UnknownRoute, format!("no route for {method} {path}"))
        })?;
        Ok((route.service.clone(), route.cost, route.repeatable))
    }

    fn accept_call(&mut self, call: Call, admitted: Admitted) {
        let id = call.id;
        let request = call.request;
        let key = self.request_key(&call, &admitted.tenant, &admitted.home_zone);
        self.trace_step(
            request,
            TraceStep::Admitted {
                tenant: admitted.tenant.clone(),
                budget: admitted.budget.clone(),
                service: admitted.service.clone(),
                bound: admitted.bound,
            },
        );
        let stage = match &key {
            Some(_) => Stage::Claiming { requested_at: Timestamp(0), replaces: None },
            None => Stage::AwaitingRights,
        };
        let state = CallState {
            call,
            tenant: admitted.tenant,
            tenant_weight: admitted.tenant_weight,
            budget: admitted.budget,
            service: admitted.service,
            bound: admitted.bound,
            repeatable: admitted.repeatable,
            key,
            account: self.main.clone(),
            reserved: false,
            stage,
            stage_entered_at: self.now,
            attempts: 0,
            tried: Vec::new(),
            caller_gone: false,
            response_started: false,
            earlier_attempt_sent: false,
            key_granted: false,
            answer: None,
        };
        let keyed = state.is_keyed();
        self.calls.insert(id, state);
        self.call_by_request.insert(request, id);
        if keyed { self.send_key_claim(id) } else { self.request_rights(id) }
    }

    /// The call's idempotency key and the zone that stores it: the zone named before a colon in the
    /// key, otherwise the tenant's home zone.
    fn request_key(&self, call: &Call, tenant: &TenantName, home: &ZoneName) -> Option<RequestKey> {
        let key = call.idempotency_key.as_ref()?;
        let prefix_zone = key.split_once(':').map(|(zone, _)| ZoneName::new(zone));
        let zone = prefix_zone.filter(|zone| self.directory.has_zone(zone)).unwrap_or(home.clone());
        let digest = Digest::of(&[tenant.as_str().as_bytes(), key.as_bytes()]);
        Some(RequestKey { digest, zone })
    }

    /// The row of the call's service, if it still exists.
    pub(crate) fn service_row(&self, call: &CallState) -> Option<&ServiceRow> {
        self.directory.service(&call.service)
    }

    /// Maximum number of tokens that the back end may generate, as sent to it.
    pub(crate) fn generation_limit(&self, call: &CallState) -> Option<u64> {
        let row = self.service_row(call)?;
        match (&call.call.target, row.kind) {
            (Target::Chat { max_tokens, .. }, ServiceKind::Model) => {
                Some(max_tokens.unwrap_or(row.max_tokens_limit))
            }
            _ => None,
        }
    }

    /// Sends a call its final refusal and releases its reservation.
    pub(crate) fn refuse(&mut self, id: CallId, mut refusal: Refusal) {
        if self.calls.get(&id).is_some_and(CallState::may_have_run) {
            refusal.outcome = ExecutionOutcome::Unknown;
        }
        if self.config.defects.claim_not_run {
            refusal.outcome = ExecutionOutcome::NotRun;
        }
        self.trace_call_step(id, TraceStep::Refused(refusal.clone()));
        if self.remove_call(id).is_some() {
            self.effects.push(Effect::Refuse { call: id, refusal });
        }
    }
}
