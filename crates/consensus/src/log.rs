//! The in-memory part of the log: everything after the latest snapshot.

use crate::message::{Entry, LogIndex, Payload, Snapshot, Term, Voters};

/// Entries after a snapshot, and the voters as of the last entry.
///
/// A change of voters takes effect as soon as its entry is in the log, committed or not, and is
/// undone if the entry is replaced (Ongaro's dissertation, section 4.1). A replica's behaviour thus
/// does not depend on whether it has learned that a change is committed.
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
        log.update_voters();
        log
    }

    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The latest voters in the log.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Index of the entry that names them; the snapshot's index if that entry is compacted away.
    pub fn voters_index(&self) -> LogIndex {
        self.voters_index
    }

    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` if it is compacted away or not in the log yet.
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

    /// Up to `limit` entries starting at `from`.
    pub fn slice(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.iter().skip(skipped).take(limit).cloned().collect()
    }

    /// Entries starting at `from`, up to a number and a size in bytes, but at least one.
    pub fn batch(&self, from: LogIndex, limit: usize, max_bytes: usize) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.snapshot.index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.size();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(skipped).take(limit).take_while(fits).cloned().collect()
    }

    /// Size in bytes of the entries after `after`, up to and including `until`.
    pub fn bytes_between(&self, after: LogIndex, until: LogIndex) -> usize {
        let range = self.entries.iter().filter(|entry| entry.index > after && entry.index <= until);
        range.map(Entry::size).sum()
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Voters(voters) = &entry.payload {
            self.voters = voters.clone();
            self.voters_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(kept);
        self.update_voters();
    }

    /// Replaces the entries up to `index` by a snapshot with the state `data`.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let voters = self.voters_at(index).1;
        self.install(Snapshot { index, term, voters, data });
    }

    /// Replaces the log up to the snapshot's index by the snapshot. Later entries are kept if they
    /// follow on from it, otherwise removed.
    pub fn install(&mut self, snapshot: Snapshot) {
        let follows_on = self.term_at(snapshot.index) == Some(snapshot.term);
        let index = snapshot.index;
        self.entries.retain(|entry| follows_on && entry.index > index);
        self.snapshot = snapshot;
        self.update_voters();
    }

    fn update_voters(&mut self) {
        (self.voters_index, self.voters) = self.voters_at(self.last_index());
    }

    /// The voters as of `index`, and the index of the entry that names them.
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
