//! Entries of the replicated log.

use crate::{Edit, EditOutcome, IssueRow};
use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Written by a new leader to commit what its predecessors left.
    Noop,
    /// An operator's change.
    Edit(Edit),
    /// A router life opens its account.
    OpenAccount {
        /// The account.
        account: AccountId,
        /// The zone it stands in.
        zone: ZoneName,
    },
    /// The owner has copied the account to `backup` and asks that it counts from now on.
    ChangeBackup {
        /// The account.
        account: AccountId,
        /// The epoch the owner knows.
        expected: Epoch,
        /// The new backup, which holds a whole copy.
        backup: NodeId,
    },
    /// The owner is gone: its backup becomes the owner.
    Seal {
        /// The account.
        account: AccountId,
        /// The epoch the leader knows.
        expected: Epoch,
    },
    /// Owner and backup are both gone.
    MarkLost {
        /// The account.
        account: AccountId,
        /// The epoch the leader knows.
        expected: Epoch,
    },
    /// An account has given back rights that were recalled.
    CommitReturn {
        /// The budget.
        budget: BudgetName,
        /// Who gave back.
        account: AccountId,
        /// All that it has ever given back.
        total: Tokens,
    },
}

/// Why a change of an account was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountRefusal {
    /// The account's epoch is no longer the one named.
    StaleEpoch,
    /// There is no such account.
    Unknown,
    /// A sealed or lost account, or one without a backup, can't be changed so.
    WrongState,
}

/// What applying a command did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Nothing to report.
    Done,
    /// What became of an edit.
    Edit(EditOutcome),
    /// What became of a change of an account.
    Account(Result<Epoch, AccountRefusal>),
    /// The budget's rights after a return.
    Issue(IssueRow),
}
