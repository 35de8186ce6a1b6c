//! Which engine a request is sent to.
//!
//! Requests about the same subject share a prompt prefix, and an engine that has it cached does not
//! prefill it again. So engines are ranked for each subject by rendezvous hashing, and the first
//! one that is not overloaded is chosen. Requests without a subject go to the engine with the
//! fewest requests, or with the engine model to one with a short expected wait.
//!
//! An engine is avoided while it fails, while its zone is unreachable, and while it has not been
//! announced for some time; it is still used if there is no better one, because these are
//! estimates. A backoff or departure that an engine has requested itself is not an estimate
//! ([`BackoffTracker`]): such an engine is never a candidate.

use crate::backoff::{BackoffChange, BackoffTracker};
use crate::directory::{EngineDirectory, EngineRecord};
use crate::engine_choice::{AttemptEnd, EngineChoice, PickQuery, ServiceAvailability, Standing};
use crate::engine_health::EngineHealth;
use crate::engine_load::{EngineLoad, EngineLoadUpdate, Placement, track_median};
use crate::generation_load::GenerationLoad;
use crate::plain_load::PlainLoad;
use selection::Candidate;
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp, Tokens, ZoneName};
use std::collections::HashMap;

mod generations;
mod plain;
mod selection;
mod silence;

pub use generations::MemoryDemand;

/// Time for which a response proves that an engine runs, whether or not it is announced.
const RESPONSE_TRUST_TIME: Millis = Millis(2_000);
/// Consecutive connection failures to a zone after which the zone is avoided.
const ZONE_FAILURE_THRESHOLD: u32 = 3;
/// Time for which a zone is avoided before it is tried again.
const ZONE_EJECTION: Millis = Millis(1_200);
/// Maximum number of engines whose load is kept: four times the largest fleet. Updates of other
/// routers may be about an engine that is not announced here yet, and any host may send a datagram;
/// engines that remain unknown are removed within seconds.
const MAX_LOADS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct ZoneHealth {
    failures: u32,
    avoided_until: Option<Timestamp>,
}

/// This router's state about the engines, and the choice among them.
#[derive(Clone, Debug)]
pub struct EnginePicker {
    own_zone: ZoneName,
    engines: HashMap<BackEndName, EngineHealth>,
    zones: HashMap<ZoneName, ZoneHealth>,
    loads: HashMap<BackEndName, EngineLoad>,
    backoff: BackoffTracker,
    /// Typical prefill speed of all engines, in tokens per millisecond.
    typical_speed: Option<f64>,
    /// The load of plain requests; `None` if engines are not chosen by learned speeds and queues.
    plain_loads: Option<HashMap<BackEndName, PlainLoad>>,
    /// The memory, decode steps and slow periods of engines; `None` likewise.
    generation_loads: Option<HashMap<BackEndName, GenerationLoad>>,
}

