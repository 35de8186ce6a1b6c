//! Settlement: bills the usage of a request once and then releases the end of its response.

use crate::call::{CallId, CallState, Stage, Target};
use crate::deferred::DeferredAction;
use crate::effect::Effect;
use crate::event::Usage;
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_ledger::{BillKind, Record, StoredAnswer};
use stackpost_table::ServiceKind;
use stackpost_types::*;

/// Maximum wait for the backup to acknowledge a bill before the call is refused as unconfirmed.
const SETTLE_TIMEOUT: Millis = Millis(10_000);
/// Time between two usage queries to a back end for the same request of a crashed router.
const USAGE_QUERY_INTERVAL: Millis = Millis(500);
/// Maximum number of usage queries before the reserved amount is billed.
const MAX_USAGE_QUERIES: u32 = 4;
/// Lowest HTTP status of a server error. A plain service's response from here up costs nothing.
const FIRST_SERVER_ERROR: u16 = 500;

/// Usage queries sent so far for a request whose router has crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageQueryState {
    attempts: u32,
    requested_at: Timestamp,
}

/// An amount to bill and how it was determined.
struct Charge {
    tokens: Tokens,
    kind: BillKind,
}

impl Router {
    pub(crate) fn settle_answered(
        &mut self,
        id: CallId,
        reported: Option<Usage>,
        counted: Usage,
        answer: StoredAnswer,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let charge = match &call.call.target {
            Target::Plain { .. } if answer.status >= FIRST_SERVER_ERROR => {
                Charge { tokens: Tokens::ZERO, kind: BillKind::Reported }
            }
            Target::Plain { .. } => Charge { tokens: call.bound, kind: BillKind::Reported },
            Target::Chat { .. } => charge_for_answer(call.bound, reported, counted),
        };
        let keyed = call.is_keyed();
        if charge.kind != BillKind::Reported {
            let text = format!(
                "request {}: back end reported {:?}, {:?} counted, {} reserved: billed {} ({:?})",
                call.call.request, reported, counted, call.bound, charge.tokens, charge.kind
            );
            self.warn(text);
        }
        let stored_answer = keyed.then_some(StoredAnswer { billed: charge.tokens, ..answer });
        self.settle(id, charge, stored_answer);
    }

