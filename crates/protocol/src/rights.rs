//! Messages that move rights between accounts.

use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// Asks the owner of `from` for rights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The budget.
    pub budget: BudgetName,
    /// The account asked.
    pub from: AccountId,
    /// The account that is to receive.
    pub to: AccountId,
    /// Needed for requests that wait now.
    pub need: Tokens,
    /// Welcome beyond that.
    pub want: Tokens,
}

/// Answers a [`Pull`]; the rights themselves come as a [`Transfer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// The budget.
    pub budget: BudgetName,
    /// The account asked.
    pub from: AccountId,
    /// The account that asked.
    pub to: AccountId,
    /// What is being sent.
    pub granted: Tokens,
    /// What is reserved there and may yet come free.
    pub reserved: Tokens,
    /// Other accounts believed to have rights available.
    pub others: Vec<AccountId>,
}

/// Rights moved from one account to another, as a total over all time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The budget.
    pub budget: BudgetName,
    /// The giver.
    pub from: AccountId,
    /// The receiver.
    pub to: AccountId,
    /// All that `from` has ever sent to `to`.
    pub total: Tokens,
}

/// The receiver and its backup hold a transfer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferAck {
    /// The budget.
    pub budget: BudgetName,
    /// The giver.
    pub from: AccountId,
    /// The receiver.
    pub to: AccountId,
    /// The total that is held.
    pub total: Tokens,
}

/// What one account has of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingRow {
    /// The budget.
    pub budget: BudgetName,
    /// Rights available.
    pub available: Tokens,
    /// Tokens a second wanted there.
    pub demand: Tokens,
}

/// A report of what an account has, for levelling and as a hint whom to ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// The account.
    pub account: AccountId,
    /// Its zone.
    pub zone: ZoneName,
    /// What it has.
    pub rows: Vec<HoldingRow>,
}
