//! Edits and their outcomes.

use crate::{FieldError, Row, RowKey, Versioned};
use serde::{Deserialize, Serialize};
use stackpost_types::{OperatorName, Tokens, Version, WallTime};

/// Identifies an edit. A resent edit carries the same id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub String);

/// A change of one row that an operator requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Identifies the edit, so that resending it is idempotent.
    pub id: EditId,
    /// The operator who requested the edit.
    pub operator: OperatorName,
    /// Network address that the request was sent from.
    pub origin: String,
    /// Time at which the request was received, by the receiving replica's wall clock.
    pub received_at: WallTime,
    /// Key of the row.
    pub key: RowKey,
    /// Version of the row that the edit is based on; zero if the row did not exist.
    pub based_on: Version,
    /// The new content; `None` deletes the row.
    pub row: Option<Row>,
}

/// A lowered limit that is reached only after rights have been returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    /// The requested limit.
    pub limit: Tokens,
    /// Rights that zones hold or have spent.
    pub held: Tokens,
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EditOutcome {
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
        current: Option<Versioned>,
    },
    /// The new content is not allowed.
    Invalid(FieldError),
}
