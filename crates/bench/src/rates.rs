//! Routers in front of engines that state a request rate limit: messages between routers, their
//! cost, and the share of the rates that is used. The decisions are those of the gateway; time,
//! network and engines are simulated, and a datagram arrives at once.

use crate::capacity::resident_bytes;
use clap::ArgMatches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_gateway_core::{
    EngineDirectory, EngineNotice, EnginePermits, EngineRecord, EngineState, LoadShedder,
    PermitAvailability, PermitScope, RateStatement, RateUpdate, RequestClass,
};
use stackpost_types::{BackEndName, Millis, RequestRate, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

/// Requests per second and router, for the fleet size expected in two years.
const REQUESTS_PER_ROUTER: f64 = 53.0;
/// Longest wait for a permit: an eighth of a latency objective of 300 ms.
const PERMIT_TIMEOUT: Millis = Millis(37);
/// Most lenders that a router asks for a permit per request.
const MAX_LENDERS: usize = 2;
/// Most other routers that each router sends load updates to; the more there are, the longer the
/// interval between updates.
const MAX_PEERS: usize = 96;
/// Length of the sliding window over which an engine's requests are counted.
const WINDOW: Millis = Millis(4_000);
/// Time at the start that is left out of the results.
const WARM_UP: Millis = Millis(3_000);
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Size of a permit request without rate statements. This size and those of a response and of one
/// statement are those of the wire encoding, with names and numbers as in this benchmark.
const PERMIT_REQUEST_BYTES: usize = 24;
const PERMIT_RESPONSE_BYTES: usize = 24;
const STATEMENT_BYTES: usize = 34;
const STATEMENTS_PER_DATAGRAM: usize = 16;

struct Router {
    permits: EnginePermits,
    shedding: LoadShedder,
}

/// Counters of a run.
#[derive(Default)]
struct Counts {
    sent: u64,
    refused: u64,
    datagrams: u64,
    bytes: u64,
    permit_requests: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    service: ServiceName,
    routers: Vec<Router>,
    engines: Vec<EngineRecord>,
    /// Index in `engines` by name.
    index_by_name: HashMap<BackEndName, usize>,
    /// Stated rate of each engine in requests per second; `None` without a limit.
    rates: Vec<Option<f64>>,
    arrivals: Vec<Vec<u64>>,
    counts: Counts,
}

fn router_address(router: usize) -> SocketAddr {
    ([10, 0, (router / 250) as u8, (router % 250) as u8], 80).into()
}

fn router_index(router: SocketAddr) -> usize {
    match router {
        SocketAddr::V4(address) => {
            let [_, _, third, fourth] = address.ip().octets();
            usize::from(third) * 250 + usize::from(fourth)
        }
        SocketAddr::V6(_) => unreachable!("router addresses are IPv4"),
    }
}

fn engine_record(number: usize) -> EngineRecord {
    let mut directory = EngineDirectory::default();
    let name = BackEndName::new(format!("i-{number:010x}"));
    let notice = EngineNotice {
        engine: name.clone(),
        sequence: 1,
        service: "models".into(),
        address: router_address(number),
        zone: "hall".into(),
        slots: 64,
        state: EngineState::Ready,
        age: Millis(0),
        known_for: Millis(0),
        software: Default::default(),
    };
    directory.merge(Timestamp(1), notice);
    directory.get(&name).expect("the engine was announced").clone()
}

impl Simulation {
    fn new(routers: usize, engines: usize, limited_percent: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let limited = engines * limited_percent / 100;
        let rate = |engine| (engine < limited).then(|| rng.random_range(0.5..20.0));
        let rates = (0..engines).map(rate).collect();
        let router = |own: usize| {
            let mut permits = EnginePermits::new(router_address(own));
            let others = (0..routers).filter(|other| *other != own);
            permits.set_others(Timestamp(0), &others.map(router_address).collect::<Vec<_>>());
            Router { permits, shedding: LoadShedder::default() }
        };
        Self {
            rng,
            service: "models".into(),
            routers: (0..routers).map(router).collect(),
            engines: (0..engines).map(engine_record).collect(),
            index_by_name: (0..engines)
                .map(|index| (engine_record(index).notice.engine, index))
                .collect(),
            rates,
            arrivals: vec![Vec::new(); engines],
            counts: Counts::default(),
        }
    }

    /// Handles one request at one router.
    fn request(&mut self, router: usize, now: Timestamp) {
        let random: u64 = self.rng.random();
        let Router { permits, shedding, .. } = &mut self.routers[router];
        let availability = permits.availability(now, self.engines.iter());
        if availability != PermitAvailability::Unlimited {
            let class = RequestClass { priority: 1, tenant: None };
            let owned = permits.owned_rate(|_| true);
            if !shedding.admits(now, &self.service, &class, owned, random >> 32) {
                self.counts.refused += 1;
                return;
            }
        }
        if matches!(availability, PermitAvailability::Exhausted { soonest, .. } if soonest > PERMIT_TIMEOUT)
        {
            shedding.on_no_permit(now, &self.service);
            self.counts.refused += 1;
            return;
        }
        let start = self.rng.random_range(0..self.engines.len());
        let candidates = (start..self.engines.len()).chain(0..start);
        let mut own_engines = candidates
            .filter(|index| permits.has_room(now, &self.engines[*index], PermitScope::Rate));
        let own_engine = own_engines.next();
        if let Some(engine) = own_engine {
            permits.take(now, &self.engines[engine], PermitScope::Rate);
            shedding.on_permit(&self.service);
            return self.send(router, engine, now);
        }
        for lender in permits
            .lenders(now, random, PermitScope::Rate, self.engines.iter())
            .into_iter()
            .take(MAX_LENDERS)
        {
            if let Some(engine) = self.request_permit(router, router_index(lender), now) {
                self.routers[router].shedding.on_permit(&self.service);
                return self.send(router, engine, now);
            }
        }
        self.routers[router].shedding.on_no_permit(now, &self.service);
        self.counts.refused += 1;
    }

    /// Requests a permit from another router; returns the engine that it is for.
    fn request_permit(&mut self, router: usize, lender: usize, now: Timestamp) -> Option<usize> {
        self.counts.permit_requests += 1;
        self.count_datagram(PERMIT_REQUEST_BYTES + 3 * STATEMENT_BYTES);
        self.count_datagram(PERMIT_RESPONSE_BYTES);
        let lender_permits = &mut self.routers[lender].permits;
        let lender_address = router_address(lender);
        let owned = lender_permits.owned();
        let mut owned = owned.iter().map(|engine| self.index_by_name[engine]);
        let engine = owned
            .find(|index| lender_permits.has_room(now, &self.engines[*index], PermitScope::Rate));
        if let Some(engine) = engine {
            lender_permits.take(now, &self.engines[engine], PermitScope::Rate);
        } else if let Some(wait) = lender_permits.next_owned_permit(now, |_| true) {
            self.routers[router].permits.on_spent(now, lender_address, &self.service, wait);
        }
        engine
    }

    /// Sends the request to the engine, which states its rate in the response.
    fn send(&mut self, router: usize, engine: usize, now: Timestamp) {
        self.counts.sent += 1;
        self.arrivals[engine].push(now.0);
        let statement = self.rates[engine].map_or(RateStatement::Unlimited, |rate| {
            RateStatement::Limited(RequestRate::from_milli_rps((rate * 1_000.0) as u32))
        });
        let name = &self.engines[engine].notice.engine;
        let Router { permits, .. } = &mut self.routers[router];
        if permits.learn(now, name, now, statement).is_some() {
            let update = permits.rates().update_for(now, name);
            let owner = permits.owner(name).map(router_index);
            if let (Some(update), Some(owner)) = (update, owner.filter(|owner| *owner != router)) {
                self.send_updates_to(owner, &[update], now);
            }
        }
    }

    /// Every router sends its rate updates: for engines that it owns to all other routers, for the
    /// others to the owner.
    fn send_updates(&mut self, now: Timestamp) {
        for router in 0..self.routers.len() {
            let permits = &mut self.routers[router].permits;
            let updates = permits.rates_mut().take_updates(now);
            let (own, others): (Vec<RateUpdate>, Vec<RateUpdate>) =
                updates.into_iter().partition(|update| permits.owns(&update.engine));
            let mut by_owner: BTreeMap<usize, Vec<RateUpdate>> = BTreeMap::new();
            for update in others {
                if let Some(owner) = self.routers[router].permits.owner(&update.engine) {
                    by_owner.entry(router_index(owner)).or_default().push(update);
                }
            }
            for other in (0..self.routers.len()).filter(|other| *other != router && !own.is_empty())
            {
                self.send_updates_to(other, &own, now);
            }
            for (owner, updates) in by_owner {
                self.send_updates_to(owner, &updates, now);
            }
        }
    }

    fn send_updates_to(&mut self, to: usize, updates: &[RateUpdate], now: Timestamp) {
        for part in updates.chunks(STATEMENTS_PER_DATAGRAM) {
            self.count_datagram(part.len() * STATEMENT_BYTES);
        }
        for update in updates {
            self.routers[to].permits.learn_from_peer(now, update);
        }
    }

    fn count_datagram(&mut self, payload_bytes: usize) {
        self.counts.datagrams += 1;
        self.counts.bytes += (payload_bytes + DATAGRAM_HEADER_BYTES) as u64;
    }

    /// Largest excess, over all engines and windows, of requests in a window beyond one and a half
    /// times the stated rate plus five.
    fn max_excess(&self) -> i64 {
        let excess = |(arrivals, rate): (&Vec<u64>, &Option<f64>)| {
            let allowed = (1.5 * (*rate)? * WINDOW.0 as f64 / 1_000.0) as i64 + 5;
            let counted: Vec<u64> =
                arrivals.iter().copied().filter(|at| *at >= WARM_UP.0).collect();
            let within = |first: usize| {
                let end = counted[first] + WINDOW.0;
                counted[first..].iter().take_while(|at| **at < end).count() as i64
            };
            (0..counted.len()).map(within).max().map(|most| most - allowed)
        };
        self.arrivals.iter().zip(&self.rates).filter_map(excess).max().unwrap_or_default()
    }

    /// Requests received by engines with a stated rate, as a fraction of the stated rates.
    fn used_share(&self, seconds: u64) -> f64 {
        let limited = self.arrivals.iter().zip(&self.rates).filter(|(_, rate)| rate.is_some());
        let counted: usize = limited
            .map(|(arrivals, _)| arrivals.iter().filter(|at| **at >= WARM_UP.0).count())
            .sum();
        let stated: f64 = self.rates.iter().flatten().sum();
        counted as f64 / (stated * (seconds as f64 - WARM_UP.0 as f64 / 1_000.0))
    }
}

/// Simulates a fleet of the requested size and prints the results.
pub fn run(matches: &ArgMatches) {
    let number =
        |name: &str| *matches.get_one::<u64>(name).expect("argument has a default") as usize;
    let (routers, engines, seconds) = (number("routers"), number("engines"), number("seconds"));
    let before = resident_bytes();
    let mut simulation = Simulation::new(routers, engines, number("limited-percent"));
    let interval = 250 * (routers as u64 - 1).min(MAX_PEERS as u64).div_ceil(12).clamp(1, 6);
    let mut started = Instant::now();
    let mut warm_up_counts = Counts::default();
    let requests_per_ms = REQUESTS_PER_ROUTER * routers as f64 / 1_000.0;
    let mut due_requests = 0.0;
    for now in 0..seconds as u64 * 1_000 {
        if now == WARM_UP.0 {
            warm_up_counts = std::mem::take(&mut simulation.counts);
            started = Instant::now();
        }
        due_requests += requests_per_ms;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let router = simulation.rng.random_range(0..routers);
            simulation.request(router, Timestamp(now));
        }
        if now % interval == 0 {
            simulation.send_updates(Timestamp(now));
        }
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let first_seconds = WARM_UP.0 as f64 / 1_000.0;
    let per_router = 1.0 / (routers as f64 * (seconds as f64 - first_seconds));
    let counts = &simulation.counts;
    println!(
        "{routers} routers, {engines} engines, {}% limited: served {:.3}, {:.2} of the rates used, most beyond what is allowed {}; a router and second: {:.1} questions, {:.1} datagrams, {:.2} KB sent ({:.2} in the first {first_seconds} s); {:.2}% of a core; {} KB a router",
        number("limited-percent"),
        counts.sent as f64 / (counts.sent + counts.refused) as f64,
        simulation.used_share(seconds as u64),
        simulation.max_excess(),
        counts.permit_requests as f64 * per_router,
        counts.datagrams as f64 * per_router,
        counts.bytes as f64 * per_router / 1_000.0,
        warm_up_counts.bytes as f64 / (routers as f64 * first_seconds) / 1_000.0,
        elapsed_s * per_router * 100.0,
        ((resident_bytes() - before) >> 10) / routers as u64,
    );
}
