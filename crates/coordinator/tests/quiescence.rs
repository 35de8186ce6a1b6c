//! Departing engines are acknowledged only once nothing more reaches them, whatever messages are
//! lost, late or repeated, whichever routers are cut off, and whoever leads.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_coordinator::{Quiescence, QuiescenceTracker, ROUTER_LEASE};
use stackpost_gateway_core::{
    DepartureChange, DepartureProgress, DepartureRecord, Departures, DispatchedRequest,
    EngineState, EngineTraffic, ProgressReporter, UNREAD_EXPIRY, UnreadEngine, UnreadRequests,
};
use stackpost_types::{BackEndName, Incarnation, MachineName, Millis, NodeId, Timestamp};

const ENGINE: &str = "engine-1";
const START: Timestamp = Timestamp(1_000_000);
const STEP_MS: u64 = 10;
const ROUTERS: usize = 4;
const LEADERS: usize = 3;
const SEEDS: u64 = 600;
/// Intervals of the routers' reports and heartbeats, in steps.
const REPORT_STEPS: u64 = 15;
const HEARTBEAT_STEPS: u64 = 45;
/// Longest delay of a message.
const MAX_DELAY_MS: u64 = 300;
/// Longest time to the acknowledgement once the engine reads, all routers know the departure and
/// nothing else happens any more.
const SETTLE_TIME: Millis = Millis(6_000);
const EVENT_TIME_MS: u64 = 8_000;
const RUN_TIME: Millis = Millis(20_000);

fn node(number: usize, incarnation: u64) -> NodeId {
    let machine = MachineName::new(format!("router-{number}"));
    NodeId { machine, incarnation: Incarnation(incarnation) }
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
    is_observed: bool,
}

struct Router {
    incarnation: u64,
    learns_at: Timestamp,
    has_learned: bool,
    /// When it is cut off from all leaders.
    cut: (Timestamp, Timestamp),
    /// When its process is killed and another one started.
    restarts_at: Option<Timestamp>,
    unread: UnreadRequests,
    reporter: ProgressReporter,
    known_leader: usize,
}

impl Router {
    fn is_cut(&self, now: Timestamp) -> bool {
        (self.cut.0..self.cut.1).contains(&now)
    }

    /// Whether nothing has separated it from control for as long as its lease lasts.
    fn is_in_contact(&self, now: Timestamp) -> bool {
        now < self.cut.0 || now >= self.cut.1 + ROUTER_LEASE
    }
}

#[derive(Clone)]
enum Message {
    Heartbeat,
    Report(DepartureProgress),
}

struct InFlight {
    arrives_at: Timestamp,
    router: usize,
    incarnation: u64,
    leader: usize,
    message: Message,
}

