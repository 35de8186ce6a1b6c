//! Messages that claim idempotency keys and fetch stored answers.

use serde::{Deserialize, Serialize};
use stackpost_ledger::{KeyClaim, KeyDigest, StoredAnswer};
use stackpost_types::*;

/// Claims an idempotency key for a request, at the account that keeps the key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The zone in which the key is kept.
    pub zone: ZoneName,
    /// The key.
    pub key: KeyDigest,
    /// The request, the account that would run it, and the request's fingerprint.
    pub claim: KeyClaim,
    /// The previous holder of the key, if its claim is known to be void.
    pub replaces: Option<RequestId>,
}

/// Reply to [`ClaimKey`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// The request that claims the key.
    pub request: RequestId,
    /// The result of the claim.
    pub result: ClaimResult,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The request may run.
    Granted,
    /// Another request holds the key.
    HeldBy(KeyClaim),
    /// The key was used for a request with another fingerprint.
    FingerprintMismatch,
    /// The zone has lost its records, so it is unknown whether the key was used.
    Forgotten,
}

/// Requests the stored answer to `request` from the owner of `account`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchAnswer {
    /// The account that ran the request.
    pub account: AccountId,
    /// The request whose answer is fetched.
    pub request: RequestId,
    /// The request that fetches the answer.
    pub requester: RequestId,
}

/// Reply to [`FetchAnswer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// The request that fetches the answer.
    pub requester: RequestId,
    /// The request whose answer is fetched.
    pub request: RequestId,
    /// What is known of that request.
    pub result: FetchResult,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FetchResult {
    /// It is running.
    Running,
    /// It has ended with this answer.
    Answer(StoredAnswer),
    /// It did not run, or it may be retried and was not billed. The requester may claim the key.
    Free,
    /// It may have run, but no answer is stored.
    Unknown,
}
