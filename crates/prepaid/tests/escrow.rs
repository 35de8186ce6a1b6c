//! No tenant is ever given more than its limit, whatever happens to routers and messages.

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

fn node(machine: usize, life: u64) -> NodeId {
    NodeId { machine: MachineName::new(format!("m{machine}")), incarnation: Incarnation(life) }
}

/// One router life with the messages it has not taken in yet.
struct Life {
    node: NodeId,
    wallet: Wallet,
    started: u64,
    /// What all requests of this life have really used.
    used: u64,
}

/// Steady clocks run alike on all machines of the test, in milliseconds.
struct World {
    now: u64,
    ledger: PrepaidLedger,
    lives: Vec<Life>,
    next_life: u64,
    /// Used by lives that have ended.
    ended: u64,
    in_flight: Vec<(usize, u64, u64)>,
    /// Open to the end of the budget after every router that was lost.
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
    /// A round of the leader with every router in `reach`; answers are lost for `lost`. Without
    /// `grants` only the contacts are committed.
    Round {
        reach: Vec<bool>,
        lost: Vec<bool>,
        grants: bool,
    },
    Kill {
        router: usize,
        down: u64,
    },
    PowerOff {
        router: usize,
    },
    Farewell {
        router: usize,
    },
}

impl World {
    fn new() -> Self {
        let mut ledger = PrepaidLedger::default();
        ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
        let mut world = Self {
            now: 10_000,
            ledger,
            lives: Vec::new(),
            next_life: 1,
            ended: 0,
            in_flight: vec![],
            scarce_limiter: ScarceBudgetLimiter::default(),
        };
        for machine in 0..ROUTERS {
            let life = world.fresh(machine);
            world.lives.push(life);
        }
        world
    }

