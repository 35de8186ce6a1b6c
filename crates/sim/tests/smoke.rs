//! Smoke tests: a fleet without faults keeps all invariants, and runs are deterministic.

use stackpost_sim::{Defect, FleetShape, Workload, World, check};

fn run(shape: FleetShape, seed: u64) -> World {
    let mut world = World::new(shape, seed, Defect::default(), true);
    world.boot();
    let zones = world.shape.zones.len();
    let tenants = world.shape.limits.len();
    let until = world.now + 10_000;
    world.start_workload(Workload { per_second: 20, tenants, zones }, until);
    world.run_until(until + 15_000);
    world
}

#[test]
fn a_fleet_without_faults_keeps_all_invariants() {
    for shape in [FleetShape::three_zones(), FleetShape::four_zones()] {
        let world = run(shape, 1);
        let found = check(&world);
        assert!(found.is_empty(), "{found:#?}\n{}", world.history.text());
        let answered = world.callers.records.values().filter(|record| record.is_answered()).count();
        assert!(answered > 100, "only {answered} requests answered");
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let first = run(FleetShape::three_zones(), 7).history.text();
    let second = run(FleetShape::three_zones(), 7).history.text();
    assert_eq!(first, second);
    assert_ne!(first, run(FleetShape::three_zones(), 8).history.text());
}