/// Leaders that follow one another, their routers and one engine that departs at [`START`]. Time
/// passes in steps.
struct World {
    rng: ChaCha8Rng,
    now: Timestamp,
    routers: Vec<Router>,
    waiting: Vec<Waiting>,
    messages: Vec<InFlight>,
    reads_from: Timestamp,
    loss_percent: u32,
    leader: usize,
    leader_changes_at: Timestamp,
    leader_restarts_at: Option<Timestamp>,
    trackers: Vec<QuiescenceTracker>,
    departures: Departures,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let during = |rng: &mut ChaCha8Rng| START + Millis(rng.random_range(0..EVENT_TIME_MS));
        let mut routers = Vec::new();
        for _ in 0..ROUTERS {
            let learns_at = START + Millis(rng.random_range(0..1_500));
            let cut_at = during(&mut rng);
            let cut_time = if rng.random_bool(0.5) { rng.random_range(0..7_000) } else { 0 };
            let cut = (cut_at, cut_at + Millis(cut_time));
            routers.push(Router {
                incarnation: 1,
                learns_at: if learns_at < cut.0 { learns_at } else { learns_at.max(cut.1) },
                has_learned: false,
                cut,
                restarts_at: rng.random_bool(0.2).then(|| during(&mut rng)),
                unread: UnreadRequests::default(),
                reporter: ProgressReporter::default(),
                known_leader: 0,
            });
        }
        let leader_changes_at = during(&mut rng);
        let leader_restarts_at = rng.random_bool(0.3).then(|| during(&mut rng));
        let reads_from = START + Millis(rng.random_range(0..6_000));
        let loss_percent = rng.random_range(0..50);
        Self {
            rng,
            now: Timestamp(START.0 - 1_000),
            routers,
            waiting: Vec::new(),
            messages: Vec::new(),
            reads_from,
            loss_percent,
            leader: 0,
            leader_changes_at,
            leader_restarts_at,
            trackers: vec![QuiescenceTracker::new(Timestamp(START.0 - 10_000)); LEADERS],
            departures: departures(EngineState::Draining),
        }
    }

    fn step(&mut self) {
        self.now = self.now + Millis(STEP_MS);
        if self.now == self.leader_changes_at || self.is_at(self.leader_changes_at) {
            self.leader = (self.leader + 1) % LEADERS;
        }
        if self.leader_restarts_at.is_some_and(|at| self.is_at(at)) {
            self.trackers[self.leader] = QuiescenceTracker::new(self.now);
        }
        (0..ROUTERS).for_each(|router| self.run_router(router));
        // The engine stops reading some time before it announces its departure.
        if self.now < Timestamp(START.0 - 500) || self.now >= self.reads_from {
            self.read_all();
        }
        self.deliver();
        let (now, leader) = (self.now, self.leader);
        self.trackers[leader].remove_expired(now, &self.departures);
    }

    /// Whether a moment lies in this step.
    fn is_at(&self, at: Timestamp) -> bool {
        at <= self.now && self.now < at + Millis(STEP_MS)
    }

    fn run_router(&mut self, number: usize) {
        let (now, leader) = (self.now, self.leader);
        if self.routers[number].restarts_at.is_some_and(|at| self.is_at(at)) {
            self.restart_router(number);
        }
        let is_heartbeat = (now.0 / STEP_MS + number as u64).is_multiple_of(HEARTBEAT_STEPS);
        let router = &mut self.routers[number];
        if !router.is_cut(now) && now >= router.learns_at && !router.has_learned {
            router.has_learned = true;
            router.reporter.on_departure(now, &ENGINE.into());
            let report = router.reporter.report(now, 1, traffic_of(&router.unread, now));
            self.send(number, leader, Message::Report(report));
        }
        if is_heartbeat {
            (0..LEADERS).for_each(|leader| self.send(number, leader, Message::Heartbeat));
        }
        let router = &mut self.routers[number];
        if !router.has_learned {
            if self.rng.random_bool(0.1) {
                self.send_request(number);
            }
            return;
        }
        if !(now.0 / STEP_MS).is_multiple_of(REPORT_STEPS) || router.is_cut(now) {
            return;
        }
        let is_new_leader = std::mem::replace(&mut router.known_leader, leader) != leader;
        let traffic = traffic_of(&router.unread, now);
        // The revision is part of every heartbeat, so a lost confirmation is repeated.
        let report = match is_new_leader || is_heartbeat || self.rng.random_bool(0.2) {
            true => Some(router.reporter.report(now, 1, traffic)),
            false => router.reporter.report_if_due(now, 1, traffic),
        };
        if let Some(report) = report {
            self.send(number, leader, Message::Report(report));
        }
    }

    /// A new process knows the departure as soon as it knows the engine.
    fn restart_router(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        router.incarnation += 1;
        router.has_learned = false;
        router.learns_at = now.max(router.learns_at);
        router.unread = UnreadRequests::default();
        router.reporter = ProgressReporter::default();
        self.waiting.retain(|waiting| waiting.router != number);
        if now >= START {
            self.routers[number].has_learned = true;
            self.routers[number].reporter.on_departure(now, &ENGINE.into());
        }
    }

    fn send_request(&mut self, router: usize) {
        let request = self.routers[router].unread.on_dispatched(self.now);
        let is_observed = self.rng.random_bool(0.9);
        if !is_observed {
            self.routers[router].unread.on_connection_lost(request);
        }
        self.waiting.push(Waiting { router, request, is_observed });
    }

    /// Full queues lose reports. A router none of whose heartbeats arrives is cut off.
    fn send(&mut self, router: usize, leader: usize, message: Message) {
        let is_lost = matches!(message, Message::Report(_))
            && self.rng.random_range(0..100) < self.loss_percent;
        let arrives_at = self.now + Millis(self.rng.random_range(0..MAX_DELAY_MS));
        let sender = &self.routers[router];
        if !is_lost && !sender.is_cut(self.now) {
            let incarnation = sender.incarnation;
            self.messages.push(InFlight { arrives_at, router, incarnation, leader, message });
        }
    }

    /// The engine reads everything. It responds, or closes the connections of requests that were
    /// given up.
    fn read_all(&mut self) {
        for read in std::mem::take(&mut self.waiting) {
            if read.is_observed {
                self.routers[read.router].unread.on_settled(read.request);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.arrives_at <= now);
        self.messages = later;
        for InFlight { router, incarnation, leader, message, .. } in due {
            let (tracker, router) = (&mut self.trackers[leader], node(router, incarnation));
            match message {
                Message::Heartbeat => tracker.on_heard(now, &router),
                Message::Report(report) => tracker.on_progress(now, &router, report),
            }
        }
    }

    fn quiescence(&self) -> Quiescence {
        self.trackers[self.leader].state(self.now, &ENGINE.into(), &self.departures)
    }

    /// Checks what must hold whenever the engine is acknowledged.
    fn check_acknowledgement(&self, seed: u64) {
        for (number, router) in self.routers.iter().enumerate() {
            if !router.is_in_contact(self.now) {
                continue;
            }
            assert!(router.has_learned, "seed {seed}: router {number} sends at {:?}", self.now);
            let unread = self.waiting.iter().filter(|waiting| waiting.router == number).count();
            assert_eq!(unread, 0, "seed {seed}: unread of router {number} at {:?}", self.now);
        }
    }

    /// When everything that delays the acknowledgement has happened.
    fn calm_from(&self) -> Timestamp {
        let router_events = self.routers.iter().flat_map(|router| {
            [router.learns_at, router.cut.1, router.restarts_at.unwrap_or(START)]
        });
        let leader_events =
            [self.leader_changes_at, self.leader_restarts_at.unwrap_or(START), self.reads_from];
        router_events.chain(leader_events).max().expect("events")
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
            world.check_acknowledgement(seed);
        }
        let quiescent_at = quiescent_at
            .unwrap_or_else(|| panic!("seed {seed}: never quiescent: {:?}", world.quiescence()));
        // What a lost connection leaves unread expires.
        let limit = world.calm_from() + SETTLE_TIME + UNREAD_EXPIRY;
        assert!(quiescent_at < limit, "seed {seed}: quiescent at {quiescent_at:?}");
    }
}

