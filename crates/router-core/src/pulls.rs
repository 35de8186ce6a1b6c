//! Asking other accounts for rights, and being asked.

use crate::rights::RightsState;
use crate::router::Router;
use crate::trace::TraceStep;
use stackpost_ledger::policy;
use stackpost_protocol::{Message, Pull, PullReply};
use stackpost_types::*;
use std::collections::BTreeMap;

/// Longest wait for one account's answer before the next is asked.
const PULL_TIMEOUT: Millis = Millis(60);
/// Time between two rounds of asking while reservations elsewhere may come free.
const ROUND_INTERVAL: Millis = Millis(100);
/// Hints passed along with an answer.
const HINTS: usize = 4;

/// Whom a router has asked for a budget's rights since the first call began to wait.
#[derive(Debug)]
pub(crate) struct PullRound {
    started_at: Timestamp,
    round_started_at: Timestamp,
    asked: BTreeMap<AccountId, Asked>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Pending { since: Timestamp },
    Silent,
    Answered { reserved: Tokens, granted: Tokens },
}

impl RightsState {
    fn pending(&self, budget: &BudgetName) -> bool {
        self.rounds.get(budget).is_some_and(|round| {
            round.asked.values().any(|asked| matches!(asked, Asked::Pending { .. }))
        })
    }
}

impl Router {
    /// Asks the next account if calls wait and no answer is outstanding.
    pub(crate) fn start_pulls(&mut self, budget: &BudgetName) {
        if self.shortfall(budget).is_zero() || self.rights.pending(budget) {
            return;
        }
        if self.is_solo() {
            // Nobody knows the unmirrored account, so nobody could send it anything.
            let own = self.main.clone();
            self.refuse_first_waiting(budget, std::slice::from_ref(&own));
            return;
        }
        let now = self.now;
        self.rights.rounds.entry(budget.clone()).or_insert_with(|| PullRound {
            started_at: now,
            round_started_at: now,
            asked: BTreeMap::new(),
        });
        match self.next_to_ask(budget) {
            Some(account) => self.ask(budget, account),
            None => self.end_of_round(budget),
        }
    }

