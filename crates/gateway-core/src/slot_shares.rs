//! Which of the engines' slots belong to which router.
//!
//! An engine without free capacity rejects a request, and if it also asks for a backoff, the router
//! loses it for seconds although it has capacity again after one request. So where engines ask for
//! backoffs, the requests of the whole fleet must fit the engines' capacity, without a message for
//! each request: the announced slots are divided evenly among the running routers. The remainder
//! belongs to the routers that rank first for the engine by rendezvous hashing. A router uses its
//! own slots first and borrows a free one of another router when it has none.
//!
//! The same holds while engines are brittle, that is, fall over when they have to reject many
//! requests. Then only the room that rejections leave ([`EngineRooms`]) is divided.
//!
//! Routers may briefly disagree about which routers run. A slot that two routers count as their own
//! costs a rejected request; one that no router counts as its own stays unused. Nothing else
//! depends on it.
//!
//! Invariants: for the same routers, the shares of an engine add up to its slots and differ by at
//! most one. No share shrinks when a router becomes absent.

use crate::directory::EngineRecord;
use crate::engine_room::EngineRooms;
use crate::hashing::mix;
use stackpost_types::{BackEndName, Digest, Millis, ServiceName, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for which a service is limited to its slots after one of its engines has asked for a
/// backoff. Longer than the requested backoffs (seconds), so that the fleet does not cause the next
/// one as soon as the last is over.
const SLOT_LIMIT_TIME: Millis = Millis(60_000);
/// Time for which a service counts as brittle after an engine has stated it. Each response states
/// it again.
const BRITTLE_TIME: Millis = Millis(5_000);
/// Time for which a router that does not respond counts as absent; its slots belong to the others
/// meanwhile.
const ABSENCE_TIME: Millis = Millis(1_000);

/// This router's place among the present routers, by their rank for an engine.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Number of routers that rank before this one.
    position: u32,
    /// Number of present routers, with this one.
    routers: u32,
}

impl Place {
    /// This router's share of `slots`.
    fn share(self, slots: u32) -> u32 {
        let has_one_more = self.position < slots % self.routers;
        slots / self.routers + u32::from(has_one_more)
    }
}

/// One router's view of the slots.
#[derive(Clone, Debug)]
pub struct SlotShares {
    own: SocketAddr,
    /// The other routers, each with its hash for rendezvous ranking.
    others: Vec<(SocketAddr, u64)>,
    absent: HashMap<SocketAddr, Timestamp>,
    /// By engine; emptied whenever the present routers change.
    places: HashMap<BackEndName, Place>,
    used: HashMap<BackEndName, u32>,
    limited_until: HashMap<ServiceName, Timestamp>,
    brittle_until: HashMap<ServiceName, Timestamp>,
    rooms: EngineRooms,
}

