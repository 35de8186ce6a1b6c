//! Rules for splitting, refilling and rebalancing rights. Their parameters are the fields of the
//! table's policy row.

use stackpost_table::PolicyRow;
use stackpost_types::{Millis, Tokens};

/// Amounts that an account requests from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// Amount that waiting requests need now.
    pub need: Tokens,
    /// Total amount wanted, at least `need`; more than needed now saves further messages.
    pub want: Tokens,
}

/// The transfer to request when waiting requests need `need` and about `per_second` tokens are
/// spent per second.
pub fn transfer_request(policy: &PolicyRow, need: Tokens, per_second: Tokens) -> TransferRequest {
    let chunk = Tokens(per_second.0.saturating_mul(policy.chunk_seconds.into()));
    TransferRequest { need, want: need.max(chunk) }
}

/// How much of `available` to transfer for a request. The needed amount is given as far as it is
/// available; the wanted amount only up to half of `available`, so that amounts shrink as a budget
/// runs low and the last rights are not moved back and forth.
pub fn transfer_amount(available: Tokens, transfer_request: TransferRequest) -> Tokens {
    let limited_want = transfer_request.want.min(available.scaled(1, 2));
    transfer_request.need.max(limited_want).min(available)
}

/// The state of one zone as needed for rebalancing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// Rights available in the zone's accounts.
    pub available: Tokens,
    /// Tokens per second requested in the zone.
    pub demand: Tokens,
    /// The zone's weight in the table.
    pub weight: u64,
}

/// A move is skipped if it is at most the receiving zone's target divided by this.
const NEGLIGIBLE_DIVISOR: u64 = 20;

/// How much zone `own` should send to zone `other`, both indices into `zones`. Each zone's target
/// is a floor by weight plus the rest by demand. Only a zone above its target sends, and only half
/// of the smaller of surplus and deficit, so that two zones that act on outdated reports don't swap
/// rights forever. Moves of at most a twentieth of the target are skipped.
pub fn rebalance_amount(
    policy: &PolicyRow,
    zones: &[ZoneShare],
    own: usize,
    other: usize,
) -> Tokens {
    let target = |zone: &ZoneShare| zone_target(policy, zones, zone);
    let surplus = zones[own].available - target(&zones[own]);
    let deficit = target(&zones[other]) - zones[other].available;
    let amount = surplus.min(deficit).scaled(1, 2);
    let negligible = target(&zones[other]).scaled(1, NEGLIGIBLE_DIVISOR).max(Tokens(1));
    if amount <= negligible { Tokens::ZERO } else { amount }
}

fn zone_target(policy: &PolicyRow, zones: &[ZoneShare], zone: &ZoneShare) -> Tokens {
    let total: Tokens = zones.iter().map(|share| share.available).sum();
    let weights: u64 = zones.iter().map(|share| share.weight).sum();
    let demand: Tokens = zones.iter().map(|share| share.demand).sum();
    let floor_permille = if demand.is_zero() { 1_000 } else { policy.floor_share_permille.into() };
    let floor_part = total.scaled(floor_permille, 1_000);
    let by_weight = floor_part.scaled(zone.weight, weights);
    let by_demand = (total - floor_part).scaled(zone.demand.0, demand.0);
    by_weight + by_demand
}

/// Target of the unmirrored account when `available` rights are available in it and in the mirrored
/// account together.
pub fn solo_target(policy: &PolicyRow, available: Tokens) -> Tokens {
    available.scaled(policy.solo_share_permille.into(), 1_000)
}

/// How much of a recalled amount an account returns at once.
pub fn recall_share(available: Tokens, recall: Tokens, zones: u64) -> Tokens {
    let share = recall.scaled(1, zones.max(1)).max(Tokens(1)).min(recall);
    share.min(available)
}

/// Demand in tokens per second, averaged over about two minutes: a tenant that is idle in a zone
/// for a few seconds must not lose the zone's share just before a partition.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandAverage {
    per_second: f64,
    accumulated: u64,
}

/// Weight of the newest interval in the average, per second of the interval.
const NEWEST_WEIGHT_PER_SECOND: f64 = 0.008;

impl DemandAverage {
    /// Records a request that may cost `amount`.
    pub fn record(&mut self, amount: Tokens) {
        self.accumulated = self.accumulated.saturating_add(amount.0);
    }

    /// Closes an interval and updates the average.
    pub fn finish_interval(&mut self, interval: Millis) {
        let seconds = interval.0.max(1) as f64 / 1_000.0;
        let newest = self.accumulated as f64 / seconds;
        let weight = (NEWEST_WEIGHT_PER_SECOND * seconds).min(1.0);
        self.per_second += (newest - self.per_second) * weight;
        self.accumulated = 0;
    }

    /// The average demand.
    pub fn per_second(&self) -> Tokens {
        Tokens(self.per_second as u64)
    }
}
