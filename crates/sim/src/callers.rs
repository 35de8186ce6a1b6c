//! Callers: their plans, the attempts they sent and the responses they received.

use stackpost_router_core::{CallId, Refusal};
use stackpost_types::{NodeId, RequestId};
use std::collections::BTreeMap;

/// Identifies a caller, which has exactly one plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// The request of a caller and how the caller behaves.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Index of the tenant that the caller belongs to.
    pub tenant: usize,
    /// Index of the zone to whose routers the first attempt is sent.
    pub zone: usize,
    /// Whether it calls a plain service instead of sending a chat request.
    pub plain: bool,
    /// Whether the request is idempotent and may run more than once.
    pub repeatable: bool,
    /// Whether it sends an idempotency key.
    pub keyed: bool,
    /// Tokens that the engine will generate.
    pub tokens: u64,
    /// The request's limit on generated tokens.
    pub max_tokens: u64,
    /// Time after which the caller disconnects; `None`: it waits without a limit.
    pub leaves_after: Option<u64>,
    /// Time after which it sends the request a second time under the same key, without waiting for
    /// a response to the first attempt.
    pub resends_after: Option<u64>,
    /// Maximum number of retries after an outcome that is not final.
    pub retries: u32,
}

/// How one attempt of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The complete response was received.
    Answered {
        /// The caller for which the content was generated.
        content: CallerId,
    },
    /// The router refused it.
    Refused(Refusal),
    /// The connection broke.
    Lost {
        /// Whether the router ended in a planned stop.
        planned: bool,
    },
    /// The caller disconnected.
    Disconnected,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct CallerAttempt {
    /// Id of the request.
    pub request: RequestId,
    /// The router to which it was sent.
    pub node: NodeId,
    /// Id of the call at the router.
    pub call: CallId,
    /// When it was sent.
    pub at: u64,
    /// When and how it ended; `None` while it is in progress.
    pub end: Option<(u64, AttemptEnd)>,
}

/// A caller with its plan and its attempts.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The caller.
    pub id: CallerId,
    /// Its plan.
    pub plan: RequestPlan,
    /// Its attempts, in order.
    pub attempts: Vec<CallerAttempt>,
    /// Whether it makes no further attempt.
    pub done: bool,
}

impl CallerRecord {
    /// Whether it has received a complete response.
    pub fn is_answered(&self) -> bool {
        self.ends().any(|end| matches!(end, AttemptEnd::Answered { .. }))
    }

    /// How its attempts ended.
    pub fn ends(&self) -> impl Iterator<Item = &AttemptEnd> {
        self.attempts.iter().filter_map(|attempt| attempt.end.as_ref().map(|(_, end)| end))
    }
}

/// All callers.
#[derive(Clone, Debug, Default)]
pub struct Callers {
    pub records: BTreeMap<CallerId, CallerRecord>,
    /// Callers of the calls in progress.
    pub open: BTreeMap<(NodeId, CallId), CallerId>,
    pub by_request: BTreeMap<RequestId, CallerId>,
}
