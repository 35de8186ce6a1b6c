//! Departures of engines: the records of the control replicas, and the directories that follow
//! them.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const NOW: Timestamp = Timestamp(10_000);

fn departure(engine: &str, sequence: u64, state: EngineState) -> DepartureRecord {
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
        software: Default::default(),
    }
}

fn replicated(records: &[DepartureRecord]) -> Departures {
    let mut departures = Departures::default();
    departures.apply(DepartureChange::Announced(records.to_vec()));
    departures
}

fn state_of(directory: &EngineDirectory, engine: &str) -> Option<EngineState> {
    directory.get(&BackEndName::new(engine)).map(|record| record.notice.state)
}

#[test]
fn a_record_is_covered_by_itself_or_a_newer_one() {
    let draining = departure("e1", 6, EngineState::Draining);
    assert!(!Departures::default().covers(&draining));
    assert!(replicated(std::slice::from_ref(&draining)).covers(&draining));
    assert!(replicated(&[departure("e1", 1, EngineState::Gone)]).covers(&draining));
    let returned = [draining.clone(), departure("e1", 7, EngineState::Ready)];
    assert!(replicated(&returned).covers(&draining));
    let again = [&returned[..], &[departure("e1", 8, EngineState::Draining)]].concat();
    assert!(!replicated(&returned).covers(&again[2]));
    assert_eq!(replicated(&again).get(&"e1".into()), Some(&again[2]));
}

#[test]
fn an_outdated_record_changes_nothing() {
    let mut departures = replicated(&[departure("e1", 6, EngineState::Draining)]);
    let revision = departures.revision();
    let old = [
        departure("e1", 6, EngineState::Draining),
        departure("e1", 9, EngineState::Draining),
        departure("e1", 5, EngineState::Ready),
        departure("e2", 5, EngineState::Ready),
    ];
    assert!(!departures.apply(DepartureChange::Announced(old.to_vec())));
    assert_eq!(departures.revision(), revision);
    assert!(departures.covers(&departure("e1", 7, EngineState::Draining)));
    let later = departure("e1", 9, EngineState::Draining);
    assert!(!departures.covers(&later));
    assert!(departures.apply(DepartureChange::Announced(departures.proposal(later.clone()))));
    assert_eq!(departures.get(&"e1".into()), Some(&later));
    assert!(departures.apply(DepartureChange::Announced(vec![departure(
        "e1",
        0,
        EngineState::Gone
    )])));
    let late = vec![departure("e1", 99, EngineState::Ready)];
    assert!(
        !departures.apply(DepartureChange::Announced(late)),
        "an engine that has left stays gone"
    );
}

