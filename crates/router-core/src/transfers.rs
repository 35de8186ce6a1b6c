//! Movement of rights between accounts: transfers, rebalancing, recalls and the share of the
//! unmirrored (solo) account. The home accounts of a budget are those to which it was issued.

use crate::deferred::DeferredAction;
use crate::router::Router;
use stackpost_ledger::policy::{self, ZoneShare};
use stackpost_ledger::{Holding, Record};
use stackpost_protocol::{HoldingRow, Holdings, Message, Transfer, TransferAck};
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unacknowledged transfer is sent again.
const TRANSFER_RESEND_INTERVAL: Millis = Millis(300);
/// Rebalancing intervals after which a report counts as stale.
const STALE_INTERVALS: u64 = 5;

/// Rebalancing intervals after which an empty report is sent as a keep-alive.
const KEEPALIVE_INTERVALS: u64 = 3;
/// Rebalancing intervals after which an unchanged row is sent again, in case it was lost.
const REFRESH_INTERVALS: u64 = 30;
/// A row is sent if an amount has changed by more than the last amount divided by this.
const CHANGE_DIVISOR: u64 = 10;

/// The last report of one budget to the owner of a home account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedHolding {
    available: Tokens,
    demand: Tokens,
    at: Timestamp,
}

impl ReportedHolding {
    /// Whether the report is recent and close enough to the new amounts.
    fn is_current(&self, available: Tokens, demand: Tokens, now: Timestamp, interval: u64) -> bool {
        let is_close = |old: Tokens, new: Tokens| {
            let difference = (old - new).max(new - old);
            difference <= old.scaled(1, CHANGE_DIVISOR) && old.is_zero() == new.is_zero()
        };
        let recent = now.since(self.at) < Millis(interval * REFRESH_INTERVALS);
        recent && is_close(self.available, available) && is_close(self.demand, demand)
    }
}

/// The last reports to the owner of a home account, and when the last one was sent.
#[derive(Debug, Default)]
pub(crate) struct ReportedHoldings {
    rows: BTreeMap<BudgetName, ReportedHolding>,
    at: Timestamp,
}

/// A transfer that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingTransfer {
    pub total: Tokens,
    pub sent_at: Timestamp,
}

/// The last known holding of another account.
#[derive(Clone, Debug)]
pub(crate) struct RemoteHolding {
    pub zone: Option<ZoneName>,
    pub available: Tokens,
    pub demand: Tokens,
}

impl Router {
    /// Moves `amount` out of an account owned by this router. The transfer is sent once the
    /// sender's backup has acknowledged the change.
    pub(crate) fn transfer_rights(
        &mut self,
        from: &AccountId,
        to: &AccountId,
        budget: &BudgetName,
        amount: Tokens,
    ) {
        let sent_before = self.total_sent(from, to, budget).unwrap_or_default();
        let total = sent_before + amount;
        let record = Record::Sent { budget: budget.clone(), to: to.clone(), total };
        let action =
            DeferredAction::Transfer { from: from.clone(), to: to.clone(), budget: budget.clone() };
        self.record_and_defer(from, record, action);
        let key = (from.clone(), to.clone(), budget.clone());
        self.rights.outgoing.insert(key, OutgoingTransfer { total, sent_at: self.now });
    }

    pub(crate) fn on_transfer(&mut self, from: NodeId, transfer: Transfer) {
        let Transfer { budget, from: sender, to, total } = transfer;
        let Some(owned) = self.owned.get(&to) else {
            return;
        };
        let recorded = owned.state().holding(&budget).map(|holding| holding.received_from(&sender));
        let ack =
            TransferAck { budget: budget.clone(), from: sender.clone(), to: to.clone(), total };
        let action = DeferredAction::TransferAck { to: from, ack };
        if total > recorded.unwrap_or_default() {
            let record = Record::Received { budget: budget.clone(), from: sender, total };
            self.record_and_defer(&to, record, action);
        } else {
            let sequence = owned.sequence();
            self.defer(&to, sequence, action);
        }
        self.reserve_for_waiting(&budget);
        self.start_pulls(&budget);
    }

    pub(crate) fn on_transfer_ack(&mut self, ack: &TransferAck) {
        let key = (ack.from.clone(), ack.to.clone(), ack.budget.clone());
        let confirmed = self.rights.outgoing.get(&key).is_some_and(|sent| sent.total <= ack.total);
        if confirmed {
            self.rights.outgoing.remove(&key);
        }
    }

