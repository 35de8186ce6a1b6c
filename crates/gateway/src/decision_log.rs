//! Log lines with the grounds of decisions about requests.

use crate::attempt::{ActiveAttempt, Payload};
use crate::header_codec::EngineDirectives;
use crate::request::{Progress, RequestContext};
use crate::router::Router;
use hyper::StatusCode;
use stackpost_gateway_core::{
    AttemptEnd, CutOff, DepartureRecord, DispatchedRequest, EngineProfile, EngineRecord, Evidence,
    Fingerprint, HolderChange, KnownCapacity, RateChange, ShortageChange,
};
use stackpost_prepaid::BudgetForecast;
use stackpost_types::{BackEndName, EventId, Millis, ServiceName, TenantName, Timestamp, Tokens};
use std::time::Duration;

/// A request is refused because its tenant's budget does not cover it at present. `step` is what
/// refused it: the owner of the zone's account, the withheld last part of a scarce budget, all
/// lenders while disconnected from the leader, or the router's own wallet after the wait for tokens.
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
        in_touch = router.is_connected_to_leader(),
        leader_silent_ms = balance.since_contact.0,
        lasts_ms = lasts_ms,
        scarce = scarce;
        "budget does not cover the request"
    );
}

/// This router begins or ceases to hold an account of a tenant.
pub(crate) fn holder_changed(router: &Router, change: &HolderChange) {
    let balance = router.wallet.borrow().balance(router.now(), &change.tenant);
    log::info!(
        tenant = change.tenant.as_str(),
        holds = change.holds,
        requests_per_s = change.requests_per_second,
        hand = balance.primary.0,
        reserve = balance.reserve.0,
        in_touch = router.is_connected_to_leader();
        "account by demand"
    );
}

/// An engine rejected a request. Logs what it asked for, its standing when it was selected and the
/// time since it last rejected a request of this router: whether an earlier directive was known,
/// and whether it was respected.
pub(crate) fn rejected_by_engine(
    router: &Router,
    payload: &Payload,
    attempt: &ActiveAttempt,
    status: StatusCode,
    directives: &EngineDirectives,
) {
    let picker = router.picker.borrow();
    let before = picker.rejected_at(attempt.name());
    log::info!(
        request = payload.caller.id.as_str(),
        engine = attempt.name().as_str(),
        step = "answer",
        status = status.as_u16(),
        rest_ms = directives.backoff.map(|backoff| backoff.0),
        standing = attempt.standing().as_str(),
        requests_there = picker.in_flight(attempt.name()),
        turned_away_before_ms = before.map(|at| router.now().since(at).0);
        "attempt failed: not run"
    );
}

/// An attempt ended before its engine had responded. Logs whether the engine has sent anything
/// since the request was written: if not, it may still read the request.
pub(crate) fn ended_without_response(attempt: &ActiveAttempt, sent_at: Timestamp, end: AttemptEnd) {
    let router = attempt.router();
    let heard_at = router.picker.borrow().silence(attempt.name()).heard_at();
    log::info!(
        request = attempt.request(),
        engine = attempt.name().as_str(),
        end = end.as_str(),
        sent_before_ms = router.now().since(sent_at).0,
        engine_heard_since = heard_at.is_some_and(|heard_at| heard_at >= sent_at);
        "attempt ended without a response"
    );
}

/// The connection of a request has shown what became of it, other than by its response.
pub(crate) fn settled(
    router: &Router,
    engine: &BackEndName,
    request: DispatchedRequest,
    evidence: Evidence,
) {
    if evidence != Evidence::Response {
        log::info!(
            engine = engine.as_str(),
            evidence = evidence.as_str(),
            sent_before_ms = router.now().since(request.sent_at).0;
            "request settled without its response"
        );
    }
}

