//! Capacity of a simulated fleet: the real state machines of any number of routers in one process,
//! with callers and engines that use no CPU time.

use clap::ArgMatches;
use stackpost_router_core::RefusalReason;
use stackpost_sim::{AttemptEnd, Defect, FleetShape, RequestPlan, Traffic, World};
use stackpost_table::{BudgetRow, Row, RowKey};
use stackpost_types::{BudgetName, Tokens};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Zones of the simulated fleet: two regions of three zones each.
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const PAGE_BYTES: u64 = 4_096;
/// Time between two groups of arrivals, in milliseconds.
const STEP_MS: u64 = 100;
/// Limit of every budget, in tokens.
const LIMIT_TOKENS: u64 = 10_000_000;

/// Results of one phase.
struct Phase {
    simulated_s: f64,
    wall_time: Duration,
    traffic: Traffic,
}

/// Simulates a fleet of the requested size and prints the results of each phase.
pub fn run(matches: &ArgMatches) {
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let zones = ZONES.len() as u64;
    let shape = FleetShape {
        zones: ZONES.to_vec(),
        routers_per_zone: value("routers").div_ceil(zones).max(1) as usize,
        engines_per_zone: value("engines").div_ceil(zones).max(1) as usize,
        limits: vec![LIMIT_TOKENS; value("budgets") as usize],
        zone_delay: 1,
        policy: Default::default(),
    };
    let routers = shape.machines().len() as f64;
    let before = resident_bytes();
    let started = Instant::now();
    let mut world = World::new(shape, 5, Defect::default(), false);
    world.boot();
    println!(
        "fleet: {routers} routers, {} engines, {} budgets; booted in {:.1} s of wall time, {:.1} \
         s simulated; {} MB in all",
        world.shape.engines_per_zone * ZONES.len(),
        world.shape.limits.len(),
        started.elapsed().as_secs_f64(),
        world.now as f64 / 1e3,
        (resident_bytes() - before) >> 20,
    );
    let seconds = value("seconds");
    let idle = run_phase(&mut world, seconds, 0);
    print_phase("idle", &idle, routers, 0.0);
    let loaded = run_phase(&mut world, seconds, value("rate"));
    print_phase("loaded", &loaded, routers, value("rate") as f64);
    measure_edits(&mut world, value("edits"));
    println!("memory after all phases: {} MB", (resident_bytes() - before) >> 20);
    let answered = world.callers.records.values().filter(|record| record.is_answered()).count();
    println!("answered {answered} of {} requests", world.callers.records.len());
    let mut refused: BTreeMap<RefusalReason, usize> = BTreeMap::new();
    for end in world.callers.records.values().flat_map(|record| record.ends()) {
        if let AttemptEnd::Refused(refusal) = end {
            *refused.entry(refusal.reason).or_default() += 1;
        }
    }
    println!("refused: {refused:?}");
}

fn run_phase(world: &mut World, seconds: u64, rate: u64) -> Phase {
    world.take_traffic();
    let started = Instant::now();
    let until = world.now + seconds * 1_000;
    let mut due_requests = 0.0;
    let mut number = 0;
    while world.now < until {
        due_requests += rate as f64 * STEP_MS as f64 / 1e3;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            number += 1;
            world.add_caller(request_plan(world, number));
        }
        world.run_until(world.now + STEP_MS);
    }
    Phase {
        simulated_s: seconds as f64,
        wall_time: started.elapsed(),
        traffic: world.take_traffic(),
    }
}

/// A request; tenants and zones are assigned in turn.
fn request_plan(world: &World, number: usize) -> RequestPlan {
    RequestPlan {
        tenant: number * 7 % world.shape.limits.len(),
        zone: number % ZONES.len(),
        plain: false,
        repeatable: true,
        keyed: false,
        tokens: 200,
        max_tokens: 400,
        leaves_after: None,
        resends_after: None,
        retries: 0,
    }
}

fn print_phase(name: &str, phase: &Phase, routers: f64, rate: f64) {
    let Phase { simulated_s, wall_time, traffic } = phase;
    let per_router = |bytes: u64| bytes as f64 / simulated_s / routers / 1e3;
    println!(
        "{name}: {:.1}% of a core for each router and its share of all else; sent by a router \
         {:.2} KB/s to routers, {:.2} KB/s to control; got from control {:.2} KB/s; control \
         replicas to one another {:.2} KB/s in all; {:.0} messages/s a router",
        100.0 * wall_time.as_secs_f64() / simulated_s / routers,
        per_router(traffic.router_to_router),
        per_router(traffic.router_to_control),
        per_router(traffic.control_to_router),
        traffic.control_to_control as f64 / simulated_s / 1e3,
        traffic.router_messages as f64 / simulated_s / routers,
    );
    if rate > 0.0 {
        let each = wall_time.as_secs_f64() * 1e6 / (rate * simulated_s);
        println!("{name}: {each:.0} us of wall time for each request, all processes together");
    }
}

/// Makes edits one after the other and prints the longest time until one was in force everywhere.
fn measure_edits(world: &mut World, count: u64) {
    let mut longest_ms = 0;
    world.take_traffic();
    let started = Instant::now();
    for number in 0..count {
        let started_at = world.now;
        let key = RowKey::Budget(BudgetName::new(FleetShape::tenant(0)));
        let limit = Tokens(LIMIT_TOKENS + 1 + number);
        let index = world.edit(key, Some(Row::Budget(BudgetRow { limit })));
        loop {
            world.run_until(world.now + 10);
            let accepted = world.edits[index].accepted().map(|(_, version)| version);
            let in_force = accepted.is_some_and(|version| {
                world.live_routers().all(|(_, router)| router.version() >= version)
            });
            if in_force || world.now > started_at + 60_000 {
                break;
            }
        }
        longest_ms = longest_ms.max(world.now - started_at);
    }
    if count > 0 {
        let traffic = world.take_traffic();
        println!(
            "{count} edits: in force everywhere after {longest_ms} ms (simulated) at the most; {:.1} KB \
             from control to routers for each; {:.1} ms of wall time for each",
            traffic.control_to_router as f64 / count as f64 / 1e3,
            started.elapsed().as_secs_f64() * 1e3 / count as f64,
        );
    }
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
