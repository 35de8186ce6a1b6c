//! Whether a request may be sent to an engine, by the limits that the engine states: slots and a
//! rate.
//!
//! Both limits hold for all routers together. Slots are assigned to routers one by one
//! ([`SlotShares`]). A rate of one or two requests per second can't be divided among many routers,
//! because each of them needs permits for whole requests. So each engine that states a rate has one
//! *owner*, a router chosen by rendezvous hashing over all routers that control processes report,
//! and only the owner's token bucket issues permits; other routers ask the owner for one. A permit
//! for a rate is consumed, not returned. While an engine states a rate, its slots belong to the
//! owner as well, so that one permit covers both.
//!
//! A cold engine is limited in addition by the slots of time of [`ColdSchedule`], each of which
//! belongs to one router.
//!
//! Invariants:
//! - A router that does not know the other routers owns no engine.
//! - An owner starts with an empty bucket, whichever router owned the engine before: two
//!   consecutive owners issue no more permits than one would. While routers disagree about which
//!   routers run, both may issue the permits that accrue meanwhile.

use crate::cold_engines::ColdDelta;
use crate::cold_schedule::ColdSchedule;
use crate::directory::{EngineDirectory, EngineRecord};
use crate::hashing::mix;
use crate::rate_bucket::RateBucket;
use crate::slot_shares::{SlotShares, router_hash};
use crate::stated_rates::{RateChange, RateStatement, RateUpdate, StatedRates};
use stackpost_types::{BackEndName, Digest, Millis, RequestRate, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// What a permit covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitScope {
    /// The engine's rate only.
    Rate,
    /// The engine's rate and one of its slots.
    RateAndSlot,
}

/// Whether requests for a service can get a permit, by the limits that its engines state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAvailability {
    /// At least one engine states no rate.
    Unlimited,
    /// Every engine states a rate, and a permit is available.
    Available,
    /// Every engine states a rate, and no permit is available.
    Exhausted {
        /// Time until the first permit.
        soonest: Millis,
        /// The engine that this permit is for.
        engine: BackEndName,
    },
}

/// One router's view of the permits.
#[derive(Clone, Debug)]
pub struct EnginePermits {
    slots: SlotShares,
    rates: StatedRates,
    cold: ColdSchedule,
    /// Buckets of the engines that this router owns.
    buckets: HashMap<BackEndName, RateBucket>,
    /// Owners computed from the currently known routers.
    owners: HashMap<BackEndName, SocketAddr>,
    /// Until when other owners have no permits to issue, as they have reported.
    exhausted_until: HashMap<(SocketAddr, ServiceName), Timestamp>,
    knows_routers: bool,
}

