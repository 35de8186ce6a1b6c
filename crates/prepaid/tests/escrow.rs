//! No tenant is allotted more than its limit, whichever routers crash and messages are lost.

use proptest::prelude::*;
use stackpost_prepaid::*;
use stackpost_types::*;
use std::collections::BTreeMap;

const TENANT: &str = "ferry";
const LIMIT: u64 = 100_000;
const ROUTERS: usize = 3;

fn tenant() -> TenantName {
    TenantName::new(TENANT)
}

fn node(machine: usize, incarnation: u64) -> NodeId {
    NodeId {
        machine: MachineName::new(format!("m{machine}")),
        incarnation: Incarnation(incarnation),
    }
}

/// One router incarnation.
struct RouterIncarnation {
    node: NodeId,
    wallet: Wallet,
    started: u64,
    /// What all requests of this incarnation have actually used.
    used: u64,
}

/// A ledger with its routers. The steady clocks of all machines are equal, in milliseconds.
struct Simulation {
    now: u64,
    ledger: PrepaidLedger,
    incarnations: Vec<RouterIncarnation>,
    next_incarnation: u64,
    /// Tokens used by incarnations that have ended.
    used_by_ended: u64,
    in_flight: Vec<(usize, u64, u64)>,
    /// Its guard opens after every loss of a router.
    scarce_limiter: ScarceBudgetLimiter,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request {
        router: usize,
        amount: u64,
    },
    Finish {
        used_permille: u64,
    },
    /// A round of the leader with the `connected` routers; the responses to those flagged in
    /// `lost_responses` are lost. Without `with_grants` only the contacts are committed.
    Round {
        connected: Vec<bool>,
        lost_responses: Vec<bool>,
        with_grants: bool,
    },
    Kill {
        router: usize,
        downtime: u64,
    },
    PowerOff {
        router: usize,
    },
    PlannedStop {
        router: usize,
    },
}

impl Simulation {
    fn new() -> Self {
        let mut ledger = PrepaidLedger::default();
        ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
        let mut simulation = Self {
            now: 10_000,
            ledger,
            incarnations: Vec::new(),
            next_incarnation: 1,
            used_by_ended: 0,
            in_flight: vec![],
            scarce_limiter: ScarceBudgetLimiter::default(),
        };
        for machine in 0..ROUTERS {
            let incarnation = simulation.start_incarnation(machine);
            simulation.incarnations.push(incarnation);
        }
        simulation
    }