impl EnginePicker {
    /// Creates the picker of a router in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            engines: HashMap::new(),
            zones: HashMap::new(),
            loads: HashMap::new(),
            backoff: BackoffTracker::default(),
            typical_speed: None,
            plain_loads: None,
            generation_loads: None,
        }
    }

    /// Creates the picker of a router in `own_zone` that chooses engines by their learned speeds,
    /// memory and queues.
    pub fn with_engine_model(own_zone: ZoneName) -> Self {
        Self {
            plain_loads: Some(HashMap::new()),
            generation_loads: Some(HashMap::new()),
            ..Self::new(own_zone)
        }
    }

    /// Chooses the engine for a request; `None` if no engine of the service accepts it.
    pub fn pick(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        query: &PickQuery<'_>,
    ) -> Option<EngineChoice> {
        self.pick_for(now, directory, query, MemoryDemand::default())
    }

    fn pick_for(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        query: &PickQuery<'_>,
        demand: MemoryDemand,
    ) -> Option<EngineChoice> {
        let mut candidates = self.candidates(now, directory, query);
        let is_proven =
            |candidate: &Candidate<'_>| !self.backoff.is_probing(&candidate.record.notice.engine);
        if query.is_retry && candidates.iter().any(is_proven) {
            candidates.retain(is_proven);
        }
        let best = candidates.iter().map(|candidate| candidate.standing).min()?;
        candidates.retain(|candidate| candidate.standing == best);
        if let Some(work) = query.work {
            return self.pick_by_cost(now, &candidates, &work, query, demand);
        }
        if query.prefix_hash.is_none()
            && let Some(choice) = self.pick_by_wait(now, &candidates, query.tie_breaker)
        {
            return Some(choice);
        }
        let engine = match query.prefix_hash {
            Some(prefix_hash) => self.pick_by_subject(&candidates, prefix_hash),
            None => self.pick_by_load(&candidates, query.tie_breaker),
        };
        engine.map(|engine| EngineChoice {
            engine: engine.clone(),
            placement: None,
            expected: None,
            standing: best,
        })
    }

    /// Whether requests for `service` can be sent, regardless of the single request.
    pub fn availability(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        service: &ServiceName,
    ) -> ServiceAvailability {
        let mut soonest: Option<(Timestamp, &BackEndName)> = None;
        for record in engines_in_service(directory, service) {
            let engine = &record.notice.engine;
            match self.backoff.available_from(engine) {
                Some(from) if from <= now => return ServiceAvailability::Available,
                Some(from) => soonest = soonest.into_iter().chain([(from, engine)]).min(),
                None => {}
            }
        }
        soonest.map_or(ServiceAvailability::NoEngine, |(from, engine)| {
            ServiceAvailability::AllBackingOff { soonest: from.since(now), engine: engine.clone() }
        })
    }

    /// Records that an engine has asked for a backoff.
    pub fn on_backoff(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        duration: Millis,
    ) -> BackoffChange {
        self.backoff.on_backoff(now, engine, duration)
    }

    /// Records that an engine is leaving. Returns whether that was not known.
    pub fn on_leaving(&mut self, engine: &BackEndName) -> bool {
        self.backoff.on_leaving(engine)
    }

    /// Records that an engine has accepted a request that was sent to it at `sent_at`.
    pub fn on_accepted(&mut self, engine: &BackEndName, sent_at: Timestamp) {
        self.backoff.on_accepted(engine, sent_at);
    }

    /// Whether a request may still be sent to the engine chosen for it: the engine has neither left
    /// nor asked for a backoff in the meantime.
    pub fn may_send(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        engine: &BackEndName,
    ) -> bool {
        directory.accepts_requests(engine)
            && !self.backoff.is_backing_off(now, engine)
            && !self.backoff.is_leaving(engine)
    }

    /// Whether the engine's own backoff and departure allow a request now.
    pub fn is_available(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.backoff.is_available(now, engine)
    }

    /// Number of engines that are backing off.
    pub fn backing_off(&self, now: Timestamp) -> usize {
        self.backoff.backing_off(now)
    }

    /// Records that a request is sent to an engine.
    pub fn on_sent(&mut self, now: Timestamp, engine: &BackEndName, sent: Option<&Placement>) {
        self.backoff.on_sent(now, engine);
        self.engines.entry(engine.clone()).or_default().on_sent(now);
        if let Some(sent) = sent {
            let load = self.loads.entry(engine.clone()).or_default();
            load.on_sent(now, self.typical_speed, sent);
            self.on_generation_sent(engine, sent);
        } else {
            self.on_plain_sent(now, engine);
        }
    }

    /// Records the first event of a generation, received `elapsed` after it was sent.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        sent: &Placement,
        elapsed: Millis,
    ) {
        let load = self.loads.entry(engine.clone()).or_default();
        if let Some(measured) =
            load.on_first_event(now, self.typical_speed, &sent.estimate, elapsed)
        {
            self.typical_speed = Some(track_median(self.typical_speed, measured));
        }
    }

    /// Merges another router's update of its load on an engine.
    pub fn on_peer_update(
        &mut self,
        now: Timestamp,
        router: u64,
        engine: BackEndName,
        update: &EngineLoadUpdate,
    ) {
        if self.loads.len() >= MAX_LOADS && !self.loads.contains_key(&engine) {
            return;
        }
        let load = self.loads.entry(engine).or_default();
        load.on_peer_update(now, self.typical_speed, router, update);
    }

    /// Updates of this router's load for other routers. What they contain counts as reported.
    /// `urgent` limits them to engines with unreported tokens to prefill.
    pub fn take_updates(&mut self, urgent: bool) -> Vec<(BackEndName, EngineLoadUpdate)> {
        let is_due =
            |load: &EngineLoad| load.has_update() && (!urgent || !load.unreported().is_zero());
        let due = self.loads.iter_mut().filter(|(_, load)| is_due(load));
        due.map(|(engine, load)| (engine.clone(), load.take_updates())).collect()
    }

    /// Tokens left to prefill at an engine.
    pub fn pending_prefill(&self, now: Timestamp, engine: &BackEndName) -> Tokens {
        let load = self.loads.get(engine);
        load.map_or(Tokens::ZERO, |load| {
            Tokens(load.pending_prefill(now, self.typical_speed) as u64)
        })
    }

    /// Tokens to prefill at an engine that have not been reported to other routers.
    pub fn unreported(&self, engine: &BackEndName) -> Tokens {
        self.loads.get(engine).map(EngineLoad::unreported).unwrap_or_default()
    }

    /// Records the end of an attempt at an engine.
    pub fn on_attempt_end(
        &mut self,
        now: Timestamp,
        engine: &EngineRecord,
        sent: Option<&Placement>,
        end: AttemptEnd,
    ) {
        if let (Some(sent), Some(load)) = (sent, self.loads.get_mut(&engine.notice.engine)) {
            load.on_attempt_end(&sent.work, &sent.estimate);
        }
        match sent {
            Some(sent) => self.on_generation_end(&engine.notice.engine, sent),
            None => self.on_plain_end(now, &engine.notice.engine),
        }
        let zone = engine.notice.zone.clone();
        let health = self.engines.entry(engine.notice.engine.clone()).or_default();
        health.on_ended(now);
        if matches!(end, AttemptEnd::Full | AttemptEnd::BackoffRequested) {
            health.rejected_at = Some(now);
        }
        match end {
            AttemptEnd::Responded => health.record_outcome(now, false),
            AttemptEnd::EngineError | AttemptEnd::Full | AttemptEnd::Interrupted => {
                health.record_outcome(now, true);
            }
            AttemptEnd::Unreachable => health.eject(now),
            AttemptEnd::BackoffRequested | AttemptEnd::Abandoned => {}
        }
        match end {
            AttemptEnd::Unreachable => self.on_zone_failure(now, zone),
            AttemptEnd::Responded
            | AttemptEnd::EngineError
            | AttemptEnd::Full
            | AttemptEnd::BackoffRequested => {
                health.responded_at = Some(now);
                self.zones.remove(&zone);
            }
            AttemptEnd::Interrupted | AttemptEnd::Abandoned => {}
        }
    }

    /// When an engine last rejected a request of this router.
    pub fn rejected_at(&self, engine: &BackEndName) -> Option<Timestamp> {
        self.engines.get(engine)?.rejected_at
    }

    /// Number of requests that this router sent to an engine later than `time`, at most some
    /// dozens.
    pub fn sent_since(&self, engine: &BackEndName, time: Timestamp) -> usize {
        self.engines.get(engine).map_or(0, |health| health.sent_since(time))
    }

    /// Number of this router's requests in flight at an engine.
    pub fn in_flight(&self, engine: &BackEndName) -> u64 {
        self.engines.get(engine).map_or(0, |health| health.in_flight)
    }

    /// Removes engines that the directory no longer knows. What one of them may not have read is
    /// kept: it may be announced again.
    pub fn remove_unknown(&mut self, now: Timestamp, directory: &EngineDirectory) {
        self.engines.retain(|engine, health| {
            health.in_flight > 0 || directory.get(engine).is_some() || health.unread.count(now) > 0
        });
        self.loads.retain(|engine, _| directory.get(engine).is_some());
        self.loads.values_mut().for_each(|load| load.remove_expired(now));
        self.remove_unknown_plain(now, directory);
        self.remove_unknown_generations(now, directory);
        self.backoff.remove_unknown(directory);
    }

    fn candidates<'a>(
        &self,
        now: Timestamp,
        directory: &'a EngineDirectory,
        query: &PickQuery<'_>,
    ) -> Vec<Candidate<'a>> {
        engines_in_service(directory, query.service)
            .filter(|record| self.backoff.is_available(now, &record.notice.engine))
            .filter(|record| !query.tried.contains(&record.notice.engine))
            .filter(|record| (query.has_room)(record))
            .map(|record| Candidate {
                record,
                standing: self.standing(now, record, directory.is_silent(&record.notice.engine)),
                in_flight: self.in_flight(&record.notice.engine),
            })
            .collect()
    }

    /// The standing of an engine; `silent` is whether it has not been announced recently.
    pub fn standing(&self, now: Timestamp, record: &EngineRecord, silent: bool) -> Standing {
        let health = self.engines.get(&record.notice.engine);
        let zone = self.zones.get(&record.notice.zone);
        let avoided = |until: Option<Timestamp>| until.is_some_and(|until| now < until);
        let failing = health.is_some_and(|health| avoided(health.ejected_until));
        if failing || zone.is_some_and(|zone| avoided(zone.avoided_until)) {
            return Standing::Failing;
        }
        let responded_at = health.and_then(|health| health.responded_at);
        let trusted = responded_at.is_some_and(|at| now.since(at) < RESPONSE_TRUST_TIME);
        if silent && !trusted { Standing::Silent } else { Standing::Good }
    }

    fn on_zone_failure(&mut self, now: Timestamp, zone: ZoneName) {
        if zone == self.own_zone {
            return;
        }
        let health = self.zones.entry(zone).or_default();
        health.failures += 1;
        if health.failures >= ZONE_FAILURE_THRESHOLD {
            health.avoided_until = Some(now + ZONE_EJECTION);
        }
    }
}

/// The engines of a service that may be sent requests.
fn engines_in_service<'a>(
    directory: &'a EngineDirectory,
    service: &ServiceName,
) -> impl Iterator<Item = &'a EngineRecord> {
    let of_service = move |record: &&EngineRecord| record.notice.service == *service;
    directory.in_service().filter(of_service)
}
