//! Where a generation does least harm.
//!
//! For each engine the harm is estimated that sending a request there does: to the request, which
//! may begin late or be held up by others; to the streams that run there, which are held up while
//! its prompt is read; and to all, by reading again what another engine keeps. All three are counted
//! in requests that are late, each with its weight. The weights were measured on several days of
//! two deployments (docs/DECISIONS.md).

use crate::engine_load::{GenerationWork, PlacementEstimate};
use stackpost_types::Millis;

/// Part of the time to the first event from which on a request may be late, and from which on it
/// will be.
const LATE_FROM_TO: (f64, f64) = (0.8, 1.0);
/// Part of the longest pause that reading may take before streams may be late, and from which on
/// they will be.
const PAUSE_FROM_TO: (f64, f64) = (1.0, 1.3);
/// Time of a stream, in milliseconds, over which it counts as hit by long readings. Less than most
/// streams run: the more is made of it, the more streams leave the engines that keep their prompts.
const STREAM_MS: f64 = 400.0;
/// Harm of reading 1,000 tokens again that another engine keeps: to the request, and to whatever
/// else is to be read there. At a fifth of this twice as much is read again and fewer are in time.
const READ_AGAIN: f64 = 1.5;
/// Harm of each second of reading, so that of two engines where nothing is late the idle one is
/// taken. At a fifth of this some engines get twice the mean, and a crash of one costs more.
const READING_SECOND: f64 = 0.8;
/// Harm that makes no difference: less than the estimates are exact.
const INDIFFERENT: f64 = 0.04;

/// The harm that sending a request to an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementCost {
    /// To the request itself: that it begins late.
    pub lateness: f64,
    /// To the request itself: that others hold it up.
    pub stall: f64,
    /// To the streams that run there.
    pub interference: f64,
    /// By reading what is kept elsewhere.
    pub recompute: f64,
    /// By making an engine read longer than another one would.
    pub prefill: f64,
}

impl PlacementCost {
    /// The harm of sending a request with `work` where `estimate` was made.
    pub fn of(work: &GenerationWork, estimate: &PlacementEstimate, kept: bool) -> Self {
        let weight = work.weight();
        let gap = work.gap_objective.0 as f64;
        let lateness = ramp(estimate.first_event_ms / at_least_one(work.objective), LATE_FROM_TO);
        let pause = ramp(estimate.prefill_ms / gap.max(1.0), PAUSE_FROM_TO);
        let pause_before = ramp(estimate.prefill_before_ms / gap.max(1.0), PAUSE_FROM_TO);
        let hits = estimate.long_readings * STREAM_MS / gap.max(1.0);
        let shared = if kept { 0.0 } else { work.shared.0 as f64 };
        Self {
            lateness: weight * lateness,
            stall: weight * hits.min(1.0),
            interference: estimate.running * (pause - pause_before).max(0.0),
            recompute: READ_AGAIN * shared / 1_000.0,
            prefill: READING_SECOND * estimate.prefill_ms / 1_000.0,
        }
    }

    /// All of it, in steps that are worth telling apart.
    pub fn total(&self) -> f64 {
        let all = self.lateness + self.stall + self.interference + self.recompute + self.prefill;
        (all / INDIFFERENT).floor()
    }
}

fn at_least_one(time: Millis) -> f64 {
    time.0.max(1) as f64
}

/// Zero up to the first bound, one from the second on, in between by proportion.
fn ramp(value: f64, (from, to): (f64, f64)) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}
