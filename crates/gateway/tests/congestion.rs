//! When a router takes its own link for full.

use stackpost_gateway::congestion::Congestion;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(20);

/// Connections come up one after the other, each after `took_ms`. Returns the time afterwards.
fn connect(congestion: &Congestion, from: Instant, took_ms: u64, count: u32) -> Instant {
    for step in 0..count {
        congestion.on_connected(from + PAUSE * step, Duration::from_millis(took_ms));
    }
    from + PAUSE * count
}

#[test]
fn a_link_is_full_when_connections_are_slow_for_long() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 2, 100);
    let now = connect(&congestion, now, 400, 2);
    assert!(!congestion.is_congested(), "two slow connections say nothing");
    connect(&congestion, now, 200, 20);
    assert!(congestion.is_congested());
}

#[test]
fn the_first_connections_say_nothing() {
    let congestion = Congestion::default();
    connect(&congestion, Instant::now(), 400, 30);
    assert!(!congestion.is_congested());
}

#[test]
fn a_link_is_free_again_only_after_a_while() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 200, 60);
    assert!(congestion.is_congested());
    let now = connect(&congestion, now, 2, 70);
    assert!(congestion.is_congested(), "the mean has only just come down");
    let now = connect(&congestion, now, 40, 20);
    let now = connect(&congestion, now, 2, 40);
    assert!(congestion.is_congested(), "the time counts from the last bad moment");
    connect(&congestion, now, 2, 60);
    assert!(!congestion.is_congested());
}

#[test]
fn a_distant_engine_is_no_full_link() {
    let congestion = Congestion::default();
    connect(&congestion, Instant::now(), 40, 500);
    assert!(!congestion.is_congested());
}
