//! Log lines that say what a decision about a request rested on.

use crate::attempt::{ActiveAttempt, Payload};
use crate::header_codec::EngineDirectives;
use crate::request::RequestContext;
use crate::router::Router;
use hyper::StatusCode;
use stackpost_gateway_core::RateChange;
use stackpost_prepaid::BudgetForecast;
use stackpost_types::{BackEndName, Millis, TenantName, Tokens};
use std::time::Duration;

/// A request is refused because its tenant's budget does not cover it here and now. `step` is what
/// refused it: the owner of the zone's account, the end of a budget that is kept for cheap requests, or the own wallet
/// after the wait for tokens.
pub(crate) fn insufficient_budget(
    router: &Router,
    request: &str,
    tenant: &TenantName,
    tokens: Tokens,
    step: &str,
) {
    let balance = router.wallet.borrow().balance(router.now(), tenant);
    let forecast = router.forecasts.borrow().get(tenant).copied();
    let (lasts_ms, scarce) = match forecast {
        Some(BudgetForecast::ExhaustedIn(time)) => (Some(time.0), false),
        Some(BudgetForecast::Scarce) => (None, true),
        None => (None, false),
    };
    log::info!(
        request = request,
        tenant = tenant.as_str(),
        step = step,
        tokens = tokens.0,
        hand = balance.primary.0,
        reserve = balance.reserve.0,
        spendable = balance.spendable.0,
        reserved = balance.reserved.0,
        in_touch = router.in_touch(),
        leader_silent_ms = balance.since_contact.0,
        lasts_ms = lasts_ms,
        scarce = scarce;
        "budget does not cover the request"
    );
}

/// An engine turned a request away. Says what it asked for, how it stood when it was chosen and when it had
/// last turned this router away: whether a wish of it was known, and whether it was kept.
pub(crate) fn rejected_by_engine(
    router: &Router,
    payload: &Payload,
    attempt: &ActiveAttempt,
    status: StatusCode,
    wishes: &EngineDirectives,
) {
    let picker = router.picker.borrow();
    let before = picker.rejected_at(attempt.name());
    log::info!(
        request = payload.caller.id.as_str(),
        engine = attempt.name().as_str(),
        step = "answer",
        status = status.as_u16(),
        rest_ms = wishes.backoff.map(|backoff| backoff.0),
        standing = attempt.standing().as_str(),
        requests_there = picker.in_flight(attempt.name()),
        turned_away_before_ms = before.map(|at| router.now().since(at).0);
        "attempt failed: not run"
    );
}

/// An engine wants no request for a while. Says what was under way there: a wish while little is tells of other
/// routers' requests, or of an engine that turns away whatever comes.
pub(crate) fn backoff_started(
    router: &Router,
    request: &str,
    engine: &BackEndName,
    backoff: Millis,
) {
    log::info!(
        request = request,
        engine = engine.as_str(),
        rest_ms = backoff.0,
        requests_there = router.picker.borrow().in_flight(engine);
        "engine rests"
    );
}

/// What an engine states of the requests a second that it takes has changed. Says under which request this router heard it; none
/// if another router told it. `age`: how long before the request was sent whose answer says so.
pub(crate) fn rate_changed(
    router: &Router,
    request: Option<&str>,
    engine: &BackEndName,
    age: Millis,
    change: RateChange,
) {
    log::info!(
        request = request,
        engine = engine.as_str(),
        rate = change.now.map(|rate| rate.to_string()).as_deref(),
        rate_before = change.before.map(|rate| rate.to_string()).as_deref(),
        sent_before_ms = age.0,
        requests_there = router.picker.borrow().in_flight(engine);
        "engine states its rate"
    );
}

/// A request is refused because every engine that could serve it rests. Names the one whose rest ends first.
pub(crate) fn all_engines_backing_off(
    context: &RequestContext,
    engine: &BackEndName,
    soonest: Millis,
) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        service = context.service.as_str(),
        engine = engine.as_str(),
        rest_left_ms = soonest.0,
        resting = context.router.picker.borrow().resting(context.router.now());
        "every engine rests"
    );
}

