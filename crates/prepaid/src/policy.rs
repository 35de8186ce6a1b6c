//! How much each router should hold.
//!
//! The hand covers the time until the leader can hand out more; what a router holds beyond that is
//! its reserve, which covers the time out of touch. What a router holds when its machine loses
//! power is lost to the tenant, so both shrink the closer a budget comes to its end.

use crate::ledger::{DrawRate, Grant, PrepaidLedger};
use crate::scarce_limiter::ScarceBudgetLimiter;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// Demand that the hand covers; a request that does not fit asks for what it lacks.
const HAND_TIME: Millis = Millis(1_200);
/// Demand that the reserve covers: the longest time out of touch that a router serves through.
const RESERVE_TIME: Millis = Millis(7_000);
/// The reserve may be drawn on this much faster than the demand of late, in thousandths.
const PACE_PERMILLE: u64 = 2_000;
/// Demand that may be drawn from the reserve at once.
const PACE_BURST: Millis = Millis(1_000);
/// A router is topped up when it holds less than this share of what it should, in thousandths.
const REFILL_PERMILLE: u64 = 850;
/// A router gives back when it holds more than this share of what it should, in thousandths.
const EXCESS_PERMILLE: u64 = 1_500;
/// Part of what nobody holds that one grant may take for future demand, in thousandths.
const GRANT_PERMILLE: u64 = 400;

/// Part of what is left of a budget, in thousandths, that the hands may hold together. What lies in one hand is slow to
/// come by for a request at another.
const HANDS_PERMILLE: u64 = 300;
/// A budget that lasts so long at the demand of late is held for the whole [`RESERVE_TIME`].
const FULL_RESERVE_FROM: Millis = Millis(14_000);

/// Part of every limit, in thousandths, that is handed out last, in small amounts and for cheap
/// requests only. No reserve is made of it, so no fault strands it: a tenant near the end of its
/// budget is still served something afterwards.
const LAST_PERMILLE: u64 = 5;
/// Part of every limit, in thousandths, that is handed out only after most of the fleet was lost ([`ScarceBudgetLimiter`]).
const GUARD_PERMILLE: u64 = 7;
/// Part of every limit, in thousandths, that is never handed out: a margin for what an engine may
/// count beyond what it was seen to hand out.
const WITHHELD_PERMILLE: u64 = 5;
/// A budget is scarce when only its last part is left and the routers hold less than this part of
/// the limit, in thousandths.
const SCARCE_HELD_PERMILLE: u64 = 2;
/// A budget that lasts longer is not worth a word.
const LONGEST_OUTLOOK: Millis = Millis(60_000);
/// Outlooks are told in steps of this, so that they change seldom.
const OUTLOOK_STEP: Millis = Millis(1_000);

/// What a router says about one tenant's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Given back of the hand in all.
    pub returned: Tokens,
    /// Given back of the reserve in all.
    pub released: Tokens,
    /// Spent and reserved.
    pub used: Tokens,
    /// The largest request that did not fit, of a scarce budget the smallest; zero if all did.
    pub wanted: Tokens,
    /// The largest request seen.
    pub largest_request: Tokens,
    /// Demand in tokens per second.
    pub rate: Tokens,
}

/// A request to give back what is held unused beyond `keep`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The router life.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// What it may keep.
    pub keep: Tokens,
}

/// A budget that some router wants more of than it holds, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetShortage {
    /// The tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: Tokens,
    /// What nobody holds and nobody has used.
    pub available: Tokens,
    /// What routers that report hold unused.
    pub held: Tokens,
    /// The largest request that did not fit.
    pub wanted: Tokens,
}

/// What is to be done in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// To be committed to the ledger.
    pub grants: Vec<Grant>,
    /// To be asked of routers.
    pub recalls: Vec<Recall>,
    /// Budgets that are going to run out.
    pub forecasts: BTreeMap<TenantName, BudgetForecast>,
    /// Budgets that some router wants more of, for logs.
    pub shortages: Vec<BudgetShortage>,
}

/// How long a budget is going to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetForecast {
    /// So long, if the demand stays as it was of late.
    ExhaustedIn(Millis),
    /// Only its last part is left: cheap requests alone should draw on it.
    Scarce,
}

/// One router's part in a tenant's budget.
struct Share<'a> {
    holder: &'a NodeId,
    report: AccountReport,
    /// What the hand has left.
    primary: Tokens,
    /// What has been drawn from the reserve; the hand has to make it good first.
    overdrawn: Tokens,
    /// Hand and reserve, less what has been used.
    held: Tokens,
    /// Given back since the ledger was told last. That is taken in before what the same round hands out.
    given_back: Tokens,
    draw_rate: DrawRate,
}

