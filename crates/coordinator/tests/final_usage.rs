//! Final usage of stopping routers, at replicas that are not the leader when it arrives.

mod support;

use stackpost_coordinator::{ReplicaEvent, RouterStatus, RouterVersions};
use stackpost_prepaid::{AccountReport, BootTimestamp, SteadyTime};
use stackpost_types::{Incarnation, MachineName, NodeId, TenantName, Tokens};
use std::collections::BTreeMap;
use support::{INITIAL_VOTERS, TENANT, World};

/// Tokens of the tenant's budget, and those that the router has spent.
const LIMIT: u64 = 1_000_000;
const SPENT: Tokens = Tokens(300);

fn router() -> NodeId {
    NodeId { machine: MachineName::new("router"), incarnation: Incarnation(1) }
}

fn report(world: &World) -> ReplicaEvent {
    let account = AccountReport { rate: Tokens(500), wanted: Tokens(500), ..Default::default() };
    let status = RouterStatus {
        versions: RouterVersions::default(),
        accepts_unconfirmed: false,
        started: BootTimestamp { boot: 1, at: SteadyTime(1) },
        echo: None,
        contact: Some(BootTimestamp { boot: 1, at: SteadyTime(world.now) }),
        accounts: vec![(TenantName::new(TENANT), account)],
    };
    ReplicaEvent::RouterReport { router: router(), status }
}

/// A fleet in which the router holds tokens. Returns it with its leader.
fn fleet_with_holder() -> (World, usize) {
    let mut world = World::with_machines(7, INITIAL_VOTERS);
    world.run_for(3_000);
    let leader = world.leader().expect("a leader");
    world.put(leader);
    for _ in 0..4 {
        let report = report(&world);
        world.send_event(leader, report);
        world.run_for(400);
    }
    let replica = world.machines[leader].replica.as_ref().expect("running");
    assert!(!replica.state().ledger.allotments(&router()).is_empty(), "it holds nothing");
    (world, leader)
}

/// The router stops while the leader that it knows is being replaced. It sends its final usage to
/// another replica, which is elected afterwards: only what was spent is charged.
#[test]
fn final_usage_that_reached_the_next_leader_is_applied() {
    let (mut world, leader) = fleet_with_holder();
    let spent = BTreeMap::from([(TenantName::new(TENANT), SPENT)]);
    for machine in (0..INITIAL_VOTERS).filter(|machine| *machine != leader) {
        let spent = spent.clone();
        world.send_event(machine, ReplicaEvent::RouterFinalUsage { router: router(), spent });
    }
    world.stop(leader, 60_000);
    world.run_for(5_000);
    let next = world.leader().expect("a leader");
    let replica = world.machines[next].replica.as_ref().expect("running");
    assert!(replica.state().ledger.allotments(&router()).is_empty(), "it is not closed");
    assert_eq!(replica.state().ledger.available(&TenantName::new(TENANT)), Tokens(LIMIT) - SPENT);
}
