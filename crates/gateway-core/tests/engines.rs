//! The directory of engines and the choice among them.

use stackpost_gateway_core::*;
use stackpost_types::*;

fn notice(engine: &str, sequence: u64, state: EngineState) -> EngineNotice {
    EngineNotice {
        engine: BackEndName::new(engine),
        sequence,
        service: "models".into(),
        address: ([10, 0, 0, engine.as_bytes()[1]], 80).into(),
        zone: if engine.ends_with('x') { "hall".into() } else { "jetty".into() },
        slots: 64,
        state,
        age: Millis(0),
        known_for: Millis(0),
        software: Default::default(),
    }
}

fn directory(now: Timestamp, engines: &[&str]) -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    for engine in engines {
        directory.merge(now, notice(engine, 1, EngineState::Ready));
    }
    directory
}

fn pick(
    picker: &EnginePicker,
    now: Timestamp,
    directory: &EngineDirectory,
    prefix_hash: Option<u64>,
    tried: &[BackEndName],
) -> Option<String> {
    let service = ServiceName::new("models");
    let query = PickQuery {
        service: &service,
        prefix_hash,
        work: None,
        tried,
        has_room: &|_| true,
        is_retry: false,
        tie_breaker: 3,
    };
    picker.pick(now, directory, &query).map(|choice| choice.engine.notice.engine.to_string())
}

#[test]
fn late_notices_are_ignored_and_gone_engines_never_return() {
    let now = Timestamp(1_000);
    let mut directory = directory(now, &["e1"]);
    assert_eq!(directory.merge(now, notice("e1", 5, EngineState::Draining)), MergeOutcome::Changed);
    assert_eq!(directory.merge(now, notice("e1", 4, EngineState::Ready)), MergeOutcome::Stale);
    directory.mark_gone(now, &BackEndName::new("e1"));
    assert_eq!(directory.merge(now, notice("e1", 9, EngineState::Ready)), MergeOutcome::Stale);
}

#[test]
fn the_departure_of_an_unknown_engine_is_remembered() {
    let now = Timestamp(1_000);
    let mut directory = EngineDirectory::default();
    directory.mark_gone(now, &BackEndName::new("e1"));
    assert_eq!(directory.merge(now, notice("e1", 1, EngineState::Ready)), MergeOutcome::Stale);
}

#[test]
fn a_new_engine_replaces_the_one_at_its_address() {
    let now = Timestamp(1_000);
    let mut directory = directory(now, &["e1"]);
    let successor = EngineNotice { engine: "f9".into(), ..notice("e1", 1, EngineState::Ready) };
    directory.merge(now, successor);
    let old = directory.get(&BackEndName::new("e1")).expect("a replaced engine is remembered");
    assert_eq!(old.notice.state, EngineState::Gone);
}

fn state_of(directory: &EngineDirectory, engine: &str) -> EngineState {
    directory.get(&BackEndName::new(engine)).expect("the engine is known").notice.state
}

/// An announcement was delayed while its sender ended and a successor was announced at its address.
/// A process that has restarted meanwhile does not know the sender and takes it for a new engine.
#[test]
fn a_late_announcement_replaces_the_successor_only_briefly() {
    let mut directory = EngineDirectory::default();
    let successor = |sequence| notice("e1", sequence, EngineState::Ready);
    let late = EngineNotice { engine: "f9".into(), ..notice("e1", 70, EngineState::Ready) };
    directory.merge(Timestamp(1_000), successor(1));
    directory.merge(Timestamp(2_200), successor(2));
    assert_eq!(directory.merge(Timestamp(2_500), late), MergeOutcome::Changed);
    assert_eq!(directory.merge(Timestamp(3_400), successor(3)), MergeOutcome::Stale);
    assert_eq!(directory.merge(Timestamp(4_600), successor(4)), MergeOutcome::Changed);
    assert_eq!(state_of(&directory, "e1"), EngineState::Ready);
    assert_eq!(state_of(&directory, "f9"), EngineState::Gone);
}

/// The reverse case: the engine that continues to announce itself keeps the address.
#[test]
fn late_announcements_of_a_replaced_engine_do_not_restore_it() {
    let mut directory = EngineDirectory::default();
    let successor = |sequence| EngineNotice {
        engine: "f9".into(),
        ..notice("e1", sequence, EngineState::Ready)
    };
    directory.merge(Timestamp(1_000), notice("e1", 1, EngineState::Ready));
    directory.merge(Timestamp(2_000), successor(1));
    for round in 1..6 {
        let now = Timestamp(2_000 + round * 1_200);
        let late = notice("e1", 1 + round, EngineState::Ready);
        assert_eq!(directory.merge(now, late), MergeOutcome::Stale);
        assert_eq!(directory.merge(now, successor(1 + round)), MergeOutcome::Refreshed);
    }
    assert_eq!(state_of(&directory, "f9"), EngineState::Ready);
}

