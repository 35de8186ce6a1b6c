//! What stands in the place of an evacuated zone.

use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};

const NOW: Timestamp = Timestamp(10_000);
const ENGINES: usize = 90;
const ZONES: usize = 3;
/// Subjects of prompts, each with a home among the engines.
const SUBJECTS: u64 = 424;

fn zone_of(engine: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", engine % ZONES))
}

fn directory() -> EngineDirectory {
    let mut directory = EngineDirectory::follower();
    for engine in 0..ENGINES {
        let notice = EngineNotice {
            sequence: 1,
            service: "models".into(),
            address: ([10, 0, 0, engine as u8 + 1], 80).into(),
            zone: zone_of(engine),
            slots: 48,
            state: EngineState::Ready,
            ..EngineNotice::name_only(&BackEndName::new(format!("i-{engine}")))
        };
        directory.merge(NOW, notice);
    }
    directory
}

/// The engine that an idle router chooses for each subject.
fn homes(directory: &EngineDirectory) -> BTreeMap<u64, EngineRecord> {
    let picker = EnginePicker::new(zone_of(0));
    let service = ServiceName::new("models");
    let work = GenerationWork {
        shared: Tokens(5_382),
        own: Tokens(6_610),
        objective: Millis(1_000),
        gap_objective: Millis(500),
    };
    let home = |subject: u64| {
        let query = PickQuery {
            service: &service,
            prefix_hash: Some(subject * 0x9e37_79b9),
            work: Some(work),
            tried: &[],
            has_room: &|_| true,
            is_retry: false,
            tie_breaker: subject,
        };
        picker.pick(NOW, directory, &query).expect("there are engines").engine
    };
    (0..SUBJECTS).map(|subject| (subject, home(subject))).collect()
}

/// The load: 30 of 90 engines leave at once and return. Prefixes that lie in the other zones stay
/// where they are, those of the zone go to many engines, and return to the same ones.
#[test]
fn prefixes_of_an_evacuated_zone_spread_and_return() {
    let mut directory = directory();
    let before = homes(&directory);
    directory.set_evacuated_zones([zone_of(1)].into());
    let during = homes(&directory);
    let mut moved: BTreeMap<&str, usize> = BTreeMap::new();
    for (subject, home) in &before {
        let now = &during[subject].notice;
        assert_ne!(now.zone, zone_of(1));
        if home.notice.zone == zone_of(1) {
            *moved.entry(now.engine.as_str()).or_default() += 1;
        } else {
            assert_eq!(now.engine, home.notice.engine, "subject {subject} has moved");
        }
    }
    let engines_left = ENGINES - ENGINES / ZONES;
    let (subjects, most) = (moved.values().sum::<usize>(), moved.values().max().copied());
    assert!(subjects > 100, "{subjects} subjects had their home in the zone");
    assert!(moved.len() * 2 > engines_left, "they went to {} engines", moved.len());
    assert!(most.is_some_and(|most| most < subjects / 10), "{most:?} went to one engine");
    directory.set_evacuated_zones(BTreeSet::new());
    assert_eq!(homes(&directory), before);
}

#[test]
fn a_request_that_waits_is_not_sent_to_an_evacuated_engine() {
    let mut directory = directory();
    let picker = EnginePicker::new(zone_of(0));
    let engine = BackEndName::new("i-1");
    assert!(picker.may_send(NOW, &directory, &engine));
    directory.set_evacuated_zones([zone_of(1)].into());
    assert!(!picker.may_send(NOW, &directory, &engine));
    assert_eq!(directory.in_service().count(), ENGINES - ENGINES / ZONES);
    let announced =
        EngineNotice { sequence: 2, ..directory.get(&engine).expect("known").notice.clone() };
    directory.merge(NOW, announced);
    assert!(!picker.may_send(NOW, &directory, &engine), "an announcement does not end it");
    directory.set_evacuated_zones((0..ZONES).map(zone_of).collect());
    let service = ServiceName::new("models");
    assert_eq!(picker.availability(NOW, &directory, &service), ServiceAvailability::NoEngine);
}
