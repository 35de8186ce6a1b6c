//! How much each router should hold.
//!
//! The primary covers the time until the leader can grant more; what a router holds beyond that is
//! its reserve, which covers the time while it is disconnected from the leader. What a router holds
//! when its machine loses power is lost to the tenant, so both shrink as a budget runs out.

use crate::ledger::{DrawRate, Grant, PrepaidLedger};
use crate::scarce_limiter::ScarceBudgetLimiter;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// Demand that the primary covers. If a request does not fit, the router asks for what it lacks.
const PRIMARY_TIME: Millis = Millis(1_200);
/// Demand that the reserve covers: the longest disconnection during which a router keeps serving.
const RESERVE_TIME: Millis = Millis(7_000);
/// Draw rate of the reserve relative to the recent demand, in thousandths.
const DRAW_RATE_PERMILLE: u64 = 2_000;
/// Demand that may be drawn as a burst when the reserve is unlocked.
const DRAW_BURST_TIME: Millis = Millis(1_000);
/// A router is topped up when it holds less than this part of its target, in thousandths.
const REFILL_PERMILLE: u64 = 850;
/// Tokens are recalled when a router holds more than this part of its target, in thousandths.
const EXCESS_PERMILLE: u64 = 1_500;
/// Part of the unallotted tokens that one grant may take for future demand, in thousandths.
const GRANT_PERMILLE: u64 = 400;

/// Part of what is left of a budget, in thousandths, that all primaries may hold together. Moving
/// tokens from one router's primary to a request at another router is slow.
const PRIMARIES_PERMILLE: u64 = 300;
/// A budget that lasts at least this long at the recent demand gets reserves for the whole
/// [`RESERVE_TIME`].
const FULL_RESERVE_DURATION: Millis = Millis(14_000);

/// Part of every limit, in thousandths, that is granted last, in small amounts and for cheap
/// requests only. It is never granted as a reserve, so a fault can't strand it: a tenant near the
/// end of its budget can still be served after the fault.
const LAST_PART_PERMILLE: u64 = 5;
/// Part of every limit, in thousandths, that is granted only after most of the fleet was lost
/// ([`ScarceBudgetLimiter`]).
const GUARD_PERMILLE: u64 = 7;
/// Part of every limit, in thousandths, that is never granted: a margin for tokens that an engine
/// may count beyond those that it was seen to send.
const WITHHELD_PERMILLE: u64 = 5;
/// A budget is scarce when only its last part is left and the routers hold less than this part of
/// the limit, in thousandths.
const SCARCE_HELD_PERMILLE: u64 = 2;
/// No forecast is made for a budget that lasts longer.
const MAX_FORECAST: Millis = Millis(60_000);
/// Granularity of forecasts; coarse, so that they seldom change.
const FORECAST_STEP: Millis = Millis(1_000);

/// A router's report on one tenant's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Total returned from the primary.
    pub returned: Tokens,
    /// Total returned from the reserve.
    pub released: Tokens,
    /// Total of spent and reserved tokens.
    pub used: Tokens,
    /// The largest request that did not fit, or the smallest for a scarce budget; zero if all
    /// fitted.
    pub wanted: Tokens,
    /// The largest request seen.
    pub largest_request: Tokens,
    /// Demand in tokens per second.
    pub rate: Tokens,
}

/// Asks a router to return unused tokens beyond `keep`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The router incarnation.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// Unused tokens that it may keep.
    pub keep: Tokens,
}

/// A budget of which some router wants more than it holds, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetShortage {
    /// The tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: Tokens,
    /// Tokens that are neither held nor used by any router.
    pub available: Tokens,
    /// Unused tokens held by the routers that reported.
    pub held: Tokens,
    /// The largest request that did not fit.
    pub wanted: Tokens,
}

/// The result of one planning round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Grants to be committed to the ledger.
    pub grants: Vec<Grant>,
    /// Recalls to be sent to routers.
    pub recalls: Vec<Recall>,
    /// Forecasts for the budgets that are about to run out.
    pub forecasts: BTreeMap<TenantName, BudgetForecast>,
    /// Budgets of which some router wants more, for logs.
    pub shortages: Vec<BudgetShortage>,
}

/// Forecast of how long a budget lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetForecast {
    /// Exhausted after this time at the recent demand.
    ExhaustedIn(Millis),
    /// Only its last part is left; only cheap requests should draw on it.
    Scarce,
}

