//! How long an engine takes for a request when none waits there, and whether a response was delayed
//! by a long queue.

use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::HashMap;

/// Part of the distance by which the work time follows a faster response.
const FALL: f64 = 0.3;
/// Largest part of itself by which the work time rises with a slower response: most of these waited.
/// At 20 responses per second it doubles within a minute.
const MAX_RISE: f64 = 0.0005;
/// Multiple of the work time from which a response shows a queue as long as the engine's slots.
const LONG_QUEUE_FACTOR: f64 = 2.0;
/// Time without a response after which an engine's work time is removed.
const EXPIRY_TIME: Millis = Millis(60_000);
/// Maximum number of engines whose work time is kept: four times the largest fleet.
const MAX_ENGINES: usize = 4_096;

/// A response of an engine of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTiming<'a> {
    /// The engine.
    pub engine: &'a BackEndName,
    /// Time since the request was sent to the engine.
    pub since_sent: Millis,
    /// Time since the request arrived at this router.
    pub since_arrival: Millis,
    /// The objective of the request's route.
    pub objective: Millis,
    /// Requests known to be in flight at the engine.
    pub in_flight: u64,
    /// Number of requests that the engine runs at a time.
    pub slots: u32,
}

/// How much a long queue delayed a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueDelay {
    /// The queue is short, or the response took at most half of the objective.
    InTime,
    /// It took more than half of the objective.
    NearlyLate,
    /// It took longer than the objective.
    Late,
}

#[derive(Clone, Copy, Debug)]
struct WorkTime {
    millis: f64,
    responded_at: Timestamp,
}

/// The work times of a service's engines.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkTimes {
    engines: HashMap<BackEndName, WorkTime>,
}

impl WorkTimes {
    /// Learns from a response. Returns whether a long queue delayed it: slowness alone does not show
    /// a lack of capacity.
    pub fn delay(&mut self, now: Timestamp, response: &ResponseTiming<'_>) -> QueueDelay {
        let took = response.since_sent.0 as f64;
        let work = self.learn(now, response.engine, took);
        let is_queue_long =
            took >= LONG_QUEUE_FACTOR * work || response.in_flight > u64::from(response.slots);
        match response.since_arrival {
            since if is_queue_long && since > response.objective => QueueDelay::Late,
            since if is_queue_long && since.0 > response.objective.0 / 2 => QueueDelay::NearlyLate,
            _ => QueueDelay::InTime,
        }
    }

    /// Removes engines without a response for some time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.engines.retain(|_, work| now.since(work.responded_at) < EXPIRY_TIME);
    }

    /// Returns the work time including this response, in milliseconds.
    fn learn(&mut self, now: Timestamp, engine: &BackEndName, took: f64) -> f64 {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(engine) {
            return took;
        }
        let first = WorkTime { millis: took, responded_at: now };
        let work = self.engines.entry(engine.clone()).or_insert(first);
        work.responded_at = now;
        work.millis += (FALL * (took - work.millis)).min(MAX_RISE * work.millis);
        work.millis
    }
}