    fn fresh(&mut self, machine: usize) -> Life {
        self.next_life += 1;
        let node = node(machine, self.next_life);
        Life { node, wallet: Wallet::default(), started: self.now, used: 0 }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.now += time,
            Step::Request { router, amount } => self.request(*router, *amount),
            Step::Finish { used_permille } => self.finish(*used_permille),
            Step::Round { reach, lost, grants } => self.round(reach, lost, *grants),
            Step::Kill { router, down } => {
                self.now += down;
                self.lose(*router);
                self.replace(*router, Some(()));
            }
            Step::PowerOff { router } => {
                self.lose(*router);
                self.replace(*router, None);
            }
            Step::Farewell { router } => {
                let spent = self.lives[*router].wallet.used();
                self.end_life(*router, &IncarnationEnd::Reported(spent));
            }
        }
    }

    /// One loss counts for that of the fleet here.
    fn lose(&mut self, router: usize) {
        let (now, machine) = (Timestamp(self.now), self.lives[router].node.machine.clone());
        self.scarce_limiter.on_router_lost(now, machine);
        self.scarce_limiter.open_guard_after_loss(now, 1);
    }

    fn request(&mut self, router: usize, amount: u64) {
        let life = &mut self.lives[router];
        if life.wallet.reserve(Timestamp(self.now), &tenant(), Tokens(amount)).is_ok() {
            life.used += amount;
            self.in_flight.push((router, self.next_life, amount));
        }
    }

    fn finish(&mut self, used_permille: u64) {
        if let Some((router, _, amount)) = self.in_flight.pop() {
            let used = amount * used_permille / 1_000;
            let life = &mut self.lives[router];
            life.used -= amount - used;
            life.wallet.settle(&tenant(), Tokens(amount), Tokens(used));
        }
    }

    /// Routers in reach report completely and are in touch; grants and contacts are committed.
    fn round(&mut self, reach: &[bool], lost: &[bool], grants: bool) {
        let now = Timestamp(self.now);
        let mut reports = BTreeMap::new();
        let mut contacts = Vec::new();
        for (_, life) in self.lives.iter_mut().enumerate().filter(|(index, _)| reach[*index]) {
            life.wallet.on_contact(now);
            let accounts: BTreeMap<TenantName, AccountReport> =
                life.wallet.report(now).into_iter().collect();
            let gone = accounts
                .iter()
                .map(|(tenant, account)| (tenant.clone(), account.used + account.returned))
                .collect::<Vec<_>>();
            contacts.push((life.node.clone(), gone));
            for (tenant, account) in &accounts {
                self.ledger.record_return(&TokenReturn {
                    holder: life.node.clone(),
                    tenant: tenant.clone(),
                    returned: account.returned,
                    released: account.released,
                });
            }
            reports.insert(life.node.clone(), accounts);
        }
        let plan = if grants {
            plan(&self.ledger, &reports, Millis(250), &mut self.scarce_limiter)
        } else {
            Plan::default()
        };
        for grant in &plan.grants {
            self.ledger.allot(grant);
        }
        for (node, gone) in contacts {
            let contact = BootTimestamp { boot: 1, at: SteadyTime(self.now) };
            self.ledger.record_contact(&node, contact, &gone);
        }
        for (index, life) in self.lives.iter_mut().enumerate() {
            if !reach[index] || lost[index] {
                continue;
            }
            for (tenant, allotment) in self.ledger.allotments(&life.node) {
                life.wallet.on_allotted(&tenant, &allotment);
            }
            for recall in plan.recalls.iter().filter(|recall| recall.holder == life.node) {
                life.wallet.return_excess(&recall.tenant, recall.keep);
            }
        }
    }

    /// `same_boot`: the machine has lived on, so its clock bounds the life that has ended.
    fn replace(&mut self, router: usize, same_boot: Option<()>) {
        let end = match same_boot {
            Some(()) => {
                IncarnationEnd::EndedBefore(BootTimestamp { boot: 1, at: SteadyTime(self.now) })
            }
            None => IncarnationEnd::Unknown,
        };
        self.end_life(router, &end);
    }

    /// A life that has ended must be charged what it has used, whatever is known of its end.
    fn end_life(&mut self, router: usize, end: &IncarnationEnd) {
        let node = self.lives[router].node.clone();
        let charges = self.ledger.close(&node, end);
        let charged: u64 = charges.iter().map(|charge| charge.charge.0).sum();
        let used = self.lives[router].used;
        assert!(used <= charged, "used {used}, charged {charged}, {end:?}");
        self.in_flight.retain(|(owner, _, _)| *owner != router);
        let fresh = self.fresh(router);
        let ended = std::mem::replace(&mut self.lives[router], fresh);
        assert!(ended.started <= self.now);
        self.ended += ended.used;
    }

    fn check(&self) {
        let used: u64 = self.ended + self.lives.iter().map(|life| life.used).sum::<u64>();
        let issued = self.ledger.issued(&tenant());
        assert!(used <= issued.0, "used {used} of {issued} issued");
        assert!(issued.0 <= LIMIT, "issued {issued} of {LIMIT}");
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
            .prop_map(|(reach, lost, grants)| Step::Round { reach, lost, grants }),
        1 => (router.clone(), 0_u64..3_000).prop_map(|(router, down)| Step::Kill { router, down }),
        1 => router.clone().prop_map(|router| Step::PowerOff { router }),
        1 => router.prop_map(|router| Step::Farewell { router }),
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
    fn what_is_used_never_exceeds_what_is_issued(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.check();
        }
    }
}

fn all(value: bool) -> Vec<bool> {
    vec![value; ROUTERS]
}

/// A world whose first router has asked, been granted and is in touch.
fn settled_world() -> World {
    let mut world = World::new();
    for _ in 0..12 {
        world.request(0, 500);
        world.round(&all(true), &all(false), true);
        world.now += 250;
    }
    world
}

#[test]
fn a_killed_router_is_charged_less_than_it_held() {
    let mut world = settled_world();
    let node = world.lives[0].node.clone();
    let held = world.ledger.allotment(&node, &tenant()).outstanding();
    world.step(&Step::Kill { router: 0, down: 800 });
    world.check();
    assert!(world.ledger.issued(&tenant()) < held, "some of the reserve comes back");
}

#[test]
fn a_router_that_lost_power_is_charged_all_that_it_held() {
    let mut world = settled_world();
    let before = world.ledger.issued(&tenant());
    world.step(&Step::PowerOff { router: 0 });
    assert_eq!(world.ledger.issued(&tenant()), before);
}

