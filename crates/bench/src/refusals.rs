//! Overspend and false refusals: connected, with one zone partitioned, and with shifting demand.

use crate::baseline::{Arrival, Partition, central_counter, even_split};
use clap::ArgMatches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_router_core::RefusalReason;
use stackpost_sim::{
    AttemptEnd, CallerId, Cut, Defect, Demand, FleetShape, Invariant, RequestPlan, World, check,
};
use stackpost_types::ZoneName;
use std::collections::BTreeMap;

/// Length of one step of the arrival process, in milliseconds.
const STEP_MS: u64 = 200;
/// Connected time before the partition.
const LEAD_IN_MS: u64 = 60_000;
/// Connected time after the partition.
const LEAD_OUT_MS: u64 = 60_000;
/// Requests per second over all zones.
const RATE_PER_SECOND: f64 = 6.0;
/// Number of tenants; the first one generates half of the demand.
const TENANTS: usize = 5;
/// Tokens for the prompt in a router's upper bound of the cost; `max_tokens` is added to it.
const PROMPT_BOUND: u64 = 40;
/// Actual cost of a prompt, in tokens.
const PROMPT_TOKENS: u64 = 10;
/// Mean number of generated tokens.
const MEAN_TOKENS: u64 = 150;

struct Scenario {
    name: &'static str,
    partitioned: bool,
    /// Demand of the first zone relative to each other zone, between the lead-in and the lead-out.
    /// If `partitioned` is set, this zone is partitioned from the others during that time.
    demand_factor: f64,
    /// Factor and period, in seconds, of bursts; `None`: a steady rate.
    burst: Option<(f64, u64)>,
    /// Budget as a multiple of the total demand.
    budget_ratio: f64,
}

/// Results of one run.
struct Measured {
    requests: u64,
    answered: u64,
    false_refusals: u64,
    by_reason: BTreeMap<RefusalReason, u64>,
    even_split: u64,
    central: u64,
    overspend: usize,
    other_violations: usize,
}

/// Runs all scenarios for both fleets.
pub fn run(matches: &ArgMatches) {
    let minutes = matches.get_one::<u64>("minutes").copied().unwrap_or_default();
    let scale = matches.get_one::<u64>("scale").copied().unwrap_or_default() as usize;
    let scenarios = [
        Scenario {
            name: "connected, steady",
            partitioned: false,
            demand_factor: 1.0,
            burst: None,
            budget_ratio: 2.0,
        },
        Scenario {
            name: "connected, bursts",
            partitioned: false,
            demand_factor: 1.0,
            burst: Some((4.0, 50)),
            budget_ratio: 2.0,
        },
        Scenario {
            name: "connected, runs out",
            partitioned: false,
            demand_factor: 3.0,
            burst: None,
            budget_ratio: 0.9,
        },
        Scenario {
            name: "cut, steady",
            partitioned: true,
            demand_factor: 1.0,
            burst: None,
            budget_ratio: 2.0,
        },
        Scenario {
            name: "cut, threefold there",
            partitioned: true,
            demand_factor: 3.0,
            burst: None,
            budget_ratio: 2.0,
        },
        Scenario {
            name: "cut, bursts",
            partitioned: true,
            demand_factor: 3.0,
            burst: Some((4.0, 50)),
            budget_ratio: 2.0,
        },
        Scenario {
            name: "cut, runs out",
            partitioned: true,
            demand_factor: 3.0,
            burst: None,
            budget_ratio: 0.9,
        },
    ];
    println!(
        "{:<11} {:<22} {:>8} {:>8} {:>6} {:>8} {:>8} {:>8} {:>10}  reasons",
        "fleet",
        "setting",
        "requests",
        "answered",
        "false",
        "share",
        "even",
        "central",
        "overspend"
    );
    for (name, shape) in
        [("three zones", FleetShape::three_zones()), ("four zones", FleetShape::four_zones())]
    {
        for scenario in &scenarios {
            let measured = measure(&shape, scenario, minutes * 60_000, scale);
            let share = 100.0 * measured.false_refusals as f64 / measured.requests as f64;
            println!(
                "{name:<11} {:<22} {:>8} {:>8} {:>6} {share:>7.3}% {:>8} {:>8} {:>10}  {:?}{}",
                scenario.name,
                measured.requests,
                measured.answered,
                measured.false_refusals,
                measured.even_split,
                measured.central,
                measured.overspend,
                measured.by_reason,
                if measured.other_violations > 0 { " OTHER VIOLATIONS" } else { "" },
            );
        }
    }
}

