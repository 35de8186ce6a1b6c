//! The choice among the back ends of a service.

use crate::back_end::BackEnd;
use crate::prefix::BlockHash;
use serde::{Deserialize, Serialize};
use stackpost_table::BackEndRow;
use stackpost_types::*;
use std::collections::BTreeMap;

/// Cost of one request already at a back end of weight [`REFERENCE_WEIGHT`].
const LOAD_COST: u64 = 100;
/// Cost of a prompt of which nothing is cached, relative to [`LOAD_COST`].
const MISS_COST: u64 = 400;
/// Cost of leaving the zone.
const OTHER_ZONE_COST: u64 = 100_000;
/// The weight at which one request costs [`LOAD_COST`].
const REFERENCE_WEIGHT: u64 = 100;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The router's own zone.
    pub zone: &'a ZoneName,
    /// Hashes of the prompt's blocks; empty for plain requests.
    pub blocks: &'a [BlockHash],
    /// Requests one router may have at one back end.
    pub concurrency: u32,
    /// Back ends that were tried already.
    pub tried: &'a [BackEndName],
    /// Whether the request may be used to see if a back end has recovered.
    pub may_probe: bool,
}

/// One back end's part in a decision, for explanations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The back end.
    pub back_end: BackEndName,
    /// Sum of the costs below; the lowest wins.
    pub cost: u64,
    /// Requests it is believed to have.
    pub load: u32,
    /// Leading blocks of the prompt that it is believed to hold.
    pub cached_blocks: usize,
    /// Whether it stands in the router's zone.
    pub same_zone: bool,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The first candidate wins; all are listed, best first.
    Chosen(Vec<Candidate>),
    /// Every back end that takes work has as many requests as allowed.
    AllBusy,
    /// Those that would take work have asked for rest, the first of them until then.
    AllBackingOff(Timestamp),
    /// No back end takes work.
    NoneAvailable,
}

/// All back ends known to a router.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    back_ends: BTreeMap<BackEndName, BackEnd>,
    by_service: BTreeMap<ServiceName, Vec<BackEndName>>,
}

impl Balancer {
    /// Adds a back end or takes over its changed row; what is known of it is kept unless it moved.
    pub fn set_back_end(&mut self, name: &BackEndName, row: &BackEndRow) {
        match self.back_ends.get_mut(name) {
            Some(known) if known.row.address == row.address => known.row = row.clone(),
            _ => {
                self.back_ends.insert(name.clone(), BackEnd::new(row.clone()));
            }
        }
        self.index();
    }

    /// Forgets a back end.
    pub fn remove_back_end(&mut self, name: &BackEndName) {
        self.back_ends.remove(name);
        self.index();
    }

    /// One back end.
    pub fn get(&self, name: &BackEndName) -> Option<&BackEnd> {
        self.back_ends.get(name)
    }

    /// One back end, to be told news.
    pub fn get_mut(&mut self, name: &BackEndName) -> Option<&mut BackEnd> {
        self.back_ends.get_mut(name)
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = (&BackEndName, &BackEnd)> {
        self.back_ends.iter()
    }

    /// Scores the back ends of a service for one request.
    pub fn choose(&self, now: Timestamp, query: &Query<'_>) -> Choice {
        let names = self.by_service.get(query.service).map(Vec::as_slice).unwrap_or_default();
        let mut candidates = Vec::new();
        let mut any_takes_work = false;
        let mut soonest: Option<Timestamp> = None;
        for name in names {
            let Some(back_end) = self.back_ends.get(name) else {
                continue;
            };
            if query.tried.contains(name) || !back_end.accepts_requests(now) {
                let opens = back_end.available_from(now);
                soonest = soonest.into_iter().chain(opens).min();
                continue;
            }
            any_takes_work = true;
            let allowed = match back_end.is_on_probation(now) {
                true if !query.may_probe => 0,
                true => 1,
                false => query.concurrency,
            };
            if back_end.in_flight < allowed {
                candidates.push(score(name, back_end, query));
            }
        }
        if candidates.is_empty() {
            return match soonest {
                _ if any_takes_work => Choice::AllBusy,
                Some(soonest) => Choice::AllBackingOff(soonest),
                None => Choice::NoneAvailable,
            };
        }
        // Equal costs are broken by the prompt's first block, so that equal prompts meet even
        // before any cache event has arrived.
        let subject = query.blocks.first().map(|block| block.0.to_string()).unwrap_or_default();
        candidates.sort_by_cached_key(|candidate| {
            let rank = rendezvous_rank(&subject, candidate.back_end.as_str());
            (candidate.cost, std::cmp::Reverse(rank))
        });
        Choice::Chosen(candidates)
    }

    fn index(&mut self) {
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
