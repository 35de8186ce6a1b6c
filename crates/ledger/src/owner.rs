//! The owner's side of an account.

use crate::mirror::{MirrorAck, MirrorMessage};
use crate::record::Record;
use crate::state::AccountState;
use stackpost_table::{AccountRow, AccountState as LifeState};
use stackpost_types::*;
use std::collections::VecDeque;

/// Silence after which unacknowledged changes are sent again.
const RESEND_AFTER: Millis = Millis(150);
/// Silence after which a heartbeat is sent.
const HEARTBEAT_AFTER: Millis = Millis(400);
/// Changes carried by one message.
const RECORDS_PER_MESSAGE: usize = 512;

/// What a new view means for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// Nothing that concerns it.
    Unchanged,
    /// It still owns the account; the backup or the epoch is new.
    StillOwner,
    /// Another node owns the account, or it is lost. Nothing of it may take effect any more.
    OwnershipLost,
}

/// How far one replica has got.
#[derive(Clone, Debug)]
struct Link {
    node: NodeId,
    /// Whether the replica is known to hold a copy.
    has_base: bool,
    acked: u64,
    sent: u64,
    sent_at: Timestamp,
    /// When the oldest unacknowledged change was sent, or the last one acknowledged. Newer changes
    /// leave it alone, so that a lost one is noticed under steady traffic.
    progress_at: Timestamp,
    heard_at: Timestamp,
}

impl Link {
    fn new(node: NodeId, now: Timestamp) -> Self {
        Self {
            node,
            has_base: false,
            acked: 0,
            sent: 0,
            sent_at: Timestamp(0),
            progress_at: now,
            heard_at: now,
        }
    }
}

/// An account as its owner holds it.
///
/// Invariant: an effect is released only once the backup named in the newest *committed* view
/// holds the change. The owner may not know that view yet, but only the owner itself asks for a
/// new backup, and from then on it waits for the old and the new one.
#[derive(Clone, Debug)]
pub struct OwnedAccount {
    id: AccountId,
    epoch: Epoch,
    zone: ZoneName,
    state: AccountState,
    sequence: u64,
    /// Changes not yet held by every link; the first is numbered `sequence − len + 1`.
    unacked: VecDeque<Record>,
    backup: Option<Link>,
    candidate: Option<Link>,
    /// The candidate holds a copy and the control plane has been asked to make it the backup.
    requested: bool,
}

