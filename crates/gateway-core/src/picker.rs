//! Which engine a request goes to.
//!
//! Requests about the same subject share the beginning of their prompt, and an engine that has
//! read it needs not read it again. So engines are ranked for each subject by rendezvous hashing,
//! and the first one that is not overloaded is taken. Requests without a subject go to the engine
//! with the fewest requests.
//!
//! An engine is avoided while it fails, while its zone can't be reached, and while it has not been
//! announced for some time; it is used all the same if there is no better one. These are guesses. What an
//! engine has asked for itself is none ([`BackoffTracker`]): such an engine is no candidate, whatever else there is.

use crate::backoff::{BackoffChange, BackoffTracker};
use crate::directory::{EngineDirectory, EngineRecord};
use crate::engine_health::EngineHealth;
use crate::engine_load::{EngineLoad, EngineLoadUpdate, GenerationWork, Placement, track_median};
use crate::engine_notice::EngineState;
use crate::hashing::mix;
use crate::placement::PlacementCost;
use stackpost_types::{BackEndName, Digest, Millis, ServiceName, Timestamp, Tokens, ZoneName};
use std::collections::HashMap;

/// An engine that answered so lately is there, whatever has been announced.
const ANSWER_TRUST: Millis = Millis(2_000);
/// Connections to a zone that must fail in a row before the zone is avoided.
const ZONE_FAILURES: u32 = 3;
/// How long a zone is avoided before it is tried again.
const ZONE_EJECTION: Millis = Millis(1_200);
/// An engine may have this many times the mean load, in thousandths, before a subject moves on.
const LOAD_BOUND_PERMILLE: u64 = 1_400;
/// Load that an engine may always have, in requests of this router.
const LOAD_SLACK: u64 = 2;

/// Engines whose load is kept: four times the largest fleet. What other routers say may be of an engine that
/// is not announced here yet, and anyone may send a datagram; what stays unknown is forgotten in seconds.
const MOST_LOADS: usize = 4_096;

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered, well or with a failure that is its own business.
    Answered,
    /// It answered with an error of its own.
    EngineError,
    /// It said that it has no room.
    Full,
    /// It said that it wants no request for a while. That is its wish and no failure of it.
    BackoffRequested,
    /// No connection came up.
    Unreachable,
    /// The connection broke or the answer was not one.
    Broken,
    /// The caller went away or the time was over; says nothing about the engine.
    Abandoned,
}

/// The engine for a request.
#[derive(Clone, Debug)]
pub struct EngineChoice {
    /// The engine.
    pub engine: EngineRecord,
    /// What a generation is expected to meet there; `None` for other requests.
    pub placement: Option<Placement>,
    /// How the engine stood when it was chosen. Unless it is good, no good one was left.
    pub standing: Standing,
}

/// What a request needs.
#[derive(Clone, Copy)]
pub struct PickQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of what the request is about.
    pub subject: Option<u64>,
    /// What it asks of a model engine; `None` for requests to other services.
    pub work: Option<GenerationWork>,
    /// Engines that it is not to be sent to again.
    pub tried: &'a [BackEndName],
    /// Whether there is room for it at an engine, by what the engine states that it takes.
    pub has_room: &'a dyn Fn(&EngineRecord) -> bool,
    /// Whether an engine has turned it away before. It is no request to try an engine with whose rest is over.
    pub is_retry: bool,
    /// Breaks ties.
    pub tie_breaker: u64,
}

impl AttemptEnd {
    /// The end as it stands in logs and figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::EngineError => "engine_error",
            Self::Full => "full",
            Self::BackoffRequested => "asked_for_rest",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ZoneHealth {
    failures: u32,
    avoided_until: Option<Timestamp>,
}

/// How an engine stands with this router; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It has not been announced of late.
    Silent,
    /// It has failed of late, or its zone can't be reached.
    Failing,
}

impl Standing {
    /// The standing as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Silent => "silent",
            Self::Failing => "failing",
        }
    }
}

/// What requests for a service can expect of its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// An engine may be asked.
    Available,
    /// Every engine that takes work has asked for rest.
    AllBackingOff {
        /// Time until the first of them may be asked.
        soonest: Millis,
        /// That engine.
        engine: BackEndName,
    },
    /// No engine takes work.
    NoEngine,
}

