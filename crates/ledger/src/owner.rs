//! The owner's side of an account.

use crate::mirror::{MirrorAck, MirrorMessage};
use crate::record::Record;
use crate::state::AccountState;
use stackpost_table::{AccountRow, AccountState as AccountStatus};
use stackpost_types::*;
use std::collections::VecDeque;

/// Time without progress after which unacknowledged changes are resent.
const RESEND_AFTER: Millis = Millis(150);
/// Time without a sent message after which a heartbeat is sent.
const HEARTBEAT_AFTER: Millis = Millis(400);
/// Maximum number of changes in one message.
const RECORDS_PER_MESSAGE: usize = 512;

/// Effect of a new view, the account's row in the table, on the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// The view is not newer than the known one.
    Unchanged,
    /// The node still owns the account; the backup or the epoch has changed.
    StillOwner,
    /// Another node owns the account, or the account is lost. None of its changes may take effect
    /// any more.
    OwnershipLost,
}

/// Replication progress of one backup or candidate.
#[derive(Clone, Debug)]
struct ReplicaProgress {
    node: NodeId,
    /// Whether the replica has acknowledged that it holds a copy.
    has_snapshot: bool,
    acked: u64,
    sent: u64,
    sent_at: Timestamp,
    /// When the oldest unacknowledged change was sent, or when a further change was last
    /// acknowledged. Sending newer changes does not update it, so that a lost change is detected
    /// under steady traffic.
    progress_at: Timestamp,
    last_ack_at: Timestamp,
}

impl ReplicaProgress {
    fn new(node: NodeId, now: Timestamp) -> Self {
        Self {
            node,
            has_snapshot: false,
            acked: 0,
            sent: 0,
            sent_at: Timestamp(0),
            progress_at: now,
            last_ack_at: now,
        }
    }
}

/// An account at its owner.
///
/// Invariant: the effects of a change are released only once the backup named in the newest
/// *committed* view holds the change. The owner may not know that view yet, but only the owner
/// itself requests a new backup, and from then on it waits for both the old and the new one.
#[derive(Clone, Debug)]
pub struct OwnedAccount {
    id: AccountId,
    epoch: Epoch,
    zone: ZoneName,
    state: AccountState,
    sequence: u64,
    /// Changes not yet acknowledged by every replica that holds a copy; the first is numbered
    /// `sequence − len + 1`.
    unacked: VecDeque<Record>,
    backup: Option<ReplicaProgress>,
    candidate: Option<ReplicaProgress>,
    /// Whether the control plane has been asked to make the candidate, which holds a copy, the
    /// backup.
    backup_requested: bool,
}

impl OwnedAccount {
    /// Creates the owner's side of an account with `state` after `sequence` changes, owned
    /// according to `row`.
    pub fn new(
        id: AccountId,
        row: &AccountRow,
        state: AccountState,
        sequence: u64,
        now: Timestamp,
    ) -> Self {
        Self {
            id,
            epoch: row.epoch,
            zone: row.zone.clone(),
            state,
            sequence,
            unacked: VecDeque::new(),
            backup: row.backup.clone().map(|node| ReplicaProgress::new(node, now)),
            candidate: None,
            backup_requested: false,
        }
    }

    /// Creates an account without a backup.
    pub fn solo(node: &NodeId, zone: ZoneName) -> Self {
        Self {
            id: AccountId::solo(node),
            epoch: Epoch(0),
            zone,
            state: AccountState::default(),
            sequence: 0,
            unacked: VecDeque::new(),
            backup: None,
            candidate: None,
            backup_requested: false,
        }
    }

    /// The account's id.
    pub fn id(&self) -> &AccountId {
        &self.id
    }

    /// The zone of the node that opened the account.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// The newest epoch known to the owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The state, including changes that are not yet released.
    pub fn state(&self) -> &AccountState {
        &self.state
    }

    /// The backup according to the newest known view.
    pub fn backup(&self) -> Option<&NodeId> {
        self.backup.as_ref().map(|replica| &replica.node)
    }

    /// The node that is to become the backup.
    pub fn candidate(&self) -> Option<&NodeId> {
        self.candidate.as_ref().map(|replica| &replica.node)
    }

    /// Time since the last acknowledgement from the backup; `None` without a backup.
    pub fn backup_silence(&self, now: Timestamp) -> Option<Millis> {
        self.backup.as_ref().map(|replica| now.since(replica.last_ack_at))
    }

    /// Time since the last acknowledgement from the candidate; `None` without a candidate.
    pub fn candidate_silence(&self, now: Timestamp) -> Option<Millis> {
        self.candidate.as_ref().map(|replica| now.since(replica.last_ack_at))
    }

    /// Applies a change and returns its number.
    pub fn append(&mut self, record: Record) -> u64 {
        self.state.apply(&record);
        self.sequence += 1;
        if self.id.kind == AccountKind::Mirrored {
            self.unacked.push_back(record);
        }
        self.sequence
    }

    /// Number of the last change that may take effect.
    pub fn released(&self) -> u64 {
        if self.id.kind == AccountKind::Solo {
            return self.sequence;
        }
        let Some(backup) = &self.backup else { return 0 };
        let acked_by_backup = if backup.has_snapshot { backup.acked } else { 0 };
        match &self.candidate {
            Some(candidate) if self.backup_requested => acked_by_backup.min(candidate.acked),
            _ => acked_by_backup,
        }
    }

