//! Work that a replica requests from its driver.

use crate::election_event::ElectionEvent;
use crate::message::{Entry, Envelope, HardState, LogIndex, Snapshot};
use stackpost_types::MachineName;

/// A linearizable read may use the state as of `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadConfirmed {
    /// The value that the reader passed to `read_index`.
    pub context: u64,
    /// The state must have applied this entry before the read.
    pub index: LogIndex,
}

/// Work for the driver. The order matters: `hard_state`, `snapshot` and `entries` must be synced
/// before any message is sent, because the messages rely on them being durable.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be made durable.
    pub hard_state: Option<HardState>,
    /// To be made durable and installed as the state.
    pub snapshot: Option<Snapshot>,
    /// To be made durable; an entry replaces everything stored from its index on.
    pub entries: Vec<Entry>,
    /// To be sent afterwards.
    pub messages: Vec<(MachineName, Envelope)>,
    /// To be applied to the state, in order.
    pub committed: Vec<Entry>,
    /// Reads that may now be answered.
    pub reads: Vec<ReadConfirmed>,
    /// Events of elections, for logging.
    pub elections: Vec<ElectionEvent>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.entries.is_empty()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.elections.is_empty()
    }

    /// Whether something must be synced before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
