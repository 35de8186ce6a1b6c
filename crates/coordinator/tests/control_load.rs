//! Number of log entries for router reports, by the number of routers.
//!
//! Guards against one log entry per router and report: with 295 routers the log had to write one
//! entry per router every 400 ms, some 740 a second, on machines with 0.15 of a core.

mod support;

use stackpost_coordinator::{ReplicaEvent, RouterStatus, RouterVersions};
use stackpost_prepaid::{AccountReport, BootTimestamp, SteadyTime};
use stackpost_types::{Incarnation, MachineName, NodeId, TenantName, Tokens};
use support::*;

/// Number of routers that hold an account, whatever the number of routers.
const HOLDER_COUNT: usize = 10;
/// Time between two reports of a router, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
const REPORT_COUNT: u64 = 10;
/// Planning rounds of the leader during all reports, one each 250 ms.
const ROUNDS: u64 = REPORT_INTERVAL_MS * REPORT_COUNT / 250 + 1;
/// Entries that a round may write: returns, grants, and contacts.
const ENTRIES_PER_ROUND: u64 = 3;

fn router(number: usize) -> NodeId {
    NodeId { machine: MachineName::new(format!("router{number}")), incarnation: Incarnation(1) }
}

fn report(world: &World, number: usize) -> ReplicaEvent {
    let account = AccountReport { rate: Tokens(500), ..AccountReport::default() };
    let accounts = match number < HOLDER_COUNT {
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

/// Number of entries written while `routers` report.
fn count_entries(routers: usize) -> u64 {
    let mut world = World::new(7);
    world.run_for(3_000);
    let leader = world.leader().expect("a leader");
    world.put(leader);
    let send_reports = |world: &mut World| {
        for number in 0..routers {
            let report = report(world, number);
            world.send_event(leader, report);
        }
        world.run_for(REPORT_INTERVAL_MS);
    };
    (0..4).for_each(|_| send_reports(&mut world));
    let applied = |world: &World| {
        world.machines[leader].replica.as_ref().map(|replica| replica.applied()).expect("running")
    };
    let before = applied(&world);
    (0..REPORT_COUNT).for_each(|_| send_reports(&mut world));
    let replica = world.machines[leader].replica.as_ref().expect("running");
    for number in 0..HOLDER_COUNT {
        assert!(
            replica.state().ledger.contact(&router(number)).is_some(),
            "no contact of {number}"
        );
    }
    applied(&world) - before
}

#[test]
fn log_growth_does_not_depend_on_the_number_of_routers() {
    for routers in [30, 100, 300, 1_000] {
        let entries = count_entries(routers);
        assert!(entries <= ROUNDS * ENTRIES_PER_ROUND, "{entries} entries for {routers} routers");
    }
}
