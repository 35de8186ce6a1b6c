//! Messages about idempotency keys.

use serde::{Deserialize, Serialize};
use stackpost_ledger::{KeyClaim, KeyDigest, StoredAnswer};
use stackpost_types::*;

/// Asks the keeper of a key for the right to run a request under it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The zone that keeps the key.
    pub zone: ZoneName,
    /// The key.
    pub key: KeyDigest,
    /// The request that wants to run, who would run it, and its content.
    pub claim: KeyClaim,
    /// A request that held the key and is known not to count any more.
    pub replaces: Option<RequestId>,
}

/// The keeper's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The request that asked.
    pub request: RequestId,
    /// The answer.
    pub result: ClaimResult,
}

/// What the keeper says of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The request may run.
    Granted,
    /// Another request has the key.
    HeldBy(KeyClaim),
    /// The key was used with other content.
    FingerprintMismatch,
    /// The zone has lost its records: whether the key was used is not known.
    Forgotten,
}

/// Asks the owner of `account` for the answer to `request`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchAnswer {
    /// The account that ran it.
    pub account: AccountId,
    /// The request that ran.
    pub request: RequestId,
    /// The request that asks.
    pub requester: RequestId,
}

/// The answer to [`FetchAnswer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The request that asked.
    pub requester: RequestId,
    /// The request asked about.
    pub request: RequestId,
    /// What is known.
    pub result: FetchResult,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FetchResult {
    /// It is being worked on.
    Running,
    /// It ended, and this is its answer.
    Answer(StoredAnswer),
    /// It did not run, or may run again and was not billed: the asker may take the key over.
    Free,
    /// It may have run; no answer is kept.
    Unknown,
}
