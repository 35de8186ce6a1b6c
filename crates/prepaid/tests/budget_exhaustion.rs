//! The ends of budgets: what is handed out last, when, and to whom.
//!
//! The failure: of the requests that came after a loss of power of all machines, 22 to 25 in 100 were served, the plain
//! ones. Every tenant was at the end of its budget. The cause: the last part of each budget had been handed out before the
//! loss, in hands of which the loss took what was left; what remained lay scattered, a little less than a request at each
//! router. The evidence: of 1,051 requests that one such day refused for their budgets in its last five and a half seconds 510 were
//! cheap ones which the router's hand did not cover, with nothing to 1,800 tokens in it, while up to 16,700 of the same budget lay
//! with all routers together.

use stackpost_prepaid::*;
use stackpost_types::*;
use std::collections::BTreeMap;

const LIMIT: u64 = 1_000_000;
const ROUTERS: usize = 3;
/// Time between two rounds of the leader.
const ROUND: Millis = Millis(250);
/// What a cheap request costs.
const CHEAP: u64 = 1_400;

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn node(machine: usize, life: u64) -> NodeId {
    NodeId { machine: MachineName::new(format!("m{machine}")), incarnation: Incarnation(life) }
}

/// Routers whose requests are served at once if the wallet covers them, and a leader that hears all.
struct Fleet {
    now: Timestamp,
    life: u64,
    ledger: PrepaidLedger,
    scarce_limiter: ScarceBudgetLimiter,
    wallets: Vec<Wallet>,
    forecast: Option<BudgetForecast>,
    served: Vec<u64>,
}

impl Fleet {
    /// Every router holds `held`, and nobody holds `unheld`.
    fn start(held: u64, unheld: u64) -> Self {
        Self::with_limit(LIMIT, held, unheld)
    }

    fn with_limit(limit: u64, held: u64, unheld: u64) -> Self {
        let mut fleet = Self {
            now: Timestamp(10_000),
            life: 1,
            ledger: PrepaidLedger::default(),
            scarce_limiter: ScarceBudgetLimiter::default(),
            wallets: (0..ROUTERS).map(|_| Wallet::default()).collect(),
            forecast: Some(BudgetForecast::Scarce),
            served: Vec::new(),
        };
        fleet.ledger.set_limits(&[(tenant(), Tokens(limit))]);
        fleet.allot(&node(ROUTERS, 0), limit - unheld - held * ROUTERS as u64);
        for machine in 0..ROUTERS {
            fleet.allot(&node(machine, 1), held);
        }
        fleet.tell_routers();
        fleet
    }

    fn allot(&mut self, holder: &NodeId, amount: u64) {
        let (holder, amount) = (holder.clone(), Tokens(amount));
        let grant = Grant {
            holder,
            tenant: tenant(),
            amount,
            to_primary: amount,
            draw_rate: DrawRate::default(),
        };
        self.ledger.allot(&grant);
    }

    fn tell_routers(&mut self) {
        for (machine, wallet) in self.wallets.iter_mut().enumerate() {
            wallet.on_contact(self.now);
            let allotment = self.ledger.allotment(&node(machine, self.life), &tenant());
            wallet.on_allotted(&tenant(), &allotment);
        }
    }

    /// A request comes to a router; one that is covered costs `amount`.
    fn ask(&mut self, machine: usize, amount: u64) {
        let wallet = &mut self.wallets[machine];
        wallet.admits(&tenant(), Tokens(amount), self.forecast);
        if wallet.retry_reserve(self.now, &tenant(), Tokens(amount)).is_ok() {
            wallet.settle(&tenant(), Tokens(amount), Tokens(amount));
            self.served.push(amount);
        }
    }

    /// What the routers say, a round of the leader, and what follows from it.
    fn round(&mut self) {
        self.now = self.now + ROUND;
        let mut reports = BTreeMap::new();
        for (machine, wallet) in self.wallets.iter_mut().enumerate() {
            let accounts: BTreeMap<_, _> = wallet.report(self.now).into_iter().collect();
            reports.insert(node(machine, self.life), accounts);
        }
        let plan = plan(&self.ledger, &reports, ROUND, &mut self.scarce_limiter);
        self.forecast = plan.forecasts.get(&tenant()).copied();
        self.take_back(&reports);
        plan.grants.iter().for_each(|grant| self.ledger.allot(grant));
        for recall in &plan.recalls {
            let machine = (0..ROUTERS).find(|machine| node(*machine, self.life) == recall.holder);
            let machine = machine.expect("a router of the test");
            self.wallets[machine].return_excess(&tenant(), recall.keep);
        }
        self.tell_routers();
        assert!(self.ledger.issued(&tenant()) <= Tokens(LIMIT));
    }