/// A request gives way to more urgent ones, or to those of other tenants, while all engines state rates and these are short.
pub(crate) fn shed(context: &RequestContext) {
    let router = &context.router;
    log::info!(
        request = context.payload.caller.id.as_str(),
        service = context.service.as_str(),
        tenant = context.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        priority = context.priority(),
        owned_rate = router.owned_rate(&context.service).to_string().as_str(),
        limited = router.permits.rate_limited_engines();
        "request gives way"
    );
}

/// A request is refused because every engine that could serve it states a rate, and all of it is spent. Names the engine
/// that may be asked first, and its statement.
pub(crate) fn rate_limits_exhausted(
    context: &RequestContext,
    engine: &BackEndName,
    soonest: Millis,
) {
    let router = &context.router;
    let statement = router.permits.statement(router.now(), engine);
    log::info!(
        request = context.payload.caller.id.as_str(),
        service = context.service.as_str(),
        engine = engine.as_str(),
        rate = statement.as_ref().and_then(|news| news.rate).map(|rate| rate.to_string()).as_deref(),
        rate_age_ms = statement.as_ref().map(|news| news.age.0),
        permit_in_ms = soonest.0,
        limited = router.permits.rate_limited_engines();
        "every engine's rate is spent"
    );
}

/// How far an answer had come when its engine broke it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InterruptionPoint {
    /// Before its head.
    Head,
    /// After the head of a stream, before its first event.
    FirstEvent,
    /// In the middle of a stream.
    Stream,
    /// In the middle of another body.
    Body,
}

impl InterruptionPoint {
    fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::FirstEvent => "first_event",
            Self::Stream => "stream",
            Self::Body => "body",
        }
    }
}

/// The connection ended while an engine may have been running the request. The fingerprint shows
/// which of these lines are about the same request; the requests that this router had there tell an
/// engine that ended from a single connection that did.
pub(crate) fn response_interrupted(
    context: &RequestContext,
    engine: &BackEndName,
    at: InterruptionPoint,
) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        fingerprint = context.fingerprint().to_string().as_str(),
        engine = engine.as_str(),
        step = at.as_str(),
        since_arrival_ms = context.arrived.elapsed().as_millis() as u64,
        requests_there = context.router.picker.borrow().in_flight(engine);
        "the engine broke off"
    );
}

/// An engine whose connection broke takes new ones, so the break counts as no end of it.
pub(crate) fn survived_interruption(request: &str, engine: &BackEndName) {
    log::info!(request = request, engine = engine.as_str(); "the engine still takes connections");
}

/// A request is refused because engines have ended under it, by the fleet's word or this router's own.
pub(crate) fn quarantined(context: &RequestContext, retry_after: Millis) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        fingerprint = context.fingerprint().to_string().as_str(),
        in_touch = context.router.in_touch(),
        retry_after_ms = retry_after.0;
        "request is quarantined"
    );
}

/// The first event of a stream has come. Says so only if that was later than wanted: with what had
/// been expected of the engine when the request was sent there.
pub(crate) fn late_first_event(context: &RequestContext, attempt: &ActiveAttempt, took: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    if since_arrival > context.route.objective.0 {
        placed(context, attempt, "first event late", since_arrival, took);
    }
}

/// A stream has paused for longer than wanted.
pub(crate) fn long_pause(context: &RequestContext, attempt: &ActiveAttempt, pause: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    placed(context, attempt, "long pause", since_arrival, pause);
}

fn placed(
    context: &RequestContext,
    attempt: &ActiveAttempt,
    what: &str,
    since_arrival_ms: u64,
    took: Duration,
) {
    let Some(placement) = attempt.placement() else {
        return;
    };
    let (estimate, cost) = (&placement.estimate, &placement.cost);
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = attempt.engine().notice.engine.as_str(),
        priority = context.route.priority,
        since_arrival_ms = since_arrival_ms,
        took_ms = took.as_millis() as u64,
        expected_ms = estimate.first_event_ms as u64,
        to_read = estimate.to_read as u64,
        ahead = estimate.ahead as u64,
        running = estimate.running,
        long_readings = estimate.long_readings,
        harm_late = cost.lateness,
        harm_held_up = cost.stall,
        harm_to_others = cost.interference,
        harm_read_again = cost.recompute;
        "{what}"
    );
}
