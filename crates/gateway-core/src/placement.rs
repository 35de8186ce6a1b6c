//! The cost of placing a generation on an engine.
//!
//! Three kinds of cost are estimated for each engine: to the request, which may start late or be
//! stalled by others; to the running streams, which are stalled while its prompt is prefilled; and
//! to all, by recomputing a prefix that another engine has cached. In addition, the time of prefill
//! itself has a cost, so that idle engines are preferred. All costs are counted in late requests,
//! weighted by request. For the weights see docs/DECISIONS.md. With the engine model, the engine's
//! memory, its decode steps and its slow periods add to the cost.

use crate::engine_load::{GenerationWork, PlacementEstimate};
use stackpost_types::Millis;

/// Parts of the objective for the first event from which a request may be late, and from which it
/// will be.
const LATENESS_RAMP: (f64, f64) = (0.8, 1.0);
/// Parts of the longest permitted pause that prefill may take before streams may be late, and from
/// which they will be.
const PAUSE_RAMP: (f64, f64) = (1.0, 1.3);
/// Time of a stream, in milliseconds, for which it counts as exposed to long prefills. Less than
/// most streams run: the longer this time, the more streams leave the engines that have their
/// prefixes cached.
const STALL_EXPOSURE_MS: f64 = 400.0;
/// Cost of recomputing 1,000 tokens that another engine has cached: to the request and to the other
/// prompts waiting there. At a fifth of this, twice as many tokens are recomputed and fewer
/// requests are in time.
const RECOMPUTE_COST: f64 = 1.5;
/// Cost of each second of prefill, so that the idle one of two engines is chosen where nothing is
/// late. At a fifth of this, some engines get twice the mean load, and a crash of one costs more.
const PREFILL_COST_PER_SECOND: f64 = 0.8;
/// Cost difference that is ignored, because it is below the accuracy of the estimates.
const COST_STEP: f64 = 0.04;

/// Parts of the longest permitted pause that a decode step may take before streams may be late, and
/// from which they will be. Prefill between two steps takes the rest.
const DECODE_RAMP: (f64, f64) = (0.6, 1.0);
/// Parts of an engine's memory in use from which a request costs something, and from which it costs
/// [`MEMORY_COST`]; beyond, it costs more in proportion. A steep ramp makes all routers leave an
/// engine at once when its report is old: from 0.92 to 1, with reports 1.5 s late, 0.36 of the
/// streams were in time instead of 0.66.
const MEMORY_RAMP: (f64, f64) = (0.5, 1.5);
/// Cost of memory at the end of the ramp, in weighted late requests: the request's own lateness and
/// that of one other.
const MEMORY_COST: f64 = 2.0;
/// Cost of a request at an engine for each multiple by which it is slower than lastingly: enough to
/// leave an engine that has a prefix of some thousand tokens cached.
const SLOWNESS_COST: f64 = 1.0;

/// What the engine model expects of an engine, in addition to [`PlacementEstimate`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelEstimate {
    /// Memory in use with the request, as a share of the engine's memory, if that is known.
    pub memory_share: Option<f64>,
    /// Pause between events without the request, in milliseconds, if known.
    pub pause_before_ms: Option<f64>,
    /// The same with it.
    pub pause_ms: Option<f64>,
    /// How many times slower than lastingly the engine is.
    pub slowness: f64,
}

/// The expected cost of sending a request to an engine, in weighted late requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCost {
    /// The request starts late.
    pub lateness: f64,
    /// The request is stalled by others.
    pub stall: f64,
    /// The running streams are stalled.
    pub interference: f64,
    /// A prefix is recomputed that is cached elsewhere.
    pub recompute: f64,
    /// The engine prefills for longer than another one would.
    pub prefill: f64,
    /// The engine's memory does not hold the request.
    pub memory: f64,
    /// The engine is in a slow period.
    pub slowness: f64,
}

impl PlacementCost {
    /// The cost of sending a request with `work` to the engine for which `estimate` was made.
    /// `cached` is whether the shared prefix is assumed to be cached there.
    pub fn of(work: &GenerationWork, estimate: &PlacementEstimate, cached: bool) -> Self {
        let weight = work.weight();
        let gap = work.gap_objective.0 as f64;
        let lateness =
            ramp(estimate.first_event_ms / at_least_one_ms(work.objective), LATENESS_RAMP);
        let pause = ramp(estimate.prefill_ms / gap.max(1.0), PAUSE_RAMP);
        let pause_before = ramp(estimate.prefill_before_ms / gap.max(1.0), PAUSE_RAMP);
        let stalls = estimate.long_prefill_share * STALL_EXPOSURE_MS / gap.max(1.0);
        let shared = if cached { 0.0 } else { work.shared.0 as f64 };
        Self {
            lateness: weight * lateness,
            stall: weight * stalls.min(1.0),
            interference: estimate.running * (pause - pause_before).max(0.0),
            recompute: RECOMPUTE_COST * shared / 1_000.0,
            prefill: PREFILL_COST_PER_SECOND * estimate.prefill_ms / 1_000.0,
            memory: 0.0,
            slowness: 0.0,
        }
    }

    /// The same cost with what the engine model expects.
    pub fn with_model(
        self,
        work: &GenerationWork,
        estimate: &PlacementEstimate,
        model: &ModelEstimate,
    ) -> Self {
        let weight = work.weight();
        let gap = at_least_one_ms(work.gap_objective);
        let late_share = |pause_ms: Option<f64>| {
            pause_ms.map_or(0.0, |pause_ms| ramp(pause_ms / gap, DECODE_RAMP))
        };
        let (before, with) = (late_share(model.pause_before_ms), late_share(model.pause_ms));
        let (from, to) = MEMORY_RAMP;
        let excess =
            model.memory_share.map_or(0.0, |share| ((share - from) / (to - from)).max(0.0));
        Self {
            stall: (self.stall + weight * with).min(weight),
            interference: self.interference + estimate.running * (with - before).max(0.0),
            memory: MEMORY_COST * weight * excess,
            slowness: SLOWNESS_COST * weight * (model.slowness - 1.0).max(0.0),
            ..self
        }
    }

    /// The sum, in steps of the smallest relevant difference.
    pub fn total(&self) -> f64 {
        let without_model =
            self.lateness + self.stall + self.interference + self.recompute + self.prefill;
        let sum = without_model + self.memory + self.slowness;
        (sum / COST_STEP).floor()
    }
}

fn at_least_one_ms(time: Millis) -> f64 {
    time.0.max(1) as f64
}

/// Zero up to the first bound, one from the second bound, linear in between.
fn ramp(value: f64, (from, to): (f64, f64)) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}
