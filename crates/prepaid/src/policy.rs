//! How much each router should hold.
//!
//! A router that is cut off from the ledger can spend only what it holds, and what it holds when
//! it is killed is lost to the tenant. So a router is given some seconds of its own demand, and
//! less the closer a budget comes to its end.

use crate::ledger::PrepaidLedger;
use serde::{Deserialize, Serialize};
use stackpost_types::{NodeId, TenantName, Tokens};
use std::collections::BTreeMap;

/// Seconds of demand that a router holds while a budget is ample: the longest time out of touch
/// that it should serve through.
const TARGET_SECONDS: u64 = 14;
/// A router is topped up when it holds less than this share of its target.
const REFILL_PERMILLE: u64 = 800;
/// A router gives back when it holds more than this share of its target.
const EXCESS_PERMILLE: u64 = 1_600;
/// Part of what nobody holds that one round may hand out for future demand.
const ROUND_PERMILLE: u64 = 500;

/// What a router says about one tenant's budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Given back in all.
    pub returned: Tokens,
    /// Spent and reserved.
    pub used: Tokens,
    /// The largest request that did not fit; zero if all did.
    pub wanted: Tokens,
    /// The largest request seen.
    pub largest: Tokens,
    /// Demand in tokens per second.
    pub rate: Tokens,
}

/// An amount to be handed to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The router life.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// How much more.
    pub amount: Tokens,
}

/// A request to give back what exceeds `keep`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The router life.
    pub holder: NodeId,
    /// The tenant.
    pub tenant: TenantName,
    /// What it may keep spendable.
    pub keep: Tokens,
}

/// What is to be done in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// To be committed to the ledger.
    pub grants: Vec<Grant>,
    /// To be asked of routers.
    pub recalls: Vec<Recall>,
}

/// One router's part in a tenant's budget.
struct Share<'a> {
    holder: &'a NodeId,
    report: AccountReport,
    held: Tokens,
}

/// Plans a round over the routers that have reported. `reserve_permille` of every limit is never
/// handed out.
pub fn plan(
    ledger: &PrepaidLedger,
    reports: &BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>>,
    reserve_permille: u64,
) -> Plan {
    let mut plan = Plan::default();
    for (tenant, limit) in ledger.tenants() {
        let pool = ledger.available(tenant) - limit.scaled(reserve_permille, 1_000);
        let shares: Vec<Share<'_>> = reports
            .iter()
            .filter_map(|(holder, accounts)| {
                let report = *accounts.get(tenant)?;
                let held = ledger.allotment(holder, tenant).allotted
                    - report.returned
                    - report.used;
                Some(Share { holder, report, held })
            })
            .collect();
        plan_tenant(tenant, pool, &shares, &mut plan);
    }
    plan
}

fn plan_tenant(tenant: &TenantName, pool: Tokens, shares: &[Share<'_>], plan: &mut Plan) {
    let total: Tokens = pool + shares.iter().map(|share| share.held).sum();
    let rate: Tokens = shares.iter().map(|share| share.report.rate).sum();
    let mut left = pool;
    for share in shares {
        let target = target(share, total, rate);
        let need = shortage(share, target);
        if !need.is_zero() {
            let urgent = share.report.wanted - share.held;
            let amount = need.min(urgent.max(left.scaled(ROUND_PERMILLE, 1_000))).min(left);
            if !amount.is_zero() && amount >= urgent {
                left = left - amount;
                let holder = share.holder.clone();
                plan.grants.push(Grant { holder, tenant: tenant.clone(), amount });
            }
        }
    }
    let starved = shares.iter().any(|share| share.report.wanted > share.held + left);
    for share in shares {
        let target = target(share, total, rate);
        let allowed = if starved { target } else { target.scaled(EXCESS_PERMILLE, 1_000) };
        if share.held > allowed + share.report.largest {
            let holder = share.holder.clone();
            let keep = target;
            plan.recalls.push(Recall { holder, tenant: tenant.clone(), keep });
        }
    }
}

/// Some seconds of demand, but no more than the router's fair part of all that is left.
fn target(share: &Share<'_>, total: Tokens, rate: Tokens) -> Tokens {
    let by_time = Tokens(share.report.rate.0.saturating_mul(TARGET_SECONDS));
    let fair = total.scaled(share.report.rate.0, rate.0.max(1));
    by_time.min(fair)
}

/// How much a router lacks; at least what its waiting request needs.
fn shortage(share: &Share<'_>, target: Tokens) -> Tokens {
    let urgent = share.report.wanted - share.held;
    if share.held < target.scaled(REFILL_PERMILLE, 1_000) {
        (target - share.held).max(urgent)
    } else {
        urgent
    }
}
