//! A request that crashes engines beside one that is only interrupted, against a model of a router
//! and the leader.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeSet;

const CONNECTED: bool = true;

fn request(number: u64) -> Fingerprint {
    let path = format!("/{number}");
    Fingerprint::of_request(&RequestContent {
        method: "POST",
        host: "ferry.example",
        path: &path,
        tenant: None,
        body: b"",
    })
}

/// Events of two requests at one router: one crashes engines, the other is interrupted sometimes.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The crashing request arrives. The engine's address may accept connections for its next
    /// incarnation.
    Crashing { accepts_connections: bool },
    /// The other request arrives and may be interrupted. The engine may be unreachable when it is
    /// checked afterwards.
    Harmless { interrupted: bool, accepts_connections: bool },
    /// Time passes.
    TimePasses(u64),
    /// Reports are sent again.
    Resend,
    /// Every running engine announces itself twice.
    Announced,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => any::<bool>().prop_map(|accepts_connections| Event::Crashing { accepts_connections }),
        4 => any::<[bool; 2]>()
            .prop_map(|[interrupted, accepts_connections]| Event::Harmless {
                interrupted,
                accepts_connections,
            }),
        2 => (0_u64..1_500).prop_map(Event::TimePasses),
        1 => Just(Event::Resend),
        2 => Just(Event::Announced),
    ]
}

/// A router and the leader's record, which exchange their state without delay.
struct Pair {
    now: Timestamp,
    tracker: CrashTracker,
    quarantine: Quarantine,
    /// The control process's directory, by which it rejects sightings at engines that ran on.
    directory: EngineDirectory,
    next_sequence: u64,
    next_engine: usize,
    /// The newest incarnation of each engine.
    running: Vec<BackEndName>,
    /// Where the harmless request was interrupted while nothing has shown since that the engine
    /// runs on.
    unexplained: BTreeSet<BackEndName>,
    /// Those of `unexplained` that have crashed. No router can tell the harmless request from the
    /// crashing one there.
    apparently_crashed: BTreeSet<BackEndName>,
}

/// An incarnation of an engine; the higher `started_at_ms`, the newer.
fn incarnation(number: usize, started_at_ms: u64) -> BackEndName {
    BackEndName::of_incarnation(&format!("e{number}"), Some(started_at_ms))
}

