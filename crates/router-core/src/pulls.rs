//! Pulls: requests for rights to other accounts, and replies to such requests.

use crate::rights::RightsState;
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_ledger::policy;
use stackpost_protocol::{Message, Pull, PullReply};
use stackpost_types::*;
use std::collections::BTreeMap;

/// Maximum wait for one account's reply before the next account is tried.
const PULL_TIMEOUT: Millis = Millis(60);
/// Time between two rounds of pulls while rights reserved elsewhere may become available.
const ROUND_INTERVAL: Millis = Millis(100);
/// Maximum number of other holders named in a reply.
const MAX_HINTS: usize = 4;

/// Search for a budget's rights since the first call began to wait for them, in rounds of pulls to
/// the holders. A holder that timed out is not tried again unless its reply still
/// arrives.
#[derive(Debug)]
pub(crate) struct PullSearch {
    started_at: Timestamp,
    round_started_at: Timestamp,
    pulls: BTreeMap<AccountId, PullState>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PullState {
    Pending { since: Timestamp },
    TimedOut,
    Answered { reserved: Tokens, granted: Tokens },
}

impl RightsState {
    fn has_pending_pull(&self, budget: &BudgetName) -> bool {
        self.pull_searches.get(budget).is_some_and(|search| {
            search.pulls.values().any(|state| matches!(state, PullState::Pending { .. }))
        })
    }
}

impl Router {
    /// Sends a pull to the next account if calls wait and no reply is outstanding.
    pub(crate) fn start_pulls(&mut self, budget: &BudgetName) {
        if self.shortfall(budget).is_zero() || self.rights.has_pending_pull(budget) {
            return;
        }
        if self.is_solo() {
            // Other routers do not know the unmirrored account, so none can send it rights.
            let own = self.main.clone();
            self.refuse_first_waiting(budget, std::slice::from_ref(&own));
            return;
        }
        let now = self.now;
        self.rights.pull_searches.entry(budget.clone()).or_insert_with(|| PullSearch {
            started_at: now,
            round_started_at: now,
            pulls: BTreeMap::new(),
        });
        match self.next_account_to_pull(budget) {
            Some(account) => self.send_pull(budget, account),
            None => self.on_round_complete(budget),
        }
    }

    /// Accounts that may hold rights of a budget: those in this zone first, then by the available
    /// amount last reported, largest first.
    fn holders(&self, budget: &BudgetName) -> Vec<AccountId> {
        let issued = self.directory.issue(budget).into_iter().flat_map(|row| row.issued.keys());
        let hinted =
            self.rights.remote_holdings.get(budget).into_iter().flat_map(|held| held.keys());
        let mut accounts: Vec<AccountId> = issued
            .chain(hinted)
            .filter(|account| self.directory.owner(account).is_some())
            .filter(|account| **account != self.main)
            .cloned()
            .collect();
        accounts.sort();
        accounts.dedup();
        accounts.sort_by_cached_key(|account| {
            let in_other_zone =
                self.directory.account(account).is_none_or(|row| row.zone != self.config.zone);
            let holding =
                self.rights.remote_holdings.get(budget).and_then(|held| held.get(account));
            (in_other_zone, std::cmp::Reverse(holding.map(|held| held.available)), account.clone())
        });
        accounts
    }

    fn next_account_to_pull(&self, budget: &BudgetName) -> Option<AccountId> {
        let search = self.rights.pull_searches.get(budget)?;
        self.holders(budget).into_iter().find(|account| !search.pulls.contains_key(account))
    }

    fn send_pull(&mut self, budget: &BudgetName, account: AccountId) {
        let Some(owner) = self.directory.owner(&account).cloned() else {
            return;
        };
        let demand = self.rights.demand.get(budget).map(policy::DemandAverage::per_second);
        let need = self.shortfall(budget);
        let request =
            policy::transfer_request(self.directory.policy(), need, demand.unwrap_or_default());
        let since = self.now;
        if let Some(search) = self.rights.pull_searches.get_mut(budget) {
            search.pulls.insert(account.clone(), PullState::Pending { since });
        }
        let first = self.rights.waiting.get(budget).and_then(|queue| queue.front().copied());
        if let Some(id) = first {
            self.trace_call_step(id, TraceStep::RightsAsked { account: account.clone(), need });
        }
        let pull = Pull {
            budget: budget.clone(),
            from: account,
            to: self.paying_account(),
            need: request.need,
            want: request.want,
        };
        self.send(owner, Message::Pull(pull));
    }