/// An engine accepts no more requests, as told by `peer`. Logs the requests of this router that the
/// engine may not have read, the time since the oldest of them was sent, and the time since
/// anything was received from the engine.
pub(crate) fn engine_departs(
    router: &Router,
    record: &DepartureRecord,
    peer: &str,
    age: Option<Millis>,
    sent_since: Option<usize>,
) {
    let (now, picker) = (router.now(), router.picker.borrow());
    let unread = picker.unread(&record.engine);
    let oldest = unread.and_then(|unread| unread.oldest(now));
    let heard_at = picker.silence(&record.engine).heard_at();
    log::info!(
        engine = record.engine.as_str(),
        state = record.state.as_str(),
        sequence = record.sequence,
        age_ms = age.map(|age| age.0),
        sent_since = sent_since,
        in_flight = picker.in_flight(&record.engine),
        unread = unread.map_or(0, |unread| unread.count(now)),
        oldest_unread_ms = oldest.map(|oldest| now.since(oldest).0),
        heard_before_ms = heard_at.map(|heard_at| now.since(heard_at).0),
        peer = peer;
        "engine goes"
    );
}

/// A response that is not a stream is cut because its body exceeds `limit` bytes.
pub(crate) fn response_oversized(context: &RequestContext, engine: &BackEndName, limit: usize) {
    log::warn!(
        request = context.payload.caller.id.as_str(),
        engine = engine.as_str(),
        limit_bytes = limit;
        "response too large"
    );
}

/// An engine asked for a backoff. Logs the requests in flight there: with few of them, the backoff
/// is caused by other routers' requests, or the engine rejects every request.
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

/// The rate limit that an engine states has changed. Logs the request whose response stated it;
/// `None` if another router reported it. `age`: time since that request was sent.
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

/// A generation is refused because it exceeds the memory of any engine of its service.
pub(crate) fn exceeds_engine_memory(context: &RequestContext, tokens: Tokens) {
    let memory = context.engine_profile().and_then(EngineProfile::memory);
    log::info!(
        request = context.payload.caller.id.as_str(),
        service = context.service.as_str(),
        tokens = tokens.0,
        engine_memory = memory.map(|memory| memory.0);
        "request exceeds the memory of an engine"
    );
}

/// A request is refused because every engine that could serve it has asked for a backoff. Logs the
/// engine whose backoff ends first.
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
        resting = context.router.picker.borrow().backing_off(context.router.now());
        "every engine rests"
    );
}

/// A request is shed in favour of more urgent ones, or of those of other tenants, while all engines
/// state rate limits below the demand.
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

/// The admission order has begun or stopped refusing requests for a service.
pub(crate) fn shortage_changed(service: &ServiceName, change: &ShortageChange) {
    let (owned_rate, slots) = match change.known {
        KnownCapacity::Stated(owned) => (Some(owned.to_string()), None),
        KnownCapacity::Slots(slots) => (None, Some(slots)),
    };
    log::info!(
        service = service.as_str(),
        capacity_rps = change.capacity,
        demand_rps = change.demand,
        responses_rps = change.response_rate,
        rejected_share = change.rejected_share,
        late_share = change.late_share,
        owned_rate = owned_rate.as_deref(),
        slots = slots.map(|slots| slots.slots),
        slots_in_use = slots.map(|slots| slots.in_use);
        "{}",
        if change.begins { "service is short of capacity" } else { "service has capacity again" }
    );
}

/// A request is refused because every engine that could serve it states a rate limit, and all of
/// them are exhausted. Logs the engine that is available first, and its statement.
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
        rate = statement
            .as_ref()
            .and_then(|update| update.rate)
            .map(|rate| rate.to_string())
            .as_deref(),
        rate_age_ms = statement.as_ref().map(|update| update.age.0),
        permit_in_ms = soonest.0,
        limited = router.permits.rate_limited_engines();
        "every engine's rate is spent"
    );
}

/// How far a response had progressed when its engine interrupted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InterruptionPoint {
    /// Before its head.
    Head,
    /// After the head of a stream, before its first event.
    FirstEvent,
    /// In the middle of a stream.
    Stream,
    /// In the middle of a response that is not a stream.
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
/// which of these lines concern the same request; the number of this router's requests there
/// distinguishes a crashed engine from a single lost connection.
pub(crate) fn response_interrupted(
    context: &RequestContext,
    engine: &BackEndName,
    at: InterruptionPoint,
) {
    let parts: Vec<String> =
        context.payload.caller.shared_parts.iter().map(ToString::to_string).collect();
    log::info!(
        request = context.payload.caller.id.as_str(),
        fingerprint = context.fingerprint().to_string().as_str(),
        parts = parts.join(",").as_str(),
        engine = engine.as_str(),
        step = at.as_str(),
        since_arrival_ms = context.arrived.elapsed().as_millis() as u64,
        requests_there = context.router.picker.borrow().in_flight(engine);
        "connection lost during a response"
    );
}

