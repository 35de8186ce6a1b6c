//! Chooses the engine for an attempt, and the slot that the request takes there.

use crate::attempt::Chosen;
use crate::dialect::Generation;
use crate::request::{Progress, RequestContext};
use crate::slots::Slot;
use stackpost_gateway_core::{Choice, PickQuery, Route, ServiceOutlook, Standing, Work};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait for a free slot, in thousandths of the objective: an eighth.
const SLOT_WAIT_PERMILLE: u64 = 125;
/// Time between two looks for a free slot if none is told of: an engine's rest may be over.
const SLOT_LOOK: Duration = Duration::from_millis(10);

/// How long a request of a route may wait for slots.
pub(crate) fn longest_slot_wait(route: &Route) -> Duration {
    Duration::from_millis(route.objective.0 * SLOT_WAIT_PERMILLE / 1_000)
}

impl RequestContext {
    /// The engine for the next attempt. While the service is held to its engines' slots, a request that is no
    /// generation waits for a free one; engines queue generations themselves and tell of their load otherwise.
    pub async fn choose(&self, progress: &Progress) -> Option<Chosen> {
        let desk = &self.router.slots;
        if self.payload.caller.generation.is_some() {
            let choice = self.next_engine(progress, false)?;
            return Some(Chosen { choice, slot: None });
        }
        let is_held = desk.is_held(self.router.now(), &self.service);
        if is_held && desk.is_awaited(&self.service) {
            return self.wait_for_slot(progress).await;
        }
        match self.next_engine(progress, is_held) {
            Some(choice) => Some(self.with_own_slot(choice)),
            None if is_held => self.wait_for_slot(progress).await,
            None => None,
        }
    }

    /// Waits for a slot, and asks other routers for one meanwhile. No longer than an eighth of the objective in all
    /// attempts together: a refusal up to then costs the caller nothing, one that comes later does.
    async fn wait_for_slot(&self, progress: &Progress) -> Option<Chosen> {
        let desk = &self.router.slots;
        let _waiting = desk.wait(&self.service);
        let begun = Instant::now();
        let until = self.deadline.timer().min(begun + self.slot_wait_left.get());
        let chosen = self.slot_until(progress, until).await;
        self.slot_wait_left.set(self.slot_wait_left.get().saturating_sub(begun.elapsed()));
        chosen
    }

    async fn slot_until(&self, progress: &Progress, until: Instant) -> Option<Chosen> {
        let desk = &self.router.slots;
        let tried = progress.all();
        let mut lenders = desk.lenders(self.router.now(), self.lot()).into_iter();
        while Instant::now() < until && self.router.outlook(&self.service) == ServiceOutlook::Open {
            if let Some(choice) = self.next_engine(progress, true) {
                return Some(self.with_own_slot(choice));
            }
            if let Some(lender) = lenders.next() {
                let end = self.deadline.timer();
                let lent = self.router.borrow_slot(lender, &self.service, &tried, end, until).await;
                if let Some((engine, slot)) = lent {
                    let choice = Choice { engine, placement: None, standing: Standing::Good };
                    return Some(Chosen { choice, slot: Some(slot) });
                }
                continue;
            }
            let next_look = until.min(Instant::now() + SLOT_LOOK);
            // Whether it was rung or not, the slots decide.
            let _ = timeout_at(next_look, desk.freed.notified()).await;
        }
        None
    }

    fn with_own_slot(&self, choice: Choice) -> Chosen {
        let slot = Slot::own(&self.router, &choice.engine.notice.engine);
        Chosen { choice, slot: Some(slot) }
    }

    /// The best engine; with `free_only` among those of which this router has a free slot.
    fn next_engine(&self, progress: &Progress, free_only: bool) -> Option<Choice> {
        let directory = self.router.directory.borrow();
        let now = self.router.now();
        let mut tried = progress.all();
        if free_only {
            let of_service = directory.iter().filter(|one| one.notice.service == self.service);
            let full = of_service.filter(|one| !self.router.slots.has_free(now, one));
            tried.extend(full.map(|one| one.notice.engine.clone()));
        }
        let generation = self.payload.caller.generation;
        let subject = generation.and_then(|generation| generation.subject);
        let query = PickQuery {
            service: &self.service,
            subject: subject.filter(|_| self.route.sticky),
            work: generation.map(|generation| self.work(generation)),
            tried: &tried,
            is_repeat: !progress.tried.is_empty(),
            tie_breaker: self.lot(),
        };
        self.router.picker.borrow().pick(now, &directory, &query)
    }

    fn work(&self, generation: Generation) -> Work {
        Work {
            shared: generation.shared,
            own: generation.prompt - generation.shared,
            objective: self.route.objective,
            gap_objective: self.gap_objective(),
        }
    }
}
