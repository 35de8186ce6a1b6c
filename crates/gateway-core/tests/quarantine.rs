//! Which requests are held to end engines, and which are not.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::{BackEndName, Millis, Timestamp};

const OUT_OF_TOUCH: bool = false;
const IN_TOUCH: bool = true;

fn request(number: u64) -> RequestFingerprint {
    let path = format!("/{number}");
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "ferry.example",
        path: &path,
        tenant: None,
        body: b"",
    })
}

fn engine(number: usize) -> BackEndName {
    BackEndName::new(format!("e{number}"))
}

fn seen(of_request: u64, at_engine: usize) -> CrashSighting {
    CrashSighting { request: request(of_request), engine: engine(at_engine) }
}

fn see(quarantine: &mut Quarantine, of_request: u64, at_engine: usize) {
    quarantine.apply(QuarantineChange::CrashesSeen(vec![seen(of_request, at_engine)]));
}

#[test]
fn the_third_engine_quarantines_a_request_and_none_of_its_neighbours() {
    let mut quarantine = Quarantine::default();
    for at_engine in 0..CRASHES_TO_QUARANTINE {
        assert!(!quarantine.is_quarantined(&request(1)));
        see(&mut quarantine, 1, at_engine);
        // Another neighbour each time, and one that had bad luck twice.
        see(&mut quarantine, 100 + at_engine as u64, at_engine);
        if at_engine > 0 {
            see(&mut quarantine, 2, at_engine);
        }
    }
    let notice = quarantine.notice();
    assert_eq!(notice.quarantined.into_iter().collect::<Vec<_>>(), [request(1)]);
    assert_eq!(notice.suspected.into_iter().collect::<Vec<_>>(), [request(2)]);
}

#[test]
fn the_same_engine_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        see(&mut quarantine, 1, 0);
    }
    assert!(!quarantine.is_quarantined(&request(1)));
}

#[test]
fn what_was_seen_at_an_engine_that_still_runs_is_taken_back() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| see(&mut quarantine, 1, at_engine));
    see(&mut quarantine, 2, 0);
    quarantine.apply(QuarantineChange::EngineAlive(engine(0)));
    assert!(!quarantine.is_quarantined(&request(1)));
    assert!(!quarantine.has_crashes_of(&engine(0)));
    assert!(quarantine.has_crashes_of(&engine(1)));
    assert!(quarantine.suspect(&request(2)).is_none());
}

#[test]
fn a_request_that_has_ended_well_is_cleared() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| see(&mut quarantine, 1, at_engine));
    quarantine.apply(QuarantineChange::Cleared(vec![request(1)]));
    assert!(quarantine.is_empty());
}

#[test]
fn after_a_release_one_engine_is_enough_and_the_quarantine_lasts_twice_as_long() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| see(&mut quarantine, 1, at_engine));
    let time = |quarantine: &Quarantine| {
        quarantine.suspect(&request(1)).expect("it is known").quarantine_time()
    };
    let first = time(&quarantine);
    quarantine.apply(QuarantineChange::Released(vec![request(1)]));
    assert!(!quarantine.is_quarantined(&request(1)));
    see(&mut quarantine, 1, 9);
    assert!(quarantine.is_quarantined(&request(1)));
    assert_eq!(time(&quarantine), Millis(2 * first.0));
}

#[test]
fn memory_is_bounded_and_a_quarantined_request_is_forgotten_last() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| see(&mut quarantine, 0, at_engine));
    for other in 1..3 * MAX_SUSPECTS as u64 {
        see(&mut quarantine, other, 0);
    }
    assert_eq!(quarantine.suspects().count(), MAX_SUSPECTS);
    assert!(quarantine.is_quarantined(&request(0)));
    assert!(quarantine.suspect(&request(1)).is_none(), "the oldest has gone first");
}

