//! Chooses the engine for an attempt, and takes the permit to send the request there.
//!
//! Every request that reaches an engine passes here: first attempts, repeats and streams that are taken up again.

use crate::attempt::SelectedEngine;
use crate::header_codec::Generation;
use crate::permits::{MAX_LENDERS, MAX_OWNERS, Permit};
use crate::request::{Progress, RequestContext};
use stackpost_gateway_core::{
    EngineChoice, EngineRecord, GenerationWork, PermitAvailability, PermitScope, PickQuery, Route,
    ServiceAvailability, Standing,
};
use stackpost_types::BackEndName;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait for a permit, in thousandths of the objective: an eighth.
const PERMIT_WAIT_PERMILLE: u64 = 125;
/// Time between two looks for a permit if none is told of: an engine's rest may be over, or its bucket filled.
const PERMIT_LOOK: Duration = Duration::from_millis(10);

/// How long a request of a route may wait for permits.
pub(crate) fn max_permit_wait(route: &Route) -> Duration {
    Duration::from_millis(route.objective.0 * PERMIT_WAIT_PERMILLE / 1_000)
}

/// Routers that one request may ask for a permit.
fn most_asked(scope: PermitScope) -> usize {
    match scope {
        PermitScope::Rate => MAX_OWNERS,
        PermitScope::RateAndSlot => MAX_LENDERS,
    }
}

impl RequestContext {
    /// The engine for the next attempt. While the service is held to its engines' slots, or its engines state rates, a
    /// request waits for a permit. Generations are held to rates only: engines queue them and tell of their load otherwise.
    pub async fn select_engine(&self, progress: &Progress) -> Option<SelectedEngine> {
        let chosen = self.choose_permitted(progress).await;
        let mut shedding = self.router.shedding.borrow_mut();
        match &chosen {
            Some(_) => shedding.on_permit(&self.service),
            None => shedding.on_no_permit(self.router.now(), &self.service),
        }
        chosen
    }

    async fn choose_permitted(&self, progress: &Progress) -> Option<SelectedEngine> {
        let scope = self.scope();
        let is_held = scope == PermitScope::RateAndSlot;
        if self.gives_way(progress) && self.has_limited_left(progress) {
            return None;
        }
        if is_held && self.router.permits.has_waiters(&self.service) {
            return self.wait_for_permit(progress).await;
        }
        match self.next_engine(progress, scope) {
            Some(choice) => Some(self.with_own_permit(choice)),
            None if is_held => self.wait_for_permit(progress).await,
            None if self.has_limited_left(progress) => self.wait_for_permit(progress).await,
            None => None,
        }
    }

    /// Whether the request has been at an engine and others wait for a permit: what they ask for has not been tried at all. A
    /// stream that the caller has the beginning of goes on, since it would be lost.
    fn gives_way(&self, progress: &Progress) -> bool {
        let is_retry = !progress.tried.is_empty() && !progress.response_started;
        is_retry && self.router.permits.has_waiters(&self.service)
    }

    /// What the request is held to now.
    fn scope(&self) -> PermitScope {
        let router = &self.router;
        if !self.is_generation() && router.permits.enforces_slots(router.now(), &self.service) {
            PermitScope::RateAndSlot
        } else {
            PermitScope::Rate
        }
    }

    fn is_generation(&self) -> bool {
        self.payload.caller.generation.is_some()
    }

    /// Whether an engine to which the request was not sent could be asked if it were not for the rate that it states.
    fn has_limited_left(&self, progress: &Progress) -> bool {
        let left = self.router.permit_outlook(&self.service, &progress.excluded_engines());
        matches!(left, PermitAvailability::Available | PermitAvailability::Spent { .. })
    }

    /// Waits for a permit, and asks other routers for one meanwhile. No longer than an eighth of the objective in all
    /// attempts together: a refusal up to then costs the caller nothing, one that comes later does.
    async fn wait_for_permit(&self, progress: &Progress) -> Option<SelectedEngine> {
        let _waiting = self.router.permits.wait(&self.service);
        let begun = Instant::now();
        let until = self.deadline.timer().min(begun + self.permit_wait_left.get());
        let chosen = self.permit_until(progress, until).await;
        self.permit_wait_left.set(self.permit_wait_left.get().saturating_sub(begun.elapsed()));
        chosen
    }

