//! Streams that are resumed without a reference go on only where their version is certain.

use stackpost_gateway_core::{
    DepartureRecord, EngineDirectory, EngineNotice, EngineState, common_version,
};
use stackpost_types::{BackEndName, Millis, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);
const LONGEST_STREAM: Millis = Millis(12_000);
const RECENT: Millis = Millis(LONGEST_STREAM.0 - 1);

fn notice(engine: &str, software: &str, state: EngineState, age: Millis) -> EngineNotice {
    EngineNotice {
        service: "model".into(),
        software: software.into(),
        address: format!("10.0.0.{}:80", engine.len()).parse().expect("an address"),
        state,
        sequence: 1,
        age,
        known_for: LONGEST_STREAM,
        ..EngineNotice::name_only(&BackEndName::new(engine))
    }
}

fn directory(notices: impl IntoIterator<Item = EngineNotice>) -> EngineDirectory {
    let mut directory = EngineDirectory::follower();
    for notice in notices {
        directory.merge(NOW, notice);
    }
    directory
}

fn version_in(directory: &EngineDirectory) -> Option<String> {
    let version = common_version(directory, &"model".into(), NOW, LONGEST_STREAM);
    version.map(|version| version.as_str().to_string())
}

#[test]
fn version_of_all_engines_is_that_of_the_stream() {
    let ready = |engine| notice(engine, "v1", EngineState::Ready, Millis(0));
    assert_eq!(version_in(&directory([ready("a"), ready("bb")])), Some("v1".to_string()));
}

#[test]
fn stream_may_have_been_begun_by_an_engine_that_left_recently() {
    let current = notice("a", "v2", EngineState::Ready, Millis(0));
    let left = |age| notice("bb", "v1", EngineState::Gone, age);
    assert_eq!(version_in(&directory([current.clone(), left(RECENT)])), None);
    let version = version_in(&directory([current, left(LONGEST_STREAM)]));
    assert_eq!(version, Some("v2".to_string()), "no stream lasts that long");
}

#[test]
fn fleet_that_has_forgotten_earlier_engines_knows_no_version() {
    let known_for = RECENT;
    let notice = EngineNotice { known_for, ..notice("a", "v2", EngineState::Ready, Millis(0)) };
    assert_eq!(version_in(&directory([notice])), None);
}

#[test]
fn departed_engine_that_is_known_by_name_only_may_have_had_another_version() {
    let mut directory = directory([notice("a", "v2", EngineState::Ready, Millis(0))]);
    let (engine, state) = (BackEndName::new("left"), EngineState::Gone);
    directory.apply_departure(NOW, &DepartureRecord { engine, state, sequence: 3 });
    assert_eq!(version_in(&directory), None);
}
