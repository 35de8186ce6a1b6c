//! Which requests are quarantined after crashes of engines, and which are not.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::{BackEndName, Millis, Timestamp};

const DISCONNECTED: bool = false;
const CONNECTED: bool = true;

fn request(number: u64) -> Fingerprint {
    let path = format!("/{number}");
    Fingerprint::of_request(&RequestContent {
        method: "POST",
        host: "ferry.example",
        path: &path,
        tenant: None,
        body: b"",
    })
}

fn engine(number: usize) -> BackEndName {
    BackEndName::new(format!("e{number}"))
}

fn sighting(of_request: u64, at_engine: usize) -> CrashSighting {
    CrashSighting { suspect: request(of_request), engine: engine(at_engine) }
}

fn record_sighting(quarantine: &mut Quarantine, of_request: u64, at_engine: usize) {
    quarantine.apply(QuarantineChange::CrashesSeen(vec![sighting(of_request, at_engine)]));
}

#[test]
fn three_crashes_quarantine_a_request_but_no_bystander() {
    let mut quarantine = Quarantine::default();
    for at_engine in 0..CRASHES_TO_QUARANTINE {
        assert!(!quarantine.is_quarantined(&request(1)));
        record_sighting(&mut quarantine, 1, at_engine);
        // Each crash has another bystander, and one bystander is present at two of them.
        record_sighting(&mut quarantine, 100 + at_engine as u64, at_engine);
        if at_engine > 0 {
            record_sighting(&mut quarantine, 2, at_engine);
        }
    }
    let notice = quarantine.notice();
    assert_eq!(notice.quarantined.into_iter().collect::<Vec<_>>(), [request(1)]);
    assert_eq!(notice.suspected.into_iter().collect::<Vec<_>>(), [request(2)]);
}

#[test]
fn the_same_engine_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        record_sighting(&mut quarantine, 1, 0);
    }
    assert!(!quarantine.is_quarantined(&request(1)));
}

#[test]
fn sightings_at_an_engine_that_still_runs_are_revoked() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| record_sighting(&mut quarantine, 1, at_engine));
    record_sighting(&mut quarantine, 2, 0);
    quarantine.apply(QuarantineChange::EngineAlive(engine(0)));
    assert!(!quarantine.is_quarantined(&request(1)));
    assert!(!quarantine.has_crashes_of(&engine(0)));
    assert!(quarantine.has_crashes_of(&engine(1)));
    assert!(quarantine.suspect(&request(2)).is_none());
}

#[test]
fn a_successful_request_is_cleared() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| record_sighting(&mut quarantine, 1, at_engine));
    quarantine.apply(QuarantineChange::Cleared(vec![request(1)]));
    assert!(quarantine.is_empty());
}

#[test]
fn one_crash_after_a_release_doubles_the_quarantine() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| record_sighting(&mut quarantine, 1, at_engine));
    let time = |quarantine: &Quarantine| {
        quarantine.suspect(&request(1)).expect("the request is a suspect").quarantine_time()
    };
    let first = time(&quarantine);
    quarantine.apply(QuarantineChange::Released(vec![request(1)]));
    assert!(!quarantine.is_quarantined(&request(1)));
    record_sighting(&mut quarantine, 1, 9);
    assert!(quarantine.is_quarantined(&request(1)));
    assert_eq!(time(&quarantine), Millis(2 * first.0));
}

#[test]
fn suspects_are_bounded_and_quarantined_ones_evicted_last() {
    let mut quarantine = Quarantine::default();
    (0..CRASHES_TO_QUARANTINE).for_each(|at_engine| record_sighting(&mut quarantine, 0, at_engine));
    for other in 1..3 * MAX_SUSPECTS as u64 {
        record_sighting(&mut quarantine, other, 0);
    }
    assert_eq!(quarantine.suspects().count(), MAX_SUSPECTS);
    assert!(quarantine.is_quarantined(&request(0)));
    assert!(quarantine.suspect(&request(1)).is_none(), "the oldest is evicted first");
}

