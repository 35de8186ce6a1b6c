//! Engines that restart under the same id: the newest incarnation wins, in any order of notices.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const ID: &str = "e1";
const NOW: Timestamp = Timestamp(10_000);

fn incarnation(started_at_ms: u64) -> BackEndName {
    BackEndName::of_incarnation(ID, Some(started_at_ms))
}

fn notice(started_at_ms: u64, sequence: u64, state: EngineState) -> EngineNotice {
    EngineNotice {
        engine: incarnation(started_at_ms),
        sequence,
        service: "models".into(),
        // The address may change with a restart.
        address: ([10, 0, 0, (started_at_ms % 200) as u8], 80).into(),
        zone: "hall".into(),
        slots: 64,
        state,
        age: Millis(0),
        known_for: Millis(0),
        software: Default::default(),
    }
}

fn ready(directory: &EngineDirectory) -> Vec<&BackEndName> {
    let ready_records = directory.iter().filter(|record| record.notice.state == EngineState::Ready);
    ready_records.map(|record| &record.notice.engine).collect()
}

#[test]
fn an_incarnation_is_named_by_id_and_start_time() {
    assert_eq!((incarnation(7).id(), incarnation(7).started_at_ms()), (ID, 7));
    let without = BackEndName::of_incarnation(ID, None);
    assert_eq!((without.as_str(), without.id(), without.started_at_ms()), (ID, ID, 0));
}

#[test]
fn a_restarted_engine_is_used_despite_its_lower_sequence() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    assert_eq!(directory.merge(NOW, notice(2, 1, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(ready(&directory), [&incarnation(2)]);
}

#[test]
fn a_restarted_engine_is_used_after_the_previous_one_left() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.mark_gone(NOW, &incarnation(1));
    assert_eq!(directory.merge(NOW, notice(2, 1, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(ready(&directory), [&incarnation(2)]);
}

#[test]
fn an_older_incarnation_neither_returns_nor_ends_the_newer() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(2, 1, EngineState::Ready));
    for state in [EngineState::Ready, EngineState::Draining, EngineState::Gone] {
        for sequence in [1, 90, 91] {
            directory.merge(NOW, notice(1, sequence, state));
            assert_eq!(ready(&directory), [&incarnation(2)], "{state:?} {sequence}");
        }
    }
    directory.mark_gone(NOW, &incarnation(1));
    assert_eq!(ready(&directory), [&incarnation(2)]);
}

#[test]
fn an_id_without_a_start_time_is_the_oldest_incarnation() {
    let mut directory = EngineDirectory::default();
    let without = EngineNotice {
        engine: BackEndName::of_incarnation(ID, None),
        ..notice(1, 90, EngineState::Ready)
    };
    directory.merge(NOW, without.clone());
    directory.merge(NOW, notice(3, 1, EngineState::Ready));
    assert_eq!(directory.merge(NOW, EngineNotice { sequence: 91, ..without }), MergeOutcome::Stale);
    assert_eq!(ready(&directory), [&incarnation(3)]);
}

#[test]
fn an_id_that_is_a_prefix_of_another_is_another_engine() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(9, 1, EngineState::Ready));
    let other = BackEndName::of_incarnation("e10", Some(1));
    let other = EngineNotice { engine: other.clone(), ..notice(1, 1, EngineState::Ready) };
    assert_eq!(directory.merge(NOW, other), MergeOutcome::Changed);
    assert_eq!(ready(&directory).len(), 2);
}

/// A leave call without a start time does not identify the incarnation.
#[test]
fn a_leave_call_shortly_after_a_restart_ends_no_incarnation() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    let restarted_at = NOW + Millis(3_000);
    directory.merge(restarted_at, notice(2, 1, EngineState::Ready));
    let ambiguous = Err(AmbiguousIncarnation(incarnation(2)));
    let known_at = restarted_at + Millis(5_000);
    assert_eq!(directory.departing_incarnation(Timestamp(known_at.0 - 1), ID), ambiguous);
    assert_eq!(directory.departing_incarnation(known_at, ID), Ok(incarnation(2)));
    let unknown = directory.departing_incarnation(NOW, "e7");
    assert_eq!(unknown, Ok(BackEndName::of_incarnation("e7", None)));
}

