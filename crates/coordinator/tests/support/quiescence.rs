//! Routers and one engine that departs, for tests of its quiescence.

use stackpost_gateway_core::{DepartureChange, DepartureRecord, Departures, EngineState};
use stackpost_types::{Incarnation, MachineName, NodeId, Timestamp};

pub const ENGINE: &str = "engine-1";
/// When the engine's departure is committed.
pub const START: Timestamp = Timestamp(1_000_000);

/// One process of a router.
pub fn node(number: usize, incarnation: u64) -> NodeId {
    let machine = MachineName::new(format!("router-{number}"));
    NodeId { machine, incarnation: Incarnation(incarnation) }
}

/// A departure of the engine, after which it is in `state`.
pub fn departures(state: EngineState) -> Departures {
    let mut departures = Departures::default();
    let announce = |state, sequence| {
        let record = DepartureRecord { engine: ENGINE.into(), state, sequence };
        DepartureChange::Announced(vec![record])
    };
    departures.apply(announce(EngineState::Draining, 3));
    departures.apply(announce(state, 4));
    departures
}
