//! A caller's request, as it arrives and as it is worked on.

use serde::{Deserialize, Serialize};
use stackpost_balance::BlockHash;
use stackpost_ledger::{KeyDigest, StoredAnswer};
use stackpost_types::*;

/// Names a caller's connection to a request within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A chat completion.
    Chat {
        /// The model named.
        model: ModelName,
        /// Upper bound of the prompt's length in tokens.
        prompt_tokens: u64,
        /// Most tokens to generate, if the caller said so.
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

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The caller's connection.
    pub id: CallId,
    /// Name of the request across routers.
    pub request: RequestId,
    /// Hash of the bearer key, if one was sent.
    pub key_hash: Option<KeyHash>,
    /// What is asked for.
    pub target: Target,
    /// The `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The caller says that the request must not run twice.
    pub not_repeatable: bool,
    /// Digest of method, path and body.
    pub fingerprint: Digest,
    /// Higher goes first within a tenant.
    pub priority: i32,
}

/// A request's idempotency key and who keeps it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestKey {
    pub digest: KeyDigest,
    pub zone: ZoneName,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for the keeper of its key.
    Claiming { asked_at: Timestamp, replaces: Option<RequestId> },
    /// Another request has the key; its answer is asked for.
    Fetching { account: AccountId, request: RequestId, asked_at: Timestamp },
    /// Waits for rights.
    AwaitingRights,
    /// Waits for a back end.
    Queued,
    /// Sent, or about to be once the intent stands on the backup.
    Running(Attempt),
    /// Settled; waits until the bill stands on the backup.
    Settling { since: Timestamp },
}

/// One attempt at a back end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub number: u32,
    pub back_end: BackEndName,
    /// Whether the process was told to send it.
    pub dispatched: bool,
}

/// A request that is being worked on.
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
    /// The account that pays.
    pub account: AccountId,
    /// Whether `bound` is reserved locally, with no intent recorded yet.
    pub reserved: bool,
    pub stage: Stage,
    pub stage_since: Timestamp,
    pub attempts: u32,
    pub tried: Vec<BackEndName>,
    pub caller_gone: bool,
    /// Whether bytes may flow to the caller.
    pub open: bool,
    /// Whether an earlier attempt, here or under the same key elsewhere, may have run.
    pub earlier_attempt_sent: bool,
    /// Whether the keeper has granted the key. Until then an earlier request under the same key
    /// may have run.
    pub key_granted: bool,
    /// A back end's error answer that is passed on as it is.
    pub answer: Option<StoredAnswer>,
}

impl CallState {
    pub fn is_keyed(&self) -> bool {
        self.key.is_some()
    }

    /// Whether whoever takes the account over has to take the request for run, since its intent is
    /// recorded, although nothing may have been sent.
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
