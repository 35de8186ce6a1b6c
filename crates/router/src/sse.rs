//! Splitting a byte stream into server-sent events (WHATWG HTML, section 9.2).

use stackpost_http::Bytes;

/// Gathers bytes until whole events are there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Adds bytes and takes the events that are now whole, each with its closing blank line.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.pending) {
            let rest = self.pending.split_off(end);
            events.push(Bytes::from(std::mem::replace(&mut self.pending, rest)));
        }
        events
    }

    /// Whether an event has begun but not ended.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Position after the first blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (unix, dos) {
        (Some(unix), Some(dos)) => Some(unix.min(dos)),
        (found, None) | (None, found) => found,
    }
}

/// The content of an event's `data` fields, joined by line feeds.
pub fn event_data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
