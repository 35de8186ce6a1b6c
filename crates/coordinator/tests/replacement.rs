//! Machines that are replaced and disks that are lost, one after the other. A lost machine counts as
//! back four seconds after its successor has started; from then on the next loss must be borne.

mod support;

use rand::Rng;
use support::{INITIAL_VOTERS, TICK_MS, World, ZONES, name, seeds};

/// Time after its start in which a new or emptied machine has to be up to date.
const CATCH_UP: u64 = 4_000;
/// Pause between the end of a machine and the start of its successor.
const PAUSE: u64 = 600;
/// Seeds that every run plays.
const SEEDS: u64 = 40;
/// Losses of a disk in one run.
const LOSSES: u32 = 6;

fn put_everywhere(world: &mut World) {
    for machine in 0..world.machines.len() {
        world.put(machine);
    }
}

/// The series of the incident of 2 December 2026: the leader is replaced, the next leader's process
/// ends once, then that leader loses its disk; each leader had led for less than eight seconds.
#[test]
fn a_lost_voter_is_replaced_before_the_next_disk_is_lost() {
    let mut world = World::with_machines(1, INITIAL_VOTERS);
    world.run_for(3_000);
    let first = world.leader().expect("the founders have elected one");
    world.replace(first, PAUSE);
    world.run_for(7_600);
    let second = world.leader().expect("the other founders have elected one");
    world.stop(second, 500);
    world.run_for(7_400);
    put_everywhere(&mut world);
    world.run_for(300);
    let third = world.leader().expect("one leads again");
    assert!(world.acknowledged > 0);
    world.lose_disk(third, 2_000);
    world.run_for(10_000);
    assert!(world.any_read_answered(), "one disk at a time was lost, and nobody leads");
}

/// Losses of disks with the catching up between them, and ends of processes at any time, also of
/// all at once. Nothing is lost, and every loss is borne.
#[test]
fn one_disk_after_the_other_may_be_lost() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        for loss in 0..LOSSES {
            lose_one(&mut world);
            trouble_until(&mut world, CATCH_UP + PAUSE);
            put_everywhere(&mut world);
            let rest = world.rng.random_range(300..3_000);
            world.run_for(rest);
            assert!(world.any_read_answered(), "seed {seed}: nobody answers after loss {loss}");
        }
        world.all_lose_power();
        world.run_for(12_000);
        assert!(world.any_read_answered(), "seed {seed}: nobody answers at the end");
        assert!(world.acknowledged > 0);
    }
}

/// A machine is replaced by another one or starts again without its disk; often the leader.
fn lose_one(world: &mut World) {
    let alive: Vec<usize> =
        (0..world.machines.len()).filter(|one| world.machines[*one].replica.is_some()).collect();
    let any = alive[world.rng.random_range(0..alive.len())];
    let machine = if world.rng.random() { world.leader().unwrap_or(any) } else { any };
    if world.rng.random() {
        world.replace(machine, PAUSE);
    } else {
        world.lose_disk(machine, PAUSE);
    }
}

/// Lets `time` pass; at moments in its first half a leader's process may end for a moment.
fn trouble_until(world: &mut World, time: u64) {
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

/// The leader ends right after a newcomer was let in, before anyone else hears that it was, with an
/// entry that only it holds. The newcomer's vote is needed then.
#[test]
fn a_newcomer_votes_before_it_has_heard_that_it_may() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        let gone =
            (0..INITIAL_VOTERS).find(|one| world.leader() != Some(*one)).expect("a follower");
        let newcomer = world.replace(gone, PAUSE);
        world.run_until(|world| world.voters().contains(&name(newcomer)));
        let leader = world.leader().expect("it has just let the newcomer in");
        world.drop_messages_in_flight();
        world.isolate(leader);
        world.put(leader);
        world.stop(leader, 300);
        world.heal();
        world.run_for(8_000);
        assert!(world.any_read_answered(), "seed {seed}: nobody leads");
    }
}

/// A machine in another voter's zone does not take the place of one that is cut off for a while: the
/// loss of that zone would take the majority.
#[test]
fn a_voter_is_not_replaced_from_a_zone_that_holds_one() {
    let mut world = World::with_machines(3, INITIAL_VOTERS);
    world.add(0);
    world.add(1);
    world.run_for(3_000);
    let initial_voters = world.voters();
    assert_eq!(initial_voters.len(), INITIAL_VOTERS);
    world.isolate(2);
    world.run_for(5_500);
    assert_eq!(world.voters(), initial_voters);
    let fitting = world.add(2);
    world.run_for(1_000);
    assert!(
        world.voters().contains(&name(fitting)),
        "a machine in the lost voter's zone is let in"
    );
    assert!(!world.voters().contains(&name(2)));
}

/// When nobody better stands by for long, any machine takes the place, and gives it back to a
/// machine in the empty zone later.
#[test]
fn voters_are_spread_over_the_zones_again() {
    let mut world = World::with_machines(4, INITIAL_VOTERS);
    let spare = world.add(0);
    world.run_for(3_000);
    world.isolate(2);
    world.run_for(10_000);
    assert!(world.voters().contains(&name(spare)), "no machine of the third zone is left");
    world.heal();
    world.run_for(3_000);
    assert_eq!(world.voters().len(), INITIAL_VOTERS);
    let zones = (0..INITIAL_VOTERS + 1).filter(|one| world.voters().contains(&name(*one)));
    let zones: std::collections::BTreeSet<usize> = zones.map(|one| one % ZONES).collect();
    assert_eq!(zones.len(), ZONES, "each zone holds one: {:?}", world.voters());
}

/// All machines lose power while the lost voter and its successor both count: the three that come
/// back are a majority of the four.
#[test]
fn a_loss_of_power_in_the_middle_of_a_replacement_is_borne() {
    for seed in seeds(SEEDS) {
        let mut world = World::with_machines(seed, INITIAL_VOTERS);
        world.run_for(3_000);
        put_everywhere(&mut world);
        world.run_for(500);
        let gone = (seed as usize) % INITIAL_VOTERS;
        let newcomer = world.replace(gone, PAUSE);
        world.run_until(|world| world.voters().contains(&name(newcomer)));
        assert_eq!(
            world.voters().len(),
            INITIAL_VOTERS + 1,
            "seed {seed}: one added, none removed yet"
        );
        for machine in (0..world.machines.len()).filter(|machine| *machine != gone) {
            world.machines[machine].disk.simulate_power_loss(0);
            world.stop(machine, 600);
        }
        world.run_for(12_000);
        assert!(world.acknowledged > 0);
        assert!(world.any_read_answered(), "seed {seed}: nobody leads after the loss of power");
        assert_eq!(world.voters().len(), INITIAL_VOTERS, "seed {seed}: the lost voter is removed");
        assert!(!world.voters().contains(&name(gone)), "seed {seed}");
    }
}
