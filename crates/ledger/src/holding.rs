//! One account's rights to one budget.

use serde::{Deserialize, Serialize};
use stackpost_types::{AccountId, Tokens};
use std::collections::BTreeMap;

/// Rights of one account to one budget. Every total is monotone, except `reserved`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    issued: Tokens,
    received: BTreeMap<AccountId, Tokens>,
    sent: BTreeMap<AccountId, Tokens>,
    returned: Tokens,
    spent: Tokens,
    reserved: Tokens,
    // Sums of the two maps, so that `available` takes constant time.
    received_sum: Tokens,
    sent_sum: Tokens,
}

impl Holding {
    /// What may still be reserved, sent or returned.
    pub fn available(&self) -> Tokens {
        let total_in = self.issued + self.received_sum;
        let total_out = self.sent_sum + self.returned + self.spent + self.reserved;
        total_in - total_out
    }

    /// Whether more was sent, returned, spent and reserved than issued and received. Never true;
    /// checked by tests.
    pub fn is_overdrawn(&self) -> bool {
        let total_out = self.sent_sum + self.returned + self.spent + self.reserved;
        total_out > self.issued + self.received_sum
    }

    /// Total billed.
    pub fn spent(&self) -> Tokens {
        self.spent
    }

    /// The most that unsettled requests may still cost.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }

    /// Total returned to the control plane.
    pub fn returned(&self) -> Tokens {
        self.returned
    }

    /// Total issued by the control plane, as far as known here.
    pub fn issued(&self) -> Tokens {
        self.issued
    }

    /// Totals sent to each account.
    pub fn sent(&self) -> &BTreeMap<AccountId, Tokens> {
        &self.sent
    }

    /// Total received from `from`.
    pub fn received_from(&self, from: &AccountId) -> Tokens {
        self.received.get(from).copied().unwrap_or_default()
    }

    pub(crate) fn raise_issued(&mut self, total: Tokens) {
        self.issued = self.issued.max(total);
    }

    pub(crate) fn raise_received(&mut self, from: &AccountId, total: Tokens) {
        let known = self.received.entry(from.clone()).or_default();
        self.received_sum += total - *known;
        *known = total.max(*known);
    }

    pub(crate) fn raise_sent(&mut self, to: &AccountId, total: Tokens) {
        let known = self.sent.entry(to.clone()).or_default();
        self.sent_sum += total - *known;
        *known = total.max(*known);
    }

    pub(crate) fn raise_returned(&mut self, total: Tokens) {
        self.returned = self.returned.max(total);
    }

    pub(crate) fn reserve(&mut self, amount: Tokens) {
        self.reserved += amount;
    }

    pub(crate) fn release(&mut self, amount: Tokens) {
        self.reserved = self.reserved - amount;
    }

    pub(crate) fn spend(&mut self, amount: Tokens) {
        self.spent += amount;
    }
}
