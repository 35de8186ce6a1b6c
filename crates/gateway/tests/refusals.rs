//! What callers are told by a refusal.

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use stackpost_gateway::Refusal;

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
    let out_of_reach = told(Refusal::BudgetOutOfReach);
    assert_eq!(out_of_reach, (StatusCode::TOO_MANY_REQUESTS, Some("3.000".into())));
}

#[test]
fn a_caller_is_told_to_come_back_when_a_restarted_router_is_configured() {
    let told = told(Refusal::NotConfigured);
    assert_eq!(told, (StatusCode::SERVICE_UNAVAILABLE, Some("0.700".into())));
}

#[test]
fn statuses_that_promise_not_run_are_given_for_nothing_else() {
    for refusal in [Refusal::AnswerLost, Refusal::TimeOverUnknown] {
        assert!(!refusal.is_not_run());
        assert_eq!(told(refusal).1, None);
    }
    assert!(Refusal::BudgetOutOfReach.is_not_run());
}
