//! Engines' words that they leave, written down by control replicas: what one replica holds is never lost.

mod support;

use rand::Rng;
use stackpost_coordinator::{ApplyOutcome, Command, FleetState, ReplicaEvent};
use stackpost_gateway_core::{DepartureChange, DepartureRecord, Departures, EngineState};
use std::collections::BTreeMap;
use support::{INITIAL_VOTERS, MACHINES, World, seeds};

/// Seeds that every run plays.
const SEEDS: u64 = 60;
/// Length of a run with faults, in milliseconds.
const TROUBLE: u64 = 40_000;
/// Time to come to rest afterwards.
const REST: u64 = 25_000;
/// Longer than a word is kept.
const KEPT: u64 = 200_000;

fn word(engine: usize, state: EngineState) -> DepartureRecord {
    DepartureRecord { engine: format!("engine-{engine}").as_str().into(), state, sequence: 3 }
}

/// Asks a replica to write a word down; only the leader does.
fn say(world: &mut World, machine: usize, word: DepartureRecord) {
    world.send_event(machine, ReplicaEvent::DepartureNotices(vec![word]));
}

fn held(world: &World) -> impl Iterator<Item = &Departures> {
    world
        .machines
        .iter()
        .filter_map(|machine| machine.replica.as_ref())
        .map(|replica| &replica.state().departures)
}

/// A word is acknowledged by whichever replica holds it.
fn is_acknowledged(world: &World, word: &DepartureRecord) -> bool {
    held(world).any(|departures| departures.covers(word))
}

fn play(seed: u64) -> usize {
    let mut world = World::new(seed);
    world.run_for(3_000);
    let end = world.now + TROUBLE;
    let mut said = 0;
    let mut acknowledged = BTreeMap::new();
    while world.now < end {
        let pause = world.rng.random_range(20..400);
        let before = world.now + pause;
        let machine = world.rng.random_range(0..MACHINES);
        let state = if said % 2 == 0 { EngineState::Gone } else { EngineState::Draining };
        say(&mut world, machine, word(said, state));
        said += 1;
        let latest: Vec<DepartureRecord> = (said.saturating_sub(8)..said)
            .map(|engine| {
                let state = if engine % 2 == 0 { EngineState::Gone } else { EngineState::Draining };
                word(engine, state)
            })
            .collect();
        world.run_until(|world| {
            world.now >= before || latest.iter().any(|word| is_acknowledged(world, word))
        });
        for word in latest {
            if is_acknowledged(&world, &word) {
                acknowledged.insert(word.engine.clone(), word);
            }
        }
        if world.rng.random_ratio(1, 4) {
            world.inject_fault();
        }
    }
    world.heal();
    world.run_for(REST);
    let voters = world.voters();
    assert_eq!(voters.len(), INITIAL_VOTERS, "seed {seed}");
    for machine in world.machines.iter().filter(|machine| voters.contains(&machine.name)) {
        let replica = machine.replica.as_ref().expect("it runs");
        for word in acknowledged.values() {
            let is_held = replica.state().departures.covers(word);
            assert!(is_held, "seed {seed}: {word:?} was acknowledged and is lost");
        }
    }
    acknowledged.len()
}

#[test]
fn a_departure_that_was_acknowledged_is_never_lost() {
    let acknowledged: usize = seeds(SEEDS).map(play).sum();
    assert!(acknowledged as u64 > SEEDS * 5, "too little was acknowledged: {acknowledged}");
}

#[test]
fn a_word_is_written_down_once_and_forgotten_after_a_while() {
    let mut world = World::with_machines(5, INITIAL_VOTERS);
    world.run_for(3_000);
    for _ in 0..20 {
        for machine in 0..INITIAL_VOTERS {
            say(&mut world, machine, word(1, EngineState::Gone));
        }
        world.run_for(300);
    }
    assert!(held(&world).all(|departures| departures.revision() == 1));
    assert!(is_acknowledged(&world, &word(1, EngineState::Gone)));
    world.run_for(KEPT);
    assert!(held(&world).all(|departures| departures.get(&"engine-1".into()).is_none()));
}

#[test]
fn nothing_is_written_down_without_a_majority() {
    let mut world = World::with_machines(6, INITIAL_VOTERS);
    world.run_for(3_000);
    let leader = world.leader().expect("one leads");
    world.isolate(leader);
    say(&mut world, leader, word(1, EngineState::Gone));
    world.run_for(5_000);
    assert!(!is_acknowledged(&world, &word(1, EngineState::Gone)));
}

#[test]
fn a_snapshot_of_the_version_before_is_read() {
    let mut state = FleetState::default();
    let earlier = state.to_snapshot();
    let change = DepartureChange::Announced(vec![word(1, EngineState::Gone)]);
    assert_eq!(state.apply(Command::Departures(change)), ApplyOutcome::DeparturesChanged);
    let now = state.to_snapshot();
    assert_eq!(FleetState::from_snapshot(&now), Ok(state));
    // Without words the departures are two numbers at the end: none held, and the revision.
    let without = &earlier[..earlier.len() - 2];
    assert_eq!(FleetState::from_snapshot(without), Ok(FleetState::default()));
}
