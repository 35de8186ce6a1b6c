//! Engines that start again under their id: the newest life holds, whatever is heard when.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const ID: &str = "e1";
const NOW: Timestamp = Timestamp(10_000);

fn life(started_at_ms: u64) -> BackEndName {
    BackEndName::of_incarnation(ID, Some(started_at_ms))
}

fn notice(started_at_ms: u64, sequence: u64, state: EngineState) -> EngineNotice {
    EngineNotice {
        engine: life(started_at_ms),
        sequence,
        service: "models".into(),
        // The address may be another one after a restart.
        address: ([10, 0, 0, (started_at_ms % 200) as u8], 80).into(),
        zone: "hall".into(),
        slots: 64,
        state,
        age: Millis(0),
        known_for: Millis(0),
    }
}

fn ready(directory: &EngineDirectory) -> Vec<&BackEndName> {
    let taking = directory.iter().filter(|record| record.notice.state == EngineState::Ready);
    taking.map(|record| &record.notice.engine).collect()
}

#[test]
fn a_life_is_named_by_id_and_start() {
    assert_eq!((life(7).id(), life(7).started_at_ms()), (ID, 7));
    let without = BackEndName::of_incarnation(ID, None);
    assert_eq!((without.as_str(), without.id(), without.started_at_ms()), (ID, ID, 0));
}

#[test]
fn a_restarted_engine_is_heard_at_once_though_its_count_begins_anew() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    assert_eq!(directory.merge(NOW, notice(2, 1, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(ready(&directory), [&life(2)]);
}

#[test]
fn a_restarted_engine_comes_back_after_it_had_left() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.mark_gone(NOW, &life(1));
    assert_eq!(directory.merge(NOW, notice(2, 1, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(ready(&directory), [&life(2)]);
}

#[test]
fn a_former_life_never_comes_back_and_ends_nothing() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(2, 1, EngineState::Ready));
    for state in [EngineState::Ready, EngineState::Draining, EngineState::Gone] {
        for sequence in [1, 90, 91] {
            directory.merge(NOW, notice(1, sequence, state));
            assert_eq!(ready(&directory), [&life(2)], "{state:?} {sequence}");
        }
    }
    directory.mark_gone(NOW, &life(1));
    assert_eq!(ready(&directory), [&life(2)]);
}

#[test]
fn an_id_without_a_start_is_the_oldest_life() {
    let mut directory = EngineDirectory::default();
    let without = EngineNotice {
        engine: BackEndName::of_incarnation(ID, None),
        ..notice(1, 90, EngineState::Ready)
    };
    directory.merge(NOW, without.clone());
    directory.merge(NOW, notice(3, 1, EngineState::Ready));
    assert_eq!(directory.merge(NOW, EngineNotice { sequence: 91, ..without }), MergeOutcome::Stale);
    assert_eq!(ready(&directory), [&life(3)]);
}

#[test]
fn an_id_that_begins_like_another_is_another_engine() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(9, 1, EngineState::Ready));
    let other = BackEndName::of_incarnation("e10", Some(1));
    let other = EngineNotice { engine: other.clone(), ..notice(1, 1, EngineState::Ready) };
    assert_eq!(directory.merge(NOW, other), MergeOutcome::Changed);
    assert_eq!(ready(&directory).len(), 2);
}

/// A leave that does not say which life it is of.
#[test]
fn a_leave_that_may_be_the_former_lifes_does_not_end_the_new_one() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.merge(NOW + Millis(3_000), notice(2, 1, EngineState::Ready));
    assert_eq!(directory.departing_incarnation(NOW + Millis(4_000), ID), life(1));
    assert_eq!(directory.departing_incarnation(NOW + Millis(60_000), ID), life(2));
    let unknown = directory.departing_incarnation(NOW, "e7");
    assert_eq!(unknown, BackEndName::of_incarnation("e7", None));
}

/// A process that has just started knows lives from others, which have known them for long.
#[test]
fn a_leave_told_to_a_process_that_has_just_started_ends_the_life_that_leaves() {
    let mut directory = EngineDirectory::default();
    directory.merge(NOW, notice(1, 90, EngineState::Ready));
    directory.merge(NOW + Millis(3_000), notice(2, 1, EngineState::Ready));
    let later = NOW + Millis(60_000);
    let mut newcomer = EngineDirectory::default();
    for told in directory.notices(later) {
        newcomer.merge(Timestamp::PROCESS_START, told);
    }
    assert_eq!(newcomer.departing_incarnation(Timestamp::PROCESS_START + Millis(50), ID), life(2));
}

#[test]
fn two_announcements_show_that_an_engine_has_run_on() {
    let mut directory = EngineDirectory::default();
    let announced = |directory: &mut EngineDirectory, sequence, at| {
        directory.merge(Timestamp(at), notice(1, sequence, EngineState::Ready));
    };
    announced(&mut directory, 1, 10_000);
    announced(&mut directory, 2, 11_200);
    assert!(!directory.has_run_after(&life(1), Timestamp(10_500)));
    announced(&mut directory, 3, 12_400);
    assert!(directory.has_run_after(&life(1), Timestamp(10_500)));
    assert!(!directory.has_run_after(&life(1), Timestamp(11_200)));
    directory.merge(Timestamp(12_500), notice(2, 1, EngineState::Ready));
    assert!(!directory.has_run_after(&life(1), Timestamp(10_500)), "it has ended");
}

proptest! {
    /// Announcements of all lives come in any order, twice, and through several control processes.
    #[test]
    fn all_processes_end_with_the_newest_life(
        heard in prop::collection::vec((1_u64..5, 1_u64..6, 0_usize..2, 0_usize..3), 1..40),
        order in prop::collection::vec(0_usize..40, 40),
    ) {
        let states = [EngineState::Ready, EngineState::Draining];
        let notices: Vec<EngineNotice> = heard
            .iter()
            .map(|(started_at_ms, sequence, state, _)| notice(*started_at_ms, *sequence, states[*state]))
            .collect();
        let newest = notices.iter().map(|notice| notice.engine.started_at_ms()).max().expect("some");
        let mut control = [(); 3].map(|()| EngineDirectory::default());
        let mut router = EngineDirectory::follower();
        for (notice, (_, _, _, at)) in notices.iter().zip(&heard) {
            if control[*at].merge(NOW, notice.clone()) == MergeOutcome::Changed {
                router.merge(NOW, notice.clone());
            }
        }
        // Control processes tell one another everything, in any order and more than once.
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
