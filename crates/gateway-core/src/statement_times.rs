//! As of when the statements of control processes hold.
//!
//! A process that stood still, or whose connection was interrupted, reads statements that were made
//! seconds before. So each statement carries the clock of its sender. The clocks of two processes
//! differ by an unknown offset, of which the least one seen on a connection is an upper bound that
//! is too large by the shortest transmission only.
//!
//! Invariant: [`StatementTimes::as_of`] is not later than the creation of the newest statement, apart
//! from the drift between the clocks and the shortest transmission time.

use stackpost_types::Timestamp;
use std::collections::BTreeMap;

/// Number of statements after which the least offset before them is forgotten, so that a drift
/// between the clocks does not add up. A connection that is silent for as long is closed.
const OFFSETS_PER_WINDOW: u32 = 256;

/// The offsets of a number of statements, in milliseconds: reception minus creation.
#[derive(Clone, Copy, Debug)]
struct OffsetWindow {
    statements: u32,
    least: i128,
}

#[derive(Clone, Copy, Debug)]
struct LinkTimes {
    current: OffsetWindow,
    previous: Option<OffsetWindow>,
    /// When the newest statement was made, by the clock of its sender.
    made_at: Timestamp,
}

impl LinkTimes {
    fn new(offset: i128, made_at: Timestamp) -> Self {
        Self { current: OffsetWindow { statements: 1, least: offset }, previous: None, made_at }
    }

    fn on_statement(&mut self, offset: i128, made_at: Timestamp) {
        self.made_at = self.made_at.max(made_at);
        if self.current.statements >= OFFSETS_PER_WINDOW {
            self.previous = Some(self.current);
            self.current = OffsetWindow { statements: 0, least: offset };
        }
        self.current.statements += 1;
        self.current.least = self.current.least.min(offset);
    }

    fn as_of(&self) -> Timestamp {
        let least = self
            .previous
            .map_or(self.current.least, |previous| previous.least.min(self.current.least));
        let millis = i128::from(self.made_at.0) + least;
        Timestamp(u64::try_from(millis).unwrap_or(0))
    }
}

/// The statements received over connections `L`.
#[derive(Clone, Debug)]
pub struct StatementTimes<L> {
    links: BTreeMap<L, LinkTimes>,
}

impl<L> Default for StatementTimes<L> {
    fn default() -> Self {
        Self { links: BTreeMap::new() }
    }
}

impl<L: Ord + Copy> StatementTimes<L> {
    /// A statement was received that was made at `made_at` by the clock of its sender.
    pub fn on_statement(&mut self, now: Timestamp, link: L, made_at: Timestamp) {
        let offset = i128::from(now.0) - i128::from(made_at.0);
        match self.links.get_mut(&link) {
            Some(times) => times.on_statement(offset, made_at),
            None => {
                self.links.insert(link, LinkTimes::new(offset, made_at));
            }
        }
    }

    /// A connection was closed.
    pub fn on_down(&mut self, link: L) {
        self.links.remove(&link);
    }

    /// When the newest statement of a connection was made, by the own clock.
    pub fn as_of(&self, link: L) -> Option<Timestamp> {
        self.links.get(&link).map(LinkTimes::as_of)
    }
}
