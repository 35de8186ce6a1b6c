//! Backoffs of engines: no request is sent during a backoff, and the engine is probed after it.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];

fn directory(now: Timestamp) -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    ENGINES.iter().for_each(|engine| announce(&mut directory, now, engine, 1));
    directory
}

fn announce(directory: &mut EngineDirectory, now: Timestamp, engine: &str, sequence: u64) {
    directory.merge(
        now,
        EngineNotice {
            engine: BackEndName::new(engine),
            sequence,
            service: "plain".into(),
            address: ([10, 0, 0, engine.as_bytes()[1]], 80).into(),
            zone: "hall".into(),
            slots: 1,
            state: EngineState::Ready,
            age: Millis(0),
            known_for: Millis(0),
            software: Default::default(),
        },
    );
}

fn pick(picker: &EnginePicker, now: Timestamp, directory: &EngineDirectory) -> Option<BackEndName> {
    let service = ServiceName::new("plain");
    let query = PickQuery {
        service: &service,
        prefix_hash: None,
        work: None,
        tried: &[],
        has_room: &|_| true,
        is_retry: false,
        tie_breaker: 3,
    };
    picker.pick(now, directory, &query).map(|choice| choice.engine.notice.engine)
}

#[test]
fn if_all_engines_back_off_the_soonest_end_is_returned() {
    let (now, service) = (Timestamp(1_000), ServiceName::new("plain"));
    let directory = directory(now);
    let mut picker = EnginePicker::new("hall".into());
    picker.on_backoff(now, &"e1".into(), Millis(3_000));
    picker.on_backoff(now, &"e2".into(), Millis(2_000));
    assert_eq!(picker.availability(now, &directory, &service), ServiceAvailability::Available);
    picker.on_leaving(&"e3".into());
    let soonest =
        ServiceAvailability::AllBackingOff { soonest: Millis(2_000), engine: "e2".into() };
    assert_eq!(picker.availability(now, &directory, &service), soonest);
    assert_eq!(pick(&picker, Timestamp(2_999), &directory), None);
    assert_eq!(pick(&picker, Timestamp(3_000), &directory), Some("e2".into()));
    picker.on_leaving(&"e1".into());
    picker.on_leaving(&"e2".into());
    assert_eq!(picker.availability(now, &directory, &service), ServiceAvailability::NoEngine);
}

#[test]
fn an_engine_is_probed_with_one_request_after_its_backoff() {
    let now = Timestamp(1_000);
    let directory = directory(now);
    let mut picker = EnginePicker::new("hall".into());
    ENGINES.iter().for_each(|engine| {
        picker.on_backoff(now, &BackEndName::new(*engine), Millis(500));
    });
    let after = Timestamp(1_500);
    for _ in ENGINES {
        let engine = pick(&picker, after, &directory).expect("an engine that was not probed yet");
        picker.on_sent(after, &engine, None);
    }
    assert_eq!(pick(&picker, after, &directory), None, "each engine has been probed once");
    // Accepting a request sent before the backoff does not end the probing; one sent after it does.
    picker.on_accepted(&"e1".into(), now);
    assert_eq!(pick(&picker, after, &directory), None);
    picker.on_accepted(&"e1".into(), after);
    assert_eq!(pick(&picker, after, &directory), Some("e1".into()));
    assert!(pick(&picker, Timestamp(1_600), &directory).is_some(), "the next probe of the others");
}

#[test]
fn a_backoff_does_not_apply_to_the_next_incarnation() {
    let now = Timestamp(1_000);
    let mut directory = EngineDirectory::default();
    let (first, second) =
        (BackEndName::of_incarnation("e1", Some(5)), BackEndName::of_incarnation("e1", Some(9)));
    announce(&mut directory, now, first.as_str(), 7);
    let mut picker = EnginePicker::new("hall".into());
    picker.on_backoff(now, &first, Millis(3_000));
    picker.on_leaving(&first);
    announce(&mut directory, now, first.as_str(), 8);
    assert_eq!(
        pick(&picker, now, &directory),
        None,
        "announcements do not end a backoff or departure"
    );
    announce(&mut directory, now, second.as_str(), 1);
    assert_eq!(pick(&picker, now, &directory), Some(second));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Backoff(usize, u64),
    Sent(usize),
    Accepted(usize),
    TimePasses(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let engine = 0..ENGINES.len();
    prop_oneof![
        (engine.clone(), 0_u64..5_000)
            .prop_map(|(engine, duration)| Event::Backoff(engine, duration)),
        engine.clone().prop_map(Event::Sent),
        engine.prop_map(Event::Accepted),
        (0_u64..900).prop_map(Event::TimePasses),
    ]
}

proptest! {
    /// For any order of events, no engine is chosen during any of its backoffs, and an engine may
    /// be asked at most 100 ms after the first backoff ends.
    #[test]
    fn every_backoff_is_respected_and_ends(events in prop::collection::vec(event(), 1..60)) {
        let mut now = Timestamp(1_000);
        let directory = directory(now);
        let mut picker = EnginePicker::new("hall".into());
        let mut ends = [Timestamp(0); ENGINES.len()];
        for event in events {
            match event {
                Event::Backoff(engine, duration) => {
                    picker.on_backoff(now, &ENGINES[engine].into(), Millis(duration));
                    ends[engine] = ends[engine].max(now + Millis(duration));
                }
                Event::Sent(engine) => picker.on_sent(now, &ENGINES[engine].into(), None),
                Event::Accepted(engine) => picker.on_accepted(&ENGINES[engine].into(), now),
                Event::TimePasses(time) => now = now + Millis(time),
            }
            let is_backing_off = |engine: usize| ends[engine] > now;
            if let Some(chosen) = pick(&picker, now, &directory) {
                let chosen = ENGINES.iter().position(|engine| chosen.as_str() == *engine);
                prop_assert!(!is_backing_off(chosen.expect("a known engine was chosen")));
            } else {
                let soonest = ends.iter().min().expect("there are engines").max(&now);
                prop_assert!(pick(&picker, *soonest + Millis(100), &directory).is_some());
            }
        }
    }
}
