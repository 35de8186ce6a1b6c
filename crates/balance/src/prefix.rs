//! A router's index of an engine's prompt-prefix cache.

use serde::{Deserialize, Serialize};
use stackpost_types::Digest;
use std::collections::{HashSet, VecDeque};

/// Bytes of prompt text covered by one block.
pub const BLOCK_BYTES: usize = 128;
/// Maximum number of blocks kept per engine; the oldest are evicted first.
const MAX_BLOCKS: usize = 8_192;

/// Hash of one block of a prompt and of all text before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Chained hashes of the whole blocks of a prompt, as engines publish them: each depends on the
/// model and on all text before it.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    let mut previous = Digest::of(&[model.as_bytes()]).to_u64();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = Digest::of(&[&previous.to_le_bytes(), block]).to_u64();
            BlockHash(previous)
        })
        .collect()
}

/// One change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// A block was stored.
    Stored(BlockHash),
    /// A block was evicted.
    Removed(BlockHash),
    /// Everything was dropped.
    Cleared,
}

/// Outcome of applying a batch of events to an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheUpdate {
    /// The events were applied.
    Applied,
    /// Events are missing; the complete cache must be read again.
    Gap,
}

/// Estimated set of blocks in an engine's cache.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    blocks: HashSet<BlockHash>,
    insertion_order: VecDeque<BlockHash>,
    /// Sequence number of the next event expected; `None` until the complete cache has been read.
    next_sequence: Option<u64>,
}

impl CacheIndex {
    /// Sequence number of the next event to request; `None` if the complete cache must be read.
    pub fn next_sequence(&self) -> Option<u64> {
        self.next_sequence
    }

    /// Applies events numbered from `first`. Events already applied are skipped. After a gap the
    /// index stays empty, so that it reports no cached prefix, until it is replaced.
    pub fn apply_events(&mut self, first: u64, changes: &[CacheChange]) -> CacheUpdate {
        let Some(next_sequence) = self.next_sequence else {
            return CacheUpdate::Gap;
        };
        if first > next_sequence {
            *self = Self::default();
            return CacheUpdate::Gap;
        }
        let already_applied = (next_sequence - first) as usize;
        for change in changes.iter().skip(already_applied) {
            self.apply(change);
        }
        self.next_sequence = Some(next_sequence.max(first + changes.len() as u64));
        CacheUpdate::Applied
    }

    /// Replaces the index by the complete cache before event `next_sequence`.
    pub fn replace(&mut self, next_sequence: u64, blocks: &[BlockHash]) {
        *self = Self { next_sequence: Some(next_sequence), ..Self::default() };
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Adds blocks that an engine will cache because a request was just sent to it, before its own
    /// events confirm them.
    pub fn assume_cached(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Number of leading blocks of a prompt that are in the index.
    pub fn cached_prefix_len(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains(block)).count()
    }

    fn apply(&mut self, change: &CacheChange) {
        match change {
            CacheChange::Stored(block) => self.insert(*block),
            CacheChange::Removed(block) => {
                self.blocks.remove(block);
            }
            CacheChange::Cleared => {
                self.blocks.clear();
                self.insertion_order.clear();
            }
        }
    }

    fn insert(&mut self, block: BlockHash) {
        if self.blocks.insert(block) {
            self.insertion_order.push_back(block);
        }
        while self.insertion_order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}
