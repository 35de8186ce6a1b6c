//! Changes of an account, as replicated to its backup.

use serde::{Deserialize, Serialize};
use stackpost_types::*;
use std::sync::Arc;

/// Digest of a tenant and its idempotency key.
pub type KeyDigest = Digest;

/// A request that may have been sent to a back end and is not yet settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The budget it draws on.
    pub budget: BudgetName,
    /// The tenant that is billed.
    pub tenant: TenantName,
    /// The most it can cost.
    pub bound: Tokens,
    /// The back end it is sent to.
    pub back_end: BackEndName,
    /// Whether the request may be retried after an attempt that may have run.
    pub repeatable: bool,
    /// Its idempotency key, if it has one.
    pub key: Option<KeyDigest>,
}

/// How the amount of a bill was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillKind {
    /// The back end's own count, or the route's price.
    Reported,
    /// More than the reserved amount was reported or counted; the reserved amount is billed.
    CappedAtBound,
    /// The back end reported less than it sent, or nothing; the tokens counted by the router are
    /// billed.
    Counted,
    /// The usage is unknown: the router crashed while the request ran and the back end could not
    /// report it, or the response to a non-idempotent request was interrupted. The reserved amount
    /// is billed.
    Estimated,
}

/// The billing entry of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Position among the account's bills, from 1.
    pub sequence: u64,
    /// The request.
    pub request: RequestId,
    /// The tenant billed.
    pub tenant: TenantName,
    /// The budget drawn on.
    pub budget: BudgetName,
    /// The amount.
    pub tokens: Tokens,
    /// How the amount was determined.
    pub kind: BillKind,
    /// Time of the settlement.
    pub at: WallTime,
}

/// A complete response, kept for a retry under the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
    /// Tokens billed.
    pub billed: Tokens,
}

/// Status of a [`StoredAnswer`] that records only that the request may have run.
const UNKNOWN_STATUS: u16 = 0;

impl StoredAnswer {
    /// Placeholder for the lost response of a request that may have run, so that a retry under its
    /// key is not treated as a first attempt.
    pub fn unknown() -> Self {
        Self {
            status: UNKNOWN_STATUS,
            content_type: String::new(),
            body: Arc::default(),
            billed: Tokens::ZERO,
        }
    }

    /// Whether this records only that the request may have run.
    pub fn is_unknown(&self) -> bool {
        self.status == UNKNOWN_STATUS
    }
}

/// Which request an idempotency key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The request that runs under the key.
    pub request: RequestId,
    /// The account whose owner runs it.
    pub holder: AccountId,
    /// Digest of the request's content; the same key with different content is an error.
    pub fingerprint: Digest,
}

/// One change of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The control plane has issued `total` so far.
    Issued {
        /// The budget.
        budget: BudgetName,
        /// The monotone total.
        total: Tokens,
    },
    /// `total` has been received from another account so far.
    Received {
        /// The budget.
        budget: BudgetName,
        /// The sending account.
        from: AccountId,
        /// The monotone total.
        total: Tokens,
    },
    /// `total` has been sent to another account so far.
    Sent {
        /// The budget.
        budget: BudgetName,
        /// The receiving account.
        to: AccountId,
        /// The monotone total.
        total: Tokens,
    },
    /// `total` has been returned to the control plane so far.
    Returned {
        /// The budget.
        budget: BudgetName,
        /// The monotone total.
        total: Tokens,
    },
    /// A request is about to be sent to a back end. A second one for the same request replaces
    /// the first.
    Intent {
        /// The request.
        request: RequestId,
        /// Its cost bound and destination.
        intent: Intent,
    },
    /// A request did not run, or was abandoned without a bill.
    Release {
        /// The request.
        request: RequestId,
    },
    /// A request is billed, at most once.
    Settle {
        /// The request.
        request: RequestId,
        /// The amount; never above the intent's bound.
        tokens: Tokens,
        /// How the amount was determined.
        kind: BillKind,
        /// Time of the settlement.
        at: WallTime,
        /// The response, if the request has a key.
        answer: Option<StoredAnswer>,
    },
    /// A majority of control replicas has stored the bills up to this one.
    BillsArchived {
        /// Sequence number of the last such bill.
        up_to: u64,
    },
    /// A key is claimed for a request.
    Claim {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim: KeyClaim,
    },
    /// A key may be used again, or its retention period has passed.
    DropKey {
        /// The key.
        key: KeyDigest,
    },
    /// The retention period of a stored answer has passed.
    DropAnswer {
        /// The request.
        request: RequestId,
    },
}
