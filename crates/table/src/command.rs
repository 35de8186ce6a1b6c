//! Commands of the replicated log and their outcomes.

use crate::{Edit, EditOutcome, IssueRow};
use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// The command in one entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. Stands for entries without a command, such as the one that a new leader
    /// writes to commit the entries of earlier terms.
    Noop,
    /// An operator's edit.
    Edit(Edit),
    /// Opens the account of a router incarnation.
    OpenAccount {
        /// The account.
        account: AccountId,
        /// The router's zone.
        zone: ZoneName,
    },
    /// Replaces the account's backup. The owner asks for it after copying the account to `backup`.
    ChangeBackup {
        /// The account.
        account: AccountId,
        /// The epoch that the owner expects.
        expected: Epoch,
        /// The new backup, which holds a complete copy.
        backup: NodeId,
    },
    /// Makes the backup the account's owner, after the previous owner has ended.
    Seal {
        /// The account.
        account: AccountId,
        /// The epoch that the leader expects.
        expected: Epoch,
    },
    /// Marks the account as lost, after its owner and its backup have both ended.
    MarkLost {
        /// The account.
        account: AccountId,
        /// The epoch that the leader expects.
        expected: Epoch,
    },
    /// Records rights that an account has returned after a recall.
    CommitReturn {
        /// The budget.
        budget: BudgetName,
        /// The account that returned the rights.
        account: AccountId,
        /// All rights of the budget that the account has ever returned.
        total: Tokens,
    },
}

/// Why a change of an account was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountRefusal {
    /// The account's epoch is not the expected one.
    StaleEpoch,
    /// The account does not exist.
    Unknown,
    /// The account's state, owner or backup does not allow the change.
    WrongState,
}

/// The outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Nothing to report.
    Done,
    /// The outcome of an edit.
    Edit(EditOutcome),
    /// The account's epoch after the change, or the reason for the refusal.
    Account(Result<Epoch, AccountRefusal>),
    /// The budget's rights after a return.
    Issue(IssueRow),
}
