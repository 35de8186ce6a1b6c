//! The router's side: what it holds, has reserved and has spent.

use crate::policy::AccountReport;
use crate::rate::DemandRate;
use stackpost_types::{TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

/// A reservation that does not fit what the router holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens that are missing.
    pub missing: Tokens,
}

#[derive(Clone, Debug, Default)]
struct Account {
    allotted: Tokens,
    returned: Tokens,
    spent: Tokens,
    reserved: Tokens,
    /// Largest amount asked for and not yet covered.
    wanted: Tokens,
    largest: Tokens,
    demand: DemandRate,
}

impl Account {
    fn spendable(&self) -> Tokens {
        self.allotted - self.returned - self.spent - self.reserved
    }
}

/// Allotments of one router life.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    accounts: BTreeMap<TenantName, Account>,
}

impl Wallet {
    /// Sets `amount` aside before a request is sent.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        amount: Tokens,
    ) -> Result<(), Shortfall> {
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.demand.note(now, amount);
        account.largest = account.largest.max(amount);
        Self::take(account, amount)
    }

    /// Tries again for a request whose demand has been noted before.
    pub fn retry_reserve(
        &mut self,
        tenant: &TenantName,
        amount: Tokens,
    ) -> Result<(), Shortfall> {
        Self::take(self.accounts.entry(tenant.clone()).or_default(), amount)
    }

    fn take(account: &mut Account, amount: Tokens) -> Result<(), Shortfall> {
        let spendable = account.spendable();
        if spendable < amount {
            account.wanted = account.wanted.max(amount);
            return Err(Shortfall { missing: amount - spendable });
        }
        account.reserved += amount;
        Ok(())
    }

    /// Ends a reservation: `used` of it is spent, the rest can be spent again.
    pub fn settle(&mut self, tenant: &TenantName, reserved: Tokens, used: Tokens) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.reserved = account.reserved - reserved;
            account.spent += used.min(reserved);
        }
    }

    /// Takes in the total that the ledger has handed to this life. Returns whether it has grown.
    pub fn on_allotted(&mut self, tenant: &TenantName, total: Tokens) -> bool {
        let account = self.accounts.entry(tenant.clone()).or_default();
        let grown = total > account.allotted;
        account.allotted = account.allotted.max(total);
        if grown {
            account.wanted = Tokens::ZERO;
        }
        grown
    }

    /// Gives back what can be spent beyond `keep`.
    pub fn give_back_above(&mut self, tenant: &TenantName, keep: Tokens) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.returned += account.spendable() - keep;
        }
    }

    /// Gives back all that can be spent, for a planned stop.
    pub fn give_back_all(&mut self) {
        for account in self.accounts.values_mut() {
            account.returned += account.spendable();
        }
    }

    /// Tokens of `tenant` that can be reserved now.
    pub fn spendable(&self, tenant: &TenantName) -> Tokens {
        self.accounts.get(tenant).map(Account::spendable).unwrap_or_default()
    }

    /// What the ledger's leader needs to know. A request that still waits asks again and is named
    /// in the next report, too.
    pub fn report(&mut self, now: Timestamp) -> Vec<(TenantName, AccountReport)> {
        let report = |(tenant, account): (&TenantName, &mut Account)| {
            let report = AccountReport {
                returned: account.returned,
                used: account.spent + account.reserved,
                wanted: std::mem::take(&mut account.wanted),
                largest: account.largest,
                rate: account.demand.per_second(now),
            };
            (tenant.clone(), report)
        };
        self.accounts.iter_mut().map(report).collect()
    }

    /// What each tenant has spent or reserved, for the end of this life.
    pub fn used(&self) -> BTreeMap<TenantName, Tokens> {
        self.accounts
            .iter()
            .map(|(tenant, account)| (tenant.clone(), account.spent + account.reserved))
            .collect()
    }
}
