//! Events: the inputs of the state machine.

use crate::call::{Call, CallId};
use stackpost_balance::{BlockHash, CacheChange, LoadReport};
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::{Message, Peer};
use stackpost_types::*;

/// Token counts of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

impl Usage {
    /// Prompt and completion tokens together.
    pub fn total(self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

/// How an attempt at a back end ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Nothing of the request was sent.
    NotSent {
        /// What failed.
        reason: String,
    },
    /// The back end rejected the request: an error status before any output.
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// The response, to be forwarded to the caller.
        answer: StoredAnswer,
        /// The backoff that the response asks for, if any.
        rest: Option<Millis>,
    },
    /// The request may have run, but its response is incomplete.
    Incomplete {
        /// What failed.
        reason: String,
        /// Tokens counted up to then.
        counted: Usage,
        /// Whether part of the response was sent to the caller.
        delivered: bool,
    },
    /// The complete response was received, with its end mark.
    Answered {
        /// The usage that the back end reported.
        reported: Option<Usage>,
        /// The usage that this router counted.
        counted: Usage,
        /// The response; its body is stored if the request has a key.
        answer: StoredAnswer,
        /// The backoff that the response asks for, if it rejects this request and asks for one.
        rest: Option<Millis>,
    },
    /// The attempt was cancelled because the caller disconnected.
    Cancelled {
        /// Tokens counted up to then.
        counted: Usage,
    },
}

/// One entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformEntry {
    /// The back end.
    pub back_end: BackEndName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message was received from another process of the fleet.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// A caller sent a request.
    Call(Box<Call>),
    /// A caller closed its connection.
    CallerGone(CallId),
    /// An attempt ended.
    Attempt {
        /// The request.
        call: CallId,
        /// Number of the attempt.
        number: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A back end reported its load.
    Load {
        /// The back end.
        back_end: BackEndName,
        /// The report.
        report: LoadReport,
    },
    /// A back end's load could not be read.
    LoadFailed {
        /// The back end.
        back_end: BackEndName,
    },
    /// An engine published cache events.
    Cache {
        /// The engine.
        back_end: BackEndName,
        /// Sequence number of the first event.
        first: u64,
        /// The events.
        changes: Vec<CacheChange>,
    },
    /// A snapshot of an engine's cache was read.
    CacheSnapshot {
        /// The engine.
        back_end: BackEndName,
        /// Sequence number of the next event.
        next: u64,
        /// The cached blocks.
        blocks: Vec<BlockHash>,
    },
    /// The platform's machine list was read.
    Platform(Vec<PlatformEntry>),
    /// A query for the usage of a request whose router has crashed has ended.
    UsageReceived {
        /// The account that holds the intent.
        account: AccountId,
        /// The request.
        request: RequestId,
        /// The usage; `None` if the back end does not know it or did not respond.
        usage: Option<Usage>,
    },
    /// The process was asked to stop: begin a planned stop.
    Drain,
}
