//! The part of the log that is kept in memory: everything after the last snapshot.

use crate::message::{Entry, LogIndex, Payload, Snapshot, Term, Voters};

/// Entries after a snapshot, and who votes as of the last one.
///
/// A change of voters counts from the moment at which its entry is in the log, committed or not, and
/// counts no more if the entry is replaced (Ongaro's dissertation, section 4.1). Whether a replica has
/// heard that a change is committed thus makes no difference to what it does.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    voters: Voters,
    voters_index: LogIndex,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self { snapshot, entries, ..Self::default() };
        log.find_voters();
        log
    }

    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The newest voters in the log.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The entry that made them voters; the snapshot's index if it is no longer kept.
    pub fn voters_index(&self) -> LogIndex {
        self.voters_index
    }

    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` if it is compacted away or not there yet.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `limit` entries from `from` on.
    pub fn slice(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.iter().skip(skipped).take(limit).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Voters(voters) = &entry.payload {
            self.voters = voters.clone();
            self.voters_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(kept);
        self.find_voters();
    }

    /// Replaces the entries up to `index` by the state `data` as of `index`.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let voters = self.voters_at(index).1;
        self.install(Snapshot { index, term, voters, data });
    }

    /// Replaces what precedes the snapshot's index by the snapshot. Entries after it are kept if
    /// they follow on from it, otherwise dropped.
    pub fn install(&mut self, snapshot: Snapshot) {
        let follows_on = self.term_at(snapshot.index) == Some(snapshot.term);
        let index = snapshot.index;
        self.entries.retain(|entry| follows_on && entry.index > index);
        self.snapshot = snapshot;
        self.find_voters();
    }

    fn find_voters(&mut self) {
        (self.voters_index, self.voters) = self.voters_at(self.last_index());
    }

    /// The voters as of the entry at `index`, and the entry that made them voters.
    fn voters_at(&self, index: LogIndex) -> (LogIndex, Voters) {
        let changes = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let newest = changes.filter_map(|entry| match &entry.payload {
            Payload::Voters(voters) => Some((entry.index, voters.clone())),
            Payload::Empty | Payload::Command(_) => None,
        });
        let from_snapshot = || (self.snapshot.index, self.snapshot.voters.clone());
        newest.into_iter().next().unwrap_or_else(from_snapshot)
    }
}
