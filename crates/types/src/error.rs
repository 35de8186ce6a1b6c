//! Error context shared by all processes: the step and the peer.

use std::fmt;
use thiserror::Error;

/// The operation during which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reading and checking the settings file.
    Settings,
    /// Opening a listening socket.
    Listen,
    /// Connecting to a peer.
    Connect,
    /// Sending a request to a peer.
    Send,
    /// Reading a peer's response.
    Receive,
    /// Reading or writing the data folder.
    Storage,
    /// Decoding what a peer sent.
    Decode,
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Settings => "settings",
            Self::Listen => "listen",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Receive => "receive",
            Self::Storage => "storage",
            Self::Decode => "decode",
        };
        formatter.write_str(text)
    }
}

/// An error with the step and the peer at which it occurred.
#[derive(Debug, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct PeerError {
    /// The operation that failed.
    pub step: Step,
    /// The other side: an address, a file or a machine name.
    pub peer: String,
    /// Human-readable cause.
    pub reason: String,
}

impl PeerError {
    /// Creates an error from any displayable cause.
    pub fn new(step: Step, peer: impl fmt::Display, reason: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }
}