/// One router's share of a tenant's budget.
struct Share<'a> {
    holder: &'a NodeId,
    report: AccountReport,
    /// What is left of the primary.
    primary: Tokens,
    /// What has been drawn from the reserve. A grant to the primary covers it first.
    reserve_drawn: Tokens,
    /// Unused tokens of primary and reserve.
    held: Tokens,
    /// Returned and not yet recorded in the ledger. It is recorded before the grants of the same
    /// round.
    newly_returned: Tokens,
    draw_rate: DrawRate,
}

impl Share<'_> {
    /// Tokens that a request waiting there lacks.
    fn missing(&self) -> Tokens {
        self.report.wanted - self.held
    }

    fn has_shortfall(&self) -> bool {
        !self.missing().is_zero()
    }

    /// Whether a request waits there, for a grant or for tokens to move from reserve to primary.
    fn has_waiting_request(&self) -> bool {
        self.report.wanted > self.primary
    }
}

/// Amounts that a router should hold.
struct Target {
    primary: Tokens,
    held: Tokens,
}

/// Plans a round over the routers that have reported, `elapsed` after the previous round.
pub fn plan(
    ledger: &PrepaidLedger,
    reports: &BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>>,
    elapsed: Millis,
    scarce_limiter: &mut ScarceBudgetLimiter,
) -> Plan {
    scarce_limiter.begin_round(elapsed);
    let mut plan = Plan::default();
    for (tenant, limit) in ledger.tenants() {
        let shares: Vec<Share<'_>> = reports
            .iter()
            .filter_map(|(holder, accounts)| {
                Some(share(ledger, holder, tenant, *accounts.get(tenant)?))
            })
            .collect();
        let held: Tokens = shares.iter().map(|share| share.held).sum();
        let unallotted = divide_unallotted(ledger.available(tenant), limit);
        let wanted = shares.iter().map(|share| share.report.wanted).max().unwrap_or_default();
        if !wanted.is_zero() {
            let (tenant, available) = (tenant.clone(), ledger.available(tenant));
            plan.shortages.push(BudgetShortage { tenant, limit, available, held, wanted });
        }
        if unallotted.pool.is_zero() && held < limit.scaled(SCARCE_HELD_PERMILLE, 1_000) {
            plan.forecasts.insert(tenant.clone(), BudgetForecast::Scarce);
            plan_scarce(tenant, limit, &unallotted, &shares, scarce_limiter, &mut plan);
        } else {
            if let Some(time_to_exhaustion) = time_to_exhaustion(unallotted.pool + held, &shares) {
                plan.forecasts
                    .insert(tenant.clone(), BudgetForecast::ExhaustedIn(time_to_exhaustion));
            }
            plan_tenant(tenant, &unallotted, &shares, &mut plan);
        }
    }
    scarce_limiter.retain(|tenant| plan.forecasts.get(tenant) == Some(&BudgetForecast::Scarce));
    plan
}

/// The unallotted tokens of a budget, divided by how they may be granted.
struct UnallottedParts {
    /// Granted by demand.
    pool: Tokens,
    /// Granted at the scarce-budget limiter's rate.
    last_part: Tokens,
    /// Granted after a loss of most of the fleet.
    guard: Tokens,
    /// What the withheld part, the guard and the last part lack; returned tokens refill them first.
    deficit: Tokens,
}

/// Divides the unallotted tokens; the parts that are granted last are filled first.
fn divide_unallotted(unallotted: Tokens, limit: Tokens) -> UnallottedParts {
    let set_aside = limit.scaled(WITHHELD_PERMILLE + GUARD_PERMILLE + LAST_PART_PERMILLE, 1_000);
    let (pool, deficit) = (unallotted - set_aside, set_aside - unallotted);
    let unallotted = unallotted - limit.scaled(WITHHELD_PERMILLE, 1_000);
    let guard = unallotted.min(limit.scaled(GUARD_PERMILLE, 1_000));
    UnallottedParts { pool, last_part: unallotted - guard, guard, deficit }
}

