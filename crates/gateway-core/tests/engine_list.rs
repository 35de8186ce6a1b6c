//! Which control process a router asks for the whole list of engines.

use stackpost_gateway_core::*;
use stackpost_types::*;

const NOW: Timestamp = Timestamp(10_000);

fn directory(engines: impl Iterator<Item = (usize, EngineState)>) -> EngineDirectory {
    let mut directory = EngineDirectory::follower();
    for (engine, state) in engines {
        let notice = EngineNotice {
            sequence: 1,
            service: "models".into(),
            address: ([10, 0, 0, engine as u8], 80).into(),
            zone: "hall".into(),
            slots: 48,
            state,
            ..EngineNotice::name_only(&BackEndName::new(format!("e{engine}")))
        };
        directory.merge(NOW, notice);
    }
    directory
}

fn ready(engines: impl Iterator<Item = usize>) -> EngineDirectory {
    directory(engines.map(|engine| (engine, EngineState::Ready)))
}

#[test]
fn one_process_of_the_own_zone_is_asked() {
    let mut requests = EngineListRequests::default();
    assert!(!requests.on_up(NOW, 1, false));
    assert!(requests.on_up(NOW, 2, true));
    assert!(!requests.on_up(NOW, 3, true), "one has been asked");
    assert_eq!(requests.due(NOW + Millis(1_000)), None);
    requests.on_list(2);
    requests.on_down(2);
    assert_eq!(requests.due(NOW + Millis(1_000)), None, "the others have told every change since");
}

#[test]
fn another_process_is_asked_if_the_first_is_lost() {
    let mut requests = EngineListRequests::default();
    requests.on_up(NOW, 1, true);
    requests.on_up(NOW, 2, true);
    requests.on_down(1);
    assert_eq!(requests.due(NOW), Some(2));
    assert_eq!(requests.due(NOW), None, "it has been asked");
}

#[test]
fn another_zone_is_asked_if_the_own_one_has_no_process() {
    let mut requests = EngineListRequests::default();
    assert!(!requests.on_up(NOW, 1, false));
    assert_eq!(requests.due(NOW + Millis(200)), None);
    assert_eq!(requests.due(NOW + Millis(300)), Some(1));
}

#[test]
fn a_router_that_was_disconnected_asks_again() {
    let mut requests = EngineListRequests::default();
    requests.on_up(NOW, 1, true);
    requests.on_list(1);
    requests.on_down(1);
    assert!(requests.on_up(NOW, 2, true));
}

#[test]
fn a_lasting_difference_is_a_reason_to_ask_less_and_less_often() {
    let mut requests = EngineListRequests::default();
    requests.on_up(NOW, 1, true);
    requests.on_list(1);
    let asked = |time: u64, matches| (NOW + Millis(time), 1, matches);
    let mut times = Vec::new();
    for time in (0..120_000).step_by(1_000) {
        let (now, link, matches) = asked(time, false);
        if requests.on_digest(now, link, matches) {
            times.push(time);
        }
    }
    assert_eq!(times, [2_000, 7_000, 17_000, 37_000, 77_000]);
    assert!(!requests.on_digest(NOW + Millis(130_000), 1, true));
    assert!(!requests.on_digest(NOW + Millis(138_000), 1, false), "it differs for the first time");
    assert!(requests.on_digest(NOW + Millis(140_000), 1, false));
}

#[test]
fn digests_are_equal_for_the_same_engines_in_any_order() {
    let digest = EngineListDigest::of(&ready(0..50));
    assert_eq!(digest, EngineListDigest::of(&ready((0..50).rev())));
    assert_ne!(digest, EngineListDigest::of(&ready(1..51)));
    let draining = (0..50).map(|engine| match engine {
        7 => (engine, EngineState::Draining),
        _ => (engine, EngineState::Ready),
    });
    assert_ne!(digest, EngineListDigest::of(&directory(draining)));
    let left = (0..50).map(|engine| (engine, EngineState::Ready));
    let left = left.chain([(77, EngineState::Gone)]);
    assert_eq!(digest, EngineListDigest::of(&directory(left)));
}