fn report(revision: u64, unread_age: Option<Millis>) -> DepartureProgress {
    let unread = unread_age.map(|newest_age| UnreadEngine { engine: ENGINE.into(), newest_age });
    DepartureProgress { revision, unread: unread.into_iter().collect() }
}

/// A tracker of a process that has heard every router.
fn tracker() -> QuiescenceTracker {
    QuiescenceTracker::new(Timestamp(START.0 - ROUTER_LEASE.0))
}

#[test]
fn router_that_is_heard_and_does_not_confirm_is_waited_for_without_limit() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    for second in 0..60 {
        let now = START + Millis(second * 1_000);
        tracker.on_progress(now, &node(1, 1), report(departures.revision(), None));
        tracker.on_heard(now, &node(2, 1));
        let state = tracker.state(now, &ENGINE.into(), &departures);
        assert_eq!(state, Quiescence::Unconfirmed(node(2, 1)));
    }
}

#[test]
fn router_that_is_not_heard_is_waited_for_while_its_lease_lasts() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let state = |now| tracker.state(now, &ENGINE.into(), &departures);
    let expired_at = START + ROUTER_LEASE;
    assert_eq!(state(Timestamp(expired_at.0 - 1)), Quiescence::Unconfirmed(node(1, 1)));
    assert_eq!(state(expired_at), Quiescence::Quiescent);
    assert_eq!(tracker.disconnected(expired_at).collect::<Vec<_>>(), [&node(1, 1)]);
}