    /// All accounts have been tried. Keeps the calls waiting while rights may become available, and
    /// refuses the first one otherwise.
    fn on_round_complete(&mut self, budget: &BudgetName) {
        let Some(search) = self.rights.pull_searches.get(budget) else {
            return;
        };
        let unreachable: Vec<AccountId> = search
            .pulls
            .iter()
            .filter(|(_, state)| **state == PullState::TimedOut)
            .map(|(account, _)| account.clone())
            .collect();
        let may_become_available = search.pulls.values().any(|state| match state {
            PullState::Answered { reserved, granted } => !reserved.is_zero() || !granted.is_zero(),
            _ => false,
        });
        let own = self.owned.get(&self.main).and_then(|main| main.state().holding(budget));
        let own_reserved = own.is_some_and(|holding| !holding.reserved().is_zero())
            || !self.rights.reserved_locally(&self.main, budget).is_zero();
        let waited = self.now.since(search.started_at);
        let timeout = Millis(self.directory.policy().rights_wait_ms);
        let no_rights_expected = !may_become_available && !own_reserved && unreachable.is_empty();
        if no_rights_expected || waited >= timeout {
            self.refuse_first_waiting(budget, &unreachable);
            self.rights.pull_searches.remove(budget);
            self.start_pulls(budget);
        }
    }

    pub(crate) fn tick_pulls(&mut self) {
        let now = self.now;
        let budgets: Vec<BudgetName> = self.rights.waiting.keys().cloned().collect();
        for budget in budgets {
            if let Some(search) = self.rights.pull_searches.get_mut(&budget) {
                for state in search.pulls.values_mut() {
                    if matches!(
                    state,
                    PullState::Pending { since } if now.since(*since) >= PULL_TIMEOUT
                    ) {
                        *state = PullState::TimedOut;
                    }
                }
                let complete =
                    !search.pulls.values().any(|state| matches!(state, PullState::Pending { .. }));
                if complete && now.since(search.round_started_at) >= ROUND_INTERVAL {
                    search.round_started_at = now;
                    search.pulls.retain(|_, state| *state == PullState::TimedOut);
                }
            }
            self.reserve_for_waiting(&budget);
            self.start_pulls(&budget);
        }
    }

    /// Handles a pull by another account.
    pub(crate) fn on_pull(&mut self, from: NodeId, pull: Pull) {
        // Rights sent to an account without a known owner could not be used by any router.
        let receiver_known = self.directory.owner(&pull.to).is_some();
        let can_serve = self.owned.contains_key(&pull.from) && pull.from.kind != AccountKind::Solo;
        if !can_serve || !receiver_known {
            return;
        }
        if self.unreserved_rights(&pull.from, &pull.budget) < pull.need {
            self.reclaim_solo(&pull.budget);
        }
        let free = self.unreserved_rights(&pull.from, &pull.budget);
        // If two routers that lack rights pull from each other, the one with the smaller need goes
        // first; otherwise the last rights would move back and forth between them.
        let own_need = self.first_waiting_need(&pull.budget);
        let own_need_first =
            own_need.is_some_and(|need| (need, &self.main) < (pull.need, &pull.to));
        let spare = if own_need_first { free - own_need.unwrap_or_default() } else { free };
        let request = policy::TransferRequest { need: pull.need, want: pull.want };
        let granted = policy::transfer_amount(spare, request);
        if !granted.is_zero() {
            self.transfer_rights(&pull.from, &pull.to, &pull.budget, granted);
        }
        let reserved = self
            .owned
            .get(&pull.from)
            .and_then(|owned| owned.state().holding(&pull.budget))
            .map(|holding| holding.reserved())
            .unwrap_or_default()
            + self.rights.reserved_locally(&pull.from, &pull.budget);
        let others = self.hints(&pull.budget, &pull.to);
        let reply = PullReply {
            budget: pull.budget,
            from: pull.from,
            to: pull.to,
            granted,
            reserved,
            others,
        };
        self.send(from, Message::PullReply(reply));
    }

    fn first_waiting_need(&self, budget: &BudgetName) -> Option<Tokens> {
        let first = self.rights.waiting.get(budget)?.front()?;
        self.calls.get(first).map(|call| call.bound)
    }

    fn hints(&self, budget: &BudgetName, requester: &AccountId) -> Vec<AccountId> {
        let Some(held) = self.rights.remote_holdings.get(budget) else {
            return Vec::new();
        };
        let mut candidates: Vec<_> = held
            .iter()
            .filter(|(account, held)| *account != requester && !held.available.is_zero())
            .collect();
        candidates.sort_by_key(|(_, held)| std::cmp::Reverse(held.available));
        candidates.into_iter().take(MAX_HINTS).map(|(account, _)| account.clone()).collect()
    }

    pub(crate) fn on_pull_reply(&mut self, reply: PullReply) {
        for account in &reply.others {
            self.add_holder_hint(&reply.budget, account);
        }
        if let Some(search) = self.rights.pull_searches.get_mut(&reply.budget) {
            let answered = PullState::Answered { reserved: reply.reserved, granted: reply.granted };
            search.pulls.insert(reply.from, answered);
        }
        // Granted rights arrive in a separate transfer, so no other account is tried before that.
        if reply.granted < self.shortfall(&reply.budget) || reply.granted.is_zero() {
            self.start_pulls(&reply.budget);
        }
    }
}