#[test]
fn a_router_alone_refuses_after_its_own_third_sighting_and_forgets_it_soon() {
    let mut memory = CrashTracker::default();
    let at = |milliseconds| Timestamp(milliseconds);
    for at_engine in 0..CRASHES_TO_QUARANTINE {
        assert!(!memory.is_quarantined(at(1_000), &request(1), OUT_OF_TOUCH));
        memory.on_engine_crash(at(1_000), seen(1, at_engine));
    }
    assert!(memory.is_quarantined(at(1_000), &request(1), OUT_OF_TOUCH));
    assert!(!memory.is_quarantined(at(1_000), &request(2), OUT_OF_TOUCH));
    assert!(
        !memory.is_quarantined(at(11_000), &request(1), OUT_OF_TOUCH),
        "it can't be taken back, so it is short"
    );
    assert!(!memory.is_quarantined(at(61_000), &request(1), OUT_OF_TOUCH));
    assert!(!memory.has_suspects() && !memory.has_quarantine_candidates());
}

#[test]
fn a_router_that_was_cut_off_still_tells_what_it_saw() {
    let mut memory = CrashTracker::default();
    memory.on_engine_crash(Timestamp(1_000), seen(1, 0));
    memory.on_new_leader(Timestamp(41_000));
    let report = memory.take_report(Timestamp(41_000)).expect("kept");
    assert_eq!(report.seen, [(seen(1, 0), Millis(40_000))]);
}

#[test]
fn what_a_leader_may_not_have_passed_on_is_told_to_the_next_one() {
    let mut memory = CrashTracker::default();
    memory.on_engine_crash(Timestamp(1_000), seen(1, 0));
    memory.on_engine_crash(Timestamp(1_200), seen(2, 0));
    let report = memory.take_report(Timestamp(1_300)).expect("news");
    assert_eq!(report.seen, [(seen(1, 0), Millis(300)), (seen(2, 0), Millis(100))]);
    assert_eq!(memory.take_report(Timestamp(1_300)), None);
    memory.on_new_leader(Timestamp(5_000));
    let report = memory.take_report(Timestamp(5_000)).expect("told again");
    assert_eq!(report.seen, [(seen(1, 0), Millis(4_000)), (seen(2, 0), Millis(3_800))]);
}

#[test]
fn what_is_new_is_told_again_and_what_is_old_is_not() {
    let mut memory = CrashTracker::default();
    memory.on_engine_crash(Timestamp(1_000), seen(1, 0));
    assert!(memory.take_report(Timestamp(1_000)).is_some());
    memory.resend_recent(Timestamp(3_000));
    assert!(memory.take_report(Timestamp(3_000)).is_some(), "the first report may be lost");
    memory.resend_recent(Timestamp(9_000));
    assert_eq!(memory.take_report(Timestamp(9_000)), None);
}

#[test]
fn an_older_notice_changes_nothing() {
    let mut memory = CrashTracker::default();
    let notice = |revision, quarantined: &[u64]| QuarantineNotice {
        revision,
        quarantined: quarantined.iter().map(|number| request(*number)).collect(),
        ..QuarantineNotice::default()
    };
    memory.on_notice(Timestamp(1_000), notice(7, &[1]));
    memory.on_notice(Timestamp(1_000), notice(6, &[]));
    assert!(memory.is_quarantined(Timestamp(1_000), &request(1), OUT_OF_TOUCH));
    memory.on_notice(Timestamp(1_000), notice(8, &[]));
    assert!(!memory.is_quarantined(Timestamp(1_000), &request(1), OUT_OF_TOUCH));
}

#[test]
fn a_suspected_request_that_ends_well_is_reported_once_and_others_never() {
    let (now, mut memory) = (Timestamp(1_000), CrashTracker::default());
    memory.on_engine_crash(now, seen(1, 0));
    memory.take_report(now);
    memory.on_request_succeeded(now, &request(2));
    assert_eq!(memory.take_report(now), None);
    memory.on_request_succeeded(now, &request(1));
    assert_eq!(memory.take_report(now).expect("news").cleared, [request(1)]);
    memory.on_request_succeeded(now, &request(1));
    assert_eq!(memory.take_report(now), None);
}

#[test]
fn what_the_leader_takes_back_holds_at_a_router_in_touch() {
    let mut memory = CrashTracker::default();
    (0..CRASHES_TO_QUARANTINE)
        .for_each(|at_engine| memory.on_engine_crash(Timestamp(1_000), seen(1, at_engine)));
    assert!(
        memory.is_quarantined(Timestamp(2_999), &request(1), IN_TOUCH),
        "until the leader has it"
    );
    assert!(!memory.is_quarantined(Timestamp(3_000), &request(1), IN_TOUCH), "its word holds");
    assert!(memory.is_quarantined(Timestamp(3_000), &request(1), OUT_OF_TOUCH));
}