    fn take_back(&mut self, reports: &BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>>) {
        for (holder, accounts) in reports {
            for (tenant, account) in accounts {
                let (holder, tenant) = (holder.clone(), tenant.clone());
                let (returned, released) = (account.returned, account.released);
                self.ledger.record_return(&TokenReturn { holder, tenant, returned, released });
            }
        }
    }

    /// Cheap requests come to every router until nothing is handed out any more.
    fn exhaust(&mut self) {
        for _ in 0..400 {
            (0..ROUTERS).for_each(|machine| self.ask(machine, CHEAP));
            self.round();
        }
    }

    /// All machines lose power; other lives of the routers follow.
    fn lose_all(&mut self) {
        for machine in 0..ROUTERS {
            let lost = node(machine, self.life);
            self.ledger.close(&lost, &IncarnationEnd::Unknown);
            self.scarce_limiter.on_router_lost(self.now, lost.machine);
        }
        assert_eq!(self.scarce_limiter.open_guard_after_loss(self.now, ROUTERS), Some(ROUTERS));
        self.life += 1;
        self.wallets = (0..ROUTERS).map(|_| Wallet::default()).collect();
        self.tell_routers();
    }
}

#[test]
fn a_tenant_at_the_end_of_its_budget_is_served_something_after_a_loss_of_the_fleet() {
    let mut fleet = Fleet::start(5_000, 20_000);
    fleet.exhaust();
    let before = fleet.served.len();
    assert!(before > 0);
    fleet.lose_all();
    fleet.exhaust();
    let after = fleet.served.len() - before;
    // Seven thousandths of the limit are kept for that, less what a request does not fit.
    assert!(after as u64 >= 7 * LIMIT / 1_000 / CHEAP - 1, "{after} served after the loss");
    fleet.exhaust();
    assert_eq!(fleet.served.len(), before + after, "and no more");
}

#[test]
fn what_is_kept_for_a_loss_is_handed_out_over_some_seconds() {
    let mut fleet = Fleet::start(0, 20_000);
    fleet.exhaust();
    fleet.lose_all();
    let before = fleet.served.len();
    let mut moments = Vec::new();
    for round in 0..80 {
        let served = fleet.served.len();
        (0..ROUTERS).for_each(|machine| fleet.ask(machine, CHEAP));
        fleet.round();
        if fleet.served.len() > served {
            moments.push(round);
        }
    }
    let (first, last) = (moments[0], moments[moments.len() - 1]);
    assert!(first < 20 && last > 40, "a part of it in each quarter of 20 s: {moments:?}");
    assert!(fleet.served.len() - before <= (7 * LIMIT / 1_000 / CHEAP) as usize);
}

/// What a ration saves up in two seconds is less than a request costs there.
#[test]
fn the_last_part_of_a_small_budget_is_handed_out_as_well() {
    let limit = 3 * LIMIT / 10;
    let mut fleet = Fleet::with_limit(limit, 0, limit * 17 / 1_000);
    fleet.exhaust();
    assert_eq!(fleet.served, [CHEAP], "five thousandths of the limit cover one request");
}

#[test]
fn half_of_the_routers_must_be_lost_together() {
    let (mut scarce_limiter, machine) =
        (ScarceBudgetLimiter::default(), |number| node(number, 1).machine);
    let at = |seconds: u64| Timestamp(1_000 * seconds);
    assert_eq!(scarce_limiter.open_guard_after_loss(at(1), 0), None, "nothing was lost");
    scarce_limiter.on_router_lost(at(1), machine(0));
    scarce_limiter.on_router_lost(at(2), machine(0));
    assert_eq!(scarce_limiter.open_guard_after_loss(at(2), 3), None, "one machine of three, twice");
    scarce_limiter.on_router_lost(at(6), machine(1));
    assert_eq!(
        scarce_limiter.open_guard_after_loss(at(6), 3),
        None,
        "the other one was lost long before"
    );
    scarce_limiter.on_router_lost(at(8), machine(2));
    assert!(!scarce_limiter.is_guard_open());
    assert_eq!(scarce_limiter.open_guard_after_loss(at(8), 3), Some(2));
    assert!(scarce_limiter.is_guard_open());
    assert_eq!(scarce_limiter.open_guard_after_loss(at(9), 3), None, "each loss counts once");
    scarce_limiter.begin_round(Millis(20_000));
    assert!(!scarce_limiter.is_guard_open());
}

