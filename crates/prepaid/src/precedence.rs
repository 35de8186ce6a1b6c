//! Which requests a budget that runs out is kept for.

use stackpost_types::{Millis, Tokens};

/// Priorities that are told apart; less urgent ones count as the last of them.
const PRIORITIES: usize = 10;
/// Weight of the past when another amount comes in, in thousandths.
const PAST_PERMILLE: u64 = 985;
/// Requests this many priorities apart are told apart. Between neighbours a budget makes no
/// difference: the less urgent are often the cheaper ones, and many of them would have to go for
/// one of the others.
const CLEARLY_MORE_URGENT: usize = 2;
/// Demand of clearly more urgent requests that a budget is kept for.
const KEPT_FOR_URGENT: Millis = Millis(15_000);

/// How a tenant's demand of late divides among priorities, in thousandths of tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandByPriority {
    demand: [u64; PRIORITIES],
}

impl DemandByPriority {
    /// Notes that `amount` was asked for.
    pub fn note(&mut self, priority: u32, amount: Tokens) {
        for demand in &mut self.demand {
            *demand = *demand * PAST_PERMILLE / 1_000;
        }
        self.demand[slot(priority)] += amount.0 * 1_000;
    }

    /// Whether a request of `priority` may draw on a budget that `lasts` so long at the demand of
    /// late. It may not if clearly more urgent requests need all of it before long.
    pub fn admits(&self, priority: u32, lasts: Millis) -> bool {
        let all: u64 = self.demand.iter().sum();
        let more_urgent = (slot(priority) + 1).saturating_sub(CLEARLY_MORE_URGENT);
        let urgent: u64 = self.demand[..more_urgent].iter().sum();
        let left = u128::from(lasts.0) * u128::from(all);
        left >= u128::from(KEPT_FOR_URGENT.0) * u128::from(urgent)
    }
}

fn slot(priority: u32) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}