    pub(crate) fn tick_transfers(&mut self) {
        let now = self.now;
        let overdue: Vec<_> = self
            .rights
            .outgoing
            .iter_mut()
            .filter(|(_, sent)| now.since(sent.sent_at) >= TRANSFER_RESEND_INTERVAL)
            .map(|(key, sent)| {
                sent.sent_at = now;
                key.clone()
            })
            .collect();
        for (from, to, budget) in overdue {
            let Some(owned) = self.owned.get(&from) else {
                continue;
            };
            // The newest total may only be sent once the backup has acknowledged it.
            let sequence = owned.sequence();
            self.defer(
                &from,
                sequence,
                DeferredAction::Transfer { from: from.clone(), to, budget },
            );
        }
    }

    /// Sends every transfer total of an adopted account again, since the former owner may have
    /// crashed before sending it.
    pub(crate) fn resend_all_transfers(&mut self, account: &AccountId) {
        let Some(owned) = self.owned.get(account) else {
            return;
        };
        for (budget, holding) in owned.state().holdings() {
            for (to, total) in holding.sent() {
                let key = (account.clone(), to.clone(), budget.clone());
                self.rights
                    .outgoing
                    .insert(key, OutgoingTransfer { total: *total, sent_at: Timestamp(0) });
            }
        }
    }

    pub(crate) fn add_holder_hint(&mut self, budget: &BudgetName, account: &AccountId) {
        self.rights
            .remote_holdings
            .entry(budget.clone())
            .or_default()
            .entry(account.clone())
            .or_insert(RemoteHolding { zone: None, available: Tokens(1), demand: Tokens::ZERO });
    }

    pub(crate) fn on_holdings(&mut self, holdings: Holdings) {
        self.rights.last_report_at.insert(holdings.account.clone(), self.now);
        for row in holdings.rows {
            let held = RemoteHolding {
                zone: Some(holdings.zone.clone()),
                available: row.available,
                demand: row.demand,
            };
            self.rights
                .remote_holdings
                .entry(row.budget)
                .or_default()
                .insert(holdings.account.clone(), held);
        }
    }

    /// Handles a changed issue row of a budget: records issued rights and returns recalled ones.
    pub(crate) fn on_issue_row(&mut self, budget: &BudgetName) {
        let Some(issue) = self.directory.issue(budget) else {
            return;
        };
        let issued: Vec<(AccountId, Tokens)> = issue
            .issued
            .iter()
            .filter(|(account, _)| self.owned.contains_key(account))
            .map(|(account, total)| (account.clone(), *total))
            .collect();
        for (account, total) in issued {
            let recorded = self.owned[&account].state().holding(budget).map(Holding::issued);
            if total > recorded.unwrap_or_default() {
                self.record(&account, Record::Issued { budget: budget.clone(), total });
            }
        }
        self.return_recalled_rights(budget);
        self.reserve_for_waiting(budget);
    }

    fn return_recalled_rights(&mut self, budget: &BudgetName) {
        let Some(issue) = self.directory.issue(budget) else {
            return;
        };
        if issue.recall.is_zero() || !self.owned.contains_key(&self.main) {
            return;
        }
        let reported = issue.returned.get(&self.main).copied().unwrap_or_default();
        let recall = issue.recall;
        let holding = self.owned[&self.main].state().holding(budget);
        let returned = holding.map(Holding::returned).unwrap_or_default();
        let account = self.main.clone();
        if returned > reported {
            // The last return has not been confirmed: send it again and return no more.
            let sequence = self.owned[&account].sequence();
            let action =
                DeferredAction::Return { account: account.clone(), budget: budget.clone() };
            self.defer(&account, sequence, action);
            return;
        }
        let free = self.unreserved_rights(&account, budget);
        let amount = policy::recall_share(free, recall, self.directory.zone_count());
        if amount.is_zero() {
            return;
        }
        let record = Record::Returned { budget: budget.clone(), total: returned + amount };
        let action = DeferredAction::Return { account: account.clone(), budget: budget.clone() };
        self.record_and_defer(&account, record, action);
    }

    pub(crate) fn report_return(&mut self, account: &AccountId, budget: &BudgetName) {
        let Some(owned) = self.owned.get(account) else {
            return;
        };
        let Some(holding) = owned.state().holding(budget) else {
            return;
        };
        let message = Message::ReturnRights {
            budget: budget.clone(),
            account: account.clone(),
            total: holding.returned(),
        };
        self.send_to_control(&message);
    }