impl Share<'_> {
    /// What a request that waits there lacks.
    fn missing(&self) -> Tokens {
        self.report.wanted - self.held
    }

    fn lacks(&self) -> bool {
        !self.missing().is_zero()
    }

    /// Whether a request waits there, for more or for a part of the reserve.
    fn waits(&self) -> bool {
        self.report.wanted > self.primary
    }
}

/// What a router should hold.
struct Target {
    primary: Tokens,
    held: Tokens,
}

/// Plans a round over the routers that have reported, `elapsed` after the last one.
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
        let end = budget_end(ledger.available(tenant), limit);
        let wanted = shares.iter().map(|share| share.report.wanted).max().unwrap_or_default();
        if !wanted.is_zero() {
            let (tenant, available) = (tenant.clone(), ledger.available(tenant));
            plan.shortages.push(BudgetShortage { tenant, limit, available, held, wanted });
        }
        if end.pool.is_zero() && held < limit.scaled(SCARCE_HELD_PERMILLE, 1_000) {
            plan.forecasts.insert(tenant.clone(), BudgetForecast::Scarce);
            plan_scarce(tenant, limit, &end, &shares, scarce_limiter, &mut plan);
        } else {
            if let Some(lasts) = lasts(end.pool + held, &shares) {
                plan.forecasts.insert(tenant.clone(), BudgetForecast::ExhaustedIn(lasts));
            }
            plan_tenant(tenant, &end, &shares, &mut plan);
        }
    }
    scarce_limiter.keep(|tenant| plan.forecasts.get(tenant) == Some(&BudgetForecast::Scarce));
    plan
}

/// What nobody holds of a budget, by how it may be handed out.
struct BudgetEnd {
    /// By demand.
    pool: Tokens,
    /// In rations.
    last: Tokens,
    /// After a loss of most of the fleet.
    guard: Tokens,
    /// What the last parts lack: what is given back goes there first.
    lacking: Tokens,
}

/// Divides what nobody holds: the last parts of the limit first.
fn budget_end(unheld: Tokens, limit: Tokens) -> BudgetEnd {
    let kept = limit.scaled(WITHHELD_PERMILLE + GUARD_PERMILLE + LAST_PERMILLE, 1_000);
    let (pool, lacking) = (unheld - kept, kept - unheld);
    let unheld = unheld - limit.scaled(WITHHELD_PERMILLE, 1_000);
    let guard = unheld.min(limit.scaled(GUARD_PERMILLE, 1_000));
    BudgetEnd { pool, last: unheld - guard, guard, lacking }
}

