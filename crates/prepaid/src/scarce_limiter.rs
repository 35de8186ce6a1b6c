//! How much of the ends of budgets is handed out when.
//!
//! The last part of a budget is handed out a little at a time. A smaller one behind it, the guard, is handed out only
//! for a while after most of the fleet was lost: such a loss takes what the routers held, so a tenant near the end of
//! its budget would be left with nothing just then. Without the guard, days on which all budgets were at their end
//! served 22 to 25 in 100 of the requests after a loss of power of all machines, the plain ones.

use stackpost_types::{MachineName, Millis, TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

/// How much of the last part is handed out a second, in millionths of the limit: it should still
/// serve something after a fault, however long before that the budget became scarce.
const RATION_PER_MILLION: u64 = 1_100;
/// Longest time for which a ration is saved up, unless a request that waits costs more.
const RATION_SAVED: Millis = Millis(2_000);
/// How much of the guard is handed out a second, in millionths of the limit: it lasts for [`GUARD_OPEN_FOR`].
const GUARD_RATION_PER_MILLION: u64 = 350;
/// How long the guard is open after a loss: a fleet is back within seconds, and callers who were refused meanwhile have
/// come again by then.
const GUARD_OPEN_FOR: Millis = Millis(20_000);
/// Routers that are lost within so long are taken for lost together: machines are back within some seconds of each other.
const LOST_TOGETHER: Millis = Millis(3_000);

/// What may be handed out of a scarce budget `elapsed` after something was handed out last.
pub fn scarce_allowance(limit: Tokens, elapsed: Millis) -> Tokens {
    at_rate(limit, RATION_PER_MILLION, elapsed.min(RATION_SAVED))
}

fn at_rate(limit: Tokens, per_million: u64, time: Millis) -> Tokens {
    limit.scaled(per_million * time.0, 1_000_000 * 1_000)
}

/// The leader's rations of scarce budgets. They begin anew with each leader.
#[derive(Clone, Debug, Default)]
pub struct ScarceBudgetLimiter {
    /// What each tenant may have at once.
    saved: BTreeMap<TenantName, Tokens>,
    /// Time since the last round.
    elapsed: Millis,
    /// For how long the guard is still open.
    open_for: Millis,
    /// Machines whose router ended unplanned, with when that was found.
    lost: BTreeMap<MachineName, Timestamp>,
}

impl ScarceBudgetLimiter {
    /// A round begins, `elapsed` after the last one.
    pub fn begin_round(&mut self, elapsed: Millis) {
        self.elapsed = elapsed;
        self.open_for = Millis(self.open_for.0.saturating_sub(elapsed.0));
    }

    /// A router has ended unplanned on a machine.
    pub fn on_router_lost(&mut self, now: Timestamp, machine: MachineName) {
        self.lost.insert(machine, now);
    }

    /// Opens the guard if half of the fleet's routers, of which `routers` are there, or more were lost together. Returns
    /// how many then.
    pub fn open_guard_after_loss(&mut self, now: Timestamp, routers: usize) -> Option<usize> {
        self.lost.retain(|_, at| now.since(*at) < LOST_TOGETHER);
        let lost = self.lost.len();
        if lost == 0 || 2 * lost < routers {
            return None;
        }
        self.lost.clear();
        self.open_for = GUARD_OPEN_FOR;
        Some(lost)
    }

    /// Whether the guard may be handed out.
    pub fn is_guard_open(&self) -> bool {
        self.open_for > Millis(0)
    }

    /// What may be handed out of a scarce budget in this round; `only_guard` if nothing but the guard is left. A request
    /// lacks `least` at the least: of a small budget its part is saved up for longer.
    pub fn allowed(
        &mut self,
        tenant: &TenantName,
        limit: Tokens,
        only_guard: bool,
        least: Tokens,
    ) -> Tokens {
        let per_million = if only_guard { GUARD_RATION_PER_MILLION } else { RATION_PER_MILLION };
        let most = scarce_allowance(limit, RATION_SAVED).max(least);
        let saved = self.saved.entry(tenant.clone()).or_default();
        *saved = (*saved + at_rate(limit, per_million, self.elapsed)).min(most);
        *saved
    }

    /// Forgets budgets that are not scarce any more.
    pub fn keep(&mut self, is_scarce: impl Fn(&TenantName) -> bool) {
        self.saved.retain(|tenant, _| is_scarce(tenant));
    }

    /// Something has been handed out of a scarce budget.
    pub fn take(&mut self, tenant: &TenantName, amount: Tokens) {
        if let Some(saved) = self.saved.get_mut(tenant) {
            *saved = *saved - amount;
        }
    }
}
