//! Departing engines are acknowledged only once nothing more reaches them, whatever messages are
//! lost, late or repeated, and in whatever order.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_coordinator::{CONFIRMATION_TIMEOUT, Quiescence, QuiescenceTracker};
use stackpost_gateway_core::{
    ConnectionUse, DepartureChange, DepartureProgress, DepartureRecord, Departures,
    DispatchedRequest, EngineState, EngineTraffic, ProgressReporter, UNREAD_EXPIRY, UnreadEngine,
    UnreadRequests,
};
use stackpost_types::{BackEndName, Incarnation, MachineName, Millis, NodeId, Timestamp};
use std::collections::BTreeSet;

const ENGINE: &str = "engine-1";
const START: Timestamp = Timestamp(1_000_000);
const STEP_MS: u64 = 10;
const ROUTERS: u64 = 4;
const SEEDS: u64 = 400;
/// Interval of the routers' reports, in steps.
const REPORT_STEPS: u64 = 15;
/// Time after a departure from which a router probes an engine with unread requests.
const PROBE_AFTER: Millis = Millis(200);
/// Longest time to the acknowledgement once the engine reads and all routers know the departure.
const SETTLE_TIME: Millis = Millis(4_000);
const RUN_TIME: Millis = Millis(9_000);

fn node(number: u64) -> NodeId {
    NodeId { machine: MachineName::new(format!("router-{number}")), incarnation: Incarnation(1) }
}

fn departures(state: EngineState) -> Departures {
    let mut departures = Departures::default();
    let announce = |state, sequence| {
        let record = DepartureRecord { engine: ENGINE.into(), state, sequence };
        DepartureChange::Announced(vec![record])
    };
    departures.apply(announce(EngineState::Draining, 3));
    departures.apply(announce(state, 4));
    departures
}

/// A request in the engine's sockets.
#[derive(Clone, Copy)]
struct Waiting {
    router: usize,
    request: DispatchedRequest,
}

struct Router {
    learns_at: Timestamp,
    has_learned: bool,
    unread: UnreadRequests,
    reporter: ProgressReporter,
    probe_opened_at: Option<Timestamp>,
}

/// A leader, its routers and one engine that departs at [`START`]. Time passes in steps.
struct World {
    rng: ChaCha8Rng,
    now: Timestamp,
    routers: Vec<Router>,
    waiting: Vec<Waiting>,
    /// Reports in flight, with the time of their arrival.
    reports: Vec<(Timestamp, usize, DepartureProgress)>,
    reads_from: Timestamp,
    loss_percent: u32,
    tracker: QuiescenceTracker,
    departures: Departures,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = (0..ROUTERS).map(|_| Router {
            learns_at: START + Millis(rng.random_range(0..1_500)),
            has_learned: false,
            unread: UnreadRequests::default(),
            reporter: ProgressReporter::default(),
            probe_opened_at: None,
        });
        let routers = routers.collect();
        let reads_from = START + Millis(rng.random_range(0..4_000));
        let loss_percent = rng.random_range(0..50);
        Self {
            rng,
            now: Timestamp(START.0 - 1_000),
            routers,
            waiting: Vec::new(),
            reports: Vec::new(),
            reads_from,
            loss_percent,
            tracker: QuiescenceTracker::default(),
            departures: departures(EngineState::Draining),
        }
    }

    fn step(&mut self) {
        self.now = self.now + Millis(STEP_MS);
        (0..self.routers.len()).for_each(|router| self.run_router(router));
        // The engine stops reading some time before it announces its departure.
        if self.now < Timestamp(START.0 - 500) || self.now >= self.reads_from {
            self.read_all();
        }
        self.deliver_reports();
    }

    fn run_router(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        if now >= router.learns_at && !router.has_learned {
            router.has_learned = true;
            router.reporter.on_departure(now, &ENGINE.into());
            let report = router.reporter.report(now, 1, traffic_of(&router.unread, now));
            return self.send_report(number, report);
        }
        if !router.has_learned {
            if self.rng.random_bool(0.1) {
                self.send_request(number);
            }
            return;
        }
        let is_due = (now.0 / STEP_MS).is_multiple_of(REPORT_STEPS);
        if is_due && now.since(router.learns_at) >= PROBE_AFTER && router.unread.count(now) > 0 {
            router.probe_opened_at.get_or_insert(now);
        }
        let traffic = traffic_of(&router.unread, now);
        if is_due && let Some(report) = router.reporter.report_if_due(now, 1, traffic) {
            self.send_report(number, report);
        }
    }

    fn send_request(&mut self, router: usize) {
        let connection =
            if self.rng.random_bool(0.5) { ConnectionUse::New } else { ConnectionUse::Reused };
        let request = DispatchedRequest { sent_at: self.now, connection };
        self.routers[router].unread.on_dispatched(request);
        self.waiting.push(Waiting { router, request });
    }

    fn send_report(&mut self, router: usize, report: DepartureProgress) {
        if self.rng.random_range(0..100) >= self.loss_percent {
            let arrives_at = self.now + Millis(self.rng.random_range(0..300));
            self.reports.push((arrives_at, router, report));
        }
    }

    /// The engine reads everything and responds, except to requests that were given up.
    fn read_all(&mut self) {
        for read in std::mem::take(&mut self.waiting) {
            let unread = &mut self.routers[read.router].unread;
            if self.rng.random_bool(0.7) {
                unread.remove(read.request);
                unread.on_heard(self.now);
            }
        }
        for router in &mut self.routers {
            if let Some(opened_at) = router.probe_opened_at.take() {
                router.unread.on_probe_answered(opened_at);
            }
        }
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= now);
        self.reports = later;
        for (_, router, report) in due {
            self.tracker.on_progress(now, node(router as u64), report);
        }
    }

    fn quiescence(&mut self) -> Quiescence {
        let connected: BTreeSet<NodeId> = (0..ROUTERS).map(node).collect();
        self.tracker.state(self.now, &ENGINE.into(), &self.departures, &connected)
    }
}

