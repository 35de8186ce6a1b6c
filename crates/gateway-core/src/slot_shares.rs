//! Which of the engines' slots belong to which router.
//!
//! An engine that has no room turns a request away, and with a wish for rest it is lost to that router for seconds,
//! though it has room again after one request. So where engines ask for rest, what a fleet sends must fit what they
//! have room for, without a message for each request: every announced slot belongs to one router, by rendezvous
//! hashing over the routers that are there. A router fills its own slots and borrows a free one of another router when
//! it has none.
//!
//! Routers may differ for a moment in whom they take for present. A slot that two of them take for theirs costs a
//! request that is turned away, one that nobody takes for its own rests for that moment; nothing depends on it.

use crate::directory::EngineRecord;
use crate::hashing::mix;
use stackpost_types::{BackEndName, Digest, Millis, ServiceName, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A service is held to its slots for so long after one of its engines has asked for rest. Longer than the rests that
/// engines ask for (seconds), so that the fleet does not run into the next one as soon as the last is over.
const HELD_TO_SLOTS: Millis = Millis(60_000);
/// A router that does not answer is taken for absent for so long; its slots belong to the others meanwhile.
const ABSENT_FOR: Millis = Millis(1_000);

/// An engine's part that belongs to this router.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// Slots that the engine announced when this was worked out.
    announced: u32,
    own: u32,
}

/// One router's view of the slots.
#[derive(Clone, Debug)]
pub struct SlotShares {
    own: SocketAddr,
    /// The other routers, each with what its rank for a slot is made of.
    others: Vec<(SocketAddr, u64)>,
    absent: HashMap<SocketAddr, Timestamp>,
    shares: HashMap<BackEndName, Share>,
    used: HashMap<BackEndName, u32>,
    held_until: HashMap<ServiceName, Timestamp>,
}

impl SlotShares {
    /// For the router that others know by `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            others: Vec::new(),
            absent: HashMap::new(),
            shares: HashMap::new(),
            used: HashMap::new(),
            held_until: HashMap::new(),
        }
    }

    /// Takes over which other routers there are. Returns whether that is news.
    pub fn set_others(&mut self, others: &[SocketAddr]) -> bool {
        let known = self.others.iter().map(|(router, _)| router);
        let is_news = !known.eq(others);
        if is_news {
            self.others = others.iter().map(|router| (*router, router_hash(*router))).collect();
            self.shares.clear();
        }
        is_news
    }

    /// A router does not answer.
    pub fn on_no_answer(&mut self, now: Timestamp, router: SocketAddr) {
        self.absent.insert(router, now + ABSENT_FOR);
        self.shares.clear();
    }

    /// An engine of a service has asked for rest.
    pub fn on_backoff(&mut self, now: Timestamp, service: &ServiceName) {
        self.held_until.insert(service.clone(), now + HELD_TO_SLOTS);
    }

    /// Whether what is sent to a service is held to its engines' slots.
    pub fn is_slot_limited(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.held_until.get(service).is_some_and(|until| now < *until)
    }

    /// Own slots of an engine that are free.
    pub fn free(&mut self, now: Timestamp, engine: &EngineRecord) -> u32 {
        let used = self.used(&engine.notice.engine);
        self.own_slots(now, engine).saturating_sub(used)
    }

    /// A request takes a slot of an engine, free or not: what is sent while nothing is held back counts, too.
    pub fn take(&mut self, engine: &BackEndName) {
        *self.used.entry(engine.clone()).or_default() += 1;
    }

    /// A request no longer needs its slot.
    pub fn release_slot(&mut self, engine: &BackEndName) {
        if let Some(used) = self.used.get_mut(engine) {
            *used -= 1;
            if *used == 0 {
                self.used.remove(engine);
            }
        }
    }

    /// Slots of an engine in use that this router answers for.
    pub fn used(&self, engine: &BackEndName) -> u32 {
        self.used.get(engine).copied().unwrap_or_default()
    }

    /// Routers that may lend a slot, each with what its rank is made of.
    pub(crate) fn lenders(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, u64)> {
        self.present(now).copied()
    }

    /// The router that one key belongs to, present or not: the same one wherever the same routers are known.
    pub fn owner_of(&self, key: u64) -> SocketAddr {
        let own = (self.own, router_hash(self.own));
        let all = self.others.iter().copied().chain([own]);
        let first = all.max_by_key(|(router, hash)| (mix(key ^ hash), *router));
        first.map_or(self.own, |(router, _)| router)
    }

    /// Every other router, present or not.
    pub(crate) fn others(&self) -> impl Iterator<Item = SocketAddr> {
        self.others.iter().map(|(router, _)| *router)
    }

    /// How others know this router.
    pub fn own_address(&self) -> SocketAddr {
        self.own
    }

    fn present(&self, now: Timestamp) -> impl Iterator<Item = &(SocketAddr, u64)> {
        self.others.iter().filter(move |(router, _)| self.is_present(now, *router))
    }

    fn is_present(&self, now: Timestamp, router: SocketAddr) -> bool {
        self.absent.get(&router).is_none_or(|until| *until <= now)
    }

    fn own_slots(&mut self, now: Timestamp, engine: &EngineRecord) -> u32 {
        self.forget_absent(now);
        let (name, announced) = (&engine.notice.engine, engine.notice.slots);
        match self.shares.get(name) {
            Some(share) if share.announced == announced => share.own,
            _ => {
                let own =
                    (0..announced).filter(|slot| self.is_own(now, name, *slot)).count() as u32;
                self.shares.insert(name.clone(), Share { announced, own });
                own
            }
        }
    }

    fn is_own(&self, now: Timestamp, engine: &BackEndName, slot: u32) -> bool {
        let slot = Digest::of(&[engine.as_str().as_bytes(), &slot.to_le_bytes()]).to_u64();
        let rank = |(router, hash): (SocketAddr, u64)| (mix(slot ^ hash), router);
        let own = rank((self.own, router_hash(self.own)));
        self.present(now).all(|other| rank(*other) < own)
    }

    fn forget_absent(&mut self, now: Timestamp) {
        let before = self.absent.len();
        self.absent.retain(|_, until| now < *until);
        if self.absent.len() < before {
            self.shares.clear();
        }
    }
}

/// What the rank of a router is made of.
pub(crate) fn router_hash(router: SocketAddr) -> u64 {
    Digest::of(&[router.to_string().as_bytes()]).to_u64()
}
