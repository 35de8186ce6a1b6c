//! What a router asks of its process.

use crate::call::CallId;
use crate::refusal::Refusal;
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::{Message, Peer};
use stackpost_types::*;
use std::net::SocketAddr;

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub call: CallId,
    /// Its name across routers.
    pub request: RequestId,
    /// Which attempt.
    pub number: u32,
    /// The back end.
    pub back_end: BackEndName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Most tokens that it may generate; `None` for a plain service.
    pub max_tokens: Option<u64>,
    /// Whether the whole answer is to be kept for a retry.
    pub keep_answer: bool,
}

/// Something to be done by the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Send a request to a back end.
    Dispatch(Dispatch),
    /// Stop an attempt and report it as cancelled.
    Cancel {
        /// The request.
        call: CallId,
        /// Which attempt.
        number: u32,
    },
    /// The answer's bytes may flow to the caller, all but its end.
    StartResponse(CallId),
    /// The answer's end may go to the caller.
    Finish {
        /// The request.
        call: CallId,
        /// What was billed.
        billed: Tokens,
    },
    /// Give the caller an answer that was kept.
    Replay {
        /// The request.
        call: CallId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Give the caller its final refusal.
    Refuse {
        /// The request.
        call: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// The caller is gone and the request is off the books without having been sent.
    Dropped(CallId),
    /// Ask a back end what a request used, and cancel it there.
    QueryUsage {
        /// The account that holds the intent.
        account: AccountId,
        /// The request.
        request: RequestId,
        /// The back end.
        back_end: BackEndName,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// Another node has taken this router's account over: go on as a new life.
    Fenced,
    /// The router has finished its work and may stop.
    Drained,
    /// Tell the operator.
    Warn(String),
}
