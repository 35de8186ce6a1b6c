//! Routers before engines that state how many requests a second they take: what they tell one another, what it costs and
//! how much of the rates is used. The decisions are those of the gateway; time, network and engines are simulated, a
//! datagram arrives at once.

use crate::capacity::resident;
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

/// Requests a second and router at the two-year size.
const REQUESTS_PER_ROUTER: f64 = 53.0;
/// Longest wait for a permit, an eighth of an objective of 300 ms.
const PATIENCE: Millis = Millis(37);
const MOST_OWNERS: usize = 2;
/// Other routers that each tells of loads; what it tells comes less often the more they are.
const PEERS: usize = 96;
/// Span of time over which an engine's requests are counted, and from when on.
const WINDOW: Millis = Millis(4_000);
const KEPT_AFTER: Millis = Millis(3_000);
/// Headers of a datagram.
const DATAGRAM_HEAD: usize = 28;
/// Bytes of a question for a permit without statements, of its answer, and of one statement (encoded in the wire's form by
/// the names and numbers that they hold).
const QUESTION: usize = 24;
const ANSWER: usize = 24;
const STATEMENT: usize = 34;
/// Most statements in one datagram.
const STATEMENTS_PER_DATAGRAM: usize = 16;

struct Router {
    permits: EnginePermits,
    shedding: LoadShedder,
}

/// What was counted.
#[derive(Default)]
struct Counts {
    sent: u64,
    refused: u64,
    datagrams: u64,
    bytes: u64,
    questions: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    service: ServiceName,
    routers: Vec<Router>,
    engines: Vec<EngineRecord>,
    /// The place of each in `engines`.
    numbers: HashMap<BackEndName, usize>,
    /// The rate of each engine; `None` if it states none.
    rates: Vec<Option<f64>>,
    arrivals: Vec<Vec<u64>>,
    counts: Counts,
}

fn address(router: usize) -> SocketAddr {
    ([10, 0, (router / 250) as u8, (router % 250) as u8], 80).into()
}

fn number_of(router: SocketAddr) -> usize {
    match router {
        SocketAddr::V4(address) => {
            let [_, _, third, fourth] = address.ip().octets();
            usize::from(third) * 250 + usize::from(fourth)
        }
        SocketAddr::V6(_) => unreachable!("addresses are made above"),
    }
}

fn record(number: usize) -> EngineRecord {
    let mut directory = EngineDirectory::default();
    let name = BackEndName::new(format!("i-{number:010x}"));
    let notice = EngineNotice {
        engine: name.clone(),
        sequence: 1,
        service: "models".into(),
        address: address(number),
        zone: "hall".into(),
        slots: 64,
        state: EngineState::Ready,
        age: Millis(0),
        known_for: Millis(0),
    };
    directory.merge(Timestamp(1), notice);
    directory.get(&name).expect("it was announced").clone()
}

impl Simulation {
    fn new(routers: usize, engines: usize, limited_percent: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let limited = engines * limited_percent / 100;
        let rate = |engine| (engine < limited).then(|| rng.random_range(0.5..20.0));
        let rates = (0..engines).map(rate).collect();
        let router = |own: usize| {
            let mut permits = EnginePermits::new(address(own));
            let others = (0..routers).filter(|one| *one != own);
            permits.set_others(Timestamp(0), &others.map(address).collect::<Vec<_>>());
            Router { permits, shedding: LoadShedder::default() }
        };
        Self {
            rng,
            service: "models".into(),
            routers: (0..routers).map(router).collect(),
            engines: (0..engines).map(record).collect(),
            numbers: (0..engines).map(|one| (record(one).notice.engine, one)).collect(),
            rates,
            arrivals: vec![Vec::new(); engines],
            counts: Counts::default(),
        }
    }