#[test]
fn three_own_sightings_quarantine_a_request_for_a_short_time() {
    let mut tracker = CrashTracker::default();
    let at = |milliseconds| Timestamp(milliseconds);
    for at_engine in 0..CRASHES_TO_QUARANTINE {
        assert!(!tracker.is_quarantined(at(1_000), &request(1), DISCONNECTED));
        tracker.on_engine_crash(at(1_000), sighting(1, at_engine));
    }
    assert!(tracker.is_quarantined(at(1_000), &request(1), DISCONNECTED));
    assert!(!tracker.is_quarantined(at(1_000), &request(2), DISCONNECTED));
    assert!(
        !tracker.is_quarantined(at(11_000), &request(1), DISCONNECTED),
        "own sightings expire soon because the leader can't revoke them"
    );
    assert!(!tracker.is_quarantined(at(61_000), &request(1), DISCONNECTED));
    assert!(!tracker.has_suspects() && !tracker.has_quarantine_candidates());
}

#[test]
fn a_router_reports_its_sightings_after_a_partition() {
    let mut tracker = CrashTracker::default();
    tracker.on_engine_crash(Timestamp(1_000), sighting(1, 0));
    tracker.on_new_leader(Timestamp(41_000));
    let report =
        tracker.take_report(Timestamp(41_000)).expect("the sighting is kept for the leader");
    assert_eq!(report.seen, [(sighting(1, 0), Millis(40_000))]);
}

#[test]
fn sightings_are_reported_again_to_a_new_leader() {
    let mut tracker = CrashTracker::default();
    tracker.on_engine_crash(Timestamp(1_000), sighting(1, 0));
    tracker.on_engine_crash(Timestamp(1_200), sighting(2, 0));
    let report = tracker.take_report(Timestamp(1_300)).expect("a report is due");
    assert_eq!(report.seen, [(sighting(1, 0), Millis(300)), (sighting(2, 0), Millis(100))]);
    assert_eq!(tracker.take_report(Timestamp(1_300)), None);
    tracker.on_new_leader(Timestamp(5_000));
    let report = tracker.take_report(Timestamp(5_000)).expect("the report is sent again");
    assert_eq!(report.seen, [(sighting(1, 0), Millis(4_000)), (sighting(2, 0), Millis(3_800))]);
}

#[test]
fn only_recent_sightings_are_resent() {
    let mut tracker = CrashTracker::default();
    tracker.on_engine_crash(Timestamp(1_000), sighting(1, 0));
    assert!(tracker.take_report(Timestamp(1_000)).is_some());
    tracker.resend_recent(Timestamp(3_000));
    assert!(tracker.take_report(Timestamp(3_000)).is_some(), "the first report may be lost");
    tracker.resend_recent(Timestamp(9_000));
    assert_eq!(tracker.take_report(Timestamp(9_000)), None);
}

#[test]
fn an_older_notice_is_ignored() {
    let mut tracker = CrashTracker::default();
    let notice = |revision, quarantined: &[u64]| QuarantineNotice {
        revision,
        quarantined: quarantined.iter().map(|number| request(*number)).collect(),
        ..QuarantineNotice::default()
    };
    tracker.on_notice(Timestamp(1_000), notice(7, &[1]));
    tracker.on_notice(Timestamp(1_000), notice(6, &[]));
    assert!(tracker.is_quarantined(Timestamp(1_000), &request(1), DISCONNECTED));
    tracker.on_notice(Timestamp(1_000), notice(8, &[]));
    assert!(!tracker.is_quarantined(Timestamp(1_000), &request(1), DISCONNECTED));
}

#[test]
fn only_a_successful_suspect_is_reported_and_only_once() {
    let (now, mut tracker) = (Timestamp(1_000), CrashTracker::default());
    tracker.on_engine_crash(now, sighting(1, 0));
    tracker.take_report(now);
    tracker.on_request_succeeded(now, &request(2));
    assert_eq!(tracker.take_report(now), None);
    tracker.on_request_succeeded(now, &request(1));
    assert_eq!(tracker.take_report(now).expect("a report is due").cleared, [request(1)]);
    tracker.on_request_succeeded(now, &request(1));
    assert_eq!(tracker.take_report(now), None);
}

#[test]
fn the_leaders_notice_is_decisive_while_connected() {
    let mut tracker = CrashTracker::default();
    (0..CRASHES_TO_QUARANTINE)
        .for_each(|at_engine| tracker.on_engine_crash(Timestamp(1_000), sighting(1, at_engine)));
    assert!(
        tracker.is_quarantined(Timestamp(2_999), &request(1), CONNECTED),
        "until the leader has the sightings"
    );
    assert!(
        !tracker.is_quarantined(Timestamp(3_000), &request(1), CONNECTED),
        "the leader's notice is decisive"
    );
    assert!(tracker.is_quarantined(Timestamp(3_000), &request(1), DISCONNECTED));
}