    fn start_incarnation(&mut self, machine: usize) -> RouterIncarnation {
        self.next_incarnation += 1;
        let node = node(machine, self.next_incarnation);
        RouterIncarnation { node, wallet: Wallet::default(), started: self.now, used: 0 }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.now += time,
            Step::Request { router, amount } => self.request(*router, *amount),
            Step::Finish { used_permille } => self.finish(*used_permille),
            Step::Round { connected, lost_responses, with_grants } => {
                self.round(connected, lost_responses, *with_grants)
            }
            Step::Kill { router, downtime } => {
                self.now += downtime;
                self.record_loss(*router);
                self.replace(*router, Some(()));
            }
            Step::PowerOff { router } => {
                self.record_loss(*router);
                self.replace(*router, None);
            }
            Step::PlannedStop { router } => {
                let spent = self.incarnations[*router].wallet.used();
                self.end_incarnation(*router, &IncarnationEnd::Reported(spent));
            }
        }
    }

    /// Treats the loss of one router as a loss of the fleet.
    fn record_loss(&mut self, router: usize) {
        let (now, machine) = (Timestamp(self.now), self.incarnations[router].node.machine.clone());
        self.scarce_limiter.on_router_lost(now, machine);
        self.scarce_limiter.open_guard_after_loss(now, 1);
    }

    fn request(&mut self, router: usize, amount: u64) {
        let incarnation = &mut self.incarnations[router];
        if incarnation.wallet.reserve(Timestamp(self.now), &tenant(), Tokens(amount)).is_ok() {
            incarnation.used += amount;
            self.in_flight.push((router, self.next_incarnation, amount));
        }
    }

    fn finish(&mut self, used_permille: u64) {
        if let Some((router, _, amount)) = self.in_flight.pop() {
            let used = amount * used_permille / 1_000;
            let incarnation = &mut self.incarnations[router];
            incarnation.used -= amount - used;
            incarnation.wallet.settle(&tenant(), Tokens(amount), Tokens(used));
        }
    }

    /// The connected routers report and record a contact; grants and contacts are committed.
    fn round(&mut self, connected: &[bool], lost_responses: &[bool], with_grants: bool) {
        let now = Timestamp(self.now);
        let mut reports = BTreeMap::new();
        let mut contacts = Vec::new();
        for (_, incarnation) in
            self.incarnations.iter_mut().enumerate().filter(|(index, _)| connected[*index])
        {
            incarnation.wallet.on_contact(now);
            let accounts: BTreeMap<TenantName, AccountReport> =
                incarnation.wallet.report(now).into_iter().collect();
            let consumed = accounts
                .iter()
                .map(|(tenant, account)| (tenant.clone(), account.used + account.returned))
                .collect::<Vec<_>>();
            contacts.push((incarnation.node.clone(), consumed));
            for (tenant, account) in &accounts {
                self.ledger.record_return(&TokenReturn {
                    holder: incarnation.node.clone(),
                    tenant: tenant.clone(),
                    returned: account.returned,
                    released: account.released,
                });
            }
            reports.insert(incarnation.node.clone(), accounts);
        }
        let plan = if with_grants {
            plan(&self.ledger, &reports, Millis(250), &mut self.scarce_limiter)
        } else {
            Plan::default()
        };
        for grant in &plan.grants {
            self.ledger.allot(grant);
        }
        for (node, consumed) in contacts {
            let contact = BootTimestamp { boot: 1, at: SteadyTime(self.now) };
            self.ledger.record_contact(&node, contact, &consumed);
        }
        for (index, incarnation) in self.incarnations.iter_mut().enumerate() {
            if !connected[index] || lost_responses[index] {
                continue;
            }
            for (tenant, allotment) in self.ledger.allotments(&incarnation.node) {
                incarnation.wallet.on_allotted(&tenant, &allotment);
            }
            for recall in plan.recalls.iter().filter(|recall| recall.holder == incarnation.node) {
                incarnation.wallet.return_excess(&recall.tenant, recall.keep);
            }
        }
    }

    /// With `same_boot` the machine kept running, so its clock bounds the end of the incarnation.
    fn replace(&mut self, router: usize, same_boot: Option<()>) {
        let end = match same_boot {
            Some(()) => {
                IncarnationEnd::EndedBefore(BootTimestamp { boot: 1, at: SteadyTime(self.now) })
            }
            None => IncarnationEnd::Unknown,
        };
        self.end_incarnation(router, &end);
    }

    /// Closes an incarnation; it must be charged at least what it has used, whatever is known of
    /// its end.
    fn end_incarnation(&mut self, router: usize, end: &IncarnationEnd) {
        let node = self.incarnations[router].node.clone();
        let charges = self.ledger.close(&node, end);
        let charged: u64 = charges.iter().map(|charge| charge.charge.0).sum();
        let used = self.incarnations[router].used;
        assert!(used <= charged, "used {used}, charged {charged}, end {end:?}");
        self.in_flight.retain(|(router_index, _, _)| *router_index != router);
        let replacement = self.start_incarnation(router);
        let ended = std::mem::replace(&mut self.incarnations[router], replacement);
        assert!(ended.started <= self.now);
        self.used_by_ended += ended.used;
    }

    fn check(&self) {
        let used: u64 = self.used_by_ended
            + self.incarnations.iter().map(|incarnation| incarnation.used).sum::<u64>();
        let issued = self.ledger.issued(&tenant());
        assert!(used <= issued.0, "used {used} of {issued} issued tokens");
        assert!(issued.0 <= LIMIT, "issued {issued} of a limit of {LIMIT} tokens");
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..ROUTERS;
    let flags = || prop::collection::vec(any::<bool>(), ROUTERS);
    let step = prop_oneof![
        3 => (1_u64..3_000).prop_map(Step::Wait),
        8 => (router.clone(), 1_u64..4_000)
            .prop_map(|(router, amount)| Step::Request { router, amount }),
        4 => (0_u64..=1_000).prop_map(|used_permille| Step::Finish { used_permille }),
        6 => (flags(), flags(), any::<bool>())
            .prop_map(|(connected, lost_responses, with_grants)| {
                Step::Round { connected, lost_responses, with_grants }
            }),
        1 => (router.clone(), 0_u64..3_000)
            .prop_map(|(router, downtime)| Step::Kill { router, downtime }),
        1 => router.clone().prop_map(|router| Step::PowerOff { router }),
        1 => router.prop_map(|router| Step::PlannedStop { router }),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn usage_never_exceeds_issued_tokens_nor_the_limit(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            simulation.check();
        }
    }
}

