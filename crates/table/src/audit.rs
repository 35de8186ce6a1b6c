//! Audit trail of edits.

use crate::{EditOutcome, Row, RowKey};
use serde::{Deserialize, Serialize};
use stackpost_types::{OperatorName, Version, WallTime};

/// Record of one edit, accepted or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Log index at which the edit was applied.
    pub version: Version,
    /// Wall-clock time at which the edit was received.
    pub at: WallTime,
    /// The operator who requested the edit.
    pub operator: OperatorName,
    /// Network address that the edit was sent from.
    pub origin: String,
    /// Key of the row.
    pub key: RowKey,
    /// The row before the edit.
    pub old: Option<Row>,
    /// The requested content; `None` for a deletion.
    pub new: Option<Row>,
    /// Outcome of the edit.
    pub outcome: EditOutcome,
}
