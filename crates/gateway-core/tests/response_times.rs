//! The longest response of a route, over a sliding window.

use stackpost_gateway_core::ResponseTimes;
use stackpost_types::{Millis, RouteName, Timestamp};

fn times_of(responses: &[(u64, u64)]) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for (at, took) in responses {
        times.on_response(Timestamp(*at), &RouteName::new("route"), Millis(*took));
    }
    times
}

#[test]
fn longest_response_is_known_after_several() {
    let route = RouteName::new("route");
    let mut responses = vec![(100_000, 300); 7];
    assert_eq!(times_of(&responses).longest(Timestamp(100_001), &route), None);
    responses.push((100_000, 900));
    let times = times_of(&responses);
    assert_eq!(times.longest(Timestamp(100_001), &route), Some(Millis(900)));
    assert_eq!(times.longest(Timestamp(100_001), &RouteName::new("other")), None);
}

#[test]
fn old_responses_are_forgotten() {
    let route = RouteName::new("route");
    let mut responses = vec![(100_000, 900); 8];
    responses.extend([(131_000, 300); 8]);
    let mut times = times_of(&responses);
    assert_eq!(times.longest(Timestamp(131_000), &route), Some(Millis(900)));
    assert_eq!(times.longest(Timestamp(162_000), &route), Some(Millis(300)));
    assert_eq!(times.longest(Timestamp(200_000), &route), None);
    times.remove_expired(Timestamp(200_000));
    assert_eq!(times.longest(Timestamp(131_000), &route), None);
}
