//! The replicated state machine, to which control replicas apply committed log entries.

use crate::issue::active_accounts;
use crate::*;
use serde::{Deserialize, Serialize};
use stackpost_types::*;
use std::collections::{BTreeMap, VecDeque};

/// Number of edit outcomes kept to answer resent edits.
const MAX_OUTCOMES: usize = 10_000;
/// Number of audit records kept in the replicated state.
const MAX_AUDIT_RECORDS: usize = 20_000;

/// The replicated state: rows, edit outcomes and audit trail.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    table: Table,
    outcomes: BTreeMap<EditId, EditOutcome>,
    outcome_order: VecDeque<EditId>,
    audit: VecDeque<AuditRecord>,
}

/// Serialized form of the state in a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotContents {
    version: Version,
    rows: Vec<(RowKey, Versioned)>,
    outcomes: Vec<(EditId, EditOutcome)>,
    audit: Vec<AuditRecord>,
}

impl StateMachine {
    /// The table of rows.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditRecord> {
        self.audit.iter()
    }

    /// The recorded outcome of an applied edit.
    pub fn outcome(&self, id: &EditId) -> Option<&EditOutcome> {
        self.outcomes.get(id)
    }

    /// Applies the committed entry at `index`. Deterministic: the result depends only on the
    /// arguments and the state.
    pub fn apply(&mut self, index: Version, command: &Command) -> CommandOutcome {
        let outcome = match command {
            Command::Noop => CommandOutcome::Done,
            Command::Edit(edit) => CommandOutcome::Edit(self.apply_edit(index, edit)),
            Command::OpenAccount { account, zone } => {
                CommandOutcome::Account(self.open_account(index, account, zone))
            }
            Command::ChangeBackup { account, expected, backup } => {
                CommandOutcome::Account(self.change_backup(index, account, *expected, backup))
            }
            Command::Seal { account, expected } => {
                CommandOutcome::Account(self.seal(index, account, *expected))
            }
            Command::MarkLost { account, expected } => {
                CommandOutcome::Account(self.mark_lost(index, account, *expected))
            }
            Command::CommitReturn { budget, account, total } => {
                self.commit_return(index, budget, account, *total)
            }
        };
        self.table.advance(index);
        outcome
    }

    /// Encodes the whole state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let contents = SnapshotContents {
            version: self.table.version(),
            rows: self.table.all().map(|(key, row)| (key.clone(), row.clone())).collect(),
            outcomes: self
                .outcome_order
                .iter()
                .map(|id| (id.clone(), self.outcomes[id].clone()))
                .collect(),
            audit: self.audit.iter().cloned().collect(),
        };
        postcard::to_stdvec(&contents).expect("the state has no type that postcard can't encode")
    }

    /// Decodes what [`Self::to_snapshot`] wrote.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let contents: SnapshotContents = postcard::from_bytes(bytes)?;
        let outcome_order = contents.outcomes.iter().map(|(id, _)| id.clone()).collect();
        Ok(Self {
            table: Table::from_rows(contents.version, contents.rows),
            outcomes: contents.outcomes.into_iter().collect(),
            outcome_order,
            audit: contents.audit.into(),
        })
    }

    fn apply_edit(&mut self, index: Version, edit: &Edit) -> EditOutcome {
        // A resent edit gets its first outcome. If it were applied again, an accepted edit could
        // conflict with its own write.
        if let Some(first) = self.outcomes.get(&edit.id) {
            return first.clone();
        }
        let old = self.table.get(&edit.key).cloned();
        let outcome = self.try_edit(index, edit);
        self.record_outcome(index, edit, old, &outcome);
        outcome
    }

    fn try_edit(&mut self, index: Version, edit: &Edit) -> EditOutcome {
        let current = self.table.get_versioned(&edit.key).filter(|stored| stored.row.is_some());
        let current_version = current.map(|stored| stored.version).unwrap_or_default();
        if current_version != edit.based_on {
            return EditOutcome::Conflict { current: current.cloned() };
        }
        let checked = match &edit.row {
            Some(row) => check_row(&self.table, &edit.key, row),
            None => check_delete(&self.table, &edit.key),
        };
        if let Err(error) = checked {
            return EditOutcome::Invalid(error);
        }
        self.table.write(index, edit.key.clone(), edit.row.clone());
        let recall = self.update_issue(index, edit);
        EditOutcome::Accepted { version: index, recall }
    }

    /// Adjusts the issue of a budget after its row was written.
    fn update_issue(&mut self, index: Version, edit: &Edit) -> Option<Recall> {
        let (RowKey::Budget(name), Some(Row::Budget(budget))) = (&edit.key, &edit.row) else {
            return None;
        };
        let issue = issue_to_zones(&self.table, name, budget.limit);
        let recall = Recall { limit: budget.limit, held: issue.held() };
        let must_recall = !issue.recall.is_zero();
        self.table.write(index, RowKey::Issue(name.clone()), Some(Row::Issue(issue)));
        must_recall.then_some(recall)
    }

    fn record_outcome(
        &mut self,
        index: Version,
        edit: &Edit,
        old: Option<Row>,
        outcome: &EditOutcome,
    ) {
        self.outcomes.insert(edit.id.clone(), outcome.clone());
        self.outcome_order.push_back(edit.id.clone());
        if self.outcome_order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.audit.push_back(AuditRecord {
            version: index,
            at: edit.received_at,
            operator: edit.operator.clone(),
            origin: edit.origin.clone(),
            key: edit.key.clone(),
            old,
            new: edit.row.clone(),
            outcome: outcome.clone(),
        });
        if self.audit.len() > MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
    }

    fn account(&self, account: &AccountId) -> Result<AccountRow, AccountRefusal> {
        match self.table.get(&RowKey::Account(account.clone())) {
            Some(Row::Account(row)) => Ok(row.clone()),
            _ => Err(AccountRefusal::Unknown),
        }
    }

    fn account_at(
        &self,
        account: &AccountId,
        expected: Epoch,
    ) -> Result<AccountRow, AccountRefusal> {
        let row = self.account(account)?;
        if row.epoch != expected {
            return Err(AccountRefusal::StaleEpoch);
        }
        Ok(row)
    }

    fn write_account(&mut self, index: Version, account: &AccountId, row: AccountRow) {
        self.table.write(index, RowKey::Account(account.clone()), Some(Row::Account(row)));
    }

    fn open_account(
        &mut self,
        index: Version,
        account: &AccountId,
        zone: &ZoneName,
    ) -> Result<Epoch, AccountRefusal> {
        if let Ok(row) = self.account(account) {
            return Ok(row.epoch);
        }
        let row = AccountRow {
            epoch: Epoch(1),
            zone: zone.clone(),
            owner: account.opener.clone(),
            backup: None,
            state: AccountState::Active,
        };
        self.write_account(index, account, row);
        Ok(Epoch(1))
    }

    fn change_backup(
        &mut self,
        index: Version,
        account: &AccountId,
        expected: Epoch,
        backup: &NodeId,
    ) -> Result<Epoch, AccountRefusal> {
        let mut row = self.account_at(account, expected)?;
        if row.state == AccountState::Lost || row.owner == *backup {
            return Err(AccountRefusal::WrongState);
        }
        let first_backup = row.backup.is_none();
        row.epoch = expected.next();
        row.backup = Some(backup.clone());
        let epoch = row.epoch;
        let zone = row.zone.clone();
        let active = row.state == AccountState::Active;
        self.write_account(index, account, row);
        // An account receives rights and keys only once a second machine holds a copy of it.
        if first_backup && active {
            self.assign_key_slots(index, &zone);
            self.issue_for_zone(index, &zone);
        }
        Ok(epoch)
    }

    fn seal(
        &mut self,
        index: Version,
        account: &AccountId,
        expected: Epoch,
    ) -> Result<Epoch, AccountRefusal> {
        let mut row = self.account_at(account, expected)?;
        let Some(new_owner) = row.backup.take() else {
            return Err(AccountRefusal::WrongState);
        };
        if row.state == AccountState::Lost {
            return Err(AccountRefusal::WrongState);
        }
        row.epoch = expected.next();
        row.owner = new_owner;
        row.state = AccountState::Sealed;
        let epoch = row.epoch;
        self.write_account(index, account, row);
        Ok(epoch)
    }

    fn mark_lost(
        &mut self,
        index: Version,
        account: &AccountId,
        expected: Epoch,
    ) -> Result<Epoch, AccountRefusal> {
        let mut row = self.account_at(account, expected)?;
        if row.state == AccountState::Lost {
            return Err(AccountRefusal::WrongState);
        }
        row.epoch = expected.next();
        row.backup = None;
        row.state = AccountState::Lost;
        let epoch = row.epoch;
        let zone = row.zone.clone();
        self.write_account(index, account, row);
        self.assign_key_slots(index, &zone);
        Ok(epoch)
    }

    /// Assigns every key slot of `zone` that has no account, or a lost one, to an active account
    /// with a backup.
    fn assign_key_slots(&mut self, index: Version, zone: &ZoneName) {
        let candidates: Vec<AccountId> = active_accounts(&self.table, zone)
            .filter(|account| self.account(account).is_ok_and(|row| row.backup.is_some()))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let key = RowKey::KeySlots(zone.clone());
        let old = match self.table.get(&key) {
            Some(Row::KeySlots(slots)) => Some(slots.clone()),
            _ => None,
        };
        let mut slots = KeySlotsRow { accounts: Vec::new(), forgotten: Vec::new() };
        for slot in 0..KEY_SLOT_COUNT {
            let previous = old.as_ref().map(|row| (&row.accounts[slot], row.forgotten[slot]));
            let retained = previous.filter(|(account, _)| self.is_not_lost(account));
            match retained {
                Some((account, forgotten)) => {
                    slots.accounts.push(account.clone());
                    slots.forgotten.push(forgotten);
                }
                None => {
                    let rank = |account: &&AccountId| {
                        rendezvous_rank(&slot.to_string(), &account.to_string())
                    };
                    let chosen = candidates.iter().max_by_key(rank).expect("not empty");
                    slots.accounts.push(chosen.clone());
                    slots.forgotten.push(previous.is_some());
                }
            }
        }
        if old.as_ref() != Some(&slots) {
            self.table.write(index, key, Some(Row::KeySlots(slots)));
        }
    }

    fn is_not_lost(&self, account: &AccountId) -> bool {
        self.account(account).is_ok_and(|row| row.state != AccountState::Lost)
    }

    /// Issues the share of `zone` of every budget of which the zone has not received any rights yet.
    fn issue_for_zone(&mut self, index: Version, zone: &ZoneName) {
        let budgets: Vec<(BudgetName, Tokens)> = self
            .table
            .rows()
            .filter_map(|(key, row)| match (key, row) {
                (RowKey::Budget(name), Row::Budget(budget)) => Some((name.clone(), budget.limit)),
                _ => None,
            })
            .collect();
        for (name, limit) in budgets {
            let key = RowKey::Issue(name.clone());
            let already_issued = matches!(self.table.get(&key), Some(Row::Issue(issue))
                if issue.by_zone.contains_key(zone));
            if !already_issued {
                let issue = issue_to_zones(&self.table, &name, limit);
                self.table.write(index, key, Some(Row::Issue(issue)));
            }
        }
    }

    fn commit_return(
        &mut self,
        index: Version,
        budget: &BudgetName,
        account: &AccountId,
        total: Tokens,
    ) -> CommandOutcome {
        let key = RowKey::Issue(budget.clone());
        let (Some(Row::Issue(issue)), Ok(row)) = (self.table.get(&key), self.account(account))
        else {
            return CommandOutcome::Done;
        };
        let mut issue = issue.clone();
        let recorded = issue.returned.entry(account.clone()).or_default();
        let increase = total - *recorded;
        if increase.is_zero() {
            return CommandOutcome::Issue(issue);
        }
        *recorded = total;
        let zone_rights = issue.by_zone.entry(row.zone).or_default();
        *zone_rights = *zone_rights - increase;
        self.table.write(index, key.clone(), Some(Row::Issue(issue)));
        let limit = match self.table.get(&RowKey::Budget(budget.clone())) {
            Some(Row::Budget(row)) => row.limit,
            _ => Tokens::ZERO,
        };
        let issue = issue_to_zones(&self.table, budget, limit);
        self.table.write(index, key, Some(Row::Issue(issue.clone())));
        CommandOutcome::Issue(issue)
    }
}
