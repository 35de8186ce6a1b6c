//! Whether a request may be sent to an engine, by what the engine states that it takes: slots and a rate.
//!
//! Both are meant for all routers together. Slots are dealt out one by one ([`SlotShares`]); a rate of one or two a second can't be
//! dealt out among many routers, each of which needs a whole request at hand. So each engine that states a rate has one
//! *owner*, a router chosen by rendezvous hashing over all routers that control hears, and only the owner's bucket lets
//! requests go. Others ask it for a permit. A rate is spent, not returned; while an engine states one, its slots are the
//! owner's, too, so that one permit covers both.
//!
//! Invariants:
//! - A router that does not know the other routers owns no engine.
//! - An owner begins with an empty bucket, whoever owned the engine before: two owners that follow each other let no
//!   more go than one does. While routers differ over who is there, both may let go what accrues meanwhile.

use crate::directory::{EngineDirectory, EngineRecord};
use crate::hashing::mix;
use crate::rate_bucket::RateBucket;
use crate::slot_shares::{SlotShares, router_hash};
use crate::stated_rates::{RateChange, RateStatement, RateUpdate, StatedRates};
use stackpost_types::{BackEndName, Digest, Millis, RequestRate, ServiceName, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a permit covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitScope {
    /// The engine's rate only.
    Rate,
    /// The engine's rate and one of its slots.
    RateAndSlot,
}

/// What a request for a service can expect, as far as its engines state what they take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAvailability {
    /// An engine states no rate.
    Unlimited,
    /// Every engine states a rate, and a permit may be had.
    Available,
    /// Every engine states a rate, and all of it is spent.
    Spent {
        /// Time until the first permit.
        soonest: Millis,
        /// The engine that it is for.
        engine: BackEndName,
    },
}

/// One router's view.
#[derive(Clone, Debug)]
pub struct EnginePermits {
    slots: SlotShares,
    rates: StatedRates,
    /// Buckets of the engines that this router owns.
    buckets: HashMap<BackEndName, RateBucket>,
    /// Owners as worked out for the routers that are known now.
    owners: HashMap<BackEndName, SocketAddr>,
    /// Until when other owners have nothing to give, by their own word.
    spent_until: HashMap<(SocketAddr, ServiceName), Timestamp>,
    knows_routers: bool,
}

