//! Replaced machines and lost disks, one after the other. A lost machine counts as replaced four
//! seconds after the start of its successor; from then on the next loss must be tolerated.

mod support;

use rand::Rng;
use support::{INITIAL_VOTERS, TICK_MS, World, ZONES, name, seeds};

/// Time after its start within which a new or wiped machine must have caught up.
const CATCH_UP_TIME_MS: u64 = 4_000;
/// Pause between the end of a machine and the start of its successor.
const RESTART_PAUSE_MS: u64 = 600;
/// Number of seeds in a default run.
const SEEDS: u64 = 40;
/// Number of lost disks or machines in one run.
const LOSS_COUNT: u32 = 6;

fn put_everywhere(world: &mut World) {
    for machine in 0..world.machines.len() {
        world.put(machine);
    }
}

/// The leader is replaced, the next leader's process restarts once, then that leader loses its
/// disk; each leader has led for less than eight seconds. The fault was that no leader could be
/// elected after this sequence.
#[test]
fn lost_voter_is_replaced_before_the_next_disk_is_lost() {
    let mut world = World::with_machines(1, INITIAL_VOTERS);
    world.run_for(3_000);
    let first = world.leader().expect("a leader of the initial voters");
    world.replace(first, RESTART_PAUSE_MS);
    world.run_for(7_600);
    let second = world.leader().expect("a leader of the remaining initial voters");
    world.stop(second, 500);
    world.run_for(7_400);
    put_everywhere(&mut world);
    world.run_for(300);
    let third = world.leader().expect("a leader again");
    assert!(world.acknowledged > 0);
    world.lose_disk(third, 2_000);
    world.run_for(10_000);
    assert!(world.any_read_answered(), "no leader although one disk at a time was lost");
}

/// Disks are lost with time to catch up between them, and processes are killed at any time, also
/// all at once. No acknowledged change may be lost, and every loss must be tolerated.
#[test]
fn successive_losses_of_disks_are_tolerated() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        for loss in 0..LOSS_COUNT {
            lose_machine_or_disk(&mut world);
            run_with_leader_kills(&mut world, CATCH_UP_TIME_MS + RESTART_PAUSE_MS);
            put_everywhere(&mut world);
            let pause = world.rng.random_range(300..3_000);
            world.run_for(pause);
            assert!(world.any_read_answered(), "seed {seed}: no read answered after loss {loss}");
        }
        world.all_lose_power();
        world.run_for(12_000);
        assert!(world.any_read_answered(), "seed {seed}: no read answered at the end");
        assert!(world.acknowledged > 0);
    }
}

/// Replaces a machine by another one, or restarts it without its disk; often it is the leader.
fn lose_machine_or_disk(world: &mut World) {
    let running: Vec<usize> =
        (0..world.machines.len()).filter(|one| world.machines[*one].replica.is_some()).collect();
    let any = running[world.rng.random_range(0..running.len())];
    let machine = if world.rng.random() { world.leader().unwrap_or(any) } else { any };
    if world.rng.random() {
        world.replace(machine, RESTART_PAUSE_MS);
    } else {
        world.lose_disk(machine, RESTART_PAUSE_MS);
    }
}

/// Advances time by `time`; in the first half the leader's process may be killed for 300 ms.
fn run_with_leader_kills(world: &mut World, time: u64) {
    let end = world.now + time;
    let kills = world.rng.random_range(0..2);
    for _ in 0..kills {
        let pause = world.rng.random_range(TICK_MS..time / 2);
        world.run_for(pause);
        if let Some(leader) = world.leader() {
            world.stop(leader, 300);
        }
    }
    world.run_for(end.saturating_sub(world.now));
}

/// The leader stops right after it has added a new voter, before any other replica learns of it,
/// with an entry that only the leader holds. The election then needs the new voter's vote.
#[test]
fn new_voter_votes_before_it_has_received_its_own_addition() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        let lost =
            (0..INITIAL_VOTERS).find(|one| world.leader() != Some(*one)).expect("a follower");
        let new_machine = world.replace(lost, RESTART_PAUSE_MS);
        world.run_until(|world| world.voters().contains(&name(new_machine)));
        let leader = world.leader().expect("the leader that added the new voter");
        world.drop_messages_in_flight();
        world.isolate(leader);
        world.put(leader);
        world.stop(leader, 300);
        world.heal();
        world.run_for(8_000);
        assert!(world.any_read_answered(), "seed {seed}: no leader");
    }
}

/// A partitioned voter is not replaced soon by a machine in the zone of another voter: the loss of
/// that zone would remove the majority.
#[test]
fn voter_is_not_replaced_from_a_zone_that_has_one() {
    let mut world = World::with_machines(3, INITIAL_VOTERS);
    world.add(0);
    world.add(1);
    world.run_for(3_000);
    let initial_voters = world.voters();
    assert_eq!(initial_voters.len(), INITIAL_VOTERS);
    world.isolate(2);
    world.run_for(5_500);
    assert_eq!(world.voters(), initial_voters);
    let suitable = world.add(2);
    world.run_for(1_000);
    assert!(
        world.voters().contains(&name(suitable)),
        "a machine in the lost voter's zone becomes a voter"
    );
    assert!(!world.voters().contains(&name(2)));
}

/// If no better machine is available for long, any machine replaces the voter, and is replaced
/// later by a machine in the empty zone.
#[test]
fn voters_are_spread_over_the_zones_after_a_partition() {
    let mut world = World::with_machines(4, INITIAL_VOTERS);
    let standby = world.add(0);
    world.run_for(3_000);
    world.isolate(2);
    world.run_for(10_000);
    assert!(world.voters().contains(&name(standby)), "no machine of the third zone is connected");
    world.heal();
    world.run_for(3_000);
    assert_eq!(world.voters().len(), INITIAL_VOTERS);
    let zones = (0..INITIAL_VOTERS + 1).filter(|one| world.voters().contains(&name(*one)));
    let zones: std::collections::BTreeSet<usize> = zones.map(|one| one % ZONES).collect();
    assert_eq!(zones.len(), ZONES, "each zone has one voter: {:?}", world.voters());
}

/// All machines lose power while the lost voter and its successor are both voters: the three that
/// restart are a majority of the four.
#[test]
fn power_loss_during_a_replacement_is_tolerated() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        put_everywhere(&mut world);
        world.run_for(500);
        let lost = (seed as usize) % INITIAL_VOTERS;
        let new_machine = world.replace(lost, RESTART_PAUSE_MS);
        world.run_until(|world| world.voters().contains(&name(new_machine)));
        assert_eq!(
            world.voters().len(),
            INITIAL_VOTERS + 1,
            "seed {seed}: one voter added, none removed yet"
        );
        for machine in (0..world.machines.len()).filter(|machine| *machine != lost) {
            world.machines[machine].disk.simulate_power_loss(0);
            world.stop(machine, 600);
        }
        world.run_for(12_000);
        assert!(world.acknowledged > 0);
        assert!(world.any_read_answered(), "seed {seed}: no leader after the power loss");
        assert_eq!(world.voters().len(), INITIAL_VOTERS, "seed {seed}: the lost voter is removed");
        assert!(!world.voters().contains(&name(lost)), "seed {seed}");
    }
}