/// Each router holds a little less than a request costs, and nobody holds anything else.
#[test]
fn what_lies_scattered_is_gathered_for_the_request_that_lacks_least() {
    let mut fleet = Fleet::start(900, 5_000);
    for _ in 0..4 {
        (0..ROUTERS).for_each(|machine| fleet.ask(machine, CHEAP + 100 * machine as u64));
        fleet.round();
    }
    assert_eq!(fleet.served, [CHEAP], "2,700 tokens cover one of them");
}

#[test]
fn a_hand_holds_nothing_ahead_of_the_requests_once_a_budget_is_scarce() {
    let mut fleet = Fleet::start(0, 16_000);
    (0..20).for_each(|_| fleet.round());
    let held: Tokens = fleet.wallets.iter().map(|wallet| wallet.primary_left(&tenant())).sum();
    assert_eq!(held, Tokens::ZERO);
    fleet.ask(2, CHEAP);
    fleet.round();
    assert_eq!(fleet.wallets[2].primary_left(&tenant()), Tokens(CHEAP));
}

#[test]
fn the_leader_hears_of_the_smallest_request_of_a_scarce_budget_and_of_the_largest_of_others() {
    for (forecast, told) in [(Some(BudgetForecast::Scarce), 700), (None, 9_000)] {
        let mut fleet = Fleet::start(0, 0);
        fleet.forecast = forecast;
        [900, 9_000, 700].into_iter().for_each(|amount| fleet.ask(0, amount));
        let (_, account) = fleet.wallets[0].report(fleet.now).remove(0);
        assert_eq!(account.wanted, Tokens(told));
    }
}

#[test]
fn the_last_part_of_a_budget_is_rationed() {
    let limit = Tokens(1_000_000);
    let second = scarce_allowance(limit, Millis(1_000));
    assert_eq!(second, Tokens(1_100));
    assert_eq!(scarce_allowance(limit, Millis(500)), Tokens(550));
    assert_eq!(
        scarce_allowance(limit, Millis(60_000)),
        scarce_allowance(limit, Millis(2_000)),
        "little is saved up"
    );
}

/// One router that has used all but the last part of a budget.
#[test]
fn a_scarce_budget_is_said_to_be_scarce_and_lasts() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let holder = node(0, 1);
    let all_but_last = Tokens(LIMIT * 985 / 1_000);
    ledger.allot(&Grant {
        holder: holder.clone(),
        tenant: tenant(),
        amount: all_but_last,
        to_primary: all_but_last,
        draw_rate: DrawRate::default(),
    });
    let mut used = all_but_last;
    let mut scarce_limiter = ScarceBudgetLimiter::default();
    for round in 0..40 {
        let report = AccountReport {
            used,
            wanted: Tokens(50),
            largest_request: Tokens(4_000),
            rate: Tokens(9_000),
            ..AccountReport::default()
        };
        let reports = BTreeMap::from([(holder.clone(), BTreeMap::from([(tenant(), report)]))]);
        let plan = plan(&ledger, &reports, Millis(250), &mut scarce_limiter);
        assert_eq!(plan.forecasts.get(&tenant()), Some(&BudgetForecast::Scarce));
        plan.grants.iter().for_each(|grant| ledger.allot(grant));
        used = ledger.allotment(&holder, &tenant()).primary;
        if round == 3 {
            let second = scarce_allowance(Tokens(LIMIT), Millis(1_000));
            assert!(used <= all_but_last + second, "a second hands out one ration at most");
        }
    }
    assert!(used > all_but_last, "something is handed out");
    // Half a percent of the limit is never handed out, seven thousandths after a loss alone.
    assert!(used <= all_but_last + Tokens(LIMIT * 3 / 1_000), "no more than the last part");
}

