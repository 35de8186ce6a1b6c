//! Operators: the edits they send and the replies they receive.

use stackpost_control_core::EditReply;
use stackpost_table::{Edit, EditOutcome, Row, RowKey};
use stackpost_types::{MachineName, Version};

/// An edit and its replies.
#[derive(Clone, Debug)]
pub struct EditRecord {
    /// The edit.
    pub edit: Edit,
    /// Replies with the time of receipt, in the order received.
    pub replies: Vec<(u64, EditReply)>,
    /// When it was first sent, in milliseconds.
    pub sent_at: u64,
    /// Index of the replica to which it is sent next.
    pub next_replica: usize,
    /// Whether its outcome is known.
    pub settled: bool,
}

impl EditRecord {
    /// The final outcome, if it is known.
    pub fn outcome(&self) -> Option<&EditOutcome> {
        self.replies.iter().find_map(|(_, reply)| match reply {
            EditReply::Outcome(outcome) => Some(outcome),
            _ => None,
        })
    }

    /// When it was accepted, and as which version.
    pub fn accepted(&self) -> Option<(u64, Version)> {
        self.replies.iter().find_map(|(at, reply)| match reply {
            EditReply::Outcome(EditOutcome::Accepted { version, .. }) => Some((*at, *version)),
            _ => None,
        })
    }
}

/// An edit that an operator sends once the version of the row is known.
#[derive(Clone, Debug)]
pub struct PlannedEdit {
    pub key: RowKey,
    pub row: Option<Row>,
    /// Version it is based on; `None`: the newest at the replica that receives the edit.
    pub based_on: Option<Version>,
    /// Replica to which it is sent first; `None`: the first one by name.
    pub first_replica: Option<MachineName>,
}
