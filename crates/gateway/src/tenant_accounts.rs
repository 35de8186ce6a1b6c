//! What a router does with the accounts of tenants: which it uses, and which routers lend to it.

use crate::decision_log;
use crate::router::Router;
use stackpost_gateway_core::HolderChange;
use stackpost_prepaid::BudgetForecast;
use stackpost_types::{TenantName, Tokens};
use std::net::SocketAddr;

impl Router {
    /// Whether a request may use its tenant's budget, whose withheld last part is kept for cheaper
    /// requests.
    pub(crate) fn may_reserve(&self, tenant: &TenantName, amount: Tokens) -> bool {
        let forecast = self.forecasts.borrow().get(tenant).copied();
        self.wallet.borrow_mut().admits(tenant, amount, forecast)
    }

    /// Reserves tokens of an account that this router holds, and records the demand and what is
    /// lacking.
    pub(crate) fn reserve_as_holder(&self, tenant: &TenantName, amount: Tokens) -> bool {
        let now = self.now();
        self.may_reserve(tenant, amount)
            && self.wallet.borrow_mut().reserve(now, tenant, amount).is_ok()
    }

    /// Reserves tokens that the wallet holds already, without recording demand: this router does not
    /// hold the tenant's account, so the leader should not grant it more.
    pub(crate) fn reserve_held(&self, tenant: &TenantName, amount: Tokens) -> bool {
        let now = self.now();
        let is_covered = self.wallet.borrow().covers(now, tenant, amount);
        is_covered
            && self.may_reserve(tenant, amount)
            && self.wallet.borrow_mut().retry_reserve(now, tenant, amount).is_ok()
    }

    /// Routers to ask for tokens of a tenant before this one uses its own wallet; none if it owns
    /// its zone's account.
    pub(crate) fn token_lenders(&self, tenant: &TenantName) -> Vec<SocketAddr> {
        let mut lenders = self.account_owners.borrow().lenders_in_zone(self.now(), tenant);
        if !lenders.is_empty() && !self.is_connected_to_leader() {
            lenders.extend(self.remote_token_lenders(tenant));
        }
        lenders
    }

    /// Number of routers of the own zone that would be asked for tokens of a tenant now.
    pub fn token_lender_count(&self, tenant: &TenantName) -> usize {
        self.account_owners.borrow().lenders_in_zone(self.now(), tenant).len()
    }

    /// Whether this router owns its zone's account of a tenant if the owner is unresponsive.
    pub(crate) fn is_second_owner(&self, tenant: &TenantName) -> bool {
        self.account_owners.borrow().is_second(self.now(), tenant)
    }

    /// Routers of other zones that own an account of a tenant.
    pub(crate) fn remote_token_lenders(&self, tenant: &TenantName) -> Vec<SocketAddr> {
        self.account_owners.borrow().lenders_in_other_zones(self.now(), tenant)
    }

    /// Whether this router holds an account of a tenant because of the demand of its own callers.
    /// Nobody does while only the last part of the budget is left, which covers no request if it is
    /// split.
    pub(crate) fn holds_account(&self, tenant: &TenantName) -> bool {
        let is_scarce = || self.forecasts.borrow().get(tenant) == Some(&BudgetForecast::Scarce);
        self.load_settings().accounts_by_demand
            && self.account_holders.borrow().is_holder(tenant)
            && !is_scarce()
    }

    /// Records that one of this router's own callers draws on a tenant's budget.
    pub(crate) fn on_budget_request(&self, tenant: &TenantName) {
        let change = self.account_holders.borrow_mut().on_request(self.now(), tenant);
        self.on_holder_changes(change);
    }

    /// Ends the accounts whose demand has ceased.
    pub(crate) fn expire_account_holders(&self) {
        let changes = self.account_holders.borrow_mut().expire(self.now());
        self.on_holder_changes(changes);
    }

    fn on_holder_changes(&self, changes: impl IntoIterator<Item = HolderChange>) {
        for change in changes {
            decision_log::holder_changed(self, &change);
            self.metrics.record_accounts_held(self.account_holders.borrow().held());
        }
    }

    /// Returns tokens of budgets whose accounts other routers own. While disconnected from the
    /// leader nobody else could use them.
    pub(crate) fn release_unowned_tokens(&self) {
        if self.is_connected_to_leader() {
            let (now, owners) = (self.now(), self.account_owners.borrow());
            self.wallet.borrow_mut().return_unneeded(|tenant| {
                owners.is_owner(now, tenant) || self.holds_account(tenant)
            });
        }
    }
}
