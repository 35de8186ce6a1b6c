//! Permits to send requests to engines: own ones, and ones that other routers give.
//!
//! While a service is held to its engines' slots, or its engines state rates, a request waits for a permit for a moment
//! instead of being sent where it would be too much. With engines of one slot that ask for three seconds of rest
//! (twelve, six routers, requests of 50 ms) this is what lets rests be kept and callers be served: figures in
//! docs/BENCHMARKS.md.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{
    EngineDirectory, EnginePermits, EngineRecord, EngineState, PermitAvailability, PermitScope,
    RateChange, RateStatement, RateUpdate, Standing,
};
use stackpost_types::{BackEndName, Millis, RequestRate, ServiceName, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};

/// Longest wait for a lender: some times the way there and back between zones (2 ms), and less than a request waits.
const ANSWER_TIME: Duration = Duration::from_millis(12);
/// Routers that one request may ask for a slot: more find few further ones, and each costs two datagrams.
pub(crate) const MAX_LENDERS: usize = 4;
/// Owners of stated rates that one request may ask. Few are enough: an owner that has nothing says until when, so that
/// requests do not ask it before.
pub(crate) const MAX_OWNERS: usize = 2;
/// Most engines that one datagram names as of no use, so that it fits one packet.
const MOST_UNUSABLE: usize = 32;

/// What routers say of permits.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PermitMessage {
    /// Give me a permit of yours.
    Request {
        /// Names the permit among those of the asker.
        token: u64,
        service: ServiceName,
        /// Whether a free slot is needed, too.
        needs_slot: bool,
        /// Engines that are of no use to the request: it was sent there, or they have asked the asker for rest.
        unusable: Vec<BackEndName>,
        /// How long the slot is needed at most.
        needed: Millis,
        /// What the asker knows of the rates of engines that the other router owns.
        rates: Vec<RateUpdate>,
    },
    /// Answer to `Request`.
    Reply {
        token: u64,
        /// The engine, if there is one.
        engine: Option<BackEndName>,
        /// For how long there will be no permit by a rate, if that is known.
        exhausted_for: Option<Millis>,
        /// What the asker does not know yet of the rates that it told of.
        rates: Vec<RateUpdate>,
    },
    /// The slot is no longer needed.
    Return { token: u64 },
    /// Statements of engines' rates. An owner answers those that it knows better.
    Rates { rates: Vec<RateUpdate>, compare: bool },
}

/// What a lender answers.
pub(crate) struct PermitReply {
    pub engine: Option<BackEndName>,
    pub exhausted_for: Option<Millis>,
    pub rates: Vec<RateUpdate>,
}

/// A slot that this router has lent.
pub(crate) struct LentSlot {
    pub engine: BackEndName,
    /// When the request is over in any case, should its return be lost.
    pub until: Timestamp,
}

/// A router's permits.
pub(crate) struct PermitPool {
    pub permits: RefCell<EnginePermits>,
    /// Rung when a slot is free again.
    pub freed: Notify,
    waiting: RefCell<HashMap<ServiceName, usize>>,
    pub lent: RefCell<HashMap<(SocketAddr, u64), LentSlot>>,
    pub awaiting_reply: RefCell<HashMap<u64, oneshot::Sender<PermitReply>>>,
    next_token: Cell<u64>,
    socket: RefCell<Option<Rc<PeerSocket>>>,
}

impl Default for PermitPool {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            permits: RefCell::new(EnginePermits::new(nowhere)),
            freed: Notify::new(),
            waiting: RefCell::default(),
            lent: RefCell::default(),
            awaiting_reply: RefCell::default(),
            next_token: Cell::new(0),
            socket: RefCell::default(),
        }
    }
}

/// Leave to send a request to an engine. Dropped, the slot that it holds there is free again; what it has taken of
/// the engine's rate is spent.
pub(crate) struct Permit {
    router: Rc<Router>,
    source: Source,
}

enum Source {
    Own(BackEndName),
    Borrowed { lender: SocketAddr, token: u64 },
}

impl Permit {
    /// Takes this router's own permit for an engine, whether there is room or not. `None` if nothing is to be given back.
    pub fn own(router: &Rc<Router>, engine: &BackEndName, scope: PermitScope) -> Option<Self> {
        router.permits.permits.borrow_mut().take(router.now(), engine, scope);
        let source = Source::Own(engine.clone());
        (scope == PermitScope::RateAndSlot).then(|| Self { router: router.clone(), source })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let pool = &self.router.permits;
        match &self.source {
            Source::Own(engine) => pool.release_slot(engine),
            Source::Borrowed { lender, token } => {
                pool.send(*lender, PermitMessage::Return { token: *token });
            }
        }
    }
}

