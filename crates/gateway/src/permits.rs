//! Permits to send requests to engines: the router's own ones and borrowed ones.
//!
//! While the engines' slots are enforced for a service, or its engines state rate limits, a request
//! waits briefly for a permit instead of being sent to an engine at its limit. With engines of one
//! slot that ask for a backoff of three seconds (twelve engines, six routers, requests of 50 ms),
//! this respects the backoffs and still serves the callers: figures in docs/BENCHMARKS.md.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{
    ColdDelta, EngineDirectory, EnginePermits, EngineRecord, PermitAvailability, PermitScope,
    RateChange, RateStatement, RateUpdate, Standing,
};
use stackpost_types::{BackEndName, Millis, RequestRate, ServiceName, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};

/// Longest wait for a lender's reply: several round trips between zones (2 ms each), and less than
/// a request waits.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Routers that one request may ask for a slot: asking further ones finds few additional free
/// slots, and each costs two datagrams.
pub(crate) const MAX_LENDERS: usize = 4;
/// Owners of rate limits that one request may ask. Few suffice: an owner without a permit states
/// when it will have one, and requests do not ask it before.
pub(crate) const MAX_OWNERS: usize = 2;
/// Maximum number of unusable engines in one datagram, so that it fits one packet.
const MAX_UNUSABLE: usize = 32;

/// Messages about permits between routers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PermitMessage {
    /// Asks for a permit of the receiver.
    Request {
        /// Identifies the permit among those of the sender.
        token: u64,
        service: ServiceName,
        /// Whether a free slot is needed in addition to a rate permit.
        needs_slot: bool,
        /// Engines that the request can't use: it was sent there, or they asked the sender for a
        /// backoff.
        unusable: Vec<BackEndName>,
        /// Longest time for which the slot is needed.
        needed: Millis,
        /// The sender's knowledge of the rate limits of engines that the receiver owns.
        rates: Vec<RateUpdate>,
    },
    /// Reply to `Request`.
    Reply {
        token: u64,
        /// The engine, if a permit was granted.
        engine: Option<BackEndName>,
        /// Time until the next rate permit, if known.
        exhausted_for: Option<Millis>,
        /// Newer statements of the rate limits that the request carried.
        rates: Vec<RateUpdate>,
    },
    /// Returns the slot.
    Return { token: u64 },
    /// Rate limits stated by engines. With `compare` the receiver replies with those of which it
    /// has a newer statement.
    Rates { rates: Vec<RateUpdate>, compare: bool },
    /// A brittle engine rejected a request for want of room.
    BrittleRejection { engine: BackEndName },
}

/// A lender's reply.
pub(crate) struct PermitReply {
    pub engine: Option<BackEndName>,
    pub exhausted_for: Option<Millis>,
    pub rates: Vec<RateUpdate>,
}

/// A slot that this router has lent.
pub(crate) struct LentSlot {
    pub engine: BackEndName,
    /// When the request has ended at the latest, in case its return is lost.
    pub until: Timestamp,
}

/// The permits of this router.
pub(crate) struct PermitPool {
    pub permits: RefCell<EnginePermits>,
    /// Notified when a slot is released.
    pub freed: Notify,
    waiting: RefCell<HashMap<ServiceName, usize>>,
    pub lent: RefCell<HashMap<(SocketAddr, u64), LentSlot>>,
    pub awaiting_reply: RefCell<HashMap<u64, oneshot::Sender<PermitReply>>>,
    next_token: Cell<u64>,
    socket: RefCell<Option<Rc<PeerSocket>>>,
}

impl Default for PermitPool {
    fn default() -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            permits: RefCell::new(EnginePermits::new(unspecified)),
            freed: Notify::new(),
            waiting: RefCell::default(),
            lent: RefCell::default(),
            awaiting_reply: RefCell::default(),
            next_token: Cell::new(0),
            socket: RefCell::default(),
        }
    }
}

/// Permission to send a request to an engine. On drop the slot is released; the part that was taken
/// from the engine's rate limit stays spent.
pub(crate) struct Permit {
    router: Rc<Router>,
    source: Source,
}

enum Source {
    Own(BackEndName),
    Borrowed { lender: SocketAddr, token: u64 },
}

