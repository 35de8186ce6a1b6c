//! Queueing, the choice of a back end, attempts and retries.

use crate::call::{Attempt, CallId, CallState, Stage, Target};
use crate::deferred::DeferredAction;
use crate::effect::{Dispatch, Effect};
use crate::event::{AttemptOutcome, PlatformEntry, Usage};
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_balance::{Candidate, Choice, FairQueue, PushOutcome, Query};
use stackpost_ledger::{Intent, Record, StoredAnswer};
use stackpost_table::{BackEndState, Row, RowKey};
use stackpost_types::*;

/// Maximum number of attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// `retry_after` of refusals because of a full queue or a queue timeout.
const RETRY_AFTER_BUSY: Millis = Millis(1_000);
/// `retry_after` of refusals because of failed or unavailable back ends.
const RETRY_AFTER_FAILURE: Millis = Millis(2_000);
/// Statuses of responses by which a back end rejects a request without running it.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

impl Router {
    /// Starts a call with reserved rights, or queues it if no back end is free.
    pub(crate) fn enqueue(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let service = call.service.clone();
        let Some(row) = self.directory.service(&service) else {
            let detail = format!("service {service} is not in the table any more");
            self.refuse(id, Refusal::not_run(RefusalReason::NoBackEnd, detail));
            return;
        };
        let limit = row.queue_limit as usize;
        let (tenant, weight) = (call.tenant.clone(), call.tenant_weight);
        let priority = call.call.priority;
        self.set_stage(id, Stage::Queued);
        let queue_is_empty = self.queues.get(&service).is_none_or(FairQueue::is_empty);
        if queue_is_empty && self.try_start(id) {
            return;
        }
        if !self.calls.contains_key(&id) {
            return;
        }
        let queue = self.queues.entry(service).or_default();
        match queue.push(&tenant, weight, priority, id, limit) {
            PushOutcome::Queued => self.trace_waiting(id),
            PushOutcome::Refused(refused) => self.refuse_queue_full(refused),
            PushOutcome::Evicted(evicted) => {
                self.trace_waiting(id);
                self.refuse_queue_full(evicted);
            }
        }
    }

    fn trace_waiting(&mut self, id: CallId) {
        let reason = "every back end has as many requests as allowed".to_string();
        self.trace_call_step(id, TraceStep::Waiting { reason });
    }

    fn refuse_queue_full(&mut self, id: CallId) {
        let refusal = Refusal::not_run(RefusalReason::QueueFull, "the service's queue is full");
        self.withdraw_and_refuse(id, refusal.retry_after(RETRY_AFTER_BUSY));
    }

