//! Error responses in the format of the API.

use serde::Serialize;
use stackpost_http::{Answer, StatusCode};
use stackpost_router_core::{ExecutionOutcome, Refusal, RefusalReason};
use stackpost_types::RequestId;

/// Body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorEnvelope {
    /// The error.
    pub error: ErrorBody,
}

/// One error, with the fields of the chat-completions protocol and three additional ones:
/// `outcome`, `request_id` and `retry_after_ms`.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Human-readable message: what happened and what to do.
    pub message: String,
    /// Kind of error in the terms of the chat-completions protocol.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The invalid parameter, if the error concerns one.
    pub param: Option<String>,
    /// Machine-readable reason.
    pub code: String,
    /// `not_run` or `unknown`.
    pub outcome: &'static str,
    /// The request.
    pub request_id: String,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An error in a request, found before it reaches the state machine.
#[derive(Debug)]
pub struct RequestError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Machine-readable reason.
    pub code: &'static str,
    /// The invalid parameter, if the error concerns one.
    pub param: Option<String>,
    /// Human-readable message.
    pub message: String,
}

impl RequestError {
    /// An error with status 400.
    pub fn bad_request(
        code: &'static str,
        param: Option<&str>,
        message: impl Into<String>,
    ) -> Self {
        let param = param.map(str::to_string);
        Self { status: StatusCode::BAD_REQUEST, code, param, message: message.into() }
    }

    /// The error as a response.
    pub fn into_answer(self, request: RequestId) -> Answer {
        let envelope = ErrorEnvelope {
            error: ErrorBody {
                message: self.message,
                kind: "invalid_request_error",
                param: self.param,
                code: self.code.to_string(),
                outcome: ExecutionOutcome::NotRun.as_str(),
                request_id: request.to_string(),
                retry_after_ms: None,
            },
        };
        Answer::json(self.status, &envelope).with_header("x-request-id", &request.to_string())
    }
}

/// HTTP status and kind of error of a refusal.
fn classify(reason: RefusalReason) -> (StatusCode, &'static str) {
    use RefusalReason as Reason;
    match reason {
        Reason::MissingKey | Reason::WrongKey => (StatusCode::UNAUTHORIZED, "authentication_error"),
        Reason::UnknownModel | Reason::UnknownRoute => {
            (StatusCode::NOT_FOUND, "invalid_request_error")
        }
        Reason::MaxTokensTooLarge | Reason::MaxTokensInvalid => {
            (StatusCode::BAD_REQUEST, "invalid_request_error")
        }
        Reason::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_request_error"),
        Reason::RequestIdInUse | Reason::KeyForgotten | Reason::AnswerLost => {
            (StatusCode::CONFLICT, "conflict_error")
        }
        Reason::BudgetExhausted => (StatusCode::TOO_MANY_REQUESTS, "insufficient_quota"),
        Reason::QueueFull | Reason::QueueTimeout => {
            (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error")
        }
        Reason::BackEndFailed | Reason::RetriesExhausted => {
            (StatusCode::BAD_GATEWAY, "server_error")
        }
        Reason::NotReady
        | Reason::Draining
        | Reason::RightsUnreachable
        | Reason::NoBackEnd
        | Reason::NoBackup
        | Reason::KeyKeeperUnreachable
        | Reason::SettlementUnconfirmed
        | Reason::RouterFenced => (StatusCode::SERVICE_UNAVAILABLE, "server_error"),
    }
}

/// The body of a refusal.
pub fn refusal_body(refusal: &Refusal, request: RequestId) -> ErrorEnvelope {
    let (_, kind) = classify(refusal.reason);
    ErrorEnvelope {
        error: ErrorBody {
            message: format!("{}: {}", refusal.detail, refusal.reason.advice()),
            kind,
            param: None,
            code: refusal.reason.as_str().to_string(),
            outcome: refusal.outcome.as_str(),
            request_id: request.to_string(),
            retry_after_ms: refusal.retry_after.map(|span| span.0),
        },
    }
}

/// A refusal as a response.
pub fn refusal_answer(refusal: &Refusal, request: RequestId) -> Answer {
    let (status, _) = classify(refusal.reason);
    let answer = Answer::json(status, &refusal_body(refusal, request));
    match refusal.retry_after {
        Some(span) => answer.with_header("retry-after", &span.0.div_ceil(1_000).to_string()),
        None => answer,
    }
}
