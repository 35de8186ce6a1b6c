//! The router's side: tokens held, reserved and spent per tenant.

use crate::ledger::{Allotment, RESERVE_UNLOCK_DELAY};
use crate::policy::{AccountReport, BudgetForecast};
use crate::rate::DemandRate;
use stackpost_types::{Millis, TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

/// Weight of the previous mean against the newest amount, which has weight one.
const MEAN_WEIGHT: u64 = 31;
/// A request is cheap if it costs at most this part of the mean, in thousandths.
const CHEAP_PERMILLE: u64 = 500;

/// A reservation that does not fit what the router may spend now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens lacking for the reservation.
    pub missing: Tokens,
}

/// What a router holds of one tenant's budget at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// What is left of the primary.
    pub primary: Tokens,
    /// What is left of the reserve, locked or not.
    pub reserve: Tokens,
    /// What may be reserved now.
    pub spendable: Tokens,
    /// Reserved for requests in flight.
    pub reserved: Tokens,
    /// Time since the last contact with a leader.
    pub since_contact: Millis,
}

#[derive(Clone, Debug, Default)]
struct Account {
    allotment: Allotment,
    spent: Tokens,
    reserved: Tokens,
    /// Requested amount that was not covered: the largest, or the smallest of a scarce budget.
    wanted: Tokens,
    /// Whether only the last part of the budget is left, according to the leader's forecast.
    is_scarce: bool,
    largest_request: Tokens,
    /// Moving average of the requested amounts.
    mean_request: Tokens,
    demand: DemandRate,
}

impl Account {
    fn used(&self) -> Tokens {
        self.spent + self.reserved
    }

    fn record_amount(&mut self, amount: Tokens) {
        self.mean_request = match self.mean_request {
            Tokens::ZERO => amount,
            mean_request => {
                mean_request.scaled(MEAN_WEIGHT, MEAN_WEIGHT + 1)
                    + amount.scaled(1, MEAN_WEIGHT + 1)
            }
        };
    }

    /// The last part of a budget can cover many small requests; reporting only the largest amount
    /// would hide them from the leader.
    fn record_wanted(&mut self, amount: Tokens) {
        self.wanted = match self.is_scarce && !self.wanted.is_zero() {
            true => self.wanted.min(amount),
            false => self.wanted.max(amount),
        };
    }

    fn primary_left(&self) -> Tokens {
        self.allotment.usable_primary() - self.allotment.returned - self.used()
    }

    /// Unused tokens of primary and reserve.
    fn unused(&self) -> Tokens {
        self.allotment.outstanding() - self.used()
    }

    /// What may be reserved when `since_contact` has passed since the last leader contact.
    fn spendable(&self, since_contact: Millis) -> Tokens {
        let unlocked_for = since_contact.0.checked_sub(RESERVE_UNLOCK_DELAY.0).map(Millis);
        let unlocked_reserve = unlocked_for
            .map(|unlocked_for| self.allotment.draw_rate.max_drawn_within(unlocked_for))
            .unwrap_or_default();
        let unlocked =
            self.allotment.usable_primary() + unlocked_reserve.min(self.allotment.reserve());
        unlocked - self.allotment.returned - self.used()
    }
}

/// Allotments of one router incarnation.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    accounts: BTreeMap<TenantName, Account>,
    /// Last contact with a leader.
    contact: Timestamp,
}

