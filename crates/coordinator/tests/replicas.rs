//! Control replicas under a seeded scheduler: process kills, power losses, wiped disks, partitions
//! and full disks. An acknowledged configuration is never lost, and no later read returns an older
//! one, whichever machines are voters.

mod support;

use rand::Rng;
use stackpost_coordinator::{MAX_DOCUMENT_BYTES, ReplicaEvent};
use stackpost_types::Timestamp;
use std::sync::Arc;
use support::{
    INITIAL_VOTERS, MACHINES, PendingRequest, TICK_MS, World, document_text, name, seeds,
};

/// Number of seeds in a default run.
const SEEDS: u64 = 60;
/// Length of a run with faults, in milliseconds.
const FAULT_TIME_MS: u64 = 40_000;
/// Time to recover afterwards.
const RECOVERY_TIME_MS: u64 = 25_000;

fn run_with_faults(seed: u64) -> u64 {
    let mut world = World::new(seed);
    world.run_for(3_000);
    let end = world.now + FAULT_TIME_MS;
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
    world.run_for(RECOVERY_TIME_MS);
    assert!(world.any_read_answered(), "seed {seed}: no read answered at the end");
    world.acknowledged
}

#[test]
fn acknowledged_changes_are_never_lost_nor_read_stale() {
    let acknowledged: u64 = seeds(SEEDS).map(run_with_faults).sum();
    assert!(acknowledged > SEEDS * 5, "too few acknowledged: {acknowledged}");
}

/// After a restart of all replicas no replica can hold a lease from before it.
#[test]
fn full_restart_does_not_wait_for_an_old_lease() {
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
        assert!(took < 650, "seed {seed}: {took} ms until a leader was elected");
    }
}

/// An unreachable voter may hold a lease, so the others wait until it expires.
#[test]
fn isolated_leader_keeps_its_lease_when_others_restart() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run_for(3_000);
        let leader = world.leader().expect("a leader");
        world.isolate(leader);
        for other in (0..MACHINES).filter(|other| *other != leader) {
            world.stop(other, 0);
        }
        // Every step checks that there is at most one leader.
        world.run_for(3_000);
        assert_eq!(world.active_leader_count(), 1, "seed {seed}: the others have elected a leader");
    }
}

#[test]
fn permanently_lost_voter_is_replaced() {
    let mut world = World::new(7);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(1_000);
    assert!(world.acknowledged > 0);
    world.stop(0, u64::MAX / 2);
    world.run_for(25_000);
    let replicas = world.machines.iter().filter_map(|machine| machine.replica.as_ref());
    let voters = replicas
        .filter(|replica| replica.is_leader(Timestamp(world.now)))
        .map(|replica| replica.voters().clone())
        .next()
        .expect("a leader among the others");
    assert_eq!(voters.len(), INITIAL_VOTERS);
    assert!(!voters.contains_key(&name(0)), "the lost machine is still a voter");
    world.stop(1, u64::MAX / 2);
    world.run_for(3_000);
    assert!(world.any_read_answered(), "no majority of the new voter and the last initial voter");
}

#[test]
fn wiped_voter_counts_only_under_its_new_identity() {
    let mut world = World::new(11);
    world.run_for(3_000);
    world.put(0);
    world.put(1);
    world.put(2);
    world.run_for(500);
    world.lose_disk(1, 500);
    world.run_for(8_000);
    let wiped = world.machines[1].replica.as_ref().expect("running again");
    assert!(wiped.is_voter());
    assert_ne!(wiped.voters()[&name(1)], stackpost_consensus::INITIAL_IDENTITY);
}

#[test]
fn other_content_under_a_known_version_changes_nothing() {
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
    // The read also compares the content.
    assert!(world.any_read_answered());
}

#[test]
fn configuration_that_no_message_could_hold_is_refused() {
    let mut world = World::new(4);
    world.run_for(3_000);
    let mut put_everywhere = |version: u64, bytes: usize| {
        for machine in 0..INITIAL_VOTERS {
            let token = world.token(PendingRequest::Put(version));
            let mut text = document_text(version).into_bytes();
            text.resize(bytes, b' ');
            world.send_event(machine, ReplicaEvent::Put { token, bytes: text.into() });
        }
        world.run_for(1_000);
        world.acknowledged
    };
    assert_eq!(put_everywhere(9, MAX_DOCUMENT_BYTES + 1), 0);
    assert_eq!(put_everywhere(10, MAX_DOCUMENT_BYTES), 10);
}

/// A restarted replica knows what was committed without any other replica: routers that are
/// disconnected from the leader for long accept the configuration of such a replica.
#[test]
fn replica_that_restarts_alone_knows_committed_changes() {
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
            let replica = machine.replica.as_ref().expect("running again");
            let known = replica.state().document_version();
            assert!(
                known >= world.acknowledged,
                "seed {seed}: {} has version {known}",
                machine.name
            );
        }
    }
}
