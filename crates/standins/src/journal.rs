//! Journal of a stand-in's actions: one JSON object per line.

use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// A journal entry.
#[derive(Debug, Serialize)]
pub struct JournalEntry<'a> {
    /// Kind of event: `started`, `finished`, `cancelled`, `turned_away`, `executed`, `order`,
    /// `order_refused`.
    pub event: &'a str,
    /// Id of the request, or the fencing token of the order.
    pub subject: &'a str,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens generated so far.
    pub completion_tokens: u64,
}

/// Journal file; without a file, entries are discarded.
#[derive(Debug)]
pub struct Journal(Option<Mutex<File>>);

impl Journal {
    /// Opens the file for appending, if a path is given.
    pub fn open(path: Option<&Path>) -> Result<Self, String> {
        let Some(path) = path else {
            return Ok(Self(None));
        };
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|error| format!("open `{}`: {error}", path.display()))?;
        Ok(Self(Some(Mutex::new(file))))
    }

    /// Appends an entry. A write error is printed, not returned.
    pub fn append(&self, entry: &JournalEntry<'_>) {
        let Some(file) = &self.0 else { return };
        let Ok(mut line) = serde_json::to_vec(entry) else {
            return;
        };
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&line) {
            eprintln!("write to the journal failed: {error}");
        }
    }
}
