//! One router's share of the capacity of a service, in requests per second, as learned from the
//! outcomes of its own requests.
//!
//! The load that this handles: a demand above what the engines serve, whether they reject what
//! exceeds their queues or let everything wait.
//!
//! The estimate is the rate at which engines recently responded, less a part that grows with the
//! share of attempts that they rejected and of responses that were late, plus headroom to discover
//! more. At a constant load the headroom and the reduction cancel out at about one rejection in
//! 25 attempts: fewer leave slots unused, more cost urgent requests their attempts. The headroom is
//! proportional to this router's demand, so the shares of routers converge to the same part of
//! their demand without messages.

/// Time constant of the smoothed rates, in seconds: half of the weight is younger than a second.
const TIME_CONSTANT_S: f64 = 1.44;
/// Share of rejected or late attempts in an interval from which the interval counts more, so that a
/// loss of engines is noticed within a second.
const SHARP_LOSS_SHARE: f64 = 0.25;
/// Number of attempts in an interval from which the share of lost ones is significant.
const MIN_SIGNIFICANT_ATTEMPTS: u32 = 8;
/// Weight of an interval in which requests were not limited.
const UNLIMITED_WEIGHT: f64 = 0.5;
/// Weight of an interval with a sharp loss.
const SHARP_LOSS_WEIGHT: f64 = 0.5;
/// Part of the response rate that is deducted per share of rejected attempts. At one, a router
/// that began with a small share kept it during a run of 20 s.
const REJECTION_WEIGHT: f64 = 4.0;
/// Part of the response rate that is deducted per share of late responses. At a third, a queue that
/// makes all responses late drains while the engines keep working.
const LATENESS_WEIGHT: f64 = 0.33;
/// Share of late responses from which there is no headroom.
const MAX_LATE_SHARE: f64 = 0.2;
/// Headroom as a part of the demand. With six routers at 1.5 times the capacity, it leads to one
/// rejection in 25 attempts.
const DEMAND_HEADROOM: f64 = 0.12;
/// Largest headroom as a part of the response rate: above the largest reduction, so that a router
/// whose share is too small catches up.
const MAX_HEADROOM: f64 = 0.4;
/// Largest part of the response rate that is deducted: the rate itself falls with the capacity.
const MAX_REDUCTION: f64 = 0.15;
/// Additional headroom in requests per second, so that a router without any responses still tries.
const MIN_HEADROOM_RPS: f64 = 0.5;
/// Factor by which the capacity exceeds the recent permit rate, for services with stated rates.
const PERMIT_HEADROOM: f64 = 1.15;

/// What an attempt shows of the capacity of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacityOutcome {
    /// An engine responded.
    Responded,
    /// An engine responded late because of a long queue.
    Late,
    /// An engine rejected the request for lack of capacity.
    Rejected,
    /// The request got a permit of an engine that states its rate.
    Permitted,
}

/// Number of attempts, or their rate, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes<T> {
    responded: T,
    late: T,
    rejected: T,
    permitted: T,
}

/// The estimate for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityEstimate {
    /// Outcomes in this interval.
    counted: Outcomes<u32>,
    /// Smoothed outcomes per second.
    rates: Outcomes<f64>,
    /// Whether an interval has ended.
    has_rates: bool,
    capacity: f64,
}

impl CapacityEstimate {
    pub fn on_outcome(&mut self, outcome: CapacityOutcome) {
        let counted = match outcome {
            CapacityOutcome::Responded => &mut self.counted.responded,
            CapacityOutcome::Late => &mut self.counted.late,
            CapacityOutcome::Rejected => &mut self.counted.rejected,
            CapacityOutcome::Permitted => &mut self.counted.permitted,
        };
        *counted += 1;
    }

    /// Ends an interval of `seconds`. Returns its weight, which holds for the demand as well.
    /// `is_limited` is whether requests were limited to the capacity during the interval; if not,
    /// the rates follow the load quickly, so that they are right when a shortage begins.
    pub fn end_interval(&mut self, seconds: f64, is_limited: bool) -> f64 {
        let counted = std::mem::take(&mut self.counted);
        let weight = match is_limited {
            true => interval_weight(seconds, &counted),
            false if self.has_rates => UNLIMITED_WEIGHT,
            false => 1.0,
        };
        self.has_rates = true;
        let smooth = |rate: &mut f64, counted: u32| {
            *rate += weight * (f64::from(counted) / seconds - *rate);
        };
        smooth(&mut self.rates.responded, counted.responded);
        smooth(&mut self.rates.late, counted.late);
        smooth(&mut self.rates.rejected, counted.rejected);
        smooth(&mut self.rates.permitted, counted.permitted);
        weight
    }

    /// Updates the capacity of a service whose engines state no rate, for a demand in requests per
    /// second.
    pub fn update_learned(&mut self, demand: f64) {
        let (served, late) = (self.response_rate(), self.late_share());
        let by_rejections = (REJECTION_WEIGHT * self.rejected_share()).min(MAX_REDUCTION);
        let reduction = by_rejections + LATENESS_WEIGHT * late;
        let headroom = (DEMAND_HEADROOM * demand).min(MAX_HEADROOM * served);
        let headroom = headroom * (1.0 - late / MAX_LATE_SHARE).max(0.0) + MIN_HEADROOM_RPS;
        self.capacity = served * (1.0 - reduction) + headroom;
    }

    /// Updates the capacity of a service whose engines state rates, of which this router owns
    /// `owned` requests per second.
    pub fn update_stated(&mut self, owned: f64) {
        self.capacity = (self.rates.permitted * PERMIT_HEADROOM + MIN_HEADROOM_RPS).max(owned);
    }

    /// Requests per second that this router should send.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Responses per second, late ones included.
    pub fn response_rate(&self) -> f64 {
        self.rates.responded + self.rates.late
    }

    /// Share of attempts that engines rejected.
    pub fn rejected_share(&self) -> f64 {
        share(self.rates.rejected, self.response_rate() + self.rates.rejected)
    }

    /// Share of responses that were late.
    pub fn late_share(&self) -> f64 {
        share(self.rates.late, self.response_rate())
    }
}

fn interval_weight(seconds: f64, counted: &Outcomes<u32>) -> f64 {
    let weight = 1.0 - (-seconds / TIME_CONSTANT_S).exp();
    let lost = counted.rejected + counted.late;
    let attempts = counted.responded + lost;
    let is_sharp = attempts >= MIN_SIGNIFICANT_ATTEMPTS
        && share(f64::from(lost), f64::from(attempts)) >= SHARP_LOSS_SHARE;
    if is_sharp { weight.max(SHARP_LOSS_WEIGHT) } else { weight }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
