//! What can happen to a router.

use crate::call::{Call, CallId};
use stackpost_balance::{BlockHash, CacheChange, LoadReport};
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::{Message, Peer};
use stackpost_types::*;

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

impl Usage {
    /// Both together.
    pub fn total(self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

/// How an attempt at a back end ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Nothing of the request left this process.
    NotSent {
        /// Why.
        reason: String,
    },
    /// The back end answered without doing the work: an error status before any output.
    Rejected {
        /// The status.
        status: u16,
        /// The answer, to be passed on.
        answer: StoredAnswer,
        /// For how long the back end wants no further request, if it said so.
        rest: Option<Millis>,
    },
    /// The request may have run, but its answer is not whole.
    Incomplete {
        /// Why.
        reason: String,
        /// Tokens seen so far.
        counted: Usage,
        /// Whether bytes of it have gone to the caller.
        delivered: bool,
    },
    /// The whole answer is here, with its end mark.
    Answered {
        /// What the back end says it used.
        reported: Option<Usage>,
        /// What was seen here.
        counted: Usage,
        /// The answer; kept if the request has a key.
        answer: StoredAnswer,
        /// For how long the back end wants no further request, if the answer turns this one away and says so.
        rest: Option<Millis>,
    },
    /// The attempt was cancelled because the caller went away.
    Cancelled {
        /// Tokens seen so far.
        counted: Usage,
    },
}

/// One line of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformEntry {
    /// The back end.
    pub back_end: BackEndName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message came from another process of the fleet.
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
        /// Which attempt.
        number: u32,
        /// How.
        outcome: AttemptOutcome,
    },
    /// A back end reported its load.
    Load {
        /// The back end.
        back_end: BackEndName,
        /// The report.
        report: LoadReport,
    },
    /// A back end could not be asked for its load.
    LoadFailed {
        /// The back end.
        back_end: BackEndName,
    },
    /// An engine published cache events.
    Cache {
        /// The engine.
        back_end: BackEndName,
        /// Number of the first event.
        first: u64,
        /// The events.
        changes: Vec<CacheChange>,
    },
    /// An engine's whole cache was read.
    CacheSnapshot {
        /// The engine.
        back_end: BackEndName,
        /// Number of the next event.
        next: u64,
        /// The blocks held.
        blocks: Vec<BlockHash>,
    },
    /// The platform's machine list was read.
    Platform(Vec<PlatformEntry>),
    /// A back end was asked what a request of a dead router used.
    UsageReceived {
        /// The account that holds the intent.
        account: AccountId,
        /// The request.
        request: RequestId,
        /// The usage; `None` if the back end can't say.
        usage: Option<Usage>,
    },
    /// The process was asked to stop.
    Drain,
}
