//! Selects the engine for an attempt and takes the permit to send the request there.
//!
//! Every request that reaches an engine passes here: first attempts, retries and resumed streams.

use crate::attempt::SelectedEngine;
use crate::engine_attempt::MAX_ENGINE_SILENCE;
use crate::header_codec::Generation;
use crate::permits::{MAX_LENDERS, MAX_OWNERS, Permit};
use crate::request::{Progress, RequestContext};
use crate::retry::NoRetry;
use stackpost_gateway_core::{
    EngineChoice, EngineRecord, GenerationWork, PermitAvailability, PermitScope, PickQuery, Route,
    ServiceAvailability, Standing,
};
use stackpost_types::BackEndName;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait for a permit, in thousandths of the objective: an eighth.
const PERMIT_WAIT_PERMILLE: u64 = 125;
/// Interval between checks for a permit without a notification: an engine's backoff may have ended,
/// or its token bucket may have been refilled.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) fn max_permit_wait(route: &Route) -> Duration {
    Duration::from_millis(route.objective.0 * PERMIT_WAIT_PERMILLE / 1_000)
}

/// Number of routers that one request may ask for a permit.
fn max_lenders(scope: PermitScope) -> usize {
    match scope {
        PermitScope::Rate => MAX_OWNERS,
        PermitScope::RateAndSlot => MAX_LENDERS,
    }
}

impl RequestContext {
    /// Selects the engine for the next attempt. While the engines' slots are enforced for the
    /// service, or its engines state rate limits, a request waits for a permit. Generations are
    /// limited to slots only while engines are brittle: else engines queue them and report their
    /// load by other means.
    pub async fn select_engine(&self, progress: &Progress) -> Option<SelectedEngine> {
        self.router.wait_until_current().await;
        let selected = self.select_permitted(progress).await;
        if self.router.load_settings().admission_order {
            self.note_permit(selected.is_some(), self.scope());
            return selected;
        }
        let mut shedding = self.router.shedding.borrow_mut();
        match &selected {
            Some(_) => shedding.on_permit(&self.service),
            None => shedding.on_no_permit(self.router.now(), &self.service),
        }
        selected
    }

    async fn select_permitted(&self, progress: &Progress) -> Option<SelectedEngine> {
        let scope = self.scope();
        let needs_slot = scope == PermitScope::RateAndSlot;
        if self.yields_to_waiters(progress) && self.has_rate_limited_candidate(progress) {
            return None;
        }
        if needs_slot && self.router.permits.has_waiters(&self.service) {
            return self.wait_for_permit(progress).await;
        }
        match self.pick_with_own_permit(progress, scope) {
            Some(choice) => Some(self.with_own_permit(choice)),
            None if needs_slot => self.wait_for_permit(progress).await,
            None if self.has_rate_limited_candidate(progress) => {
                self.wait_for_permit(progress).await
            }
            None => None,
        }
    }

    /// Whether the request is a retry while others wait for a permit: those have not been tried at
    /// all. A stream whose beginning the caller has received is exempt, since it would be lost.
    fn yields_to_waiters(&self, progress: &Progress) -> bool {
        let is_retry = !progress.tried.is_empty() && !progress.response_started;
        is_retry && self.router.permits.has_waiters(&self.service)
    }

    /// The limits that apply to the request now.
    fn scope(&self) -> PermitScope {
        let router = &self.router;
        let (now, service) = (router.now(), &self.service);
        let needs_slot = match self.is_generation() {
            true => router.permits.is_brittle(now, service),
            false => router.permits.enforces_slots(now, service),
        };
        if needs_slot { PermitScope::RateAndSlot } else { PermitScope::Rate }
    }

    fn is_generation(&self) -> bool {
        self.payload.caller.generation.is_some()
    }

    /// Whether an engine that was not tried could be used if it were not for its stated rate.
    fn has_rate_limited_candidate(&self, progress: &Progress) -> bool {
        let availability =
            self.router.permit_availability(&self.service, &self.excluded_engines(progress));
        matches!(availability, PermitAvailability::Available | PermitAvailability::Exhausted { .. })
    }

    /// Waits for a permit and asks other routers for one meanwhile. All attempts together wait no
    /// longer than an eighth of the objective: a refusal within that time costs the caller nothing,
    /// a later one does.
    async fn wait_for_permit(&self, progress: &Progress) -> Option<SelectedEngine> {
        let _waiting = self.router.permits.wait(&self.service);
        let started = Instant::now();
        let until = self.deadline.timer().min(started + self.permit_wait_left.get());
        let selected = self.acquire_permit_until(progress, until).await;
        self.permit_wait_left.set(self.permit_wait_left.get().saturating_sub(started.elapsed()));
        selected
    }