/// A stream is resumed at another engine after the last event that was forwarded.
pub(crate) fn resuming_stream(
    context: &RequestContext,
    engine: &EngineRecord,
    last_event: EventId,
) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = engine.notice.engine.as_str(),
        software = engine.notice.software.as_str(),
        last_event = last_event.0;
        "resuming stream at another engine"
    );
}

/// A stream ended before its last event. Logs why it was not continued, and the time since the last
/// event that was received.
pub(crate) fn stream_truncated(
    context: &RequestContext,
    reason: &str,
    silence: Millis,
    progress: &Progress,
) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        reason = reason,
        silent_ms = silence.0,
        engines = progress.tried.len(),
        attempts_left = context.attempts_left(progress),
        since_arrival_ms = context.arrived.elapsed().as_millis() as u64;
        "stream broken off"
    );
}

/// A caller that reads too slowly is cut off. `held_in_total`: the bytes held for all callers.
pub(crate) fn reader_cut_off(request: &str, cut_off: &CutOff, held_in_total: u64) {
    log::warn!(
        request = request,
        reason = cut_off.reason.as_str(),
        held_bytes = cut_off.held,
        stalled_ms = cut_off.stalled.0,
        held_in_total = held_in_total;
        "slow reader cut off"
    );
}

/// An engine has ended a response that the router left unread because its caller read too slowly.
pub(crate) fn ended_unread(context: &RequestContext, engine: &BackEndName, unread: Duration) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = engine.as_str(),
        unread_ms = unread.as_millis() as u64;
        "engine ended an unread response"
    );
}

/// A request is admitted although parts of its prompt are quarantined, to learn whether they are
/// sound.
pub(crate) fn quarantine_trial(context: &RequestContext, parts: &[Fingerprint]) {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    log::info!(
        request = context.payload.caller.id.as_str(),
        parts = parts.join(",").as_str();
        "quarantined parts are tried"
    );
}

/// The first event of a stream that the caller resumes has been received, with the software version
/// of the engine that continues it.
pub(crate) fn caller_resumed_stream(context: &RequestContext, attempt: &ActiveAttempt) {
    let caller = &context.payload.caller;
    log::info!(
        request = caller.id.as_str(),
        resumes = caller.resumes.as_deref(),
        last_event = caller.last_event.map(|event| event.0),
        engine = attempt.name().as_str(),
        software = attempt.engine().notice.software.as_str();
        "stream resumed for the caller"
    );
}

/// An engine whose connection was lost accepts new ones, so it has not crashed.
pub(crate) fn survived_interruption(request: &str, engine: &BackEndName) {
    log::info!(request = request, engine = engine.as_str(); "the engine still takes connections");
}

/// A request is refused because engines crashed under it, as reported by the leader or seen by this
/// router.
pub(crate) fn quarantined(context: &RequestContext, retry_after: Millis) {
    log::info!(
        request = context.payload.caller.id.as_str(),
        fingerprint = context.fingerprint().to_string().as_str(),
        in_touch = context.router.is_connected_to_leader(),
        retry_after_ms = retry_after.0;
        "request is quarantined"
    );
}

/// Logs the first event of a stream if it was later than the objective, with the estimate made when
/// the request was sent.
pub(crate) fn late_first_event(context: &RequestContext, attempt: &ActiveAttempt, took: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    if since_arrival > context.route.objective.0 {
        log_placement(context, attempt, "first event late", since_arrival, took);
    }
}

/// Logs a pause of a stream that is longer than its gap objective.
pub(crate) fn long_pause(context: &RequestContext, attempt: &ActiveAttempt, pause: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    log_placement(context, attempt, "long pause", since_arrival, pause);
}

fn log_placement(
    context: &RequestContext,
    attempt: &ActiveAttempt,
    message: &str,
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
        to_read = estimate.prompt_prefill as u64,
        ahead = estimate.queued_prefill as u64,
        running = estimate.running,
        long_readings = estimate.long_prefill_share,
        harm_late = cost.lateness,
        harm_held_up = cost.stall,
        harm_to_others = cost.interference,
        harm_read_again = cost.recompute;
        "{message}"
    );
}