impl Wallet {
    /// Records a contact with a leader. The reserve stays locked for [`RESERVE_UNLOCK_DELAY`] from
    /// `now`.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.contact = self.contact.max(now);
    }

    /// The last contact with a leader.
    pub fn contact(&self) -> Timestamp {
        self.contact
    }

    /// Reserves `amount` before a request is sent, and records it as demand.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        amount: Tokens,
    ) -> Result<(), Shortfall> {
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.demand.record(now, amount);
        account.largest_request = account.largest_request.max(amount);
        account.record_amount(amount);
        self.retry_reserve(now, tenant, amount)
    }

    /// Whether a request may draw on a budget with this forecast: a scarce budget serves cheap
    /// requests only. A request that is not admitted still counts in the mean against which
    /// requests are classed as cheap, but not as demand, since grants from a scarce budget do not
    /// follow demand.
    pub fn admits(
        &mut self,
        tenant: &TenantName,
        amount: Tokens,
        forecast: Option<BudgetForecast>,
    ) -> bool {
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.is_scarce = forecast == Some(BudgetForecast::Scarce);
        let is_cheap = amount <= account.mean_request.scaled(CHEAP_PERMILLE, 1_000);
        let admitted = !account.is_scarce || is_cheap;
        if !admitted {
            account.record_amount(amount);
        }
        admitted
    }

    /// Whether `amount` could be reserved now. Neither demand nor a wanted amount is recorded.
    pub fn covers(&self, now: Timestamp, tenant: &TenantName, amount: Tokens) -> bool {
        let since_contact = now.since(self.contact);
        let account = self.accounts.get(tenant);
        account.is_some_and(|account| account.spendable(since_contact) >= amount)
    }

    /// Tries again to reserve for a request whose demand has been recorded before.
    pub fn retry_reserve(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        amount: Tokens,
    ) -> Result<(), Shortfall> {
        let since_contact = now.since(self.contact);
        let account = self.accounts.entry(tenant.clone()).or_default();
        let spendable = account.spendable(since_contact);
        if spendable < amount {
            account.record_wanted(amount);
            return Err(Shortfall { missing: amount - spendable });
        }
        account.reserved += amount;
        Ok(())
    }

    /// Settles a reservation: `used` of it is spent, the rest becomes available again.
    pub fn settle(&mut self, tenant: &TenantName, reserved: Tokens, used: Tokens) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.reserved = account.reserved - reserved;
            account.spent += used.min(reserved);
        }
    }

    /// Merges an allotment received from the ledger. Returns whether the primary has grown.
    pub fn on_allotted(&mut self, tenant: &TenantName, allotment: &Allotment) -> bool {
        let account = self.accounts.entry(tenant.clone()).or_default();
        let before = account.allotment.primary;
        account.allotment.merge(allotment);
        account.allotment.primary > before
    }

    /// Returns unused tokens beyond `keep`, from the reserve first.
    pub fn return_excess(&mut self, tenant: &TenantName, keep: Tokens) {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let excess = account.unused() - keep;
        let from_reserve = excess.min(account.unused() - account.primary_left());
        let from_primary = (excess - from_reserve).min(account.primary_left());
        account.allotment.released += from_reserve;
        account.allotment.returned += from_primary;
    }

    /// Returns the unused tokens of every tenant for which `is_needed` is false.
    pub fn return_unneeded(&mut self, is_needed: impl Fn(&TenantName) -> bool) {
        let unneeded = |(tenant, account): (&TenantName, &Account)| {
            let is_held = !account.unused().is_zero();
            (is_held && !is_needed(tenant)).then(|| tenant.clone())
        };
        let tenants: Vec<TenantName> = self.accounts.iter().filter_map(unneeded).collect();
        tenants.iter().for_each(|tenant| self.return_excess(tenant, Tokens::ZERO));
    }

    /// What is held of `tenant`'s budget at `now`, for logs.
    pub fn balance(&self, now: Timestamp, tenant: &TenantName) -> Balance {
        let since_contact = now.since(self.contact);
        let Some(account) = self.accounts.get(tenant) else {
            return Balance { since_contact, ..Balance::default() };
        };
        let primary = account.primary_left();
        Balance {
            primary,
            reserve: account.unused() - primary,
            spendable: account.spendable(since_contact),
            reserved: account.reserved,
            since_contact,
        }
    }

    /// What is left of `tenant`'s primary.
    pub fn primary_left(&self, tenant: &TenantName) -> Tokens {
        self.accounts.get(tenant).map(Account::primary_left).unwrap_or_default()
    }

    /// Whether this router has an account for any tenant.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The report for the leader. Clears the wanted amounts; a request that is still waiting
    /// retries its reservation and so appears in the next report, too.
    pub fn report(&mut self, now: Timestamp) -> Vec<(TenantName, AccountReport)> {
        self.report_of_holder(now, |_| false)
    }

    /// The report of a router that holds accounts by demand. The rate of such an account is the
    /// recent one: the load balancer moves a tenant after 2 s, and the average over several seconds
    /// would request too few tokens for all of that time.
    pub fn report_of_holder(
        &mut self,
        now: Timestamp,
        holds: impl Fn(&TenantName) -> bool,
    ) -> Vec<(TenantName, AccountReport)> {
        let report = |(tenant, account): (&TenantName, &mut Account)| {
            let rate = match holds(tenant) {
                true => account.demand.recent_per_second(now),
                false => account.demand.per_second(now),
            };
            let report = AccountReport {
                returned: account.allotment.returned,
                released: account.allotment.released,
                used: account.used(),
                wanted: std::mem::take(&mut account.wanted),
                largest_request: account.largest_request,
                rate,
            };
            (tenant.clone(), report)
        };
        self.accounts.iter_mut().map(report).collect()
    }

    /// What each tenant has spent or reserved: the final usage of a stopping router.
    pub fn used(&self) -> BTreeMap<TenantName, Tokens> {
        self.accounts.iter().map(|(tenant, account)| (tenant.clone(), account.used())).collect()
    }
}