/// Guards against an acknowledgement by a process that has just started and knows no incarnation.
#[test]
fn a_departure_without_a_start_time_concerns_every_incarnation() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.merge(NOW, notice(2, 1, EngineState::Ready));
    let unnamed = BackEndName::of_incarnation(ID, None);
    let in_service = |directory: &EngineDirectory, departing: &BackEndName| {
        directory.departing_incarnations(departing).any(|one| directory.is_in_service(one))
    };
    directory.mark_gone(NOW, &unnamed);
    assert!(in_service(&directory, &unnamed));
    assert!(!in_service(&directory, &incarnation(1)));
    directory.mark_gone(NOW, &incarnation(2));
    assert!(!in_service(&directory, &unnamed));
}

/// A process that has just started receives incarnations from others, which have known them for
/// long.
#[test]
fn a_leave_call_at_a_new_process_ends_the_newest_incarnation() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.merge(NOW + Millis(3_000), notice(2, 1, EngineState::Ready));
    let later = NOW + Millis(60_000);
    let mut new_process = EngineDirectory::default();
    for known in directory.notices(later) {
        new_process.merge(Timestamp::PROCESS_START, known);
    }
    assert_eq!(
        new_process.departing_incarnation(Timestamp::PROCESS_START + Millis(50), ID),
        Ok(incarnation(2))
    );
}

#[test]
fn two_later_announcements_prove_that_an_engine_has_run() {
    let mut directory = EngineDirectory::default();
    let announced = |directory: &mut EngineDirectory, sequence, at| {
        directory.merge(Timestamp(at), notice(1, sequence, EngineState::Ready));
    };
    announced(&mut directory, 1, 10_000);
    announced(&mut directory, 2, 11_200);
    assert!(!directory.has_run_after(&incarnation(1), Timestamp(10_500)));
    announced(&mut directory, 3, 12_400);
    assert!(directory.has_run_after(&incarnation(1), Timestamp(10_500)));
    assert!(!directory.has_run_after(&incarnation(1), Timestamp(11_200)));
    directory.merge(Timestamp(12_500), notice(2, 1, EngineState::Ready));
    assert!(
        directory.has_run_after(&incarnation(1), Timestamp(10_500)),
        "it had run on before it ended"
    );
    assert!(!directory.has_run_after(&incarnation(1), Timestamp(11_200)), "its end proves nothing");
}

proptest! {
    /// Announcements of all incarnations arrive in any order, twice, and through several control
    /// processes.
    #[test]
    fn all_processes_end_with_the_newest_incarnation(
        received in prop::collection::vec((1_u64..5, 1_u64..6, 0_usize..2, 0_usize..3), 1..40),
        order in prop::collection::vec(0_usize..40, 40),
    ) {
        let states = [EngineState::Ready, EngineState::Draining];
        let notices: Vec<EngineNotice> = received
            .iter()
            .map(|(started_at_ms, sequence, state, _)| notice(*started_at_ms, *sequence, states[*state]))
            .collect();
        let newest = notices
            .iter()
            .map(|notice| notice.engine.started_at_ms())
            .max()
            .expect("there are notices");
        let mut control = [(); 3].map(|()| EngineDirectory::default());
        let mut router = EngineDirectory::follower();
        for (notice, (_, _, _, at)) in notices.iter().zip(&received) {
            if control[*at].merge(NOW, notice.clone()) == MergeOutcome::Changed {
                router.merge(NOW, notice.clone());
            }
        }
        // Control processes forward everything to one another, in any order and more than once.
        for index in order.iter().chain(&(0..40).collect::<Vec<_>>()) {
            if let Some(notice) = notices.get(*index) {
                for directory in &mut control {
                    if directory.merge(NOW, notice.clone()) == MergeOutcome::Changed {
                        router.merge(NOW, notice.clone());
                    }
                }
            }
        }
        for directory in control.iter().chain([&router]) {
            let alive: Vec<u64> = directory
                .iter()
                .filter(|record| record.notice.state != EngineState::Gone)
                .map(|record| record.notice.engine.started_at_ms())
                .collect();
            prop_assert_eq!(alive, vec![newest]);
        }
    }
}
