//! A caller's request, as received and while it is processed.

use serde::{Deserialize, Serialize};
use stackpost_balance::BlockHash;
use stackpost_ledger::{KeyDigest, StoredAnswer};
use stackpost_types::*;

/// Identifies a caller's request within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A chat completion.
    Chat {
        /// Name of the model.
        model: ModelName,
        /// Upper bound of the prompt's length in tokens.
        prompt_tokens: u64,
        /// Maximum number of tokens to generate, if the caller set one.
        max_tokens: Option<u64>,
        /// Hashes of the prompt's blocks.
        blocks: Vec<BlockHash>,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: String,
        /// Path without the query.
        path: String,
    },
}

/// A request as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the request within this process.
    pub id: CallId,
    /// Identifies the request across routers.
    pub request: RequestId,
    /// Hash of the bearer key, if one was sent.
    pub key_hash: Option<KeyHash>,
    /// The requested model or route.
    pub target: Target,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Set if the request must not run twice, whatever its route allows.
    pub not_repeatable: bool,
    /// Digest of method, path and body.
    pub fingerprint: Digest,
    /// Requests of higher priority go first within a tenant.
    pub priority: i32,
}

/// A request's idempotency key and the zone that stores it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestKey {
    pub digest: KeyDigest,
    pub zone: ZoneName,
}

/// Processing stage of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for the key's keeper to grant the key; `replaces` is an earlier request under the
    /// key that did not complete.
    Claiming { requested_at: Timestamp, replaces: Option<RequestId> },
    /// Another request holds the key; its stored answer is being fetched.
    Fetching { account: AccountId, request: RequestId, requested_at: Timestamp },
    /// Waits until the rights to its maximum cost can be reserved.
    AwaitingRights,
    /// Waits for a back end.
    Queued,
    /// Sent to a back end, or waiting for the backup to acknowledge the intent before that.
    Running(Attempt),
    /// Settled; waits until the backup acknowledges the bill.
    Settling { since: Timestamp },
}

/// One attempt at a back end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub number: u32,
    pub back_end: BackEndName,
    /// Whether the process was instructed to send it.
    pub dispatched: bool,
}

/// State of a request being processed.
#[derive(Clone, Debug)]
pub(crate) struct CallState {
    pub call: Call,
    pub tenant: TenantName,
    pub tenant_weight: u32,
    pub budget: BudgetName,
    pub service: ServiceName,
    pub bound: Tokens,
    pub repeatable: bool,
    pub key: Option<RequestKey>,
    /// The account that is charged.
    pub account: AccountId,
    /// Whether `bound` is reserved locally, with no intent recorded yet.
    pub reserved: bool,
    pub stage: Stage,
    pub stage_entered_at: Timestamp,
    pub attempts: u32,
    pub tried: Vec<BackEndName>,
    pub caller_gone: bool,
    /// Whether bytes of the response may be sent to the caller.
    pub response_started: bool,
    /// Whether an earlier attempt, here or under the same key elsewhere, may have run.
    pub earlier_attempt_sent: bool,
    /// Whether the key's keeper has granted the key. Until then an earlier request under the same
    /// key may have run.
    pub key_granted: bool,
    /// A back end's error response, forwarded unchanged.
    pub answer: Option<StoredAnswer>,
}

impl CallState {
    pub fn is_keyed(&self) -> bool {
        self.key.is_some()
    }

    /// Whether a node that takes the account over must assume that the request has run: its intent
    /// is recorded, even if nothing was sent yet.
    pub fn counts_as_run(&self) -> bool {
        self.may_have_run() || matches!(self.stage, Stage::Running(_))
    }

    /// Whether the request, or an earlier one under its key, may have reached a back end.
    pub fn may_have_run(&self) -> bool {
        let now = match &self.stage {
            Stage::Running(attempt) => attempt.dispatched,
            Stage::Settling { .. } => true,
            _ => false,
        };
        let unresolved_key = self.is_keyed() && !self.key_granted;
        now || self.earlier_attempt_sent || unresolved_key
    }
}