const CRASHING: u64 = 1;
const HARMLESS: u64 = 2;

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            now: Timestamp(1_000),
            tracker: CrashTracker::default(),
            quarantine: Quarantine::default(),
            directory: EngineDirectory::default(),
            next_sequence: 0,
            next_engine: 0,
            running: (0..6).map(|number| incarnation(number, 0)).collect(),
            unexplained: BTreeSet::new(),
            apparently_crashed: BTreeSet::new(),
        };
        pair.announce_all();
        pair
    }

    fn handle(&mut self, event: Event) -> bool {
        match event {
            Event::Crashing { accepts_connections } => {
                return self.send(CRASHING, true, false, accepts_connections);
            }
            Event::Harmless { interrupted, accepts_connections } => {
                return self.send(HARMLESS, false, interrupted, accepts_connections);
            }
            Event::TimePasses(time) => self.now = self.now + Millis(time),
            Event::Resend => {
                self.tracker.resend_recent(self.now);
                self.exchange();
            }
            Event::Announced => {
                self.announce_all();
                self.announce_all();
                for running in self.running.clone() {
                    self.change(QuarantineChange::EngineAlive(running));
                }
                self.unexplained.clear();
                self.exchange();
            }
        }
        false
    }

    fn announce_all(&mut self) {
        self.now = self.now + Millis(1);
        (0..self.running.len()).for_each(|place| self.announce(place));
    }

    fn announce(&mut self, place: usize) {
        self.next_sequence += 1;
        let notice = EngineNotice {
            sequence: self.next_sequence,
            service: "models".into(),
            address: ([10, 0, 0, place as u8], 80).into(),
            zone: "hall".into(),
            slots: 64,
            state: EngineState::Ready,
            ..EngineNotice::name_only(&self.running[place])
        };
        self.directory.merge(self.now, notice);
    }

    fn exchange(&mut self) {
        if let Some(report) = self.tracker.take_report(self.now) {
            let may_have_crashed = |sighting: &CrashSighting, age: Millis| {
                let at = Timestamp(self.now.0 - age.0);
                !self.directory.has_run_after(&sighting.engine, at)
            };
            let seen = report.seen.into_iter().filter(|(seen, age)| may_have_crashed(seen, *age));
            let seen = seen.map(|(sighting, _)| sighting).collect();
            self.change(QuarantineChange::CrashesSeen(seen));
            self.change(QuarantineChange::Cleared(report.cleared));
        }
        self.tracker.on_notice(self.now, self.quarantine.notice());
    }

    fn change(&mut self, change: QuarantineChange) {
        if self.quarantine.would_change(&change) {
            self.quarantine.apply(change);
        }
    }

    /// Sends a request to the next engine, unless it is quarantined. Returns whether it was sent.
    /// The next incarnation of a crashed engine becomes known at once.
    fn send(
        &mut self,
        of: u64,
        crashes_engine: bool,
        interrupted: bool,
        accepts_connections: bool,
    ) -> bool {
        if self.tracker.is_quarantined(self.now, &request(of), CONNECTED) {
            return false;
        }
        let place = self.next_engine % self.running.len();
        self.next_engine += 1;
        let engine = self.running[place].clone();
        let sighting = CrashSighting { suspect: request(of), engine: engine.clone() };
        match (crashes_engine || interrupted, accepts_connections) {
            (true, true) => self.tracker.on_unconfirmed_crash(self.now, sighting),
            (true, false) => self.tracker.on_engine_crash(self.now, sighting),
            (false, _) => self.tracker.on_request_succeeded(self.now, &request(of)),
        }
        if of == HARMLESS && interrupted {
            self.unexplained.insert(engine);
        } else if of == HARMLESS {
            self.unexplained.clear();
            self.apparently_crashed.clear();
        }
        if crashes_engine {
            self.crash(place);
        }
        self.exchange();
        true
    }

    fn crash(&mut self, place: usize) {
        if self.unexplained.remove(&self.running[place]) {
            self.apparently_crashed.insert(self.running[place].clone());
        }
        self.running[place] = incarnation(place, self.next_engine as u64);
        self.announce(place);
        self.tracker.on_incarnation_started(self.now, &self.running[place]);
    }

    /// Whether the harmless request will be quarantined once the engines have announced themselves
    /// and its sightings at this router are two seconds old.
    fn keeps_harmless_request_out(&self) -> bool {
        let mut later = self.tracker.clone();
        let mut record = self.quarantine.clone();
        self.running
            .iter()
            .cloned()
            .for_each(|one| record.apply(QuarantineChange::EngineAlive(one)));
        later.on_notice(self.now, record.notice());
        later.is_quarantined(self.now + Millis(2_000), &request(HARMLESS), CONNECTED)
    }
}

proptest! {
    /// A request that crashes engines is admitted three times, whatever happens to others. One that
    /// does not is admitted again, unless it was interrupted on three engines that crashed before
    /// they had announced themselves again.
    #[test]
    fn crashing_requests_run_three_times_and_harmless_ones_return(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut pair = Pair::new();
        let mut admitted = 0;
        for event in events {
            let sent = pair.handle(event);
            admitted += usize::from(sent && matches!(event, Event::Crashing { .. }));
            prop_assert!(admitted <= CRASHES_TO_QUARANTINE, "{} admitted", admitted);
            let is_told_apart = pair.apparently_crashed.len() < CRASHES_TO_QUARANTINE;
            prop_assert!(!is_told_apart || !pair.keeps_harmless_request_out());
        }
    }
}

/// The harmless request is interrupted on every engine, and two of the engines crash under another
/// request after all have announced themselves again.
#[test]
fn a_request_that_was_interrupted_on_engines_that_ran_on_is_not_quarantined() {
    let harmless = |accepts_connections| Event::Harmless { interrupted: true, accepts_connections };
    let crashing = |accepts_connections| Event::Crashing { accepts_connections };
    let mut pair = Pair::new();
    for event in [
        harmless(false),
        harmless(true),
        harmless(true),
        harmless(true),
        harmless(false),
        harmless(false),
        crashing(false),
        Event::Announced,
        crashing(true),
        crashing(true),
    ] {
        pair.handle(event);
        assert!(!pair.keeps_harmless_request_out(), "after {event:?}");
    }
}
