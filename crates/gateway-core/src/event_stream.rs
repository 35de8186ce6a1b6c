//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use stackpost_types::EventId;

/// Maximum size of an event.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event, byte for byte as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one that an engine can be asked to resume after.
    pub id: Option<EventId>,
    /// Whether it carries data. One without is a comment, or only changes settings of the stream.
    pub has_data: bool,
}

impl Event {
    fn new(bytes: Bytes) -> Self {
        let (id, has_data) = (event_id(&bytes), lines(&bytes).any(is_data));
        Self { bytes, id, has_data }
    }
}

/// Splits a stream of bytes into whole events. Bytes of an incomplete event are buffered.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.find_end() else {
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        Some(Event::new(bytes))
    }

    /// Whether an incomplete event is too large for more of it to be buffered.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the buffered bytes of an incomplete event.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Position after the first blank line.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut at = self.searched;
        while at < bytes.len() {
            if bytes[at..].starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if bytes[at..].starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        None
    }
}

/// The last id of an event holds.
fn event_id(event: &[u8]) -> Option<EventId> {
    let value = lines(event).filter_map(|line| line.strip_prefix(b"id:")).last()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn is_data(line: &[u8]) -> bool {
    line == b"data" || line.starts_with(b"data:")
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}