fn traffic_of(unread: &UnreadRequests, now: Timestamp) -> impl Fn(&BackEndName) -> EngineTraffic {
    let newest = unread.newest(now);
    move |_| newest.map_or(EngineTraffic::AllRead, EngineTraffic::UnreadSince)
}

#[test]
fn no_request_is_unread_or_sent_once_an_engine_is_quiescent() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let mut quiescent_at = None;
        while world.now < START + RUN_TIME {
            world.step();
            if world.now < START || world.quiescence() != Quiescence::Quiescent {
                continue;
            }
            quiescent_at = quiescent_at.or(Some(world.now));
            let unread = world.waiting.len();
            assert_eq!(unread, 0, "seed {seed}: {unread} unread requests at {:?}", world.now);
            let all_know = world.routers.iter().all(|router| router.has_learned);
            assert!(all_know, "seed {seed}: a router still sends at {:?}", world.now);
        }
        let settled = world.routers.iter().map(|router| router.learns_at).max();
        let settled = settled.max(Some(world.reads_from)).expect("routers");
        let quiescent_at = quiescent_at.unwrap_or_else(|| panic!("seed {seed}: never quiescent"));
        let took = quiescent_at.since(settled);
        assert!(took < SETTLE_TIME, "seed {seed}: quiescent {took:?} after everything was read");
    }
}

fn report(revision: u64, unread_age: Option<Millis>) -> DepartureProgress {
    let unread = unread_age.map(|newest_age| UnreadEngine { engine: ENGINE.into(), newest_age });
    DepartureProgress { revision, unread: unread.into_iter().collect() }
}

#[test]
fn router_that_does_not_confirm_delays_for_a_limited_time() {
    let (mut tracker, departures) = (QuiescenceTracker::default(), departures(EngineState::Gone));
    let connected = BTreeSet::from([node(1), node(2)]);
    tracker.on_progress(START, node(1), report(departures.revision(), None));
    let mut state = |now| tracker.state(now, &ENGINE.into(), &departures, &connected);
    assert_eq!(state(START), Quiescence::Unconfirmed(node(2)));
    assert_eq!(state(START + Millis(CONFIRMATION_TIMEOUT.0 - 1)), Quiescence::Unconfirmed(node(2)));
    assert_eq!(state(START + CONFIRMATION_TIMEOUT), Quiescence::Quiescent);
}

#[test]
fn unread_request_of_a_router_that_has_gone_counts_until_it_expires() {
    let (mut tracker, departures) = (QuiescenceTracker::default(), departures(EngineState::Gone));
    let none = BTreeSet::new();
    tracker.on_progress(START, node(1), report(departures.revision(), Some(Millis(500))));
    tracker.remove_expired(START, &departures, &none);
    let mut state = |now| tracker.state(now, &ENGINE.into(), &departures, &none);
    assert_eq!(state(START), Quiescence::Unread(node(1)));
    let expired_at = Timestamp(START.0 + UNREAD_EXPIRY.0 - 500);
    assert_eq!(state(Timestamp(expired_at.0 - 1)), Quiescence::Unread(node(1)));
    assert_eq!(state(expired_at), Quiescence::Quiescent);
}

#[test]
fn engine_that_returned_does_not_depart() {
    let departures = departures(EngineState::Ready);
    let mut tracker = QuiescenceTracker::default();
    tracker.on_progress(START, node(1), report(departures.revision(), None));
    let state = tracker.state(START, &ENGINE.into(), &departures, &BTreeSet::from([node(1)]));
    assert_eq!(state, Quiescence::NotDeparting);
}

#[test]
fn late_report_of_an_earlier_departure_confirms_nothing() {
    let (mut tracker, departures) = (QuiescenceTracker::default(), departures(EngineState::Gone));
    let connected = BTreeSet::from([node(1)]);
    tracker.on_progress(START, node(1), report(departures.revision() - 1, None));
    let state = tracker.state(START, &ENGINE.into(), &departures, &connected);
    assert_eq!(state, Quiescence::Unconfirmed(node(1)));
    tracker.on_progress(START, node(1), report(departures.revision(), Some(Millis(10))));
    tracker.on_progress(START, node(1), report(departures.revision() - 1, None));
    let state = tracker.state(START, &ENGINE.into(), &departures, &connected);
    assert_eq!(state, Quiescence::Unread(node(1)));
}