    /// Settles a back end's error response before any output: nothing is billed, and the response
    /// is forwarded.
    pub(crate) fn settle_rejected(&mut self, id: CallId, answer: StoredAnswer) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (account, request) = (call.account.clone(), call.call.request);
        let keep_answer = call.is_keyed() && !call.repeatable;
        if let Some(call) = self.calls.get_mut(&id) {
            call.answer = Some(answer.clone());
        }
        if keep_answer {
            self.settle(
                id,
                Charge { tokens: Tokens::ZERO, kind: BillKind::Reported },
                Some(answer),
            );
            return;
        }
        self.set_settling(id);
        let action = DeferredAction::Finish(id, Tokens::ZERO);
        self.record_and_defer(&account, Record::Release { request }, action);
        self.reserve_for_budget_of(id);
    }

    /// Settles a response that was interrupted and is not retried. The tokens sent to the caller
    /// are billed; for a non-idempotent request the whole bound is billed, since it may have run
    /// to its end.
    pub(crate) fn settle_incomplete(&mut self, id: CallId, counted: Usage, detail: String) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let charge = match call.repeatable {
            true => Charge { tokens: counted.total().min(call.bound), kind: BillKind::Counted },
            false => Charge { tokens: call.bound, kind: BillKind::Estimated },
        };
        let (account, request) = (call.account.clone(), call.call.request);
        let answer = call.is_keyed().then(StoredAnswer::unknown);
        let (tokens, kind, at) = (charge.tokens, charge.kind, self.wall);
        self.set_settling(id);
        self.trace_call_step(id, TraceStep::Billed { tokens, kind });
        let refusal = Refusal::unknown(RefusalReason::BackEndFailed, detail);
        let record = Record::Settle { request, tokens, kind, at, answer };
        self.retain_answer(&account, request);
        self.record_bill(&account, record, Some(DeferredAction::Refuse(id, refusal)));
        self.reserve_for_budget_of(id);
    }

    pub(crate) fn settle_cancelled(&mut self, id: CallId, counted: Usage) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let tokens = counted.total().min(call.bound);
        self.settle(id, Charge { tokens, kind: BillKind::Counted }, None);
    }

    fn settle(&mut self, id: CallId, charge: Charge, answer: Option<StoredAnswer>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (account, request) = (call.account.clone(), call.call.request);
        let Charge { tokens, kind } = charge;
        self.set_settling(id);
        self.trace_call_step(id, TraceStep::Billed { tokens, kind });
        if answer.is_some() {
            self.retain_answer(&account, request);
        }
        let at = self.wall;
        if self.config.defects.bill_twice {
            self.inject_double_bill(&account, request, tokens);
        }
        let record = Record::Settle { request, tokens, kind, at, answer };
        self.record_bill(&account, record, Some(DeferredAction::Finish(id, tokens)));
        self.reserve_for_budget_of(id);
    }

    /// Injects the fault `bill_twice`.
    fn inject_double_bill(&mut self, account: &AccountId, request: RequestId, tokens: Tokens) {
        let Some(intent) = self
            .owned
            .get(account)
            .and_then(|owned| owned.state().intents().get(&request).cloned())
        else {
            return;
        };
        let (kind, at) = (BillKind::Reported, self.wall);
        let record = Record::Settle { request, tokens, kind, at, answer: None };
        self.record_bill(account, record, None);
        self.record(account, Record::Intent { request, intent });
    }

    fn set_settling(&mut self, id: CallId) {
        let since = self.now;
        self.set_stage(id, Stage::Settling { since });
    }

    fn reserve_for_budget_of(&mut self, id: CallId) {
        if let Some(budget) = self.calls.get(&id).map(|call| call.budget.clone()) {
            self.reserve_for_waiting(&budget);
        }
    }

    /// The backup has acknowledged the bill: sends the end of the response.
    pub(crate) fn finish(&mut self, id: CallId, billed: Tokens) {
        self.trace_call_step(id, TraceStep::Finished);
        let Some(call) = self.remove_call(id) else {
            return;
        };
        match call.answer {
            Some(answer) => self.effects.push(Effect::Replay { call: id, answer }),
            None => self.effects.push(Effect::Finish { call: id, billed }),
        }
    }

    pub(crate) fn tick_settling(&mut self) {
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| self.settlement_timed_out(call))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let detail = "the backup has not acknowledged the bill";
            self.refuse(id, Refusal::unknown(RefusalReason::SettlementUnconfirmed, detail));
        }
    }

    fn settlement_timed_out(&self, call: &CallState) -> bool {
        matches!(call.stage, Stage::Settling { since } if self.now.since(since) > SETTLE_TIMEOUT)
    }

    /// Queries back ends for the usage of a crashed router's requests.
    pub(crate) fn tick_usage_queries(&mut self) {
        let now = self.now;
        for (account, request) in self.orphaned_intents() {
            let key = (account.clone(), request);
            let query = self
                .usage_queries
                .entry(key)
                .or_insert(UsageQueryState { attempts: 0, requested_at: Timestamp(0) });
            let due = query.attempts == 0 || now.since(query.requested_at) >= USAGE_QUERY_INTERVAL;
            if !due {
                continue;
            }
            query.attempts += 1;
            query.requested_at = now;
            if query.attempts > MAX_USAGE_QUERIES || !self.can_report_usage(&account, &request) {
                self.settle_orphan(&account, request, None);
            } else {
                self.query_usage(&account, request);
            }
        }
    }

    /// Intents in adopted accounts. Those of idempotent requests with a key are left out: they wait
    /// for the caller's retry.
    fn orphaned_intents(&self) -> Vec<(AccountId, RequestId)> {
        let adopted = self.owned.iter().filter(|(id, _)| **id != self.main && **id != self.solo);
        adopted
            .flat_map(|(id, owned)| {
                let orphans = owned.state().intents().iter();
                orphans
                    .filter(|(_, intent)| intent.key.is_none() || !intent.repeatable)
                    .map(|(request, _)| (id.clone(), *request))
            })
            .collect()
    }

    /// Only engines report the usage of a request. A plain service would treat the query as a call,
    /// and the cost of its requests is fixed.
    fn can_report_usage(&self, account: &AccountId, request: &RequestId) -> bool {
        let intent = self.owned.get(account).and_then(|owned| owned.state().intents().get(request));
        let back_end = intent.and_then(|intent| self.balancer.get(&intent.back_end));
        let service = back_end.and_then(|state| self.directory.service(&state.row.service));
        service.is_some_and(|row| row.kind == ServiceKind::Model)
    }

    fn query_usage(&mut self, account: &AccountId, request: RequestId) {
        let Some(intent) =
            self.owned.get(account).and_then(|owned| owned.state().intents().get(&request))
        else {
            return;
        };
        let back_end = intent.back_end.clone();
        let Some(state) = self.balancer.get(&back_end) else {
            return;
        };
        let address = state.row.address;
        let account = account.clone();
        self.effects.push(Effect::QueryUsage { account, request, back_end, address });
    }

    pub(crate) fn on_usage_received(
        &mut self,
        account: &AccountId,
        request: &RequestId,
        usage: Option<Usage>,
    ) {
        if usage.is_some() {
            self.settle_orphan(account, *request, usage);
        }
    }

    fn settle_orphan(&mut self, account: &AccountId, request: RequestId, usage: Option<Usage>) {
        self.usage_queries.remove(&(account.clone(), request));
        let Some(intent) = self
            .owned
            .get(account)
            .and_then(|owned| owned.state().intents().get(&request).cloned())
        else {
            return;
        };
        let charge = match usage {
            Some(usage) => charge_for_answer(intent.bound, Some(usage), Usage::default()),
            None => Charge { tokens: intent.bound, kind: BillKind::Estimated },
        };
        let answer = intent.key.map(|_| StoredAnswer::unknown());
        if answer.is_some() {
            self.retain_answer(account, request);
        }
        let (tokens, kind, at) = (charge.tokens, charge.kind, self.wall);
        self.trace_step(request, TraceStep::Billed { tokens, kind });
        self.record_bill(account, Record::Settle { request, tokens, kind, at, answer }, None);
    }
}

/// Cost of a response: the usage that the back end reported, but at least the counted completion
/// tokens and at most the reserved amount.
fn charge_for_answer(bound: Tokens, reported: Option<Usage>, counted: Usage) -> Charge {
    let received = Tokens(counted.completion_tokens);
    let (tokens, kind) = match reported {
        Some(usage) if Tokens(usage.completion_tokens) >= received => {
            (usage.total(), BillKind::Reported)
        }
        Some(usage) => (Tokens(usage.prompt_tokens) + received, BillKind::Counted),
        None => (counted.total(), BillKind::Counted),
    };
    if tokens > bound {
        return Charge { tokens: bound, kind: BillKind::CappedAtBound };
    }
    Charge { tokens, kind }
}