/// How long `left` covers the demand of late; `None` if that is long enough for nobody to care.
fn lasts(left: Tokens, shares: &[Share<'_>]) -> Option<Millis> {
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let millis = left.scaled(1_000, rate.0.max(1)).0;
    let step = OUTLOOK_STEP.0;
    (millis < LONGEST_OUTLOOK.0).then_some(Millis(millis / step * step))
}

/// Hands out the end of a budget, a little at a time.
fn plan_scarce(
    tenant: &TenantName,
    limit: Tokens,
    end: &BudgetEnd,
    shares: &[Share<'_>],
    scarce_limiter: &mut ScarceBudgetLimiter,
    plan: &mut Plan,
) {
    let guard = if scarce_limiter.is_guard_open() { end.guard } else { Tokens::ZERO };
    let least = shares.iter().filter(|share| share.lacks()).map(Share::missing).min();
    let scarce_allowance =
        scarce_limiter.allowed(tenant, limit, end.last.is_zero(), least.unwrap_or_default());
    // What is moved from one router to another was rationed when it was handed out.
    let given_back: Tokens = shares.iter().map(|share| share.given_back).sum();
    let allowed = (end.last + guard).min(scarce_allowance) + given_back;
    let granted = hand_out_scarce(tenant, allowed, shares, plan);
    scarce_limiter.take(tenant, granted - given_back);
}

/// Hands out to requests that wait alone: what lies in a hand for the next one lies there while the request comes to
/// another router. The request that lacks least comes first, and gets what it lacks or nothing. Returns how much was
/// handed out.
fn hand_out_scarce(
    tenant: &TenantName,
    allowed: Tokens,
    shares: &[Share<'_>],
    plan: &mut Plan,
) -> Tokens {
    let mut left = allowed;
    let mut needy: Vec<&Share<'_>> = shares.iter().filter(|share| share.waits()).collect();
    needy.sort_by_key(|share| share.missing());
    let nothing_ahead = Target { primary: Tokens::ZERO, held: Tokens::ZERO };
    for (place, share) in needy.iter().enumerate() {
        if share.missing() > left {
            let covered = &needy[..place];
            recall_scattered(tenant, share, share.missing() - left, shares, covered, plan);
            break;
        }
        if let Some(grant) = grant(tenant, share, &nothing_ahead, left) {
            left = left - grant.amount;
            plan.grants.push(grant);
        }
    }
    allowed - left
}

/// Calls back for one request what lies with routers that can serve none with it, if that is enough. Those that are
/// `covered` in this round can.
fn recall_scattered(
    tenant: &TenantName,
    needy: &Share<'_>,
    missing: Tokens,
    shares: &[Share<'_>],
    covered: &[&Share<'_>],
    plan: &mut Plan,
) {
    let is_covered =
        |share: &Share<'_>| covered.iter().any(|covered| covered.holder == share.holder);
    let is_idle = |share: &&Share<'_>| {
        share.holder != needy.holder
            && !is_covered(share)
            && (share.report.wanted.is_zero() || share.lacks())
    };
    let mut idle: Vec<&Share<'_>> = shares.iter().filter(is_idle).collect();
    let enough = idle.iter().map(|share| share.held).sum::<Tokens>() >= missing;
    if enough {
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
    let gone = report.returned.max(allotment.returned) + report.used;
    Share {
        holder,
        report,
        primary: allotment.usable_primary() - gone,
        overdrawn: gone - allotment.usable_primary(),
        held: allotment.allotted - released - gone,
        given_back: (released - allotment.released) + (report.returned - allotment.returned),
        draw_rate: allotment.draw_rate,
    }
}

fn plan_tenant(tenant: &TenantName, end: &BudgetEnd, shares: &[Share<'_>], plan: &mut Plan) {
    let total: Tokens = end.pool + shares.iter().map(|share| share.held).sum();
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let mut left = end.pool;
    // What requests wait for comes before what is held ahead of demand.
    let (waiting, others): (Vec<_>, Vec<_>) = shares.iter().partition(|share| share.lacks());
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
        recall_missing(tenant, missing + end.lacking, shares, plan);
    }
}

/// Calls back what routers hold far beyond their targets.
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

/// Calls back what a request elsewhere needs and nobody else can give, from whoever holds most.
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
        let given = share.held.min(missing);
        plan.recalls.push(recall(tenant, share, share.held - given));
        missing = missing - given;
    }
}

fn recall(tenant: &TenantName, share: &Share<'_>, keep: Tokens) -> Recall {
    Recall { holder: share.holder.clone(), tenant: tenant.clone(), keep }
}

/// What a router lacks, as far as there is some left.
fn grant(tenant: &TenantName, share: &Share<'_>, target: &Target, left: Tokens) -> Option<Grant> {
    let urgent = share.report.wanted - share.held;
    let lacks_much = share.held < target.held.scaled(REFILL_PERMILLE, 1_000);
    let wish = if lacks_much { target.held - share.held } else { Tokens::ZERO };
    let amount = wish.min(left.scaled(GRANT_PERMILLE, 1_000)).max(urgent).min(left);
    let held = share.held + amount;
    let hand_wish = target.primary.max(share.report.wanted).min(held);
    let hand_lacks = share.primary < target.primary.scaled(REFILL_PERMILLE, 1_000)
        || share.primary < share.report.wanted;
    let lacking = hand_wish - share.primary + share.overdrawn;
    let to_primary = if hand_lacks { lacking } else { Tokens::ZERO };
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
        burst: rate.scaled(PACE_BURST.0, 1_000),
        per_second: rate.scaled(PACE_PERMILLE, 1_000),
    }
}

/// Some time of its own demand, but no more than the router's fair part of all that is left.
fn target(share: &Share<'_>, total: Tokens, rate: Tokens) -> Target {
    let own = share.report.rate;
    let fair = total.scaled(HANDS_PERMILLE, 1_000).scaled(own.0, rate.0.max(1));
    let primary = own.scaled(HAND_TIME.0, 1_000).min(fair);
    Target { primary, held: primary + reserve(own, total, rate) }
}

/// What the reserve of a router with the demand `own` should hold of a budget that has `total` left. What routers hold
/// when all machines lose power is lost to the tenant. A budget that lasts loses nothing by that; one that runs out
/// does, and what a cut leaves unspent of it is spent after the cut. So reserves shrink faster than what is left.
fn reserve(own: Tokens, total: Tokens, rate: Tokens) -> Tokens {
    let lasting = rate.scaled(FULL_RESERVE_FROM.0, 1_000).max(Tokens(1));
    let left = total.min(lasting);
    let full = own.scaled(RESERVE_TIME.0, 1_000);
    full.scaled(left.0, lasting.0).scaled(left.0, lasting.0)
}
