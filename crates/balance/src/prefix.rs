//! What is known of an engine's prompt-prefix cache.

use serde::{Deserialize, Serialize};
use stackpost_types::Digest;
use std::collections::{HashSet, VecDeque};

/// Bytes of prompt text covered by one block.
pub const BLOCK_BYTES: usize = 128;
/// Blocks remembered per engine; the oldest are forgotten first.
const KEPT_BLOCKS: usize = 8_192;

/// Hash of one block and of all text before it.
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

/// Whether an index could follow a batch of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheUpdate {
    /// It did.
    Applied,
    /// Events are missing; the whole cache must be read again.
    Gap,
}

/// Blocks that an engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    blocks: HashSet<BlockHash>,
    order: VecDeque<BlockHash>,
    /// Sequence number of the next event expected; `None` until the cache has been read whole.
    next: Option<u64>,
}

impl CacheIndex {
    /// Sequence number of the next event to ask for; `None` if the whole cache is to be read.
    pub fn next_sequence(&self) -> Option<u64> {
        self.next
    }

    /// Takes in events, the first of them numbered `first`. Events seen before are skipped. After
    /// a gap the index is empty, so that it claims nothing, until it is replaced.
    pub fn apply_events(&mut self, first: u64, changes: &[CacheChange]) -> CacheUpdate {
        let Some(next) = self.next else {
            return CacheUpdate::Gap;
        };
        if first > next {
            *self = Self::default();
            return CacheUpdate::Gap;
        }
        let seen = (next - first) as usize;
        for change in changes.iter().skip(seen) {
            self.apply(change);
        }
        self.next = Some(next.max(first + changes.len() as u64));
        CacheUpdate::Applied
    }

    /// Replaces the index by the whole cache as of event `next`.
    pub fn replace(&mut self, next: u64, blocks: &[BlockHash]) {
        *self = Self { next: Some(next), ..Self::default() };
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Notes blocks that an engine will hold because a request was just sent to it, before its
    /// own events say so.
    pub fn assume_cached(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Number of leading blocks of a prompt that are held.
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
                self.order.clear();
            }
        }
    }

    fn insert(&mut self, block: BlockHash) {
        if self.blocks.insert(block) {
            self.order.push_back(block);
        }
        while self.order.len() > KEPT_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }
}
