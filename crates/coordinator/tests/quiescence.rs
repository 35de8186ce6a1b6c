//! Which routers a departing engine waits for, one rule a test. `quiescence_property.rs` combines
//! them.

#[path = "support/quiescence.rs"]
mod support;

use stackpost_coordinator::{Quiescence, QuiescenceTracker};
use stackpost_gateway_core::{
    DepartureProgress, Departures, EngineRead, EngineState, UNREAD_EXPIRY, UnreadEngine,
};
use stackpost_types::{Millis, Timestamp};
use support::{ENGINE, START, departures, node};

fn report(revision: u64, unread_age: Option<Millis>) -> DepartureProgress {
    let unread = unread_age.map(|newest_age| UnreadEngine { engine: ENGINE.into(), newest_age });
    DepartureProgress { revision, unread: unread.into_iter().collect() }
}

/// A tracker of a process that has heard every router, and goes on to do so.
fn tracker() -> QuiescenceTracker {
    let mut tracker = QuiescenceTracker::new(Timestamp(START.0 - UNREAD_EXPIRY.0));
    let seconds = (0..=10).rev();
    seconds.for_each(|second| tracker.on_run(Timestamp(START.0 - second * 1_000), true));
    tracker
}

/// The state while the process runs on until `now`.
fn state_at(
    tracker: &mut QuiescenceTracker,
    now: Timestamp,
    departures: &Departures,
) -> Quiescence {
    let seconds = now.since(START).0 / 1_000;
    (0..=seconds).for_each(|second| tracker.on_run(START + Millis(second * 1_000), true));
    tracker.state(now, &ENGINE.into(), departures)
}

#[test]
fn router_that_is_heard_and_does_not_confirm_is_waited_for_without_limit() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    for second in 0..60 {
        let now = START + Millis(second * 1_000);
        tracker.on_progress(now, &node(1, 1), report(departures.revision(), None));
        tracker.on_heard(now, &node(2, 1));
        let state = state_at(&mut tracker, now, &departures);
        assert_eq!(state, Quiescence::Unconfirmed(node(2, 1)));
    }
}

#[test]
fn router_that_is_not_heard_is_waited_for_until_its_requests_expire() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let silent_at = START + Millis(5_000);
    let state = state_at(&mut tracker, silent_at, &departures);
    assert_eq!(state, Quiescence::Disconnected(node(1, 1)));
    let expired_at = START + UNREAD_EXPIRY;
    let state = state_at(&mut tracker, Timestamp(expired_at.0 - 1), &departures);
    assert_eq!(state, Quiescence::Disconnected(node(1, 1)));
    assert_eq!(state_at(&mut tracker, expired_at, &departures), Quiescence::Quiescent);
    assert_eq!(tracker.disconnected(expired_at).collect::<Vec<_>>(), [&node(1, 1)]);
}

#[test]
fn router_that_returns_is_waited_for_again() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let returned_at = START + UNREAD_EXPIRY + Millis(1_000);
    tracker.on_heard(returned_at, &node(1, 1));
    let state = state_at(&mut tracker, returned_at, &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
}

#[test]
fn router_that_has_stopped_is_not_waited_for() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    tracker.on_stopped(START, &node(1, 1), report(0, None));
    assert_eq!(state_at(&mut tracker, START, &departures), Quiescence::Quiescent);
}

#[test]
fn unread_request_of_a_router_that_has_stopped_counts_until_it_expires() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_stopped(START, &node(1, 1), report(0, Some(Millis(500))));
    tracker.on_progress(START, &node(1, 1), report(departures.revision(), None));
    let expired_at = START + UNREAD_EXPIRY;
    let state = state_at(&mut tracker, Timestamp(expired_at.0 - 1), &departures);
    assert_eq!(state, Quiescence::Unread(node(1, 1)));
    assert_eq!(state_at(&mut tracker, expired_at, &departures), Quiescence::Quiescent);
}

#[test]
fn killed_router_withholds_acknowledgements_beside_the_process_that_replaces_it() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let replaced_at = START + Millis(1_000);
    tracker.on_progress(replaced_at, &node(1, 2), report(departures.revision(), None));
    let state = state_at(&mut tracker, replaced_at, &departures);
    assert_eq!(state, Quiescence::Disconnected(node(1, 1)));
}

/// Guards against a process that is taken for replaced because bytes of its predecessor are late.
#[test]
fn late_message_of_a_replaced_process_does_not_replace_the_later_one() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 2));
    tracker.on_heard(START, &node(1, 1));
    let now = START + Millis(3_500);
    tracker.on_heard(now, &node(1, 2));
    tracker.on_reads(now, read(now, now));
    let state = state_at(&mut tracker, now, &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 2)));
}

/// A report that the engine has read a request that was sent at `sent_at`.
fn read(now: Timestamp, sent_at: Timestamp) -> Vec<EngineRead> {
    vec![EngineRead { engine: ENGINE.into(), newest_age: now.since(sent_at) }]
}

#[test]
fn killed_router_is_not_waited_for_once_the_engine_has_read_what_others_sent_later() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let now = START + Millis(1_500);
    tracker.on_progress(now, &node(1, 2), report(departures.revision(), None));
    tracker.on_reads(now, read(now, START + Millis(1_000)));
    let state = state_at(&mut tracker, now, &departures);
    assert_eq!(state, Quiescence::Disconnected(node(1, 1)));
    tracker.on_reads(now, read(now, START + Millis(1_001)));
    assert_eq!(state_at(&mut tracker, now, &departures), Quiescence::Quiescent);
}