#[test]
fn a_request_that_has_ended_well_of_late_is_no_suspect_and_the_leader_hears_of_it() {
    let (now, mut memory) = (Timestamp(1_000), CrashTracker::default());
    memory.on_request_succeeded(now, &request(1));
    (0..CRASHES_TO_QUARANTINE)
        .for_each(|at_engine| memory.on_engine_crash(now, seen(1, at_engine)));
    assert_eq!(memory.take_report(now), None, "nothing is held against it");
    let notice = QuarantineNotice {
        revision: 3,
        quarantined: [request(1), request(2)].into(),
        ..QuarantineNotice::default()
    };
    assert!(memory.on_notice(now, notice));
    assert!(!memory.is_quarantined(now, &request(1), IN_TOUCH), "whatever others saw");
    assert!(memory.is_quarantined(now, &request(2), IN_TOUCH));
    assert_eq!(memory.take_report(now).expect("news").cleared, [request(1)]);
    assert!(memory.is_quarantined(Timestamp(11_000), &request(1), IN_TOUCH), "it is long ago");
}

/// A caller is told when the quarantine is over, and soon as long as the leader may still take it
/// back.
#[test]
fn callers_are_told_how_long_a_quarantine_goes_on() {
    let mut memory = CrashTracker::default();
    let at = Timestamp;
    let left = |memory: &mut CrashTracker, now, in_touch| {
        memory.quarantine_remaining(at(now), &request(1), in_touch)
    };
    for (number, time) in [1_000, 1_400, 1_500].into_iter().enumerate() {
        assert_eq!(left(&mut memory, time, IN_TOUCH), None);
        memory.on_engine_crash(at(time), seen(1, number));
    }
    assert_eq!(
        left(&mut memory, 1_500, IN_TOUCH),
        Some(Millis(1_500)),
        "the first one counts until then"
    );
    assert_eq!(left(&mut memory, 1_500, OUT_OF_TOUCH), Some(Millis(9_500)));
    let notice = |revision| QuarantineNotice {
        revision,
        quarantined: [request(1)].into(),
        ..QuarantineNotice::default()
    };
    memory.on_notice(at(2_000), notice(1));
    assert_eq!(left(&mut memory, 2_000, IN_TOUCH), Some(Millis(5_000)), "it may be taken back");
    memory.on_notice(at(9_000), notice(2));
    assert_eq!(
        left(&mut memory, 12_000, IN_TOUCH),
        Some(Millis(290_000)),
        "since it was first named"
    );
    assert_eq!(left(&mut memory, 310_000, IN_TOUCH), Some(Millis(5_000)), "it ought to be over");
    memory.on_notice(at(311_000), QuarantineNotice { revision: 3, ..QuarantineNotice::default() });
    assert_eq!(left(&mut memory, 311_000, IN_TOUCH), None);
}

/// A listener may outlive the engine behind it, and a next life may take connections at once.
#[test]
fn a_break_at_an_engine_that_takes_connections_counts_once_its_next_life_is_known() {
    let (now, mut memory) = (Timestamp(1_000), CrashTracker::default());
    let life = |number: usize, started_at_ms| {
        BackEndName::of_incarnation(&format!("e{number}"), Some(started_at_ms))
    };
    let broke = |number| CrashSighting { request: request(1), engine: life(number, 5) };
    (0..CRASHES_TO_QUARANTINE).for_each(|number| memory.on_unconfirmed_crash(now, broke(number)));
    assert!(!memory.is_quarantined(now, &request(1), IN_TOUCH));
    assert_eq!(memory.take_report(now), None);
    for number in 0..CRASHES_TO_QUARANTINE {
        assert!(!memory.on_incarnation_started(now, &life(number, 5)), "it is the life that broke");
        assert!(memory.on_incarnation_started(now, &life(number, 6)));
        assert!(!memory.on_incarnation_started(now, &life(number, 7)), "it counts once");
    }
    assert!(memory.is_quarantined(now, &request(1), IN_TOUCH));
    assert_eq!(memory.take_report(now).expect("news").seen.len(), CRASHES_TO_QUARANTINE);
}