#[test]
fn the_oldest_records_are_evicted_and_expiry_is_a_change() {
    let mut departures = Departures::default();
    for number in 0..MAX_DEPARTURES + 3 {
        departures.apply(DepartureChange::Announced(vec![departure(
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
fn a_committed_departure_applies_without_the_announcement() {
    let mut directory = EngineDirectory::follower();
    directory.merge(NOW, notice("e1", 5, EngineState::Ready));
    assert!(directory.apply_departure(NOW, &departure("e1", 6, EngineState::Draining)));
    assert!(!directory.apply_departure(NOW, &departure("e1", 6, EngineState::Draining)));
    assert_eq!(directory.merge(NOW, notice("e1", 4, EngineState::Ready)), MergeOutcome::Stale);
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Draining));
    assert!(directory.apply_departure(NOW, &departure("e1", 0, EngineState::Gone)));
    assert_eq!(directory.merge(NOW, notice("e1", 9, EngineState::Ready)), MergeOutcome::Stale);
}

#[test]
fn an_empty_directory_rejects_late_notices_after_a_departure() {
    let mut directory = EngineDirectory::default();
    assert!(directory.apply_departure(NOW, &departure("e1", 6, EngineState::Draining)));
    assert!(directory.apply_departure(NOW, &departure("e2", 6, EngineState::Gone)));
    for engine in ["e1", "e2"] {
        assert_eq!(
            directory.merge(NOW, notice(engine, 5, EngineState::Ready)),
            MergeOutcome::Stale
        );
    }
    // The engine's address becomes known with its next announcement.
    assert_eq!(
        directory.merge(NOW, notice("e1", 7, EngineState::Draining)),
        MergeOutcome::Refreshed
    );
    assert_eq!(directory.merge(NOW, notice("e1", 8, EngineState::Ready)), MergeOutcome::Changed);
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
}

/// Their address is a placeholder, so they must not count as announced at the same address.
#[test]
fn engines_known_by_name_only_do_not_replace_one_another() {
    let mut directory = EngineDirectory::default();
    for engine in ["e1", "e2"] {
        directory.apply_departure(NOW, &departure(engine, 6, EngineState::Draining));
    }
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Draining));
    assert!(directory.notices(NOW).is_empty(), "notices without an address are not passed on");
}

#[test]
fn an_engine_that_is_ready_again_after_draining_is_used() {
    let mut directory = EngineDirectory::follower();
    directory.merge(NOW, notice("e1", 5, EngineState::Ready));
    directory.apply_departure(NOW, &departure("e1", 6, EngineState::Draining));
    assert!(directory.apply_departure(NOW, &departure("e1", 7, EngineState::Ready)));
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
    assert!(
        !directory.apply_departure(NOW, &departure("e1", 6, EngineState::Draining)),
        "the older record was received again"
    );
    assert_eq!(state_of(&directory, "e1"), Some(EngineState::Ready));
}

/// The successive states of one engine; the position is the sequence number. The leave call carries
/// none, so `Gone` can only be the last.
fn engine_states() -> impl Strategy<Value = Vec<EngineState>> {
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

/// Applies the committed records to every directory, and commits what those that reach the leader
/// know to be newer, until nothing changes.
fn replicate(
    departures: &mut Departures,
    directories: &mut [EngineDirectory],
    reaches_leader: &[bool],
) {
    loop {
        let records = departures.since(0).records;
        let mut newer = Vec::new();
        for (directory, reaches_leader) in directories.iter_mut().zip(reaches_leader) {
            for departure in &records {
                directory.apply_departure(NOW, departure);
                newer.extend(directory.newer_announcement(departure).filter(|_| *reaches_leader));
            }
        }
        newer.retain(|record| departures.lacks(record));
        if newer.is_empty() {
            return;
        }
        departures.apply(DepartureChange::Announced(newer));
    }
}

/// One process receives `Ready` before another one receives the `Draining` that preceded it.
#[test]
fn a_departure_after_a_reordered_announcement_reaches_every_process() {
    let mut directories = [(); 2].map(|()| EngineDirectory::default());
    let mut departures = Departures::default();
    directories[1].merge(NOW, notice("e1", 3, EngineState::Ready));
    for sequence in [2, 4] {
        directories[0].merge(NOW, notice("e1", sequence, EngineState::Draining));
        let record = departure("e1", sequence, EngineState::Draining);
        departures.apply(DepartureChange::Announced(departures.proposal(record)));
        replicate(&mut departures, &mut directories, &[true; 2]);
    }
    assert_eq!(state_of(&directories[1], "e1"), Some(EngineState::Draining));
}

/// A router or a control process without a leader received `Ready` between two drains and can't
/// have it committed.
#[test]
fn second_drain_is_not_covered_by_the_first_one() {
    let mut follower = EngineDirectory::follower();
    follower.merge(NOW, notice("e1", 3, EngineState::Ready));
    let mut departures = replicated(&[departure("e1", 2, EngineState::Draining)]);
    follower.apply_departure(NOW, &departure("e1", 2, EngineState::Draining));
    assert_eq!(state_of(&follower, "e1"), Some(EngineState::Ready));
    let second = departure("e1", 4, EngineState::Draining);
    assert!(!departures.covers(&second), "acknowledged before every process can know");
    departures.apply(DepartureChange::Announced(departures.proposal(second)));
    departures.since(0).records.iter().for_each(|record| {
        follower.apply_departure(NOW, record);
    });
    assert_eq!(state_of(&follower, "e1"), Some(EngineState::Draining));
}

proptest! {
    /// An engine's announcements are in order, but reach the processes in any order, some more than
    /// once. Once each was received and committed, every directory has the last state, whether its
    /// process received the announcements, only some of them, or, having started last, only the
    /// committed records, and whether or not it reaches the leader to have them committed.
    #[test]
    fn every_process_ends_with_the_engines_last_state(
        engine_states in engine_states(),
        order in prop::collection::vec((0_usize..9, 0_usize..3), 30),
        others_reach_leader in any::<[bool; 2]>(),
    ) {
        let reaches_leader = [true, others_reach_leader[0], others_reach_leader[1]];
        let count = engine_states.len();
        let mut processes = [(); 3].map(|()| EngineDirectory::default());
        let mut departures = Departures::default();
        let all = (0..count).map(|index| (index, 0));
        for (index, process) in order.into_iter().chain(all).filter(|(index, _)| *index < count) {
            let sequence = index as u64 + 1;
            let state = engine_states[index];
            match state {
                EngineState::Gone => {
                    processes[process].mark_gone(NOW, &"e1".into());
                }
                _ => {
                    processes[process].merge(NOW, notice("e1", sequence, state));
                }
            }
            // A process that receives a notice commits it unless it knows a newer one.
            let known =
                processes[process].get(&"e1".into()).expect("the engine is known").notice.sequence;
            if reaches_leader[process] && (state == EngineState::Gone || known <= sequence) {
                let record = departure("e1", sequence, state);
                if departures.lacks(&record) {
                    departures.apply(DepartureChange::Announced(departures.proposal(record)));
                }
            }
            replicate(&mut departures, &mut processes, &reaches_leader);
        }
        let last = *engine_states.last().expect("there is at least one state");
        let mut new_process = EngineDirectory::default();
        for departure in departures.since(0).records {
            new_process.apply_departure(NOW, &departure);
        }
        let accepts_requests = |directory: &EngineDirectory| {
            state_of(directory, "e1").is_none_or(|state| state == EngineState::Ready)
        };
        prop_assert_eq!(accepts_requests(&processes[0]), last == EngineState::Ready);
        for directory in processes[1..].iter().chain([&new_process]) {
            let may_accept = last == EngineState::Ready;
            prop_assert!(!accepts_requests(directory) || may_accept, "{:?}", engine_states);
        }
    }
}

#[test]
fn a_delta_with_a_gap_applies_but_keeps_the_known_revision() {
    let mut departures = replicated(&[departure("e1", 3, EngineState::Gone)]);
    let mut known = KnownDepartures::default();
    known.merge_delta(NOW, &departures.since(0));
    departures.apply(DepartureChange::Announced(vec![departure("e2", 3, EngineState::Gone)]));
    let before_last = departures.revision();
    departures.apply(DepartureChange::Announced(vec![departure("e3", 3, EngineState::Gone)]));
    known.merge_delta(NOW, &departures.since(before_last));
    assert!(known.covers(&departure("e3", 3, EngineState::Gone)));
    assert_eq!(known.revision(), 1, "the second record is missing");
    known.merge_delta(NOW, &departures.since(known.revision()));
    assert!(known.covers(&departure("e2", 3, EngineState::Gone)));
    assert_eq!(known.revision(), departures.revision());
    known.remove_expired(NOW + Millis(400_000));
    assert!(!known.covers(&departure("e2", 3, EngineState::Gone)));
}
