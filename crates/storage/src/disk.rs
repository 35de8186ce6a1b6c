//! The file operations used by the log store.

use std::io;
use thiserror::Error;

/// A file operation that failed.
#[derive(Debug, Error)]
#[error("storage: {operation} `{file}`: {source}")]
pub struct DiskError {
    /// The operation that failed.
    pub operation: &'static str,
    /// The file, relative to the data folder.
    pub file: String,
    /// The cause.
    pub source: io::Error,
}

/// One data folder. Writes are durable only after a sync, except where noted.
pub trait Disk {
    /// Names of all files, sorted.
    fn list(&self) -> Result<Vec<String>, DiskError>;
    /// Reads the content of a file.
    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError>;
    /// Appends to a file, which is created if it does not exist. Not durable before [`Self::sync`].
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Makes all appended bytes of a file, and the existence of the file, durable.
    fn sync(&mut self, file: &str) -> Result<(), DiskError>;
    /// Replaces a file atomically and durably: after a crash it holds either the old or the new
    /// content.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Truncates a file to `length` bytes, durably.
    fn truncate(&mut self, file: &str, length: u64) -> Result<(), DiskError>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> Result<(), DiskError>;
}
