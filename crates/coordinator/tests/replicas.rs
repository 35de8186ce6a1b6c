//! Control replicas under a seeded scheduler: kills, losses of power, wiped disks, cuts and full
//! disks. What was acknowledged is never lost and never read older, whoever votes.

mod support;

use rand::Rng;
use stackpost_coordinator::ReplicaEvent;
use stackpost_types::Timestamp;
use std::sync::Arc;
use support::{
    INITIAL_VOTERS, MACHINES, PendingRequest, TICK_MS, World, document_text, name, seeds,
};

/// Seeds that every run plays.
const SEEDS: u64 = 60;
/// Length of a run with faults, in milliseconds.
const TROUBLE: u64 = 40_000;
/// Time to come to rest afterwards.
const REST: u64 = 25_000;

fn play(seed: u64) -> u64 {
    let mut world = World::new(seed);
    world.run_for(3_000);
    let end = world.now + TROUBLE;
    while world.now < end {
        let pause = world.rng.random_range(50..700);
        world.run_for(pause);
        let machine = world.rng.random_range(0..MACHINES);
        world.put(machine);
        let machine = world.rng.random_range(0..MACHINES);
        world.read(machine);
        if world.rng.random_ratio(1, 4) {
            world.inject_fault();
        }
    }
    world.heal();
    world.run_for(REST);
    assert!(world.any_read_answered(), "seed {seed}: nobody answers a read at the end");
    world.acknowledged
}

#[test]
fn what_was_acknowledged_is_never_lost_nor_read_older() {
    let acknowledged: u64 = seeds(SEEDS).map(play).sum();
    assert!(acknowledged > SEEDS * 5, "too little was acknowledged: {acknowledged}");
}

/// A lease that was granted before all replicas ended can't be held by anyone afterwards.
#[test]
fn a_group_that_restarts_as_a_whole_does_not_wait_for_an_old_lease() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run_for(3_000);
        world.all_lose_power();
        while world.machines.iter().any(|machine| machine.replica.is_none()) {
            world.run_for(TICK_MS);
        }
        let started = world.now;
        while world.active_leader_count() == 0 {
            world.run_for(TICK_MS);
        }
        let took = world.now - started;
        assert!(took < 650, "seed {seed}: {took} ms until one leads");
    }
}

/// A voter that can't be asked may hold a lease, so the others wait for it to run out.
#[test]
fn a_leader_out_of_sight_keeps_its_lease_when_the_others_restart() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run_for(3_000);
        let leader = world.leader().expect("one leads");
        world.isolate(leader);
        for other in (0..MACHINES).filter(|other| *other != leader) {
            world.stop(other, 0);
        }
        // No two may lead at any moment, which every step looks at.
        world.run_for(3_000);
        assert_eq!(
            world.active_leader_count(),
            1,
            "seed {seed}: the others have elected one by now"
        );
    }
}

#[test]
fn a_voter_that_is_gone_for_good_is_replaced() {
    let mut world = World::new(7);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(1_000);
    assert!(world.acknowledged > 0);
    world.stop(0, u64::MAX / 2);
    world.run_for(25_000);
    let leader = world.machines.iter().filter_map(|machine| machine.replica.as_ref());
    let voters = leader
        .filter(|replica| replica.leads(Timestamp(world.now)))
        .map(|replica| replica.voters().clone())
        .next()
        .expect("the others have a leader");
    assert_eq!(voters.len(), INITIAL_VOTERS);
    assert!(!voters.contains_key(&name(0)), "the one that is gone votes no more");
    world.stop(1, u64::MAX / 2);
    world.run_for(3_000);
    assert!(world.any_read_answered(), "the newcomer makes a majority with the last founder");
}

#[test]
fn a_wiped_voter_counts_again_only_under_its_new_identity() {
    let mut world = World::new(11);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(500);
    world.lose_disk(1, 500);
    world.run_for(8_000);
    let wiped = world.machines[1].replica.as_ref().expect("it runs again");
    assert!(wiped.is_voter());
    assert_ne!(wiped.voters()[&name(1)], stackpost_consensus::INITIAL_IDENTITY);
}

#[test]
fn other_content_under_a_held_version_changes_nothing() {
    let mut world = World::new(3);
    world.run_for(3_000);
    for machine in 0..INITIAL_VOTERS {
        let token = world.token(PendingRequest::Put(9));
        let bytes: Arc<[u8]> = document_text(9).into_bytes().into();
        world.send_event(machine, ReplicaEvent::Put { token, bytes });
    }
    world.run_for(1_000);
    assert_eq!(world.acknowledged, 9);
    for machine in 0..INITIAL_VOTERS {
        let token = world.token(PendingRequest::Put(9));
        let bytes: Arc<[u8]> = b"9:other".to_vec().into();
        world.send_event(machine, ReplicaEvent::Put { token, bytes });
    }
    world.run_for(1_000);
    // The read compares the content, too.
    assert!(world.any_read_answered());
}

/// What was committed is known after a restart, without any other replica: routers that are out of
/// touch for long take what such a replica holds.
#[test]
fn a_replica_that_restarts_alone_knows_what_was_committed() {
    for seed in seeds(20) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        for machine in 0..INITIAL_VOTERS {
            world.put(machine);
        }
        world.run_for(1_500);
        assert!(world.acknowledged > 0);
        for machine in 0..INITIAL_VOTERS {
            world.machines[machine].disk.simulate_power_loss(0);
            world.stop(machine, 600);
        }
        for machine in 0..INITIAL_VOTERS {
            world.isolate(machine);
        }
        world.run_for(3_000);
        for machine in &world.machines {
            let replica = machine.replica.as_ref().expect("it runs again");
            let known = replica.state().document_version();
            assert!(known >= world.acknowledged, "seed {seed}: {} knows {known}", machine.name);
        }
    }
}
