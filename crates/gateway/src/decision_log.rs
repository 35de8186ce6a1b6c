//! Log lines that say what a decision about a request rested on.

use crate::attempt::EngineHold;
use crate::request::RequestContext;
use crate::router::Router;
use stackpost_prepaid::{Demand, Outlook};
use stackpost_types::TenantName;
use std::time::Duration;

/// A request is refused because its tenant's budget does not cover it here and now. `step` is what
/// refused it: the precedence of other requests, or the wallet after the wait for tokens.
pub(crate) fn unpaid(
    router: &Router,
    request: &str,
    tenant: &TenantName,
    demand: Demand,
    step: &str,
) {
    let balance = router.wallet.borrow().balance(router.now(), tenant);
    let outlook = router.outlooks.borrow().get(tenant).copied();
    let (lasts_ms, scarce) = match outlook {
        Some(Outlook::Lasts(time)) => (Some(time.0), false),
        Some(Outlook::Scarce) => (None, true),
        None => (None, false),
    };
    log::info!(
        request = request,
        tenant = tenant.as_str(),
        step = step,
        tokens = demand.amount.0,
        priority = demand.priority,
        hand = balance.hand.0,
        reserve = balance.reserve.0,
        spendable = balance.spendable.0,
        reserved = balance.reserved.0,
        in_touch = router.in_touch(),
        leader_silent_ms = balance.silent_for.0,
        lasts_ms = lasts_ms,
        scarce = scarce;
        "budget does not cover the request"
    );
}

/// The first event of a stream has come. Says so only if that was later than wanted: with what had
/// been expected of the engine when the request was sent there.
pub(crate) fn first_event(context: &RequestContext, hold: &EngineHold, took: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    if since_arrival > context.route.objective.0 {
        placed(context, hold, "first event late", since_arrival, took);
    }
}

/// A stream has paused for longer than wanted.
pub(crate) fn long_pause(context: &RequestContext, hold: &EngineHold, pause: Duration) {
    let since_arrival = context.arrived.elapsed().as_millis() as u64;
    placed(context, hold, "long pause", since_arrival, pause);
}

fn placed(
    context: &RequestContext,
    hold: &EngineHold,
    what: &str,
    since_arrival_ms: u64,
    took: Duration,
) {
    let Some(placement) = hold.placement() else {
        return;
    };
    let (estimate, harm) = (&placement.estimate, &placement.harm);
    log::info!(
        request = context.payload.caller.id.as_str(),
        engine = hold.engine().notice.engine.as_str(),
        priority = context.route.priority,
        since_arrival_ms = since_arrival_ms,
        took_ms = took.as_millis() as u64,
        expected_ms = estimate.first_event_ms as u64,
        to_read = estimate.to_read as u64,
        ahead = estimate.ahead as u64,
        running = estimate.running,
        long_readings = estimate.long_readings,
        harm_late = harm.late,
        harm_held_up = harm.held_up,
        harm_to_others = harm.to_others,
        harm_read_again = harm.read_again;
        "{what}"
    );
}
