//! Departing engines are acknowledged only once nothing more reaches them, whatever messages are
//! lost, late or repeated, whichever processes are cut off, paused, killed or elected.

#[path = "support/quiescence_scenario.rs"]
mod scenario;
#[path = "support/quiescence.rs"]
mod support;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scenario::{ControlFaults, Scenario, lasts, scenarios};
use stackpost_coordinator::{Quiescence, QuiescenceTracker};
use stackpost_gateway_core::{
    DepartureProgress, Departures, DispatchedRequest, EngineRead, EngineState, EngineTraffic,
    Evidence, ProgressReporter, UNREAD_EXPIRY, UnreadRequests,
};
use stackpost_types::{BackEndName, Millis, NodeId, Timestamp};
use support::{ENGINE, START, departures, node};

const STEP_MS: u64 = 20;
const ROUTERS: usize = 4;
const CONTROLS: usize = 3;
/// Intervals of the routers' reports and heartbeats, and of the control processes' ticks, in steps.
const REPORT_STEPS: u64 = 8;
const HEARTBEAT_STEPS: u64 = 22;
const TICK_STEPS: u64 = 10;
/// Longest delay of a message.
const MAX_DELAY_MS: u64 = 300;
/// Longest time in which a router that is connected again learns what it missed.
const MAX_LEARN_MS: u64 = 1_500;
/// A leader that was paused or cut off for so long has lost its lease.
const LEASE: Millis = Millis(700);
/// Time without a fault after which a rule counts a router.
const CONTACT_TIME: Millis = Millis(4_000);
/// Longest time for which requests may arrive after the acknowledgement.
const DRAIN_TIME: Millis = Millis(2_500);
/// Age from which requests of a lost router count as read if the engine has read everything else.
const LOST_TIME: Millis = Millis(2_400);
/// When the first fault may begin, and the length of the time in which faults begin.
const FIRST_FAULT: Timestamp = Timestamp(START.0 - 9_000);
const FAULT_TIME_MS: u64 = 16_000;
const RUN_FROM: Timestamp = Timestamp(START.0 - 14_000);
/// How long each run goes on after the last fault.
const TIME_AFTER_FAULTS: Millis = Millis(17_000);
/// Longest time to the acknowledgement once no fault is left: what nobody can tell any more
/// expires, and the rest settles.
const CALM_LIMIT: Millis = Millis(UNREAD_EXPIRY.0 + 6_000);
/// Longest time to the acknowledgement where nothing fails but a few reports are lost.
const STEADY_LIMIT: Millis = Millis(5_000);

/// A request in the engine's sockets.
#[derive(Clone, Copy)]
struct Waiting {
    router: usize,
    incarnation: u64,
    request: DispatchedRequest,
    is_observed: bool,
    was_in_touch: bool,
}

struct Router {
    incarnation: u64,
    is_up: bool,
    connected_since: Timestamp,
    learn_time: Millis,
    has_learned: bool,
    unread: UnreadRequests,
    reporter: ProgressReporter,
    known_leader: Option<usize>,
}

impl Router {
    fn starting(now: Timestamp, incarnation: u64, learn_time: Millis) -> Self {
        Self {
            incarnation,
            is_up: true,
            connected_since: now,
            learn_time,
            has_learned: false,
            unread: UnreadRequests::default(),
            reporter: ProgressReporter::default(),
            known_leader: None,
        }
    }
}

#[derive(Clone)]
enum Message {
    Heartbeat,
    Report(DepartureProgress, Vec<EngineRead>),
}

struct InFlight {
    arrives_at: Timestamp,
    sender: NodeId,
    control: usize,
    message: Message,
}

