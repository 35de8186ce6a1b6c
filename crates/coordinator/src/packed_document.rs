//! A full configuration, compressed for sending to a router.
//!
//! After a power loss every router needs the full configuration from one leader at once.
//! Configurations are repetitive text, so they are sent compressed: uncompressed they would fill
//! the leader's network link for seconds, and its heartbeats would queue behind them until it loses
//! its leadership.

use crate::message::Document;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::sync::Arc;

/// Maximum length of a decompressed document in bytes.
const MAX_DOCUMENT_BYTES: u64 = 32 * 1024 * 1024;

/// A compressed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    /// Version of the document.
    pub version: u64,
    packed: Arc<[u8]>,
}

impl PackedDocument {
    /// Compresses a document.
    pub fn pack(document: &Document) -> Self {
        let mut packed = Vec::new();
        DeflateEncoder::new(&document.bytes[..], Compression::fast())
            .read_to_end(&mut packed)
            .expect("reading from memory does not fail");
        Self { version: document.version, packed: packed.into() }
    }

    /// Decompresses the document. Fails if the bytes are damaged or decompress to more than 32 MiB.
    pub fn unpack(&self) -> io::Result<Document> {
        let mut bytes = Vec::new();
        DeflateDecoder::new(&self.packed[..])
            .take(MAX_DOCUMENT_BYTES + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
            return Err(io::Error::other("document is larger than 32 MiB when decompressed"));
        }
        Ok(Document { version: self.version, bytes: bytes.into() })
    }

    /// Compressed length in bytes.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
