//! Liveness of the routers, and changes of account ownership that follow from it.

use crate::replica::Replica;
use serde::{Deserialize, Serialize};
use stackpost_protocol::Heartbeat;
use stackpost_storage::Disk;
use stackpost_table::*;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Time before the same proposal is repeated.
const PROPOSAL_RETRY_INTERVAL: Millis = Millis(500);
/// Time without a heartbeat after which the state of a router incarnation is dropped.
const OBSERVATION_RETENTION: Millis = Millis(60_000);

/// State of a router incarnation according to its last heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct ObservedRouter {
    pub zone: ZoneName,
    pub version: Version,
    pub last_heartbeat_at: Timestamp,
    silent_owners: Vec<AccountId>,
    leaving: bool,
}

/// Observed router incarnations and recent proposals about them.
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

/// How many routers of one zone have a version of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// The zone.
    pub zone: ZoneName,
    /// Routers whose last heartbeat is within the timeout.
    pub routers: usize,
    /// Routers that have the version, or a newer one, in force.
    pub in_force: usize,
}

impl Liveness {
    pub fn record_bill_sender(&mut self, account: &AccountId, node: NodeId) {
        self.bill_senders.insert(account.clone(), node);
    }

    pub fn take_bill_sender(&mut self, account: &AccountId) -> Option<NodeId> {
        self.bill_senders.remove(account)
    }

    /// Records a proposal. Returns false if the same one was made within the retry interval.
    fn may_propose(&mut self, now: Timestamp, proposal: Proposal) -> bool {
        let allowed =
            self.proposed.get(&proposal).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY_INTERVAL);
        if allowed {
            self.proposed.insert(proposal, now);
        }
        allowed
    }

    fn expire(&mut self, now: Timestamp) {
        self.observed
            .retain(|_, observed| now.since(observed.last_heartbeat_at) < OBSERVATION_RETENTION);
        self.proposed.retain(|_, at| now.since(*at) < PROPOSAL_RETRY_INTERVAL);
    }
}

/// Liveness of a node that an account depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// The last heartbeat is within the timeout.
    Alive,
    /// No heartbeat within the timeout; the node may be partitioned and still running.
    Silent,
    /// Its machine has started another incarnation or left the table: the node no longer runs.
    Ended,
}

impl<D: Disk> Replica<D> {
    pub(crate) fn on_heartbeat(&mut self, node: NodeId, heartbeat: Heartbeat) {
        let observed = ObservedRouter {
            zone: heartbeat.zone,
            version: heartbeat.version,
            last_heartbeat_at: self.now,
            silent_owners: heartbeat.silent_owners,
            leaving: heartbeat.leaving,
        };
        self.liveness.observed.insert(node.clone(), observed);
        self.push_if_behind(&node);
    }

    /// Number of live routers that have `version` in force, by zone.
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
        self.liveness.expire(self.now);
        let Some(leader_since) = self.raft.leader_since() else {
            return;
        };
        self.open_accounts();
        // A new leader has received no heartbeats yet, so silence means nothing until a whole
        // timeout has passed.
        if self.now.since(leader_since) >= self.router_timeout() {
            self.propose_ownership_changes();
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
            // A machine that is not in the table counts as ended: its account would be taken
            // away as soon as it was opened, time after time.
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

    /// Whether no other incarnation on the node's machine has sent a later heartbeat.
    pub(crate) fn is_newest_incarnation(&self, node: &NodeId) -> bool {
        let Some(own) = self.liveness.observed.get(node) else {
            return false;
        };
        let incarnations =
            self.liveness.observed.iter().filter(|(other, _)| other.machine == node.machine);
        incarnations
            .into_iter()
            .all(|(_, observed)| observed.last_heartbeat_at <= own.last_heartbeat_at)
    }

    fn is_in_table(&self, machine: &MachineName) -> bool {
        self.state.table().get(&RowKey::Machine(machine.clone())).is_some()
    }

    fn health(&self, node: &NodeId) -> Health {
        if !self.is_in_table(&node.machine) {
            return Health::Ended;
        }
        let last_heartbeat =
            self.liveness.observed.get(node).map(|observed| observed.last_heartbeat_at);
        let replaced = self.liveness.observed.iter().any(|(other, observed)| {
            other.machine == node.machine
                && other.incarnation != node.incarnation
                && last_heartbeat.is_none_or(|at| observed.last_heartbeat_at > at)
        });
        if replaced {
            return Health::Ended;
        }
        match last_heartbeat {
            Some(at) if self.now.since(at) < self.router_timeout() => Health::Alive,
            _ => Health::Silent,
        }
    }

    /// Proposes a change for every account whose ownership has to change.
    fn propose_ownership_changes(&mut self) {
        let commands: Vec<Command> = self
            .state
            .table()
            .accounts()
            .filter(|(_, row)| row.state != AccountState::Lost)
            .filter_map(|(account, row)| self.ownership_change(account, row))
            .collect();
        for command in commands {
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

    /// The command that changes the account's ownership, if it has to change.
    ///
    /// The backup takes an account over only if the owner has ended, is leaving, or is silent both
    /// to this replica and to the backup: an owner that is disconnected from the control plane
    /// alone keeps its account.
    fn ownership_change(&self, account: &AccountId, row: &AccountRow) -> Option<Command> {
        let (account, expected) = (account.clone(), row.epoch);
        let owner = self.health(&row.owner);
        let leaving =
            self.liveness.observed.get(&row.owner).is_some_and(|observed| observed.leaving);
        let Some(backup) = &row.backup else {
            return (owner == Health::Ended).then_some(Command::MarkLost { account, expected });
        };
        let backup_health = self.health(backup);
        let backup_reports_silence = self
            .liveness
            .observed
            .get(backup)
            .is_some_and(|observed| observed.silent_owners.contains(&account))
            || self.config.defects.seal_without_backup_consent;
        let seal = match owner {
            Health::Ended => backup_health == Health::Alive,
            Health::Silent => backup_health == Health::Alive && backup_reports_silence,
            Health::Alive => leaving && backup_health == Health::Alive,
        };
        if seal {
            return Some(Command::Seal { account, expected });
        }
        let both_ended = owner == Health::Ended && backup_health == Health::Ended;
        both_ended.then_some(Command::MarkLost { account, expected })
    }

    pub(crate) fn on_change_backup(&mut self, account: AccountId, epoch: Epoch, backup: NodeId) {
        let current = match self.state.table().get(&RowKey::Account(account.clone())) {
            Some(Row::Account(row)) => row.epoch,
            _ => return,
        };
        let should_propose = current == epoch
            && self.liveness.may_propose(self.now, Proposal::Change(account.clone(), epoch));
        if should_propose {
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