    /// Starts queued calls while back ends have free capacity.
    pub(crate) fn serve_queues(&mut self) {
        let services: Vec<ServiceName> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            loop {
                let mut queue = self.queues.remove(&service).unwrap_or_default();
                let next = queue.pop_if(|id| self.can_start(*id));
                self.queues.insert(service.clone(), queue);
                match next {
                    Some(id) => {
                        self.try_start(id);
                    }
                    None => break,
                }
            }
        }
    }

    /// Whether a queued call can be sent to a back end, or has to be refused now.
    fn can_start(&self, id: CallId) -> bool {
        self.calls.get(&id).is_none_or(|call| self.choose(call) != Choice::AllBusy)
    }

    fn choose(&self, call: &CallState) -> Choice {
        let concurrency = self.service_row(call).map_or(1, |row| row.back_end_concurrency);
        let blocks = match &call.call.target {
            Target::Chat { blocks, .. } => blocks.as_slice(),
            Target::Plain { .. } => &[],
        };
        let query = Query {
            service: &call.service,
            zone: &self.config.zone,
            blocks,
            concurrency,
            tried: &call.tried,
            may_probe: call.repeatable,
        };
        self.balancer.choose(self.now, &query)
    }

    /// Starts a call if a back end is free, or refuses it if none is available. Returns `false` if
    /// it has to stay queued.
    fn try_start(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return true;
        };
        match self.choose(call) {
            Choice::Chosen(candidates) => {
                self.start(id, candidates);
                true
            }
            Choice::AllBusy => false,
            Choice::AllBackingOff(until) => {
                let detail =
                    format!("the back ends of service {} have asked for rest", call.service);
                let refusal = Refusal::not_run(RefusalReason::NoBackEnd, detail);
                self.withdraw_and_refuse(id, refusal.retry_after(until.since(self.now)));
                true
            }
            Choice::NoneAvailable => {
                let detail = format!("no back end of service {} takes work", call.service);
                let reason = match call.attempts {
                    0 => RefusalReason::NoBackEnd,
                    _ => RefusalReason::RetriesExhausted,
                };
                let refusal = Refusal::not_run(reason, detail).retry_after(RETRY_AFTER_FAILURE);
                self.withdraw_and_refuse(id, refusal);
                true
            }
        }
    }

    fn start(&mut self, id: CallId, candidates: Vec<Candidate>) {
        let back_end = candidates[0].back_end.clone();
        self.trace_call_step(id, TraceStep::Chosen { candidates });
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.attempts += 1;
        let number = call.attempts;
        call.stage =
            Stage::Running(Attempt { number, back_end: back_end.clone(), dispatched: false });
        call.stage_entered_at = now;
        let account = call.account.clone();
        let intent = Intent {
            budget: call.budget.clone(),
            tenant: call.tenant.clone(),
            bound: call.bound,
            back_end: back_end.clone(),
            repeatable: call.repeatable,
            key: call.key.as_ref().map(|key| key.digest),
        };
        let (request, repeatable) = (call.call.request, call.repeatable);
        if let Target::Chat { blocks, .. } = &call.call.target
            && let Some(state) = self.balancer.get_mut(&back_end)
        {
            state.cache.assume_cached(blocks);
        }
        if let Some(state) = self.balancer.get_mut(&back_end) {
            state.on_dispatch(now);
        }
        if number == 1 {
            self.retries.deposit(self.directory.policy().retry_permille);
        }
        let sequence = self.record(&account, Record::Intent { request, intent });
        self.move_reservation_to_intent(id);
        if repeatable {
            // The intent is mirrored in parallel with the request; no byte of the response reaches
            // the caller before the backup has acknowledged the intent.
            self.dispatch_now(id, number);
        } else {
            // The backup has to acknowledge the intent before anything is sent: a node that takes
            // the account over has to know that the request may have run.
            self.defer(&account, sequence, DeferredAction::Dispatch(id, number));
        }
        self.defer(&account, sequence, DeferredAction::StartResponse(id, number));
    }

    pub(crate) fn dispatch_now(&mut self, id: CallId, number: u32) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Stage::Running(attempt) = &mut call.stage else {
            return;
        };
        if attempt.number != number || attempt.dispatched {
            return;
        }
        attempt.dispatched = true;
        let back_end = attempt.back_end.clone();
        let (request, keep_answer) = (call.call.request, call.is_keyed());
        let Some(address) = self.balancer.get(&back_end).map(|state| state.row.address) else {
            let reason = format!("{back_end} left the table");
            self.on_attempt(id, number, AttemptOutcome::NotSent { reason });
            return;
        };
        let max_tokens = self.calls.get(&id).and_then(|call| self.generation_limit(call));
        self.trace_step(request, TraceStep::Dispatched { back_end: back_end.clone(), number });
        self.effects.push(Effect::Dispatch(Dispatch {
            call: id,
            request,
            number,
            back_end,
            address,
            max_tokens,
            keep_answer,
        }));
    }

    pub(crate) fn on_attempt(&mut self, id: CallId, number: u32, outcome: AttemptOutcome) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Stage::Running(attempt) = &call.stage else {
            return;
        };
        if attempt.number != number {
            return;
        }
        let back_end = attempt.back_end.clone();
        if let Some(state) = self.balancer.get_mut(&back_end) {
            state.on_request_end();
        }
        match outcome {
            AttemptOutcome::NotSent { reason } => {
                self.on_back_end_failure(&back_end);
                self.on_not_sent(id, back_end, reason);
            }
            AttemptOutcome::Rejected { status, answer, rest } => {
                self.on_backoff(id, &back_end, rest);
                self.on_rejected(id, back_end, status, answer);
            }
            AttemptOutcome::Incomplete { reason, counted, delivered } => {
                self.on_back_end_failure(&back_end);
                self.on_interrupted(id, back_end, reason, counted, delivered);
            }
            AttemptOutcome::Answered { reported, counted, answer, rest } => {
                self.on_backoff(id, &back_end, rest);
                if let Some(state) = self.balancer.get_mut(&back_end) {
                    state.on_success();
                }
                self.settle_answered(id, reported, counted, answer);
            }
            AttemptOutcome::Cancelled { counted } => self.settle_cancelled(id, counted),
        }
    }

    /// Applies a backoff that a back end asked for. It holds for all requests of this router; if it
    /// held for this attempt only, the next request would violate it.
    fn on_backoff(&mut self, id: CallId, back_end: &BackEndName, backoff: Option<Millis>) {
        let now = self.now;
        if let (Some(backoff), Some(state)) = (backoff, self.balancer.get_mut(back_end)) {
            state.on_backoff(now, backoff);
            self.trace_call_step(
                id,
                TraceStep::BackoffRequested { back_end: back_end.clone(), backoff },
            );
        }
    }

    /// Nothing was sent, so even a non-idempotent request may be retried at another back end.
    fn on_not_sent(&mut self, id: CallId, back_end: BackEndName, reason: String) {
        self.trace_failure(id, &reason);
        if let Some(CallState { stage: Stage::Running(attempt), .. }) = self.calls.get_mut(&id) {
            attempt.dispatched = false;
        }
        if self.may_retry(id) {
            self.retry_elsewhere(id, back_end);
            return;
        }
        let detail = format!("connect to {back_end}: {reason}");
        let refusal = Refusal::not_run(RefusalReason::RetriesExhausted, detail);
        self.withdraw_and_refuse(id, refusal.retry_after(RETRY_AFTER_FAILURE));
    }

    fn on_rejected(
        &mut self,
        id: CallId,
        back_end: BackEndName,
        status: u16,
        answer: StoredAnswer,
    ) {
        self.trace_failure(id, &format!("status {status}"));
        let repeatable = self.calls.get(&id).is_some_and(|call| call.repeatable);
        if REJECTION_STATUSES.contains(&status) && repeatable && self.may_retry(id) {
            self.retry_elsewhere(id, back_end);
            return;
        }
        self.settle_rejected(id, answer);
    }

    fn on_interrupted(
        &mut self,
        id: CallId,
        back_end: BackEndName,
        reason: String,
        counted: Usage,
        delivered: bool,
    ) {
        self.trace_failure(id, &reason);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.earlier_attempt_sent = true;
        let retry_is_safe = call.repeatable || self.config.defects.retry_after_send;
        let result_is_wanted = !call.caller_gone || call.is_keyed();
        if retry_is_safe && !delivered && result_is_wanted && self.may_retry(id) {
            self.retry_elsewhere(id, back_end);
            return;
        }
        let detail = format!("answer of {back_end}: {reason}");
        self.settle_incomplete(id, counted, detail);
    }

    fn trace_failure(&mut self, id: CallId, reason: &str) {
        let number = self.calls.get(&id).map_or(0, |call| call.attempts);
        let reason = reason.to_string();
        self.trace_call_step(id, TraceStep::AttemptFailed { number, reason });
    }

    fn may_retry(&mut self, id: CallId) -> bool {
        let attempts = self.calls.get(&id).map_or(MAX_ATTEMPTS, |call| call.attempts);
        attempts < MAX_ATTEMPTS && self.retries.try_withdraw()
    }

    /// Queues the call for an attempt at another back end. The intent keeps the rights reserved.
    fn retry_elsewhere(&mut self, id: CallId, failed: BackEndName) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.tried.push(failed);
        }
        self.enqueue(id);
    }

    /// Refuses a call that has no running attempt. The recorded intent of an earlier attempt is
    /// released first.
    pub(crate) fn withdraw_and_refuse(&mut self, id: CallId, refusal: Refusal) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (account, request) = (call.account.clone(), call.call.request);
        let recorded = self
            .owned
            .get(&account)
            .is_some_and(|owned| owned.state().intents().contains_key(&request));
        if recorded {
            let budget = call.budget.clone();
            self.record_and_defer(
                &account,
                Record::Release { request },
                DeferredAction::Refuse(id, refusal),
            );
            self.reserve_for_waiting(&budget);
        } else {
            self.refuse_and_reserve(id, refusal);
        }
    }

    fn refuse_and_reserve(&mut self, id: CallId, refusal: Refusal) {
        let budget = self.calls.get(&id).map(|call| call.budget.clone());
        self.refuse(id, refusal);
        if let Some(budget) = budget {
            self.reserve_for_waiting(&budget);
        }
    }

    pub(crate) fn on_caller_gone(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.caller_gone {
            return;
        }
        call.caller_gone = true;
        let must_complete = call.is_keyed() || !call.repeatable;
        let stage = call.stage.clone();
        self.trace_call_step(id, TraceStep::CallerGone);
        match stage {
            Stage::Running(attempt) if attempt.dispatched => {
                if !must_complete {
                    self.effects.push(Effect::Cancel { call: id, number: attempt.number });
                }
            }
            Stage::Running(attempt) => {
                if let Some(state) = self.balancer.get_mut(&attempt.back_end) {
                    state.on_request_end();
                }
                self.drop_unsent_call(id);
            }
            Stage::Settling { .. } => {}
            _ => self.drop_unsent_call(id),
        }
    }

    /// Drops a call that was not sent and whose caller has disconnected.
    fn drop_unsent_call(&mut self, id: CallId) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        self.remove_from_rights_queue(&call.budget, id);
        if let Some(queue) = self.queues.get_mut(&call.service) {
            queue.remove_where(|waiting| *waiting == id);
        }
        self.record(&call.account, Record::Release { request: call.call.request });
        self.effects.push(Effect::Dropped(id));
        self.on_rights_freed(&call);
    }

    pub(crate) fn tick_calls(&mut self) {
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.stage == Stage::Queued && self.queue_wait_exceeded(call))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            if let Some(queue) = self.queues.get_mut(&call.service) {
                queue.remove_where(|waiting| *waiting == id);
            }
            let refusal =
                Refusal::not_run(RefusalReason::QueueTimeout, "no back end became free in time");
            self.withdraw_and_refuse(id, refusal.retry_after(RETRY_AFTER_BUSY));
        }
        self.tick_settling();
    }

    fn queue_wait_exceeded(&self, call: &CallState) -> bool {
        let limit = self.service_row(call).map_or(0, |row| row.queue_wait_ms);
        self.now.since(call.stage_entered_at) > Millis(limit)
    }

    pub(crate) fn on_back_end_failure(&mut self, name: &BackEndName) {
        let (now, policy) = (self.now, self.directory.policy().clone());
        if let Some(state) = self.balancer.get_mut(name) {
            state.on_failure(now, &policy);
        }
    }

    pub(crate) fn on_back_end_row(&mut self, name: &BackEndName) {
        match self.directory.table.get(&RowKey::BackEnd(name.clone())) {
            Some(Row::BackEnd(row)) => {
                let mut row = row.clone();
                if self.config.defects.ignore_leaving {
                    row.state = BackEndState::Active;
                }
                self.balancer.set_back_end(name, &row);
                self.apply_platform(name);
            }
            _ => self.balancer.remove_back_end(name),
        }
    }

    pub(crate) fn on_platform(&mut self, entries: &[PlatformEntry]) {
        if self.config.defects.ignore_leaving {
            return;
        }
        let list = entries.iter().map(|entry| (entry.back_end.clone(), entry.leaving));
        self.platform = Some(list.collect());
        for entry in entries {
            self.apply_platform(&entry.back_end);
        }
    }

    /// Applies the platform's entry for a back end. The list may have been read before the back
    /// end's row was received.
    fn apply_platform(&mut self, name: &BackEndName) {
        let listed = self.platform.as_ref().and_then(|list| list.get(name)).copied();
        if let (Some(leaving), Some(state)) = (listed, self.balancer.get_mut(name)) {
            state.on_platform(leaving);
        }
    }
}
