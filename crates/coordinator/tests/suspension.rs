//! Machines that are suspended for seconds and resume.
//!
//! The replica reads a clock that includes the time of a suspension
//! (`stackpost_clock::BootInstant`). With a clock that stops, a leader that resumes would consider
//! its lease valid while another replica leads; the last test shows that the checks in this file
//! detect this.

mod support;

use rand::Rng;
use support::*;

/// Longer than an election takes.
const SUSPENSION_MS: u64 = 3_000;
const SETTLE_TIME_MS: u64 = 3_000;

fn world_with_leader(seed: u64) -> (World, usize) {
    let mut world = World::new(seed);
    world.run_for(SETTLE_TIME_MS);
    let leader = world.leader().expect("a leader");
    world.put(leader);
    world.run_for(500);
    (world, leader)
}

/// Runs until another machine leads, and lets it acknowledge a change.
fn change_at_successor(world: &mut World, former: usize) -> usize {
    world.run_until(|world| world.lease_holders().iter().any(|leader| *leader != former));
    let leader = *world.lease_holders().iter().find(|leader| **leader != former).expect("a leader");
    let before = world.acknowledged;
    world.put(leader);
    world.run_until(|world| world.acknowledged > before);
    leader
}

#[test]
fn resumed_leader_steps_down_and_serves_nothing_stale() {
    for seed in seeds(20) {
        let (mut world, former) = world_with_leader(seed);
        world.suspend(former, SUSPENSION_MS, true);
        change_at_successor(&mut world, former);
        world.run_for(SUSPENSION_MS.saturating_sub(TICK_MS));
        // No message has been delivered yet: the read checks that no version older than the
        // acknowledged one is returned.
        assert!(!world.lease_holders().contains(&former), "seed {seed}");
        world.read(former);
        world.run_for(SETTLE_TIME_MS);
        assert_eq!(world.lease_holders().len(), 1, "seed {seed}");
    }
}

#[test]
fn resumed_follower_follows() {
    for seed in seeds(20) {
        let (mut world, leader) = world_with_leader(seed);
        let follower = (leader + 1) % INITIAL_VOTERS;
        world.suspend(follower, SUSPENSION_MS, true);
        for _ in 0..4 {
            world.put(leader);
            world.run_for(SUSPENSION_MS / 2);
        }
        world.run_for(SETTLE_TIME_MS);
        let leader = world.leader().expect("a leader");
        world.read(leader);
        world.run_for(SETTLE_TIME_MS);
        assert_eq!(world.lease_holders().len(), 1, "seed {seed}");
    }
}

/// Suspends any machine at any time, also several at once, with a power loss of all machines at the
/// end.
#[test]
fn acknowledged_changes_survive_suspensions_and_power_loss() {
    for seed in seeds(20) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(SETTLE_TIME_MS);
        for _ in 0..12 {
            let machine = world.rng.random_range(0..INITIAL_VOTERS);
            let time = world.rng.random_range(100..2 * SUSPENSION_MS);
            world.suspend(machine, time, true);
            let target = world.rng.random_range(0..INITIAL_VOTERS);
            world.put(target);
            world.read(target);
            let pause = world.rng.random_range(50..SUSPENSION_MS);
            world.run_for(pause);
        }
        world.run_for(2 * SUSPENSION_MS);
        for machine in 0..INITIAL_VOTERS {
            world.machines[machine].disk.simulate_power_loss(0);
            world.stop(machine, 1_000);
        }
        world.run_for(2 * SETTLE_TIME_MS);
        let leader = world.leader().expect("a leader");
        world.read(leader);
        world.run_for(SETTLE_TIME_MS);
        let version =
            world.machines[leader].replica.as_ref().expect("running").state().document_version();
        assert!(version >= world.acknowledged, "seed {seed}");
    }
}

#[test]
fn clock_that_stops_in_suspension_shows_two_leaders() {
    let (mut world, former) = world_with_leader(1);
    world.suspend(former, SUSPENSION_MS, false);
    change_at_successor(&mut world, former);
    let lease_holders = world.lease_holders();
    assert!(lease_holders.contains(&former) && lease_holders.len() == 2, "{lease_holders:?}");
}
