//! Accounts that this router owns or backs up: ownership changes, mirroring, choice of a backup,
//! and adoption of accounts that were taken over.

use crate::call::CallId;
use crate::effect::Effect;
use crate::refusal::{Refusal, RefusalReason};
use crate::router::Router;
use stackpost_ledger::{MirrorAck, MirrorMessage, MirroredAccount, OwnedAccount, ViewChange};
use stackpost_protocol::Message;
use stackpost_table::{AccountRow, AccountState};
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time without an acknowledgement from the backup after which another one is chosen.
const BACKUP_TIMEOUT: Millis = Millis(1_000);
/// Time without an acknowledgement from a candidate after which the next one is tried.
const CANDIDATE_TIMEOUT: Millis = Millis(600);
/// How long a candidate that timed out is not chosen again.
const AVOIDANCE_PERIOD: Millis = Millis(5_000);
/// Time between two requests to make a candidate the backup.
const BACKUP_REQUEST_INTERVAL: Millis = Millis(200);

/// State of the choice of a backup.
#[derive(Debug, Default)]
pub(crate) struct BackupSearch {
    avoided_until: BTreeMap<NodeId, Timestamp>,
    requested_at: BTreeMap<AccountId, Timestamp>,
}

impl BackupSearch {
    fn is_avoided(&self, node: &NodeId, now: Timestamp) -> bool {
        self.avoided_until.get(node).is_some_and(|until| now < *until)
    }
}

impl Router {
    /// Whether the main account has a backup.
    pub(crate) fn has_backup(&self) -> bool {
        self.owned.get(&self.main).is_some_and(|main| main.backup().is_some())
    }

    /// Whether the backup has been unreachable for so long that a new one would have been
    /// installed if the control plane were reachable. The router then spends only from its
    /// unmirrored (solo) account.
    pub(crate) fn is_solo(&self) -> bool {
        let timeout = Millis(self.directory.policy().router_timeout_ms);
        let main = self.owned.get(&self.main);
        main.and_then(|main| main.backup_silence(self.now)).is_some_and(|span| span > timeout)
    }

    /// Handles a changed row of an account: its owner, epoch or backup.
    pub(crate) fn on_account_row(&mut self, account: &AccountId) {
        let Some(row) = self.directory.account(account).cloned() else {
            return;
        };
        let (now, own_node) = (self.now, self.config.node.clone());
        if let Some(owned) = self.owned.get_mut(account) {
            match owned.on_view(now, &own_node, &row) {
                ViewChange::OwnershipLost => self.on_ownership_lost(account),
                ViewChange::StillOwner => {
                    self.backup_search.requested_at.remove(account);
                }
                ViewChange::Unchanged => {}
            }
            return;
        }
        if row.owner == own_node {
            self.take_ownership(account, &row);
        } else if self.mirrors.get(account).is_some_and(|held| held.owner != row.owner) {
            // The new owner sends its own copy, so the former owner's is discarded.
            self.mirrors.remove(account);
        }
    }

    fn take_ownership(&mut self, account: &AccountId, row: &AccountRow) {
        let now = self.now;
        if row.state == AccountState::Active && *account == self.main {
            let fresh = OwnedAccount::new(account.clone(), row, Default::default(), 0, now);
            self.owned.insert(account.clone(), fresh);
            self.apply_issue_rows(account);
            return;
        }
        let Some(mirror) = self.mirrors.remove(account) else {
            self.warn(format!(
                "account {account} was assigned to this router, which holds no copy"
            ));
            return;
        };
        let adopted = OwnedAccount::new(account.clone(), row, mirror.state, mirror.sequence, now);
        self.owned.insert(account.clone(), adopted);
        self.apply_issue_rows(account);
        self.resend_all_transfers(account);
        self.start_retention(account);
        // No other copy exists, so every bill in the adopted state counts as mirrored.
        let up_to = self.owned[account].state().last_bill();
        self.mark_bills_mirrored(account, up_to);
    }

    /// Applies the issue rows again that arrived before this router knew that it owns `account`.
    fn apply_issue_rows(&mut self, account: &AccountId) {
        let budgets: Vec<BudgetName> = self
            .directory
            .table
            .rows()
            .filter_map(|(key, row)| match (key, row) {
                (stackpost_table::RowKey::Issue(name), stackpost_table::Row::Issue(issue))
                    if issue.issued.contains_key(account) =>
                {
                    Some(name.clone())
                }
                _ => None,
            })
            .collect();
        for budget in budgets {
            self.on_issue_row(&budget);
        }
    }

    fn on_ownership_lost(&mut self, account: &AccountId) {
        self.owned.remove(account);
        self.deferred_actions.remove(account);
        self.timers.bill_deliveries.remove(account);
        self.rights.outgoing.retain(|(from, ..), _| from != account);
        if *account != self.main {
            return;
        }
        if self.draining.is_some() {
            self.effects.push(Effect::Drained);
            return;
        }
        self.fence();
    }

    /// Another node owns the main account. Actions deferred until the backup acknowledges would
    /// never run, so every call is refused with its known outcome and the incarnation ends.
    fn fence(&mut self) {
        let calls: Vec<CallId> = self.calls.keys().copied().collect();
        for id in calls {
            let ran = self.calls.get(&id).is_some_and(|call| call.counts_as_run());
            let detail = "another machine has taken this router's account over";
            let refusal = match ran {
                true => Refusal::unknown(RefusalReason::RouterFenced, detail),
                false => Refusal::not_run(RefusalReason::RouterFenced, detail),
            };
            self.refuse(id, refusal.retry_after(crate::rights::RETRY_AFTER_PARTITION));
        }
        self.fenced = true;
        self.effects.push(Effect::Fenced);
    }

