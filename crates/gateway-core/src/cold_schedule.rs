//! When a router may send requests to a cold engine, so that all routers together send it no more
//! than its service's rate.
//!
//! The load: an engine that has just started has nothing to do and looks best to every router in
//! the same moment, while it accepts less than a tenth of a request per second and router. So the
//! time until its cold period ends is divided into slots of one request each, and each slot belongs
//! to one router by its rank among all of them. No message is needed, and a router that is
//! disconnected goes on with the routers that it knew.
//!
//! Invariants, while the routers agree about which routers run and when the period ends:
//! - A slot is used at most once, and within [`SLOT_VALIDITY`] after it begins. So within one
//!   second at most `rate * (1 + SLOT_VALIDITY)` requests are sent, rounded up.
//! - A router that does not know the others has no slot. While it knows fewer than it did before,
//!   it keeps the slots of the larger number: the others may be disconnected from control only.

use crate::cold_engines::{ColdDelta, ColdEngines};
use crate::directory::EngineRecord;
use stackpost_types::{BackEndName, Digest, Millis, RequestRate, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time for which a slot may be used after it begins, so that a router with few requests uses it.
const SLOT_VALIDITY: Millis = Millis(400);
/// Time for which a larger number of routers stays in force after some of them have disappeared.
const ROUTER_RETENTION: Millis = Millis(30_000);
const MILLIS_PER_KILOSECOND: u64 = 1_000_000;

/// One router's rank among all routers.
#[derive(Clone, Copy, Debug)]
struct Rank {
    own: u64,
    routers: u64,
}

/// One router's slots at cold engines.
#[derive(Clone, Debug, Default)]
pub struct ColdSchedule {
    engines: ColdEngines,
    /// Rates of cold engines by service; a service that is not listed has no limit.
    rates: BTreeMap<ServiceName, RequestRate>,
    rank: Option<Rank>,
    /// The number of routers before some disappeared, and until when it stays in force.
    former_routers: Option<(u64, Timestamp)>,
    /// The last slot used at each engine. Slots are numbered backwards from the end of the period,
    /// so those with lower numbers are still unused.
    last_used: HashMap<BackEndName, UsedSlot>,
}

#[derive(Clone, Copy, Debug)]
struct UsedSlot {
    /// The end of the period that it belongs to.
    until: Timestamp,
    number: u64,
}

impl ColdSchedule {
    /// Sets the rates of cold engines by service.
    pub fn set_rates(&mut self, rates: BTreeMap<ServiceName, RequestRate>) {
        self.rates = rates;
    }

    /// Merges the cold periods that a control process reports.
    pub fn merge(&mut self, now: Timestamp, delta: &ColdDelta) {
        for notice in &delta.notices {
            self.engines.merge(now, notice);
        }
    }

    /// Sets the other running routers.
    pub fn set_routers(&mut self, now: Timestamp, own: SocketAddr, others: &[SocketAddr]) {
        let routers = others.len() as u64 + 1;
        let before = self.rank.map_or(0, |rank| self.slots_per_round(now, rank));
        if routers < before {
            self.former_routers = Some((before, now + ROUTER_RETENTION));
        }
        let rank = others.iter().filter(|other| **other < own).count() as u64;
        self.rank = Some(Rank { own: rank, routers });
    }

    fn slots_per_round(&self, now: Timestamp, rank: Rank) -> u64 {
        let former = self.former_routers.filter(|(_, until)| now < *until);
        former.map_or(rank.routers, |(routers, _)| routers.max(rank.routers))
    }

    fn rate(&self, engine: &EngineRecord) -> Option<RequestRate> {
        self.rates.get(&engine.notice.service).copied()
    }

    /// Time until this router may send an engine a request; `None` if the engine is not limited. At
    /// the latest the period's end.
    pub fn wait(&self, now: Timestamp, engine: &EngineRecord) -> Option<Millis> {
        let rate = self.rate(engine)?;
        let until = self.engines.cold_until(now, &engine.notice.engine)?;
        let slot = self.next_slot(now, engine, until, rate);
        Some(slot.map_or(until, |slot| slot_begin(until, slot, rate)).since(now))
    }

    /// Uses this router's slot at an engine, if it has one now.
    pub fn take(&mut self, now: Timestamp, engine: &EngineRecord) {
        let name = &engine.notice.engine;
        let period = self.engines.cold_until(now, name).zip(self.rate(engine));
        let Some((until, rate)) = period else {
            return;
        };
        if let Some(number) = self.next_slot(now, engine, until, rate) {
            self.last_used.insert(name.clone(), UsedSlot { until, number });
        }
    }

    /// The number of the first unused slot of this router that is still valid.
    fn next_slot(
        &self,
        now: Timestamp,
        engine: &EngineRecord,
        until: Timestamp,
        rate: RequestRate,
    ) -> Option<u64> {
        let rank = self.rank?;
        let round = self.slots_per_round(now, rank);
        let oldest_valid = slot_at((until + SLOT_VALIDITY).since(now), rate)?;
        let name = &engine.notice.engine;
        let used = self.last_used.get(name).filter(|used| used.until == until);
        let first = match used {
            Some(used) => oldest_valid.min(used.number.checked_sub(1)?),
            None => oldest_valid,
        };
        // The engine's hash spreads a router's slots at several engines over time.
        let offset = Digest::of(&[name.as_str().as_bytes()]).to_u64() % round;
        let own = (rank.own + offset) % round;
        let ahead = (first % round + round - own) % round;
        first.checked_sub(ahead)
    }

    /// Forgets what the directory no longer contains.
    pub fn remove_expired(&mut self, now: Timestamp, is_known: impl Fn(&BackEndName) -> bool) {
        self.engines.remove_expired(now);
        self.last_used.retain(|engine, _| is_known(engine));
    }
}

/// The number of the slot that begins at or after `left` before the end of the period; `None` if
/// the rate is zero.
fn slot_at(left: Millis, rate: RequestRate) -> Option<u64> {
    (rate != RequestRate::ZERO).then(|| left.0 * rate.milli_rps() / MILLIS_PER_KILOSECOND)
}

/// When a slot of a period that ends at `until` begins.
fn slot_begin(until: Timestamp, slot: u64, rate: RequestRate) -> Timestamp {
    let before_end = slot * MILLIS_PER_KILOSECOND / rate.milli_rps().max(1);
    Timestamp(until.0.saturating_sub(before_end))
}