#[test]
fn a_break_at_an_engine_that_lives_on_is_forgotten() {
    let mut memory = CrashTracker::default();
    let life = |started_at_ms| BackEndName::of_incarnation("e1", Some(started_at_ms));
    let broke = CrashSighting { request: request(1), engine: life(5) };
    memory.on_unconfirmed_crash(Timestamp(1_000), broke.clone());
    assert!(!memory.on_incarnation_started(Timestamp(6_000), &life(6)), "it is long ago");
    memory.on_unconfirmed_crash(Timestamp(7_000), broke);
    memory.on_request_succeeded(Timestamp(7_000), &request(1));
    assert!(
        !memory.on_incarnation_started(Timestamp(7_000), &life(6)),
        "the request has ended well since"
    );
}

/// What happens to two requests at one router: one ends engines, the other one is broken off now
/// and then.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The guilty one comes. The engine's address may go on taking connections for its next life.
    Guilty { takes_connections: bool },
    /// The other one comes, and its connection breaks or not. The engine may be out of reach for
    /// the look at it.
    Innocent { breaks: bool, takes_connections: bool },
    /// Time passes.
    Pass(u64),
    /// Reports are told again.
    ToldAgain,
    /// Every engine that runs announces itself twice.
    Announced,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => any::<bool>().prop_map(|takes_connections| Event::Guilty { takes_connections }),
        4 => any::<[bool; 2]>()
            .prop_map(|[breaks, takes_connections]| Event::Innocent { breaks, takes_connections }),
        2 => (0_u64..1_500).prop_map(Event::Pass),
        1 => Just(Event::ToldAgain),
        2 => Just(Event::Announced),
    ]
}

/// A router and the leader's record, told at once.
struct Pair {
    now: Timestamp,
    memory: CrashTracker,
    quarantine: Quarantine,
    next_engine: usize,
    /// The newest life of each engine.
    running: Vec<BackEndName>,
}

/// A life of an engine; the higher `started_at_ms`, the newer.
fn life(number: usize, started_at_ms: u64) -> BackEndName {
    BackEndName::of_incarnation(&format!("e{number}"), Some(started_at_ms))
}

impl Pair {
    fn exchange(&mut self) {
        if let Some(report) = self.memory.take_report(self.now) {
            let seen = report.seen.into_iter().map(|(sighting, _)| sighting).collect();
            self.change(QuarantineChange::CrashesSeen(seen));
            self.change(QuarantineChange::Cleared(report.cleared));
        }
        self.memory.on_notice(self.now, self.quarantine.notice());
    }

    fn change(&mut self, change: QuarantineChange) {
        if self.quarantine.would_change(&change) {
            self.quarantine.apply(change);
        }
    }

    /// Lets a request in at the next engine, unless it is refused. Returns whether it was let in. A
    /// next life of an engine that ended is heard of at once.
    fn send(&mut self, of: u64, ends_engine: bool, breaks: bool, takes_connections: bool) -> bool {
        if self.memory.is_quarantined(self.now, &request(of), IN_TOUCH) {
            return false;
        }
        let place = self.next_engine % self.running.len();
        self.next_engine += 1;
        let sighting = CrashSighting { request: request(of), engine: self.running[place].clone() };
        match (ends_engine || breaks, takes_connections) {
            (true, true) => self.memory.on_unconfirmed_crash(self.now, sighting),
            (true, false) => self.memory.on_engine_crash(self.now, sighting),
            (false, _) => self.memory.on_request_succeeded(self.now, &request(of)),
        }
        if ends_engine {
            self.running[place] = life(place, self.next_engine as u64);
            self.memory.on_incarnation_started(self.now, &self.running[place]);
        }
        self.exchange();
        true
    }
}