    /// Starts replicating the account to `node`, which is to become the backup.
    pub fn start_candidate(&mut self, now: Timestamp, node: NodeId) {
        // Once the control plane has been asked, the request may still be committed: the candidate
        // can't be dropped before the outcome is known.
        if !self.backup_requested && self.backup() != Some(&node) {
            self.candidate = Some(ReplicaProgress::new(node, now));
        }
    }

    /// Drops the candidate unless the control plane has been asked to make it the backup.
    pub fn drop_candidate(&mut self) {
        if !self.backup_requested {
            self.candidate = None;
        }
    }

    /// The candidate, once it holds a complete copy. The caller asks the control plane, repeatedly,
    /// to make it the backup. From the first call on, its acknowledgements are required too.
    pub fn backup_request(&mut self) -> Option<NodeId> {
        let candidate = self.candidate.as_ref().filter(|replica| replica.has_snapshot)?;
        self.backup_requested = true;
        Some(candidate.node.clone())
    }

    /// Processes the account's newest view.
    pub fn on_view(&mut self, now: Timestamp, own_node: &NodeId, row: &AccountRow) -> ViewChange {
        if row.epoch <= self.epoch {
            return ViewChange::Unchanged;
        }
        self.epoch = row.epoch;
        if row.owner != *own_node || row.state == AccountStatus::Lost {
            return ViewChange::OwnershipLost;
        }
        if row.backup.as_ref() != self.backup() {
            let candidate = self.candidate.take();
            let promoted = candidate.filter(|replica| Some(&replica.node) == row.backup.as_ref());
            let new_replica = || row.backup.clone().map(|node| ReplicaProgress::new(node, now));
            self.backup = promoted.or_else(new_replica);
        }
        self.candidate = None;
        self.backup_requested = false;
        self.trim();
        ViewChange::StillOwner
    }

    /// Processes an acknowledgement.
    pub fn on_ack(&mut self, now: Timestamp, from: &NodeId, ack: &MirrorAck) {
        let replicas = [self.backup.as_mut(), self.candidate.as_mut()];
        for replica in replicas.into_iter().flatten().filter(|replica| replica.node == *from) {
            replica.last_ack_at = now;
            match ack.sequence {
                Some(sequence) => {
                    replica.has_snapshot = true;
                    if sequence > replica.acked {
                        replica.progress_at = now;
                    }
                    replica.acked = replica.acked.max(sequence);
                    replica.sent = replica.sent.max(replica.acked);
                }
                None if replica.has_snapshot => {
                    // The same incarnation reports that it has no copy: possible only if
                    // acknowledgements were reordered. A new snapshot restores it.
                    replica.has_snapshot = false;
                    replica.sent_at = Timestamp(0);
                }
                None => {}
            }
        }
        self.trim();
    }

    /// Returns the messages that are due and records them as sent.
    pub fn flush(&mut self, now: Timestamp) -> Vec<(NodeId, MirrorMessage)> {
        let first_unacked = self.sequence - self.unacked.len() as u64 + 1;
        let mut messages = Vec::new();
        let replicas = [self.backup.as_mut(), self.candidate.as_mut()];
        for replica in replicas.into_iter().flatten() {
            let since_sent = now.since(replica.sent_at);
            let is_stalled = now.since(replica.progress_at) >= RESEND_AFTER;
            if replica.acked < replica.sent && is_stalled {
                replica.sent = replica.acked;
                replica.progress_at = now;
            } else if replica.acked == replica.sent {
                replica.progress_at = now;
            }
            let needs_snapshot = !replica.has_snapshot || replica.acked + 1 < first_unacked;
            if needs_snapshot {
                if replica.sent_at == Timestamp(0) || since_sent >= RESEND_AFTER {
                    replica.sent_at = now;
                    replica.sent = replica.sent.max(self.sequence);
                    messages.push((
                        replica.node.clone(),
                        snapshot_message(&self.id, self.epoch, self.sequence, &self.state),
                    ));
                }
                continue;
            }
            if replica.sent == self.sequence && since_sent < HEARTBEAT_AFTER {
                continue;
            }
            let skip = (replica.sent + 1 - first_unacked) as usize;
            let records: Vec<Record> =
                self.unacked.iter().skip(skip).take(RECORDS_PER_MESSAGE).cloned().collect();
            let first = replica.sent + 1;
            replica.sent += records.len() as u64;
            replica.sent_at = now;
            let account = self.id.clone();
            let message = MirrorMessage::Batch { account, epoch: self.epoch, first, records };
            messages.push((replica.node.clone(), message));
        }
        messages
    }

    /// Whether changes are waiting for an acknowledgement.
    pub fn has_unacked(&self) -> bool {
        self.released() < self.sequence
    }

    /// Number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Drops changes that every replica with a copy has acknowledged. A replica without one is sent
    /// a snapshot, which includes them.
    fn trim(&mut self) {
        let replicas = [self.backup.as_ref(), self.candidate.as_ref()];
        let confirmed = |replica: &ReplicaProgress| {
            if replica.has_snapshot { replica.acked } else { self.sequence }
        };
        let confirmed_by_all =
            replicas.into_iter().flatten().map(confirmed).min().unwrap_or(self.sequence);
        let is_confirmed = |first: u64| first <= confirmed_by_all;
        while !self.unacked.is_empty()
            && is_confirmed(self.sequence - self.unacked.len() as u64 + 1)
        {
            self.unacked.pop_front();
        }
    }
}

fn snapshot_message(
    id: &AccountId,
    epoch: Epoch,
    sequence: u64,
    state: &AccountState,
) -> MirrorMessage {
    let state = Box::new(state.clone());
    MirrorMessage::Snapshot { account: id.clone(), epoch, sequence, state }
}
