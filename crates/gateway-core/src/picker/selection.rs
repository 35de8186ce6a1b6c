//! The choice among the engines that accept a request.

use super::{EnginePicker, MemoryDemand};
use crate::directory::EngineRecord;
use crate::engine_choice::{EngineChoice, PickQuery, Standing};
use crate::engine_load::{EngineLoad, GenerationWork, Placement};
use crate::hashing::mix;
use stackpost_types::{Digest, Timestamp};

/// Multiple of the mean load, in thousandths, up to which an engine keeps its subjects.
const LOAD_BOUND_PERMILLE: u64 = 1_400;
/// Load that an engine may always have, in requests of this router.
const LOAD_SLACK: u64 = 2;

/// An engine that accepts the request.
pub(super) struct Candidate<'a> {
    pub record: &'a EngineRecord,
    pub standing: Standing,
    /// This router's requests in flight there.
    pub in_flight: u64,
}

impl EnginePicker {
    /// The engine with the lowest cost for the request; among equals the first in the subject's
    /// ranking.
    pub(super) fn pick_by_cost(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        work: &GenerationWork,
        query: &PickQuery<'_>,
        demand: MemoryDemand,
    ) -> Option<EngineChoice> {
        let key = query.prefix_hash.unwrap_or(query.tie_breaker);
        let home = candidates.iter().max_by_key(|candidate| rank(candidate, key))?;
        let idle = EngineLoad::default();
        let evaluate = |candidate: &Candidate<'_>| {
            let engine = &candidate.record.notice.engine;
            let load = self.loads.get(engine).unwrap_or(&idle);
            let is_home = *engine == home.record.notice.engine;
            let cached = is_home
                || query.prefix_hash.is_some_and(|prefix_hash| load.has_cached(now, prefix_hash));
            let estimate = load.estimate(now, self.typical_speed, work, cached);
            self.with_engine_model_cost(now, engine, work, estimate, cached, demand)
        };
        let evaluated = candidates.iter().map(|candidate| (candidate, evaluate(candidate)));
        let (candidate, (cost, estimate)) = evaluated.min_by(|left, right| {
            let by_cost = left.1.0.total().total_cmp(&right.1.0.total());
            by_cost.then_with(|| rank(right.0, key).cmp(&rank(left.0, key)))
        })?;
        let placement = Placement { work: *work, prefix_hash: query.prefix_hash, estimate, cost };
        let standing = candidate.standing;
        Some(EngineChoice {
            engine: candidate.record.clone(),
            placement: Some(placement),
            expected: None,
            standing,
        })
    }

    pub(super) fn pick_by_subject<'a>(
        &self,
        candidates: &[Candidate<'a>],
        prefix_hash: u64,
    ) -> Option<&'a EngineRecord> {
        let total: u64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let bound =
            (total + 1) * LOAD_BOUND_PERMILLE / (1_000 * candidates.len() as u64) + LOAD_SLACK;
        let rank = |candidate: &&Candidate<'a>| rank(candidate, prefix_hash);
        let free = candidates.iter().filter(|candidate| candidate.in_flight <= bound);
        let chosen = free.max_by_key(rank).or_else(|| candidates.iter().max_by_key(rank))?;
        Some(chosen.record)
    }

    pub(super) fn pick_by_load<'a>(
        &self,
        candidates: &[Candidate<'a>],
        tie_breaker: u64,
    ) -> Option<&'a EngineRecord> {
        let cost = |candidate: &&Candidate<'a>| {
            let other_zone = candidate.record.notice.zone != self.own_zone;
            let name = candidate.record.notice.engine.as_str();
            let tie_break = mix(tie_breaker ^ Digest::of(&[name.as_bytes()]).to_u64());
            (candidate.in_flight, other_zone, tie_break)
        };
        candidates.iter().min_by_key(cost).map(|candidate| candidate.record)
    }
}

/// Rank of an engine for a subject (rendezvous hashing); the highest is preferred.
fn rank(candidate: &Candidate<'_>, prefix_hash: u64) -> u64 {
    let engine = candidate.record.notice.engine.as_str();
    mix(prefix_hash ^ Digest::of(&[engine.as_bytes()]).to_u64())
}
