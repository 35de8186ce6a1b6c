//! Limits how fast the last part of each budget is granted.
//!
//! The last part of a budget is granted in small amounts over time. A smaller part behind it, the
//! guard, is granted only for a while after most of the fleet was lost: such a loss takes what the
//! routers held, so a tenant near the end of its budget would be left with nothing at that time.
//! Without the guard, when all budgets were nearly exhausted, only 22 to 25 in 100 of the requests
//! were served after a loss of power of all machines: those to plain services.

use stackpost_types::{MachineName, Millis, TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

/// Part of the limit granted per second from the last part, in millionths. Low enough that
/// something is left after a fault, however long before it the budget became scarce.
const ALLOWANCE_PER_MILLION: u64 = 1_100;
/// Longest time over which the allowance accrues, unless a waiting request needs more.
const ALLOWANCE_CAP_TIME: Millis = Millis(2_000);
/// Part of the limit granted per second from the guard, in millionths. At this rate the guard lasts
/// for [`GUARD_OPEN_TIME`].
const GUARD_ALLOWANCE_PER_MILLION: u64 = 350;
/// How long the guard is open after a loss. The fleet recovers within seconds, and callers whose
/// requests were refused in between have retried by then.
const GUARD_OPEN_TIME: Millis = Millis(20_000);
/// Routers lost within this time of each other count as one joint loss: machines come back within a
/// few seconds of each other.
const JOINT_LOSS_WINDOW: Millis = Millis(3_000);

/// What may be granted from a scarce budget `elapsed` after the previous grant.
pub fn scarce_allowance(limit: Tokens, elapsed: Millis) -> Tokens {
    accrued_over(limit, ALLOWANCE_PER_MILLION, elapsed.min(ALLOWANCE_CAP_TIME))
}

fn accrued_over(limit: Tokens, per_million: u64, time: Millis) -> Tokens {
    limit.scaled(per_million * time.0, 1_000_000 * 1_000)
}

/// The leader's rate limiter for grants from scarce budgets. A new leader starts with an empty one.
#[derive(Clone, Debug, Default)]
pub struct ScarceBudgetLimiter {
    /// Allowance that each tenant has accrued.
    accrued: BTreeMap<TenantName, Tokens>,
    /// Time between the previous round and this one.
    elapsed: Millis,
    /// Remaining time for which the guard is open.
    guard_open_for: Millis,
    /// Machines whose router ended unexpectedly, with the time of detection.
    lost_routers: BTreeMap<MachineName, Timestamp>,
}

impl ScarceBudgetLimiter {
    /// Begins a round, `elapsed` after the previous one.
    pub fn begin_round(&mut self, elapsed: Millis) {
        self.elapsed = elapsed;
        self.guard_open_for = Millis(self.guard_open_for.0.saturating_sub(elapsed.0));
    }

    /// Records that the router on a machine ended unexpectedly.
    pub fn on_router_lost(&mut self, now: Timestamp, machine: MachineName) {
        self.lost_routers.insert(machine, now);
    }

    /// Opens the guard if at least half of the fleet's `routers` routers were lost together;
    /// returns the number of lost routers in that case.
    pub fn open_guard_after_loss(&mut self, now: Timestamp, routers: usize) -> Option<usize> {
        self.lost_routers.retain(|_, at| now.since(*at) < JOINT_LOSS_WINDOW);
        let lost_routers = self.lost_routers.len();
        if lost_routers == 0 || 2 * lost_routers < routers {
            return None;
        }
        self.lost_routers.clear();
        self.guard_open_for = GUARD_OPEN_TIME;
        Some(lost_routers)
    }

    /// Whether the guard may be granted.
    pub fn is_guard_open(&self) -> bool {
        self.guard_open_for > Millis(0)
    }

    /// What may be granted from a scarce budget in this round; `only_guard_left` if nothing but the
    /// guard is left. `min_amount` is the smallest amount that a waiting request lacks: for a small
    /// budget the allowance accrues over a longer time until it covers that amount.
    pub fn allowed(
        &mut self,
        tenant: &TenantName,
        limit: Tokens,
        only_guard_left: bool,
        min_amount: Tokens,
    ) -> Tokens {
        let per_million =
            if only_guard_left { GUARD_ALLOWANCE_PER_MILLION } else { ALLOWANCE_PER_MILLION };
        let cap = scarce_allowance(limit, ALLOWANCE_CAP_TIME).max(min_amount);
        let accrued = self.accrued.entry(tenant.clone()).or_default();
        *accrued = (*accrued + accrued_over(limit, per_million, self.elapsed)).min(cap);
        *accrued
    }

    /// Drops the allowances of budgets that are no longer scarce.
    pub fn retain(&mut self, is_scarce: impl Fn(&TenantName) -> bool) {
        self.accrued.retain(|tenant, _| is_scarce(tenant));
    }

    /// Deducts a grant from a scarce budget's allowance.
    pub fn consume(&mut self, tenant: &TenantName, amount: Tokens) {
        if let Some(accrued) = self.accrued.get_mut(tenant) {
            *accrued = *accrued - amount;
        }
    }
}
