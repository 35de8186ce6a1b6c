//! How much each router should hold.
//!
//! The hand covers the time until the leader can hand out more; what a router holds beyond that is
//! its reserve, which covers the time out of touch. What a router holds when its machine loses
//! power is lost to the tenant, so both shrink the closer a budget comes to its end.

use crate::ledger::{Grant, Pace, PrepaidLedger};
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

/// Part of what is left of a budget, in thousandths, that routers may hold together beyond what
/// requests wait for: what they hold when all machines lose power is lost to the tenant. Less serves
/// less in a cut, more strands more (measured: docs/DECISIONS.md).
const HELD_PERMILLE: u64 = 800;

/// Part of every limit, in thousandths, that is handed out last, in small amounts and for cheap
/// requests only. No reserve is made of it, so no fault strands it: a tenant near the end of its
/// budget is still served something afterwards.
const LAST_PERMILLE: u64 = 5;
/// How much of the last part is handed out a second, in millionths of the limit: it should still
/// serve something after a fault, however long before that the budget became scarce.
const RATION_PER_MILLION: u64 = 1_100;
/// Longest time for which a ration is saved up.
const RATION_SAVED: Millis = Millis(2_000);
/// Part of every limit, in thousandths, that is never handed out: a margin for what an engine may
/// count beyond what it was seen to hand out.
const WITHHELD_PERMILLE: u64 = 5;
/// A budget is scarce when only its last part is left and the routers hold less than this part of
/// the limit, in thousandths.
const SCARCE_HELD_PERMILLE: u64 = 15;
/// A budget that lasts longer is not worth a word.
const LONGEST_OUTLOOK: Millis = Millis(60_000);
/// Outlooks are told in steps of this, so that they change seldom.
const OUTLOOK_STEP: Millis = Millis(1_000);
/// What a router holds of a scarce budget, in thousandths of the limit.
const SCARCE_HAND_PERMILLE: u64 = 2;

/// What a router says about one tenant's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Given back of the hand in all.
    pub returned: Tokens,
    /// Given back of the reserve in all.
    pub released: Tokens,
    /// Spent and reserved.
    pub used: Tokens,
    /// The largest request that did not fit; zero if all did.
    pub wanted: Tokens,
    /// The largest request seen.
    pub largest: Tokens,
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
pub struct ShortBudget {
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
    pub outlooks: BTreeMap<TenantName, Outlook>,
    /// Budgets that some router wants more of, for logs.
    pub short: Vec<ShortBudget>,
}

/// How long a budget is going to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outlook {
    /// So long, if the demand stays as it was of late.
    Lasts(Millis),
    /// Only its last part is left: cheap requests alone should draw on it.
    Scarce,
}

/// One router's part in a tenant's budget.
struct Share<'a> {
    holder: &'a NodeId,
    report: AccountReport,
    /// What the hand has left.
    hand: Tokens,
    /// What has been drawn from the reserve; the hand has to make it good first.
    overdrawn: Tokens,
    /// Hand and reserve, less what has been used.
    held: Tokens,
    pace: Pace,
}

/// What a router should hold.
struct Target {
    hand: Tokens,
    held: Tokens,
}

/// What may be handed out of a scarce budget `elapsed` after something was handed out last.
pub fn ration(limit: Tokens, elapsed: Millis) -> Tokens {
    let millis = elapsed.0.min(RATION_SAVED.0);
    limit.scaled(RATION_PER_MILLION * millis, 1_000_000 * 1_000)
}

/// Plans a round over the routers that have reported, `elapsed` after the last one.
pub fn plan(
    ledger: &PrepaidLedger,
    reports: &BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>>,
    elapsed: Millis,
) -> Plan {
    let mut plan = Plan::default();
    for (tenant, limit) in ledger.tenants() {
        let available = ledger.available(tenant) - limit.scaled(WITHHELD_PERMILLE, 1_000);
        let pool = available - limit.scaled(LAST_PERMILLE, 1_000);
        let shares: Vec<Share<'_>> = reports
            .iter()
            .filter_map(|(holder, accounts)| {
                Some(share(ledger, holder, tenant, *accounts.get(tenant)?))
            })
            .collect();
        let held: Tokens = shares.iter().map(|share| share.held).sum();
        let wanted = shares.iter().map(|share| share.report.wanted).max().unwrap_or_default();
        if !wanted.is_zero() {
            let (tenant, available) = (tenant.clone(), ledger.available(tenant));
            plan.short.push(ShortBudget { tenant, limit, available, held, wanted });
        }
        if pool.is_zero() && held < limit.scaled(SCARCE_HELD_PERMILLE, 1_000) {
            plan.outlooks.insert(tenant.clone(), Outlook::Scarce);
            let allowed = available.min(ration(limit, elapsed));
            plan_scarce(tenant, limit, allowed, &shares, &mut plan);
        } else {
            if let Some(lasts) = lasts(pool + held, &shares) {
                plan.outlooks.insert(tenant.clone(), Outlook::Lasts(lasts));
            }
            plan_tenant(tenant, pool, &shares, &mut plan);
        }
    }
    plan
}

