//! Evacuations of zones in the replicated log: the last acknowledged order is in force, whatever is
//! lost afterwards.

mod support;

use rand::Rng;
use stackpost_coordinator::{ApplyOutcome, Command, FleetState, ReplicaEvent};
use stackpost_gateway_core::EvacuationOrder;
use stackpost_types::ZoneName;
use std::collections::BTreeMap;
use support::{INITIAL_VOTERS, PendingRequest, World, seeds};

/// Number of seeds in a default run.
const SEEDS: u64 = 60;
/// Length of a run with faults, in milliseconds.
const FAULT_TIME_MS: u64 = 60_000;
/// Time to recover afterwards.
const RECOVERY_TIME_MS: u64 = 25_000;
/// Time within which an operator sends an order again.
const RESEND_TIME_MS: u64 = 5_000;
/// Pause before an operator sends an order to another machine.
const RESEND_PAUSE_MS: u64 = 250;

fn order(zone: &ZoneName, starts: bool) -> EvacuationOrder {
    if starts { EvacuationOrder::Start(zone.clone()) } else { EvacuationOrder::End(zone.clone()) }
}

fn send(world: &mut World, machine: usize, order: EvacuationOrder) -> u64 {
    let token = world.token(PendingRequest::Evacuate);
    world.send_event(machine, ReplicaEvent::Evacuate { token, order });
    token
}

/// Sends an order to one machine after another until it is acknowledged. Returns whether it was.
fn send_until_acknowledged(world: &mut World, order: &EvacuationOrder) -> bool {
    let end = world.now + RESEND_TIME_MS;
    let mut tokens = Vec::new();
    while world.now < end {
        let machines = world.machines.len();
        let machine = world.rng.random_range(0..machines);
        tokens.push(send(world, machine, order.clone()));
        let pause_end = world.now + RESEND_PAUSE_MS;
        let is_accepted = |world: &World| tokens.iter().any(|one| world.accepted.contains(one));
        world.run_until(|world| world.now >= pause_end || is_accepted(world));
        if is_accepted(world) {
            return true;
        }
    }
    false
}

/// Returns the number of acknowledged orders.
fn run_with_faults(seed: u64) -> usize {
    let mut world = World::new(seed);
    world.run_for(3_000);
    let zones = [ZoneName::new("zone-0"), ZoneName::new("zone-1")];
    // Whether each zone is evacuated; unknown after an order that was not acknowledged.
    let mut expected: BTreeMap<&ZoneName, Option<bool>> = BTreeMap::new();
    let mut acknowledged = 0;
    let end = world.now + FAULT_TIME_MS;
    while world.now < end {
        let zone = &zones[world.rng.random_range(0..zones.len())];
        let starts = world.rng.random();
        if world.rng.random_ratio(1, 3) {
            world.inject_fault();
        }
        let is_acknowledged = send_until_acknowledged(&mut world, &order(zone, starts));
        expected.insert(zone, is_acknowledged.then_some(starts));
        acknowledged += usize::from(is_acknowledged);
        // A fault may follow within milliseconds of the acknowledgement.
        if world.rng.random_ratio(1, 4) {
            world.inject_fault();
        }
        let pause = world.rng.random_range(0..1_000);
        world.run_for(pause);
    }
    world.heal();
    world.run_for(RECOVERY_TIME_MS);
    let voters = world.voters();
    assert_eq!(voters.len(), INITIAL_VOTERS, "seed {seed}");
    for machine in world.machines.iter().filter(|machine| voters.contains(&machine.name)) {
        let replica = machine.replica.as_ref().expect("running");
        for (zone, is_evacuated) in &expected {
            let known = replica.state().evacuations.zones().contains(*zone);
            assert!(is_evacuated.is_none_or(|expected| known == expected), "seed {seed}: {zone}");
        }
    }
    acknowledged
}

#[test]
fn last_acknowledged_order_is_in_force_after_faults() {
    let acknowledged: usize = seeds(SEEDS).map(run_with_faults).sum();
    assert!(acknowledged as u64 > SEEDS * 5, "too few acknowledged: {acknowledged}");
}

#[test]
fn repeated_order_changes_nothing_and_is_acknowledged() {
    let mut world = World::with_machines(5, INITIAL_VOTERS);
    world.run_for(3_000);
    let zone = ZoneName::new("zone-0");
    for _ in 0..5 {
        assert!(send_until_acknowledged(&mut world, &order(&zone, true)));
    }
    let leader = world.leader().expect("a leader");
    let replica = world.machines[leader].replica.as_ref().expect("running");
    assert_eq!(replica.state().evacuations.revision(), 1);
}

#[test]
fn no_order_is_acknowledged_without_a_majority() {
    let mut world = World::with_machines(6, INITIAL_VOTERS);
    world.run_for(3_000);
    let leader = world.leader().expect("a leader");
    world.isolate(leader);
    let token = send(&mut world, leader, order(&ZoneName::new("zone-0"), true));
    world.run_for(5_000);
    assert!(!world.accepted.contains(&token));
}

#[test]
fn snapshot_without_evacuations_is_decoded() {
    let mut state = FleetState::default();
    let earlier = state.to_snapshot();
    let change = order(&ZoneName::new("zone-0"), true);
    assert_eq!(state.apply(Command::Evacuate(change)), ApplyOutcome::EvacuationsChanged);
    assert_eq!(FleetState::from_snapshot(&state.to_snapshot()), Ok(state));
    // Empty evacuations are encoded as two numbers at the end: how many there are, and the
    // revision.
    let without_evacuations = &earlier[..earlier.len() - 2];
    assert_eq!(FleetState::from_snapshot(without_evacuations), Ok(FleetState::default()));
}
