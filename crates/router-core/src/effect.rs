//! Effects: what the state machine instructs its process to do.

use crate::call::CallId;
use crate::refusal::Refusal;
use stackpost_ledger::StoredAnswer;
use stackpost_protocol::{Message, Peer};
use stackpost_types::*;
use std::net::SocketAddr;

/// One attempt at a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub call: CallId,
    /// Identifies the request across routers.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// The back end.
    pub back_end: BackEndName,
    /// The back end's address.
    pub address: SocketAddr,
    /// Maximum number of tokens to generate; `None` for a plain service.
    pub max_tokens: Option<u64>,
    /// Whether the complete response is stored for a retry under the same key.
    pub keep_answer: bool,
}

/// An instruction to the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another process of the fleet.
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
        /// Number of the attempt.
        number: u32,
    },
    /// Start sending the response to the caller, except for its end.
    StartResponse(CallId),
    /// Send the end of the response to the caller.
    Finish {
        /// The request.
        call: CallId,
        /// Tokens billed for the request.
        billed: Tokens,
    },
    /// Send the caller a stored response.
    Replay {
        /// The request.
        call: CallId,
        /// The stored response.
        answer: StoredAnswer,
    },
    /// Send the caller its final refusal.
    Refuse {
        /// The request.
        call: CallId,
        /// The refusal.
        refusal: Refusal,
    },
    /// The caller has disconnected, and the request was dropped without having been sent.
    Dropped(CallId),
    /// Query a back end for the usage of a request whose router has crashed.
    QueryUsage {
        /// The account that holds the intent.
        account: AccountId,
        /// The request.
        request: RequestId,
        /// The back end.
        back_end: BackEndName,
        /// The back end's address.
        address: SocketAddr,
    },
    /// Another node has taken this router's account over: continue as a new incarnation.
    Fenced,
    /// The router has finished its planned stop, and the process may exit.
    Drained,
    /// Log a warning for the operator.
    Warn(String),
}