    /// One request at one router.
    fn request(&mut self, router: usize, now: Timestamp) {
        let lot: u64 = self.rng.random();
        let Router { permits, shedding, .. } = &mut self.routers[router];
        let availability = permits.availability(now, self.engines.iter());
        if availability != PermitAvailability::Unlimited {
            let class = RequestClass { priority: 1, tenant: None };
            let owned = permits.owned_rate(|_| true);
            if !shedding.admits(now, &self.service, &class, owned, lot >> 32) {
                self.counts.refused += 1;
                return;
            }
        }
        if matches!(availability, PermitAvailability::Spent { soonest, .. } if soonest > PATIENCE) {
            shedding.on_no_permit(now, &self.service);
            self.counts.refused += 1;
            return;
        }
        let begin = self.rng.random_range(0..self.engines.len());
        let around = (begin..self.engines.len()).chain(0..begin);
        let mut own =
            around.filter(|one| permits.has_room(now, &self.engines[*one], PermitScope::Rate));
        let own = own.next();
        if let Some(engine) = own {
            permits.take(now, &self.engines[engine].notice.engine, PermitScope::Rate);
            shedding.on_permit(&self.service);
            return self.send(router, engine, now);
        }
        for lender in permits
            .lenders(now, lot, PermitScope::Rate, self.engines.iter())
            .into_iter()
            .take(MOST_OWNERS)
        {
            if let Some(engine) = self.ask(router, number_of(lender), now) {
                self.routers[router].shedding.on_permit(&self.service);
                return self.send(router, engine, now);
            }
        }
        self.routers[router].shedding.on_no_permit(now, &self.service);
        self.counts.refused += 1;
    }

    /// Asks another router for a permit.
    fn ask(&mut self, router: usize, lender: usize, now: Timestamp) -> Option<usize> {
        self.counts.questions += 1;
        self.count_datagram(QUESTION + 3 * STATEMENT);
        self.count_datagram(ANSWER);
        let lending = &mut self.routers[lender].permits;
        let own = address(lender);
        let owned = lending.owned();
        let mut owned = owned.iter().map(|engine| self.numbers[engine]);
        let engine =
            owned.find(|one| lending.has_room(now, &self.engines[*one], PermitScope::Rate));
        if let Some(engine) = engine {
            lending.take(now, &self.engines[engine].notice.engine, PermitScope::Rate);
        } else if let Some(wait) = lending.next_owned_permit(now, |_| true) {
            self.routers[router].permits.on_spent(now, own, &self.service, wait);
        }
        engine
    }

    /// The engine takes the request and states its rate in the answer.
    fn send(&mut self, router: usize, engine: usize, now: Timestamp) {
        self.counts.sent += 1;
        self.arrivals[engine].push(now.0);
        let statement = self.rates[engine].map_or(RateStatement::Unlimited, |rate| {
            RateStatement::Limited(RequestRate::from_milli_rps((rate * 1_000.0) as u32))
        });
        let name = &self.engines[engine].notice.engine;
        let Router { permits, .. } = &mut self.routers[router];
        if permits.learn(now, name, now, statement).is_some() {
            let news = permits.rates().update_for(now, name);
            let owner = permits.owner(name).map(number_of);
            if let (Some(news), Some(owner)) = (news, owner.filter(|owner| *owner != router)) {
                self.tell_one(owner, &[news], now);
            }
        }
    }

    /// Every router tells everyone of the engines that it owns, and the owners of the others.
    fn tell(&mut self, now: Timestamp) {
        for router in 0..self.routers.len() {
            let permits = &mut self.routers[router].permits;
            let news = permits.rates_mut().take_updates(now);
            let (own, others): (Vec<RateUpdate>, Vec<RateUpdate>) =
                news.into_iter().partition(|one| permits.owns(&one.engine));
            let mut by_owner: BTreeMap<usize, Vec<RateUpdate>> = BTreeMap::new();
            for one in others {
                if let Some(owner) = self.routers[router].permits.owner(&one.engine) {
                    by_owner.entry(number_of(owner)).or_default().push(one);
                }
            }
            for other in (0..self.routers.len()).filter(|other| *other != router && !own.is_empty())
            {
                self.tell_one(other, &own, now);
            }
            for (owner, news) in by_owner {
                self.tell_one(owner, &news, now);
            }
        }
    }

