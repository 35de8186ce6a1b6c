//! The request rates that engines accept from all routers together, as stated in their responses.
//!
//! A statement applies to one incarnation of an engine until the engine states something else.
//! Responses may arrive out of order, so the statement in the response to the request that was sent
//! last is in force. Routers exchange statements: at a low rate each of them gets a response so
//! rarely that it would learn late that a limit has ended.

use crate::directory::EngineDirectory;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, RequestRate, Timestamp};
use std::collections::HashMap;

/// Number of times that a change is sent to other routers, since a datagram may be lost.
const SENDS_PER_CHANGE: u8 = 2;
/// Age from which a statement is compared with that of the engine's owner: all messages about its
/// end may have been lost.
const STALE_AFTER: Millis = Millis(10_000);

/// The rate limit stated in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// No readable statement; the known one remains in force.
    #[default]
    Unknown,
    /// The engine states no limit.
    Unlimited,
    /// The engine accepts this rate from all routers together.
    Limited(RequestRate),
}

/// A statement as sent from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The engine.
    pub engine: BackEndName,
    /// Its rate; `None` if it states no limit.
    pub rate: Option<RequestRate>,
    /// Time since the request was sent whose response contained the statement.
    pub age: Millis,
}

/// The effect of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The rate known before.
    pub before: Option<RequestRate>,
    /// The rate in force now.
    pub now: Option<RequestRate>,
}

#[derive(Clone, Copy, Debug)]
struct KnownRate {
    rate: Option<RequestRate>,
    /// When the request was sent whose response contained the statement.
    sent_at: Timestamp,
    /// When it was last compared with the owner's statement.
    compared_at: Timestamp,
    /// How often it is still to be sent to other routers.
    pending_sends: u8,
}

/// The rates that one router knows.
#[derive(Clone, Debug, Default)]
pub struct StatedRates {
    known: HashMap<BackEndName, KnownRate>,
}

impl StatedRates {
    /// Records the statement in the response to a request that was sent at `sent_at`.
    pub fn learn(
        &mut self,
        engine: &BackEndName,
        sent_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let rate = match statement {
            RateStatement::Unknown => return None,
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
        };
        let known = self.known.get(engine).copied();
        let before = known.and_then(|known| known.rate);
        let is_older = known.is_some_and(|known| sent_at < known.sent_at);
        // Nothing is stored for an engine that has never stated a rate.
        if is_older || known.is_none() && rate.is_none() {
            return None;
        }
        let changes = before != rate;
        let remaining = known.map_or(0, |known| known.pending_sends);
        let pending_sends = if changes { SENDS_PER_CHANGE } else { remaining };
        let learned = KnownRate { rate, sent_at, compared_at: sent_at, pending_sends };
        self.known.insert(engine.clone(), learned);
        changes.then_some(RateChange { before, now: rate })
    }

    /// Merges a statement from another router. An update with the known rate does not refresh the
    /// statement, which would otherwise age only while in transit.
    pub fn learn_from_peer(&mut self, now: Timestamp, update: &RateUpdate) -> Option<RateChange> {
        let sent_at = Timestamp(now.0.saturating_sub(update.age.0));
        let known = self.known.get(&update.engine).copied();
        let before = known.and_then(|known| known.rate);
        let is_older = known.is_some_and(|known| sent_at <= known.sent_at);
        if is_older || before == update.rate {
            return None;
        }
        let received = KnownRate { rate: update.rate, sent_at, compared_at: now, pending_sends: 0 };
        self.known.insert(update.engine.clone(), received);
        Some(RateChange { before, now: update.rate })
    }

    /// The rate that an engine states.
    pub fn rate(&self, engine: &BackEndName) -> Option<RequestRate> {
        self.known.get(engine)?.rate
    }

    /// Engines that state a rate.
    pub fn limited(&self) -> impl Iterator<Item = &BackEndName> {
        self.known.iter().filter(|(_, known)| known.rate.is_some()).map(|(engine, _)| engine)
    }

    /// The update for another router about an engine that states a rate or has stated one.
    pub fn update_for(&self, now: Timestamp, engine: &BackEndName) -> Option<RateUpdate> {
        let known = self.known.get(engine)?;
        let age = now.since(known.sent_at);
        Some(RateUpdate { engine: engine.clone(), rate: known.rate, age })
    }

    /// Schedules an engine's statement to be sent to the other routers.
    pub fn schedule_update(&mut self, engine: &BackEndName) {
        if let Some(known) = self.known.get_mut(engine) {
            known.pending_sends = SENDS_PER_CHANGE;
        }
    }

    /// The updates due for other routers. Counts as sent once.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<RateUpdate> {
        let mut updates = Vec::new();
        for (engine, known) in self.known.iter_mut().filter(|(_, known)| known.pending_sends > 0) {
            known.pending_sends -= 1;
            let age = now.since(known.sent_at);
            updates.push(RateUpdate { engine: engine.clone(), rate: known.rate, age });
        }
        updates
    }

    /// Statements that no response has confirmed for a long time. Counts as compared.
    pub fn take_stale(&mut self, now: Timestamp) -> Vec<RateUpdate> {
        let is_stale =
            |known: &KnownRate| known.rate.is_some() && now.since(known.compared_at) >= STALE_AFTER;
        let mut stale = Vec::new();
        for (engine, known) in self.known.iter_mut().filter(|(_, known)| is_stale(known)) {
            known.compared_at = now;
            let age = now.since(known.sent_at);
            stale.push(RateUpdate { engine: engine.clone(), rate: known.rate, age });
        }
        stale
    }

    /// Removes engines that the directory no longer knows, so that the memory is bounded by the
    /// directory.
    pub fn remove_unknown(&mut self, directory: &EngineDirectory) {
        self.known.retain(|engine, _| directory.get(engine).is_some());
    }
}