impl SlotShares {
    /// Creates the view of the router with the address `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            others: Vec::new(),
            absent: HashMap::new(),
            places: HashMap::new(),
            used: HashMap::new(),
            limited_until: HashMap::new(),
            brittle_until: HashMap::new(),
            rooms: EngineRooms::default(),
        }
    }

    /// Sets the other routers. Returns whether they have changed.
    pub fn set_others(&mut self, others: &[SocketAddr]) -> bool {
        let known = self.others.iter().map(|(router, _)| router);
        let has_changed = !known.eq(others);
        if has_changed {
            self.others = others.iter().map(|router| (*router, router_hash(*router))).collect();
            self.places.clear();
        }
        has_changed
    }

    /// Records that a router does not respond.
    pub fn on_no_response(&mut self, now: Timestamp, router: SocketAddr) {
        self.absent.insert(router, now + ABSENCE_TIME);
        self.places.clear();
    }

    /// Records that an engine of a service has asked for a backoff.
    pub fn on_backoff(&mut self, now: Timestamp, service: &ServiceName) {
        self.limited_until.insert(service.clone(), now + SLOT_LIMIT_TIME);
    }

    /// Records that an engine of a service has stated that it is brittle.
    pub fn on_brittle(&mut self, now: Timestamp, service: &ServiceName) {
        self.brittle_until.insert(service.clone(), now + BRITTLE_TIME);
    }

    /// Records that a brittle engine rejected a request, here or at another router.
    pub fn on_brittle_rejection(&mut self, now: Timestamp, engine: &EngineRecord) {
        self.rooms.on_rejection(now, &engine.notice.engine, engine.notice.slots);
    }

    /// Whether requests to a service are limited to its engines' slots.
    pub fn is_slot_limited(&self, now: Timestamp, service: &ServiceName) -> bool {
        let is_limited = self.limited_until.get(service).is_some_and(|until| now < *until);
        is_limited || self.is_brittle(now, service)
    }

    /// Whether a service's engines are brittle.
    pub fn is_brittle(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.brittle_until.get(service).is_some_and(|until| now < *until)
    }

    /// Removes what no longer limits any engine, and what is known of engines that are not.
    pub fn remove_expired(&mut self, now: Timestamp, is_known: impl Fn(&BackEndName) -> bool) {
        self.rooms.remove_grown(now);
        self.places.retain(|engine, _| is_known(engine));
    }

    /// Own slots of an engine that are free.
    pub fn free(&mut self, now: Timestamp, engine: &EngineRecord) -> u32 {
        let used = self.used(&engine.notice.engine);
        self.own_slots(now, engine).saturating_sub(used)
    }

    /// Occupies a slot of an engine, free or not: requests sent while the service is not limited
    /// count as well.
    pub fn take(&mut self, engine: &BackEndName) {
        *self.used.entry(engine.clone()).or_default() += 1;
    }

    /// Releases the slot of a request.
    pub fn release_slot(&mut self, engine: &BackEndName) {
        if let Some(used) = self.used.get_mut(engine) {
            *used -= 1;
            if *used == 0 {
                self.used.remove(engine);
            }
        }
    }

    /// Slots of an engine in use that this router manages.
    pub fn used(&self, engine: &BackEndName) -> u32 {
        self.used.get(engine).copied().unwrap_or_default()
    }

    /// Routers that may lend a slot, each with its hash for rendezvous ranking.
    pub(crate) fn lenders(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, u64)> {
        self.present(now).copied()
    }

    /// The router that owns a key, whether it responds or not: the same one wherever the same
    /// routers are known.
    pub fn owner_of(&self, key: u64) -> SocketAddr {
        let own = (self.own, router_hash(self.own));
        let all = self.others.iter().copied().chain([own]);
        let first = all.max_by_key(|(router, hash)| (mix(key ^ hash), *router));
        first.map_or(self.own, |(router, _)| router)
    }

    /// Every other router, whether it responds or not.
    pub(crate) fn others(&self) -> impl Iterator<Item = SocketAddr> {
        self.others.iter().map(|(router, _)| *router)
    }

    /// The address by which other routers know this one.
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
        self.expire_absences(now);
        let name = &engine.notice.engine;
        let slots = self.rooms.slots(now, name, engine.notice.slots);
        let place = match self.places.get(name) {
            Some(place) => *place,
            None => {
                let place = self.place(now, name);
                self.places.insert(name.clone(), place);
                place
            }
        };
        place.share(slots)
    }

    fn place(&self, now: Timestamp, engine: &BackEndName) -> Place {
        let key = Digest::of(&[engine.as_str().as_bytes()]).to_u64();
        let rank = |(router, hash): (SocketAddr, u64)| (mix(key ^ hash), router);
        let own = rank((self.own, router_hash(self.own)));
        let others = self.present(now).map(|other| rank(*other));
        others.fold(Place { position: 0, routers: 1 }, |place, other| Place {
            position: place.position + u32::from(other > own),
            routers: place.routers + 1,
        })
    }

    fn expire_absences(&mut self, now: Timestamp) {
        let before = self.absent.len();
        self.absent.retain(|_, until| now < *until);
        if self.absent.len() < before {
            self.places.clear();
        }
    }
}

/// A router's hash for rendezvous ranking.
pub(crate) fn router_hash(router: SocketAddr) -> u64 {
    Digest::of(&[router.to_string().as_bytes()]).to_u64()
}
