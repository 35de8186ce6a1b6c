//! A budget under the load of a large fleet: five zones of 59 routers, each of which meets a tenant once in several
//! seconds. What callers get depends on where the tenant's tokens lie.
//!
//! The failure: of a budget of which half had been handed to nobody, requests were refused in touch, a thousand a
//! second over all tenants. The cause: the leader handed tokens to 295 routers by the demand that each of them saw, and
//! what was left lay in hands that covered no request.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_gateway_core::{AccountOwners, RouterEndpoint};
use stackpost_prepaid::*;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u8 = 5;
const ROUTERS_PER_ZONE: u8 = 59;
const LIMIT: Tokens = Tokens(1_700_000);
/// Requests of the tenant a second, from all callers.
const REQUESTS_PER_S: f64 = 19.0;
/// What requests of three kinds cost at most, and their weights.
const KINDS: [(u64, u32); 3] = [(12_376, 220), (1_114, 290), (2_392, 335)];
const STEP: Millis = Millis(10);
/// Time between two rounds of the leader while a request waits, and while none does.
const URGENT_ROUND: Millis = Millis(60);
const ROUND: Millis = Millis(250);
/// How long a request waits for tokens.
const WAIT: Millis = Millis(176);
/// How long a generation runs.
const RUN: Millis = Millis(1_000);
/// A request that would take the budget beyond this part of its limit is not owed, in thousandths.
const OWED_PERMILLE: u64 = 970;

/// Where tokens are set aside.
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
    /// The router that keeps each router's account.
    keeper: Vec<usize>,
    ledger: PrepaidLedger,
    scarce_limiter: ScarceBudgetLimiter,
    forecast: Option<BudgetForecast>,
    waiting: Vec<Waiting>,
    running: Vec<(Timestamp, usize, Tokens)>,
    round_at: Timestamp,
    used: Tokens,
    /// Refused although the budget had room, by the count that callers are owed.
    refused_owed: usize,
    served: usize,
    /// Accounts that the leader planned for in a round, at most.
    accounts: usize,
}

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn sites() -> Vec<RouterEndpoint> {
    let site = |zone: u8, router: u8| RouterEndpoint {
        zone: ZoneName::new(format!("zone{zone}")),
        address: ([10, 0, zone, router], 80).into(),
    };
    (0..ZONES)
        .flat_map(|zone| (0..ROUTERS_PER_ZONE).map(move |router| site(zone, router)))
        .collect()
}

fn keepers(accounts: Accounts, now: Timestamp) -> Vec<usize> {
    let sites = sites();
    let all: BTreeSet<RouterEndpoint> = sites.iter().cloned().collect();
    let keeper = |(index, own): (usize, &RouterEndpoint)| {
        if accounts == Accounts::AtEveryRouter {
            return index;
        }
        let mut owners = AccountOwners::default();
        owners.set_endpoints(own, &all);
        let asked = owners.lenders_in_zone(now, &tenant()).first().copied();
        asked.map_or(index, |owner| {
            sites.iter().position(|site| site.address == owner).expect("a router")
        })
    };
    sites.iter().enumerate().map(keeper).collect()
}

impl Fleet {
    fn start(accounts: Accounts) -> Self {
        let now = Timestamp(10_000);
        let routers = sites().len();
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
            keeper: keepers(accounts, now),
            ledger,
            scarce_limiter: ScarceBudgetLimiter::default(),
            forecast: None,
            waiting: Vec::new(),
            running: Vec::new(),
            round_at: now,
            used: Tokens::ZERO,
            refused_owed: 0,
            served: 0,
            accounts: 0,
        }
    }

    /// Plays until the budget is used up, as far as callers are owed.
    fn play(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        while self.used < LIMIT.scaled(OWED_PERMILLE, 1_000) {
            self.now = self.now + STEP;
            if random.random_bool(REQUESTS_PER_S * STEP.0 as f64 / 1_000.0) {
                self.request(&mut random);
            }
            self.settle();
            self.retry();
            let pause = if self.waiting.is_empty() { ROUND } else { URGENT_ROUND };
            if self.now.since(self.round_at) >= pause {
                self.round();
            }
            assert!(self.now < Timestamp(300_000), "the budget is not used up: {}", self.used);
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
        let holder = self.keeper[random.random_range(0..self.wallets.len())];
        let wallet = &mut self.wallets[holder];
        wallet.on_contact(self.now);
        if !wallet.admits(&tenant(), amount, self.forecast) {
            return self.refuse(amount);
        }
        match wallet.reserve(self.now, &tenant(), amount) {
            Ok(()) => self.serve(holder, amount),
            Err(_) => self.waiting.push(Waiting { holder, amount, until: self.now + WAIT }),
        }
    }

    fn serve(&mut self, holder: usize, amount: Tokens) {
        self.served += 1;
        self.used += amount;
        self.running.push((self.now + RUN, holder, amount));
    }

    fn refuse(&mut self, amount: Tokens) {
        if self.used + amount <= LIMIT.scaled(OWED_PERMILLE, 1_000) {
            self.refused_owed += 1;
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

    /// All routers report, and the leader's plan is committed and told.
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

fn played(accounts: Accounts, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(accounts);
    fleet.play(seed);
    fleet
}

#[test]
fn callers_in_touch_are_refused_nothing_that_their_budget_covers() {
    for seed in 1..=20 {
        let fleet = played(Accounts::AtTheOwner, seed);
        assert_eq!(fleet.refused_owed, 0, "seed {seed}, {} served", fleet.served);
        assert!(fleet.accounts <= usize::from(ZONES), "{} accounts", fleet.accounts);
    }
}

#[test]
fn an_account_at_every_router_refuses_callers_whose_budget_covers_them() {
    let fleets: Vec<Fleet> = (1..=5).map(|seed| played(Accounts::AtEveryRouter, seed)).collect();
    let refused: usize = fleets.iter().map(|fleet| fleet.refused_owed).sum();
    assert!(refused > 0);
    assert!(fleets.iter().all(|fleet| fleet.accounts > 100));
}
