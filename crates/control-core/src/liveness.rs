//! Which routers are alive, and when an account changes hands.

use crate::replica::Replica;
use serde::{Deserialize, Serialize};
use stackpost_protocol::Heartbeat;
use stackpost_storage::Disk;
use stackpost_table::*;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time before the same proposal is made again.
const PROPOSE_AGAIN_AFTER: Millis = Millis(500);
/// Silence after which a life of a router is forgotten.
const FORGET_AFTER: Millis = Millis(60_000);

/// A router life as this replica hears it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedRouter {
    pub zone: ZoneName,
    pub version: Version,
    pub heard_at: Timestamp,
    silent_owners: Vec<AccountId>,
    leaving: bool,
}

/// Router lives and what was proposed about them.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    pub observed: BTreeMap<NodeId, ObservedRouter>,
    proposed: BTreeMap<Proposal, Timestamp>,
    bill_senders: BTreeMap<AccountId, NodeId>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proposal {
    Open(AccountId),
    Change(AccountId, Epoch),
    Return(BudgetName, AccountId, Tokens),
}

/// How far a version has got in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// The zone.
    pub zone: ZoneName,
    /// Routers heard from within the timeout.
    pub routers: usize,
    /// Those that have the version in force.
    pub in_force: usize,
}

impl Liveness {
    pub fn expect_bill_confirmation(&mut self, account: &AccountId, node: NodeId) {
        self.bill_senders.insert(account.clone(), node);
    }

    pub fn take_bill_sender(&mut self, account: &AccountId) -> Option<NodeId> {
        self.bill_senders.remove(account)
    }

    /// Notes a proposal; false if the same was made a moment ago.
    fn may_propose(&mut self, now: Timestamp, proposal: Proposal) -> bool {
        let again =
            self.proposed.get(&proposal).is_none_or(|at| now.since(*at) >= PROPOSE_AGAIN_AFTER);
        if again {
            self.proposed.insert(proposal, now);
        }
        again
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.observed.retain(|_, observed| now.since(observed.heard_at) < FORGET_AFTER);
        self.proposed.retain(|_, at| now.since(*at) < PROPOSE_AGAIN_AFTER);
    }
}

/// What is known of a node that an account depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Heard from within the timeout.
    Alive,
    /// Not heard from; it may be cut off and at work.
    Silent,
    /// Its machine has started another life, or left the table: it can't be at work any more.
    Gone,
}

impl<D: Disk> Replica<D> {
    pub(crate) fn on_heartbeat(&mut self, node: NodeId, beat: Heartbeat) {
        let observed = ObservedRouter {
            zone: beat.zone,
            version: beat.version,
            heard_at: self.now,
            silent_owners: beat.silent_owners,
            leaving: beat.leaving,
        };
        self.liveness.observed.insert(node.clone(), observed);
        self.push_if_behind(&node);
    }

    /// How far `version` has got, by zone.
    pub fn progress(&self, version: Version) -> Vec<ZoneProgress> {
        let mut zones: BTreeMap<ZoneName, ZoneProgress> = BTreeMap::new();
        for (key, _) in self.state.table().rows() {
            if let RowKey::Zone(zone) = key {
                let empty = ZoneProgress { zone: zone.clone(), routers: 0, in_force: 0 };
                zones.insert(zone.clone(), empty);
            }
        }
        for (node, observed) in &self.liveness.observed {
            if self.health(node) != Health::Alive {
                continue;
            }
            if let Some(progress) = zones.get_mut(&observed.zone) {
                progress.routers += 1;
                progress.in_force += usize::from(observed.version >= version);
            }
        }
        zones.into_values().collect()
    }

    pub(crate) fn tick_liveness(&mut self) {
        self.liveness.forget_old(self.now);
        let Some(leader_since) = self.raft.leader_since() else {
            return;
        };
        self.open_accounts();
        // A new leader has to listen for a while before silence means anything.
        if self.now.since(leader_since) >= self.router_timeout() {
            self.judge_accounts();
        }
    }

    fn router_timeout(&self) -> Millis {
        match self.state.table().get(&RowKey::Policy) {
            Some(Row::Policy(policy)) => Millis(policy.router_timeout_ms),
            _ => Millis(PolicyRow::default().router_timeout_ms),
        }
    }

