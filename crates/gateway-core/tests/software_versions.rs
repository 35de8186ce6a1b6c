//! The software versions of engines in notices.

use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{
    DirectoryDelta, EngineDirectory, EngineNotice, EngineState, MergeOutcome,
};
use stackpost_types::{Millis, Timestamp};

/// A directory delta as an earlier version encodes it.
#[derive(Serialize, Deserialize)]
struct EarlierDelta {
    base: u64,
    revision: u64,
    notices: Vec<EngineNotice>,
}

const NOW: Timestamp = Timestamp(10_000);

fn notice(sequence: u64, software: &str) -> EngineNotice {
    EngineNotice {
        engine: "e1".into(),
        sequence,
        service: "models".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "hall".into(),
        slots: 8,
        state: EngineState::Ready,
        age: Millis(0),
        known_for: Millis(0),
        software: software.into(),
    }
}

#[test]
fn notices_are_exchanged_with_processes_that_know_no_software_versions() {
    let delta = DirectoryDelta { base: 1, revision: 2, notices: vec![notice(1, "v1")] };
    let encoded = postcard::to_stdvec(&delta).expect("encoded");
    assert_eq!(postcard::from_bytes(&encoded), Ok(delta));
    let read: EarlierDelta = postcard::from_bytes(&encoded).expect("decoded by an earlier version");
    assert_eq!((read.revision, read.notices.len()), (2, 1));
    let encoded = postcard::to_stdvec(&read).expect("encoded by an earlier version");
    let read: DirectoryDelta = postcard::from_bytes(&encoded).expect("decoded");
    assert_eq!(read.notices, [notice(1, "")]);
}

#[test]
fn known_software_version_is_kept_and_a_new_one_is_a_change() {
    let mut directory = EngineDirectory::default();
    let mut merge = |notice| directory.merge(NOW, notice);
    assert_eq!(merge(notice(1, "")), MergeOutcome::Changed);
    assert_eq!(merge(notice(2, "v1")), MergeOutcome::Changed);
    assert_eq!(merge(notice(3, "")), MergeOutcome::Refreshed);
    assert_eq!(merge(notice(4, "v2")), MergeOutcome::Changed);
    let known = directory.get(&"e1".into()).expect("known");
    assert_eq!(known.notice.software.as_str(), "v2");
}
