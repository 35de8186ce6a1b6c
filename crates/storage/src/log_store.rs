//! Stores Raft's durable state in segments and snapshots.

use crate::disk::{Disk, DiskError};
use crate::record::{self, Framed};
use serde::{Deserialize, Serialize};
use stackpost_consensus::{Entry, HardState, RestoredState, Snapshot};
use thiserror::Error;

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";

/// The reason why a data folder could not be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A record is damaged and intact ones follow it.
    #[error(
        "storage: `{file}` is damaged at byte {position} with intact records after it; accepted \
         changes may be lost. Move the data folder aside and start the replica without one: it \
         rejoins under a new identity and copies everything from the others"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Offset of the damaged record in bytes.
        position: usize,
    },
}

#[derive(Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
    /// All records of one `append`, under one checksum: after a power loss any part of the last
    /// write may be missing, and an intact entry after a missing one would look like damage to
    /// synced data.
    Batch(Vec<Record>),
}

/// The durable state of one replica. Every method that writes syncs before it returns.
#[derive(Debug)]
pub struct LogStore<D> {
    disk: D,
    identity: u64,
    segment: String,
    generation: u64,
}

impl<D: Disk> LogStore<D> {
    /// Creates a new data folder with `identity`.
    pub fn create(mut disk: D, identity: u64) -> Result<Self, StoreError> {
        let content = record::encode(&identity.to_le_bytes());
        disk.replace(IDENTITY_FILE, &content)?;
        Ok(Self { disk, identity, segment: segment_name(0), generation: 0 })
    }

    /// Whether the folder holds a replica's state.
    pub fn exists(disk: &D) -> Result<bool, StoreError> {
        Ok(disk.list()?.iter().any(|file| file == IDENTITY_FILE))
    }

    /// Opens an existing data folder and reads its state.
    pub fn open(disk: D) -> Result<(Self, RestoredState), StoreError> {
        let files = disk.list()?;
        let identity = read_identity(&disk)?;
        let mut restored = RestoredState::default();
        if files.iter().any(|file| file == SNAPSHOT_FILE) {
            restored.snapshot = read_snapshot(&disk)?;
        }
        let segments: Vec<String> =
            files.into_iter().filter(|file| file.starts_with(SEGMENT_PREFIX)).collect();
        let mut store = Self { disk, identity, segment: segment_name(0), generation: 0 };
        for (position, file) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            store.read_segment(file, is_last, &mut restored)?;
        }
        if let Some(last) = segments.last() {
            store.generation = generation_of(last);
            store.segment = last.clone();
        }
        drop_entries_covered_by_snapshot(&mut restored);
        Ok((store, restored))
    }

    /// The identity that was generated with the data folder.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Appends and syncs in one write what a `Ready` requires to be durable.
    pub fn append(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let hard_state = hard_state.cloned().map(Record::HardState);
        let records: Vec<Record> =
            hard_state.into_iter().chain(entries.iter().cloned().map(Record::Entry)).collect();
        if records.is_empty() {
            return Ok(());
        }
        self.disk.append(&self.segment, &frame(&Record::Batch(records)))?;
        self.disk.sync(&self.segment)?;
        Ok(())
    }

    /// Stores a snapshot and starts a new segment with `hard_state` and the entries after the
    /// snapshot. Older segments are removed last, so that either the old or the new state can be
    /// read after a crash at any point.
    pub fn install(
        &mut self,
        snapshot: &Snapshot,
        hard_state: &HardState,
        following: &[Entry],
    ) -> Result<(), StoreError> {
        let content = postcard::to_stdvec(snapshot).expect("a snapshot can be encoded");
        self.disk.replace(SNAPSHOT_FILE, &record::encode(&content))?;
        self.generation += 1;
        self.segment = segment_name(self.generation);
        self.append(Some(hard_state), following)?;
        let current = self.segment.clone();
        for file in self.disk.list()? {
            if file.starts_with(SEGMENT_PREFIX) && file < current {
                self.disk.remove(&file)?;
            }
        }
        Ok(())
    }

    fn read_segment(
        &mut self,
        file: &str,
        is_last: bool,
        restored: &mut RestoredState,
    ) -> Result<(), StoreError> {
        let bytes = self.disk.read(file)?;
        let mut position = 0;
        loop {
            match record::decode_at(&bytes, position) {
                Framed::End => return Ok(()),
                Framed::Broken if is_last && !record::has_record_after(&bytes, position) => {
                    self.disk.truncate(file, position as u64)?;
                    return Ok(());
                }
                Framed::Broken => {
                    return Err(StoreError::Damaged { file: file.to_string(), position });
                }
                Framed::Record(content, next) => {
                    let Ok(record) = postcard::from_bytes(content) else {
                        return Err(StoreError::Damaged { file: file.to_string(), position });
                    };
                    replay(record, restored);
                    position = next;
                }
            }
        }
    }
}

/// Applies a record to the restored state. An entry replaces all entries from its index on.
fn replay(record: Record, restored: &mut RestoredState) {
    match record {
        Record::HardState(hard_state) => restored.hard_state = hard_state,
        Record::Entry(entry) => {
            while restored.entries.last().is_some_and(|kept| kept.index >= entry.index) {
                restored.entries.pop();
            }
            restored.entries.push(entry);
        }
        Record::Batch(records) => records.into_iter().for_each(|record| replay(record, restored)),
    }
}

/// Removes entries that the snapshot covers. Later entries are kept only if they follow on from the
/// snapshot: a crash right after a snapshot from another replica was stored leaves the old log in
/// place.
fn drop_entries_covered_by_snapshot(restored: &mut RestoredState) {
    let Snapshot { index, term, .. } = restored.snapshot;
    let conflicts = restored.entries.iter().any(|entry| entry.index == index && entry.term != term);
    restored.entries.retain(|entry| entry.index > index && !conflicts);
    let follows_on = restored.entries.first().is_none_or(|first| first.index == index + 1);
    if !follows_on {
        restored.entries.clear();
    }
}

fn frame(record: &Record) -> Vec<u8> {
    record::encode(&postcard::to_stdvec(record).expect("a record can be encoded"))
}

fn segment_name(generation: u64) -> String {
    format!("{SEGMENT_PREFIX}{generation:012}")
}

fn generation_of(segment: &str) -> u64 {
    segment.trim_start_matches(SEGMENT_PREFIX).parse().unwrap_or_default()
}

fn read_identity<D: Disk>(disk: &D) -> Result<u64, StoreError> {
    let bytes = disk.read(IDENTITY_FILE)?;
    let damaged = || StoreError::Damaged { file: IDENTITY_FILE.to_string(), position: 0 };
    let Framed::Record(content, _) = record::decode_at(&bytes, 0) else {
        return Err(damaged());
    };
    let number: [u8; 8] = content.try_into().map_err(|_| damaged())?;
    Ok(u64::from_le_bytes(number))
}

fn read_snapshot<D: Disk>(disk: &D) -> Result<Snapshot, StoreError> {
    let bytes = disk.read(SNAPSHOT_FILE)?;
    let damaged = || StoreError::Damaged { file: SNAPSHOT_FILE.to_string(), position: 0 };
    let Framed::Record(content, _) = record::decode_at(&bytes, 0) else {
        return Err(damaged());
    };
    postcard::from_bytes(content).map_err(|_| damaged())
}
