//! Final answers that the router makes itself.

use crate::body::GatewayBody;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use stackpost_types::Millis;

/// Time within which a restarted router is usually configured: after a loss of power of all machines
/// 0.5 to 0.7 s (replays of trouble-1 and scale-2).
const CONFIGURED_WITHIN: Millis = Millis(700);
/// A leader that is out of sight is seldom back sooner; a try before that would meet the same
/// balances and be refused again.
const LEADER_BACK_WITHIN: Millis = Millis(3_000);

/// The leader plans budgets four times a second, and what it hands out is here within one more round: a try before that
/// would meet the same balances.
const NEXT_ALLOTMENT_WITHIN: Millis = Millis(500);
/// Time over which callers return whose engines all rest: engines are to serve again within half a second.
const RETURN_SPREAD: Millis = Millis(400);
/// Nobody is told to stay away for longer: by then engines may have come that rest from nothing (a replacement takes
/// three to four seconds, a day of new engines some more).
const LONGEST_RETRY_AFTER: Millis = Millis(30_000);

/// Why a request gets no engine's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The router has no configuration yet.
    NotConfigured,
    /// The router stops.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is not known.
    UnknownKey,
    /// Route or key is not known here, but the router may be behind a change.
    ConfigMayBeStale,
    /// A header can't be read.
    Malformed,
    /// The body is too long.
    BodyTooLarge,
    /// The body did not come in whole.
    BodyIncomplete,
    /// The tenant's budget does not cover the request here and now.
    BudgetExhausted,
    /// What this router and others in reach hold of the tenant's budget does not cover the request,
    /// and the leader can't be asked.
    BudgetUnavailable,
    /// No engine of the service takes work.
    NoEngine,
    /// The engines have no room.
    EnginesFull,
    /// Every engine of the service has asked for rest.
    EnginesBackingOff {
        /// When to come again: the soonest end of a rest, spread ([`retry_after_backoff`]).
        retry_after: Millis,
    },
    /// Every engine of the service states how many requests a second it takes, and has had them.
    RateLimitsExhausted {
        /// When to come again: behind those who were told before, at the pace at which permits come.
        retry_after: Millis,
    },
    /// The engines can't be reached.
    Unreachable,
    /// The time is over and the request has not run.
    DeadlineExceeded,
    /// Engines have ended under this very request, so it is sent to none.
    CrashesEngines {
        /// When to come again: once the quarantine is over, or as long as it may still be taken back, soon.
        retry_after: Millis,
    },
    /// The request may have run; its answer is lost.
    ResponseLost,
    /// The time is over and the request may have run.
    DeadlineExceededUnknown,
}

/// When a caller should come again whose engines all rest: once the first rest is over (`soonest`), at a moment of
/// its own (`lot`, any number) within [`RETURN_SPREAD`], so that callers who were refused together do not return
/// together.
pub fn retry_after_backoff(soonest: Millis, lot: u64) -> Millis {
    let spread = Millis(lot % RETURN_SPREAD.0);
    Millis((soonest.0 + spread.0).min(LONGEST_RETRY_AFTER.0))
}

impl Refusal {
    /// The reason as a code.
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
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnavailable => "budget_out_of_reach",
            Self::NoEngine => "no_engine",
            Self::EnginesFull => "engines_full",
            Self::EnginesBackingOff { .. } => "engines_rest",
            Self::RateLimitsExhausted { .. } => "rates_spent",
            Self::Unreachable => "unreachable",
            Self::DeadlineExceeded => "time_over",
            Self::CrashesEngines { .. } => "ends_engines",
            Self::ResponseLost => "answer_lost",
            Self::DeadlineExceededUnknown => "time_over_unknown",
        }
    }

    /// The status. 429 and 503 promise that the request has not run and never will.
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
            | Self::NoEngine
            | Self::EnginesFull
            | Self::EnginesBackingOff { .. }
            | Self::RateLimitsExhausted { .. }
            | Self::Unreachable
            | Self::CrashesEngines { .. }
            | Self::DeadlineExceeded => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceededUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When another try makes sense.
    fn retry_after(self) -> Option<Millis> {
        match self {
            Self::NotConfigured => Some(CONFIGURED_WITHIN),
            Self::ConfigMayBeStale => Some(Millis(400)),
            Self::NoEngine | Self::Unreachable | Self::DeadlineExceeded => Some(Millis(200)),
            Self::Stopping => Some(Millis(50)),
            Self::EnginesFull => Some(Millis(100)),
            Self::EnginesBackingOff { retry_after }
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

    /// The answer to the caller.
    pub fn into_response(self) -> Response<GatewayBody> {
        let outcome = if self.is_not_run() { "not_run" } else { "unknown" };
        let code = self.code();
        let text = format!("{{\"error\":{{\"code\":\"{code}\",\"outcome\":\"{outcome}\"}}}}\n");
        let mut response = Response::new(GatewayBody::buffered(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(Millis(pause)) = self.retry_after() {
            let seconds = format!("{}.{:03}", pause / 1_000, pause % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