    pub(crate) fn tick_rebalancing(&mut self) {
        let interval = Millis(self.directory.policy().level_interval_ms);
        let elapsed = self.now.since(self.rights.last_rebalanced_at);
        if elapsed < interval || !self.directory.confirmed {
            return;
        }
        self.rights.last_rebalanced_at = self.now;
        for rate in self.rights.demand.values_mut() {
            rate.finish_interval(elapsed);
        }
        let budgets = self.active_budgets();
        self.report_holdings(&budgets);
        for budget in &budgets {
            self.fill_solo(budget);
            self.rebalance_zones(budget);
            self.return_recalled_rights(budget);
        }
    }

    /// Budgets with available rights or demand at this router.
    fn active_budgets(&self) -> BTreeSet<BudgetName> {
        let held = self.owned.get(&self.main).into_iter().flat_map(|main| {
            let holdings = main.state().holdings().iter();
            holdings.filter(|(_, held)| !held.available().is_zero()).map(|(name, _)| name.clone())
        });
        let demanded = self
            .rights
            .demand
            .iter()
            .filter(|(_, rate)| !rate.per_second().is_zero())
            .map(|(name, _)| name.clone());
        held.chain(demanded).collect()
    }

    /// Reports this router's holdings and demand to the accounts to which a budget was issued:
    /// they receive the pulls of other routers and rebalance rights between zones. Only changed
    /// rows are sent, and all rows again at long intervals, so that the cost follows the activity
    /// and not the number of budgets.
    fn report_holdings(&mut self, budgets: &BTreeSet<BudgetName>) {
        let now = self.now;
        let interval = self.directory.policy().level_interval_ms;
        let mut by_owner: BTreeMap<NodeId, Vec<HoldingRow>> = BTreeMap::new();
        let ended = self.rights.reported_budgets.difference(budgets).cloned().collect::<Vec<_>>();
        for budget in budgets.iter().chain(&ended) {
            let available = self.unreserved_rights(&self.main, budget);
            let demand = self.demand_here(budget);
            for owner in self.home_owners(budget) {
                let reported = self.rights.reported.entry(owner.clone()).or_default();
                let recorded = reported.rows.get(budget);
                if recorded
                    .is_some_and(|recorded| recorded.is_current(available, demand, now, interval))
                {
                    continue;
                }
                reported
                    .rows
                    .insert(budget.clone(), ReportedHolding { available, demand, at: now });
                let row = HoldingRow { budget: budget.clone(), available, demand };
                by_owner.entry(owner).or_default().push(row);
            }
        }
        self.rights.reported_budgets = budgets.clone();
        self.add_keepalives(&mut by_owner);
        for (owner, rows) in by_owner {
            if let Some(reported) = self.rights.reported.get_mut(&owner) {
                reported.at = now;
            }
            let account = self.main.clone();
            let zone = self.config.zone.clone();
            self.send(owner, Message::Holdings(Holdings { account, zone, rows }));
        }
    }

    /// Adds an empty report, as a keep-alive, for owners of home accounts that were sent none for
    /// some time.
    fn add_keepalives(&mut self, by_owner: &mut BTreeMap<NodeId, Vec<HoldingRow>>) {
        let timeout = Millis(self.directory.policy().level_interval_ms * KEEPALIVE_INTERVALS);
        let now = self.now;
        self.rights.reported.retain(|_, reported| !reported.rows.is_empty());
        for (owner, reported) in &self.rights.reported {
            if now.since(reported.at) >= timeout {
                by_owner.entry(owner.clone()).or_default();
            }
        }
    }

    fn demand_here(&self, budget: &BudgetName) -> Tokens {
        self.rights.demand.get(budget).map(policy::DemandAverage::per_second).unwrap_or_default()
    }

    /// Owners, other than this router, of accounts to which a budget was issued.
    fn home_owners(&self, budget: &BudgetName) -> BTreeSet<NodeId> {
        let issue = self.directory.issue(budget);
        let accounts = issue.into_iter().flat_map(|row| row.issued.keys());
        let owners = accounts.filter_map(|account| self.directory.owner(account));
        owners.filter(|owner| **owner != self.config.node).cloned().collect()
    }

    /// Moves the unmirrored account's rights of a budget back to the main account, if there is a
    /// backup to mirror them to. Both accounts belong to this router, so the transfer needs no
    /// message; the sending account records it first.
    pub(crate) fn reclaim_solo(&mut self, budget: &BudgetName) {
        let free = self.unreserved_rights(&self.solo, budget);
        if free.is_zero() || self.is_solo() || !self.has_backup() {
            return;
        }
        let (main, solo) = (self.main.clone(), self.solo.clone());
        let sent_before = self.total_sent(&solo, &main, budget).unwrap_or_default();
        let total = sent_before + free;
        self.record(&solo, Record::Sent { budget: budget.clone(), to: main.clone(), total });
        self.record(&main, Record::Received { budget: budget.clone(), from: solo, total });
    }

