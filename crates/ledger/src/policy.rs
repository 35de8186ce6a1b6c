//! How rights are split, refilled and levelled: the one place for these rules. Their knobs are
//! the fields of the table's policy row.

use stackpost_table::PolicyRow;
use stackpost_types::{Millis, Tokens};

/// What an account asks another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// Needed for requests that are waiting now.
    pub need: Tokens,
    /// Welcome, to save further messages.
    pub want: Tokens,
}

/// What to ask for when requests worth `need` wait and about `per_second` tokens a second are
/// spent here.
pub fn ask(policy: &PolicyRow, need: Tokens, per_second: Tokens) -> TransferRequest {
    let chunk = Tokens(per_second.0.saturating_mul(policy.chunk_seconds.into()));
    TransferRequest { need, want: need.max(chunk) }
}

/// How much of `available` to give to one that asks. The needed part is given if it is there at
/// all; the welcome part only up to half of what is left, so that amounts shrink as a budget runs
/// low and the last rights are not carried back and forth.
pub fn transfer_amount(available: Tokens, ask: TransferRequest) -> Tokens {
    let generous = ask.want.min(available.scaled(1, 2));
    ask.need.max(generous).min(available)
}

/// The state of one zone as far as levelling is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// Rights that the zone's accounts have available.
    pub available: Tokens,
    /// Tokens a second that the zone spends or would like to.
    pub demand: Tokens,
    /// The zone's weight in the table.
    pub weight: u64,
}

/// Part of a zone's target below which nothing is moved.
const NEGLIGIBLE_DIVISOR: u64 = 20;

/// How much `own` should push to `other`, out of all `zones` (both included). Each zone's target
/// is a floor by weight plus the rest by demand. Only a zone above its target gives, and only
/// half of the smaller of surplus and deficit, so that two zones acting on old news don't swap
/// rights for ever. Moves below a twentieth of the target are left alone.
pub fn rebalance_amount(
    policy: &PolicyRow,
    zones: &[ZoneShare],
    own: usize,
    other: usize,
) -> Tokens {
    let target = |zone: &ZoneShare| target_of(policy, zones, zone);
    let surplus = zones[own].available - target(&zones[own]);
    let deficit = target(&zones[other]) - zones[other].available;
    let amount = surplus.min(deficit).scaled(1, 2);
    let negligible = target(&zones[other]).scaled(1, NEGLIGIBLE_DIVISOR).max(Tokens(1));
    if amount <= negligible { Tokens::ZERO } else { amount }
}

fn target_of(policy: &PolicyRow, zones: &[ZoneShare], zone: &ZoneShare) -> Tokens {
    let total: Tokens = zones.iter().map(|share| share.available).sum();
    let weights: u64 = zones.iter().map(|share| share.weight).sum();
    let demand: Tokens = zones.iter().map(|share| share.demand).sum();
    let floor_permille = if demand.is_zero() { 1_000 } else { policy.floor_share_permille.into() };
    let floor_part = total.scaled(floor_permille, 1_000);
    let by_weight = floor_part.scaled(zone.weight, weights);
    let by_demand = (total - floor_part).scaled(zone.demand.0, demand.0);
    by_weight + by_demand
}

/// What the unmirrored account should hold beside `mirrored` available rights.
pub fn solo_target(policy: &PolicyRow, mirrored: Tokens) -> Tokens {
    mirrored.scaled(policy.solo_share_permille.into(), 1_000)
}

/// How much of a recalled amount an account gives back at once.
pub fn recall_share(available: Tokens, recall: Tokens, zones: u64) -> Tokens {
    let share = recall.scaled(1, zones.max(1)).max(Tokens(1)).min(recall);
    share.min(available)
}

/// Tokens a second, averaged over about two minutes: a tenant that happens to be idle in a zone for
/// some seconds must not lose the zone's share just before a cut.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandAverage {
    per_second: f64,
    gathered: u64,
}

/// Weight of the newest interval in the average, per second of its length.
const NEWEST_WEIGHT_PER_SECOND: f64 = 0.008;

impl DemandAverage {
    /// Notes a request that may cost `amount`.
    pub fn record(&mut self, amount: Tokens) {
        self.gathered = self.gathered.saturating_add(amount.0);
    }

    /// Closes an interval.
    pub fn finish_interval(&mut self, interval: Millis) {
        let seconds = interval.0.max(1) as f64 / 1_000.0;
        let newest = self.gathered as f64 / seconds;
        let weight = (NEWEST_WEIGHT_PER_SECOND * seconds).min(1.0);
        self.per_second += (newest - self.per_second) * weight;
        self.gathered = 0;
    }

    /// The average.
    pub fn per_second(&self) -> Tokens {
        Tokens(self.per_second as u64)
    }
}