#[test]
fn lost_router_is_waited_for_shortly_if_most_are_connected_and_nothing_of_them_is_unread() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    let lost_at = START + Millis(3_000);
    tracker.on_heard(START, &node(1, 1));
    tracker.on_progress(lost_at, &node(2, 1), report(departures.revision(), None));
    let state = state_at(&mut tracker, Timestamp(lost_at.0 - 1), &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
    let state = state_at(&mut tracker, lost_at, &departures);
    assert_eq!(state, Quiescence::Disconnected(node(1, 1)), "one of two");
    tracker.on_progress(lost_at, &node(3, 1), report(departures.revision(), Some(Millis(0))));
    assert_eq!(state_at(&mut tracker, lost_at, &departures), Quiescence::Unread(node(3, 1)));
    tracker.on_progress(lost_at, &node(3, 1), report(departures.revision(), None));
    assert_eq!(state_at(&mut tracker, lost_at, &departures), Quiescence::Quiescent);
}

#[test]
fn connected_router_is_waited_for_whatever_the_engine_has_read() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    tracker.on_heard(START, &node(1, 1));
    let now = START + Millis(2_500);
    tracker.on_reads(now, read(now, now));
    let state = state_at(&mut tracker, now, &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
}

#[test]
fn leader_that_has_just_started_acknowledges_nothing() {
    let (mut tracker, departures) = (QuiescenceTracker::new(START), departures(EngineState::Gone));
    let known_at = START + UNREAD_EXPIRY;
    let state = state_at(&mut tracker, Timestamp(known_at.0 - 1), &departures);
    assert_eq!(state, Quiescence::Recovering);
    assert_eq!(state_at(&mut tracker, known_at, &departures), Quiescence::Quiescent);
}

#[test]
fn leader_that_stood_still_or_was_cut_off_acknowledges_nothing() {
    for reaches_majority in [true, false] {
        let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
        let back_at = START + Millis(2_000);
        tracker.on_run(Timestamp(back_at.0 - 1), false);
        tracker.on_run(back_at, reaches_majority);
        let state = tracker.state(back_at, &ENGINE.into(), &departures);
        assert_eq!(state, Quiescence::Recovering);
    }
}

#[test]
fn restarted_process_waits_for_the_routers_that_another_one_has_heard() {
    let (mut other, departures) = (tracker(), departures(EngineState::Gone));
    other.on_heard(START, &node(1, 1));
    other.on_stopped(START, &node(2, 1), report(0, Some(Millis(500))));
    let restarted_at = START + Millis(1_000);
    other.on_run(restarted_at, true);
    let mut tracker = QuiescenceTracker::new(restarted_at);
    tracker.on_roll(restarted_at, other.roll(restarted_at).expect("covered"));
    let state = |tracker: &QuiescenceTracker, now| tracker.state(now, &ENGINE.into(), &departures);
    assert_eq!(state(&tracker, restarted_at), Quiescence::Unconfirmed(node(1, 1)));
    tracker.on_progress(restarted_at, &node(1, 1), report(departures.revision(), None));
    assert_eq!(state(&tracker, restarted_at), Quiescence::Unread(node(2, 1)));
    (0..10).for_each(|second| tracker.on_run(restarted_at + Millis(second * 1_000), true));
    assert_eq!(state(&tracker, START + UNREAD_EXPIRY), Quiescence::Quiescent);
}

#[test]
fn process_that_may_have_missed_a_router_tells_of_none() {
    let mut tracker = tracker();
    let cut_off_until = START + Millis(2_000);
    tracker.on_run(cut_off_until, false);
    assert_eq!(tracker.roll(cut_off_until), None);
}

#[test]
fn first_departures_of_a_new_fleet_are_acknowledged_at_once() {
    let departures = departures(EngineState::Gone);
    let mut tracker = QuiescenceTracker::new(START);
    tracker.on_new_fleet();
    tracker.on_progress(START, &node(1, 1), report(departures.revision(), None));
    assert_eq!(tracker.state(START, &ENGINE.into(), &departures), Quiescence::Quiescent);
}

#[test]
fn unread_request_that_a_router_reports_does_not_expire() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    for second in 0..60 {
        let (now, age) = (START + Millis(second * 1_000), Millis(second * 1_000));
        tracker.on_progress(now, &node(1, 1), report(departures.revision(), Some(age)));
        let state = state_at(&mut tracker, now, &departures);
        assert_eq!(state, Quiescence::Unread(node(1, 1)));
    }
}

#[test]
fn engine_that_returned_does_not_depart() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Ready));
    tracker.on_progress(START, &node(1, 1), report(departures.revision(), None));
    assert_eq!(state_at(&mut tracker, START, &departures), Quiescence::NotDeparting);
}

#[test]
fn late_report_of_an_earlier_departure_confirms_nothing() {
    let (mut tracker, departures) = (tracker(), departures(EngineState::Gone));
    let revision = departures.revision();
    tracker.on_progress(START, &node(1, 1), report(revision - 1, None));
    let state = state_at(&mut tracker, START, &departures);
    assert_eq!(state, Quiescence::Unconfirmed(node(1, 1)));
    tracker.on_progress(START, &node(1, 1), report(revision, Some(Millis(10))));
    tracker.on_progress(START, &node(1, 1), report(revision - 1, None));
    let state = state_at(&mut tracker, START, &departures);
    assert_eq!(state, Quiescence::Unread(node(1, 1)));
}
