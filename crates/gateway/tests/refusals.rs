//! What callers are told by a refusal.

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use stackpost_gateway::{Refusal, retry_after_backoff};
use stackpost_types::Millis;

fn told(refusal: Refusal) -> (StatusCode, Option<String>) {
    let response = refusal.into_response();
    let retry_after = response.headers().get(RETRY_AFTER);
    let retry_after = retry_after.map(|value| value.to_str().expect("text").to_owned());
    (response.status(), retry_after)
}

#[test]
fn a_caller_is_told_to_come_back_when_there_may_be_tokens() {
    let exhausted = told(Refusal::BudgetExhausted);
    assert_eq!(exhausted, (StatusCode::TOO_MANY_REQUESTS, Some("0.500".into())));
    let out_of_reach = told(Refusal::BudgetUnavailable);
    assert_eq!(out_of_reach, (StatusCode::TOO_MANY_REQUESTS, Some("3.000".into())));
}

#[test]
fn a_caller_is_told_to_come_back_when_a_restarted_router_is_configured() {
    let told = told(Refusal::NotConfigured);
    assert_eq!(told, (StatusCode::SERVICE_UNAVAILABLE, Some("0.700".into())));
}

#[test]
fn statuses_that_promise_not_run_are_given_for_nothing_else() {
    for refusal in [Refusal::ResponseLost, Refusal::DeadlineExceededUnknown] {
        assert!(!refusal.is_not_run());
        assert_eq!(told(refusal).1, None);
    }
    assert!(Refusal::BudgetUnavailable.is_not_run());
}

#[test]
fn callers_whose_engines_all_rest_come_back_after_the_first_rest_and_not_together() {
    let soonest = Millis(3_000);
    let moments: std::collections::BTreeSet<Millis> =
        (0..1_000_u64).map(|lot| retry_after_backoff(soonest, lot)).collect();
    assert!(moments.iter().all(|moment| (soonest..Millis(3_500)).contains(moment)));
    assert!(moments.len() > 100, "spread over half a second");
    let rests = told(Refusal::EnginesBackingOff { retry_after: Millis(3_217) });
    assert_eq!(rests, (StatusCode::SERVICE_UNAVAILABLE, Some("3.217".into())));
    let quarantined = told(Refusal::CrashesEngines { retry_after: Millis(290_000) });
    assert_eq!(quarantined, (StatusCode::SERVICE_UNAVAILABLE, Some("290.000".into())));
    assert_eq!(
        retry_after_backoff(Millis(u64::MAX / 2), 7),
        Millis(30_000),
        "nobody stays away for ever"
    );
}