#[test]
fn a_recently_successful_request_is_cleared_and_reported() {
    let (now, mut tracker) = (Timestamp(1_000), CrashTracker::default());
    tracker.on_request_succeeded(now, &request(1));
    (0..CRASHES_TO_QUARANTINE)
        .for_each(|at_engine| tracker.on_engine_crash(now, sighting(1, at_engine)));
    assert_eq!(tracker.take_report(now), None, "there are no sightings of it");
    let notice = QuarantineNotice {
        revision: 3,
        quarantined: [request(1), request(2)].into(),
        ..QuarantineNotice::default()
    };
    assert!(tracker.on_notice(now, notice));
    assert!(
        !tracker.is_quarantined(now, &request(1), CONNECTED),
        "regardless of the sightings of others"
    );
    assert!(tracker.is_quarantined(now, &request(2), CONNECTED));
    assert_eq!(tracker.take_report(now).expect("a report is due").cleared, [request(1)]);
    assert!(
        tracker.is_quarantined(Timestamp(11_000), &request(1), CONNECTED),
        "the success has expired"
    );
}

/// Callers are given the end of the quarantine, and an early retry while the leader may still
/// revoke it.
#[test]
fn the_remaining_quarantine_is_returned() {
    let mut tracker = CrashTracker::default();
    let at = Timestamp;
    let remaining = |tracker: &mut CrashTracker, now, connected| {
        tracker.quarantine_remaining(at(now), &request(1), connected)
    };
    for (number, time) in [1_000, 1_400, 1_500].into_iter().enumerate() {
        assert_eq!(remaining(&mut tracker, time, CONNECTED), None);
        tracker.on_engine_crash(at(time), sighting(1, number));
    }
    assert_eq!(
        remaining(&mut tracker, 1_500, CONNECTED),
        Some(Millis(1_500)),
        "the first sighting counts until then"
    );
    assert_eq!(remaining(&mut tracker, 1_500, DISCONNECTED), Some(Millis(9_500)));
    let notice = |revision| QuarantineNotice {
        revision,
        quarantined: [request(1)].into(),
        ..QuarantineNotice::default()
    };
    tracker.on_notice(at(2_000), notice(1));
    assert_eq!(
        remaining(&mut tracker, 2_000, CONNECTED),
        Some(Millis(5_000)),
        "the leader may revoke it"
    );
    tracker.on_notice(at(9_000), notice(2));
    assert_eq!(
        remaining(&mut tracker, 12_000, CONNECTED),
        Some(Millis(290_000)),
        "counted from the first notice that lists it"
    );
    assert_eq!(
        remaining(&mut tracker, 310_000, CONNECTED),
        Some(Millis(5_000)),
        "it should be over"
    );
    tracker.on_notice(at(311_000), QuarantineNotice { revision: 3, ..QuarantineNotice::default() });
    assert_eq!(remaining(&mut tracker, 311_000, CONNECTED), None);
}

/// A listener may outlive the engine behind it, and the next incarnation may accept connections at
/// once.
#[test]
fn an_unconfirmed_crash_counts_once_a_newer_incarnation_starts() {
    let (now, mut tracker) = (Timestamp(1_000), CrashTracker::default());
    let incarnation = |number: usize, started_at_ms| {
        BackEndName::of_incarnation(&format!("e{number}"), Some(started_at_ms))
    };
    let interruption =
        |number| CrashSighting { suspect: request(1), engine: incarnation(number, 5) };
    (0..CRASHES_TO_QUARANTINE)
        .for_each(|number| tracker.on_unconfirmed_crash(now, interruption(number)));
    assert!(!tracker.is_quarantined(now, &request(1), CONNECTED));
    assert_eq!(tracker.take_report(now), None);
    for number in 0..CRASHES_TO_QUARANTINE {
        assert!(
            !tracker.on_incarnation_started(now, &incarnation(number, 5)),
            "this is the incarnation that was interrupted"
        );
        assert!(tracker.on_incarnation_started(now, &incarnation(number, 6)));
        assert!(
            !tracker.on_incarnation_started(now, &incarnation(number, 7)),
            "it is confirmed once"
        );
    }
    assert!(tracker.is_quarantined(now, &request(1), CONNECTED));
    assert_eq!(
        tracker.take_report(now).expect("a report is due").seen.len(),
        CRASHES_TO_QUARANTINE
    );
}

