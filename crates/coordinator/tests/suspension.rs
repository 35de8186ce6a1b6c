//! Machines that are suspended for seconds and wake up.
//!
//! The replica reads a clock that counts that time (`stackpost_clock::BootInstant`). With one that stands
//! still, a leader that wakes holds its lease for valid while another one leads: the last test shows that
//! the checks here would see it.

mod support;

use rand::Rng;
use support::*;

/// Longer than an election.
const SUSPENDED: u64 = 3_000;
const SETTLED: u64 = 3_000;

fn led_world(seed: u64) -> (World, usize) {
    let mut world = World::new(seed);
    world.run_for(SETTLED);
    let leader = world.leader().expect("one leads");
    world.put(leader);
    world.run_for(500);
    (world, leader)
}

/// Runs until another machine leads, and has it acknowledge a change.
fn change_at_successor(world: &mut World, former: usize) -> usize {
    world.run_until(|world| world.lease_holders().iter().any(|leader| *leader != former));
    let leader =
        *world.lease_holders().iter().find(|leader| **leader != former).expect("one leads");
    let before = world.acknowledged;
    world.put(leader);
    world.run_until(|world| world.acknowledged > before);
    leader
}

#[test]
fn a_leader_that_wakes_leads_no_more_and_hands_out_nothing_older() {
    for seed in seeds(20) {
        let (mut world, former) = led_world(seed);
        world.suspend(former, SUSPENDED, true);
        change_at_successor(&mut world, former);
        world.run_for(SUSPENDED.saturating_sub(TICK_MS));
        // Before it has heard anything: a read checks that nothing older than acknowledged comes.
        assert!(!world.lease_holders().contains(&former), "seed {seed}");
        world.read(former);
        world.run_for(SETTLED);
        assert_eq!(world.lease_holders().len(), 1, "seed {seed}");
    }
}

#[test]
fn a_follower_that_wakes_follows() {
    for seed in seeds(20) {
        let (mut world, leader) = led_world(seed);
        let follower = (leader + 1) % INITIAL_VOTERS;
        world.suspend(follower, SUSPENDED, true);
        for _ in 0..4 {
            world.put(leader);
            world.run_for(SUSPENDED / 2);
        }
        world.run_for(SETTLED);
        let leader = world.leader().expect("one leads");
        world.read(leader);
        world.run_for(SETTLED);
        assert_eq!(world.lease_holders().len(), 1, "seed {seed}");
    }
}

/// Any machine at any time, several at once, with a loss of power of all of them at the end.
#[test]
fn what_was_acknowledged_outlives_suspensions_and_a_loss_of_power() {
    for seed in seeds(20) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(SETTLED);
        for _ in 0..12 {
            let machine = world.rng.random_range(0..INITIAL_VOTERS);
            let time = world.rng.random_range(100..2 * SUSPENDED);
            world.suspend(machine, time, true);
            let asked = world.rng.random_range(0..INITIAL_VOTERS);
            world.put(asked);
            world.read(asked);
            let pause = world.rng.random_range(50..SUSPENDED);
            world.run_for(pause);
        }
        world.run_for(2 * SUSPENDED);
        for machine in 0..INITIAL_VOTERS {
            world.machines[machine].disk.simulate_power_loss(0);
            world.stop(machine, 1_000);
        }
        world.run_for(2 * SETTLED);
        let leader = world.leader().expect("one leads");
        world.read(leader);
        world.run_for(SETTLED);
        let version =
            world.machines[leader].replica.as_ref().expect("up").state().document_version();
        assert!(version >= world.acknowledged, "seed {seed}");
    }
}

#[test]
fn a_clock_that_stands_still_in_suspension_would_show_two_leaders() {
    let (mut world, former) = led_world(1);
    world.suspend(former, SUSPENDED, false);
    change_at_successor(&mut world, former);
    let lease_holders = world.lease_holders();
    assert!(lease_holders.contains(&former) && lease_holders.len() == 2, "{lease_holders:?}");
}