#[test]
fn router_that_returns_is_waited_for_again() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let returned_at = START + ROUTER_LEASE + Millis(1_000);
    tracker.on_heard(returned_at, &node(1, 1));
    let state = tracker.state(returned_at, &ENGINE.into(), &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
}

#[test]
fn router_whose_process_has_ended_is_not_waited_for() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    tracker.on_heard(START, &node(2, 1));
    tracker.on_stopped(&node(1, 1));
    tracker.on_progress(START, &node(2, 2), report(departures.revision(), None));
    let state = tracker.state(START, &ENGINE.into(), &departures);
    assert_eq!(state, Quiescence::Quiescent);
}

#[test]
fn leader_that_has_just_started_acknowledges_nothing() {
    let (tracker, departures) = (QuiescenceTracker::new(START), departures(EngineState::Gone));
    let state = |now| tracker.state(now, &ENGINE.into(), &departures);
    let known_at = START + ROUTER_LEASE;
    assert_eq!(state(Timestamp(known_at.0 - 1)), Quiescence::Recovering);
    assert_eq!(state(known_at), Quiescence::Quiescent);
}

#[test]
fn unread_request_of_a_router_that_has_gone_counts_until_it_expires() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_progress(START, &node(1, 1), report(departures.revision(), Some(Millis(500))));
    tracker.on_stopped(&node(1, 1));
    tracker.remove_expired(START, &departures);
    let state = |now| tracker.state(now, &ENGINE.into(), &departures);
    assert_eq!(state(START), Quiescence::Unread(node(1, 1)));
    let expired_at = Timestamp(START.0 + UNREAD_EXPIRY.0 - 500);
    assert_eq!(state(Timestamp(expired_at.0 - 1)), Quiescence::Unread(node(1, 1)));
    assert_eq!(state(expired_at), Quiescence::Quiescent);
}

#[test]
fn unread_request_that_a_router_reports_does_not_expire() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    for second in 0..60 {
        let (now, age) = (START + Millis(second * 1_000), Millis(second * 1_000));
        tracker.on_progress(now, &node(1, 1), report(departures.revision(), Some(age)));
        let state = tracker.state(now, &ENGINE.into(), &departures);
        assert_eq!(state, Quiescence::Unread(node(1, 1)));
    }
}

#[test]
fn engine_that_returned_does_not_depart() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Ready));
    tracker.on_progress(START, &node(1, 1), report(departures.revision(), None));
    let state = tracker.state(START, &ENGINE.into(), &departures);
    assert_eq!(state, Quiescence::NotDeparting);
}

#[test]
fn late_report_of_an_earlier_departure_confirms_nothing() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    let revision = departures.revision();
    tracker.on_progress(START, &node(1, 1), report(revision - 1, None));
    let state = tracker.state(START, &ENGINE.into(), &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
    tracker.on_progress(START, &node(1, 1), report(revision, Some(Millis(10))));
    tracker.on_progress(START, &node(1, 1), report(revision - 1, None));
    let state = tracker.state(START, &ENGINE.into(), &departures);
    assert_eq!(state, Quiescence::Unread(node(1, 1)));
}
