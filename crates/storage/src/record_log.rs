//! One append-only file of checksummed records.

use crate::disk::Disk;
use crate::log_store::StoreError;
use crate::record::{self, Framed};

/// Records of any content in one file.
#[derive(Debug)]
pub struct RecordLog<D> {
    disk: D,
    file: String,
}

impl<D: Disk> RecordLog<D> {
    /// Opens the file and reads its records; a missing file has none. A torn tail is truncated.
    pub fn open(mut disk: D, file: &str) -> Result<(Self, Vec<Vec<u8>>), StoreError> {
        let exists = disk.list()?.iter().any(|name| name == file);
        let bytes = if exists { disk.read(file)? } else { Vec::new() };
        let (records, intact_length) = split_records(&bytes);
        if intact_length < bytes.len() {
            if record::has_record_after(&bytes, intact_length) {
                return Err(StoreError::Damaged {
                    file: file.to_string(),
                    position: intact_length,
                });
            }
            disk.truncate(file, intact_length as u64)?;
        }
        Ok((Self { disk, file: file.to_string() }, records))
    }

    /// Appends a record; it is durable after [`Self::sync`].
    pub fn append(&mut self, content: &[u8]) -> Result<(), StoreError> {
        self.disk.append(&self.file, &record::encode(content))?;
        Ok(())
    }

    /// Makes all appended records durable.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.disk.sync(&self.file)?;
        Ok(())
    }

    /// Reads all records.
    pub fn read_all(&self) -> Result<Vec<Vec<u8>>, StoreError> {
        let exists = self.disk.list()?.contains(&self.file);
        if !exists {
            return Ok(Vec::new());
        }
        Ok(split_records(&self.disk.read(&self.file)?).0)
    }
}

/// The intact records from the start of the file, and the offset after the last one.
fn split_records(bytes: &[u8]) -> (Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let mut position = 0;
    while let Framed::Record(content, next) = record::decode_at(bytes, position) {
        records.push(content.to_vec());
        position = next;
    }
    (records, position)
}
