//! What engines say of their end: the words that the control replicas keep, and the directories
//! that follow them.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const NOW: Timestamp = Timestamp(10_000);

fn word(engine: &str, sequence: u64, state: EngineState) -> DepartureRecord {
    DepartureRecord { engine: BackEndName::new(engine), state, sequence }
}

fn notice(engine: &str, sequence: u64, state: EngineState) -> EngineNotice {
    EngineNotice {
        engine: BackEndName::new(engine),
        sequence,
        service: "models".into(),
        address: ([10, 0, 0, engine.as_bytes()[1]], 80).into(),
        zone: "hall".into(),
        slots: 64,
        state,
        age: Millis(0),
        known_for: Millis(0),
    }
}

fn said(records: &[DepartureRecord]) -> Departures {
    let mut departures = Departures::default();
    departures.apply(DepartureChange::Announced(records.to_vec()));
    departures
}

fn state_of(directory: &EngineDirectory, engine: &str) -> Option<EngineState> {
    directory.get(&BackEndName::new(engine)).map(|record| record.notice.state)
}

#[test]
fn a_word_is_covered_once_it_or_a_newer_one_is_held() {
    let draining = word("e1", 6, EngineState::Draining);
    assert!(!Departures::default().covers(&draining));
    assert!(said(std::slice::from_ref(&draining)).covers(&draining));
    assert!(said(&[word("e1", 1, EngineState::Gone)]).covers(&draining));
    let returned = [draining.clone(), word("e1", 7, EngineState::Ready)];
    assert!(said(&returned).covers(&draining));
    let again = [&returned[..], &[word("e1", 8, EngineState::Draining)]].concat();
    assert!(!said(&returned).covers(&again[2]));
    assert_eq!(said(&again).get(&"e1".into()), Some(&again[2]));
}

#[test]
fn a_word_that_says_nothing_new_changes_nothing() {
    let mut departures = said(&[word("e1", 6, EngineState::Draining)]);
    let revision = departures.revision();
    let old = [
        word("e1", 6, EngineState::Draining),
        word("e1", 9, EngineState::Draining),
        word("e1", 5, EngineState::Ready),
        word("e2", 5, EngineState::Ready),
    ];
    assert!(!departures.apply(DepartureChange::Announced(old.to_vec())));
    assert_eq!(departures.revision(), revision);
    assert!(departures.apply(DepartureChange::Announced(vec![word("e1", 0, EngineState::Gone)])));
    let late = vec![word("e1", 99, EngineState::Ready)];
    assert!(!departures.apply(DepartureChange::Announced(late)), "what has left stays gone");
}

#[test]
fn the_oldest_words_give_way_and_forgetting_is_a_change() {
    let mut departures = Departures::default();
    for number in 0..MAX_DEPARTURES + 3 {
        departures.apply(DepartureChange::Announced(vec![word(
            &format!("e{number}"),
            1,
            EngineState::Gone,
        )]));
    }
    assert_eq!(departures.revisions().count(), MAX_DEPARTURES);
    assert!(departures.get(&"e2".into()).is_none() && departures.get(&"e3".into()).is_some());
    let revision = departures.revision();
    assert!(departures.apply(DepartureChange::Expired(vec!["e3".into()])));
    assert!(departures.revision() > revision && departures.get(&"e3".into()).is_none());
}

#[test]
fn a_directory_that_has_not_heard_the_announcement_keeps_to_what_is_written_down() {
    let mut directory = EngineDirectory::follower();
    directory.merge(NOW, notice("e1", 5, EngineState::Ready));
    assert!(directory.apply_departure(NOW, &word("e1", 6, EngineState::Draining)));
    assert!(!directory.apply_departure(NOW, &word("e1", 6, EngineState::Draining)));
    assert_eq!(directory.merge(NOW, notice("e1", 4, EngineState::Ready)), MergeOutcome::Stale);
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Draining));
    assert!(directory.apply_departure(NOW, &word("e1", 0, EngineState::Gone)));
    assert_eq!(directory.merge(NOW, notice("e1", 9, EngineState::Ready)), MergeOutcome::Stale);
}