/// That an engine was replaced is only inferred from its successor's announcement: other processes
/// infer it themselves, or revert it when the engine continues to announce itself.
#[test]
fn an_inferred_replacement_is_not_passed_on_as_a_departure() {
    let mut directory = EngineDirectory::default();
    directory.merge(Timestamp(1_000), notice("e1", 1, EngineState::Ready));
    let late = EngineNotice { engine: "f9".into(), ..notice("e1", 70, EngineState::Ready) };
    directory.merge(Timestamp(2_000), late.clone());
    let passed_on: Vec<String> =
        directory.notices(Timestamp(2_000)).iter().map(|one| one.engine.to_string()).collect();
    assert_eq!(passed_on, ["f9"]);
    // A router receives only changes, so one newer notice is enough for it.
    let mut follower = EngineDirectory::follower();
    follower.merge(Timestamp(1_000), notice("e1", 1, EngineState::Ready));
    follower.merge(Timestamp(2_000), late);
    assert_eq!(
        follower.merge(Timestamp(4_600), notice("e1", 4, EngineState::Ready)),
        MergeOutcome::Changed
    );
    assert_eq!(state_of(&follower, "f9"), EngineState::Gone);
    // A notice from a partitioned replica that has not received the successor's announcement is
    // older.
    let stale = EngineNotice { age: Millis(3_000), ..notice("e1", 5, EngineState::Ready) };
    let successor = EngineNotice { engine: "h7".into(), ..notice("e1", 1, EngineState::Ready) };
    follower.merge(Timestamp(5_000), successor);
    assert_eq!(follower.merge(Timestamp(5_500), stale), MergeOutcome::Stale);
    assert_eq!(state_of(&follower, "h7"), EngineState::Ready);
    // An engine that has left stays gone.
    follower.mark_gone(Timestamp(5_000), &BackEndName::new("e1"));
    assert_eq!(
        follower.merge(Timestamp(6_000), notice("e1", 9, EngineState::Ready)),
        MergeOutcome::Stale
    );
}

#[test]
fn draining_and_tried_engines_are_not_picked() {
    let now = Timestamp(1_000);
    let mut directory = directory(now, &["e1", "e2"]);
    directory.merge(now, notice("e1", 2, EngineState::Draining));
    let picker = EnginePicker::new("jetty".into());
    assert_eq!(pick(&picker, now, &directory, None, &[]).as_deref(), Some("e2"));
    assert_eq!(pick(&picker, now, &directory, None, &["e2".into()]), None);
}

#[test]
fn a_waiting_request_is_not_sent_to_a_departed_engine() {
    let now = Timestamp(1_000);
    let picker = EnginePicker::new("jetty".into());
    let departures = [
        DepartureRecord { engine: "e1".into(), state: EngineState::Gone, sequence: 0 },
        DepartureRecord { engine: "e1".into(), state: EngineState::Draining, sequence: 2 },
    ];
    for departure in departures {
        let mut directory = directory(now, &["e1"]);
        assert_eq!(pick(&picker, now, &directory, None, &[]).as_deref(), Some("e1"));
        assert!(picker.may_send(now, &directory, &"e1".into()));
        directory.apply_departure(now, &departure);
        assert!(!picker.may_send(now, &directory, &"e1".into()), "{departure:?}");
    }
    assert!(
        !picker.may_send(now, &directory(now, &[]), &"e1".into()),
        "the engine is no longer known"
    );
}

#[test]
fn a_subject_keeps_its_engine_until_it_is_overloaded() {
    let now = Timestamp(1_000);
    let directory = directory(now, &["e1", "e2", "e3"]);
    let mut picker = EnginePicker::new("jetty".into());
    let home = pick(&picker, now, &directory, Some(77), &[]).expect("there are engines");
    for _ in 0..3 {
        assert_eq!(pick(&picker, now, &directory, Some(77), &[]), Some(home.clone()));
        picker.on_sent(now, &BackEndName::new(&home), None);
    }
    for _ in 0..20 {
        picker.on_sent(now, &BackEndName::new(&home), None);
    }
    assert_ne!(pick(&picker, now, &directory, Some(77), &[]), Some(home.clone()));
}

#[test]
fn failing_engines_are_avoided_and_tried_again_later() {
    let now = Timestamp(1_000);
    let directory = directory(now, &["e1", "e2"]);
    let mut picker = EnginePicker::new("jetty".into());
    let failing = directory.get(&BackEndName::new("e1")).expect("the engine is known").clone();
    for _ in 0..6 {
        picker.on_sent(now, &failing.notice.engine, None);
        picker.on_attempt_end(now, &failing, None, AttemptEnd::Interrupted);
    }
    for prefix_hash in 0..40 {
        assert_eq!(pick(&picker, now, &directory, Some(prefix_hash), &[]).as_deref(), Some("e2"));
    }
    let later = now + Millis(3_000);
    let back =
        (0..40).any(|s| pick(&picker, later, &directory, Some(s), &[]).as_deref() == Some("e1"));
    assert!(back, "an ejected engine is used again later");
}