#[test]
fn unconfirmed_crashes_expire_or_end_with_a_success() {
    let mut tracker = CrashTracker::default();
    let incarnation = |started_at_ms| BackEndName::of_incarnation("e1", Some(started_at_ms));
    let interruption = CrashSighting { suspect: request(1), engine: incarnation(5) };
    tracker.on_unconfirmed_crash(Timestamp(1_000), interruption.clone());
    assert!(
        !tracker.on_incarnation_started(Timestamp(6_000), &incarnation(6)),
        "the interruption is too long ago"
    );
    tracker.on_unconfirmed_crash(Timestamp(7_000), interruption);
    tracker.on_request_succeeded(Timestamp(7_000), &request(1));
    assert!(
        !tracker.on_incarnation_started(Timestamp(7_000), &incarnation(6)),
        "the request has succeeded since"
    );
}

proptest! {
    /// Sightings may come from any router in any order, and more than once.
    #[test]
    fn the_order_of_sightings_does_not_matter(
        sightings in prop::collection::vec((0_u64..4, 0_usize..6), 0..30),
        duplicates in prop::collection::vec(0_usize..30, 0..10),
    ) {
        let mut forwards = Quarantine::default();
        sightings.iter().for_each(|(of, at)| record_sighting(&mut forwards, *of, *at));
        let mut backwards = Quarantine::default();
        sightings.iter().rev().for_each(|(of, at)| record_sighting(&mut backwards, *of, *at));
        for index in duplicates {
            if let Some((of, at)) = sightings.get(index) {
                record_sighting(&mut backwards, *of, *at);
            }
        }
        prop_assert!(forwards.notice().has_same_requests(&backwards.notice()));
    }

    /// `would_change` is true exactly if the change alters the suspects, so routers need no notice
    /// of other changes.
    #[test]
    fn would_change_is_exact(
        sightings in prop::collection::vec((0_u64..4, 0_usize..4), 0..20),
        next in (0_u64..4, 0_usize..4),
    ) {
        let mut quarantine = Quarantine::default();
        sightings.iter().for_each(|(of, at)| record_sighting(&mut quarantine, *of, *at));
        let change = QuarantineChange::CrashesSeen(vec![sighting(next.0, next.1)]);
        let before = quarantine.clone();
        let would_change = quarantine.would_change(&change);
        quarantine.apply(change);
        let same = before.suspects().eq(quarantine.suspects());
        prop_assert_eq!(would_change, !same);
    }
}

/// Guards against each router losing three engines of its own to the same request while no leader
/// is reachable, because the routers do not exchange their sightings.
#[test]
fn disconnected_routers_exchange_sightings() {
    let (now, request) = (Timestamp(10_000), request(1));
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    for engine in ["e1", "e2"] {
        first.on_engine_crash(now, CrashSighting { suspect: request, engine: engine.into() });
    }
    let sightings = first.take_peer_sightings(now + Millis(100));
    assert_eq!(sightings.len(), 2);
    assert!(first.take_peer_sightings(now + Millis(200)).is_empty(), "sightings are sent once");
    second.on_peer_sightings(now + Millis(300), sightings.clone());
    second.on_peer_sightings(now + Millis(300), sightings);
    assert!(
        !second.is_quarantined(now + Millis(300), &request, false),
        "only two engines have crashed"
    );
    second.on_engine_crash(
        now + Millis(400),
        CrashSighting { suspect: request, engine: "e3".into() },
    );
    assert!(second.is_quarantined(now + Millis(400), &request, false));
    let report = second.take_report(now + Millis(400)).expect("it has a sighting of its own");
    assert_eq!(report.seen.len(), 1, "only the router that saw a crash reports it");
    let sightings = second.take_peer_sightings(now + Millis(500));
    assert_eq!(sightings.len(), 1, "received sightings are not forwarded");
    first.on_request_succeeded(now + Millis(600), &request);
    first.on_peer_sightings(now + Millis(700), sightings);
    assert!(
        !first.is_quarantined(now + Millis(700), &request, false),
        "the request has succeeded at this router"
    );
}
