//! Log lines that say what a decision about a request rested on.

use crate::router::Router;
use stackpost_prepaid::{Demand, Outlook};
use stackpost_types::TenantName;

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