    /// Accounts that may hold rights of a budget, nearest first, then those known to have most.
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
            let far =
                self.directory.account(account).is_none_or(|row| row.zone != self.config.zone);
            let known = self.rights.remote_holdings.get(budget).and_then(|held| held.get(account));
            (far, std::cmp::Reverse(known.map(|held| held.available)), account.clone())
        });
        accounts
    }

    fn next_to_ask(&self, budget: &BudgetName) -> Option<AccountId> {
        let round = self.rights.rounds.get(budget)?;
        self.holders(budget).into_iter().find(|account| !round.asked.contains_key(account))
    }

    fn ask(&mut self, budget: &BudgetName, account: AccountId) {
        let Some(owner) = self.directory.owner(&account).cloned() else {
            return;
        };
        let demand = self.rights.demand.get(budget).map(policy::DemandAverage::per_second);
        let need = self.shortfall(budget);
        let ask = policy::ask(self.directory.policy(), need, demand.unwrap_or_default());
        let since = self.now;
        if let Some(round) = self.rights.rounds.get_mut(budget) {
            round.asked.insert(account.clone(), Asked::Pending { since });
        }
        let first = self.rights.waiting.get(budget).and_then(|queue| queue.front().copied());
        if let Some(id) = first {
            self.trace_call_step(id, TraceStep::RightsAsked { account: account.clone(), need });
        }
        let pull = Pull {
            budget: budget.clone(),
            from: account,
            to: self.paying_account(),
            need: ask.need,
            want: ask.want,
        };
        self.send(owner, Message::Pull(pull));
    }

    /// Everyone has been asked. Asks again while something may come free, refuses otherwise.
    fn end_of_round(&mut self, budget: &BudgetName) {
        let Some(round) = self.rights.rounds.get(budget) else {
            return;
        };
        let unreachable: Vec<AccountId> = round
            .asked
            .iter()
            .filter(|(_, asked)| **asked == Asked::Silent)
            .map(|(account, _)| account.clone())
            .collect();
        let may_come_free = round.asked.values().any(|asked| match asked {
            Asked::Answered { reserved, granted } => !reserved.is_zero() || !granted.is_zero(),
            _ => false,
        });
        let own = self.owned.get(&self.main).and_then(|main| main.state().holding(budget));
        let own_reserved = own.is_some_and(|holding| !holding.reserved().is_zero())
            || !self.rights.reserved_locally(&self.main, budget).is_zero();
        let waited = self.now.since(round.started_at);
        let timeout = Millis(self.directory.policy().rights_wait_ms);
        let hopeless = !may_come_free && !own_reserved && unreachable.is_empty();
        if hopeless || waited >= timeout {
            self.refuse_first_waiting(budget, &unreachable);
            self.rights.rounds.remove(budget);
            self.start_pulls(budget);
        }
    }

    pub(crate) fn tick_pulls(&mut self) {
        let now = self.now;
        let budgets: Vec<BudgetName> = self.rights.waiting.keys().cloned().collect();
        for budget in budgets {
            if let Some(round) = self.rights.rounds.get_mut(&budget) {
                for asked in round.asked.values_mut() {
                    if matches!(asked, Asked::Pending { since } if now.since(*since) >= PULL_TIMEOUT)
                    {
                        *asked = Asked::Silent;
                    }
                }
                let complete =
                    !round.asked.values().any(|asked| matches!(asked, Asked::Pending { .. }));
                if complete && now.since(round.round_started_at) >= ROUND_INTERVAL {
                    round.round_started_at = now;
                    round.asked.retain(|_, asked| *asked == Asked::Silent);
                }
            }
            self.reserve_for_waiting(&budget);
            self.start_pulls(&budget);
        }
    }

    /// Another account asks for rights.
    pub(crate) fn on_pull(&mut self, from: NodeId, pull: Pull) {
        // Rights sent to an account without a known owner would be out of everyone's reach.
        let receiver_known = self.directory.owner(&pull.to).is_some();
        let askable = self.owned.contains_key(&pull.from) && pull.from.kind != AccountKind::Solo;
        if !askable || !receiver_known {
            return;
        }
        if self.unreserved_rights(&pull.from, &pull.budget) < pull.need {
            self.reclaim_solo(&pull.budget);
        }
        let free = self.unreserved_rights(&pull.from, &pull.budget);
        // Of two routers that lack rights and ask one another, the one with the smaller need goes
        // first; otherwise the last rights would be carried back and forth.
        let own_need = self.first_need(&pull.budget);
        let own_first = own_need.is_some_and(|need| (need, &self.main) < (pull.need, &pull.to));
        let spare = if own_first { free - own_need.unwrap_or_default() } else { free };
        let ask = policy::TransferRequest { need: pull.need, want: pull.want };
        let granted = policy::transfer_amount(spare, ask);
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

    fn first_need(&self, budget: &BudgetName) -> Option<Tokens> {
        let first = self.rights.waiting.get(budget)?.front()?;
        self.calls.get(first).map(|call| call.bound)
    }

    fn hints(&self, budget: &BudgetName, requester: &AccountId) -> Vec<AccountId> {
        let Some(held) = self.rights.remote_holdings.get(budget) else {
            return Vec::new();
        };
        let mut known: Vec<_> = held
            .iter()
            .filter(|(account, held)| *account != requester && !held.available.is_zero())
            .collect();
        known.sort_by_key(|(_, held)| std::cmp::Reverse(held.available));
        known.into_iter().take(HINTS).map(|(account, _)| account.clone()).collect()
    }

    pub(crate) fn on_pull_reply(&mut self, reply: PullReply) {
        for account in &reply.others {
            self.add_holder_hint(&reply.budget, account);
        }
        if let Some(round) = self.rights.rounds.get_mut(&reply.budget) {
            let answered = Asked::Answered { reserved: reply.reserved, granted: reply.granted };
            round.asked.insert(reply.from, answered);
        }
        // What is given arrives as a transfer of its own, so nobody else is asked before it.
        if reply.granted < self.shortfall(&reply.budget) || reply.granted.is_zero() {
            self.start_pulls(&reply.budget);
        }
    }
}
