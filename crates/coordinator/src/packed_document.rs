//! A whole configuration on its way to a router.
//!
//! After a loss of power every router needs the whole configuration from one leader at once.
//! Configurations are repetitive text, so they travel compressed: otherwise they fill the leader's
//! link for seconds, and its heartbeats wait behind them until it is deposed.

use crate::message::Document;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::sync::Arc;

/// Most bytes that a document may unpack to.
const MAX_DOCUMENT_BYTES: u64 = 32 * 1024 * 1024;

/// A document, compressed.
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
            .expect("memory can be read");
        Self { version: document.version, packed: packed.into() }
    }

    /// The document, byte for byte. Fails if the bytes are damaged or unpack to too many.
    pub fn unpack(&self) -> io::Result<Document> {
        let mut bytes = Vec::new();
        DeflateDecoder::new(&self.packed[..])
            .take(MAX_DOCUMENT_BYTES + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
            return Err(io::Error::other("the document unpacks to too many bytes"));
        }
        Ok(Document { version: self.version, bytes: bytes.into() })
    }

    /// Bytes that travel.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
