//! A configuration as a delta to an earlier one.
//!
//! Configurations change in few places, and every router needs each change at once. A router that
//! holds an earlier version receives only the new parts and copies the rest from its own version.

use crate::message::Document;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// Length in bytes of the blocks by which the base document is indexed.
const BLOCK_BYTES: usize = 48;

/// One part of the new document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// A range of the base document.
    Copy {
        /// Offset in bytes.
        start: u32,
        /// Length in bytes.
        length: u32,
    },
    /// Bytes that are not in the base document.
    New(Vec<u8>),
}

/// Instructions to build a document from an earlier one, the base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// Version of the base document.
    pub base_version: u64,
    /// Version of the new document.
    pub version: u64,
    /// CRC-32 of the new document.
    checksum: u32,
    parts: Vec<Part>,
}

impl DocumentDelta {
    /// The delta from `base` to `document`.
    pub fn between(base: &Document, document: &Document) -> Self {
        Self {
            base_version: base.version,
            version: document.version,
            checksum: crc32fast::hash(&document.bytes),
            parts: parts(&base.bytes, &document.bytes),
        }
    }

    /// Builds the new document; `None` if `base` is not the document that this delta is based on.
    pub fn apply(&self, base: &Document) -> Option<Document> {
        if base.version != self.base_version {
            return None;
        }
        let mut bytes = Vec::new();
        for part in &self.parts {
            match part {
                Part::Copy { start, length } => {
                    let start = *start as usize;
                    bytes.extend_from_slice(base.bytes.get(start..start + *length as usize)?);
                }
                Part::New(new) => bytes.extend_from_slice(new),
            }
        }
        let is_intact = crc32fast::hash(&bytes) == self.checksum;
        is_intact.then(|| Document { version: self.version, bytes: Arc::from(bytes) })
    }
}

fn parts(base: &[u8], new: &[u8]) -> Vec<Part> {
    let blocks: HashMap<&[u8], usize> = base
        .chunks_exact(BLOCK_BYTES)
        .enumerate()
        .map(|(number, block)| (block, number * BLOCK_BYTES))
        .collect();
    let mut parts = Vec::new();
    let (mut at, mut unmatched) = (0, 0);
    while at + BLOCK_BYTES <= new.len() {
        let Some(start) = blocks.get(&new[at..at + BLOCK_BYTES]).copied() else {
            at += 1;
            continue;
        };
        // The match may extend in both directions beyond the block.
        let before = common_end(&base[..start], &new[unmatched..at]);
        let after = common_start(&base[start + BLOCK_BYTES..], &new[at + BLOCK_BYTES..]);
        push_new(&mut parts, &new[unmatched..at - before]);
        let length = before + BLOCK_BYTES + after;
        parts.push(Part::Copy { start: (start - before) as u32, length: length as u32 });
        at += BLOCK_BYTES + after;
        unmatched = at;
    }
    push_new(&mut parts, &new[unmatched..]);
    parts
}

fn push_new(parts: &mut Vec<Part>, bytes: &[u8]) {
    if !bytes.is_empty() {
        parts.push(Part::New(bytes.to_vec()));
    }
}

fn common_start(left: &[u8], right: &[u8]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}

fn common_end(left: &[u8], right: &[u8]) -> usize {
    left.iter().rev().zip(right.iter().rev()).take_while(|(left, right)| left == right).count()
}
