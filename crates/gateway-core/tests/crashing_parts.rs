//! Parts of prompts under which engines crash, at one router and in the fleet's quarantine.

use stackpost_gateway_core::{
    CrashSighting, CrashTracker, Fingerprint, Quarantine, QuarantineChange, QuarantineNotice,
};
use stackpost_types::{Millis, Timestamp};

const NOW: Timestamp = Timestamp(100_000);
/// Later than a success counts.
const MUCH_LATER: Timestamp = Timestamp(120_000);
const CONNECTED: bool = true;

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(id)
}

fn sighting(suspect: Fingerprint, engine: usize) -> CrashSighting {
    CrashSighting { suspect, engine: format!("e{engine}").as_str().into() }
}

/// Reports three crashes under requests that hold both parts.
fn crash_three_engines(tracker: &mut CrashTracker, now: Timestamp, parts: [&str; 2]) {
    for engine in 0..3 {
        for id in parts {
            tracker.on_engine_crash(now, sighting(part(id), engine));
        }
    }
}

#[test]
fn part_that_others_finish_with_is_not_quarantined_with_the_harmful_one() {
    let mut tracker = CrashTracker::default();
    tracker.on_request_succeeded(NOW, &part("system"));
    crash_three_engines(&mut tracker, NOW, ["system", "harmful"]);
    assert!(tracker.is_quarantined(NOW, &part("harmful"), CONNECTED));
    assert!(!tracker.is_quarantined(NOW, &part("system"), CONNECTED));
}

#[test]
fn success_after_the_crashes_lifts_the_quarantine_of_a_part() {
    let mut tracker = CrashTracker::default();
    crash_three_engines(&mut tracker, NOW, ["system", "harmful"]);
    assert!(tracker.is_quarantined(NOW, &part("system"), CONNECTED));
    tracker.on_request_succeeded(NOW, &part("system"));
    assert!(!tracker.is_quarantined(NOW, &part("system"), CONNECTED));
    let report = tracker.take_report(NOW).expect("a report");
    assert!(report.seen.iter().all(|(sighting, _)| sighting.suspect == part("harmful")));
}

#[test]
fn success_of_long_ago_does_not_protect_a_part() {
    let mut tracker = CrashTracker::default();
    tracker.on_request_succeeded(NOW, &part("harmful"));
    crash_three_engines(&mut tracker, MUCH_LATER, ["other", "harmful"]);
    assert!(tracker.is_quarantined(MUCH_LATER, &part("harmful"), CONNECTED));
}

#[test]
fn router_that_saw_a_listed_part_succeed_tells_the_leader() {
    let mut quarantine = Quarantine::default();
    let crashes = (0..3).map(|engine| sighting(part("system"), engine)).collect();
    quarantine.apply(QuarantineChange::CrashesSeen(crashes));
    let mut tracker = CrashTracker::default();
    tracker.on_request_succeeded(NOW, &part("system"));
    assert!(tracker.on_notice(NOW, quarantine.notice()));
    assert!(!tracker.is_quarantined(NOW, &part("system"), CONNECTED));
    assert_eq!(tracker.take_report(NOW).expect("a report").cleared, [part("system")]);
}

#[test]
fn each_part_is_reported_once_for_an_engine() {
    let mut tracker = CrashTracker::default();
    for _ in 0..60 {
        tracker.on_engine_crash(NOW, sighting(part("system"), 1));
    }
    assert_eq!(tracker.take_report(NOW).expect("a report").seen.len(), 1);
}

/// The notice that the leader sends once three engines have crashed under each of these parts.
fn notice(parts: &[&str]) -> QuarantineNotice {
    let mut quarantine = Quarantine::default();
    let of_part = |id: &&str| {
        let suspect = part(id);
        (0..3).map(move |engine| sighting(suspect, engine))
    };
    let crashes = parts.iter().flat_map(of_part).collect();
    quarantine.apply(QuarantineChange::CrashesSeen(crashes));
    quarantine.notice()
}

/// Times of the trials that begin if a request with these parts arrives every 100 ms for 20 s.
fn trials(tracker: &mut CrashTracker, parts: &[&str]) -> Vec<u64> {
    let parts: Vec<Fingerprint> = parts.iter().map(|id| part(id)).collect();
    let times = (0..200).map(|number| NOW + Millis(number * 100));
    let begins = times.filter(|now| tracker.begin_trial(*now, &parts));
    begins.map(|at| at.since(NOW).0).collect()
}

#[test]
fn some_of_the_quarantined_parts_are_tried_twice() {
    let mut tracker = CrashTracker::default();
    tracker.on_notice(NOW, notice(&["system", "harmful"]));
    assert_eq!(trials(&mut tracker, &["system"]), [300, 1_300]);
}

#[test]
fn request_with_all_quarantined_parts_is_no_trial() {
    let mut tracker = CrashTracker::default();
    tracker.on_notice(NOW, notice(&["system", "harmful"]));
    assert_eq!(trials(&mut tracker, &["system", "harmful"]), []);
    let mut alone = CrashTracker::default();
    alone.on_notice(NOW, notice(&["harmful"]));
    assert_eq!(trials(&mut alone, &["harmful"]), []);
}

#[test]
fn successful_trial_lifts_the_quarantine_of_the_sound_part_alone() {
    let mut tracker = CrashTracker::default();
    tracker.on_notice(NOW, notice(&["system", "harmful"]));
    let later = NOW + Millis(400);
    assert!(tracker.begin_trial(later, &[part("system")]));
    tracker.on_request_succeeded(later, &part("system"));
    assert!(!tracker.is_quarantined(later, &part("system"), CONNECTED));
    assert!(tracker.is_quarantined(later, &part("harmful"), CONNECTED));
    assert_eq!(tracker.take_report(later).expect("a report").cleared, [part("system")]);
}