/// How long `left` covers the recent demand; `None` from [`MAX_FORECAST`] on.
fn time_to_exhaustion(left: Tokens, shares: &[Share<'_>]) -> Option<Millis> {
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let millis = left.scaled(1_000, rate.0.max(1)).0;
    let step = FORECAST_STEP.0;
    (millis < MAX_FORECAST.0).then_some(Millis(millis / step * step))
}

/// Plans grants from a scarce budget, limited by the scarce-budget limiter.
fn plan_scarce(
    tenant: &TenantName,
    limit: Tokens,
    unallotted: &UnallottedParts,
    shares: &[Share<'_>],
    scarce_limiter: &mut ScarceBudgetLimiter,
    plan: &mut Plan,
) {
    let guard = if scarce_limiter.is_guard_open() { unallotted.guard } else { Tokens::ZERO };
    let min_missing = shares.iter().filter(|share| share.has_shortfall()).map(Share::missing).min();
    let scarce_allowance = scarce_limiter.allowed(
        tenant,
        limit,
        unallotted.last_part.is_zero(),
        min_missing.unwrap_or_default(),
    );
    // Tokens moved from one router to another were already limited when they were first granted.
    let newly_returned: Tokens = shares.iter().map(|share| share.newly_returned).sum();
    let allowed = (unallotted.last_part + guard).min(scarce_allowance) + newly_returned;
    let granted = grant_scarce(tenant, allowed, shares, plan);
    scarce_limiter.consume(tenant, granted - newly_returned);
}

/// Grants tokens to waiting requests only: tokens held in advance at one router are missing when
/// the next request arrives at another. Requests are served in the order of what they lack, the
/// smallest amount first, and get all that they lack or nothing. Returns the total granted.
fn grant_scarce(
    tenant: &TenantName,
    allowed: Tokens,
    shares: &[Share<'_>],
    plan: &mut Plan,
) -> Tokens {
    let mut left = allowed;
    let mut waiting_shares: Vec<&Share<'_>> =
        shares.iter().filter(|share| share.has_waiting_request()).collect();
    waiting_shares.sort_by_key(|share| share.missing());
    let no_target = Target { primary: Tokens::ZERO, held: Tokens::ZERO };
    for (index, share) in waiting_shares.iter().enumerate() {
        if share.missing() > left {
            let granted = &waiting_shares[..index];
            recall_for_request(tenant, share, share.missing() - left, shares, granted, plan);
            break;
        }
        if let Some(grant) = grant(tenant, share, &no_target, left) {
            left = left - grant.amount;
            plan.grants.push(grant);
        }
    }
    allowed - left
}

/// Recalls tokens for one request from routers that can't serve any request with them, provided
/// that this is enough. Routers `granted` tokens in this round can serve one and are left out.
fn recall_for_request(
    tenant: &TenantName,
    recipient: &Share<'_>,
    missing: Tokens,
    shares: &[Share<'_>],
    granted: &[&Share<'_>],
    plan: &mut Plan,
) {
    let is_covered =
        |share: &Share<'_>| granted.iter().any(|granted| granted.holder == share.holder);
    let is_idle = |share: &&Share<'_>| {
        share.holder != recipient.holder
            && !is_covered(share)
            && (share.report.wanted.is_zero() || share.has_shortfall())
    };
    let mut idle: Vec<&Share<'_>> = shares.iter().filter(is_idle).collect();
    let is_enough = idle.iter().map(|share| share.held).sum::<Tokens>() >= missing;
    if is_enough {
        idle.sort_by_key(|share| std::cmp::Reverse(share.held));
        recall_from(tenant, &idle, missing, plan);
    }
}

fn share<'a>(
    ledger: &PrepaidLedger,
    holder: &'a NodeId,
    tenant: &TenantName,
    report: AccountReport,
) -> Share<'a> {
    let allotment = ledger.allotment(holder, tenant);
    let released = report.released.max(allotment.released);
    let consumed = report.returned.max(allotment.returned) + report.used;
    Share {
        holder,
        report,
        primary: allotment.usable_primary() - consumed,
        reserve_drawn: consumed - allotment.usable_primary(),
        held: allotment.allotted - released - consumed,
        newly_returned: (released - allotment.released) + (report.returned - allotment.returned),
        draw_rate: allotment.draw_rate,
    }
}

fn plan_tenant(
    tenant: &TenantName,
    unallotted: &UnallottedParts,
    shares: &[Share<'_>],
    plan: &mut Plan,
) {
    let total: Tokens = unallotted.pool + shares.iter().map(|share| share.held).sum();
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let mut left = unallotted.pool;
    // Waiting requests take precedence over tokens held for future demand.
    let (waiting, others): (Vec<_>, Vec<_>) =
        shares.iter().partition(|share| share.has_shortfall());
    for share in waiting.into_iter().chain(others) {
        let target = target(share, total, rate);
        let grant = grant(tenant, share, &target, left);
        if let Some(grant) = grant {
            left = left - grant.amount;
            plan.grants.push(grant);
        }
    }
    let missing = shares.iter().map(|share| share.report.wanted - share.held - left).max();
    recall_excess(tenant, total, rate, shares, plan);
    if let Some(missing) = missing.filter(|missing| !missing.is_zero()) {
        recall_missing(tenant, missing + unallotted.deficit, shares, plan);
    }
}

/// Recalls what routers hold far beyond their targets.
fn recall_excess(
    tenant: &TenantName,
    total: Tokens,
    rate: Tokens,
    shares: &[Share<'_>],
    plan: &mut Plan,
) {
    for share in shares {
        let target = target(share, total, rate);
        if share.held > target.held.scaled(EXCESS_PERMILLE, 1_000) + share.report.largest_request {
            plan.recalls.push(recall(tenant, share, target.held));
        }
    }
}

/// Recalls what a waiting request needs and the pool can't cover, from the routers without waiting
/// requests, those that hold most first.
fn recall_missing(tenant: &TenantName, missing: Tokens, shares: &[Share<'_>], plan: &mut Plan) {
    let mut idle: Vec<&Share<'_>> =
        shares.iter().filter(|share| share.report.wanted.is_zero()).collect();
    idle.sort_by_key(|share| std::cmp::Reverse(share.held));
    recall_from(tenant, &idle, missing, plan);
}

fn recall_from(tenant: &TenantName, idle: &[&Share<'_>], missing: Tokens, plan: &mut Plan) {
    let mut missing = missing;
    for share in idle {
        if missing.is_zero() {
            break;
        }
        let amount = share.held.min(missing);
        plan.recalls.push(recall(tenant, share, share.held - amount));
        missing = missing - amount;
    }
}

fn recall(tenant: &TenantName, share: &Share<'_>, keep: Tokens) -> Recall {
    Recall { holder: share.holder.clone(), tenant: tenant.clone(), keep }
}

/// A grant of what a router lacks, limited to what is `left`; `None` if there is nothing to change.
fn grant(tenant: &TenantName, share: &Share<'_>, target: &Target, left: Tokens) -> Option<Grant> {
    let missing = share.report.wanted - share.held;
    let is_low = share.held < target.held.scaled(REFILL_PERMILLE, 1_000);
    let top_up = if is_low { target.held - share.held } else { Tokens::ZERO };
    let amount = top_up.min(left.scaled(GRANT_PERMILLE, 1_000)).max(missing).min(left);
    let held = share.held + amount;
    let primary_wanted = target.primary.max(share.report.wanted).min(held);
    let primary_is_low = share.primary < target.primary.scaled(REFILL_PERMILLE, 1_000)
        || share.primary < share.report.wanted;
    let deficit = primary_wanted - share.primary + share.reserve_drawn;
    let to_primary = if primary_is_low { deficit } else { Tokens::ZERO };
    let draw_rate = draw_rate(share);
    let faster = draw_rate.per_second > share.draw_rate.per_second.scaled(1_200, 1_000);
    if amount.is_zero() && to_primary.is_zero() && !faster {
        return None;
    }
    let holder = share.holder.clone();
    Some(Grant { holder, tenant: tenant.clone(), amount, to_primary, draw_rate })
}

fn draw_rate(share: &Share<'_>) -> DrawRate {
    let rate = share.report.rate;
    DrawRate {
        burst: rate.scaled(DRAW_BURST_TIME.0, 1_000),
        per_second: rate.scaled(DRAW_RATE_PERMILLE, 1_000),
    }
}

/// Primary: [`PRIMARY_TIME`] of the router's demand, at most its fair share of what is left.
/// Held: the primary plus the reserve.
fn target(share: &Share<'_>, total: Tokens, rate: Tokens) -> Target {
    let own = share.report.rate;
    let fair = total.scaled(PRIMARIES_PERMILLE, 1_000).scaled(own.0, rate.0.max(1));
    let primary = own.scaled(PRIMARY_TIME.0, 1_000).min(fair);
    Target { primary, held: primary + reserve(own, total, rate) }
}

/// Target reserve of a router with the demand `own` for a budget that has `total` left. What
/// routers hold when all machines lose power is lost to the tenant. That costs nothing if the
/// budget lasts, but does if it runs out, while tokens that a partition leaves unspent can still be
/// spent after it. So reserves shrink faster than what is left.
fn reserve(own: Tokens, total: Tokens, rate: Tokens) -> Tokens {
    let full_reserve_total = rate.scaled(FULL_RESERVE_DURATION.0, 1_000).max(Tokens(1));
    let left = total.min(full_reserve_total);
    let full = own.scaled(RESERVE_TIME.0, 1_000);
    full.scaled(left.0, full_reserve_total.0).scaled(left.0, full_reserve_total.0)
}
