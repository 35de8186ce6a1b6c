//! Reservation of a request's maximum cost before anything is sent.

use crate::call::{CallId, CallState, Stage};
use crate::pulls::PullSearch;
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use crate::trace::TraceStep;
use crate::transfers::{OutgoingTransfer, RemoteHolding, ReportedHoldings};
use stackpost_ledger::policy::DemandAverage;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// `retry_after` of refusals because of an exhausted budget: reserved rights of other requests may
/// become available.
const RETRY_AFTER_EXHAUSTED: Millis = Millis(5_000);
/// `retry_after` of refusals because another machine or the rights are unreachable.
pub(crate) const RETRY_AFTER_PARTITION: Millis = Millis(2_000);

/// Rights reserved locally without a record, the calls that wait for rights, and the state of
/// pulls, transfers and reports.
#[derive(Debug, Default)]
pub(crate) struct RightsState {
    reserved: BTreeMap<(AccountId, BudgetName), Tokens>,
    pub waiting: BTreeMap<BudgetName, VecDeque<CallId>>,
    pub pull_searches: BTreeMap<BudgetName, PullSearch>,
    pub outgoing: BTreeMap<(AccountId, AccountId, BudgetName), OutgoingTransfer>,
    pub demand: BTreeMap<BudgetName, DemandAverage>,
    pub remote_holdings: BTreeMap<BudgetName, BTreeMap<AccountId, RemoteHolding>>,
    pub last_rebalanced_at: Timestamp,
    /// When each account's last report of its holdings was received.
    pub last_report_at: BTreeMap<AccountId, Timestamp>,
    /// What was last reported to the owner of each home account.
    pub reported: BTreeMap<NodeId, ReportedHoldings>,
    /// Budgets of the last report; one that is no longer active is reported once more.
    pub reported_budgets: BTreeSet<BudgetName>,
}

impl RightsState {
    pub fn reserved_locally(&self, account: &AccountId, budget: &BudgetName) -> Tokens {
        self.reserved.get(&(account.clone(), budget.clone())).copied().unwrap_or_default()
    }

    fn reserve_local(&mut self, account: &AccountId, budget: &BudgetName, amount: Tokens) {
        *self.reserved.entry((account.clone(), budget.clone())).or_default() += amount;
    }

    pub fn release_local(&mut self, account: &AccountId, budget: &BudgetName, amount: Tokens) {
        let key = (account.clone(), budget.clone());
        if let Some(held) = self.reserved.get_mut(&key) {
            *held = *held - amount;
            if held.is_zero() {
                self.reserved.remove(&key);
            }
        }
    }
}

impl Router {
    /// Rights of `budget` in `account` that no request has reserved.
    pub(crate) fn unreserved_rights(&self, account: &AccountId, budget: &BudgetName) -> Tokens {
        let held = self.owned.get(account).map(|owned| owned.state().available(budget));
        held.unwrap_or_default() - self.rights.reserved_locally(account, budget)
    }

    /// Queues a call for rights to its maximum cost, or refuses it if they can't be granted.
    pub(crate) fn request_rights(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if self.is_solo() && (call.is_keyed() || !call.repeatable) {
            let refusal = Refusal::not_run(
                RefusalReason::NoBackup,
                "a keyed or non-repeatable request needs a second machine, and none answers",
            );
            self.refuse(id, refusal.retry_after(RETRY_AFTER_PARTITION));
            return;
        }
        let (budget, bound) = (call.budget.clone(), call.bound);
        self.rights.demand.entry(budget.clone()).or_default().record(bound);
        if bound > self.directory.budget_limit(&budget) {
            let detail = format!("may cost {bound}, more than the whole budget {budget}");
            let refusal = Refusal::not_run(RefusalReason::BudgetExhausted, detail);
            self.refuse(id, refusal);
            return;
        }
        self.set_stage(id, Stage::AwaitingRights);
        self.rights.waiting.entry(budget.clone()).or_default().push_back(id);
        self.reserve_for_waiting(&budget);
        self.start_pulls(&budget);
    }

