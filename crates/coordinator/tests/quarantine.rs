//! The quarantine of requests that end engines, over faults of the control replicas.

mod support;

use serde::Serialize;
use stackpost_coordinator::{Command, Document, FleetState, ReplicaEvent};
use stackpost_gateway_core::*;
use stackpost_prepaid::PrepaidLedger;
use stackpost_types::BackEndName;
use support::*;

/// Time for an election and a commit.
const SETTLED: u64 = 3_000;
/// Longer than a first quarantine.
const QUARANTINE_OVER: u64 = 305_000;

fn request() -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "ferry.example",
        path: "/1",
        tenant: None,
        body: b"",
    })
}

fn engine(number: usize) -> BackEndName {
    BackEndName::new(format!("e{number}"))
}

fn sighting(at_engine: usize) -> QuarantineChange {
    QuarantineChange::CrashesSeen(vec![CrashSighting {
        request: request(),
        engine: engine(at_engine),
    }])
}

fn report(world: &mut World, at_engine: usize) {
    world.run_until(|world| world.leader().is_some());
    let leader = world.leader().expect("one leads");
    world.send_event(leader, ReplicaEvent::CrashReport(sighting(at_engine)));
    world.run_for(500);
}

fn announce(world: &mut World, number: usize) {
    let leader = world.leader().expect("one leads");
    world.send_event(leader, ReplicaEvent::EngineAnnounced(engine(number)));
    world.run_for(500);
}

fn quarantined(world: &World) -> usize {
    let replicas = world.machines.iter().filter_map(|machine| machine.replica.as_ref());
    replicas.filter(|held| held.state().quarantine.is_quarantined(&request())).count()
}

fn world_with_three_engines_lost() -> World {
    let mut world = World::new(7);
    world.run_for(SETTLED);
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| report(&mut world, at_engine));
    world.run_for(SETTLED);
    assert!(quarantined(&world) >= INITIAL_VOTERS, "every voter knows");
    world
}

#[test]
fn it_outlives_leaders_and_a_loss_of_power_of_all_machines() {
    let mut world = world_with_three_engines_lost();
    let leader = world.leader().expect("one leads");
    world.stop(leader, 500);
    world.run_for(SETTLED);
    assert!(quarantined(&world) >= INITIAL_VOTERS);
    for machine in 0..world.machines.len() {
        world.machines[machine].disk.simulate_power_loss(0);
        world.stop(machine, 1_000);
    }
    world.run_for(2 * SETTLED);
    assert!(quarantined(&world) >= INITIAL_VOTERS);
}

#[test]
fn sightings_of_several_leaders_add_up() {
    let mut world = World::new(8);
    world.run_for(SETTLED);
    for at_engine in 0..CRASHES_TO_QUARANTINE {
        report(&mut world, at_engine);
        let leader = world.leader().expect("one leads");
        world.stop(leader, 500);
        world.run_for(SETTLED);
    }
    assert!(quarantined(&world) >= INITIAL_VOTERS);
}

#[test]
fn an_engine_that_goes_on_announcing_itself_has_not_ended() {
    let mut world = world_with_three_engines_lost();
    announce(&mut world, 0);
    assert!(quarantined(&world) >= INITIAL_VOTERS, "one announcement may have been held up");
    announce(&mut world, 0);
    assert_eq!(quarantined(&world), 0);
    report(&mut world, 5);
    assert!(quarantined(&world) >= INITIAL_VOTERS, "the other two engines still count");
}

/// Routers tell what is new more than once, in case a report was lost.
#[test]
fn a_sighting_that_is_told_again_begins_no_count_anew() {
    let mut world = world_with_three_engines_lost();
    announce(&mut world, 0);
    report(&mut world, 0);
    announce(&mut world, 0);
    assert_eq!(quarantined(&world), 0);
}

#[test]
fn it_ends_after_its_time_and_comes_back_with_the_next_engine() {
    let mut world = world_with_three_engines_lost();
    world.run_for(QUARANTINE_OVER);
    assert_eq!(quarantined(&world), 0);
    report(&mut world, 9);
    world.run_for(QUARANTINE_OVER);
    assert!(quarantined(&world) >= INITIAL_VOTERS, "twice as long");
}

#[test]
fn a_request_that_ended_well_is_let_in_everywhere() {
    let mut world = world_with_three_engines_lost();
    let leader = world.leader().expect("one leads");
    let cleared = QuarantineChange::Cleared(vec![request()]);
    world.send_event(leader, ReplicaEvent::CrashReport(cleared));
    world.run_for(SETTLED);
    assert_eq!(quarantined(&world), 0);
}

/// The state as versions without a quarantine wrote it.
#[derive(Serialize)]
struct EarlierState {
    document: Option<Document>,
    ledger: PrepaidLedger,
}

#[test]
fn a_snapshot_without_a_quarantine_is_read() {
    let document = Document { version: 3, bytes: b"3".as_slice().into() };
    let earlier = EarlierState { document: Some(document), ledger: PrepaidLedger::default() };
    let bytes = postcard::to_stdvec(&earlier).expect("encoded");
    let mut state = FleetState::from_snapshot(&bytes).expect("read");
    assert_eq!(state.document_version(), 3);
    assert!(state.quarantine.is_empty());
    state.apply(Command::Quarantine(sighting(0)));
    let again = FleetState::from_snapshot(&state.to_snapshot()).expect("read");
    assert_eq!(again, state);
}