fn measure(shape: &FleetShape, scenario: &Scenario, partition_ms: u64, scale: usize) -> Measured {
    let horizon = LEAD_IN_MS + partition_ms + LEAD_OUT_MS;
    let demand_tokens =
        RATE_PER_SECOND * horizon as f64 / 1e3 * (MEAN_TOKENS + PROMPT_TOKENS) as f64;
    let limit = |share: f64| (demand_tokens * share * scenario.budget_ratio) as u64;
    let other_share = 0.5 / (TENANTS - 1) as f64;
    let shares: Vec<f64> =
        (0..TENANTS).map(|tenant| if tenant == 0 { 0.5 } else { other_share }).collect();
    let mut shape = shape.clone();
    shape.limits = shares.iter().map(|share| limit(*share)).collect();
    shape.routers_per_zone *= scale;
    let zones = shape.zones.len();
    let mut world = World::new(shape, 42, Defect::default(), false);
    world.boot();
    let started_at = world.now;
    let partition = Partition {
        zone: 0,
        from: started_at + LEAD_IN_MS,
        until: started_at + LEAD_IN_MS + partition_ms,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(43);
    let mut arrivals = Vec::new();
    let mut bounds = BTreeMap::new();
    while world.now < started_at + horizon {
        let during_partition = (partition.from..partition.until).contains(&world.now);
        if scenario.partitioned && world.now == partition.from {
            world.cut(Cut::Zone(ZoneName::new(world.shape.zones[0])));
        }
        if scenario.partitioned && world.now == partition.until {
            world.heal();
        }
        let demand = demand_during(scenario, zones, during_partition);
        for zone in 0..zones {
            let mean = demand.rate(zone, world.now - started_at) * STEP_MS as f64 / 1e3;
            for _ in 0..random_count(&mut rng, mean) {
                let plan = random_plan(&mut rng, zone);
                let bound = PROMPT_BOUND + plan.max_tokens;
                arrivals.push(Arrival {
                    at: world.now,
                    zone,
                    budget: plan.tenant,
                    bound,
                    used: PROMPT_TOKENS + plan.tokens,
                });
                bounds.insert(world.add_caller(plan), bound);
            }
        }
        world.run_until(world.now + STEP_MS);
    }
    world.heal();
    world.run_until(world.now + 20_000);
    let limits = world.shape.limits.clone();
    let (false_refusals, by_reason) = count_false_refusals(&world, &bounds, &limits);
    let violations = check(&world);
    let overspend =
        violations.iter().filter(|found| found.invariant == Invariant::NoOverspend).count();
    Measured {
        requests: world.callers.records.len() as u64,
        answered: world.callers.records.values().filter(|r| r.is_answered()).count() as u64,
        false_refusals,
        by_reason,
        even_split: even_split(&arrivals, &limits, zones),
        central: central_counter(&arrivals, &limits, scenario.partitioned.then_some(partition)),
        overspend,
        other_violations: violations.len() - overspend,
    }
}

fn demand_during(scenario: &Scenario, zones: usize, during_partition: bool) -> Demand {
    let weight =
        |zone: usize| if zone == 0 && during_partition { scenario.demand_factor } else { 1.0 };
    let total: f64 = (0..zones).map(weight).sum();
    let per_second = (0..zones).map(|zone| RATE_PER_SECOND * weight(zone) / total).collect();
    Demand { per_second, burst: scenario.burst }
}

/// A random count with the given mean: its integer part, plus one with the probability of its
/// fractional part.
fn random_count(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    mean as u64 + u64::from(rng.random_bool(mean.fract()))
}

fn random_plan(rng: &mut ChaCha8Rng, zone: usize) -> RequestPlan {
    let tenant = if rng.random_bool(0.5) { 0 } else { rng.random_range(1..TENANTS) };
    let tokens = rng.random_range(1..2 * MEAN_TOKENS);
    RequestPlan {
        tenant,
        zone,
        plain: false,
        repeatable: true,
        keyed: false,
        tokens,
        max_tokens: tokens + rng.random_range(0..200),
        leaves_after: None,
        resends_after: None,
        retries: 0,
    }
}

/// A change of the tokens reserved from a budget, or a refusal with the bound that was refused.
struct LedgerEvent {
    at: u64,
    budget: usize,
    change: i64,
    refused: Option<(u64, RefusalReason)>,
}

/// Counts refusals of requests whose budget had enough tokens left, as seen by the callers: the
/// limit, less the cost of the responses so far, less the upper bounds of requests in flight.
fn count_false_refusals(
    world: &World,
    bounds: &BTreeMap<CallerId, u64>,
    limits: &[u64],
) -> (u64, BTreeMap<RefusalReason, u64>) {
    let mut events: Vec<LedgerEvent> = Vec::new();
    for record in world.callers.records.values() {
        let Some(attempt) = record.attempts.first() else { continue };
        let (budget, bound) = (record.plan.tenant, bounds[&record.id]);
        let Some((ended_at, end)) = &attempt.end else { continue };
        let event = |at, change, refused| LedgerEvent { at, budget, change, refused };
        if let AttemptEnd::Refused(refusal) = end {
            events.push(event(*ended_at, 0, Some((bound, refusal.reason))));
        } else {
            let used = PROMPT_TOKENS + record.plan.tokens;
            events.push(event(attempt.at, bound as i64, None));
            events.push(event(*ended_at, used as i64 - bound as i64, None));
        }
    }
    // Among events at the same time, refusals come last, so that reservations made at that time
    // count against them.
    events.sort_by_key(|event| (event.at, event.refused.is_some()));
    let mut reserved_tokens = vec![0_i64; limits.len()];
    let mut count = 0;
    let mut by_reason = BTreeMap::new();
    for event in events {
        reserved_tokens[event.budget] += event.change;
        let available = limits[event.budget] as i64 - reserved_tokens[event.budget];
        if let Some((bound, reason)) = event.refused
            && available >= bound as i64
        {
            count += 1;
            *by_reason.entry(reason).or_default() += 1;
        }
    }
    (count, by_reason)
}