/// What this router knows of the engines by its own requests.
#[derive(Clone, Debug)]
pub struct EnginePicker {
    own_zone: ZoneName,
    engines: HashMap<BackEndName, EngineHealth>,
    zones: HashMap<ZoneName, ZoneHealth>,
    loads: HashMap<BackEndName, EngineLoad>,
    backoff: BackoffTracker,
    /// Mean reading speed of all engines, in tokens per millisecond.
    usual_speed: Option<f64>,
}

struct Candidate<'a> {
    record: &'a EngineRecord,
    standing: Standing,
    in_flight: u64,
}

impl EnginePicker {
    /// A picker of a router in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            engines: HashMap::new(),
            zones: HashMap::new(),
            loads: HashMap::new(),
            backoff: BackoffTracker::default(),
            usual_speed: None,
        }
    }

    /// The engine for a request; `None` if no engine of the service takes work.
    pub fn pick(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        query: &PickQuery<'_>,
    ) -> Option<EngineChoice> {
        let mut candidates = self.candidates(now, directory, query);
        let is_tried =
            |candidate: &Candidate<'_>| !self.backoff.is_probing(&candidate.record.notice.engine);
        if query.is_retry && candidates.iter().any(is_tried) {
            candidates.retain(is_tried);
        }
        let best = candidates.iter().map(|candidate| candidate.standing).min()?;
        candidates.retain(|candidate| candidate.standing == best);
        if let Some(work) = query.work {
            return self.pick_by_harm(now, &candidates, &work, query);
        }
        let engine = match query.subject {
            Some(subject) => self.pick_by_subject(&candidates, subject),
            None => self.pick_by_load(&candidates, query.tie_breaker),
        };
        engine.map(|engine| EngineChoice {
            engine: engine.clone(),
            placement: None,
            standing: best,
        })
    }

    /// What a request for `service` can expect, whatever it is.
    pub fn availability(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        service: &ServiceName,
    ) -> ServiceAvailability {
        let mut soonest: Option<(Timestamp, &BackEndName)> = None;
        for record in ready_engines(directory, service) {
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

    /// An engine wants no request for a while.
    pub fn on_backoff(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        rest: Millis,
    ) -> BackoffChange {
        self.backoff.on_backoff(now, engine, rest)
    }

    /// An engine says that it leaves. Returns whether that is news.
    pub fn on_leaving(&mut self, engine: &BackEndName) -> bool {
        self.backoff.on_leaving(engine)
    }

    /// An engine has taken a request that was sent to it at `sent_at`.
    pub fn on_accepted(&mut self, engine: &BackEndName, sent_at: Timestamp) {
        self.backoff.on_accepted(engine, sent_at);
    }

    /// Whether a request that was chosen for an engine may still be sent: the engine has not left since, nor asked for rest.
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

    /// Whether an engine may be asked now, as far as it has said itself.
    pub fn is_available(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.backoff.is_available(now, engine)
    }

    /// Engines that rest.
    pub fn resting(&self, now: Timestamp) -> usize {
        self.backoff.resting(now)
    }

    /// Notes that a request is sent to an engine.
    pub fn on_start(&mut self, now: Timestamp, engine: &BackEndName, sent: Option<&Placement>) {
        self.backoff.on_sent(now, engine);
        self.engines.entry(engine.clone()).or_default().on_sent(now);
        if let Some(sent) = sent {
            let load = self.loads.entry(engine.clone()).or_default();
            load.on_sent(now, self.usual_speed, sent);
        }
    }

    /// Notes the first event of a generation, `took` after it was sent.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        sent: &Placement,
        took: Millis,
    ) {
        let load = self.loads.entry(engine.clone()).or_default();
        if let Some(seen) = load.on_first_event(now, self.usual_speed, &sent.estimate, took) {
            self.usual_speed = Some(track_median(self.usual_speed, seen));
        }
    }

    /// Takes in what another router says of its requests at an engine.
    pub fn on_peer_update(
        &mut self,
        now: Timestamp,
        router: u64,
        engine: BackEndName,
        news: &EngineLoadUpdate,
    ) {
        if self.loads.len() >= MOST_LOADS && !self.loads.contains_key(&engine) {
            return;
        }
        let load = self.loads.entry(engine).or_default();
        load.on_peer_update(now, self.usual_speed, router, news);
    }

    /// What other routers should know of this one's requests. Counts as told. `urgent` leaves out
    /// the engines to which nothing was sent that is to be read.
    pub fn take_updates(&mut self, urgent: bool) -> Vec<(BackEndName, EngineLoadUpdate)> {
        let is_due =
            |load: &EngineLoad| load.has_update() && (!urgent || !load.unreported().is_zero());
        let told = self.loads.iter_mut().filter(|(_, load)| is_due(load));
        told.map(|(engine, load)| (engine.clone(), load.take_updates())).collect()
    }

    /// Tokens that an engine has to read.
    pub fn to_read(&self, now: Timestamp, engine: &BackEndName) -> Tokens {
        let load = self.loads.get(engine);
        load.map_or(Tokens::ZERO, |load| Tokens(load.to_read(now, self.usual_speed) as u64))
    }

    /// Tokens to be read at an engine that other routers have not been told of.
    pub fn unreported(&self, engine: &BackEndName) -> Tokens {
        self.loads.get(engine).map(EngineLoad::unreported).unwrap_or_default()
    }

    /// Notes the end of a request at an engine.
    pub fn on_end(
        &mut self,
        now: Timestamp,
        engine: &EngineRecord,
        sent: Option<&Placement>,
        end: AttemptEnd,
    ) {
        if let (Some(sent), Some(load)) = (sent, self.loads.get_mut(&engine.notice.engine)) {
            load.on_end(&sent.work, &sent.estimate);
        }
        let zone = engine.notice.zone.clone();
        let health = self.engines.entry(engine.notice.engine.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        if matches!(end, AttemptEnd::Full | AttemptEnd::BackoffRequested) {
            health.rejected_at = Some(now);
        }
        match end {
            AttemptEnd::Answered => health.record_outcome(now, false),
            AttemptEnd::EngineError | AttemptEnd::Full | AttemptEnd::Broken => {
                health.record_outcome(now, true);
            }
            AttemptEnd::Unreachable => health.eject(now),
            AttemptEnd::BackoffRequested | AttemptEnd::Abandoned => {}
        }
        match end {
            AttemptEnd::Unreachable => self.on_zone_failure(now, zone),
            AttemptEnd::Answered
            | AttemptEnd::EngineError
            | AttemptEnd::Full
            | AttemptEnd::BackoffRequested => {
                health.answered_at = Some(now);
                self.zones.remove(&zone);
            }
            AttemptEnd::Broken | AttemptEnd::Abandoned => {}
        }
    }

    /// When an engine last turned a request of this router away.
    pub fn rejected_at(&self, engine: &BackEndName) -> Option<Timestamp> {
        self.engines.get(engine)?.rejected_at
    }

    /// Requests that this router sent to an engine later than `time`, some dozens at most.
    pub fn sent_since(&self, engine: &BackEndName, time: Timestamp) -> usize {
        self.engines.get(engine).map_or(0, |health| health.sent_since(time))
    }

    /// Requests that this router has at an engine.
    pub fn in_flight(&self, engine: &BackEndName) -> u64 {
        self.engines.get(engine).map_or(0, |health| health.in_flight)
    }

    /// Forgets engines that the directory no longer knows.
    pub fn forget_unknown(&mut self, now: Timestamp, directory: &EngineDirectory) {
        self.engines
            .retain(|engine, health| health.in_flight > 0 || directory.get(engine).is_some());
        self.loads.retain(|engine, _| directory.get(engine).is_some());
        self.loads.values_mut().for_each(|load| load.forget_old(now));
        self.backoff.forget_unknown(directory);
    }

    fn candidates<'a>(
        &self,
        now: Timestamp,
        directory: &'a EngineDirectory,
        query: &PickQuery<'_>,
    ) -> Vec<Candidate<'a>> {
        ready_engines(directory, query.service)
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

    /// How an engine stands with this router; `silent` if it has not been announced of late.
    pub fn standing(&self, now: Timestamp, record: &EngineRecord, silent: bool) -> Standing {
        let health = self.engines.get(&record.notice.engine);
        let zone = self.zones.get(&record.notice.zone);
        let avoided = |until: Option<Timestamp>| until.is_some_and(|until| now < until);
        let failing = health.is_some_and(|health| avoided(health.ejected_until));
        if failing || zone.is_some_and(|zone| avoided(zone.avoided_until)) {
            return Standing::Failing;
        }
        let answered_at = health.and_then(|health| health.answered_at);
        let trusted = answered_at.is_some_and(|at| now.since(at) < ANSWER_TRUST);
        if silent && !trusted { Standing::Silent } else { Standing::Good }
    }

    /// The engine where the request does least harm; among equals the first of its subject.
    fn pick_by_harm(
        &self,
        now: Timestamp,
        candidates: &[Candidate<'_>],
        work: &GenerationWork,
        query: &PickQuery<'_>,
    ) -> Option<EngineChoice> {
        let key = query.subject.unwrap_or(query.tie_breaker);
        let home = candidates.iter().max_by_key(|candidate| rank(candidate, key))?;
        let unused = EngineLoad::default();
        let judge = |candidate: &Candidate<'_>| {
            let engine = &candidate.record.notice.engine;
            let load = self.loads.get(engine).unwrap_or(&unused);
            let is_home = *engine == home.record.notice.engine;
            let kept =
                is_home || query.subject.is_some_and(|subject| load.has_cached(now, subject));
            let estimate = load.estimate(now, self.usual_speed, work, kept);
            (PlacementCost::of(work, &estimate, kept), estimate)
        };
        let judged = candidates.iter().map(|candidate| (candidate, judge(candidate)));
        let (candidate, (cost, estimate)) = judged.min_by(|left, right| {
            let by_harm = left.1.0.total().total_cmp(&right.1.0.total());
            by_harm.then_with(|| rank(right.0, key).cmp(&rank(left.0, key)))
        })?;
        let placement = Placement { work: *work, subject: query.subject, estimate, cost };
        let standing = candidate.standing;
        Some(EngineChoice {
            engine: candidate.record.clone(),
            placement: Some(placement),
            standing,
        })
    }

    fn pick_by_subject<'a>(
        &self,
        candidates: &[Candidate<'a>],
        subject: u64,
    ) -> Option<&'a EngineRecord> {
        let total: u64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let bound =
            (total + 1) * LOAD_BOUND_PERMILLE / (1_000 * candidates.len() as u64) + LOAD_SLACK;
        let rank = |candidate: &&Candidate<'a>| rank(candidate, subject);
        let free = candidates.iter().filter(|candidate| candidate.in_flight <= bound);
        let chosen = free.max_by_key(rank).or_else(|| candidates.iter().max_by_key(rank))?;
        Some(chosen.record)
    }

    fn pick_by_load<'a>(
        &self,
        candidates: &[Candidate<'a>],
        tie_breaker: u64,
    ) -> Option<&'a EngineRecord> {
        let cost = |candidate: &&Candidate<'a>| {
            let other_zone = candidate.record.notice.zone != self.own_zone;
            let name = candidate.record.notice.engine.as_str();
            let lot = mix(tie_breaker ^ Digest::of(&[name.as_bytes()]).to_u64());
            (candidate.in_flight, other_zone, lot)
        };
        candidates.iter().min_by_key(cost).map(|candidate| candidate.record)
    }

    fn on_zone_failure(&mut self, now: Timestamp, zone: ZoneName) {
        if zone == self.own_zone {
            return;
        }
        let health = self.zones.entry(zone).or_default();
        health.failures += 1;
        if health.failures >= ZONE_FAILURES {
            health.avoided_until = Some(now + ZONE_EJECTION);
        }
    }
}

/// The engines of a service that say that they take work.
fn ready_engines<'a>(
    directory: &'a EngineDirectory,
    service: &ServiceName,
) -> impl Iterator<Item = &'a EngineRecord> {
    let of_service = move |record: &&EngineRecord| record.notice.service == *service;
    let ready = directory.iter().filter(|record| record.notice.state == EngineState::Ready);
    ready.filter(of_service)
}

/// Rank of an engine for a subject (rendezvous hashing); the highest comes first.
fn rank(candidate: &Candidate<'_>, subject: u64) -> u64 {
    let engine = candidate.record.notice.engine.as_str();
    mix(subject ^ Digest::of(&[engine.as_bytes()]).to_u64())
}