/// How long `left` covers the demand of late; `None` if that is long enough for nobody to care.
fn lasts(left: Tokens, shares: &[Share<'_>]) -> Option<Millis> {
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let millis = left.scaled(1_000, rate.0.max(1)).0;
    let step = OUTLOOK_STEP.0;
    (millis < LONGEST_OUTLOOK.0).then_some(Millis(millis / step * step))
}

/// Hands out the last part of a budget, a little at a time.
fn plan_scarce(
    tenant: &TenantName,
    limit: Tokens,
    allowed: Tokens,
    shares: &[Share<'_>],
    plan: &mut Plan,
) {
    let mut left = allowed;
    for share in shares {
        let hand = limit.scaled(SCARCE_HAND_PERMILLE, 1_000).min(left);
        let target = Target { hand, held: hand };
        if let Some(grant) = grant(tenant, share, &target, left) {
            left = left - grant.amount;
            plan.grants.push(grant);
        }
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
        hand: allotment.usable_hand() - gone,
        overdrawn: gone - allotment.usable_hand(),
        held: allotment.allotted - released - gone,
        pace: allotment.pace,
    }
}

fn plan_tenant(tenant: &TenantName, pool: Tokens, shares: &[Share<'_>], plan: &mut Plan) {
    let total: Tokens = pool + shares.iter().map(|share| share.held).sum();
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let mut left = pool;
    for share in shares {
        let target = target(share, total, rate);
        let grant = grant(tenant, share, &target, left);
        if let Some(grant) = grant {
            left = left - grant.amount;
            plan.grants.push(grant);
        }
    }
    let missing = shares.iter().map(|share| share.report.wanted - share.held - left).max();
    recall_excess(tenant, total, rate, shares, plan);
    recall_missing(tenant, missing.unwrap_or_default(), shares, plan);
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
        if share.held > target.held.scaled(EXCESS_PERMILLE, 1_000) + share.report.largest {
            plan.recalls.push(recall(tenant, share, target.held));
        }
    }
}

/// Calls back what a request elsewhere needs and nobody else can give, from whoever holds most.
fn recall_missing(tenant: &TenantName, missing: Tokens, shares: &[Share<'_>], plan: &mut Plan) {
    let mut missing = missing;
    let mut idle: Vec<&Share<'_>> =
        shares.iter().filter(|share| share.report.wanted.is_zero()).collect();
    idle.sort_by_key(|share| std::cmp::Reverse(share.held));
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
    let hand_wish = target.hand.max(share.report.wanted).min(held);
    let hand_lacks =
        share.hand < target.hand.scaled(REFILL_PERMILLE, 1_000) || share.hand < share.report.wanted;
    let lacking = hand_wish - share.hand + share.overdrawn;
    let to_hand = if hand_lacks { lacking } else { Tokens::ZERO };
    let pace = pace(share);
    let faster = pace.per_second > share.pace.per_second.scaled(1_200, 1_000);
    if amount.is_zero() && to_hand.is_zero() && !faster {
        return None;
    }
    let holder = share.holder.clone();
    Some(Grant { holder, tenant: tenant.clone(), amount, to_hand, pace })
}

fn pace(share: &Share<'_>) -> Pace {
    let rate = share.report.rate;
    Pace { burst: rate.scaled(PACE_BURST.0, 1_000), per_second: rate.scaled(PACE_PERMILLE, 1_000) }
}

/// Some time of its own demand, but no more than the router's fair part of all that is left.
fn target(share: &Share<'_>, total: Tokens, rate: Tokens) -> Target {
    let own = share.report.rate;
    let fair = total.scaled(HELD_PERMILLE, 1_000).scaled(own.0, rate.0.max(1));
    let hand = own.scaled(HAND_TIME.0, 1_000).min(fair);
    let held = (hand + own.scaled(RESERVE_TIME.0, 1_000)).min(fair);
    Target { hand, held }
}