impl OwnedAccount {
    /// An account with `state` after `sequence` changes, owned under `row`.
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
            backup: row.backup.clone().map(|node| Link::new(node, now)),
            candidate: None,
            requested: false,
        }
    }

    /// An account that its owner keeps alone.
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
            requested: false,
        }
    }

    /// The account's name.
    pub fn id(&self) -> &AccountId {
        &self.id
    }

    /// The zone of its opener.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// The epoch known to the owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What it holds, changes that are not yet released included.
    pub fn state(&self) -> &AccountState {
        &self.state
    }

    /// The backup by the newest known view.
    pub fn backup(&self) -> Option<&NodeId> {
        self.backup.as_ref().map(|link| &link.node)
    }

    /// The node that is being made the backup.
    pub fn candidate(&self) -> Option<&NodeId> {
        self.candidate.as_ref().map(|link| &link.node)
    }

    /// How long the backup has been silent; `None` without a backup.
    pub fn backup_silence(&self, now: Timestamp) -> Option<Millis> {
        self.backup.as_ref().map(|link| now.since(link.heard_at))
    }

    /// How long the candidate has been silent; `None` without a candidate.
    pub fn candidate_silence(&self, now: Timestamp) -> Option<Millis> {
        self.candidate.as_ref().map(|link| now.since(link.heard_at))
    }

    /// Makes a change and returns its number.
    pub fn append(&mut self, record: Record) -> u64 {
        self.state.apply(&record);
        self.sequence += 1;
        if self.id.kind == AccountKind::Mirrored {
            self.unacked.push_back(record);
        }
        self.sequence
    }

    /// Changes up to this one may take effect.
    pub fn released(&self) -> u64 {
        if self.id.kind == AccountKind::Solo {
            return self.sequence;
        }
        let Some(backup) = &self.backup else { return 0 };
        let by_backup = if backup.has_base { backup.acked } else { 0 };
        match &self.candidate {
            Some(candidate) if self.requested => by_backup.min(candidate.acked),
            _ => by_backup,
        }
    }

    /// Starts to copy the account to `node`, which is to become the backup.
    pub fn start_candidate(&mut self, now: Timestamp, node: NodeId) {
        // Once the control plane was asked, the request may yet be committed: the candidate
        // can't be dropped before the outcome is known.
        if !self.requested && self.backup() != Some(&node) {
            self.candidate = Some(Link::new(node, now));
        }
    }

    /// Gives up on a candidate for which the control plane has not been asked.
    pub fn drop_candidate(&mut self) {
        if !self.requested {
            self.candidate = None;
        }
    }

    /// The candidate that holds a whole copy: the control plane is to be asked, repeatedly, to
    /// make it the backup. From the first call on its acknowledgements are needed too.
    pub fn backup_request(&mut self) -> Option<NodeId> {
        let candidate = self.candidate.as_ref().filter(|link| link.has_base)?;
        self.requested = true;
        Some(candidate.node.clone())
    }

    /// Takes in the account's newest view.
    pub fn on_view(&mut self, now: Timestamp, me: &NodeId, row: &AccountRow) -> ViewChange {
        if row.epoch <= self.epoch {
            return ViewChange::Unchanged;
        }
        self.epoch = row.epoch;
        if row.owner != *me || row.state == LifeState::Lost {
            return ViewChange::OwnershipLost;
        }
        if row.backup.as_ref() != self.backup() {
            let candidate = self.candidate.take();
            let promoted = candidate.filter(|link| Some(&link.node) == row.backup.as_ref());
            let fresh = || row.backup.clone().map(|node| Link::new(node, now));
            self.backup = promoted.or_else(fresh);
        }
        self.candidate = None;
        self.requested = false;
        self.trim();
        ViewChange::StillOwner
    }

    /// Takes in an acknowledgement.
    pub fn on_ack(&mut self, now: Timestamp, from: &NodeId, ack: &MirrorAck) {
        let links = [self.backup.as_mut(), self.candidate.as_mut()];
        for link in links.into_iter().flatten().filter(|link| link.node == *from) {
            link.heard_at = now;
            match ack.sequence {
                Some(sequence) => {
                    link.has_base = true;
                    if sequence > link.acked {
                        link.progress_at = now;
                    }
                    link.acked = link.acked.max(sequence);
                    link.sent = link.sent.max(link.acked);
                }
                None if link.has_base => {
                    // It has forgotten its copy although it is the same life: can't happen
                    // unless messages crossed; a base restores it.
                    link.has_base = false;
                    link.sent_at = Timestamp(0);
                }
                None => {}
            }
        }
        self.trim();
    }

    /// The messages that are due.
    pub fn flush(&mut self, now: Timestamp) -> Vec<(NodeId, MirrorMessage)> {
        let first_kept = self.sequence - self.unacked.len() as u64 + 1;
        let mut messages = Vec::new();
        let links = [self.backup.as_mut(), self.candidate.as_mut()];
        for link in links.into_iter().flatten() {
            let idle = now.since(link.sent_at);
            let stalled = now.since(link.progress_at) >= RESEND_AFTER;
            if link.acked < link.sent && stalled {
                link.sent = link.acked;
                link.progress_at = now;
            } else if link.acked == link.sent {
                link.progress_at = now;
            }
            let needs_base = !link.has_base || link.acked + 1 < first_kept;
            if needs_base {
                if link.sent_at == Timestamp(0) || idle >= RESEND_AFTER {
                    link.sent_at = now;
                    link.sent = link.sent.max(self.sequence);
                    messages.push((
                        link.node.clone(),
                        base_of(&self.id, self.epoch, self.sequence, &self.state),
                    ));
                }
                continue;
            }
            if link.sent == self.sequence && idle < HEARTBEAT_AFTER {
                continue;
            }
            let skip = (link.sent + 1 - first_kept) as usize;
            let records: Vec<Record> =
                self.unacked.iter().skip(skip).take(RECORDS_PER_MESSAGE).cloned().collect();
            let first = link.sent + 1;
            link.sent += records.len() as u64;
            link.sent_at = now;
            let account = self.id.clone();
            let message = MirrorMessage::Batch { account, epoch: self.epoch, first, records };
            messages.push((link.node.clone(), message));
        }
        messages
    }

    /// Whether changes wait for an acknowledgement.
    pub fn has_unacked(&self) -> bool {
        self.released() < self.sequence
    }

    /// Number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Drops changes that every link holds.
    fn trim(&mut self) {
        let links = [self.backup.as_ref(), self.candidate.as_ref()];
        let held = |link: &Link| {
            if link.has_base { link.acked } else { self.sequence }
        };
        let needed_after = links.into_iter().flatten().map(held).min().unwrap_or(self.sequence);
        let unneeded = |first: u64| first <= needed_after;
        while !self.unacked.is_empty() && unneeded(self.sequence - self.unacked.len() as u64 + 1) {
            self.unacked.pop_front();
        }
    }
}

fn base_of(id: &AccountId, epoch: Epoch, sequence: u64, state: &AccountState) -> MirrorMessage {
    let state = Box::new(state.clone());
    MirrorMessage::Snapshot { account: id.clone(), epoch, sequence, state }
}
