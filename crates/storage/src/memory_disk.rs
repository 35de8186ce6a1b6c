//! An in-memory data folder that can lose unsynced writes.

use crate::disk::{Disk, DiskError};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    content: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct Folder {
    files: BTreeMap<String, MemoryFile>,
    capacity: Option<usize>,
    ignore_sync: bool,
}

/// A folder shared between a process under test and the test, and kept when the process ends.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    folder: Rc<RefCell<Folder>>,
}

impl MemoryDisk {
    /// Simulates a power loss: each file keeps the synced bytes and the first `torn_bytes` after
    /// them.
    pub fn simulate_power_loss(&self, torn_bytes: usize) {
        for file in self.folder.borrow_mut().files.values_mut() {
            let kept = (file.synced + torn_bytes).min(file.content.len());
            file.content.truncate(kept);
            file.synced = kept;
        }
        self.folder.borrow_mut().files.retain(|_, file| file.synced > 0);
    }

    /// Removes all files.
    pub fn erase(&self) {
        self.folder.borrow_mut().files.clear();
    }

    /// Limits the folder to `bytes`; appends beyond the limit fail. `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.folder.borrow_mut().capacity = bytes;
    }

    /// Makes syncs report success without effect: a fault that the tests themselves must detect.
    pub fn ignore_sync(&self, ignore: bool) {
        self.folder.borrow_mut().ignore_sync = ignore;
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, file: &str, offset: usize) {
        if let Some(stored) = self.folder.borrow_mut().files.get_mut(file)
            && let Some(byte) = stored.content.get_mut(offset)
        {
            *byte ^= 1;
        }
    }

    /// Whether the folder has no files.
    pub fn is_empty(&self) -> bool {
        self.folder.borrow().files.is_empty()
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.folder.borrow().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        let folder = self.folder.borrow();
        let stored = folder.files.get(file).ok_or_else(|| DiskError {
            operation: "read",
            file: file.to_string(),
            source: io::ErrorKind::NotFound.into(),
        })?;
        Ok(stored.content.clone())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        let used: usize = folder.files.values().map(|stored| stored.content.len()).sum();
        if folder.capacity.is_some_and(|capacity| used + bytes.len() > capacity) {
            return Err(DiskError {
                operation: "append to",
                file: file.to_string(),
                source: io::ErrorKind::StorageFull.into(),
            });
        }
        let stored = folder.files.entry(file.to_string()).or_default();
        stored.content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        if folder.ignore_sync {
            return Ok(());
        }
        if let Some(stored) = folder.files.get_mut(file) {
            stored.synced = stored.content.len();
        }
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        let stored = MemoryFile { content: bytes.to_vec(), synced: bytes.len() };
        folder.files.insert(file.to_string(), stored);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        if let Some(stored) = self.folder.borrow_mut().files.get_mut(file) {
            stored.content.truncate(length as usize);
            stored.synced = stored.content.len();
        }
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.folder.borrow_mut().files.remove(file);
        Ok(())
    }
}