    pub(crate) fn on_mirror(&mut self, from: NodeId, message: MirrorMessage) {
        let account = message.account().clone();
        if self.owned.contains_key(&account) {
            return;
        }
        // A former owner gets no acknowledgement once this router knows its successor.
        if let Some(row) = self.directory.account(&account)
            && row.owner != from
            && row.epoch >= message.epoch()
        {
            return;
        }
        let held = self.mirrors.remove(&account);
        let (copy, ack) = MirroredAccount::receive(held, self.now, &from, message);
        if let Some(copy) = copy {
            self.mirrors.insert(account, copy);
        }
        self.send(from, Message::MirrorAck(ack));
    }

    pub(crate) fn on_mirror_ack(&mut self, from: &NodeId, ack: &MirrorAck) {
        let now = self.now;
        if let Some(owned) = self.owned.get_mut(&ack.account) {
            owned.on_ack(now, from, ack);
        }
    }

    pub(crate) fn flush_mirrors(&mut self) {
        let now = self.now;
        let mut messages = Vec::new();
        for owned in self.owned.values_mut() {
            messages.extend(owned.flush(now));
        }
        for (to, message) in messages {
            self.send(to, Message::Mirror(message));
        }
    }

    pub(crate) fn tick_backups(&mut self) {
        let accounts: Vec<AccountId> =
            self.owned.keys().filter(|id| id.kind == AccountKind::Mirrored).cloned().collect();
        for account in accounts {
            self.maintain_backup(&account);
            self.request_backup(&account);
        }
    }

    /// Starts copying the account to another node if the backup is missing, has timed out, or is in
    /// another zone while a node of this zone is available.
    fn maintain_backup(&mut self, account: &AccountId) {
        let now = self.now;
        let Some(owned) = self.owned.get(account) else {
            return;
        };
        if let Some(candidate) = owned.candidate().cloned() {
            let silent = owned.candidate_silence(now).is_some_and(|s| s > CANDIDATE_TIMEOUT);
            if silent {
                self.backup_search.avoided_until.insert(candidate, now + AVOIDANCE_PERIOD);
                if let Some(owned) = self.owned.get_mut(account) {
                    owned.drop_candidate();
                }
            }
            return;
        }
        let silent = owned.backup_silence(now).is_none_or(|span| span > BACKUP_TIMEOUT);
        let current = owned.backup().cloned();
        let Some((node, same_zone)) = self.best_backup(current.as_ref()) else {
            return;
        };
        let current_in_other_zone =
            current.as_ref().is_some_and(|node| !self.is_in_own_zone(node)) && same_zone;
        // A partition between zones cuts off a backup in another zone, so one in this zone is
        // always preferred.
        if (silent || current_in_other_zone)
            && let Some(owned) = self.owned.get_mut(account)
        {
            owned.start_candidate(now, node);
        }
    }

    /// The best node for a backup, on another machine: in this zone if possible, then by
    /// rendezvous ranking. The flag says whether it is in this zone.
    fn best_backup(&self, except: Option<&NodeId>) -> Option<(NodeId, bool)> {
        let now = self.now;
        let own_name = self.config.node.to_string();
        self.directory
            .accounts()
            .filter(|(_, row)| row.state == AccountState::Active)
            .map(|(_, row)| &row.owner)
            .filter(|node| node.machine != self.config.node.machine && Some(*node) != except)
            .filter(|node| !self.backup_search.is_avoided(node, now))
            .max_by_key(|node| {
                (self.is_in_own_zone(node), rendezvous_rank(&own_name, &node.to_string()))
            })
            .map(|node| (node.clone(), self.is_in_own_zone(node)))
    }

    fn is_in_own_zone(&self, node: &NodeId) -> bool {
        let account = AccountId::mirrored(node);
        self.directory.account(&account).is_some_and(|row| row.zone == self.config.zone)
    }

    /// Asks the control plane to make the candidate the backup once it holds a complete copy.
    fn request_backup(&mut self, account: &AccountId) {
        let now = self.now;
        let due = self
            .backup_search
            .requested_at
            .get(account)
            .is_none_or(|requested_at| now.since(*requested_at) >= BACKUP_REQUEST_INTERVAL);
        if !due {
            return;
        }
        let Some(owned) = self.owned.get_mut(account) else {
            return;
        };
        let Some(backup) = owned.backup_request() else {
            return;
        };
        let epoch = owned.epoch();
        self.backup_search.requested_at.insert(account.clone(), now);
        let message = Message::ChangeBackup { account: account.clone(), epoch, backup };
        self.send_to_control(&message);
    }

    /// Transfers the unreserved rights of adopted accounts to the main account.
    pub(crate) fn tick_adopted(&mut self) {
        if !self.has_backup() {
            return;
        }
        let mut transfers = Vec::new();
        for (id, owned) in &self.owned {
            if *id == self.main || *id == self.solo {
                continue;
            }
            for (budget, holding) in owned.state().holdings() {
                let free = holding.available() - self.rights.reserved_locally(id, budget);
                if !free.is_zero() {
                    transfers.push((id.clone(), budget.clone(), free));
                }
            }
        }
        let main = self.main.clone();
        for (from, budget, amount) in transfers {
            self.transfer_rights(&from, &main, &budget, amount);
        }
    }
}
