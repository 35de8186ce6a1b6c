//! Splitting a byte stream into server-sent events (WHATWG HTML, section 9.2).

use stackpost_http::Bytes;

/// Buffers bytes until complete events are available.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, each with its terminating blank
    /// line.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.pending) {
            let rest = self.pending.split_off(end);
            events.push(Bytes::from(std::mem::replace(&mut self.pending, rest)));
        }
        events
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The position after the first blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
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
