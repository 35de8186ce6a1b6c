//! Which control process sends a router its list of engines.

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
fn a_router_subscribes_to_one_process_of_its_zone() {
    let mut subscription = EngineSubscription::default();
    assert!(!subscription.on_up(NOW, 1, false));
    assert!(subscription.on_up(NOW, 2, true));
    assert!(!subscription.on_up(NOW, 3, true), "it has subscribed");
    assert_eq!(subscription.due(NOW + Millis(1_000)), None);
    assert!(!subscription.on_list(2));
}

#[test]
fn another_process_takes_the_place_of_one_that_is_lost() {
    let mut subscription = EngineSubscription::default();
    subscription.on_up(NOW, 1, true);
    subscription.on_up(NOW, 2, true);
    subscription.on_up(NOW, 3, false);
    subscription.on_down(NOW, 1);
    assert_eq!(subscription.due(NOW), Some(2));
    assert_eq!(subscription.due(NOW), None, "it has subscribed");
    subscription.on_down(NOW, 2);
    assert_eq!(subscription.due(NOW), None);
    assert_eq!(subscription.due(NOW + Millis(300)), Some(3));
}

#[test]
fn another_zone_is_used_if_the_own_one_has_no_process() {
    let mut subscription = EngineSubscription::default();
    assert!(!subscription.on_up(NOW, 1, false));
    assert_eq!(subscription.due(NOW + Millis(200)), None);
    assert_eq!(subscription.due(NOW + Millis(300)), Some(1));
}

#[test]
fn a_router_that_was_disconnected_subscribes_again() {
    let mut subscription = EngineSubscription::default();
    subscription.on_up(NOW, 1, true);
    subscription.on_down(NOW, 1);
    assert_eq!(subscription.due(NOW + Millis(1_000)), None);
    assert!(subscription.on_up(NOW + Millis(2_000), 2, true));
}

/// A digest of a list with `engines` engines.
fn digest(engines: usize) -> EngineListDigest {
    EngineListDigest::of(&ready(0..engines))
}

#[test]
fn a_lasting_difference_is_a_reason_to_ask_less_and_less_often() {
    let mut subscription = EngineSubscription::default();
    subscription.on_up(NOW, 1, true);
    subscription.on_up(NOW, 2, false);
    let mut times = Vec::new();
    for time in (0..120_000).step_by(1_000) {
        if subscription.on_digest(NOW + Millis(time), 2, digest(5), digest(6)) {
            times.push(time);
            assert!(subscription.on_list(2), "it was wanted once only");
        }
    }
    assert_eq!(times, [2_000, 7_000, 17_000, 37_000, 77_000]);
    let mut asks =
        |time, own| subscription.on_digest(NOW + Millis(time), 2, digest(own), digest(6));
    assert!(!asks(130_000, 6));
    assert!(!asks(138_000, 5), "it differs for the first time");
    assert!(asks(140_000, 5));
}

/// During a release of all engines no two lists are the same at any moment.
#[test]
fn lists_that_keep_changing_are_no_reason_to_ask() {
    let mut subscription = EngineSubscription::default();
    subscription.on_up(NOW, 1, true);
    for round in 0..60 {
        let now = NOW + Millis(round as u64 * 2_000);
        assert!(!subscription.on_digest(now, 1, digest(round), digest(round + 3)));
    }
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