impl EnginePermits {
    /// For the router that others know by `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            slots: SlotShares::new(own),
            rates: StatedRates::default(),
            buckets: HashMap::new(),
            owners: HashMap::new(),
            spent_until: HashMap::new(),
            knows_routers: false,
        }
    }

    /// Takes over which other routers there are.
    pub fn set_others(&mut self, now: Timestamp, others: &[SocketAddr]) {
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
        self.spent_until.retain(|(owner, _), _| others.contains(owner));
    }

    /// Slots, and which other routers there are.
    pub fn slots(&mut self) -> &mut SlotShares {
        &mut self.slots
    }

    /// What engines state.
    pub fn rates(&self) -> &StatedRates {
        &self.rates
    }

    /// What engines state, to be told to others.
    pub fn rates_mut(&mut self) -> &mut StatedRates {
        &mut self.rates
    }

    /// Takes in what the answer to a request that was sent at `asked_at` says of a rate.
    pub fn learn(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        asked_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let change = self.rates.learn(engine, asked_at, statement)?;
        self.on_change(now, engine, change);
        Some(change)
    }

    /// Takes in what another router has heard of a rate.
    pub fn learn_from_peer(&mut self, now: Timestamp, news: &RateUpdate) -> Option<RateChange> {
        let change = self.rates.learn_from_peer(now, news)?;
        self.on_change(now, &news.engine, change);
        if self.owns(&news.engine) {
            self.rates.schedule_update(&news.engine);
        }
        Some(change)
    }

    fn on_change(&mut self, now: Timestamp, engine: &BackEndName, change: RateChange) {
        match change.now {
            Some(_) => {
                self.bucket(now, engine);
            }
            None => {
                self.buckets.remove(engine);
            }
        }
    }

    /// The router whose bucket holds an engine's rate; `None` while the routers are not known.
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

    /// Engines that state a rate which this router owns.
    pub fn owned(&self) -> Vec<BackEndName> {
        self.buckets.keys().cloned().collect()
    }

    /// What is known of up to `most` engines that state a rate, that another router owns, and that `counts` says count.
    pub fn updates_for_owner(
        &self,
        now: Timestamp,
        owner: SocketAddr,
        counts: impl Fn(&BackEndName) -> bool,
        most: usize,
    ) -> Vec<RateUpdate> {
        let owned = self.rates.limited().filter(|engine| self.owners.get(*engine) == Some(&owner));
        let counted = owned.filter(|engine| counts(engine)).take(most);
        counted.filter_map(|engine| self.rates.update_for(now, engine)).collect()
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

    /// Whether a permit of `lender` counts for an engine: of one that states a rate only its owner's does, whatever a router
    /// that has not heard of the statement lends.
    pub fn accepts_permit_from(&mut self, lender: SocketAddr, engine: &BackEndName) -> bool {
        self.rates.rate(engine).is_none() || self.owner(engine) == Some(lender)
    }

    /// Whether this router may send a request to an engine without asking another one.
    pub fn has_room(&mut self, now: Timestamp, engine: &EngineRecord, scope: PermitScope) -> bool {
        let name = &engine.notice.engine;
        if self.rates.rate(name).is_none() {
            return scope == PermitScope::Rate || self.slots.free(now, engine) > 0;
        }
        let has_slot = scope == PermitScope::Rate || self.free_slots(now, engine) > 0;
        let may_go = |(bucket, rate): (&mut RateBucket, _)| bucket.wait(now, rate) == Millis(0);
        has_slot && self.bucket(now, name).is_some_and(may_go)
    }

    /// Free slots of an engine that this router answers for.
    pub fn free_slots(&mut self, now: Timestamp, engine: &EngineRecord) -> u32 {
        let name = &engine.notice.engine;
        if self.rates.rate(name).is_none() {
            return self.slots.free(now, engine);
        }
        engine.notice.slots.saturating_sub(self.slots.used(name))
    }

    /// A request goes to an engine, whether there is room for it or not. Its slot is in use until
    /// [`SlotShares::release_slot`], unless it is held to rates only.
    pub fn take(&mut self, now: Timestamp, engine: &BackEndName, scope: PermitScope) {
        if scope == PermitScope::RateAndSlot {
            self.slots.take(engine);
        }
        if let Some((bucket, _)) = self.bucket(now, engine) {
            bucket.take(now);
        }
    }

    /// What requests can expect of `engines`, all those of a service that may be asked.
    pub fn availability<'a>(
        &mut self,
        now: Timestamp,
        engines: impl Iterator<Item = &'a EngineRecord>,
    ) -> PermitAvailability {
        let mut soonest: Option<(Millis, &BackEndName)> = None;
        for engine in engines {
            let Some(wait) = self.wait(now, engine) else {
                return PermitAvailability::Unlimited;
            };
            soonest = soonest.into_iter().chain([(wait, &engine.notice.engine)]).min();
        }
        match soonest {
            None => PermitAvailability::Unlimited,
            Some((Millis(0), _)) => PermitAvailability::Available,
            Some((soonest, engine)) => {
                PermitAvailability::Spent { soonest, engine: engine.clone() }
            }
        }
    }

    /// Time until a permit for an engine may be had, here or from its owner; `None` if it states no rate.
    fn wait(&mut self, now: Timestamp, engine: &EngineRecord) -> Option<Millis> {
        let name = &engine.notice.engine;
        self.rates.rate(name)?;
        if let Some((bucket, rate)) = self.bucket(now, name) {
            return Some(bucket.wait(now, rate));
        }
        let owner = self.owner(name);
        let key = owner.map(|owner| (owner, engine.notice.service.clone()));
        let until = key.and_then(|key| self.spent_until.get(&key).copied());
        Some(until.unwrap_or_default().since(now))
    }

    /// Time until this router has a permit to give for an engine that `counts` says counts; `None` if it owns none of
    /// them.
    pub fn next_owned_permit(
        &mut self,
        now: Timestamp,
        counts: impl Fn(&BackEndName) -> bool,
    ) -> Option<Millis> {
        let mut soonest = None;
        for engine in self.owned().iter().filter(|engine| counts(engine)) {
            if let Some((bucket, rate)) = self.bucket(now, engine) {
                soonest = soonest.into_iter().chain([bucket.wait(now, rate)]).min();
            }
        }
        soonest
    }

    /// Rates of those engines that `counts` says count and this router owns, together.
    pub fn owned_rate(&self, counts: impl Fn(&BackEndName) -> bool) -> RequestRate {
        let owned = self.buckets.keys().filter(|engine| counts(engine));
        owned
            .filter_map(|engine| self.rates.rate(engine))
            .fold(RequestRate::ZERO, |sum, rate| sum + rate)
    }

    /// Another router has nothing to give for a service for so long.
    pub fn on_spent(
        &mut self,
        now: Timestamp,
        owner: SocketAddr,
        service: &ServiceName,
        wait: Millis,
    ) {
        self.spent_until.insert((owner, service.clone()), now + wait);
    }

    /// Forgets engines that the directory no longer knows, so that what is kept is bounded by what is known.
    pub fn forget_unknown(&mut self, directory: &EngineDirectory) {
        self.rates.forget_unknown(directory);
        self.buckets.retain(|engine, _| directory.get(engine).is_some());
        self.owners.retain(|engine, _| directory.get(engine).is_some());
    }

    /// Routers to ask for a permit for one of `engines`, all of one service: the owners of those that state a rate, and
    /// whoever may lend a slot. Each request, by its `lot`, begins with another one.
    pub fn lenders<'a>(
        &mut self,
        now: Timestamp,
        lot: u64,
        scope: PermitScope,
        engines: impl Iterator<Item = &'a EngineRecord>,
    ) -> Vec<SocketAddr> {
        let own = self.slots.own_address();
        let mut lenders = Vec::new();
        let mut lends_slots = false;
        for engine in engines {
            let name = &engine.notice.engine;
            match self.rates.rate(name).and_then(|_| self.owner(name)) {
                Some(owner) if self.wait(now, engine) == Some(Millis(0)) => {
                    lenders.push((owner, router_hash(owner)))
                }
                Some(_) => {}
                None => lends_slots |= scope == PermitScope::RateAndSlot,
            }
        }
        if lends_slots {
            lenders.extend(self.slots.lenders(now));
        }
        lenders.retain(|(lender, _)| *lender != own);
        lenders.sort_by_key(|(lender, hash)| (mix(lot ^ hash), *lender));
        lenders.dedup();
        lenders.into_iter().map(|(lender, _)| lender).collect()
    }
}
