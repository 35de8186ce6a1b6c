//! Prefix cache of the stand-in engine. Its events are published with a delay and may have gaps.

use serde::Serialize;
use stackpost_balance::{BlockHash, CacheChange};
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Most events kept for readers; older ones are dropped, which leaves a gap.
const KEPT_EVENTS: usize = 512;

/// A cache of prompt blocks with limited capacity; the oldest block is evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    cached: HashSet<BlockHash>,
    insertion_order: VecDeque<BlockHash>,
    events: VecDeque<(Instant, CacheChange)>,
    first_kept_event: u64,
}

/// Published events.
#[derive(Debug, Serialize)]
pub struct PublishedEvents {
    /// Number of the first event in `changes`.
    pub first: u64,
    /// The events, in order.
    pub changes: Vec<CacheChange>,
}

/// Published content of the whole cache.
#[derive(Debug, Serialize)]
pub struct CacheContent {
    /// Number of the next event.
    pub next: u64,
    /// The cached blocks.
    pub blocks: Vec<BlockHash>,
}

impl PrefixCache {
    /// A cache of `capacity` blocks whose events are published with a delay of `lag`.
    pub fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            cached: HashSet::new(),
            insertion_order: VecDeque::new(),
            events: VecDeque::new(),
            first_kept_event: 0,
        }
    }

    /// Looks up a prompt and stores it; returns the number of leading blocks that were cached.
    pub fn look_up_and_store(&mut self, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|block| self.cached.contains(block)).count();
        for block in blocks {
            if self.cached.insert(*block) {
                self.insertion_order.push_back(*block);
                self.push_event(CacheChange::Stored(*block));
            }
        }
        while self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.cached.remove(&oldest);
                self.push_event(CacheChange::Removed(oldest));
            }
        }
        hits
    }

    /// Events from number `from` on that are at least `lag` old.
    pub fn published_from(&self, from: u64) -> PublishedEvents {
        let first = from.max(self.first_kept_event);
        let skipped = (first - self.first_kept_event) as usize;
        let changes = self
            .events
            .iter()
            .skip(skipped)
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .map(|(_, change)| change.clone())
            .collect();
        PublishedEvents { first, changes }
    }

    /// Content of the whole cache.
    pub fn content(&self) -> CacheContent {
        let next = self.first_kept_event + self.events.len() as u64;
        CacheContent { next, blocks: self.insertion_order.iter().copied().collect() }
    }

    fn push_event(&mut self, change: CacheChange) {
        self.events.push_back((Instant::now(), change));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
            self.first_kept_event += 1;
        }
    }
}