#[test]
fn a_directory_that_knows_nobody_keeps_out_who_has_left() {
    let mut directory = EngineDirectory::default();
    assert!(directory.apply_departure(NOW, &word("e1", 6, EngineState::Draining)));
    assert!(directory.apply_departure(NOW, &word("e2", 6, EngineState::Gone)));
    for engine in ["e1", "e2"] {
        assert_eq!(
            directory.merge(NOW, notice(engine, 5, EngineState::Ready)),
            MergeOutcome::Stale
        );
    }
    // Where the engine is, is learned from its next announcement.
    assert_eq!(
        directory.merge(NOW, notice("e1", 7, EngineState::Draining)),
        MergeOutcome::Refreshed
    );
    assert_eq!(directory.merge(NOW, notice("e1", 8, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
}

/// No address is known of them, so none of them stands in the place of another.
#[test]
fn engines_that_are_known_by_name_only_do_not_replace_one_another() {
    let mut directory = EngineDirectory::default();
    for engine in ["e1", "e2"] {
        directory.apply_departure(NOW, &word(engine, 6, EngineState::Draining));
    }
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Draining));
    assert!(directory.notices(NOW).is_empty(), "they are not handed on");
}

#[test]
fn an_engine_that_says_ready_after_draining_is_used_again() {
    let mut directory = EngineDirectory::follower();
    directory.merge(NOW, notice("e1", 5, EngineState::Ready));
    directory.apply_departure(NOW, &word("e1", 6, EngineState::Draining));
    assert!(directory.apply_departure(NOW, &word("e1", 7, EngineState::Ready)));
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
    assert!(
        !directory.apply_departure(NOW, &word("e1", 6, EngineState::Draining)),
        "told once more"
    );
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
}

/// One thing that an engine says, by its count; the last two kinds of call carry none of their own.
fn spoken() -> impl Strategy<Value = Vec<EngineState>> {
    let state = prop_oneof![
        4 => Just(EngineState::Ready),
        2 => Just(EngineState::Draining),
    ];
    (prop::collection::vec(state, 1..8), any::<bool>()).prop_map(|(mut states, leaves)| {
        if leaves {
            states.push(EngineState::Gone);
        }
        states
    })
}

proptest! {
    /// An engine speaks in order; its words reach processes in any order, some of them more than
    /// once. Once each was heard and written down, every directory holds what the engine said last,
    /// whichever process is asked: one that heard the announcements, one that heard some of them,
    /// and one that started last and was told what is written down alone.
    #[test]
    fn every_process_ends_with_what_the_engine_said_last(
        spoken in spoken(),
        order in prop::collection::vec((0_usize..9, 0_usize..3), 30),
    ) {
        let count = spoken.len();
        let mut processes = [(); 3].map(|()| EngineDirectory::default());
        let mut departures = Departures::default();
        let all = (0..count).map(|index| (index, 0));
        for (index, process) in order.into_iter().chain(all).filter(|(index, _)| *index < count) {
            let sequence = index as u64 + 1;
            let state = spoken[index];
            match state {
                EngineState::Gone => {
                    processes[process].mark_gone(NOW, &"e1".into());
                }
                _ => {
                    processes[process].merge(NOW, notice("e1", sequence, state));
                }
            }
            // Whoever hears of a word has it written down unless it knows a newer one.
            let known = processes[process].get(&"e1".into()).expect("known").notice.sequence;
            if state == EngineState::Gone || known <= sequence {
                departures.apply(DepartureChange::Announced(vec![word("e1", sequence, state)]));
            }
            for directory in &mut processes {
                for word in departures.since(0).records {
                    directory.apply_departure(NOW, &word);
                }
            }
        }
        let last = *spoken.last().expect("it says something");
        let mut newcomer = EngineDirectory::default();
        for word in departures.since(0).records {
            newcomer.apply_departure(NOW, &word);
        }
        let accepts_requests = |directory: &EngineDirectory| {
            state_of(directory, "e1").is_none_or(|state| state == EngineState::Ready)
        };
        prop_assert_eq!(accepts_requests(&processes[0]), last == EngineState::Ready);
        for directory in processes[1..].iter().chain([&newcomer]) {
            let may_take_work = last == EngineState::Ready;
            prop_assert!(!accepts_requests(directory) || may_take_work, "{:?}", spoken);
        }
    }
}

#[test]
fn a_follower_counts_news_with_a_gap_but_asks_for_what_is_missing() {
    let mut departures = said(&[word("e1", 3, EngineState::Gone)]);
    let mut known = KnownDepartures::default();
    known.merge_delta(NOW, &departures.since(0));
    departures.apply(DepartureChange::Announced(vec![word("e2", 3, EngineState::Gone)]));
    let before_last = departures.revision();
    departures.apply(DepartureChange::Announced(vec![word("e3", 3, EngineState::Gone)]));
    known.merge_delta(NOW, &departures.since(before_last));
    assert!(known.covers(&word("e3", 3, EngineState::Gone)));
    assert_eq!(known.revision(), 1, "the second word is missing");
    known.merge_delta(NOW, &departures.since(known.revision()));
    assert!(known.covers(&word("e2", 3, EngineState::Gone)));
    assert_eq!(known.revision(), departures.revision());
    known.forget_old(NOW + Millis(400_000));
    assert!(!known.covers(&word("e2", 3, EngineState::Gone)));
}
