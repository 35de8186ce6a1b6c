//! JSON representations that the operators' API sends and receives.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use stackpost_control_core::{ControlStatus, ZoneProgress};
use stackpost_ledger::Bill;
use stackpost_table::*;
use stackpost_types::*;
use std::collections::BTreeMap;

/// One row of the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowView {
    /// The kind of row.
    pub table: String,
    /// The row's name.
    pub name: String,
    /// The version that last wrote the row.
    pub version: Version,
    /// The row's content.
    pub row: Value,
}

/// An edit that an operator requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Identifies the edit. A resent edit carries the same id.
    pub id: String,
    /// The kind of row.
    pub table: String,
    /// The row's name.
    pub name: String,
    /// Version of the row that the edit is based on; 0 if the row did not exist.
    pub based_on: Version,
    /// The new content; `null` deletes the row.
    pub row: Value,
}

/// The outcome of an edit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum EditView {
    /// The row was written.
    Accepted {
        /// The row's new version.
        version: Version,
        /// Set if a lowered limit takes effect only as rights are returned.
        recall: Option<Recall>,
    },
    /// The row has changed since the version that the edit is based on.
    Conflict {
        /// The current row; `None` if it does not exist.
        current: Option<RowView>,
    },
    /// The new content is not allowed.
    Invalid {
        /// The invalid field.
        field: String,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// Another replica leads.
    NotLeader {
        /// The leader's machine, if known.
        leader: Option<MachineName>,
    },
    /// The edit may still be accepted. Resending it under the same id is safe.
    Unconfirmed,
}

/// A budget and the rights issued for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetView {
    /// The budget.
    pub budget: BudgetName,
    /// The limit in the table.
    pub limit: Tokens,
    /// Rights issued to each zone, less those it has returned.
    pub by_zone: BTreeMap<ZoneName, Tokens>,
    /// Rights that are not issued.
    pub pool: Tokens,
    /// Rights that zones must return.
    pub recall: Tokens,
    /// Sum of the bills stored on this replica.
    pub billed: Tokens,
}

/// An account.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountView {
    /// The account.
    pub account: String,
    /// The zone of the router that opened it.
    pub zone: ZoneName,
    /// The epoch, which grows by one at each change of the account's row.
    pub epoch: Epoch,
    /// The node that owns the account.
    pub owner: String,
    /// The node that backs the account up.
    pub backup: Option<String>,
    /// The account's state.
    pub state: AccountState,
}

/// A replica's view of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetView {
    /// Status of the replica that was asked.
    pub replica: ControlStatus,
    /// Live routers of each zone, and how many of them have the newest configuration in force.
    pub zones: Vec<ZoneProgress>,
    /// Accounts that are not lost.
    pub accounts: Vec<AccountView>,
}

/// One bill with the account that settled it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BillView {
    /// The account.
    pub account: String,
    /// The bill.
    pub bill: Bill,
}

/// Splits a key into the table and the name that operators use; `None` for rows of the control
/// plane.
pub fn table_and_name(key: &RowKey) -> Option<(String, String)> {
    let table = key.table()?;
    let text = key.to_string();
    let (_, name) = text.split_once('/')?;
    Some((table.as_str().to_string(), name.to_string()))
}

/// Converts a row; `None` for deleted rows and rows of the control plane.
pub fn row_view(key: &RowKey, versioned: &Versioned) -> Option<RowView> {
    let (table, name) = table_and_name(key)?;
    let row = row_to_json(versioned.row.as_ref()?);
    Some(RowView { table, name, version: versioned.version, row })
}

/// Converts the outcome of an edit.
pub fn edit_view(key: &RowKey, outcome: EditOutcome) -> EditView {
    match outcome {
        EditOutcome::Accepted { version, recall } => EditView::Accepted { version, recall },
        EditOutcome::Conflict { current } => {
            let current = current.as_ref().and_then(|versioned| row_view(key, versioned));
            EditView::Conflict { current }
        }
        EditOutcome::Invalid(error) => invalid_edit(error),
    }
}

/// Converts a field error to the outcome of an invalid edit.
pub fn invalid_edit(error: FieldError) -> EditView {
    let FieldError { field, found, allowed, .. } = error;
    EditView::Invalid { field, found, allowed }
}

/// Converts a budget and the rights issued for it.
pub fn budget_view(
    table: &Table,
    name: &BudgetName,
    row: &BudgetRow,
    billed: Tokens,
) -> BudgetView {
    let issue = match table.get(&RowKey::Issue(name.clone())) {
        Some(Row::Issue(issue)) => issue.clone(),
        _ => IssueRow::default(),
    };
    BudgetView {
        budget: name.clone(),
        limit: row.limit,
        by_zone: issue.by_zone,
        pool: issue.pool,
        recall: issue.recall,
        billed,
    }
}

/// Converts an account.
pub fn account_view(account: &AccountId, row: &AccountRow) -> AccountView {
    AccountView {
        account: account.to_string(),
        zone: row.zone.clone(),
        epoch: row.epoch,
        owner: row.owner.to_string(),
        backup: row.backup.as_ref().map(ToString::to_string),
        state: row.state,
    }
}
