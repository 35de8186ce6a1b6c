//! The replicated configuration table.
//!
//! Rows are typed ([`Row`]), identified by a [`RowKey`] and stored with the version that last wrote
//! them ([`Table`]). Operators change rows through an [`Edit`], which carries the version that it
//! is based on. [`StateMachine`] applies committed [`Command`]s in log order on every control
//! replica. Beside the rows it keeps edit outcomes and the audit trail, which must survive a
//! restart too. Routers hold a copy of the [`Table`] and update it by [`Delta`]s.

mod audit;
mod check;
mod command;
mod edit;
mod issue;
mod key;
mod parse;
mod row;
mod state_machine;
mod store;

pub use audit::AuditRecord;
pub use check::{FieldError, check_delete, check_row};
pub use command::{AccountRefusal, Command, CommandOutcome};
pub use edit::{Edit, EditId, EditOutcome, Recall};
pub use issue::issue_to_zones;
pub use key::{RowKey, TableName};
pub use parse::{parse_key, parse_row, row_to_json};
pub use row::*;
pub use state_machine::StateMachine;
pub use store::{Delta, Table, Versioned};
