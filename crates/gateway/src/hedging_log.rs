//! Log lines of attempts at silent engines.

use crate::hedged_attempts::InFlight;
use crate::request::{Progress, RequestContext};
use crate::retry::NoRetry;
use stackpost_types::BackEndName;

/// The part of a response that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AwaitedPart {
    /// The first event of a stream, or the whole of another response.
    Response,
    /// The next event of a stream.
    Event,
}

impl AwaitedPart {
    /// The part as written in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Event => "event",
        }
    }
}

/// What became of another engine that was to be asked beside a silent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeEnd {
    /// It was not asked.
    NotAsked,
    /// The earliest attempt delivered first.
    FirstDelivered,
    /// A later attempt delivered first.
    LaterDelivered,
    /// One of the attempts failed, the others went on.
    OneFailed,
}

impl HedgeEnd {
    /// The end as written in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not_asked",
            Self::FirstDelivered => "first_delivered",
            Self::LaterDelivered => "later_delivered",
            Self::OneFailed => "one_failed",
        }
    }
}

/// Another engine is asked beside one that has sent nothing for this request for `silent_ms`. Logs
/// for how long nothing at all was received from that engine, and what is left.
pub(crate) fn hedged<T>(
    context: &RequestContext,
    first: &InFlight<'_, T>,
    second: &BackEndName,
    part: AwaitedPart,
    progress: &Progress,
) {
    let router = &context.router;
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = first.name().as_str(),
        second = second.as_str(),
        part = part.as_str(),
        silent_ms = first.last_heard.silence(router.now()).0,
        engine_silent_ms = router.silence_of(first.name()).0,
        attempts_left = context.attempts_left(progress),
        deadline_ms = context.deadline.remaining().as_millis() as u64;
        "second engine asked"
    );
}

/// No other engine is asked beside a silent one. Logs the reason, and how many engines of the
/// service were heard from during the silence.
pub(crate) fn not_hedged<T>(
    context: &RequestContext,
    first: &InFlight<'_, T>,
    part: AwaitedPart,
    reason: NoRetry,
    progress: &Progress,
) {
    let router = &context.router;
    let silence = first.last_heard.silence(router.now());
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = first.name().as_str(),
        part = part.as_str(),
        reason = reason.as_str(),
        silent_ms = silence.0,
        engine_silent_ms = router.silence_of(first.name()).0,
        engines_heard = router.engines_heard_within(&context.service, silence),
        attempts_left = context.attempts_left(progress);
        "no second engine for a silent one"
    );
}

/// An attempt is dropped because another one has delivered. Logs for how long it had received
/// nothing, and for how long nothing at all was received from its engine.
pub(crate) fn dropped<T>(
    context: &RequestContext,
    dropped: &InFlight<'_, T>,
    delivered: &BackEndName,
    progress: &Progress,
) {
    let router = &context.router;
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = dropped.name().as_str(),
        delivered = delivered.as_str(),
        silent_ms = dropped.last_heard.silence(router.now()).0,
        engine_silent_ms = router.silence_of(dropped.name()).0,
        attempts_left = context.attempts_left(progress);
        "engine dropped"
    );
}