/// A request that waits for a permit for a service.
pub(crate) struct PermitWait<'a> {
    pool: &'a PermitPool,
    service: &'a ServiceName,
}

impl Drop for PermitWait<'_> {
    fn drop(&mut self) {
        let mut waiting = self.pool.waiting.borrow_mut();
        if let Some(requests) = waiting.get_mut(self.service) {
            *requests -= 1;
        }
    }
}

impl PermitPool {
    /// Connects the pool with other routers, which know this one by `own`. `life` names this life of the router: what
    /// the one before had borrowed is not taken for its own.
    pub fn open(&self, life: u64, own: SocketAddr, socket: Rc<PeerSocket>) {
        self.next_token.set(life);
        *self.permits.borrow_mut() = EnginePermits::new(own);
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Takes over which other routers there are.
    pub fn set_others(&self, now: Timestamp, others: &[SocketAddr]) {
        self.permits.borrow_mut().set_others(now, others);
    }

    /// An engine of a service has asked for rest.
    pub fn on_backoff(&self, now: Timestamp, service: &ServiceName) {
        self.permits.borrow_mut().slots().on_backoff(now, service);
    }

    /// Whether what is sent to a service is held to its engines' slots.
    pub fn enforces_slots(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.permits.borrow_mut().slots().is_slot_limited(now, service)
    }

    /// Whether this router may send a request to an engine without asking another one.
    pub fn has_room(&self, now: Timestamp, engine: &EngineRecord, scope: PermitScope) -> bool {
        self.permits.borrow_mut().has_room(now, engine, scope)
    }

    /// Takes in what the answer to a request that was sent at `asked_at` says of its engine's rate.
    pub fn learn(
        &self,
        now: Timestamp,
        engine: &BackEndName,
        asked_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        self.permits.borrow_mut().learn(now, engine, asked_at, statement)
    }

    /// Whether an engine states a rate.
    pub fn is_rate_limited(&self, engine: &BackEndName) -> bool {
        self.permits.borrow().rates().rate(engine).is_some()
    }

    /// What an engine has stated last.
    pub fn statement(&self, now: Timestamp, engine: &BackEndName) -> Option<RateUpdate> {
        self.permits.borrow().rates().update_for(now, engine)
    }

    /// Engines that state a rate.
    pub fn rate_limited_engines(&self) -> usize {
        self.permits.borrow().rates().limited().count()
    }

    /// Whether requests wait for a permit for a service: who comes later, or from elsewhere, does not pass them.
    pub fn has_waiters(&self, service: &ServiceName) -> bool {
        self.waiting.borrow().get(service).is_some_and(|requests| *requests > 0)
    }

    /// Counts a request that waits, until what is returned is dropped.
    pub fn wait<'a>(&'a self, service: &'a ServiceName) -> PermitWait<'a> {
        *self.waiting.borrow_mut().entry(service.clone()).or_default() += 1;
        PermitWait { pool: self, service }
    }

    /// Forgets engines that the directory no longer knows, takes back slots whose return was lost, and forgets questions that nobody waits for any more: their caller has gone
    /// and the router that was asked may never answer.
    pub fn forget_old(&self, now: Timestamp, directory: &EngineDirectory) {
        self.permits.borrow_mut().forget_unknown(directory);
        self.awaiting_reply.borrow_mut().retain(|_, reply| !reply.is_closed());
        let is_over = |lent: &LentSlot| lent.until <= now;
        let over: Vec<LentSlot> = self
            .lent
            .borrow_mut()
            .extract_if(|_, lent| is_over(lent))
            .map(|(_, lent)| lent)
            .collect();
        over.iter().for_each(|lent| self.release_slot(&lent.engine));
    }

    pub fn release_slot(&self, engine: &BackEndName) {
        self.permits.borrow_mut().slots().release_slot(engine);
        self.freed.notify_waiters();
    }

    pub fn send(&self, to: SocketAddr, message: PermitMessage) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.send(to, &PeerDatagram::Permit(message));
        }
    }
}

