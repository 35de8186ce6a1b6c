//! Simulates one tenant's budget in a large fleet: five zones of 59 routers, each of which receives
//! a request of the tenant once in several seconds.
//!
//! Guards against refusals while half of the budget is not allotted. The leader allotted tokens to
//! 295 routers by the demand that each of them saw, and the remaining tokens were spread over
//! routers with too few to cover a request: a thousand requests per second over all tenants were
//! refused while connected to the leader.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_gateway_core::{AccountOwners, RouterEndpoint};
use stackpost_prepaid::*;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u8 = 5;
const ROUTERS_PER_ZONE: u8 = 59;
const LIMIT: Tokens = Tokens(1_700_000);
/// Requests of the tenant per second, from all callers.
const REQUESTS_PER_S: f64 = 19.0;
/// Maximum costs of three kinds of requests, and their weights.
const KINDS: [(u64, u32); 3] = [(12_376, 220), (1_114, 290), (2_392, 335)];
const STEP: Millis = Millis(10);
/// Intervals of the leader's planning rounds while a request waits, and while none does.
const URGENT_ROUND_INTERVAL: Millis = Millis(60);
const ROUND_INTERVAL: Millis = Millis(250);
/// Longest wait of a request for tokens.
const MAX_WAIT: Millis = Millis(176);
/// Duration of a generation.
const RUN_TIME: Millis = Millis(1_000);
/// A refusal counts as unjustified only up to this part of the limit, in thousandths.
const COVERED_PERMILLE: u64 = 970;

/// Which routers hold accounts of the tenant.
#[derive(Clone, Copy, PartialEq)]
enum Accounts {
    AtEveryRouter,
    AtTheOwner,
}

struct Waiting {
    holder: usize,
    amount: Tokens,
    until: Timestamp,
}

struct Fleet {
    now: Timestamp,
    nodes: Vec<NodeId>,
    wallets: Vec<Wallet>,
    /// For each router, the router that owns its account.
    owner: Vec<usize>,
    ledger: PrepaidLedger,
    scarce_limiter: ScarceBudgetLimiter,
    forecast: Option<BudgetForecast>,
    waiting: Vec<Waiting>,
    running: Vec<(Timestamp, usize, Tokens)>,
    round_at: Timestamp,
    used: Tokens,
    /// Requests refused although the budget covered them.
    unjustified_refusals: usize,
    served: usize,
    /// Largest number of accounts in one planning round.
    accounts: usize,
}

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn endpoints() -> Vec<RouterEndpoint> {
    let endpoint = |zone: u8, router: u8| RouterEndpoint {
        zone: ZoneName::new(format!("zone{zone}")),
        address: ([10, 0, zone, router], 80).into(),
    };
    (0..ZONES)
        .flat_map(|zone| (0..ROUTERS_PER_ZONE).map(move |router| endpoint(zone, router)))
        .collect()
}

fn account_owners(accounts: Accounts, now: Timestamp) -> Vec<usize> {
    let endpoints = endpoints();
    let all: BTreeSet<RouterEndpoint> = endpoints.iter().cloned().collect();
    let owner = |(index, own): (usize, &RouterEndpoint)| {
        if accounts == Accounts::AtEveryRouter {
            return index;
        }
        let mut owners = AccountOwners::default();
        owners.set_endpoints(own, &all);
        let owner_address = owners.lenders_in_zone(now, &tenant()).first().copied();
        owner_address.map_or(index, |owner| {
            endpoints.iter().position(|endpoint| endpoint.address == owner).expect("a router")
        })
    };
    endpoints.iter().enumerate().map(owner).collect()
}

impl Fleet {
    fn start(accounts: Accounts) -> Self {
        let now = Timestamp(10_000);
        let routers = endpoints().len();
        let node = |index: usize| NodeId {
            machine: MachineName::new(format!("m{index}")),
            incarnation: Incarnation(1),
        };
        let mut ledger = PrepaidLedger::default();
        ledger.set_limits(&[(tenant(), LIMIT)]);
        Self {
            now,
            nodes: (0..routers).map(node).collect(),
            wallets: (0..routers).map(|_| Wallet::default()).collect(),
            owner: account_owners(accounts, now),
            ledger,
            scarce_limiter: ScarceBudgetLimiter::default(),
            forecast: None,
            waiting: Vec::new(),
            running: Vec::new(),
            round_at: now,
            used: Tokens::ZERO,
            unjustified_refusals: 0,
            served: 0,
            accounts: 0,
        }
    }