    async fn acquire_permit_until(
        &self,
        progress: &Progress,
        until: Instant,
    ) -> Option<SelectedEngine> {
        let pool = &self.router.permits;
        let scope = self.scope();
        let tried = self.excluded_engines(progress);
        let mut asked_lenders = Vec::new();
        while Instant::now() < until
            && self.router.availability(&self.service) == ServiceAvailability::Available
        {
            if let Some(choice) = self.pick_with_own_permit(progress, scope) {
                return Some(self.with_own_permit(choice));
            }
            if scope == PermitScope::Rate && !self.permit_expected_by(until, &tried) {
                return None;
            }
            let mut lenders =
                self.router.lenders(&self.service, scope, &tried, self.request_hash());
            lenders.retain(|lender| !asked_lenders.contains(lender));
            if let Some(lender) =
                lenders.first().filter(|_| asked_lenders.len() < max_lenders(scope))
            {
                asked_lenders.push(*lender);
                let end = self.deadline.timer();
                let borrowing =
                    self.router.borrow_permit(*lender, &self.service, scope, &tried, end, until);
                // The lender knows only some of the engines that the request can't use.
                let lent = borrowing.await.filter(|(engine, _)| self.fits_stream(engine));
                if let Some((engine, permit)) = lent {
                    let choice = self.pick_lent(progress, engine);
                    return Some(SelectedEngine { choice, permit });
                }
                continue;
            }
            let next_check = until.min(Instant::now() + PERMIT_CHECK_INTERVAL);
            // The permits decide, whether a notification or the timeout ended the wait.
            let _ = timeout_at(next_check, pool.freed.notified()).await;
        }
        None
    }

    /// Whether a rate permit may become available by `until`, for an engine that was not tried.
    fn permit_expected_by(&self, until: Instant, tried: &[BackEndName]) -> bool {
        match self.router.permit_availability(&self.service, tried) {
            PermitAvailability::Unlimited => false,
            PermitAvailability::Available => true,
            PermitAvailability::Exhausted { soonest, .. } => {
                Instant::now() + Duration::from_millis(soonest.0) <= until
            }
        }
    }

    fn with_own_permit(&self, choice: EngineChoice) -> SelectedEngine {
        // Slots are counted even while they are not enforced, so that enforcement starts with the
        // slots in use.
        let permit = Permit::own(&self.router, &choice.engine, PermitScope::RateAndSlot);
        SelectedEngine { choice, permit }
    }

    /// The best engine for which this router has a permit of its own.
    fn pick_with_own_permit(
        &self,
        progress: &Progress,
        scope: PermitScope,
    ) -> Option<EngineChoice> {
        let now = self.router.now();
        let has_room = |engine: &EngineRecord| self.router.permits.has_room(now, engine, scope);
        if self.router.is_connected_to_leader() {
            return self.pick(progress, &has_room);
        }
        // Departures may have been missed.
        let stays = |engine: &EngineRecord| !self.router.may_be_leaving(&engine.notice.engine);
        self.pick(progress, &|engine| has_room(engine) && stays(engine))
            .or_else(|| self.pick(progress, &has_room))
    }

    /// The engine for which another router has lent a permit, with the expected placement of a
    /// generation there.
    fn pick_lent(&self, progress: &Progress, engine: EngineRecord) -> EngineChoice {
        let is_lent = |one: &EngineRecord| one.notice.engine == engine.notice.engine;
        let picked = self.pick(progress, &is_lent);
        let standing = Standing::Good;
        picked.unwrap_or(EngineChoice { engine, placement: None, expected: None, standing })
    }

    /// Selects another engine to be asked beside the silent ones, and counts it against the retry
    /// budget. It must have capacity to spare: a permit of this router without a wait, and the
    /// objective met.
    pub fn select_hedge(
        &self,
        progress: &Progress,
        may_be_silent: bool,
    ) -> Result<SelectedEngine, NoRetry> {
        let progress = self.hedge_progress(progress, may_be_silent);
        self.check_retry(&progress)?;
        let choice = self.pick_hedge(&progress)?;
        self.count_retry()?;
        Ok(self.with_own_permit(choice))
    }

    fn pick_hedge(&self, progress: &Progress) -> Result<EngineChoice, NoRetry> {
        // Engines of which nothing is expected may be as silent as those that are known to be.
        let is_other = |engine: &BackEndName| !progress.tried.contains(engine);
        let others_are_silent = progress.silent.iter().any(is_other);
        if others_are_silent
            && self.router.engines_heard_within(&self.service, MAX_ENGINE_SILENCE) == 0
        {
            return Err(NoRetry::EnginesSilent);
        }
        let none_left = match progress.silent.is_empty() {
            true => NoRetry::NoEngine,
            false => NoRetry::EnginesSilent,
        };
        let choice = self.pick_with_own_permit(progress, self.scope()).ok_or(none_left)?;
        let estimate = choice.placement.as_ref().map(|placement| placement.estimate);
        let expected_ms = estimate.map_or(0.0, |estimate| estimate.first_event_ms);
        if expected_ms > self.route.objective.0 as f64 {
            return Err(NoRetry::EnginesLoaded);
        }
        Ok(choice)
    }

    /// The best engine among those that `has_room` accepts.
    fn pick(
        &self,
        progress: &Progress,
        has_room: &dyn Fn(&EngineRecord) -> bool,
    ) -> Option<EngineChoice> {
        let directory = self.router.directory.borrow();
        let now = self.router.now();
        let tried = self.excluded_engines(progress);
        let generation = self.payload.caller.generation;
        let prefix_hash = generation.and_then(|generation| generation.prefix_hash);
        let query = PickQuery {
            service: &self.service,
            prefix_hash: prefix_hash.filter(|_| self.route.sticky),
            work: generation.map(|generation| self.work(generation)),
            tried: &tried,
            has_room,
            is_retry: !progress.tried.is_empty(),
            tie_breaker: self.request_hash(),
        };
        self.router.picker.borrow().pick_with_memory(now, &directory, &query, self.memory_demand())
    }

    fn work(&self, generation: Generation) -> GenerationWork {
        GenerationWork {
            shared: generation.shared,
            own: generation.prompt - generation.shared,
            objective: self.route.objective,
            gap_objective: self.gap_objective(),
        }
    }
}