impl Router {
    /// Asks another router for a permit that a request needs until `deadline`. The engine is one that this router knows; the
    /// permit is `None` if nothing is to be given back.
    pub(crate) async fn borrow_permit(
        self: &Rc<Self>,
        lender: SocketAddr,
        service: &ServiceName,
        scope: PermitScope,
        tried: &[BackEndName],
        deadline: Instant,
        wait_until: Instant,
    ) -> Option<(EngineRecord, Option<Permit>)> {
        let pool = &self.permits;
        let token = pool.next_token.get();
        pool.next_token.set(token.wrapping_add(1));
        let (reply, answer) = oneshot::channel();
        pool.awaiting_reply.borrow_mut().insert(token, reply);
        let question = PermitMessage::Request {
            token,
            service: service.clone(),
            needs_slot: scope == PermitScope::RateAndSlot,
            unusable: self.unusable(service, tried),
            needed: Millis(deadline.saturating_duration_since(Instant::now()).as_millis() as u64),
            rates: self.rates_owned_by(lender, service),
        };
        pool.send(lender, question);
        self.metrics.on_permit_requested();
        let until = wait_until.min(Instant::now() + ANSWER_TIME);
        let answered = timeout_at(until, answer).await;
        pool.awaiting_reply.borrow_mut().remove(&token);
        let Ok(answered) = answered else {
            if until < wait_until {
                pool.permits.borrow_mut().slots().on_no_answer(self.now(), lender);
            }
            return None;
        };
        let PermitReply { engine, exhausted_for, rates } = answered.ok()?;
        self.on_rates_received(&rates);
        if let Some(wait) = exhausted_for {
            pool.permits.borrow_mut().on_spent(self.now(), lender, service, wait);
        }
        let engine = engine?;
        self.metrics.on_permit_borrowed();
        let source = Source::Borrowed { lender, token };
        let is_returned = scope == PermitScope::RateAndSlot;
        let permit = is_returned.then(|| Permit { router: self.clone(), source });
        if !pool.permits.borrow_mut().accepts_permit_from(lender, &engine) {
            return None;
        }
        let record = self.directory.borrow().get(&engine).cloned();
        record.filter(|record| self.may_be_asked(record)).map(|record| (record, permit))
    }

    /// What a request for a service that was sent to `tried` can expect, as far as its engines state what they take.
    pub(crate) fn permit_outlook(
        &self,
        service: &ServiceName,
        tried: &[BackEndName],
    ) -> PermitAvailability {
        let directory = self.directory.borrow();
        let open = directory.iter().filter(|record| self.is_available(record, service));
        let open = open.filter(|record| !tried.contains(&record.notice.engine));
        self.permits.permits.borrow_mut().availability(self.now(), open)
    }

    /// Rates of a service's engines that this router owns, together.
    pub(crate) fn owned_rate(&self, service: &ServiceName) -> RequestRate {
        let directory = self.directory.borrow();
        let is_available = |engine: &BackEndName| {
            directory.get(engine).is_some_and(|record| self.is_available(record, service))
        };
        self.permits.permits.borrow().owned_rate(is_available)
    }

    /// Routers to ask for a permit for a service, for a request that was sent to `tried`.
    pub(crate) fn lenders(
        &self,
        service: &ServiceName,
        scope: PermitScope,
        tried: &[BackEndName],
        lot: u64,
    ) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        let open = directory.iter().filter(|record| self.is_available(record, service));
        let open = open.filter(|record| !tried.contains(&record.notice.engine));
        self.permits.permits.borrow_mut().lenders(self.now(), lot, scope, open)
    }

    /// Whether an engine is one of a service and may be asked, as far as it has said itself.
    fn is_available(&self, record: &EngineRecord, service: &ServiceName) -> bool {
        record.notice.service == *service
            && record.notice.state == EngineState::Ready
            && self.picker.borrow().is_available(self.now(), &record.notice.engine)
    }

    /// Engines of a service that a request which was sent to `tried` can't use.
    fn unusable(&self, service: &ServiceName, tried: &[BackEndName]) -> Vec<BackEndName> {
        let directory = self.directory.borrow();
        let of_service = directory.iter().filter(|record| record.notice.service == *service);
        let closed = of_service.filter(|record| !self.may_be_asked(record));
        let closed = closed.map(|record| &record.notice.engine);
        tried.iter().chain(closed).take(MOST_UNUSABLE).cloned().collect()
    }

    /// Whether an engine is worth a question: it takes work and has not failed here of late.
    fn may_be_asked(&self, engine: &EngineRecord) -> bool {
        let (now, picker) = (self.now(), self.picker.borrow());
        let is_silent = self.directory.borrow().is_silent(&engine.notice.engine);
        engine.notice.state == EngineState::Ready
            && picker.is_available(now, &engine.notice.engine)
            && picker.standing(now, engine, is_silent) != Standing::Failing
    }
}