    fn open_accounts(&mut self) {
        let unopened: Vec<(AccountId, ZoneName)> = self
            .liveness
            .observed
            .iter()
            // A machine that is not in the table counts as gone: its account would be taken from
            // it at once, again and again.
            .filter(|(node, _)| self.is_in_table(&node.machine))
            .filter(|(node, observed)| !observed.leaving && self.is_newest_incarnation(node))
            .map(|(node, observed)| (AccountId::mirrored(node), observed.zone.clone()))
            .filter(|(account, _)| {
                self.state.table().get(&RowKey::Account(account.clone())).is_none()
            })
            .collect();
        for (account, zone) in unopened {
            if self.liveness.may_propose(self.now, Proposal::Open(account.clone())) {
                self.propose(&Command::OpenAccount { account, zone });
            }
        }
    }

    /// Whether no later life of the node's machine has been heard from.
    pub(crate) fn is_newest_incarnation(&self, node: &NodeId) -> bool {
        let Some(own) = self.liveness.observed.get(node) else {
            return false;
        };
        let lives =
            self.liveness.observed.iter().filter(|(other, _)| other.machine == node.machine);
        lives.into_iter().all(|(_, observed)| observed.heard_at <= own.heard_at)
    }

    fn is_in_table(&self, machine: &MachineName) -> bool {
        self.state.table().get(&RowKey::Machine(machine.clone())).is_some()
    }

    fn health(&self, node: &NodeId) -> Health {
        if !self.is_in_table(&node.machine) {
            return Health::Gone;
        }
        let heard = self.liveness.observed.get(node).map(|observed| observed.heard_at);
        let replaced = self.liveness.observed.iter().any(|(other, observed)| {
            other.machine == node.machine
                && other.incarnation != node.incarnation
                && heard.is_none_or(|at| observed.heard_at > at)
        });
        if replaced {
            return Health::Gone;
        }
        match heard {
            Some(at) if self.now.since(at) < self.router_timeout() => Health::Alive,
            _ => Health::Silent,
        }
    }

    /// Decides for every account whether it has to change hands.
    fn judge_accounts(&mut self) {
        let verdicts: Vec<Command> = self
            .state
            .table()
            .accounts()
            .filter(|(_, row)| row.state != AccountState::Lost)
            .filter_map(|(account, row)| self.judge(account, row))
            .collect();
        for command in verdicts {
            let proposal = match &command {
                Command::Seal { account, expected } | Command::MarkLost { account, expected } => {
                    Proposal::Change(account.clone(), *expected)
                }
                _ => continue,
            };
            if self.liveness.may_propose(self.now, proposal) {
                self.propose(&command);
            }
        }
    }

    /// An account is taken from its owner only if the owner is gone, leaves, or is silent both
    /// here and to the backup: an owner that has merely lost sight of the control plane goes on.
    fn judge(&self, account: &AccountId, row: &AccountRow) -> Option<Command> {
        let (account, expected) = (account.clone(), row.epoch);
        let owner = self.health(&row.owner);
        let leaving =
            self.liveness.observed.get(&row.owner).is_some_and(|observed| observed.leaving);
        let Some(backup) = &row.backup else {
            return (owner == Health::Gone).then_some(Command::MarkLost { account, expected });
        };
        let backup_health = self.health(backup);
        let backup_agrees = self
            .liveness
            .observed
            .get(backup)
            .is_some_and(|observed| observed.silent_owners.contains(&account))
            || self.config.defects.seal_without_backup_consent;
        let seal = match owner {
            Health::Gone => backup_health == Health::Alive,
            Health::Silent => backup_health == Health::Alive && backup_agrees,
            Health::Alive => leaving && backup_health == Health::Alive,
        };
        if seal {
            return Some(Command::Seal { account, expected });
        }
        let both_gone = owner == Health::Gone && backup_health == Health::Gone;
        both_gone.then_some(Command::MarkLost { account, expected })
    }

    pub(crate) fn on_change_backup(&mut self, account: AccountId, epoch: Epoch, backup: NodeId) {
        let current = match self.state.table().get(&RowKey::Account(account.clone())) {
            Some(Row::Account(row)) => row.epoch,
            _ => return,
        };
        let fresh = current == epoch
            && self.liveness.may_propose(self.now, Proposal::Change(account.clone(), epoch));
        if fresh {
            self.propose(&Command::ChangeBackup { account, expected: epoch, backup });
        }
    }

    pub(crate) fn on_return_rights(
        &mut self,
        budget: BudgetName,
        account: AccountId,
        total: Tokens,
    ) {
        let known = match self.state.table().get(&RowKey::Issue(budget.clone())) {
            Some(Row::Issue(issue)) => issue.returned.get(&account).copied().unwrap_or_default(),
            _ => return,
        };
        let proposal = Proposal::Return(budget.clone(), account.clone(), total);
        if total > known && self.liveness.may_propose(self.now, proposal) {
            self.propose(&Command::CommitReturn { budget, account, total });
        }
    }
}