#[test]
fn a_farewell_gives_everything_unspent_back() {
    let mut world = settled_world();
    let used = world.lives[0].used;
    world.step(&Step::Farewell { router: 0 });
    assert_eq!(world.ledger.issued(&tenant()), Tokens(used));
}

#[test]
fn out_of_touch_the_reserve_opens_after_the_lock_and_not_before() {
    let mut world = settled_world();
    let primary = world.lives[0].wallet.primary_left(&tenant());
    let more_than_hand = primary + Tokens(1);
    let now = Timestamp(world.now);
    let wallet = &mut world.lives[0].wallet;
    wallet.on_contact(now);
    assert!(wallet.reserve(now, &tenant(), more_than_hand).is_err());
    let after = now + Millis(RESERVE_UNLOCK_DELAY.0 + 2_000);
    assert!(wallet.reserve(after, &tenant(), more_than_hand).is_ok());
}

#[test]
fn a_clock_that_has_begun_anew_bounds_nothing() {
    let earlier = BootTimestamp { boot: 1, at: SteadyTime(5_000) };
    assert_eq!(BootTimestamp { boot: 2, at: SteadyTime(9_000) }.since(earlier), None);
    assert_eq!(BootTimestamp { boot: 1, at: SteadyTime(4_000) }.since(earlier), None);
    assert_eq!(BootTimestamp { boot: 1, at: SteadyTime(5_400) }.since(earlier), Some(Millis(400)));
}

#[test]
fn late_and_repeated_totals_do_no_harm() {
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
fn a_grant_is_cut_to_what_is_left() {
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
fn a_lowered_limit_hands_out_nothing_more_and_a_raised_one_the_difference() {
    let mut world = settled_world();
    let issued = world.ledger.issued(&tenant());
    world.ledger.set_limits(&[(tenant(), Tokens(issued.0 / 2))]);
    assert_eq!(world.ledger.available(&tenant()), Tokens::ZERO);
    world.ledger.set_limits(&[(tenant(), issued + Tokens(10))]);
    assert_eq!(world.ledger.available(&tenant()), Tokens(10));
}

fn report_of(wanted: u64, used: u64) -> AccountReport {
    AccountReport {
        used: Tokens(used),
        wanted: Tokens(wanted),
        largest_request: Tokens(40_000),
        rate: Tokens(1_000),
        ..AccountReport::default()
    }
}

/// Everything is with routers that do not need it while a request waits at another one.
#[test]
fn what_a_request_waits_for_is_called_back_from_idle_routers() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let mut wallets: Vec<Wallet> = (0..ROUTERS).map(|_| Wallet::default()).collect();
    for (machine, wallet) in wallets.iter_mut().enumerate() {
        let amount = Tokens(LIMIT * 33 / 100);
        let to_primary = Tokens(1_000);
        let (holder, draw_rate) = (node(machine, 1), DrawRate::default());
        ledger.allot(&Grant { holder, tenant: tenant(), amount, to_primary, draw_rate });
        let allotment = ledger.allotment(&node(machine, 1), &tenant());
        wallet.on_allotted(&tenant(), &allotment);
    }
    let reports: BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>> = (0..ROUTERS)
        .map(|machine| {
            let wanted = if machine == 0 { 60_000 } else { 0 };
            let report = report_of(wanted, 0);
            (node(machine, 1), BTreeMap::from([(tenant(), report)]))
        })
        .collect();
    let planned = plan(&ledger, &reports, Millis(250), &mut ScarceBudgetLimiter::default());
    for recall in &planned.recalls {
        let machine = (0..ROUTERS).find(|machine| node(*machine, 1) == recall.holder);
        let machine = machine.expect("a router of the test");
        assert_ne!(machine, 0, "nothing is taken from whoever is short");
        wallets[machine].return_excess(&tenant(), recall.keep);
        let (_, account) = wallets[machine].report(Timestamp(1)).remove(0);
        ledger.record_return(&TokenReturn {
            holder: recall.holder.clone(),
            tenant: tenant(),
            returned: account.returned,
            released: account.released,
        });
    }
    let next = plan(&ledger, &reports, Millis(250), &mut ScarceBudgetLimiter::default());
    next.grants.iter().for_each(|grant| ledger.allot(grant));
    let allotment = ledger.allotment(&node(0, 1), &tenant());
    assert!(allotment.usable_primary() >= Tokens(60_000), "hand {}", allotment.usable_primary());
    assert!(ledger.issued(&tenant()) <= Tokens(LIMIT));
}

/// The leader moves reserve to the hand while the router gives the same reserve back.
#[test]
fn a_reserve_that_is_given_back_while_the_hand_grows_out_of_it_is_spent_once() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let mut wallet = Wallet::default();
    let grant = |amount, to_primary| Grant {
        holder: node(0, 1),
        tenant: tenant(),
        amount: Tokens(amount),
        to_primary: Tokens(to_primary),
        draw_rate: DrawRate::default(),
    };
    ledger.allot(&grant(100, 10));
    wallet.on_allotted(&tenant(), &ledger.allotment(&node(0, 1), &tenant()));
    ledger.allot(&grant(0, 80));
    wallet.return_excess(&tenant(), Tokens(10));
    let (_, account) = wallet.report(Timestamp(1)).remove(0);
    ledger.record_return(&TokenReturn {
        holder: node(0, 1),
        tenant: tenant(),
        returned: account.returned,
        released: account.released,
    });
    wallet.on_allotted(&tenant(), &ledger.allotment(&node(0, 1), &tenant()));
    assert!(wallet.reserve(Timestamp(1), &tenant(), Tokens(11)).is_err());
    assert!(wallet.reserve(Timestamp(1), &tenant(), Tokens(10)).is_ok());
    assert_eq!(ledger.issued(&tenant()), Tokens(10));
}

