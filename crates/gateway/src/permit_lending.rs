//! Gives permits to other routers.

use crate::permits::{LentSlot, PermitMessage, PermitReply};
use crate::router::Router;
use stackpost_gateway_core::{EnginePermits, EngineRecord, EngineState, PermitScope};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp};
use std::net::SocketAddr;

impl Router {
    /// Takes in what another router says of permits.
    pub(crate) fn on_permit_message(&self, from: SocketAddr, message: PermitMessage) {
        let pool = &self.permits;
        match message {
            PermitMessage::Request { token, service, needs_slot, unusable, needed, rates } => {
                let better = self.newer_rates(&rates);
                self.on_rates_received(&rates);
                let scope = if needs_slot { PermitScope::RateAndSlot } else { PermitScope::Rate };
                let engine = self.lend(from, token, &service, scope, &unusable, needed);
                let exhausted_for =
                    if engine.is_none() { self.exhausted_for(&service, &unusable) } else { None };
                pool.send(
                    from,
                    PermitMessage::Reply { token, engine, exhausted_for, rates: better },
                );
            }
            PermitMessage::Reply { token, engine, exhausted_for, rates } => {
                let awaiting_reply = pool.awaiting_reply.borrow_mut().remove(&token);
                let is_lent = engine.is_some();
                let answer = PermitReply { engine, exhausted_for, rates };
                // The request may have given up waiting.
                let came_late = awaiting_reply
                    .is_none_or(|awaiting_reply| awaiting_reply.send(answer).is_err());
                if came_late && is_lent {
                    pool.send(from, PermitMessage::Return { token });
                }
            }
            PermitMessage::Return { token } => {
                if let Some(lent) = pool.lent.borrow_mut().remove(&(from, token)) {
                    pool.release_slot(&lent.engine);
                }
            }
            PermitMessage::Rates { rates, compare } => {
                let better = if compare { self.newer_rates(&rates) } else { Vec::new() };
                self.on_rates_received(&rates);
                if !better.is_empty() {
                    pool.send(from, PermitMessage::Rates { rates: better, compare: false });
                }
            }
        }
    }

    /// Time until this router has a permit by a rate to give; `None` if it owns no engine that would do.
    fn exhausted_for(&self, service: &ServiceName, unusable: &[BackEndName]) -> Option<Millis> {
        let directory = self.directory.borrow();
        let would_do = |engine: &BackEndName| {
            let record = directory.get(engine);
            record.is_some_and(|record| record.notice.service == *service)
                && !unusable.contains(engine)
        };
        self.permits.permits.borrow_mut().next_owned_permit(self.now(), would_do)
    }

    /// Gives a permit for the engine of which this router has most free slots, unless requests of its own wait for one.
    /// Engines that have asked this router for rest come first: they are of no use here, and a rest binds one router
    /// only.
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
        let own_wait = pool.has_waiters(service);
        let (directory, picker) = (self.directory.borrow(), self.picker.borrow());
        let is_usable = |record: &&EngineRecord| {
            record.notice.service == *service
                && record.notice.state == EngineState::Ready
                && !unusable.contains(&record.notice.engine)
        };
        // Only owned engines have permits by a rate alone to give; there are few of them where there are many routers.
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
            let rests_here = !picker.is_available(now, engine);
            let gives = self.gives(&mut permits, now, record, scope);
            let free = permits.free_slots(now, record);
            (gives && (rests_here || !own_wait)).then_some((rests_here, free, engine))
        });
        let (_, _, engine) = offers.max()?;
        permits.take(now, engine, scope);
        if scope == PermitScope::RateAndSlot {
            let lent = LentSlot { engine: engine.clone(), until: now + needed };
            pool.lent.borrow_mut().insert((borrower, token), lent);
        }
        Some(engine.clone())
    }

    /// Whether this router answers for an engine and has room there. Nobody needs a permit for an engine that states no rate
    /// unless slots are counted.
    fn gives(
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