fn all(value: bool) -> Vec<bool> {
    vec![value; ROUTERS]
}

/// A simulation whose first router has sent requests, received grants and is connected to the
/// leader.
fn simulation_after_grants() -> Simulation {
    let mut simulation = Simulation::new();
    for _ in 0..12 {
        simulation.request(0, 500);
        simulation.round(&all(true), &all(false), true);
        simulation.now += 250;
    }
    simulation
}

#[test]
fn killed_router_is_charged_less_than_it_held() {
    let mut simulation = simulation_after_grants();
    let node = simulation.incarnations[0].node.clone();
    let held = simulation.ledger.allotment(&node, &tenant()).outstanding();
    simulation.step(&Step::Kill { router: 0, downtime: 800 });
    simulation.check();
    assert!(simulation.ledger.issued(&tenant()) < held, "some of the reserve is available again");
}

#[test]
fn router_that_lost_power_is_charged_all_it_held() {
    let mut simulation = simulation_after_grants();
    let before = simulation.ledger.issued(&tenant());
    simulation.step(&Step::PowerOff { router: 0 });
    assert_eq!(simulation.ledger.issued(&tenant()), before);
}

#[test]
fn final_usage_returns_all_unspent_tokens() {
    let mut simulation = simulation_after_grants();
    let used = simulation.incarnations[0].used;
    simulation.step(&Step::PlannedStop { router: 0 });
    assert_eq!(simulation.ledger.issued(&tenant()), Tokens(used));
}

#[test]
fn reserve_unlocks_only_after_the_delay() {
    let mut simulation = simulation_after_grants();
    let primary = simulation.incarnations[0].wallet.primary_left(&tenant());
    let more_than_primary = primary + Tokens(1);
    let now = Timestamp(simulation.now);
    let wallet = &mut simulation.incarnations[0].wallet;
    wallet.on_contact(now);
    assert!(wallet.reserve(now, &tenant(), more_than_primary).is_err());
    let after = now + Millis(RESERVE_UNLOCK_DELAY.0 + 2_000);
    assert!(wallet.reserve(after, &tenant(), more_than_primary).is_ok());
}

#[test]
fn timestamps_of_different_boots_are_not_comparable() {
    let earlier = BootTimestamp { boot: 1, at: SteadyTime(5_000) };
    assert_eq!(BootTimestamp { boot: 2, at: SteadyTime(9_000) }.since(earlier), None);
    assert_eq!(BootTimestamp { boot: 1, at: SteadyTime(4_000) }.since(earlier), None);
    assert_eq!(BootTimestamp { boot: 1, at: SteadyTime(5_400) }.since(earlier), Some(Millis(400)));
}

