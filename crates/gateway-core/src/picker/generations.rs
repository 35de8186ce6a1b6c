//! Generations, with the engine model.

use super::{EnginePicker, MAX_LOADS};
use crate::directory::EngineDirectory;
use crate::engine_choice::{EngineChoice, PickQuery};
use crate::engine_load::{GenerationWork, Placement, PlacementEstimate};
use crate::generation_load::{GenerationLoad, GenerationLoadReport};
use crate::placement::{ModelEstimate, PlacementCost};
use stackpost_types::{BackEndName, Timestamp, Tokens};

/// The memory that a generation needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryDemand {
    /// Tokens of the prompt and tokens to be generated.
    pub tokens: Tokens,
    /// Memory of an engine of the service, in tokens; `None` if it is not known.
    pub engine_memory: Option<Tokens>,
}

impl EnginePicker {
    /// Chooses the engine for a request that needs memory; `None` if no engine of the service
    /// accepts it.
    pub fn pick_with_memory(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        query: &PickQuery<'_>,
        demand: MemoryDemand,
    ) -> Option<EngineChoice> {
        let mut choice = self.pick_for(now, directory, query, demand)?;
        if let Some(placement) = &mut choice.placement {
            placement.estimate.held_tokens = demand.tokens.0;
        }
        Some(choice)
    }

    /// Records a pause between two events of a stream of this router.
    pub fn on_pause(&mut self, now: Timestamp, engine: &BackEndName, pause_ms: f64) {
        let loads = self.generation_loads.as_mut();
        if let Some(load) = loads.and_then(|loads| loads.get_mut(engine)) {
            load.on_pause(now, pause_ms);
        }
    }

    /// Merges the report of another router about its generations at one engine.
    pub fn on_generation_report(
        &mut self,
        now: Timestamp,
        router: u64,
        engine: BackEndName,
        report: GenerationLoadReport,
    ) {
        let Some(loads) = self.generation_loads.as_mut() else {
            return;
        };
        if loads.len() < MAX_LOADS || loads.contains_key(&engine) {
            loads.entry(engine).or_default().on_report(now, router, report);
        }
    }

    /// This router's reports about generations for other routers; none without the engine model.
    pub fn take_generation_reports(
        &mut self,
        now: Timestamp,
    ) -> Vec<(BackEndName, GenerationLoadReport)> {
        let loads = self.generation_loads.iter_mut().flatten();
        loads.filter_map(|(name, load)| Some((name.clone(), load.take_report(now)?))).collect()
    }

    /// The generations at an engine; `None` without the engine model or before the first one.
    pub fn generation_load(&self, engine: &BackEndName) -> Option<&GenerationLoad> {
        self.generation_loads.as_ref()?.get(engine)
    }

    pub(super) fn on_generation_sent(&mut self, engine: &BackEndName, sent: &Placement) {
        if let Some(loads) = self.generation_loads.as_mut() {
            loads.entry(engine.clone()).or_default().on_sent(sent.estimate.held_tokens);
        }
    }

    pub(super) fn on_generation_end(&mut self, engine: &BackEndName, sent: &Placement) {
        let loads = self.generation_loads.as_mut();
        if let Some(load) = loads.and_then(|loads| loads.get_mut(engine)) {
            load.on_end(sent.estimate.held_tokens);
        }
    }

    pub(super) fn remove_unknown_generations(
        &mut self,
        now: Timestamp,
        directory: &EngineDirectory,
    ) {
        if let Some(loads) = self.generation_loads.as_mut() {
            loads.retain(|engine, _| directory.get(engine).is_some());
            loads.values_mut().for_each(|load| load.remove_expired(now));
        }
    }

    /// The cost and the estimate by the engine model, from those without it.
    pub(super) fn with_engine_model_cost(
        &self,
        now: Timestamp,
        engine: &BackEndName,
        work: &GenerationWork,
        estimate: PlacementEstimate,
        cached: bool,
        demand: MemoryDemand,
    ) -> (PlacementCost, PlacementEstimate) {
        let Some(load) = self.generation_load(engine) else {
            return (PlacementCost::of(work, &estimate, cached), estimate);
        };
        let slowness = load.slowness(now);
        let estimate = estimate.slowed(slowness);
        let streams = load.streams();
        let model = ModelEstimate {
            memory_share: demand.engine_memory.map(|memory| {
                (load.held_tokens() + demand.tokens.0) as f64 / memory.0.max(1) as f64
            }),
            pause_before_ms: load.pause_ms(now, streams),
            pause_ms: load.pause_ms(now, streams + 1),
            slowness,
        };
        (PlacementCost::of(work, &estimate, cached).with_model(work, &estimate, &model), estimate)
    }
}
