//! Slots of engines for requests: own ones, and ones that other routers lend.
//!
//! While a service is held to its slots ([`SlotShares`]), a request waits for a free slot for a moment instead of being
//! sent where it would be turned away. With engines of one slot that ask for three seconds of rest (twelve, six
//! routers, requests of 50 ms) this is what lets rests be kept and callers be served: figures in docs/BENCHMARKS.md.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{EngineRecord, EngineState, SlotShares, Standing};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};

/// Longest wait for a lender: some times the way there and back between zones (2 ms), and less than a request waits.
const ANSWER_TIME: Duration = Duration::from_millis(12);
/// Routers that one request may ask. A trial in simulation, six routers at 104 in 100 of what the engines can do:
/// served 0.66 with none, 0.81 with two, 0.84 with four.
pub(crate) const MOST_LENDERS: usize = 4;
/// Most engines that one datagram names as of no use, so that it fits one packet.
const MOST_UNUSABLE: usize = 32;

/// What routers say of slots.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// Lend me a free slot of yours.
    Ask {
        /// Names the loan among those of the asker.
        token: u64,
        service: ServiceName,
        /// Engines that are of no use to the request: it was sent there, or they have asked the asker for rest.
        unusable: Vec<BackEndName>,
        /// How long the slot is needed at most.
        needed: Millis,
    },
    /// Answer to `Ask`: the engine, if there is one.
    Reply { token: u64, engine: Option<BackEndName> },
    /// The slot is no longer needed.
    Return { token: u64 },
}

/// A slot that this router has lent.
struct Lent {
    engine: BackEndName,
    /// When the request is over in any case, should its return be lost.
    until: Timestamp,
}

/// A router's slots.
pub(crate) struct SlotDesk {
    shares: RefCell<SlotShares>,
    /// Rung when a slot is free again.
    pub freed: Notify,
    waiting: RefCell<HashMap<ServiceName, usize>>,
    lent: RefCell<HashMap<(SocketAddr, u64), Lent>>,
    asked: RefCell<HashMap<u64, oneshot::Sender<Option<BackEndName>>>>,
    next_token: Cell<u64>,
    socket: RefCell<Option<Rc<PeerSocket>>>,
}

impl Default for SlotDesk {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            shares: RefCell::new(SlotShares::new(nowhere)),
            freed: Notify::new(),
            waiting: RefCell::default(),
            lent: RefCell::default(),
            asked: RefCell::default(),
            next_token: Cell::new(0),
            socket: RefCell::default(),
        }
    }
}

/// A slot in use. Dropped, it is free again.
pub(crate) struct Slot {
    router: Rc<Router>,
    source: Source,
}

enum Source {
    Own(BackEndName),
    Borrowed { lender: SocketAddr, token: u64 },
}

impl Slot {
    /// Takes a slot of this router's own, free or not.
    pub fn own(router: &Rc<Router>, engine: &BackEndName) -> Self {
        router.slots.shares.borrow_mut().take(engine);
        Self { router: router.clone(), source: Source::Own(engine.clone()) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let desk = &self.router.slots;
        match &self.source {
            Source::Own(engine) => desk.give_back(engine),
            Source::Borrowed { lender, token } => {
                desk.send(*lender, SlotMessage::Return { token: *token });
            }
        }
    }
}

/// A request that waits for a slot of a service.
pub(crate) struct Waiting<'a> {
    desk: &'a SlotDesk,
    service: &'a ServiceName,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut waiting = self.desk.waiting.borrow_mut();
        if let Some(requests) = waiting.get_mut(self.service) {
            *requests -= 1;
        }
    }
}

impl SlotDesk {
    /// Connects the desk with other routers, which know this one by `own`. `life` names this life of the router: what
    /// the one before had borrowed is not taken for its own.
    pub fn open(&self, life: u64, own: SocketAddr, socket: Rc<PeerSocket>) {
        self.next_token.set(life);
        *self.shares.borrow_mut() = SlotShares::new(own);
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Takes over which other routers there are.
    pub fn set_others(&self, others: &[SocketAddr]) {
        self.shares.borrow_mut().set_others(others);
    }

    /// An engine of a service has asked for rest.
    pub fn on_rest(&self, now: Timestamp, service: &ServiceName) {
        self.shares.borrow_mut().on_rest(now, service);
    }

    /// Whether what is sent to a service is held to its engines' slots.
    pub fn is_held(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.shares.borrow().is_held(now, service)
    }

    /// Whether this router has a free slot of an engine.
    pub fn has_free(&self, now: Timestamp, engine: &EngineRecord) -> bool {
        self.shares.borrow_mut().free(now, engine) > 0
    }

    /// Whether requests wait for a slot of a service: who comes later, or from elsewhere, does not pass them.
    pub fn is_awaited(&self, service: &ServiceName) -> bool {
        self.waiting.borrow().get(service).is_some_and(|requests| *requests > 0)
    }

    /// Counts a request that waits, until what is returned is dropped.
    pub fn wait<'a>(&'a self, service: &'a ServiceName) -> Waiting<'a> {
        *self.waiting.borrow_mut().entry(service.clone()).or_default() += 1;
        Waiting { desk: self, service }
    }

    /// Routers to borrow from.
    pub fn lenders(&self, now: Timestamp, lot: u64) -> Vec<SocketAddr> {
        self.shares.borrow().lenders(now, lot, MOST_LENDERS)
    }

    /// Takes back slots whose return was lost, and forgets questions that nobody waits for any more: their caller has gone
    /// and the router that was asked may never answer.
    pub fn forget_old(&self, now: Timestamp) {
        self.asked.borrow_mut().retain(|_, reply| !reply.is_closed());
        let is_over = |lent: &Lent| lent.until <= now;
        let over: Vec<Lent> = self
            .lent
            .borrow_mut()
            .extract_if(|_, lent| is_over(lent))
            .map(|(_, lent)| lent)
            .collect();
        over.iter().for_each(|lent| self.give_back(&lent.engine));
    }

    fn give_back(&self, engine: &BackEndName) {
        self.shares.borrow_mut().give_back(engine);
        self.freed.notify_waiters();
    }

    fn send(&self, to: SocketAddr, message: SlotMessage) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            socket.send(to, &PeerDatagram::Slot(message));
        }
    }
}