    /// Reserves rights for waiting calls in order, as far as the available rights suffice.
    pub(crate) fn reserve_for_waiting(&mut self, budget: &BudgetName) {
        let account = self.paying_account();
        while let Some(id) = self.first_waiting(budget) {
            let Some(call) = self.calls.get(&id) else {
                self.remove_from_rights_queue(budget, id);
                continue;
            };
            let bound = call.bound;
            if self.unreserved_rights(&account, budget) < bound {
                self.reclaim_solo(budget);
            }
            let enough = self.unreserved_rights(&account, budget) >= bound;
            if !enough && !self.config.defects.skip_reserve {
                return;
            }
            self.remove_from_rights_queue(budget, id);
            self.reserve(id, account.clone(), bound);
        }
    }

    /// The call that has waited longest for rights to a budget.
    pub(crate) fn first_waiting(&self, budget: &BudgetName) -> Option<CallId> {
        self.rights.waiting.get(budget).and_then(|queue| queue.front().copied())
    }

    fn reserve(&mut self, id: CallId, account: AccountId, bound: Tokens) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.account = account.clone();
        call.reserved = true;
        let budget = call.budget.clone();
        self.rights.reserve_local(&account, &budget, bound);
        self.trace_call_step(id, TraceStep::Reserved { account, bound });
        self.enqueue(id);
    }

    /// Removes a call from the queue for rights. If no call is left, the search for the budget's
    /// rights ends.
    pub(crate) fn remove_from_rights_queue(&mut self, budget: &BudgetName, id: CallId) {
        let Some(queue) = self.rights.waiting.get_mut(budget) else {
            return;
        };
        queue.retain(|waiting| *waiting != id);
        if queue.is_empty() {
            self.rights.waiting.remove(budget);
            self.rights.pull_searches.remove(budget);
        }
    }

    /// Rights that the first waiting call lacks.
    pub(crate) fn shortfall(&self, budget: &BudgetName) -> Tokens {
        let Some(first) = self.rights.waiting.get(budget).and_then(|queue| queue.front()) else {
            return Tokens::ZERO;
        };
        let bound = self.calls.get(first).map(|call| call.bound).unwrap_or_default();
        bound - self.unreserved_rights(&self.paying_account(), budget)
    }

    /// Refuses the first waiting call, since no reachable account has enough rights.
    pub(crate) fn refuse_first_waiting(&mut self, budget: &BudgetName, unreachable: &[AccountId]) {
        let Some(id) = self.rights.waiting.get(budget).and_then(|queue| queue.front().copied())
        else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let bound = call.bound;
        let free = self.unreserved_rights(&self.paying_account(), budget);
        let refusal = if unreachable.is_empty() {
            let detail = format!("may cost {bound}; budget {budget} has {free} left here, no more");
            Refusal::not_run(RefusalReason::BudgetExhausted, detail)
                .retry_after(RETRY_AFTER_EXHAUSTED)
        } else {
            let peers: Vec<String> = unreachable.iter().map(ToString::to_string).collect();
            let detail = format!(
                "may cost {bound}; {free} of budget {budget} is here; no answer from {}",
                peers.join(", ")
            );
            Refusal::not_run(RefusalReason::RightsUnreachable, detail)
                .retry_after(RETRY_AFTER_PARTITION)
        };
        self.remove_from_rights_queue(budget, id);
        self.refuse(id, refusal);
    }

    /// Releases a call's local reservation once its intent record reserves the rights.
    pub(crate) fn move_reservation_to_intent(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if std::mem::take(&mut call.reserved) {
            let (account, budget, bound) = (call.account.clone(), call.budget.clone(), call.bound);
            self.rights.release_local(&account, &budget, bound);
        }
    }

    /// The account that new requests are charged to.
    pub(crate) fn paying_account(&self) -> AccountId {
        if self.is_solo() { self.solo.clone() } else { self.main.clone() }
    }

    /// Rights of the call's budget may have become available.
    pub(crate) fn on_rights_freed(&mut self, call: &CallState) {
        let budget = call.budget.clone();
        self.reserve_for_waiting(&budget);
    }
}