/// A control replica was suspended while a router out of touch drew on its reserve, and bounds the end of
/// that life by its own clock: the router's echo plus the time since, as far as that clock has counted it.
/// Returns what the life has used and what it is charged.
fn life_bounded_by_a_suspended_replica(clock_goes_on: bool) -> (u64, u64) {
    let mut world = settled_world();
    world.round(&all(true), &all(false), true);
    let heard = world.now;
    let suspended = RESERVE_UNLOCK_DELAY.0 + 3_000;
    world.now += suspended;
    while world.lives[0].wallet.reserve(Timestamp(world.now), &tenant(), Tokens(10)).is_ok() {
        world.lives[0].used += 10;
    }
    let counted = if clock_goes_on { suspended } else { 0 };
    let end = BootTimestamp { boot: 1, at: SteadyTime(heard + counted) };
    let node = world.lives[0].node.clone();
    let charges = world.ledger.close(&node, &IncarnationEnd::EndedBefore(end));
    (world.lives[0].used, charges.iter().map(|charge| charge.charge.0).sum())
}

#[test]
fn a_replica_that_was_suspended_charges_a_life_all_that_it_used() {
    let (used, charged) = life_bounded_by_a_suspended_replica(true);
    assert!(used <= charged, "used {used}, charged {charged}");
}

/// Shows that the test above would see the wrong clock.
#[test]
fn a_clock_that_stands_still_in_suspension_would_charge_too_little() {
    let (used, charged) = life_bounded_by_a_suspended_replica(false);
    assert!(used > charged, "used {used}, charged {charged}");
}

/// A router that was suspended itself has drawn nothing meanwhile; its clock has gone on, so the reserve is
/// open by then and its pace is that of the ledger.
#[test]
fn a_router_that_wakes_draws_no_more_than_the_ledger_has_counted() {
    let mut world = settled_world();
    world.round(&all(true), &all(false), true);
    for pause in [RESERVE_UNLOCK_DELAY.0 + 3_000, 40, 40, 2_000] {
        world.now += pause;
        while world.lives[0].wallet.reserve(Timestamp(world.now), &tenant(), Tokens(10)).is_ok() {
            world.lives[0].used += 10;
        }
        world.check();
    }
    world.step(&Step::Kill { router: 0, down: 0 });
    world.check();
}
