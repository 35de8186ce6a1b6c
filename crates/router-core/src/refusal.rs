//! Refusals: final error responses and their reasons.

use serde::{Deserialize, Serialize};
use stackpost_types::Millis;
use std::fmt;

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It did not run at any back end.
    NotRun,
    /// It may have run.
    Unknown,
}

impl ExecutionOutcome {
    /// The name used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RefusalReason {
    MissingKey,
    WrongKey,
    UnknownModel,
    UnknownRoute,
    MaxTokensTooLarge,
    MaxTokensInvalid,
    NotReady,
    Draining,
    BudgetExhausted,
    RightsUnreachable,
    QueueFull,
    QueueTimeout,
    NoBackEnd,
    BackEndFailed,
    RetriesExhausted,
    NoBackup,
    KeyKeeperUnreachable,
    KeyReused,
    KeyForgotten,
    AnswerLost,
    SettlementUnconfirmed,
    RouterFenced,
    RequestIdInUse,
}

impl RefusalReason {
    /// The code used in responses and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MissingKey => "missing_key",
            Self::WrongKey => "wrong_key",
            Self::UnknownModel => "unknown_model",
            Self::UnknownRoute => "unknown_route",
            Self::MaxTokensTooLarge => "max_tokens_too_large",
            Self::MaxTokensInvalid => "max_tokens_invalid",
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::BudgetExhausted => "budget_exhausted",
            Self::RightsUnreachable => "rights_unreachable",
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::NoBackEnd => "no_back_end",
            Self::BackEndFailed => "back_end_failed",
            Self::RetriesExhausted => "retries_exhausted",
            Self::NoBackup => "no_backup",
            Self::KeyKeeperUnreachable => "key_keeper_unreachable",
            Self::KeyReused => "key_reused",
            Self::KeyForgotten => "key_forgotten",
            Self::AnswerLost => "answer_lost",
            Self::SettlementUnconfirmed => "settlement_unconfirmed",
            Self::RouterFenced => "router_fenced",
            Self::RequestIdInUse => "request_id_in_use",
        }
    }

    /// Whether the reason concerns the router's state and not the request, so that another router
    /// may have accepted the same request.
    pub fn is_transient(self) -> bool {
        matches!(self, Self::NotReady | Self::Draining)
    }

    /// Explanation for the caller or operator, with what to do about it.
    pub fn advice(self) -> &'static str {
        match self {
            Self::MissingKey => "send the tenant's key as `Authorization: Bearer <key>`",
            Self::WrongKey => "check the bearer key; no tenant has this one",
            Self::UnknownModel => "ask GET /v1/models for the models served",
            Self::UnknownRoute => "no route of the table matches this method and path",
            Self::MaxTokensTooLarge => "lower max_tokens to the service's limit",
            Self::MaxTokensInvalid => "max_tokens must be at least 1",
            Self::NotReady => "this router has no configuration or no backup yet; try again",
            Self::Draining => "this router is stopping; another one will answer",
            Self::BudgetExhausted => "the budget has not enough left for what this may cost",
            Self::RightsUnreachable => "the rest of the budget is held where it can't be reached",
            Self::QueueFull => "too many requests wait for this service; try again later",
            Self::QueueTimeout => "no back end became free in time; try again later",
            Self::NoBackEnd => "no back end of this service takes work now",
            Self::BackEndFailed => "the back end failed while it worked on the request",
            Self::RetriesExhausted => "back ends failed too often to try another one",
            Self::NoBackup => "no second machine can be reached to record this request",
            Self::KeyKeeperUnreachable => "the zone that keeps this key can't be reached",
            Self::KeyReused => "this key was used for a request with other content",
            Self::KeyForgotten => "the zone lost its records; the key may have been used before",
            Self::AnswerLost => "the request may have run, but its answer is not kept any more",
            Self::SettlementUnconfirmed => "the bill could not be recorded on a second machine",
            Self::RouterFenced => "another machine has taken this router's work over",
            Self::RequestIdInUse => "send the request under another id",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The final response to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: ExecutionOutcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Millis>,
    /// Details, with the peer where one is involved.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: ExecutionOutcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: ExecutionOutcome::Unknown,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }
}
