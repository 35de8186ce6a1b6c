//! What the replicated log carries for the routers, by how many there are.
//!
//! The failure: at 295 routers the log took one entry for each router each 400 ms, some 740 a second, on machines with
//! 0.15 of a core.

mod support;

use stackpost_coordinator::{ReplicaEvent, RouterStatus, RouterVersions};
use stackpost_prepaid::{AccountReport, BootTimestamp, SteadyTime};
use stackpost_types::{Incarnation, MachineName, NodeId, TenantName, Tokens};
use support::*;

/// Routers that keep an account, whatever their number.
const HOLDERS: usize = 10;
/// Time between two reports of a router, in milliseconds.
const REPORTED_EVERY: u64 = 400;
const REPORTS: u64 = 10;
/// Rounds of the leader in the time of all reports, 250 ms each.
const ROUNDS: u64 = REPORTED_EVERY * REPORTS / 250 + 1;
/// Entries that a round may write: what was given back, what is granted, and contacts.
const ENTRIES_A_ROUND: u64 = 3;

fn router(number: usize) -> NodeId {
    NodeId { machine: MachineName::new(format!("router{number}")), incarnation: Incarnation(1) }
}

fn report(world: &World, number: usize) -> ReplicaEvent {
    let account = AccountReport { rate: Tokens(500), ..AccountReport::default() };
    let accounts = match number < HOLDERS {
        true => vec![(TenantName::new(TENANT), account)],
        false => Vec::new(),
    };
    let contact = BootTimestamp { boot: number as u64, at: SteadyTime(world.now) };
    let status = RouterStatus {
        versions: RouterVersions::default(),
        accepts_unconfirmed: false,
        started: BootTimestamp { boot: number as u64, at: SteadyTime(1) },
        echo: None,
        contact: Some(contact),
        accounts,
    };
    ReplicaEvent::RouterReport { router: router(number), status }
}

/// Entries written while `routers` report.
fn entries(routers: usize) -> u64 {
    let mut world = World::new(7);
    world.run_for(3_000);
    let leader = world.leader().expect("one leads");
    world.put(leader);
    let all_report = |world: &mut World| {
        for number in 0..routers {
            let report = report(world, number);
            world.send_event(leader, report);
        }
        world.run_for(REPORTED_EVERY);
    };
    (0..4).for_each(|_| all_report(&mut world));
    let applied = |world: &World| {
        world.machines[leader].replica.as_ref().map(|replica| replica.applied()).expect("up")
    };
    let before = applied(&world);
    (0..REPORTS).for_each(|_| all_report(&mut world));
    let replica = world.machines[leader].replica.as_ref().expect("up");
    for number in 0..HOLDERS {
        assert!(replica.state().ledger.contact(&router(number)).is_some(), "{number} is noted");
    }
    applied(&world) - before
}

#[test]
fn the_log_grows_no_faster_with_the_number_of_routers() {
    for routers in [30, 100, 300, 1_000] {
        let entries = entries(routers);
        assert!(entries <= ROUNDS * ENTRIES_A_ROUND, "{entries} entries for {routers} routers");
    }
}
