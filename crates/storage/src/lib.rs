//! The data folder of a control replica.
//!
//! [`LogStore`] keeps Raft's hard state and entries in append-only segments and the latest snapshot
//! in a separate file. Every record carries a checksum. A torn tail, left by a power loss in the
//! middle of a write, is truncated. If a damaged record is followed by intact ones, the store
//! refuses to open, because the damaged record may have been acknowledged.
//!
//! All file access goes through [`Disk`], so that tests can simulate the loss of unsynced writes.

mod disk;
mod file_disk;
mod log_store;
mod memory_disk;
mod record;
mod record_log;

pub use disk::{Disk, DiskError};
pub use file_disk::FileDisk;
pub use log_store::{LogStore, StoreError};
pub use memory_disk::MemoryDisk;
pub use record_log::RecordLog;