    fn tell_one(&mut self, to: usize, news: &[RateUpdate], now: Timestamp) {
        for part in news.chunks(STATEMENTS_PER_DATAGRAM) {
            self.count_datagram(part.len() * STATEMENT);
        }
        for one in news {
            self.routers[to].permits.learn_from_peer(now, one);
        }
    }

    fn count_datagram(&mut self, content: usize) {
        self.counts.datagrams += 1;
        self.counts.bytes += (content + DATAGRAM_HEAD) as u64;
    }

    /// Most requests in a window beyond one and a half times the rate and five, over all engines.
    fn most_beyond(&self) -> i64 {
        let beyond = |(arrivals, rate): (&Vec<u64>, &Option<f64>)| {
            let allowed = (1.5 * (*rate)? * WINDOW.0 as f64 / 1_000.0) as i64 + 5;
            let counted: Vec<u64> =
                arrivals.iter().copied().filter(|at| *at >= KEPT_AFTER.0).collect();
            let within = |first: usize| {
                let end = counted[first] + WINDOW.0;
                counted[first..].iter().take_while(|at| **at < end).count() as i64
            };
            (0..counted.len()).map(within).max().map(|most| most - allowed)
        };
        self.arrivals.iter().zip(&self.rates).filter_map(beyond).max().unwrap_or_default()
    }

    /// Requests at engines that state rates, as a part of these.
    fn used(&self, seconds: u64) -> f64 {
        let limited = self.arrivals.iter().zip(&self.rates).filter(|(_, rate)| rate.is_some());
        let counted: usize = limited
            .map(|(arrivals, _)| arrivals.iter().filter(|at| **at >= KEPT_AFTER.0).count())
            .sum();
        let stated: f64 = self.rates.iter().flatten().sum();
        counted as f64 / (stated * (seconds as f64 - KEPT_AFTER.0 as f64 / 1_000.0))
    }
}

/// Plays the fleet of the size asked for.
pub fn run(matches: &ArgMatches) {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default") as usize;
    let (routers, engines, seconds) = (number("routers"), number("engines"), number("seconds"));
    let before = resident();
    let mut simulation = Simulation::new(routers, engines, number("limited-percent"));
    let interval = 250 * (routers as u64 - 1).min(PEERS as u64).div_ceil(12).clamp(1, 6);
    let mut began = Instant::now();
    let mut at_first = Counts::default();
    let a_millisecond = REQUESTS_PER_ROUTER * routers as f64 / 1_000.0;
    let mut due = 0.0;
    for now in 0..seconds as u64 * 1_000 {
        if now == KEPT_AFTER.0 {
            at_first = std::mem::take(&mut simulation.counts);
            began = Instant::now();
        }
        due += a_millisecond;
        while due >= 1.0 {
            due -= 1.0;
            let router = simulation.rng.random_range(0..routers);
            simulation.request(router, Timestamp(now));
        }
        if now % interval == 0 {
            simulation.tell(Timestamp(now));
        }
    }
    let took = began.elapsed().as_secs_f64();
    let first_seconds = KEPT_AFTER.0 as f64 / 1_000.0;
    let per_router = 1.0 / (routers as f64 * (seconds as f64 - first_seconds));
    let counts = &simulation.counts;
    println!(
        "{routers} routers, {engines} engines, {}% limited: served {:.3}, {:.2} of the rates used, most beyond what is allowed {}; a router and second: {:.1} questions, {:.1} datagrams, {:.2} KB sent ({:.2} in the first {first_seconds} s); {:.2}% of a core; {} KB a router",
        number("limited-percent"),
        counts.sent as f64 / (counts.sent + counts.refused) as f64,
        simulation.used(seconds as u64),
        simulation.most_beyond(),
        counts.questions as f64 * per_router,
        counts.datagrams as f64 * per_router,
        counts.bytes as f64 * per_router / 1_000.0,
        at_first.bytes as f64 / (routers as f64 * first_seconds) / 1_000.0,
        took * per_router * 100.0,
        ((resident() - before) >> 10) / routers as u64,
    );
}
