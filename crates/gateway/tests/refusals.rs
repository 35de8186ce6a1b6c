//! Responses to refused requests.

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use stackpost_gateway::{Refusal, retry_after_backoff};
use stackpost_types::Millis;

fn status_and_delay(refusal: Refusal) -> (StatusCode, Option<String>) {
    let response = refusal.into_response();
    let retry_after = response.headers().get(RETRY_AFTER);
    let retry_after = retry_after.map(|value| value.to_str().expect("text").to_owned());
    (response.status(), retry_after)
}

#[test]
fn budget_refusals_state_when_tokens_may_be_available() {
    let exhausted = status_and_delay(Refusal::BudgetExhausted);
    assert_eq!(exhausted, (StatusCode::TOO_MANY_REQUESTS, Some("0.500".into())));
    let out_of_reach = status_and_delay(Refusal::BudgetUnavailable);
    assert_eq!(out_of_reach, (StatusCode::TOO_MANY_REQUESTS, Some("3.000".into())));
}

#[test]
fn unconfigured_router_states_when_to_retry() {
    let status_and_delay = status_and_delay(Refusal::NotConfigured);
    assert_eq!(status_and_delay, (StatusCode::SERVICE_UNAVAILABLE, Some("0.700".into())));
}

#[test]
fn not_run_statuses_never_cover_requests_that_may_have_run() {
    for refusal in [Refusal::ResponseLost, Refusal::DeadlineExceededUnknown] {
        assert!(!refusal.is_not_run());
        assert_eq!(status_and_delay(refusal).1, None);
    }
    assert!(Refusal::BudgetUnavailable.is_not_run());
}

#[test]
fn retries_after_a_backoff_are_spread() {
    let soonest = Millis(3_000);
    let delays: std::collections::BTreeSet<Millis> =
        (0..1_000_u64).map(|tie_breaker| retry_after_backoff(soonest, tie_breaker)).collect();
    assert!(delays.iter().all(|delay| (soonest..Millis(3_500)).contains(delay)));
    assert!(delays.len() > 100, "retries must be spread over half a second");
    let backing_off = status_and_delay(Refusal::EnginesBackingOff { retry_after: Millis(3_217) });
    assert_eq!(backing_off, (StatusCode::SERVICE_UNAVAILABLE, Some("3.217".into())));
    let quarantined = status_and_delay(Refusal::CrashesEngines { retry_after: Millis(290_000) });
    assert_eq!(quarantined, (StatusCode::SERVICE_UNAVAILABLE, Some("290.000".into())));
    assert_eq!(retry_after_backoff(Millis(u64::MAX / 2), 7), Millis(30_000), "the delay is capped");
}