    /// Refills the unmirrored account from the main account once it falls below half its target.
    fn fill_solo(&mut self, budget: &BudgetName) {
        if self.is_solo() || !self.has_backup() {
            return;
        }
        let mirrored = self.unreserved_rights(&self.main, budget);
        let solo = self.unreserved_rights(&self.solo, budget);
        let target = policy::solo_target(self.directory.policy(), mirrored + solo);
        let deficit = (target - solo).min(mirrored);
        if solo < target.scaled(1, 2) && !deficit.is_zero() {
            let (main, solo) = (self.main.clone(), self.solo.clone());
            self.transfer_rights(&main, &solo, budget, deficit);
        }
    }

    /// Sends rights to zones that have too few, if this router owns the home account of its zone.
    fn rebalance_zones(&mut self, budget: &BudgetName) {
        let Some(shares) = self.zone_shares(budget) else {
            return;
        };
        let names: Vec<ZoneName> = shares.keys().cloned().collect();
        let Some(own) = names.iter().position(|zone| *zone == self.config.zone) else {
            return;
        };
        let list: Vec<ZoneShare> = shares.values().map(|(share, _)| *share).collect();
        for (other, zone) in names.iter().enumerate() {
            if other == own {
                continue;
            }
            let Some(account) = shares[zone].1.clone() else {
                continue;
            };
            let excess = policy::rebalance_amount(self.directory.policy(), &list, own, other);
            let amount = excess.min(self.unreserved_rights(&self.main, budget));
            if !amount.is_zero() {
                let main = self.main.clone();
                self.transfer_rights(&main, &account, budget, amount);
                self.credit_sent_rights(&account, budget, amount);
            }
        }
    }

    /// Counts rights that were just sent as available at the receiver. Otherwise they would be sent
    /// again at each interval until the receiver reports them, also into a partition that has not
    /// been detected yet.
    fn credit_sent_rights(&mut self, account: &AccountId, budget: &BudgetName, amount: Tokens) {
        let held =
            self.rights.remote_holdings.get_mut(budget).and_then(|held| held.get_mut(account));
        if let Some(held) = held {
            held.available += amount;
        }
    }

    /// The zones with recent reports, each with its home account; `None` unless this router owns
    /// the home account of its own zone.
    fn zone_shares(
        &self,
        budget: &BudgetName,
    ) -> Option<BTreeMap<ZoneName, (ZoneShare, Option<AccountId>)>> {
        let issue = self.directory.issue(budget)?;
        let home_account_of = |zone: &ZoneName| {
            let live = |account: &&AccountId| {
                self.directory.account(account).is_some_and(|row| row.zone == *zone)
                    && self.directory.owner(account).is_some()
            };
            issue.issued.keys().find(live)
        };
        let own_home = home_account_of(&self.config.zone)?;
        if !self.owned.contains_key(own_home) {
            return None;
        }
        let staleness_limit = Millis(self.directory.policy().level_interval_ms * STALE_INTERVALS);
        let mut shares: BTreeMap<ZoneName, (ZoneShare, Option<AccountId>)> = BTreeMap::new();
        let mut add = |zone: &ZoneName, available: Tokens, demand: Tokens| {
            let weight = self.directory.zone_weight(zone);
            let home = home_account_of(zone).cloned();
            let empty = ZoneShare { available: Tokens::ZERO, demand: Tokens::ZERO, weight };
            let (share, _) = shares.entry(zone.clone()).or_insert((empty, home));
            share.available += available;
            share.demand += demand;
        };
        add(
            &self.config.zone,
            self.unreserved_rights(&self.main, budget),
            self.demand_here(budget),
        );
        // A zone counts while its home account's reports are recent. Its other accounts report at
        // other times: if each report expired separately, a zone that is being partitioned would
        // look empty, and be sent rights, once its home account has expired and a small account
        // has not.
        let is_fresh = |zone: &ZoneName| {
            let last_report =
                home_account_of(zone).and_then(|home| self.rights.last_report_at.get(home));
            last_report.is_some_and(|at| self.now.since(*at) <= staleness_limit)
        };
        for held in self.rights.remote_holdings.get(budget)?.values() {
            if let Some(zone) = held.zone.as_ref().filter(|zone| is_fresh(zone)) {
                add(zone, held.available, held.demand);
            }
        }
        Some(shares)
    }
}
