//! Final responses that the router generates itself.

use crate::body::GatewayBody;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use stackpost_gateway_core::STALL_TIME;
use stackpost_types::Millis;

/// Time within which a restarted router usually has its configuration: 0.5 to 0.7 s after a power
/// failure of all machines.
const CONFIGURED_WITHIN: Millis = Millis(700);
/// Retry delay while the leader is unreachable. It is seldom back or replaced sooner; an earlier
/// retry would find the same balances and be refused again.
const LEADER_BACK_WITHIN: Millis = Millis(3_000);

/// The leader plans budgets four times a second, and its allotments arrive within one more round:
/// an earlier retry would find the same balances.
const NEXT_ALLOTMENT_WITHIN: Millis = Millis(500);
/// Interval over which retries are spread if all engines have asked for a backoff: engines are to
/// serve again within half a second.
const RETRY_SPREAD: Millis = Millis(400);
/// Retry delay while the engines have no free capacity.
const FULL_RETRY_DELAY: Millis = Millis(100);
/// Longest retry delay sent to callers: by then new engines without a backoff may have joined (a
/// replacement takes three to four seconds, a larger set of new engines longer).
const MAX_RETRY_AFTER: Millis = Millis(30_000);

/// Why a request gets no response of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The router has no configuration yet.
    NotConfigured,
    /// The router is shutting down.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The API key is unknown.
    UnknownKey,
    /// Route or key is unknown here, but the router's configuration may be out of date.
    ConfigMayBeStale,
    /// A header is malformed.
    Malformed,
    /// The body is too large.
    BodyTooLarge,
    /// The body was not received completely.
    BodyIncomplete,
    /// The bodies of other requests leave no memory for this one, or it made no progress and gave
    /// way to another one.
    NoRoomForBody,
    /// Prompt and generated text exceed the memory of any engine of the service.
    ExceedsEngineMemory,
    /// The tenant's budget does not cover the request at present.
    BudgetExhausted,
    /// The tokens that this router and other reachable ones hold of the tenant's budget do not
    /// cover the request, and the leader can't be reached.
    BudgetUnavailable,
    /// No engine of the service accepts requests.
    NoEngine,
    /// It is not known which software version began the stream that the caller resumes.
    StreamUnknown,
    /// No engine of the software version that began the stream accepts requests.
    NoEngineOfVersion,
    /// The engines have no free capacity, or it goes to other requests.
    EnginesFull {
        /// When to retry: while the admission order applies, when the caller's turn may have come.
        retry_after: Millis,
    },
    /// Every engine of the service has asked for a backoff.
    EnginesBackingOff {
        /// When to retry: the earliest end of a backoff, spread ([`retry_after_backoff`]).
        retry_after: Millis,
    },
    /// Every engine of the service states a rate limit, and all of them are exhausted.
    RateLimitsExhausted {
        /// When to retry: after the callers refused before, at the rate at which permits become
        /// available.
        retry_after: Millis,
    },
    /// The engines are unreachable.
    Unreachable,
    /// The deadline has passed and the request has not run.
    DeadlineExceeded,
    /// Engines have crashed under this request, so it is sent to none.
    CrashesEngines {
        /// When to retry: at the end of the quarantine, or soon as long as the quarantine may still
        /// be lifted.
        retry_after: Millis,
    },
    /// The request may have run; its response is lost.
    ResponseLost,
    /// The deadline has passed and the request may have run.
    DeadlineExceededUnknown,
}

/// When a caller should retry if all engines have asked for a backoff: after the earliest end of a
/// backoff (`soonest`), at an offset within [`RETRY_SPREAD`] derived from `tie_breaker` (any
/// number), so that callers refused together do not retry together.
pub fn retry_after_backoff(soonest: Millis, tie_breaker: u64) -> Millis {
    let spread = Millis(tie_breaker % RETRY_SPREAD.0);
    Millis((soonest.0 + spread.0).min(MAX_RETRY_AFTER.0))
}

impl Refusal {
    /// The engines have no free capacity, and nothing is known of when they will.
    pub fn engines_full() -> Self {
        Self::EnginesFull { retry_after: FULL_RETRY_DELAY }
    }

    /// Code of the reason.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::ConfigMayBeStale => "may_be_behind",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoRoomForBody => "no_room_for_body",
            Self::ExceedsEngineMemory => "exceeds_engine_memory",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnavailable => "budget_out_of_reach",
            Self::NoEngine => "no_engine",
            Self::StreamUnknown => "stream_unknown",
            Self::NoEngineOfVersion => "no_engine_of_version",
            Self::EnginesFull { .. } => "engines_full",
            Self::EnginesBackingOff { .. } => "engines_rest",
            Self::RateLimitsExhausted { .. } => "rates_spent",
            Self::Unreachable => "unreachable",
            Self::DeadlineExceeded => "time_over",
            Self::CrashesEngines { .. } => "ends_engines",
            Self::ResponseLost => "answer_lost",
            Self::DeadlineExceededUnknown => "time_over_unknown",
        }
    }

    /// The status. 429 and 503 guarantee that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetExhausted | Self::BudgetUnavailable => StatusCode::TOO_MANY_REQUESTS,
            Self::NotConfigured
            | Self::Stopping
            | Self::ConfigMayBeStale
            | Self::NoRoomForBody
            | Self::NoEngine
            | Self::StreamUnknown
            | Self::NoEngineOfVersion
            | Self::EnginesFull { .. }
            | Self::ExceedsEngineMemory
            | Self::EnginesBackingOff { .. }
            | Self::RateLimitsExhausted { .. }
            | Self::Unreachable
            | Self::CrashesEngines { .. }
            | Self::DeadlineExceeded => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceededUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Time after which a retry makes sense.
    fn retry_after(self) -> Option<Millis> {
        match self {
            Self::NotConfigured => Some(CONFIGURED_WITHIN),
            Self::ConfigMayBeStale => Some(Millis(400)),
            Self::NoEngine | Self::Unreachable | Self::DeadlineExceeded => Some(Millis(200)),
            Self::Stopping => Some(Millis(50)),
            // Bodies without progress give way by then.
            Self::NoRoomForBody => Some(STALL_TIME),
            Self::EnginesFull { retry_after }
            | Self::EnginesBackingOff { retry_after }
            | Self::RateLimitsExhausted { retry_after }
            | Self::CrashesEngines { retry_after } => Some(retry_after),
            Self::BudgetExhausted => Some(NEXT_ALLOTMENT_WITHIN),
            Self::BudgetUnavailable => Some(LEADER_BACK_WITHIN),
            _ => None,
        }
    }

    /// Whether it is certain that the request did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::ResponseLost | Self::DeadlineExceededUnknown)
    }

    /// Builds the response to the caller.
    pub fn into_response(self) -> Response<GatewayBody> {
        let outcome = if self.is_not_run() { "not_run" } else { "unknown" };
        let code = self.code();
        let text = format!("{{\"error\":{{\"code\":\"{code}\",\"outcome\":\"{outcome}\"}}}}\n");
        let mut response = Response::new(GatewayBody::buffered(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(Millis(delay)) = self.retry_after() {
            let seconds = format!("{}.{:03}", delay / 1_000, delay % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
