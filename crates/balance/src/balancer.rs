//! Selection among the back ends of a service.

use crate::back_end::BackEnd;
use crate::prefix::BlockHash;
use serde::{Deserialize, Serialize};
use stackpost_table::BackEndRow;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Cost of each request already at a back end of weight [`REFERENCE_WEIGHT`].
const LOAD_COST: u64 = 100;
/// Cost of a prompt with no cached prefix, relative to [`LOAD_COST`].
const MISS_COST: u64 = 400;
/// Cost of a back end in another zone.
const OTHER_ZONE_COST: u64 = 100_000;
/// Weight at which one request costs [`LOAD_COST`].
const REFERENCE_WEIGHT: u64 = 100;

/// Parameters of one selection.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The router's own zone.
    pub zone: &'a ZoneName,
    /// Hashes of the prompt's blocks; empty for requests without a prompt.
    pub blocks: &'a [BlockHash],
    /// Maximum number of requests in flight from one router to one back end.
    pub concurrency: u32,
    /// Back ends already tried for the request.
    pub tried: &'a [BackEndName],
    /// Whether the request may be used to probe a back end after its ejection.
    pub may_probe: bool,
}

/// One back end's score in a decision, for the explanation of decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The back end.
    pub back_end: BackEndName,
    /// Total cost of load, missing prompt blocks and zone; the lowest wins.
    pub cost: u64,
    /// Estimated number of requests there.
    pub load: u32,
    /// Estimated number of leading blocks of the prompt in its cache.
    pub cached_blocks: usize,
    /// Whether it is in the router's zone.
    pub same_zone: bool,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The candidates, best first; the first one is chosen.
    Chosen(Vec<Candidate>),
    /// Every back end that accepts requests has reached its limit of requests in flight.
    AllBusy,
    /// Every back end that could accept requests has asked for a backoff; the time is the earliest
    /// end of these.
    AllBackingOff(Timestamp),
    /// No back end accepts requests.
    NoneAvailable,
}

/// All back ends known to a router.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    back_ends: BTreeMap<BackEndName, BackEnd>,
    by_service: BTreeMap<ServiceName, Vec<BackEndName>>,
}

impl Balancer {
    /// Adds a back end or updates its row. Its state is kept unless its address has changed.
    pub fn set_back_end(&mut self, name: &BackEndName, row: &BackEndRow) {
        match self.back_ends.get_mut(name) {
            Some(known) if known.row.address == row.address => known.row = row.clone(),
            _ => {
                self.back_ends.insert(name.clone(), BackEnd::new(row.clone()));
            }
        }
        self.rebuild_service_index();
    }

    /// Removes a back end.
    pub fn remove_back_end(&mut self, name: &BackEndName) {
        self.back_ends.remove(name);
        self.rebuild_service_index();
    }

    /// The back end called `name`.
    pub fn get(&self, name: &BackEndName) -> Option<&BackEnd> {
        self.back_ends.get(name)
    }

    /// The back end called `name`, to record an event.
    pub fn get_mut(&mut self, name: &BackEndName) -> Option<&mut BackEnd> {
        self.back_ends.get_mut(name)
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = (&BackEndName, &BackEnd)> {
        self.back_ends.iter()
    }

    /// Scores the back ends of a service for one request and orders them by cost.
    pub fn choose(&self, now: Timestamp, query: &Query<'_>) -> Choice {
        let names = self.by_service.get(query.service).map(Vec::as_slice).unwrap_or_default();
        let mut candidates = Vec::new();
        let mut any_accepts = false;
        let mut earliest_backoff_end: Option<Timestamp> = None;
        for name in names {
            let Some(back_end) = self.back_ends.get(name) else {
                continue;
            };
            if query.tried.contains(name) || !back_end.accepts_requests(now) {
                let backoff_end = back_end.available_from(now);
                earliest_backoff_end = earliest_backoff_end.into_iter().chain(backoff_end).min();
                continue;
            }
            any_accepts = true;
            let max_in_flight = match back_end.is_probing(now) {
                true if !query.may_probe => 0,
                true => 1,
                false => query.concurrency,
            };
            if back_end.in_flight < max_in_flight {
                candidates.push(score(name, back_end, query));
            }
        }
        if candidates.is_empty() {
            return match earliest_backoff_end {
                _ if any_accepts => Choice::AllBusy,
                Some(earliest_backoff_end) => Choice::AllBackingOff(earliest_backoff_end),
                None => Choice::NoneAvailable,
            };
        }
        // Ties are broken by the prompt's first block, so that equal prompts go to the same back
        // end even before any cache event has been received.
        let subject = query.blocks.first().map(|block| block.0.to_string()).unwrap_or_default();
        candidates.sort_by_cached_key(|candidate| {
            let rank = rendezvous_rank(&subject, candidate.back_end.as_str());
            (candidate.cost, std::cmp::Reverse(rank))
        });
        Choice::Chosen(candidates)
    }

    fn rebuild_service_index(&mut self) {
        self.by_service.clear();
        for (name, back_end) in &self.back_ends {
            self.by_service.entry(back_end.row.service.clone()).or_default().push(name.clone());
        }
    }
}

fn score(name: &BackEndName, back_end: &BackEnd, query: &Query<'_>) -> Candidate {
    let load = back_end.estimated_load();
    let cached_blocks = back_end.cache.cached_prefix_len(query.blocks);
    let same_zone = back_end.row.zone == *query.zone;
    let weight = u64::from(back_end.row.weight.max(1));
    let load_cost = u64::from(load) * LOAD_COST * REFERENCE_WEIGHT / weight;
    let missing = (query.blocks.len() - cached_blocks) as u64;
    let miss_cost = MISS_COST * missing / (query.blocks.len() as u64).max(1);
    let zone_cost = if same_zone { 0 } else { OTHER_ZONE_COST };
    let cost = load_cost + miss_cost + zone_cost;
    Candidate { back_end: name.clone(), cost, load, cached_blocks, same_zone }
}
