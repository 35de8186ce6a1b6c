//! The replicated state of an account.

use crate::holding::Holding;
use crate::record::*;
use serde::{Deserialize, Serialize};
use stackpost_types::*;
use std::collections::BTreeMap;

/// State that the owner and the backup of an account both hold. Changed only by [`Self::apply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountState {
    holdings: BTreeMap<BudgetName, Holding>,
    intents: BTreeMap<RequestId, Intent>,
    bills: BTreeMap<u64, Bill>,
    last_bill: u64,
    claims: BTreeMap<KeyDigest, KeyClaim>,
    answers: BTreeMap<RequestId, StoredAnswer>,
}

impl AccountState {
    /// Rights to `budget`.
    pub fn holding(&self, budget: &BudgetName) -> Option<&Holding> {
        self.holdings.get(budget)
    }

    /// Rights to every budget.
    pub fn holdings(&self) -> &BTreeMap<BudgetName, Holding> {
        &self.holdings
    }

    /// What may still be reserved of `budget`.
    pub fn available(&self, budget: &BudgetName) -> Tokens {
        self.holdings.get(budget).map(Holding::available).unwrap_or_default()
    }

    /// Requests that may have been sent and are not yet settled.
    pub fn intents(&self) -> &BTreeMap<RequestId, Intent> {
        &self.intents
    }

    /// Bills that a majority of control replicas has not yet stored.
    pub fn bills(&self) -> &BTreeMap<u64, Bill> {
        &self.bills
    }

    /// Number of the newest bill.
    pub fn last_bill(&self) -> u64 {
        self.last_bill
    }

    /// The request that `key` belongs to.
    pub fn claim(&self, key: &KeyDigest) -> Option<&KeyClaim> {
        self.claims.get(key)
    }

    /// Claims of all keys in this account.
    pub fn claims(&self) -> &BTreeMap<KeyDigest, KeyClaim> {
        &self.claims
    }

    /// The stored answer of a request.
    pub fn answer(&self, request: &RequestId) -> Option<&StoredAnswer> {
        self.answers.get(request)
    }

    /// All stored answers.
    pub fn answers(&self) -> &BTreeMap<RequestId, StoredAnswer> {
        &self.answers
    }

    /// Applies one change. Deterministic. Changes that no longer apply are ignored: a second
    /// settlement of a request has no effect.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Issued { budget, total } => self.holding_mut(budget).raise_issued(*total),
            Record::Received { budget, from, total } => {
                self.holding_mut(budget).raise_received(from, *total);
            }
            Record::Sent { budget, to, total } => self.holding_mut(budget).raise_sent(to, *total),
            Record::Returned { budget, total } => self.holding_mut(budget).raise_returned(*total),
            Record::Intent { request, intent } => self.begin_request(*request, intent.clone()),
            Record::Release { request } => {
                self.remove_intent(request);
            }
            Record::Settle { request, tokens, kind, at, answer } => {
                self.settle(*request, *tokens, *kind, *at, answer.clone());
            }
            Record::BillsArchived { up_to } => self.bills = self.bills.split_off(&(up_to + 1)),
            Record::Claim { key, claim } => {
                self.claims.insert(*key, claim.clone());
            }
            Record::DropKey { key } => {
                self.claims.remove(key);
            }
            Record::DropAnswer { request } => {
                self.answers.remove(request);
            }
        }
    }

    fn holding_mut(&mut self, budget: &BudgetName) -> &mut Holding {
        if !self.holdings.contains_key(budget) {
            self.holdings.insert(budget.clone(), Holding::default());
        }
        self.holdings.get_mut(budget).expect("inserted above")
    }

    fn begin_request(&mut self, request: RequestId, intent: Intent) {
        self.remove_intent(&request);
        self.holding_mut(&intent.budget).reserve(intent.bound);
        self.intents.insert(request, intent);
    }

    fn remove_intent(&mut self, request: &RequestId) -> Option<Intent> {
        let intent = self.intents.remove(request)?;
        self.holding_mut(&intent.budget).release(intent.bound);
        Some(intent)
    }

    fn settle(
        &mut self,
        request: RequestId,
        tokens: Tokens,
        kind: BillKind,
        at: WallTime,
        answer: Option<StoredAnswer>,
    ) {
        let Some(intent) = self.remove_intent(&request) else {
            return;
        };
        let tokens = tokens.min(intent.bound);
        self.holding_mut(&intent.budget).spend(tokens);
        self.last_bill += 1;
        let bill = Bill {
            sequence: self.last_bill,
            request,
            tenant: intent.tenant,
            budget: intent.budget,
            tokens,
            kind,
            at,
        };
        self.bills.insert(bill.sequence, bill);
        if let Some(answer) = answer {
            self.answers.insert(request, answer);
        }
    }
}