impl EnginePermits {
    /// Creates the view of the router with the address `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            slots: SlotShares::new(own),
            rates: StatedRates::default(),
            cold: ColdSchedule::default(),
            buckets: HashMap::new(),
            owners: HashMap::new(),
            exhausted_until: HashMap::new(),
            knows_routers: false,
        }
    }

    /// Sets the other running routers.
    pub fn set_others(&mut self, now: Timestamp, others: &[SocketAddr]) {
        self.cold.set_routers(now, self.slots.own_address(), others);
        let knew_routers = std::mem::replace(&mut self.knows_routers, true);
        if !self.slots.set_others(others) && knew_routers {
            return;
        }
        self.owners.clear();
        let own = self.slots.own_address();
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|engine, _| self.owner(engine) == Some(own));
        self.buckets = buckets;
        let limited: Vec<BackEndName> = self.rates.limited().cloned().collect();
        for engine in &limited {
            self.bucket(now, engine);
        }
        self.exhausted_until.retain(|(owner, _), _| others.contains(owner));
    }

    /// Sets the rates of cold engines by service.
    pub fn set_cold_rates(&mut self, rates: BTreeMap<ServiceName, RequestRate>) {
        self.cold.set_rates(rates);
    }

    /// Merges the cold periods that a control process reports.
    pub fn merge_cold(&mut self, now: Timestamp, delta: &ColdDelta) {
        self.cold.merge(now, delta);
    }

    /// The slot shares and the other routers.
    pub fn slots(&mut self) -> &mut SlotShares {
        &mut self.slots
    }

    /// The rates that engines state.
    pub fn rates(&self) -> &StatedRates {
        &self.rates
    }

    /// The rates that engines state, for exchanging updates with other routers.
    pub fn rates_mut(&mut self) -> &mut StatedRates {
        &mut self.rates
    }

    /// Records the rate stated in the response to a request that was sent at `sent_at`.
    pub fn learn(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        sent_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let change = self.rates.learn(engine, sent_at, statement)?;
        self.on_rate_change(now, engine, change);
        Some(change)
    }

    /// Merges a rate update from another router.
    pub fn learn_from_peer(&mut self, now: Timestamp, update: &RateUpdate) -> Option<RateChange> {
        let change = self.rates.learn_from_peer(now, update)?;
        self.on_rate_change(now, &update.engine, change);
        if self.owns(&update.engine) {
            self.rates.schedule_update(&update.engine);
        }
        Some(change)
    }

    fn on_rate_change(&mut self, now: Timestamp, engine: &BackEndName, change: RateChange) {
        match change.now {
            Some(_) => {
                self.bucket(now, engine);
            }
            None => {
                self.buckets.remove(engine);
            }
        }
    }

    /// The router whose bucket limits an engine's rate; `None` while the routers are not known.
    pub fn owner(&mut self, engine: &BackEndName) -> Option<SocketAddr> {
        if !self.knows_routers {
            return None;
        }
        if let Some(owner) = self.owners.get(engine) {
            return Some(*owner);
        }
        let owner = self.slots.owner_of(Digest::of(&[engine.as_str().as_bytes()]).to_u64());
        self.owners.insert(engine.clone(), owner);
        Some(owner)
    }

    /// Whether this router owns an engine's rate.
    pub fn owns(&mut self, engine: &BackEndName) -> bool {
        self.owner(engine) == Some(self.slots.own_address())
    }

    /// Engines that state a rate and that this router owns.
    pub fn owned(&self) -> Vec<BackEndName> {
        self.buckets.keys().cloned().collect()
    }

    /// Updates for `owner` about up to `limit` of the engines that it owns, that state a rate and
    /// for which `is_relevant` holds.
    pub fn updates_for_owner(
        &self,
        now: Timestamp,
        owner: SocketAddr,
        is_relevant: impl Fn(&BackEndName) -> bool,
        limit: usize,
    ) -> Vec<RateUpdate> {
        let owned = self.rates.limited().filter(|engine| self.owners.get(*engine) == Some(&owner));
        let relevant = owned.filter(|engine| is_relevant(engine)).take(limit);
        relevant.filter_map(|engine| self.rates.update_for(now, engine)).collect()
    }

    /// Every other router.
    pub fn others(&self) -> Vec<SocketAddr> {
        self.slots.others().collect()
    }

    /// The bucket of an engine that this router owns, filled up to now.
    fn bucket(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
    ) -> Option<(&mut RateBucket, RequestRate)> {
        let rate = self.rates.rate(engine)?;
        if !self.owns(engine) {
            return None;
        }
        let bucket = self.buckets.entry(engine.clone()).or_insert_with(|| RateBucket::new(now));
        bucket.fill(now, rate);
        Some((bucket, rate))
    }

    /// Whether a permit from `lender` is valid for an engine. If the engine states a rate, only its
    /// owner's permits are valid: another router may lend a slot because it has not received the
    /// statement yet.
    pub fn accepts_permit_from(&mut self, lender: SocketAddr, engine: &BackEndName) -> bool {
        self.rates.rate(engine).is_none() || self.owner(engine) == Some(lender)
    }

    /// Whether this router may send a request to an engine without asking another router.
    pub fn has_room(&mut self, now: Timestamp, engine: &EngineRecord, scope: PermitScope) -> bool {
        if self.cold.wait(now, engine).is_some_and(|wait| wait > Millis(0)) {
            return false;
        }
        let name = &engine.notice.engine;
        if self.rates.rate(name).is_none() {
            return scope == PermitScope::Rate || self.slots.free(now, engine) > 0;
        }
        let has_slot = scope == PermitScope::Rate || self.free_slots(now, engine) > 0;
        let has_permit = |(bucket, rate): (&mut RateBucket, _)| bucket.wait(now, rate) == Millis(0);
        has_slot && self.bucket(now, name).is_some_and(has_permit)
    }

    /// Free slots of an engine that this router manages.
    pub fn free_slots(&mut self, now: Timestamp, engine: &EngineRecord) -> u32 {
        let name = &engine.notice.engine;
        if self.rates.rate(name).is_none() {
            return self.slots.free(now, engine);
        }
        engine.notice.slots.saturating_sub(self.slots.used(name))
    }

    /// Counts a request sent to an engine, whether or not there is room for it. With
    /// [`PermitScope::RateAndSlot`] it occupies a slot until [`SlotShares::release_slot`].
    pub fn take(&mut self, now: Timestamp, engine: &EngineRecord, scope: PermitScope) {
        self.cold.take(now, engine);
        let name = &engine.notice.engine;
        if scope == PermitScope::RateAndSlot {
            self.slots.take(name);
        }
        if let Some((bucket, _)) = self.bucket(now, name) {
            bucket.take(now);
        }
    }

    /// Whether requests can get a permit for one of `engines`, which are all engines of a service
    /// that accept requests.
    pub fn availability<'a>(
        &mut self,
        now: Timestamp,
        engines: impl Iterator<Item = &'a EngineRecord>,
    ) -> PermitAvailability {
        self.availability_by(engines, |permits, engine| permits.wait(now, engine))
    }

    /// The same by the stated rates alone: how cold the engines are is no sign of their load.
    pub fn rate_availability<'a>(
        &mut self,
        now: Timestamp,
        engines: impl Iterator<Item = &'a EngineRecord>,
    ) -> PermitAvailability {
        self.availability_by(engines, |permits, engine| permits.rate_wait(now, engine))
    }

    fn availability_by<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a EngineRecord>,
        wait: impl Fn(&mut Self, &EngineRecord) -> Option<Millis>,
    ) -> PermitAvailability {
        let mut soonest: Option<(Millis, &BackEndName)> = None;
        for engine in engines {
            let Some(wait) = wait(self, engine) else {
                return PermitAvailability::Unlimited;
            };
            soonest = soonest.into_iter().chain([(wait, &engine.notice.engine)]).min();
        }
        match soonest {
            None => PermitAvailability::Unlimited,
            Some((Millis(0), _)) => PermitAvailability::Available,
            Some((soonest, engine)) => {
                PermitAvailability::Exhausted { soonest, engine: engine.clone() }
            }
        }
    }

    /// Time until a request may be sent to an engine; `None` if it has no limit.
    fn wait(&mut self, now: Timestamp, engine: &EngineRecord) -> Option<Millis> {
        let by_rate = self.rate_wait(now, engine);
        by_rate.into_iter().chain(self.cold.wait(now, engine)).max()
    }

    /// Time until a permit for an engine may be available, here or from its owner; `None` if it
    /// states no rate.
    fn rate_wait(&mut self, now: Timestamp, engine: &EngineRecord) -> Option<Millis> {
        let name = &engine.notice.engine;
        self.rates.rate(name)?;
        if let Some((bucket, rate)) = self.bucket(now, name) {
            return Some(bucket.wait(now, rate));
        }
        let owner = self.owner(name);
        let key = owner.map(|owner| (owner, engine.notice.service.clone()));
        let exhausted_until = key.and_then(|key| self.exhausted_until.get(&key).copied());
        Some(exhausted_until.unwrap_or_default().since(now))
    }

    /// Time until this router can issue a permit for one of the engines for which `is_relevant`
    /// holds; `None` if it owns none of them.
    pub fn next_owned_permit(
        &mut self,
        now: Timestamp,
        is_relevant: impl Fn(&BackEndName) -> bool,
    ) -> Option<Millis> {
        let mut soonest = None;
        for engine in self.owned().iter().filter(|engine| is_relevant(engine)) {
            if let Some((bucket, rate)) = self.bucket(now, engine) {
                soonest = soonest.into_iter().chain([bucket.wait(now, rate)]).min();
            }
        }
        soonest
    }

    /// Sum of the rates of the engines that this router owns and for which `is_relevant` holds.
    pub fn owned_rate(&self, is_relevant: impl Fn(&BackEndName) -> bool) -> RequestRate {
        let owned = self.buckets.keys().filter(|engine| is_relevant(engine));
        owned
            .filter_map(|engine| self.rates.rate(engine))
            .fold(RequestRate::ZERO, |sum, rate| sum + rate)
    }

    /// Records that another router has no permit to issue for a service during `wait`.
    pub fn on_spent(
        &mut self,
        now: Timestamp,
        owner: SocketAddr,
        service: &ServiceName,
        wait: Millis,
    ) {
        self.exhausted_until.insert((owner, service.clone()), now + wait);
    }

    /// Removes engines that the directory no longer knows, so that the memory is bounded by the
    /// directory.
    pub fn remove_unknown(&mut self, now: Timestamp, directory: &EngineDirectory) {
        self.cold.remove_expired(now, |engine| directory.get(engine).is_some());
        self.slots.remove_expired(now, |engine| directory.get(engine).is_some());
        self.rates.remove_unknown(directory);
        self.buckets.retain(|engine, _| directory.get(engine).is_some());
        self.owners.retain(|engine, _| directory.get(engine).is_some());
    }

    /// Routers to ask for a permit for one of `engines`, all of one service: the owners of those
    /// that state a rate, and the routers that may lend a slot. Their order depends on
    /// `request_hash`, so that requests start with different routers.
    pub fn lenders<'a>(
        &mut self,
        now: Timestamp,
        request_hash: u64,
        scope: PermitScope,
        engines: impl Iterator<Item = &'a EngineRecord>,
    ) -> Vec<SocketAddr> {
        let own = self.slots.own_address();
        let mut lenders = Vec::new();
        let mut needs_slot = false;
        for engine in engines {
            let name = &engine.notice.engine;
            match self.rates.rate(name).and_then(|_| self.owner(name)) {
                Some(owner) if self.rate_wait(now, engine) == Some(Millis(0)) => {
                    lenders.push((owner, router_hash(owner)))
                }
                Some(_) => {}
                None => needs_slot |= scope == PermitScope::RateAndSlot,
            }
        }
        if needs_slot {
            lenders.extend(self.slots.lenders(now));
        }
        lenders.retain(|(lender, _)| *lender != own);
        lenders.sort_by_key(|(lender, hash)| (mix(request_hash ^ hash), *lender));
        lenders.dedup();
        lenders.into_iter().map(|(lender, _)| lender).collect()
    }
}
