//! The router's side: what it holds, has reserved and has spent.

use crate::ledger::{Allotment, RESERVE_UNLOCK_DELAY};
use crate::policy::{AccountReport, BudgetForecast};
use crate::rate::DemandRate;
use stackpost_types::{Millis, TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

/// Weight of the mean against the newest amount.
const MEAN_KEPT: u64 = 31;
/// A request is cheap if it costs at most this part of the mean, in thousandths.
const CHEAP_PERMILLE: u64 = 500;

/// A reservation that does not fit what the router may spend now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens that are missing.
    pub missing: Tokens,
}

/// What a router holds of one tenant's budget at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// What the hand has left.
    pub primary: Tokens,
    /// What the reserve has left, locked or not.
    pub reserve: Tokens,
    /// What may be reserved now.
    pub spendable: Tokens,
    /// Set aside for requests under way.
    pub reserved: Tokens,
    /// Time since the last contact with a leader.
    pub since_contact: Millis,
}

#[derive(Clone, Debug, Default)]
struct Account {
    allotment: Allotment,
    spent: Tokens,
    reserved: Tokens,
    /// Amount asked for and not yet covered: the largest, or the smallest of a budget of which only the end is left.
    wanted: Tokens,
    /// Whether only the end of the budget is left, by the leader's word.
    is_scarce: bool,
    largest_request: Tokens,
    /// Mean of the amounts asked for of late.
    mean: Tokens,
    demand: DemandRate,
}

impl Account {
    fn used(&self) -> Tokens {
        self.spent + self.reserved
    }

    fn note_amount(&mut self, amount: Tokens) {
        self.mean = match self.mean {
            Tokens::ZERO => amount,
            mean => mean.scaled(MEAN_KEPT, MEAN_KEPT + 1) + amount.scaled(1, MEAN_KEPT + 1),
        };
    }

    /// Many small requests can be covered by the end of a budget, a large one hides them from the leader.
    fn note_wanted(&mut self, amount: Tokens) {
        self.wanted = match self.is_scarce && !self.wanted.is_zero() {
            true => self.wanted.min(amount),
            false => self.wanted.max(amount),
        };
    }

    /// What the hand has left.
    fn primary_left(&self) -> Tokens {
        self.allotment.usable_primary() - self.allotment.returned - self.used()
    }

    /// What is held and not used, in the hand and in the reserve.
    fn unused(&self) -> Tokens {
        self.allotment.outstanding() - self.used()
    }

    /// What may be reserved when the last contact was `since_contact` ago.
    fn spendable(&self, since_contact: Millis) -> Tokens {
        let open_for = since_contact.0.checked_sub(RESERVE_UNLOCK_DELAY.0).map(Millis);
        let drawn = open_for
            .map(|open| self.allotment.draw_rate.max_drawn_within(open))
            .unwrap_or_default();
        let unlocked = self.allotment.usable_primary() + drawn.min(self.allotment.reserve());
        unlocked - self.allotment.returned - self.used()
    }
}

/// Allotments of one router life.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    accounts: BTreeMap<TenantName, Account>,
    /// Last contact with a leader.
    contact: Timestamp,
}

impl Wallet {
    /// Notes a contact with a leader. The reserve stays locked for [`RESERVE_UNLOCK_DELAY`] from now.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.contact = self.contact.max(now);
    }

    /// The last contact with a leader.
    pub fn contact(&self) -> Timestamp {
        self.contact
    }

    /// Sets `amount` aside before a request is sent.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        amount: Tokens,
    ) -> Result<(), Shortfall> {
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.demand.record(now, amount);
        account.largest_request = account.largest_request.max(amount);
        account.note_amount(amount);
        self.retry_reserve(now, tenant, amount)
    }

    /// Whether a request may draw on a budget with this outlook: the end of a budget serves cheap requests only. One that
    /// may not still counts in the mean by which requests are cheap, but not as demand, since nothing of a scarce budget
    /// is handed out by demand.
    pub fn admits(
        &mut self,
        tenant: &TenantName,
        amount: Tokens,
        forecast: Option<BudgetForecast>,
    ) -> bool {
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.is_scarce = forecast == Some(BudgetForecast::Scarce);
        let is_cheap = amount <= account.mean.scaled(CHEAP_PERMILLE, 1_000);
        let admitted = !account.is_scarce || is_cheap;
        if !admitted {
            account.note_amount(amount);
        }
        admitted
    }

    /// Tries again for a request whose demand has been noted before.
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
            account.note_wanted(amount);
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

    /// Takes in what the ledger has handed to this life. Returns whether the hand has grown.
    pub fn on_allotted(&mut self, tenant: &TenantName, allotment: &Allotment) -> bool {
        let account = self.accounts.entry(tenant.clone()).or_default();
        let before = account.allotment.primary;
        account.allotment.merge(allotment);
        account.allotment.primary > before
    }

    /// Gives back what is held unused beyond `keep`, of the reserve first.
    pub fn return_excess(&mut self, tenant: &TenantName, keep: Tokens) {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return;
        };
        let excess = account.unused() - keep;
        let of_reserve = excess.min(account.unused() - account.primary_left());
        let of_hand = (excess - of_reserve).min(account.primary_left());
        account.allotment.released += of_reserve;
        account.allotment.returned += of_hand;
    }

    /// Gives back what is held unused of every tenant for which `keeps` does not hold.
    pub fn return_unneeded(&mut self, keeps: impl Fn(&TenantName) -> bool) {
        let unneeded = |(tenant, account): (&TenantName, &Account)| {
            let is_held = !account.unused().is_zero();
            (is_held && !keeps(tenant)).then(|| tenant.clone())
        };
        let tenants: Vec<TenantName> = self.accounts.iter().filter_map(unneeded).collect();
        tenants.iter().for_each(|tenant| self.return_excess(tenant, Tokens::ZERO));
    }

    /// What is held of `tenant`'s budget, for logs.
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

    /// What the hand of `tenant` has left.
    pub fn primary_left(&self, tenant: &TenantName) -> Tokens {
        self.accounts.get(tenant).map(Account::primary_left).unwrap_or_default()
    }

    /// Whether this router has had to do with any budget.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// What the ledger's leader needs to know. A request that still waits asks again and is named
    /// in the next report, too.
    pub fn report(&mut self, now: Timestamp) -> Vec<(TenantName, AccountReport)> {
        let report = |(tenant, account): (&TenantName, &mut Account)| {
            let report = AccountReport {
                returned: account.allotment.returned,
                released: account.allotment.released,
                used: account.used(),
                wanted: std::mem::take(&mut account.wanted),
                largest_request: account.largest_request,
                rate: account.demand.per_second(now),
            };
            (tenant.clone(), report)
        };
        self.accounts.iter_mut().map(report).collect()
    }

    /// What each tenant has spent or reserved, for the end of this life.
    pub fn used(&self) -> BTreeMap<TenantName, Tokens> {
        self.accounts.iter().map(|(tenant, account)| (tenant.clone(), account.used())).collect()
    }
}
