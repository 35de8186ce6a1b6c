//! The backup's side of an account, and the messages between owner and backup.

use crate::record::Record;
use crate::state::AccountState;
use serde::{Deserialize, Serialize};
use stackpost_types::*;

/// From the owner to a backup or to a node that is to become one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// The whole account after the change numbered `sequence`.
    Snapshot {
        /// The account.
        account: AccountId,
        /// The epoch the owner knows.
        epoch: Epoch,
        /// Changes that the copy reflects.
        sequence: u64,
        /// The copy.
        state: Box<AccountState>,
    },
    /// Changes, the first of them numbered `first`. With none it is a heartbeat.
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
    /// The account spoken of.
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

/// From a backup to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MirrorAck {
    /// The account.
    pub account: AccountId,
    /// All changes up to this one are held. `None`: there is no copy; send a base.
    pub sequence: Option<u64>,
}

/// A backup's copy of an account.
#[derive(Clone, Debug)]
pub struct MirroredAccount {
    /// The owner that feeds it.
    pub owner: NodeId,
    /// Newest epoch seen in a message.
    pub epoch: Epoch,
    /// Changes that the copy reflects.
    pub sequence: u64,
    /// The copy.
    pub state: AccountState,
    /// When the owner was heard from last.
    pub heard_at: Timestamp,
}

impl MirroredAccount {
    /// Takes in a message from `owner`. The caller has made sure that `owner` still is the owner
    /// by the newest view known here. Returns the copy and the acknowledgement.
    pub fn receive(
        held: Option<Self>,
        now: Timestamp,
        owner: &NodeId,
        message: MirrorMessage,
    ) -> (Option<Self>, MirrorAck) {
        let account = message.account().clone();
        let copy = match (held, message) {
            (held, MirrorMessage::Snapshot { epoch, sequence, state, .. }) => {
                Some(Self::take_base(held, now, owner, epoch, sequence, *state))
            }
            (Some(held), MirrorMessage::Batch { epoch, first, records, .. })
                if held.owner == *owner =>
            {
                Some(held.take_batch(now, epoch, first, records))
            }
            (held, MirrorMessage::Batch { .. }) => {
                // No copy under this owner: acknowledging would promise what is not held.
                return (held, MirrorAck { account, sequence: None });
            }
        };
        let sequence = copy.as_ref().map(|held| held.sequence);
        (copy, MirrorAck { account, sequence })
    }

    fn take_base(
        held: Option<Self>,
        now: Timestamp,
        owner: &NodeId,
        epoch: Epoch,
        sequence: u64,
        state: AccountState,
    ) -> Self {
        // A base that was delayed behind newer batches must not take the copy back.
        if let Some(mut held) = held
            && held.owner == *owner
            && held.sequence >= sequence
        {
            held.heard_at = now;
            return held;
        }
        Self { owner: owner.clone(), epoch, sequence, state, heard_at: now }
    }

    fn take_batch(
        mut self,
        now: Timestamp,
        epoch: Epoch,
        first: u64,
        records: Vec<Record>,
    ) -> Self {
        self.heard_at = now;
        self.epoch = self.epoch.max(epoch);
        for (number, record) in (first..).zip(records) {
            // Repeated changes are skipped; a gap ends the batch until it has been filled.
            if number == self.sequence + 1 {
                self.state.apply(&record);
                self.sequence = number;
            }
        }
        self
    }
}