#[test]
fn merge_ignores_late_and_duplicate_totals() {
    let newer = Allotment {
        allotted: Tokens(90),
        primary: Tokens(30),
        returned: Tokens(5),
        released: Tokens(2),
        draw_rate: DrawRate { burst: Tokens(2), per_second: Tokens(7) },
    };
    let older = Allotment { allotted: Tokens(60), primary: Tokens(20), ..Allotment::default() };
    let mut merged = newer;
    merged.merge(&older);
    merged.merge(&newer);
    assert_eq!(merged, newer);
}

#[test]
fn grant_is_limited_to_what_is_available() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(100))]);
    let grant = |machine, amount| Grant {
        holder: node(machine, 1),
        tenant: tenant(),
        amount: Tokens(amount),
        to_primary: Tokens(amount),
        draw_rate: DrawRate::default(),
    };
    ledger.allot(&grant(0, 70));
    ledger.allot(&grant(1, 70));
    assert_eq!(ledger.issued(&tenant()), Tokens(100));
    assert_eq!(ledger.allotment(&node(1, 1), &tenant()).primary, Tokens(30));
}

#[test]
fn changed_limit_changes_what_is_available() {
    let mut simulation = simulation_after_grants();
    let issued = simulation.ledger.issued(&tenant());
    simulation.ledger.set_limits(&[(tenant(), Tokens(issued.0 / 2))]);
    assert_eq!(simulation.ledger.available(&tenant()), Tokens::ZERO);
    simulation.ledger.set_limits(&[(tenant(), issued + Tokens(10))]);
    assert_eq!(simulation.ledger.available(&tenant()), Tokens(10));
}

/// A control replica is suspended while a disconnected router draws on its reserve, and bounds the
/// end of that incarnation by its own clock: the router's last timestamp plus the time since, as
/// far as the replica's clock has counted it. Returns what the incarnation has used and is charged.
fn charge_bounded_by_a_suspended_replica(clock_keeps_running: bool) -> (u64, u64) {
    let mut simulation = simulation_after_grants();
    simulation.round(&all(true), &all(false), true);
    let last_contact = simulation.now;
    let suspended = RESERVE_UNLOCK_DELAY.0 + 3_000;
    simulation.now += suspended;
    while simulation.incarnations[0]
        .wallet
        .reserve(Timestamp(simulation.now), &tenant(), Tokens(10))
        .is_ok()
    {
        simulation.incarnations[0].used += 10;
    }
    let counted = if clock_keeps_running { suspended } else { 0 };
    let end = BootTimestamp { boot: 1, at: SteadyTime(last_contact + counted) };
    let node = simulation.incarnations[0].node.clone();
    let charges = simulation.ledger.close(&node, &IncarnationEnd::EndedBefore(end));
    (simulation.incarnations[0].used, charges.iter().map(|charge| charge.charge.0).sum())
}

#[test]
fn replica_charges_all_usage_after_its_suspension() {
    let (used, charged) = charge_bounded_by_a_suspended_replica(true);
    assert!(used <= charged, "used {used}, charged {charged}");
}

/// Shows that the test above detects a clock that stops during a suspension.
#[test]
fn clock_stopped_by_suspension_would_charge_too_little() {
    let (used, charged) = charge_bounded_by_a_suspended_replica(false);
    assert!(used > charged, "used {used}, charged {charged}");
}

/// A suspended router draws nothing meanwhile, but its clock keeps running: when it resumes, its
/// reserve is unlocked and follows the draw rate that the ledger assumes.
#[test]
fn resumed_router_draws_no_more_than_the_ledger_counted() {
    let mut simulation = simulation_after_grants();
    simulation.round(&all(true), &all(false), true);
    for pause in [RESERVE_UNLOCK_DELAY.0 + 3_000, 40, 40, 2_000] {
        simulation.now += pause;
        while simulation.incarnations[0]
            .wallet
            .reserve(Timestamp(simulation.now), &tenant(), Tokens(10))
            .is_ok()
        {
            simulation.incarnations[0].used += 10;
        }
        simulation.check();
    }
    simulation.step(&Step::Kill { router: 0, downtime: 0 });
    simulation.check();
}
