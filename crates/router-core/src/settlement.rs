//! Billing what a request used, once, and letting the answer's end go.

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

/// Longest wait for the backup to hold a bill before the caller is told that it is unconfirmed.
const SETTLE_TIMEOUT: Millis = Millis(10_000);
/// Time between two questions to a back end about a dead router's request.
const USAGE_QUERY_INTERVAL: Millis = Millis(500);
/// Questions asked before the reserved amount is billed.
const MAX_USAGE_QUERIES: u32 = 4;
/// First status that says that a plain service failed; such an answer costs nothing.
const FIRST_SERVER_ERROR: u16 = 500;

/// A question to a back end about a request whose router died.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageQueryState {
    asked: u32,
    asked_at: Timestamp,
}

/// An amount and how it was found.
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
        let kept = keyed.then_some(StoredAnswer { billed: charge.tokens, ..answer });
        self.settle(id, charge, kept);
    }

    /// A back end's error answer before any output: nothing is billed, the answer is passed on.
    pub(crate) fn settle_rejected(&mut self, id: CallId, answer: StoredAnswer) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (account, request) = (call.account.clone(), call.call.request);
        let keep = call.is_keyed() && !call.repeatable;
        if let Some(call) = self.calls.get_mut(&id) {
            call.answer = Some(answer.clone());
        }
        if keep {
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
        self.reserve_for_waiting_of(id);
    }

    /// The answer broke off for good. What the caller got is billed; for a request that may not
    /// be repeated the whole bound is, since it may have done all of its work.
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
        self.reserve_for_waiting_of(id);
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
            self.bill_again(&account, request, tokens);
        }
        let record = Record::Settle { request, tokens, kind, at, answer };
        self.record_bill(&account, record, Some(DeferredAction::Finish(id, tokens)));
        self.reserve_for_waiting_of(id);
    }

    /// The deliberate fault `bill_twice`.
    fn bill_again(&mut self, account: &AccountId, request: RequestId, tokens: Tokens) {
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

    fn reserve_for_waiting_of(&mut self, id: CallId) {
        if let Some(budget) = self.calls.get(&id).map(|call| call.budget.clone()) {
            self.reserve_for_waiting(&budget);
        }
    }

    /// The bill stands on the backup: the end of the answer may go out.
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
            .filter(|(_, call)| self.settles_too_long(call))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let detail = "the backup has not acknowledged the bill";
            self.refuse(id, Refusal::unknown(RefusalReason::SettlementUnconfirmed, detail));
        }
    }

    fn settles_too_long(&self, call: &CallState) -> bool {
        matches!(call.stage, Stage::Settling { since } if self.now.since(since) > SETTLE_TIMEOUT)
    }

    /// Asks back ends what the requests of a dead router used.
    pub(crate) fn tick_usage_queries(&mut self) {
        let now = self.now;
        for (account, request) in self.orphaned_intents() {
            let key = (account.clone(), request);
            let query = self
                .usage_queries
                .entry(key)
                .or_insert(UsageQueryState { asked: 0, asked_at: Timestamp(0) });
            let due = query.asked == 0 || now.since(query.asked_at) >= USAGE_QUERY_INTERVAL;
            if !due {
                continue;
            }
            query.asked += 1;
            query.asked_at = now;
            if query.asked > MAX_USAGE_QUERIES || !self.can_tell_usage(&account, &request) {
                self.settle_orphan(&account, request, None);
            } else {
                self.query_usage(&account, request);
            }
        }
    }

    /// Intents in accounts that were taken over. Those that may be repeated under their key wait
    /// for the retry.
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

    /// Only engines keep count of what a request used; a plain service would take the question for
    /// a call of its own, and its price is known.
    fn can_tell_usage(&self, account: &AccountId, request: &RequestId) -> bool {
        let intent = self.owned.get(account).and_then(|owned| owned.state().intents().get(request));
        let back_end = intent.and_then(|intent| self.balancer.get(&intent.back_end));
        let service = back_end.and_then(|known| self.directory.service(&known.row.service));
        service.is_some_and(|row| row.kind == ServiceKind::Model)
    }

    fn query_usage(&mut self, account: &AccountId, request: RequestId) {
        let Some(intent) =
            self.owned.get(account).and_then(|owned| owned.state().intents().get(&request))
        else {
            return;
        };
        let back_end = intent.back_end.clone();
        let Some(known) = self.balancer.get(&back_end) else {
            return;
        };
        let address = known.row.address;
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

/// What an answer costs: the back end's report, but never less than was seen and never more than
/// was reserved.
fn charge_for_answer(bound: Tokens, reported: Option<Usage>, counted: Usage) -> Charge {
    let seen = Tokens(counted.completion_tokens);
    let (tokens, kind) = match reported {
        Some(usage) if Tokens(usage.completion_tokens) >= seen => {
            (usage.total(), BillKind::Reported)
        }
        Some(usage) => (Tokens(usage.prompt_tokens) + seen, BillKind::Counted),
        None => (counted.total(), BillKind::Counted),
    };
    if tokens > bound {
        return Charge { tokens: bound, kind: BillKind::CappedAtBound };
    }
    Charge { tokens, kind }
}