/// The processes of a fleet and one engine that departs. Time passes in steps.
struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Timestamp,
    routers: Vec<Router>,
    waiting: Vec<Waiting>,
    messages: Vec<InFlight>,
    trackers: Vec<QuiescenceTracker>,
    is_control_up: Vec<bool>,
    /// Whether each control process is connected to the others that are.
    is_linked: Vec<bool>,
    departures: Departures,
    quiescent_at: Option<Timestamp>,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        // The processes have run for a long time.
        let started = Timestamp(RUN_FROM.0 - 60_000);
        let tracker = |faults: &ControlFaults| {
            let mut tracker = QuiescenceTracker::new(started + faults.clock_offset);
            let mut now = started;
            while now < RUN_FROM {
                now = now + Millis(TICK_STEPS * STEP_MS);
                tracker.on_run(now + faults.clock_offset, true);
            }
            tracker
        };
        let trackers = scenario.controls.iter().map(tracker).collect();
        let mut router = || {
            let learn_time = Millis(rng.random_range(0..MAX_LEARN_MS));
            Router::starting(started, 1, learn_time)
        };
        let routers = (0..ROUTERS).map(|_| router()).collect();
        Self {
            rng,
            now: RUN_FROM,
            routers,
            waiting: Vec::new(),
            messages: Vec::new(),
            trackers,
            is_control_up: vec![true; CONTROLS],
            is_linked: vec![true; CONTROLS],
            departures: departures(EngineState::Draining),
            quiescent_at: None,
            scenario,
        }
    }

    fn is_step(&self, steps: u64) -> bool {
        (self.now.0 / STEP_MS).is_multiple_of(steps)
    }

    fn step(&mut self) {
        self.now = self.now + Millis(STEP_MS);
        (0..ROUTERS).for_each(|router| self.run_router(router));
        if !self.scenario.unread.contains(&self.now) {
            self.read_all();
        }
        (0..CONTROLS).for_each(|control| self.run_control(control));
        (0..CONTROLS).for_each(|control| self.link_control(control));
    }

    /// Control processes that connect tell one another of the routers that they know.
    fn link_control(&mut self, control: usize) {
        let is_reachable = self.scenario.is_control_reachable(control, self.now);
        let was_linked = std::mem::replace(&mut self.is_linked[control], is_reachable);
        if !is_reachable || was_linked {
            return;
        }
        let others = (0..CONTROLS).filter(|other| *other != control);
        let linked: Vec<usize> = others.filter(|other| self.is_linked[*other]).collect();
        for other in linked {
            for (from, to) in [(control, other), (other, control)] {
                let local =
                    |control: usize| self.now + self.scenario.controls[control].clock_offset;
                if let Some(roll) = self.trackers[from].roll(local(from)) {
                    self.trackers[to].on_roll(local(to), roll);
                }
            }
        }
    }

    /// A process that goes on after a pause acts by its clock before it reads its sockets.
    fn run_control(&mut self, control: usize) {
        let (now, faults) = (self.now, &self.scenario.controls[control]);
        let local_now = now + faults.clock_offset;
        if lasts(&faults.kills, now) {
            self.is_control_up[control] = false;
            self.messages.retain(|message| message.control != control);
            return;
        }
        if !std::mem::replace(&mut self.is_control_up[control], true) {
            self.trackers[control] = QuiescenceTracker::new(local_now);
        }
        if !self.scenario.is_control_running(control, now) {
            return;
        }
        self.acknowledge(control, local_now);
        self.deliver(control, local_now);
        if self.is_step(TICK_STEPS) {
            let has_majority = self.scenario.has_majority(control, now);
            let tracker = &mut self.trackers[control];
            tracker.on_run(local_now, has_majority);
            tracker.remove_expired(local_now, &self.departures);
        }
    }

    fn acknowledge(&mut self, control: usize, local_now: Timestamp) {
        if self.now < START || self.scenario.leader(self.now) != Some(control) {
            return;
        }
        let state = self.trackers[control].state(local_now, &ENGINE.into(), &self.departures);
        if state != Quiescence::Quiescent || self.quiescent_at.is_some() {
            return;
        }
        self.quiescent_at = Some(self.now);
        let counts = |waiting: &&Waiting| waiting.was_in_touch && !self.counts_as_read(waiting);
        let unread = self.waiting.iter().filter(counts).count();
        assert_eq!(unread, 0, "unread requests at {:?}, leader {control}", self.now);
    }

    /// Whether a request of a router that is lost counts as read though it may not be: it is old, or
    /// the engine has read everything that others have sent.
    fn counts_as_read(&self, waiting: &Waiting) -> bool {
        let age = self.now.since(waiting.request.sent_at);
        let is_lost = self.scenario.is_router_cut(waiting.router, self.now)
            || self.routers[waiting.router].incarnation != waiting.incarnation
            || self.scenario.is_router_down(waiting.router, self.now);
        let is_only_one = self.waiting.iter().all(|other| other.router == waiting.router);
        age >= UNREAD_EXPIRY || (is_lost && is_only_one && age >= LOST_TIME)
    }

    fn deliver(&mut self, control: usize, local_now: Timestamp) {
        let now = self.now;
        let is_due = |message: &InFlight| message.control == control && message.arrives_at <= now;
        let (due, later): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.messages).into_iter().partition(is_due);
        self.messages = later;
        let tracker = &mut self.trackers[control];
        for InFlight { sender, message, .. } in due {
            match message {
                Message::Heartbeat => tracker.on_heard(local_now, &sender),
                Message::Report(report, reads) => {
                    tracker.on_reads(local_now, reads);
                    tracker.on_progress(local_now, &sender, report);
                }
            }
        }
    }

    fn run_router(&mut self, number: usize) {
        let now = self.now;
        if self.scenario.is_router_down(number, now) {
            self.routers[number].is_up = false;
            return;
        }
        if !self.routers[number].is_up {
            self.restart_router(number);
        }
        let leader = self.scenario.leader(now);
        let is_cut = self.scenario.is_router_cut(number, now);
        let router = &mut self.routers[number];
        if is_cut {
            (router.connected_since, router.known_leader) = (now, None);
        }
        // Followers tell what is committed as well.
        let is_told = now.since(router.connected_since.max(START)) >= router.learn_time;
        if now >= START && !is_cut && is_told && !router.has_learned {
            router.has_learned = true;
            router.reporter.on_departure(now, &ENGINE.into());
        }
        if !self.routers[number].has_learned && self.rng.random_bool(0.1) {
            self.send_request(number);
        }
        if !is_cut {
            self.report(number, leader);
        }
    }

    fn report(&mut self, number: usize, leader: Option<usize>) {
        if self.is_step(HEARTBEAT_STEPS) {
            (0..CONTROLS).for_each(|control| self.send(number, control, Message::Heartbeat));
        }
        let Some(leader) = leader.filter(|_| self.is_step(REPORT_STEPS)) else {
            return;
        };
        let (now, router) = (self.now, &mut self.routers[number]);
        if !router.has_learned {
            return;
        }
        let is_new_leader = router.known_leader.replace(leader) != Some(leader);
        let traffic = traffic_of(&router.unread, now);
        let report = match is_new_leader || self.rng.random_bool(0.2) {
            true => Some(router.reporter.report(now, 1, traffic)),
            false => router.reporter.report_if_due(now, 1, traffic),
        };
        let newest_read = router.unread.newest_read();
        if let Some(report) = report {
            let reads = router.reporter.reads(now, |_| newest_read);
            self.send(number, leader, Message::Report(report, reads));
        }
    }

    /// A new process knows the departure as soon as it knows the engine.
    fn restart_router(&mut self, number: usize) {
        let (now, learn_time) = (self.now, self.routers[number].learn_time);
        let incarnation = self.routers[number].incarnation + 1;
        self.routers[number] = Router::starting(now, incarnation, learn_time);
        if now >= START {
            self.routers[number].has_learned = true;
            self.routers[number].reporter.on_departure(now, &ENGINE.into());
        }
    }

    fn send_request(&mut self, router: usize) {
        let was_in_touch = self.scenario.is_in_touch(router, self.now);
        if let Some(quiescent_at) = self.quiescent_at {
            let is_late = self.now > quiescent_at + DRAIN_TIME;
            assert!(!is_late || !was_in_touch, "router {router} sends at {:?}", self.now);
        }
        let request = self.routers[router].unread.on_dispatched(self.now);
        let is_observed = self.rng.random_range(0..100) >= self.scenario.lost_connections_percent;
        if !is_observed {
            self.routers[router].unread.on_evidence(self.now, request, Evidence::Lost);
        }
        let incarnation = self.routers[router].incarnation;
        self.waiting.push(Waiting { router, incarnation, request, is_observed, was_in_touch });
    }

    /// Full queues lose reports. A router none of whose heartbeats arrives is cut off.
    fn send(&mut self, router: usize, control: usize, message: Message) {
        let is_lost = matches!(message, Message::Report(..))
            && self.rng.random_range(0..100) < self.scenario.loss_percent;
        let arrives_at = self.now + Millis(self.rng.random_range(0..MAX_DELAY_MS));
        let is_delivered = !lasts(&self.scenario.controls[control].cuts, self.now)
            && !lasts(&self.scenario.controls[control].kills, self.now);
        if !is_lost && is_delivered {
            let sender = node(router, self.routers[router].incarnation);
            self.messages.push(InFlight { arrives_at, sender, control, message });
        }
    }

    /// The engine reads everything. It responds, or closes the connections of requests that were
    /// given up.
    fn read_all(&mut self) {
        for read in std::mem::take(&mut self.waiting) {
            let router = &mut self.routers[read.router];
            if read.is_observed && router.incarnation == read.incarnation {
                router.unread.on_evidence(self.now, read.request, Evidence::Response);
            }
        }
    }

    /// Runs until some time after the last fault. Returns when the departure was acknowledged.
    fn run(mut self) -> Option<Timestamp> {
        let end = self.scenario.last_fault() + TIME_AFTER_FAULTS;
        while self.now < end {
            self.step();
        }
        self.quiescent_at
    }
}

fn traffic_of(unread: &UnreadRequests, now: Timestamp) -> impl Fn(&BackEndName) -> EngineTraffic {
    let newest = unread.newest(now);
    move |_| newest.map_or(EngineTraffic::AllRead, EngineTraffic::UnreadSince)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_engines_get_no_requests_whatever_knowledge_is_lost(scenario in scenarios()) {
        let limit = scenario.last_fault() + CALM_LIMIT;
        let quiescent_at = World::new(scenario).run();
        prop_assert!(quiescent_at.is_some_and(|at| at < limit), "quiescent at {quiescent_at:?}");
    }

    #[test]
    fn steady_departures_are_acknowledged_in_time(seed in any::<u64>()) {
        let quiescent_at = World::new(Scenario::steady(seed)).run();
        let limit = START + STEADY_LIMIT;
        prop_assert!(quiescent_at.is_some_and(|at| at < limit), "quiescent at {quiescent_at:?}");
    }
}