impl Permit {
    /// Takes this router's own permit for an engine, even if none is left. `None` if nothing has to
    /// be released.
    pub fn own(router: &Rc<Router>, engine: &EngineRecord, scope: PermitScope) -> Option<Self> {
        router.permits.permits.borrow_mut().take(router.now(), engine, scope);
        let source = Source::Own(engine.notice.engine.clone());
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

/// Counts a request that waits for a permit for a service.
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
    /// Connects the pool to other routers, which know this one by the address `own`. `incarnation`
    /// identifies this run of the router, so that permits borrowed by the previous run are not
    /// taken for its own.
    pub fn open(&self, incarnation: u64, own: SocketAddr, socket: Rc<PeerSocket>) {
        self.next_token.set(incarnation);
        *self.permits.borrow_mut() = EnginePermits::new(own);
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Sets the other routers of the fleet.
    pub fn set_others(&self, now: Timestamp, others: &[SocketAddr]) {
        self.permits.borrow_mut().set_others(now, others);
    }

    /// Sets the rates of cold engines by service.
    pub fn set_cold_rates(&self, rates: BTreeMap<ServiceName, RequestRate>) {
        self.permits.borrow_mut().set_cold_rates(rates);
    }

    /// Merges the cold periods that a control process reports.
    pub fn merge_cold(&self, now: Timestamp, delta: &ColdDelta) {
        self.permits.borrow_mut().merge_cold(now, delta);
    }

    /// Records that an engine of a service asked for a backoff.
    pub fn on_backoff(&self, now: Timestamp, service: &ServiceName) {
        self.permits.borrow_mut().slots().on_backoff(now, service);
    }

    /// Records that an engine of a service stated that it is brittle.
    pub fn on_brittle(&self, now: Timestamp, service: &ServiceName) {
        self.permits.borrow_mut().slots().on_brittle(now, service);
    }

    /// Whether the engines of a service are brittle.
    pub fn is_brittle(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.permits.borrow_mut().slots().is_brittle(now, service)
    }

    /// Whether the slots of the service's engines are enforced.
    pub fn enforces_slots(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.permits.borrow_mut().slots().is_slot_limited(now, service)
    }

    /// Whether this router has a permit of its own for an engine.
    pub fn has_room(&self, now: Timestamp, engine: &EngineRecord, scope: PermitScope) -> bool {
        self.permits.borrow_mut().has_room(now, engine, scope)
    }

    /// Records the rate limit stated in the response to a request that was sent at `sent_at`.
    pub fn learn(
        &self,
        now: Timestamp,
        engine: &BackEndName,
        sent_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        self.permits.borrow_mut().learn(now, engine, sent_at, statement)
    }

    /// Whether an engine states a rate limit.
    pub fn is_rate_limited(&self, engine: &BackEndName) -> bool {
        self.permits.borrow().rates().rate(engine).is_some()
    }

    /// The latest rate limit that an engine stated.
    pub fn statement(&self, now: Timestamp, engine: &BackEndName) -> Option<RateUpdate> {
        self.permits.borrow().rates().update_for(now, engine)
    }

    /// Number of engines that state a rate limit.
    pub fn rate_limited_engines(&self) -> usize {
        self.permits.borrow().rates().limited().count()
    }

    /// Whether requests wait for a permit for a service. Later requests and those of other routers
    /// queue behind them.
    pub fn has_waiters(&self, service: &ServiceName) -> bool {
        self.waiting.borrow().get(service).is_some_and(|requests| *requests > 0)
    }

    /// Counts a waiting request until the returned value is dropped.
    pub fn wait<'a>(&'a self, service: &'a ServiceName) -> PermitWait<'a> {
        *self.waiting.borrow_mut().entry(service.clone()).or_default() += 1;
        PermitWait { pool: self, service }
    }

    /// Evicts engines that the directory no longer contains, releases slots whose return was lost,
    /// and removes queries whose request has been cancelled: the router that was asked may never
    /// reply.
    pub fn remove_expired(&self, now: Timestamp, directory: &EngineDirectory) {
        self.permits.borrow_mut().remove_unknown(now, directory);
        self.awaiting_reply.borrow_mut().retain(|_, reply| !reply.is_closed());
        let is_expired = |lent: &LentSlot| lent.until <= now;
        let expired: Vec<LentSlot> = self
            .lent
            .borrow_mut()
            .extract_if(|_, lent| is_expired(lent))
            .map(|(_, lent)| lent)
            .collect();
        expired.iter().for_each(|lent| self.release_slot(&lent.engine));
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
    /// Records that an engine rejected a request for want of room. If it is brittle, all routers
    /// are told.
    pub(crate) fn on_rejected_for_room(&self, engine: &EngineRecord) {
        if self.load_settings().admission_order {
            self.admission.borrow_mut().on_rejected(self.now(), &engine.notice.service);
        }
        let pool = &self.permits;
        if !pool.is_brittle(self.now(), &engine.notice.service) {
            return;
        }
        self.metrics.on_brittle_rejection();
        pool.permits.borrow_mut().slots().on_brittle_rejection(self.now(), engine);
        let others = pool.permits.borrow().others();
        for other in others {
            let engine = engine.notice.engine.clone();
            pool.send(other, PermitMessage::BrittleRejection { engine });
        }
    }

    /// Records that a brittle engine rejected a request of another router.
    pub(crate) fn on_rejected_elsewhere(&self, engine: &BackEndName) {
        let directory = self.directory.borrow();
        let Some(record) = directory.get(engine) else {
            return;
        };
        let mut permits = self.permits.permits.borrow_mut();
        permits.slots().on_brittle(self.now(), &record.notice.service);
        permits.slots().on_brittle_rejection(self.now(), record);
    }

    /// Asks another router for a permit that a request needs until `deadline`. Returns an engine
    /// that this router knows; the permit is `None` if nothing has to be released.
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
        let (reply, reply_receiver) = oneshot::channel();
        pool.awaiting_reply.borrow_mut().insert(token, reply);
        let query = PermitMessage::Request {
            token,
            service: service.clone(),
            needs_slot: scope == PermitScope::RateAndSlot,
            unusable: self.unusable(service, tried),
            needed: Millis(deadline.saturating_duration_since(Instant::now()).as_millis() as u64),
            rates: self.rates_owned_by(lender, service),
        };
        pool.send(lender, query);
        self.metrics.on_permit_requested();
        let until = wait_until.min(Instant::now() + REPLY_TIMEOUT);
        let received = timeout_at(until, reply_receiver).await;
        pool.awaiting_reply.borrow_mut().remove(&token);
        let Ok(received) = received else {
            if until < wait_until {
                pool.permits.borrow_mut().slots().on_no_response(self.now(), lender);
            }
            return None;
        };
        let PermitReply { engine, exhausted_for, rates } = received.ok()?;
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
        record.filter(|record| self.may_be_used(record)).map(|record| (record, permit))
    }

    /// Availability of permits for a request that was sent to `tried`, by the rates that the
    /// service's engines state and by how many of them are cold.
    pub(crate) fn permit_availability(
        &self,
        service: &ServiceName,
        tried: &[BackEndName],
    ) -> PermitAvailability {
        let directory = self.directory.borrow();
        let candidates = directory.iter().filter(|record| self.is_available(record, service));
        let candidates = candidates.filter(|record| !tried.contains(&record.notice.engine));
        self.permits.permits.borrow_mut().availability(self.now(), candidates)
    }

    /// Whether every engine of a service states a rate limit.
    pub(crate) fn is_service_rate_limited(&self, service: &ServiceName) -> bool {
        let directory = self.directory.borrow();
        let candidates = directory.iter().filter(|record| self.is_available(record, service));
        let mut permits = self.permits.permits.borrow_mut();
        permits.rate_availability(self.now(), candidates) != PermitAvailability::Unlimited
    }

    /// Sum of the rate limits of a service's engines that this router owns.
    pub(crate) fn owned_rate(&self, service: &ServiceName) -> RequestRate {
        let directory = self.directory.borrow();
        let is_available = |engine: &BackEndName| {
            directory.get(engine).is_some_and(|record| self.is_available(record, service))
        };
        self.permits.permits.borrow().owned_rate(is_available)
    }

    /// Routers to ask for a permit for a service, for a request that was sent to `tried`.
    /// `tie_breaker` spreads requests over the routers.
    pub(crate) fn lenders(
        &self,
        service: &ServiceName,
        scope: PermitScope,
        tried: &[BackEndName],
        tie_breaker: u64,
    ) -> Vec<SocketAddr> {
        let directory = self.directory.borrow();
        let candidates = directory.iter().filter(|record| self.is_available(record, service));
        let candidates = candidates.filter(|record| !tried.contains(&record.notice.engine));
        self.permits.permits.borrow_mut().lenders(self.now(), tie_breaker, scope, candidates)
    }

    /// Whether an engine belongs to a service, is in service and has not asked for a backoff.
    pub(crate) fn is_available(&self, record: &EngineRecord, service: &ServiceName) -> bool {
        record.notice.service == *service
            && self.directory.borrow().is_in_service(record)
            && self.picker.borrow().is_available(self.now(), &record.notice.engine)
    }

    /// Engines of a service that a request sent to `tried` can't use.
    fn unusable(&self, service: &ServiceName, tried: &[BackEndName]) -> Vec<BackEndName> {
        let directory = self.directory.borrow();
        let of_service = directory.iter().filter(|record| record.notice.service == *service);
        let unavailable = of_service.filter(|record| !self.may_be_used(record));
        let unavailable = unavailable.map(|record| &record.notice.engine);
        tried.iter().chain(unavailable).take(MAX_UNUSABLE).cloned().collect()
    }

    /// Whether an engine is worth borrowing a permit for: it accepts requests and has not failed
    /// here recently.
    fn may_be_used(&self, engine: &EngineRecord) -> bool {
        let (now, picker) = (self.now(), self.picker.borrow());
        let directory = self.directory.borrow();
        let is_silent = directory.is_silent(&engine.notice.engine);
        directory.is_in_service(engine)
            && picker.is_available(now, &engine.notice.engine)
            && picker.standing(now, engine, is_silent) != Standing::Failing
    }
}
