//! Requests that are not generations, with the engine model.

use super::selection::Candidate;
use super::{EnginePicker, MAX_LOADS};
use crate::directory::{EngineDirectory, EngineRecord};
use crate::engine_choice::EngineChoice;
use crate::plain_choice::{self, PlainCandidate};
use crate::plain_load::{PlainLoad, PlainLoadReport};
use stackpost_types::{BackEndName, Timestamp, ZoneName};

impl EnginePicker {
    /// An engine with a short expected wait; `None` without the engine model, or if the demand is
    /// not known.
    pub(super) fn pick_by_wait(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        tie_breaker: u64,
    ) -> Option<EngineChoice> {
        let loads = self.plain_loads.as_ref()?;
        let idle = PlainLoad::default();
        let plain: Vec<PlainCandidate<'_>> = candidates
            .iter()
            .map(|candidate| PlainCandidate {
                zone: &candidate.record.notice.zone,
                slots: candidate.record.notice.slots,
                load: loads.get(&candidate.record.notice.engine).unwrap_or(&idle),
            })
            .collect();
        let (chosen, expected) = plain_choice::choose(now, &self.own_zone, &plain, tie_breaker)?;
        let candidate = candidates.get(chosen)?;
        Some(EngineChoice {
            engine: candidate.record.clone(),
            placement: None,
            expected: Some(expected),
            standing: candidate.standing,
        })
    }

    /// Records the response time of a request that is not a generation, before its end.
    pub fn on_plain_response(&mut self, now: Timestamp, engine: &EngineRecord, response_ms: f64) {
        let loads = self.plain_loads.as_mut();
        if let Some(load) = loads.and_then(|loads| loads.get_mut(&engine.notice.engine)) {
            load.on_response(now, engine.notice.slots, response_ms);
        }
    }

    /// Merges the report of another router, which is in `zone`, about its requests at one engine
    /// that are not generations.
    pub fn on_plain_report(
        &mut self,
        now: Timestamp,
        router: u64,
        zone: &ZoneName,
        engine: BackEndName,
        report: PlainLoadReport,
    ) {
        let Some(loads) = self.plain_loads.as_mut() else {
            return;
        };
        if loads.len() < MAX_LOADS || loads.contains_key(&engine) {
            loads.entry(engine).or_default().on_report(now, router, zone, report);
        }
    }

    /// This router's reports for other routers; none without the engine model.
    pub fn take_plain_reports(&mut self, now: Timestamp) -> Vec<(BackEndName, PlainLoadReport)> {
        let loads = self.plain_loads.iter_mut().flatten();
        loads.filter_map(|(name, load)| Some((name.clone(), load.take_report(now)?))).collect()
    }

    /// Mean number of other routers' plain requests in flight at an engine, by their reports.
    pub fn reported_plain_in_flight(&self, engine: &BackEndName) -> f64 {
        let load = self.plain_loads.as_ref().and_then(|loads| loads.get(engine));
        load.map_or(0.0, PlainLoad::reported_in_flight)
    }

    /// The zone of this router.
    pub fn own_zone(&self) -> &ZoneName {
        &self.own_zone
    }

    pub(super) fn on_plain_sent(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(loads) = self.plain_loads.as_mut() {
            loads.entry(engine.clone()).or_default().on_sent(now);
        }
    }

    pub(super) fn on_plain_end(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(load) = self.plain_loads.as_mut().and_then(|loads| loads.get_mut(engine)) {
            load.on_end(now);
        }
    }

    pub(super) fn remove_unknown_plain(&mut self, now: Timestamp, directory: &EngineDirectory) {
        if let Some(loads) = self.plain_loads.as_mut() {
            loads.retain(|engine, _| directory.get(engine).is_some());
            loads.values_mut().for_each(|load| load.remove_expired(now));
        }
    }
}