#[test]
fn a_failing_engine_is_used_if_there_is_no_other() {
    let now = Timestamp(1_000);
    let directory = directory(now, &["e1"]);
    let mut picker = EnginePicker::new("jetty".into());
    let only = directory.get(&BackEndName::new("e1")).expect("the engine is known").clone();
    picker.on_sent(now, &only.notice.engine, None);
    picker.on_attempt_end(now, &only, None, AttemptEnd::Unreachable);
    assert_eq!(pick(&picker, now, &directory, None, &[]).as_deref(), Some("e1"));
}

#[test]
fn an_unreachable_zone_is_avoided() {
    let now = Timestamp(1_000);
    let directory = directory(now, &["e1x", "e2x", "e3x", "e4x", "e5"]);
    let mut picker = EnginePicker::new("jetty".into());
    for engine in ["e1x", "e2x", "e3x"] {
        let record = directory.get(&BackEndName::new(engine)).expect("the engine is known").clone();
        picker.on_sent(now, &record.notice.engine, None);
        picker.on_attempt_end(now, &record, None, AttemptEnd::Unreachable);
    }
    for prefix_hash in 0..40 {
        assert_eq!(pick(&picker, now, &directory, Some(prefix_hash), &[]).as_deref(), Some("e5"));
    }
}

#[test]
fn an_engine_without_announcements_is_silent_then_evicted() {
    let start = Timestamp(1_000);
    let mut directory = directory(start, &["e1", "e2"]);
    let now = start + Millis(6_000);
    directory.merge(now, notice("e2", 2, EngineState::Ready));
    assert_eq!(directory.silent_engines(now), [BackEndName::new("e1")].into());
    assert!(directory.evict_silent(now).is_empty());
    let late = start + Millis(185_500);
    assert_eq!(directory.evict_silent(late), vec![BackEndName::new("e1")]);
    directory.remove_expired(late);
    assert!(!directory.accepts_requests(&"e1".into()), "the silent engine is evicted");
    assert!(
        directory.get(&BackEndName::new("e2")).is_some(),
        "only engines that have left are removed"
    );
}

#[test]
fn an_evicted_engine_is_used_again_when_announced() {
    let start = Timestamp(1_000);
    let later = start + Millis(200_000);
    let mut control = directory(start, &["e1"]);
    let mut router = EngineDirectory::follower();
    router.merge(start, notice("e1", 1, EngineState::Ready));
    control.evict_silent(later).iter().for_each(|engine| router.forget(engine));
    for directory in [&mut control, &mut router] {
        assert_eq!(
            directory.merge(later, notice("e1", 2, EngineState::Ready)),
            MergeOutcome::Changed
        );
    }
    // An engine that has left is not.
    router.mark_gone(later, &"e1".into());
    router.forget(&"e1".into());
    assert_eq!(router.merge(later, notice("e1", 3, EngineState::Ready)), MergeOutcome::Stale);
}

#[test]
fn a_silent_engine_ranks_last_unless_it_responds() {
    let now = Timestamp(7_000);
    let mut directory = directory(now, &["e1", "e2"]);
    directory.set_silent([BackEndName::new("e1")].into());
    let mut picker = EnginePicker::new("jetty".into());
    assert_eq!(pick(&picker, now, &directory, None, &[]).as_deref(), Some("e2"));
    let silent = directory.get(&BackEndName::new("e1")).expect("the engine is known").clone();
    picker.on_sent(now, &silent.notice.engine, None);
    picker.on_attempt_end(now, &silent, None, AttemptEnd::Responded);
    let used =
        (0..40).any(|s| pick(&picker, now, &directory, Some(s), &[]).as_deref() == Some("e1"));
    assert!(used, "an engine that responds is good even if it is not announced");
}

/// Guards against departures that are acknowledged while requests lie unread at an engine that was
/// silent for so long that it was evicted in between.
#[test]
fn unread_requests_of_an_evicted_engine_are_kept() {
    let now = Timestamp(100_000);
    let mut directory = directory(now, &["e1"]);
    let engine = BackEndName::new("e1");
    let record = directory.get(&engine).expect("known").clone();
    let mut picker = EnginePicker::new("hall".into());
    picker.on_sent(now, &engine, None);
    let request = picker.on_dispatched(now, &engine).expect("known");
    picker.on_attempt_end(now, &record, None, AttemptEnd::Abandoned);
    directory.forget(&engine);
    picker.remove_unknown(now, &directory);
    assert_eq!(picker.unread(&engine).expect("kept").count(now), 1);
    picker.on_evidence(now, &engine, request, Evidence::Response);
    picker.remove_unknown(now, &directory);
    assert!(picker.unread(&engine).is_none());
}