impl Router {
    /// Asks another router for a slot that a request needs until `deadline`. The engine is one that this router knows.
    pub(crate) async fn borrow_slot(
        self: &Rc<Self>,
        lender: SocketAddr,
        service: &ServiceName,
        tried: &[BackEndName],
        deadline: Instant,
        wait_until: Instant,
    ) -> Option<(EngineRecord, Slot)> {
        let desk = &self.slots;
        let token = desk.next_token.get();
        desk.next_token.set(token.wrapping_add(1));
        let (reply, answer) = oneshot::channel();
        desk.asked.borrow_mut().insert(token, reply);
        let unusable = self.unusable(service, tried);
        let needed = Millis(deadline.saturating_duration_since(Instant::now()).as_millis() as u64);
        let service = service.clone();
        desk.send(lender, SlotMessage::Ask { token, service, unusable, needed });
        let until = wait_until.min(Instant::now() + ANSWER_TIME);
        let answered = timeout_at(until, answer).await;
        desk.asked.borrow_mut().remove(&token);
        let Ok(answered) = answered else {
            if until < wait_until {
                desk.shares.borrow_mut().on_no_answer(self.now(), lender);
            }
            return None;
        };
        let engine = answered.ok().flatten()?;
        let slot = Slot { router: self.clone(), source: Source::Borrowed { lender, token } };
        let record = self.directory.borrow().get(&engine).cloned();
        record.filter(|record| self.may_be_asked(record)).map(|record| (record, slot))
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
            && picker.is_open(now, &engine.notice.engine)
            && picker.standing(now, engine, is_silent) != Standing::Failing
    }

    /// Takes in what another router says of slots.
    pub(crate) fn on_slot_message(&self, from: SocketAddr, message: SlotMessage) {
        let desk = &self.slots;
        match message {
            SlotMessage::Ask { token, service, unusable, needed } => {
                let engine = self.lend_slot(from, token, &service, &unusable, needed);
                desk.send(from, SlotMessage::Reply { token, engine });
            }
            SlotMessage::Reply { token, engine } => {
                let asked = desk.asked.borrow_mut().remove(&token);
                let is_lent = engine.is_some();
                // The request may have given up waiting.
                let came_late = asked.is_none_or(|asked| asked.send(engine).is_err());
                if came_late && is_lent {
                    desk.send(from, SlotMessage::Return { token });
                }
            }
            SlotMessage::Return { token } => {
                if let Some(lent) = desk.lent.borrow_mut().remove(&(from, token)) {
                    desk.give_back(&lent.engine);
                }
            }
        }
    }

    /// Lends a slot of the engine of which this router has most free ones, unless requests of its own wait for one. Engines
    /// that have asked this router for rest come first: their slots are of no use here, and a rest binds one router
    /// only. Without them, twelve engines of one slot at 100 requests a second served 0.939 (docs/BENCHMARKS.md).
    fn lend_slot(
        &self,
        borrower: SocketAddr,
        token: u64,
        service: &ServiceName,
        unusable: &[BackEndName],
        needed: Millis,
    ) -> Option<BackEndName> {
        let desk = &self.slots;
        let now = self.now();
        if desk.lent.borrow().contains_key(&(borrower, token)) {
            return None;
        }
        let own_wait = desk.is_awaited(service);
        let (directory, picker) = (self.directory.borrow(), self.picker.borrow());
        let usable = directory.iter().filter(|record| {
            record.notice.service == *service
                && record.notice.state == EngineState::Ready
                && !unusable.contains(&record.notice.engine)
        });
        let mut shares = desk.shares.borrow_mut();
        let offers = usable.filter_map(|record| {
            let engine = &record.notice.engine;
            let rests_here = !picker.is_open(now, engine);
            let free = shares.free(now, record);
            (free > 0 && (rests_here || !own_wait)).then_some((rests_here, free, engine))
        });
        let (_, _, engine) = offers.max()?;
        shares.take(engine);
        let lent = Lent { engine: engine.clone(), until: now + needed };
        desk.lent.borrow_mut().insert((borrower, token), lent);
        Some(engine.clone())
    }
}
