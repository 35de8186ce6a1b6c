//! Lends permits to other routers.

use crate::permits::{LentSlot, PermitMessage, PermitReply};
use crate::router::Router;
use stackpost_gateway_core::{EnginePermits, EngineRecord, PermitScope};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp};
use std::net::SocketAddr;

impl Router {
    /// Handles a permit message of another router.
    pub(crate) fn on_permit_message(&self, from: SocketAddr, message: PermitMessage) {
        let pool = &self.permits;
        match message {
            PermitMessage::Request { token, service, needs_slot, unusable, needed, rates } => {
                let newer = self.newer_rates(&rates);
                self.on_rates_received(&rates);
                let scope = if needs_slot { PermitScope::RateAndSlot } else { PermitScope::Rate };
                let engine = self.lend(from, token, &service, scope, &unusable, needed);
                let exhausted_for =
                    if engine.is_none() { self.exhausted_for(&service, &unusable) } else { None };
                pool.send(
                    from,
                    PermitMessage::Reply { token, engine, exhausted_for, rates: newer },
                );
            }
            PermitMessage::Reply { token, engine, exhausted_for, rates } => {
                let awaiting_reply = pool.awaiting_reply.borrow_mut().remove(&token);
                let is_lent = engine.is_some();
                let reply = PermitReply { engine, exhausted_for, rates };
                // The request may no longer wait.
                let is_late =
                    awaiting_reply.is_none_or(|awaiting_reply| awaiting_reply.send(reply).is_err());
                if is_late && is_lent {
                    pool.send(from, PermitMessage::Return { token });
                }
            }
            PermitMessage::Return { token } => {
                if let Some(lent) = pool.lent.borrow_mut().remove(&(from, token)) {
                    pool.release_slot(&lent.engine);
                }
            }
            PermitMessage::BrittleRejection { engine } => self.on_rejected_elsewhere(&engine),
            PermitMessage::Rates { rates, compare } => {
                let newer = if compare { self.newer_rates(&rates) } else { Vec::new() };
                self.on_rates_received(&rates);
                if !newer.is_empty() {
                    pool.send(from, PermitMessage::Rates { rates: newer, compare: false });
                }
            }
        }
    }

    /// Time until this router has a rate permit to lend; `None` if it owns no suitable engine.
    fn exhausted_for(&self, service: &ServiceName, unusable: &[BackEndName]) -> Option<Millis> {
        let directory = self.directory.borrow();
        let is_suitable = |engine: &BackEndName| {
            let record = directory.get(engine);
            record.is_some_and(|record| record.notice.service == *service)
                && !unusable.contains(engine)
        };
        self.permits.permits.borrow_mut().next_owned_permit(self.now(), is_suitable)
    }

    /// Lends a permit for the engine of which this router has most free slots, unless requests of
    /// its own wait for one. Engines that have asked this router for a backoff come first: it can't
    /// use them itself, and a backoff applies to one router only.
    fn lend(
        &self,
        borrower: SocketAddr,
        token: u64,
        service: &ServiceName,
        scope: PermitScope,
        unusable: &[BackEndName],
        needed: Millis,
    ) -> Option<BackEndName> {
        let pool = &self.permits;
        let now = self.now();
        if pool.lent.borrow().contains_key(&(borrower, token)) {
            return None;
        }
        let has_own_waiters = pool.has_waiters(service);
        let (directory, picker) = (self.directory.borrow(), self.picker.borrow());
        let is_usable = |record: &&EngineRecord| {
            record.notice.service == *service
                && directory.is_in_service(record)
                && !unusable.contains(&record.notice.engine)
        };
        // Only owned engines have rate permits to lend; with many routers each owns few engines.
        let usable: Vec<&EngineRecord> = match scope {
            PermitScope::Rate => {
                let owned = pool.permits.borrow().owned();
                let records = owned.iter().filter_map(|engine| directory.get(engine));
                records.filter(is_usable).collect()
            }
            PermitScope::RateAndSlot => directory.iter().filter(is_usable).collect(),
        };
        let mut permits = pool.permits.borrow_mut();
        let offers = usable.into_iter().filter_map(|record| {
            let engine = &record.notice.engine;
            let is_backing_off = !picker.is_available(now, engine);
            let can_lend = self.can_lend(&mut permits, now, record, scope);
            let free = permits.free_slots(now, record);
            (can_lend && (is_backing_off || !has_own_waiters))
                .then_some(((is_backing_off, free, engine), record))
        });
        let ((_, _, engine), record) = offers.max_by_key(|(rank, _)| *rank)?;
        permits.take(now, record, scope);
        if scope == PermitScope::RateAndSlot {
            let lent = LentSlot { engine: engine.clone(), until: now + needed };
            pool.lent.borrow_mut().insert((borrower, token), lent);
        }
        Some(engine.clone())
    }

    /// Whether this router has a permit to lend for an engine. For an engine that states no rate
    /// limit nobody needs a permit unless slots are enforced.
    fn can_lend(
        &self,
        permits: &mut EnginePermits,
        now: Timestamp,
        engine: &EngineRecord,
        scope: PermitScope,
    ) -> bool {
        let is_rate_limited = permits.rates().rate(&engine.notice.engine).is_some();
        (is_rate_limited || scope == PermitScope::RateAndSlot)
            && permits.has_room(now, engine, scope)
    }
}