    async fn permit_until(&self, progress: &Progress, until: Instant) -> Option<SelectedEngine> {
        let pool = &self.router.permits;
        let scope = self.scope();
        let tried = progress.excluded_engines();
        let mut asked = Vec::new();
        while Instant::now() < until
            && self.router.availability(&self.service) == ServiceAvailability::Available
        {
            if let Some(choice) = self.next_engine(progress, scope) {
                return Some(self.with_own_permit(choice));
            }
            if scope == PermitScope::Rate && !self.comes_by(until, &tried) {
                return None;
            }
            let mut lenders =
                self.router.lenders(&self.service, scope, &tried, self.request_hash());
            lenders.retain(|lender| !asked.contains(lender));
            if let Some(lender) = lenders.first().filter(|_| asked.len() < most_asked(scope)) {
                asked.push(*lender);
                let end = self.deadline.timer();
                let asking =
                    self.router.borrow_permit(*lender, &self.service, scope, &tried, end, until);
                if let Some((engine, permit)) = asking.await {
                    let choice = self.pick_only(progress, engine);
                    return Some(SelectedEngine { choice, permit });
                }
                continue;
            }
            let next_look = until.min(Instant::now() + PERMIT_LOOK);
            // Whether it was rung or not, the permits decide.
            let _ = timeout_at(next_look, pool.freed.notified()).await;
        }
        None
    }

    /// Whether a permit by a rate may come by `until`, for an engine to which the request was not sent.
    fn comes_by(&self, until: Instant, tried: &[BackEndName]) -> bool {
        match self.router.permit_outlook(&self.service, tried) {
            PermitAvailability::Unlimited => false,
            PermitAvailability::Available => true,
            PermitAvailability::Spent { soonest, .. } => {
                Instant::now() + Duration::from_millis(soonest.0) <= until
            }
        }
    }

    fn with_own_permit(&self, choice: EngineChoice) -> SelectedEngine {
        // Slots count even while nothing is held to them, so that counting begins with what is in use.
        let scope = if self.is_generation() { PermitScope::Rate } else { PermitScope::RateAndSlot };
        let permit = Permit::own(&self.router, &choice.engine.notice.engine, scope);
        SelectedEngine { choice, permit }
    }

    /// The best engine among those that this router may send to without asking another one.
    fn next_engine(&self, progress: &Progress, scope: PermitScope) -> Option<EngineChoice> {
        let now = self.router.now();
        self.pick(progress, &|engine| self.router.permits.has_room(now, engine, scope))
    }

    /// The engine for which another router has given a permit, with what a generation is expected to meet there.
    fn pick_only(&self, progress: &Progress, engine: EngineRecord) -> EngineChoice {
        let is_given = |one: &EngineRecord| one.notice.engine == engine.notice.engine;
        let picked = self.pick(progress, &is_given);
        picked.unwrap_or(EngineChoice { engine, placement: None, standing: Standing::Good })
    }

    /// The best engine among those that `has_room` lets pass.
    fn pick(
        &self,
        progress: &Progress,
        has_room: &dyn Fn(&EngineRecord) -> bool,
    ) -> Option<EngineChoice> {
        let directory = self.router.directory.borrow();
        let now = self.router.now();
        let tried = progress.excluded_engines();
        let generation = self.payload.caller.generation;
        let subject = generation.and_then(|generation| generation.subject);
        let query = PickQuery {
            service: &self.service,
            subject: subject.filter(|_| self.route.sticky),
            work: generation.map(|generation| self.work(generation)),
            tried: &tried,
            has_room,
            is_retry: !progress.tried.is_empty(),
            tie_breaker: self.request_hash(),
        };
        self.router.picker.borrow().pick(now, &directory, &query)
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
