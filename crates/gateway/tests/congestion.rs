//! Detection of congestion on the router's own network link.

use stackpost_gateway::congestion::Congestion;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(20);

/// Establishes connections one after the other, each after `took_ms`. Returns the time afterwards.
fn connect(congestion: &Congestion, from: Instant, took_ms: u64, count: u32) -> Instant {
    for step in 0..count {
        congestion.on_connected(from + PAUSE * step, Duration::from_millis(took_ms));
    }
    from + PAUSE * count
}

#[test]
fn sustained_slow_connections_mean_congestion() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 2, 100);
    let now = connect(&congestion, now, 400, 2);
    assert!(!congestion.is_congested(now), "two slow connections are not enough");
    let now = connect(&congestion, now, 200, 20);
    assert!(congestion.is_congested(now));
}

#[test]
fn first_connections_never_mean_congestion() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 400, 30);
    assert!(!congestion.is_congested(now));
}

#[test]
fn congestion_ends_without_new_connections() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 200, 60);
    assert!(congestion.is_congested(now));
    assert!(congestion.is_congested(now + Duration::from_secs(9)));
    assert!(!congestion.is_congested(now + Duration::from_secs(10)));
}

#[test]
fn congestion_time_counts_from_the_last_slow_connection() {
    let congestion = Congestion::default();
    let start = Instant::now();
    let now = connect(&congestion, start, 200, 700);
    assert!(now > start + Duration::from_secs(13));
    assert!(congestion.is_congested(now), "the link was congested until now");
    let now = connect(&congestion, now, 2, 400);
    assert!(congestion.is_congested(now), "after 8 s of fast connections");
    let now = connect(&congestion, now, 2, 200);
    assert!(!congestion.is_congested(now));
}

#[test]
fn distant_engines_do_not_mean_congestion() {
    let congestion = Congestion::default();
    let now = connect(&congestion, Instant::now(), 40, 500);
    assert!(!congestion.is_congested(now));
}