    /// Runs until the budget is exhausted.
    fn run(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        while self.used < LIMIT.scaled(COVERED_PERMILLE, 1_000) {
            self.now = self.now + STEP;
            if random.random_bool(REQUESTS_PER_S * STEP.0 as f64 / 1_000.0) {
                self.request(&mut random);
            }
            self.settle();
            self.retry();
            let pause =
                if self.waiting.is_empty() { ROUND_INTERVAL } else { URGENT_ROUND_INTERVAL };
            if self.now.since(self.round_at) >= pause {
                self.round();
            }
            assert!(
                self.now < Timestamp(300_000),
                "budget not exhausted in 300 s, used: {}",
                self.used
            );
        }
    }

    fn request(&mut self, random: &mut ChaCha8Rng) {
        let all: u32 = KINDS.iter().map(|(_, weight)| weight).sum();
        let mut drawn = random.random_range(0..all);
        let kind = KINDS.iter().find(|(_, weight)| {
            let found = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            found
        });
        let amount = Tokens(kind.expect("a kind").0);
        let holder = self.owner[random.random_range(0..self.wallets.len())];
        let wallet = &mut self.wallets[holder];
        wallet.on_contact(self.now);
        if !wallet.admits(&tenant(), amount, self.forecast) {
            return self.refuse(amount);
        }
        match wallet.reserve(self.now, &tenant(), amount) {
            Ok(()) => self.serve(holder, amount),
            Err(_) => self.waiting.push(Waiting { holder, amount, until: self.now + MAX_WAIT }),
        }
    }

    fn serve(&mut self, holder: usize, amount: Tokens) {
        self.served += 1;
        self.used += amount;
        self.running.push((self.now + RUN_TIME, holder, amount));
    }

    fn refuse(&mut self, amount: Tokens) {
        if self.used + amount <= LIMIT.scaled(COVERED_PERMILLE, 1_000) {
            self.unjustified_refusals += 1;
        }
    }

    fn retry(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            let wallet = &mut self.wallets[request.holder];
            wallet.on_contact(self.now);
            if wallet.retry_reserve(self.now, &tenant(), request.amount).is_ok() {
                self.serve(request.holder, request.amount);
            } else if self.now < request.until {
                self.waiting.push(request);
            } else {
                self.refuse(request.amount);
            }
        }
    }

    fn settle(&mut self) {
        let now = self.now;
        let wallets = &mut self.wallets;
        self.running.retain(|(ends, holder, amount)| {
            let runs = *ends > now;
            if !runs {
                wallets[*holder].settle(&tenant(), *amount, *amount);
            }
            runs
        });
    }

    /// All routers report, and the leader's plan is committed and delivered.
    fn round(&mut self) {
        let elapsed = self.now.since(self.round_at);
        self.round_at = self.now;
        let mut reports = BTreeMap::new();
        for (node, wallet) in self.nodes.iter().zip(&mut self.wallets) {
            wallet.on_contact(self.now);
            let accounts: BTreeMap<TenantName, AccountReport> =
                wallet.report(self.now).into_iter().collect();
            for (tenant, account) in &accounts {
                self.ledger.record_return(&TokenReturn {
                    holder: node.clone(),
                    tenant: tenant.clone(),
                    returned: account.returned,
                    released: account.released,
                });
            }
            if !accounts.is_empty() {
                reports.insert(node.clone(), accounts);
            }
        }
        self.accounts = self.accounts.max(reports.len());
        let plan = plan(&self.ledger, &reports, elapsed, &mut self.scarce_limiter);
        plan.grants.iter().for_each(|grant| self.ledger.allot(grant));
        self.forecast = plan.forecasts.get(&tenant()).copied();
        for (node, wallet) in self.nodes.iter().zip(&mut self.wallets) {
            for (tenant, allotment) in self.ledger.allotments(node) {
                wallet.on_allotted(&tenant, &allotment);
            }
            for recall in plan.recalls.iter().filter(|recall| recall.holder == *node) {
                wallet.return_excess(&recall.tenant, recall.keep);
            }
        }
    }
}

fn simulate(accounts: Accounts, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(accounts);
    fleet.run(seed);
    fleet
}

#[test]
fn connected_fleet_refuses_nothing_that_the_budget_covers() {
    for seed in 1..=20 {
        let fleet = simulate(Accounts::AtTheOwner, seed);
        assert_eq!(fleet.unjustified_refusals, 0, "seed {seed}, {} served", fleet.served);
        assert!(fleet.accounts <= usize::from(ZONES), "{} accounts", fleet.accounts);
    }
}

#[test]
fn accounts_at_every_router_refuse_covered_requests() {
    let fleets: Vec<Fleet> = (1..=5).map(|seed| simulate(Accounts::AtEveryRouter, seed)).collect();
    let refused: usize = fleets.iter().map(|fleet| fleet.unjustified_refusals).sum();
    assert!(refused > 0);
    assert!(fleets.iter().all(|fleet| fleet.accounts > 100));
}
