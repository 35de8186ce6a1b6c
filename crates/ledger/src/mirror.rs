//! The backup's copy of an account, and the messages between owner and backup.

use crate::record::Record;
use crate::state::AccountState;
use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// Message from the owner to a backup or a backup candidate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// The complete account after the change numbered `sequence`.
    Snapshot {
        /// The account.
        account: AccountId,
        /// The epoch the owner knows.
        epoch: Epoch,
        /// Number of the last change in the copy.
        sequence: u64,
        /// The copy.
        state: Box<AccountState>,
    },
    /// Changes numbered from `first`. An empty batch is a heartbeat.
    Batch {
        /// The account.
        account: AccountId,
        /// The epoch the owner knows.
        epoch: Epoch,
        /// Number of the first change.
        first: u64,
        /// The changes.
        records: Vec<Record>,
    },
}

impl MirrorMessage {
    /// The account that the message is about.
    pub fn account(&self) -> &AccountId {
        match self {
            Self::Snapshot { account, .. } | Self::Batch { account, .. } => account,
        }
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::Snapshot { epoch, .. } | Self::Batch { epoch, .. } => *epoch,
        }
    }
}

/// Acknowledgement from a backup to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MirrorAck {
    /// The account.
    pub account: AccountId,
    /// All changes up to this one are held. `None` if there is no copy; the owner then sends a
    /// snapshot.
    pub sequence: Option<u64>,
}

/// A backup's copy of an account.
#[derive(Clone, Debug)]
pub struct MirroredAccount {
    /// The owner it is replicated from.
    pub owner: NodeId,
    /// Newest epoch received from the owner.
    pub epoch: Epoch,
    /// Number of the last change in the copy.
    pub sequence: u64,
    /// The copy.
    pub state: AccountState,
    /// When the last message from the owner was received.
    pub last_message_at: Timestamp,
}

impl MirroredAccount {
    /// Processes a message from `owner`. The caller must have checked that `owner` is still the
    /// owner by the newest view known here. Returns the copy and the acknowledgement.
    pub fn receive(
        held: Option<Self>,
        now: Timestamp,
        owner: &NodeId,
        message: MirrorMessage,
    ) -> (Option<Self>, MirrorAck) {
        let account = message.account().clone();
        let copy = match (held, message) {
            (held, MirrorMessage::Snapshot { epoch, sequence, state, .. }) => {
                Some(Self::apply_snapshot(held, now, owner, epoch, sequence, *state))
            }
            (Some(held), MirrorMessage::Batch { epoch, first, records, .. })
                if held.owner == *owner =>
            {
                Some(held.apply_batch(now, epoch, first, records))
            }
            (held, MirrorMessage::Batch { .. }) => {
                // There is no copy from this owner, so the batch must not be acknowledged.
                return (held, MirrorAck { account, sequence: None });
            }
        };
        let sequence = copy.as_ref().map(|held| held.sequence);
        (copy, MirrorAck { account, sequence })
    }

    fn apply_snapshot(
        held: Option<Self>,
        now: Timestamp,
        owner: &NodeId,
        epoch: Epoch,
        sequence: u64,
        state: AccountState,
    ) -> Self {
        // A snapshot that arrives after newer batches must not revert the copy.
        if let Some(mut held) = held
            && held.owner == *owner
            && held.sequence >= sequence
        {
            held.last_message_at = now;
            return held;
        }
        Self { owner: owner.clone(), epoch, sequence, state, last_message_at: now }
    }

    fn apply_batch(
        mut self,
        now: Timestamp,
        epoch: Epoch,
        first: u64,
        records: Vec<Record>,
    ) -> Self {
        self.last_message_at = now;
        self.epoch = self.epoch.max(epoch);
        for (number, record) in (first..).zip(records) {
            // Duplicate changes are skipped; after a gap the rest of the batch is ignored until the
            // gap has been filled.
            if number == self.sequence + 1 {
                self.state.apply(&record);
                self.sequence = number;
            }
        }
        self
    }
}
