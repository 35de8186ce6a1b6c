//! What operators are shown, as JSON.

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
    /// Its name.
    pub name: String,
    /// The version that last wrote it.
    pub version: Version,
    /// Its content.
    pub row: Value,
}

/// An edit as operators send it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Names the edit; a resent one carries the same id.
    pub id: String,
    /// The kind of row.
    pub table: String,
    /// Its name.
    pub name: String,
    /// Version of the row that the operator saw; 0 if there was none.
    pub based_on: Version,
    /// The new content; `null` deletes the row.
    pub row: Value,
}

/// What became of an edit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum EditView {
    /// The row was written.
    Accepted {
        /// Its new version.
        version: Version,
        /// Set where a lowered limit takes effect only as far as rights come back.
        recall: Option<Recall>,
    },
    /// Another edit came first.
    Conflict {
        /// The row as it is now; `None` if it does not exist.
        current: Option<RowView>,
    },
    /// The new content is not allowed.
    Invalid {
        /// The field.
        field: String,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// Another replica leads.
    NotLeader {
        /// Its machine, if known.
        leader: Option<MachineName>,
    },
    /// The edit may yet be accepted; sending it again under the same id is safe.
    Unconfirmed,
}

/// A budget and its shares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetView {
    /// The budget.
    pub budget: BudgetName,
    /// The limit in the table.
    pub limit: Tokens,
    /// Rights issued to each zone, less those given back.
    pub by_zone: BTreeMap<ZoneName, Tokens>,
    /// Rights not issued.
    pub pool: Tokens,
    /// Rights that zones must give back.
    pub recall: Tokens,
    /// What the bills stored on this replica add up to.
    pub billed: Tokens,
}

/// A router as a replica hears it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountView {
    /// The account.
    pub account: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its epoch.
    pub epoch: Epoch,
    /// Who owns it.
    pub owner: String,
    /// Who backs it up.
    pub backup: Option<String>,
    /// Where it stands in its life.
    pub state: AccountState,
}

/// A replica's view of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetView {
    /// The replica itself.
    pub replica: ControlStatus,
    /// Routers by zone, and how many have the newest configuration.
    pub zones: Vec<ZoneProgress>,
    /// Accounts that are not lost or emptied.
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

/// Splits a key into the names operators use.
pub fn table_and_name(key: &RowKey) -> Option<(String, String)> {
    let table = key.table()?;
    let text = key.to_string();
    let (_, name) = text.split_once('/')?;
    Some((table.as_str().to_string(), name.to_string()))
}

/// A row as operators see it; `None` for rows of the control plane and deleted ones.
pub fn row_view(key: &RowKey, versioned: &Versioned) -> Option<RowView> {
    let (table, name) = table_and_name(key)?;
    let row = row_to_json(versioned.row.as_ref()?);
    Some(RowView { table, name, version: versioned.version, row })
}

/// An edit's outcome as operators see it.
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

/// A field error as operators see it.
pub fn invalid_edit(error: FieldError) -> EditView {
    let FieldError { field, found, allowed, .. } = error;
    EditView::Invalid { field, found, allowed }
}

/// A budget as operators see it.
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

/// An account as operators see it.
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
