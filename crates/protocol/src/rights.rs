//! Messages that transfer rights between accounts.

use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// Requests rights from the owner of the account `from`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The budget.
    pub budget: BudgetName,
    /// The account that is asked for rights.
    pub from: AccountId,
    /// The account that is to receive the rights.
    pub to: AccountId,
    /// Rights needed for requests that are waiting.
    pub need: Tokens,
    /// Rights requested in total. Those beyond `need` are sent only as far as they can be spared.
    pub want: Tokens,
}

/// Reply to [`Pull`]. The rights themselves are sent as a [`Transfer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// The budget.
    pub budget: BudgetName,
    /// The account that is asked for rights.
    pub from: AccountId,
    /// The account that requested the rights.
    pub to: AccountId,
    /// Rights that are being transferred.
    pub granted: Tokens,
    /// Rights reserved at `from`, which may be released later.
    pub reserved: Tokens,
    /// Other accounts that probably have rights available.
    pub others: Vec<AccountId>,
}

/// Rights transferred from one account to another, as a running total.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The budget.
    pub budget: BudgetName,
    /// The account that sends the rights.
    pub from: AccountId,
    /// The account that receives the rights.
    pub to: AccountId,
    /// All rights that `from` has ever transferred to `to`.
    pub total: Tokens,
}

/// Acknowledges a [`Transfer`] that the receiver and its backup have recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferAck {
    /// The budget.
    pub budget: BudgetName,
    /// The account that sends the rights.
    pub from: AccountId,
    /// The account that receives the rights.
    pub to: AccountId,
    /// The total that is recorded.
    pub total: Tokens,
}

/// What one account holds of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingRow {
    /// The budget.
    pub budget: BudgetName,
    /// Rights available.
    pub available: Tokens,
    /// Demand at the account, in tokens per second.
    pub demand: Tokens,
}

/// Report of the rights that an account holds, for rebalancing and for choosing whom to ask for
/// rights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    /// The account.
    pub account: AccountId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its holdings, by budget.
    pub rows: Vec<HoldingRow>,
}
