//! How many requests a second engines take from all routers together, as they state it in their answers.
//!
//! A statement holds for one life of an engine, until it says something else. Answers overtake one another, so the
//! statement that counts is the one in the answer to the request that was sent last. Routers tell one another what
//! they hear: at a low rate each of them gets an answer so seldom that it would learn of the end late.

use crate::directory::EngineDirectory;
use serde::{Deserialize, Serialize};
use stackpost_types::{BackEndName, Millis, RequestRate, Timestamp};
use std::collections::HashMap;

/// Times that a change is told to other routers, since a datagram may be lost.
const TELLINGS: u8 = 2;
/// A statement so old is compared with what the engine's owner knows: all that told of its end may have been lost.
const OLD: Millis = Millis(10_000);

/// What an answer says of its engine's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// Nothing that can be read, so that what was known stands.
    #[default]
    Unknown,
    /// The engine takes whatever comes.
    Unlimited,
    /// The engine takes so many requests from all routers together.
    Limited(RequestRate),
}

/// What one router tells another of an engine's statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The engine.
    pub engine: BackEndName,
    /// Its rate; `None` if it takes whatever comes.
    pub rate: Option<RequestRate>,
    /// How long ago the request was sent whose answer says so.
    pub age: Millis,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The rate that was known before.
    pub before: Option<RequestRate>,
    /// The rate that holds now.
    pub now: Option<RequestRate>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    rate: Option<RequestRate>,
    /// When the request was sent whose answer says so.
    asked_at: Timestamp,
    /// When it was last compared with what the owner knows.
    compared_at: Timestamp,
    /// How often it is still told to other routers.
    tellings: u8,
}

/// The rates that one router knows.
#[derive(Clone, Debug, Default)]
pub struct StatedRates {
    known: HashMap<BackEndName, Known>,
}

impl StatedRates {
    /// Takes in what the answer to a request that was sent at `asked_at` says.
    pub fn learn(
        &mut self,
        engine: &BackEndName,
        asked_at: Timestamp,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let rate = match statement {
            RateStatement::Unknown => return None,
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
        };
        let known = self.known.get(engine).copied();
        let before = known.and_then(|known| known.rate);
        let is_older = known.is_some_and(|known| asked_at < known.asked_at);
        // Of an engine that has never stated a rate nothing is kept.
        if is_older || known.is_none() && rate.is_none() {
            return None;
        }
        let changes = before != rate;
        let left = known.map_or(0, |known| known.tellings);
        let tellings = if changes { TELLINGS } else { left };
        let heard = Known { rate, asked_at, compared_at: asked_at, tellings };
        self.known.insert(engine.clone(), heard);
        changes.then_some(RateChange { before, now: rate })
    }

    /// Takes in what another router has heard. The same rate told again makes a statement no younger: it would age
    /// on its way only.
    pub fn learn_from_peer(&mut self, now: Timestamp, news: &RateUpdate) -> Option<RateChange> {
        let asked_at = Timestamp(now.0.saturating_sub(news.age.0));
        let known = self.known.get(&news.engine).copied();
        let before = known.and_then(|known| known.rate);
        let is_older = known.is_some_and(|known| asked_at <= known.asked_at);
        if is_older || before == news.rate {
            return None;
        }
        let told = Known { rate: news.rate, asked_at, compared_at: now, tellings: 0 };
        self.known.insert(news.engine.clone(), told);
        Some(RateChange { before, now: news.rate })
    }

    /// The rate that an engine states.
    pub fn rate(&self, engine: &BackEndName) -> Option<RequestRate> {
        self.known.get(engine)?.rate
    }

    /// Engines that state a rate.
    pub fn limited(&self) -> impl Iterator<Item = &BackEndName> {
        self.known.iter().filter(|(_, known)| known.rate.is_some()).map(|(engine, _)| engine)
    }

    /// What is known of an engine that states a rate or has stated one, for another router.
    pub fn update_for(&self, now: Timestamp, engine: &BackEndName) -> Option<RateUpdate> {
        let known = self.known.get(engine)?;
        let age = now.since(known.asked_at);
        Some(RateUpdate { engine: engine.clone(), rate: known.rate, age })
    }

    /// Other routers are to be told of an engine.
    pub fn schedule_update(&mut self, engine: &BackEndName) {
        if let Some(known) = self.known.get_mut(engine) {
            known.tellings = TELLINGS;
        }
    }

    /// What other routers are to be told. Counts as told once more.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<RateUpdate> {
        let mut news = Vec::new();
        for (engine, known) in self.known.iter_mut().filter(|(_, known)| known.tellings > 0) {
            known.tellings -= 1;
            let age = now.since(known.asked_at);
            news.push(RateUpdate { engine: engine.clone(), rate: known.rate, age });
        }
        news
    }

    /// Statements that no answer has confirmed for long. Counts as compared.
    pub fn take_stale(&mut self, now: Timestamp) -> Vec<RateUpdate> {
        let is_old = |known: &Known| known.rate.is_some() && now.since(known.compared_at) >= OLD;
        let mut old = Vec::new();
        for (engine, known) in self.known.iter_mut().filter(|(_, known)| is_old(known)) {
            known.compared_at = now;
            let age = now.since(known.asked_at);
            old.push(RateUpdate { engine: engine.clone(), rate: known.rate, age });
        }
        old
    }

    /// Forgets engines that the directory no longer knows, so that what is kept is bounded by what is known.
    pub fn forget_unknown(&mut self, directory: &EngineDirectory) {
        self.known.retain(|engine, _| directory.get(engine).is_some());
    }
}
