//! What the connection of a request shows of it.
//!
//! An engine can send anything on a connection without having read the request that waits there: the
//! response to another request, bytes that form no response, the end of its direction. What it cannot
//! send is the request's id, so a header line with it shows that the request was read, wherever the
//! line stands.
//!
//! Invariants:
//! - Evidence is final: what follows on the connection does not change it.
//! - [`Evidence::Response`] is given only if the engine has read the head of the request, and
//!   [`Evidence::Reset`] only if it will never read it.
//! - An end of the engine's direction is no evidence by itself. After this router's own end it is weak
//!   evidence: that end is read after the request, but the engine may have ended its direction for
//!   another reason. It is none if other bytes show that the engine sends without reading.

/// How a connection reaches its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPath {
    /// This router connected itself.
    Direct,
    /// Another router forwards the bytes.
    Relayed,
}

/// What a connection shows of the request that was written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The engine has sent the request's id: it has read the request.
    Response,
    /// Nothing of the request was written.
    NotWritten,
    /// The engine has no such connection any more, and has discarded what it had not read.
    Reset,
    /// The engine ended the connection after this router had.
    EndAfterOwn,
    /// The connection will show nothing more.
    Lost,
}

impl Evidence {
    /// The evidence as written in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::NotWritten => "not_written",
            Self::Reset => "reset",
            Self::EndAfterOwn => "end_after_own",
            Self::Lost => "lost",
        }
    }
}

/// How a connection fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The other end has reset it.
    Reset,
    /// It timed out, or this machine failed.
    Other,
}

/// Collects the evidence of one request from what its connection shows.
#[derive(Clone, Debug)]
pub struct RequestEvidence {
    path: ConnectionPath,
    id_line: LineScanner,
    /// Whether bytes were received that do not name the request.
    has_other_bytes: bool,
    /// Whether this router has closed its direction.
    has_own_end: bool,
    /// Whether the engine has closed its direction.
    has_ended: bool,
    shown: Option<Evidence>,
}

impl RequestEvidence {
    /// For a request with the id `id`, which a response repeats in the header `id_header`.
    pub fn new(path: ConnectionPath, id_header: &'static str, id: &str) -> Self {
        Self {
            path,
            id_line: LineScanner::new(id_header, id),
            has_other_bytes: false,
            has_own_end: false,
            has_ended: false,
            shown: None,
        }
    }

    /// What the connection has shown; `None` as long as it may still show something.
    pub fn shown(&self) -> Option<Evidence> {
        self.shown
    }

    /// Whether the engine has closed its direction.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Records bytes of the engine.
    pub fn on_bytes(&mut self, bytes: &[u8]) {
        if self.shown.is_none() && !bytes.is_empty() {
            if self.id_line.scan(bytes) {
                self.shown = Some(Evidence::Response);
            }
            self.has_other_bytes = true;
        }
    }

    /// Records that this router closes its direction.
    pub fn on_own_end(&mut self) {
        self.has_own_end |= !self.has_ended;
    }

    /// Records that the engine has closed its direction.
    pub fn on_end(&mut self) {
        self.has_ended = true;
        if self.has_own_end {
            let reads = !self.has_other_bytes;
            self.show(if reads { Evidence::EndAfterOwn } else { Evidence::Lost });
        }
    }

    /// Records that the connection has failed. The end of a relay shows nothing of the engine.
    pub fn on_failure(&mut self, failure: ConnectionFailure) {
        self.show(match (failure, self.path) {
            (ConnectionFailure::Reset, ConnectionPath::Direct) => Evidence::Reset,
            (ConnectionFailure::Reset, ConnectionPath::Relayed) | (ConnectionFailure::Other, _) => {
                Evidence::Lost
            }
        });
    }

    /// Records that nothing of the request was written after all.
    pub fn on_not_written(&mut self) {
        self.show(Evidence::NotWritten);
    }

    /// Records that the connection is observed no longer.
    pub fn on_given_up(&mut self) {
        self.show(Evidence::Lost);
    }

    fn show(&mut self, evidence: Evidence) {
        self.shown.get_or_insert(evidence);
    }
}

/// Bytes of whitespace that a line may hold beside the header's name and value.
const MAX_WHITESPACE_BYTES: usize = 16;

/// Looks for a header line in a stream of bytes, however it is split.
#[derive(Clone, Debug)]
struct LineScanner {
    name: &'static str,
    value: Vec<u8>,
    /// The line so far, up to one byte more than the line that is looked for can have.
    line: Vec<u8>,
}

impl LineScanner {
    fn new(name: &'static str, value: &str) -> Self {
        Self { name, value: value.trim().as_bytes().to_vec(), line: Vec::new() }
    }

    /// Whether the line ends in these bytes.
    fn scan(&mut self, bytes: &[u8]) -> bool {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let room = (self.max_line() + 1).saturating_sub(self.line.len());
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                if self.matches(&line) {
                    return true;
                }
            }
        }
        false
    }

    fn max_line(&self) -> usize {
        self.name.len() + self.value.len() + MAX_WHITESPACE_BYTES
    }

    fn matches(&self, line: &[u8]) -> bool {
        if self.value.is_empty() || line.len() > self.max_line() {
            return false;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return false;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        name.eq_ignore_ascii_case(self.name.as_bytes()) && value == self.value
    }
}