/// Requests were refused for the sake of more urgent ones up to fifteen seconds before a budget would have ended; much of
/// what was kept back was never asked for.
#[test]
fn a_budget_that_is_about_to_end_serves_every_request_until_it_is_scarce() {
    let mut wallet = Wallet::default();
    for amount in [12_000, 1_100, 2_400] {
        let almost_over = Some(BudgetForecast::ExhaustedIn(Millis(500)));
        assert!(wallet.admits(&tenant(), Tokens(amount), almost_over));
        assert!(wallet.reserve(Timestamp(1_000), &tenant(), Tokens(amount)).is_err());
    }
    assert!(!wallet.admits(&tenant(), Tokens(12_000), Some(BudgetForecast::Scarce)));
    assert!(wallet.admits(&tenant(), Tokens(1_100), Some(BudgetForecast::Scarce)));
}

#[test]
fn the_leader_tells_how_long_a_budget_lasts() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let outlook_at = |rate: u64| {
        let report = AccountReport { rate: Tokens(rate), ..AccountReport::default() };
        let reports = BTreeMap::from([(node(0, 1), BTreeMap::from([(tenant(), report)]))]);
        plan(&ledger, &reports, ROUND, &mut ScarceBudgetLimiter::default())
            .forecasts
            .get(&tenant())
            .copied()
    };
    // 983,000 tokens can be handed out by demand: 1.7 in 100 are kept for the end.
    assert_eq!(outlook_at(0), None);
    assert_eq!(outlook_at(10_000), None, "98 s");
    assert_eq!(outlook_at(50_000), Some(BudgetForecast::ExhaustedIn(Millis(19_000))));
}

/// A pool of `pool` tokens, and two routers with `reports` that hold nothing.
fn plan_for(pool: u64, reports: [AccountReport; 2]) -> Plan {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let spent = LIMIT - LIMIT * 17 / 1_000 - pool;
    ledger.allot(&grant_to(&node(2, 1), spent));
    let account = |report| BTreeMap::from([(tenant(), report)]);
    let mut all: BTreeMap<NodeId, _> = reports
        .into_iter()
        .enumerate()
        .map(|(machine, report)| (node(machine, 1), account(report)))
        .collect();
    let used = AccountReport { used: Tokens(spent), ..AccountReport::default() };
    all.insert(node(2, 1), account(used));
    plan(&ledger, &all, ROUND, &mut ScarceBudgetLimiter::default())
}

fn grant_to(holder: &NodeId, amount: u64) -> Grant {
    let (holder, amount) = (holder.clone(), Tokens(amount));
    Grant { holder, tenant: tenant(), amount, to_primary: amount, draw_rate: DrawRate::default() }
}

fn granted(plan: &Plan, machine: usize) -> Tokens {
    plan.grants
        .iter()
        .filter(|grant| grant.holder == node(machine, 1))
        .map(|grant| grant.amount)
        .sum()
}

#[test]
fn what_a_request_waits_for_comes_before_what_is_held_ahead_of_demand() {
    let busy = AccountReport { rate: Tokens(50_000), ..AccountReport::default() };
    let waiting = AccountReport { wanted: Tokens(12_000), ..AccountReport::default() };
    let plan = plan_for(15_000, [busy, waiting]);
    assert!(granted(&plan, 1) >= Tokens(12_000), "{:?}", plan.grants);
}

#[test]
fn of_a_budget_that_runs_out_most_lies_with_nobody() {
    let busy = AccountReport { rate: Tokens(50_000), ..AccountReport::default() };
    let plan = plan_for(100_000, [busy, busy]);
    let handed: Tokens = plan.grants.iter().map(|grant| grant.to_primary).sum();
    assert!(handed <= Tokens(30_000), "{handed} of 100,000 lie in hands");
}

/// Reserves were a fixed part of what was left, so a loss of all power near the end of a budget took most of the rest.
#[test]
fn the_less_is_left_the_smaller_a_part_of_it_lies_in_reserves() {
    let busy = AccountReport { rate: Tokens(25_000), ..AccountReport::default() };
    let part_in_reserves = |pool: u64| {
        let plan = plan_for(pool, [busy, busy]);
        let reserved: Tokens =
            plan.grants.iter().map(|grant| grant.amount - grant.to_primary).sum();
        reserved.scaled(1_000, pool)
    };
    let (lasts_long, runs_out) = (part_in_reserves(700_000), part_in_reserves(200_000));
    assert!(runs_out + runs_out <= lasts_long, "{runs_out} and {lasts_long} in thousand");
}
