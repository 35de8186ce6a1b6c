//! What a process sends over its connections, by kind of message.

use std::collections::BTreeMap;

/// A message that knows its kind.
pub trait MessageKind {
    /// The kind as written in logs and metrics; one of a small set.
    fn kind(&self) -> &'static str;
}

/// Messages of one kind that were queued on connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentMessages {
    /// Number of messages, once for each connection.
    pub messages: u64,
    /// Their encoded size in bytes, without the length prefix.
    pub bytes: u64,
}

/// Messages sent since the last reading, by kind.
pub type SentByKind = BTreeMap<&'static str, SentMessages>;
