//! Requests whose bodies arrive late in a planned stop.

use crate::support::*;
use std::time::Duration;

/// Time after which a stopping router cuts off what is under way.
const LIMIT: Duration = Duration::from_millis(7_300);
/// When the rest of the body arrives.
const LATE: Duration = Duration::from_millis(4_000);

/// Sends a request, the last bytes of its body late in a planned stop of the router.
async fn ask_across_the_stop(fleet: &Fleet, headers: &str) -> RawResponse {
    let headers = format!("content-length: 8\r\n{headers}");
    let mut caller = RawCaller::send(fleet.callers, "/once/1", "slow", &headers).await;
    caller.write(b"some").await;
    wait_until(|| fleet.server.requests_under_way() == 1).await;
    fleet.router.begin_drain(LIMIT);
    fleet.clock.simulate_suspend(LATE);
    caller.write(b"body").await;
    caller.read_rest().await
}

/// Guards against a request that is passed on and then cut off at the end of a planned stop.
#[test]
fn request_that_may_outlast_a_planned_stop_is_not_passed_on() {
    run_local(async {
        let fleet = Fleet::start().await;
        let response = ask_across_the_stop(&fleet, "").await;
        assert!(response.head.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.body.contains("not_run"), "{response:?}");
        assert_eq!(fleet.runs(), 0);
    });
}

/// Guards against a caller that does not receive its refusal because it is still sending.
#[test]
fn caller_that_is_still_sending_receives_its_refusal() {
    run_local(async {
        let fleet = Fleet::start().await;
        let headers = "content-length: 800\r\n";
        let mut caller = RawCaller::send(fleet.callers, "/once/1", "slow", headers).await;
        caller.write(b"some").await;
        wait_until(|| fleet.server.requests_under_way() == 1).await;
        fleet.router.begin_drain(LIMIT);
        fleet.clock.simulate_suspend(LATE);
        caller.write(b"more").await;
        wait_until(|| fleet.server.requests_under_way() == 0).await;
        for _ in 0..100 {
            caller.write(b"the rest").await;
        }
        let response = caller.read_rest().await;
        assert!(response.head.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.is_whole, "{response:?}");
    });
}

#[test]
fn request_whose_route_responds_in_time_is_served_late_in_a_planned_stop() {
    run_local(async {
        let fleet = Fleet::start().await;
        for number in 0..8 {
            assert_eq!(fleet.ask("/once/1", &format!("quick-{number}")).await.status, 200);
        }
        let response = ask_across_the_stop(&fleet, "").await;
        assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(fleet.runs(), 9);
    });
}

#[test]
fn request_whose_deadline_is_before_the_end_is_served_late_in_a_planned_stop() {
    run_local(async {
        let fleet = Fleet::start().await;
        let response = ask_across_the_stop(&fleet, "wait: 6500\r\n").await;
        assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}
