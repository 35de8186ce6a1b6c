//! A data folder on a real file system.

use crate::disk::{Disk, DiskError};
use rustix::fs::{FlockOperation, flock};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File on which a running process holds a lock.
const LOCK_FILE: &str = "lock";
/// Suffix of incomplete files.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// A data folder that is locked by one process.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    open_files: HashMap<String, File>,
    _lock_file: File,
}

impl FileDisk {
    /// Opens `folder`, which must exist, and locks it against other processes.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        let lock_file = File::create(folder.join(LOCK_FILE)).map_err(|source| DiskError {
            operation: "open",
            file: folder.display().to_string(),
            source,
        })?;
        flock(&lock_file, FlockOperation::NonBlockingLockExclusive).map_err(|error| DiskError {
            operation: "lock (is another process using this data folder?)",
            file: folder.display().to_string(),
            source: error.into(),
        })?;
        Ok(Self { folder: folder.to_path_buf(), open_files: HashMap::new(), _lock_file: lock_file })
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn try_list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && !name.ends_with(TEMPORARY_SUFFIX) {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn try_append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open_files.contains_key(file) {
            let path = self.folder.join(file);
            let handle = OpenOptions::new().create(true).append(true).open(path)?;
            self.sync_folder()?;
            self.open_files.insert(file.to_string(), handle);
        }
        let handle = self.open_files.get_mut(file).expect("inserted above");
        handle.write_all(bytes)
    }

    fn try_replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{file}{TEMPORARY_SUFFIX}"));
        let mut handle = File::create(&temporary)?;
        handle.write_all(bytes)?;
        handle.sync_all()?;
        fs::rename(&temporary, self.folder.join(file))?;
        self.open_files.remove(file);
        self.sync_folder()
    }

    fn try_truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.open_files.remove(file);
        let handle = OpenOptions::new().write(true).open(self.folder.join(file))?;
        handle.set_len(length)?;
        handle.sync_all()
    }
}

impl Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        self.try_list().map_err(disk_error("list", ""))
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        fs::read(self.folder.join(file)).map_err(disk_error("read", file))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.try_append(file, bytes).map_err(disk_error("append to", file))
    }

    fn sync(&mut self, file: &str) -> Result<(), DiskError> {
        match self.open_files.get(file) {
            Some(handle) => handle.sync_data().map_err(disk_error("sync", file)),
            None => Ok(()),
        }
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.try_replace(file, bytes).map_err(disk_error("replace", file))
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError> {
        self.try_truncate(file, length).map_err(disk_error("truncate", file))
    }

    fn remove(&mut self, file: &str) -> Result<(), DiskError> {
        self.open_files.remove(file);
        fs::remove_file(self.folder.join(file)).map_err(disk_error("remove", file))
    }
}

fn disk_error(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> DiskError {
    let file = file.to_string();
    move |source| DiskError { operation, file, source }
}
