//! A data folder in memory that can forget what was not synced.

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

/// A folder shared between a process under test and the test, which survives the process.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    folder: Rc<RefCell<Folder>>,
}

impl MemoryDisk {
    /// Loses power: each file keeps what was synced and the first `torn_bytes` after it.
    pub fn simulate_power_loss(&self, torn_bytes: usize) {
        for file in self.folder.borrow_mut().files.values_mut() {
            let kept = (file.synced + torn_bytes).min(file.content.len());
            file.content.truncate(kept);
            file.synced = kept;
        }
        self.folder.borrow_mut().files.retain(|_, file| file.synced > 0);
    }

    /// Loses everything.
    pub fn erase(&self) {
        self.folder.borrow_mut().files.clear();
    }

    /// Refuses writes once the folder holds `bytes`.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.folder.borrow_mut().capacity = bytes;
    }

    /// Makes syncs report success without effect: a defect for tests of the tests.
    pub fn ignore_sync(&self, ignore: bool) {
        self.folder.borrow_mut().ignore_sync = ignore;
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, file: &str, offset: usize) {
        if let Some(held) = self.folder.borrow_mut().files.get_mut(file)
            && let Some(byte) = held.content.get_mut(offset)
        {
            *byte ^= 1;
        }
    }

    /// Whether nothing is stored.
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
        let held = folder.files.get(file).ok_or_else(|| DiskError {
            operation: "read",
            file: file.to_string(),
            source: io::ErrorKind::NotFound.into(),
        })?;
        Ok(held.content.clone())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        let used: usize = folder.files.values().map(|held| held.content.len()).sum();
        if folder.capacity.is_some_and(|capacity| used + bytes.len() > capacity) {
            return Err(DiskError {
                operation: "append to",
                file: file.to_string(),
                source: io::ErrorKind::StorageFull.into(),
            });
        }
        let held = folder.files.entry(file.to_string()).or_default();
        held.content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        if folder.ignore_sync {
            return Ok(());
        }
        if let Some(held) = folder.files.get_mut(file) {
            held.synced = held.content.len();
        }
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut folder = self.folder.borrow_mut();
        let held = MemoryFile { content: bytes.to_vec(), synced: bytes.len() };
        folder.files.insert(file.to_string(), held);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        if let Some(held) = self.folder.borrow_mut().files.get_mut(file) {
            held.content.truncate(length as usize);
            held.synced = held.content.len();
        }
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.folder.borrow_mut().files.remove(file);
        Ok(())
    }
}