proptest! {
    /// One that ends engines is let in three times, whatever happens to others; one that does not
    /// is let in again once the engines have announced themselves and its sightings at this router
    /// are two seconds old.
    #[test]
    fn the_guilty_are_let_in_three_times_and_innocents_always_come_back(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut pair = Pair {
            now: Timestamp(1_000),
            memory: CrashTracker::default(),
            quarantine: Quarantine::default(),
            next_engine: 0,
            running: (0..6).map(|number| life(number, 0)).collect(),
        };
        let mut let_in = 0;
        for event in events {
            match event {
                Event::Guilty { takes_connections } => {
                    let_in += usize::from(pair.send(1, true, false, takes_connections));
                }
                Event::Innocent { breaks, takes_connections } => {
                    pair.send(2, false, breaks, takes_connections);
                }
                Event::Pass(time) => pair.now = pair.now + Millis(time),
                Event::ToldAgain => {
                    pair.memory.resend_recent(pair.now);
                    pair.exchange();
                }
                Event::Announced => {
                    for running in pair.running.clone() {
                        pair.change(QuarantineChange::EngineAlive(running));
                    }
                    pair.exchange();
                }
            }
            prop_assert!(let_in <= CRASHES_TO_QUARANTINE, "{} let in", let_in);
            let mut later = CrashTracker::clone(&pair.memory);
            let mut record = pair.quarantine.clone();
            pair.running.iter().cloned().for_each(|one| record.apply(QuarantineChange::EngineAlive(one)));
            later.on_notice(pair.now, record.notice());
            prop_assert!(!later.is_quarantined(pair.now + Millis(2_000), &request(2), IN_TOUCH));
        }
    }
}

proptest! {
    /// Sightings may come from any router in any order, and more than once.
    #[test]
    fn the_order_of_sightings_does_not_matter(
        sightings in prop::collection::vec((0_u64..4, 0_usize..6), 0..30),
        again in prop::collection::vec(0_usize..30, 0..10),
    ) {
        let mut forwards = Quarantine::default();
        sightings.iter().for_each(|(of, at)| see(&mut forwards, *of, *at));
        let mut backwards = Quarantine::default();
        sightings.iter().rev().for_each(|(of, at)| see(&mut backwards, *of, *at));
        for index in again {
            if let Some((of, at)) = sightings.get(index) {
                see(&mut backwards, *of, *at);
            }
        }
        prop_assert!(forwards.notice().has_same_requests(&backwards.notice()));
    }

    /// What is called no news changes nothing that routers are told.
    #[test]
    fn no_news_changes_nothing(
        sightings in prop::collection::vec((0_u64..4, 0_usize..4), 0..20),
        next in (0_u64..4, 0_usize..4),
    ) {
        let mut quarantine = Quarantine::default();
        sightings.iter().for_each(|(of, at)| see(&mut quarantine, *of, *at));
        let change = QuarantineChange::CrashesSeen(vec![seen(next.0, next.1)]);
        let before = quarantine.clone();
        let would_change = quarantine.would_change(&change);
        quarantine.apply(change);
        let same = before.suspects().eq(quarantine.suspects());
        prop_assert_eq!(would_change, !same);
    }
}

/// Without a word among routers each of them lets the request end three engines of its own while no
/// leader can be reached.
#[test]
fn routers_that_reach_no_leader_learn_of_one_another() {
    let (now, request) = (Timestamp(10_000), request(1));
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    for engine in ["e1", "e2"] {
        first.on_engine_crash(now, CrashSighting { request, engine: engine.into() });
    }
    let news = first.take_peer_sightings(now + Millis(100));
    assert_eq!(news.len(), 2);
    assert!(first.take_peer_sightings(now + Millis(200)).is_empty(), "told once");
    second.on_peer_sightings(now + Millis(300), news.clone());
    second.on_peer_sightings(now + Millis(300), news);
    assert!(!second.is_quarantined(now + Millis(300), &request, false), "two engines only");
    second.on_engine_crash(now + Millis(400), CrashSighting { request, engine: "e3".into() });
    assert!(second.is_quarantined(now + Millis(400), &request, false));
    let report = second.take_report(now + Millis(400)).expect("it has seen one itself");
    assert_eq!(report.seen.len(), 1, "whoever saw it tells the leader");
    let news = second.take_peer_sightings(now + Millis(500));
    assert_eq!(news.len(), 1, "and what was told is not told on");
    first.on_request_succeeded(now + Millis(600), &request);
    first.on_peer_sightings(now + Millis(700), news);
    assert!(!first.is_quarantined(now + Millis(700), &request, false), "it has ended well here");
}
