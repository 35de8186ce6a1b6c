//! Loans among routers: whom to ask, and what becomes of them when connections break.

use stackpost_gateway::loans::{Loan, Loans};
use stackpost_mesh::LinkId;
use stackpost_types::{TenantName, Timestamp, Tokens};
use std::collections::BTreeSet;
use tokio::sync::oneshot;

const NOW: Timestamp = Timestamp(5_000);

fn link(number: u64) -> LinkId {
    LinkId::numbered(number)
}

fn peers(numbers: &[u64]) -> BTreeSet<LinkId> {
    numbers.iter().copied().map(link).collect()
}

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn ask(loans: &Loans) -> oneshot::Receiver<Option<Loan>> {
    let (reply, answer) = oneshot::channel();
    loans.ask(tenant(), Tokens(70), reply);
    answer
}

#[test]
fn one_router_after_the_other_is_asked_until_one_lends() {
    let loans = Loans::default();
    let mut answer = ask(&loans);
    let first = loans.questions(NOW, &peers(&[1, 2]), false);
    assert_eq!((first.len(), first[0].to, first[0].amount), (1, link(1), Tokens(70)));
    assert!(loans.questions(NOW, &peers(&[1, 2]), false).is_empty(), "one question at a time");
    assert_eq!(loans.on_reply(NOW, link(1), first[0].token, false), None);
    let second = loans.questions(NOW, &peers(&[1, 2]), false);
    assert_eq!(second[0].to, link(2));
    assert_eq!(loans.on_reply(NOW, link(2), second[0].token, true), None);
    let loan = answer.try_recv().expect("answered").expect("lent");
    assert_eq!(loan, Loan { lender: link(2), token: second[0].token });
}

#[test]
fn a_request_that_everyone_has_refused_gets_nothing() {
    let loans = Loans::default();
    let mut answer = ask(&loans);
    let question = loans.questions(NOW, &peers(&[1]), false).remove(0);
    loans.on_reply(NOW, link(1), question.token, false);
    assert!(loans.questions(NOW, &peers(&[1]), true).is_empty());
    assert!(answer.try_recv().is_err(), "a connection may still come up");
    assert!(loans.questions(NOW, &peers(&[1]), false).is_empty());
    assert_eq!(answer.try_recv(), Ok(None));
}

#[test]
fn a_loan_that_comes_too_late_is_given_back() {
    let loans = Loans::default();
    let answer = ask(&loans);
    let question = loans.questions(NOW, &peers(&[1]), false).remove(0);
    drop(answer);
    let unwanted = loans.on_reply(NOW, link(1), question.token, true);
    assert_eq!(unwanted, Some(Loan { lender: link(1), token: question.token }));
}

#[test]
fn a_question_lost_with_its_connection_goes_to_another_router() {
    let loans = Loans::default();
    let _answer = ask(&loans);
    assert_eq!(loans.questions(NOW, &peers(&[1]), false)[0].to, link(1));
    loans.on_down(link(1));
    assert_eq!(loans.questions(NOW, &peers(&[2]), false)[0].to, link(2));
}

#[test]
fn what_was_lent_over_a_broken_connection_counts_as_used_once() {
    let loans = Loans::default();
    loans.on_lent(link(1), 5, tenant(), Tokens(70));
    loans.on_lent(link(2), 5, tenant(), Tokens(30));
    assert_eq!(loans.on_settled(link(1), 5), Some((tenant(), Tokens(70))));
    assert_eq!(loans.on_settled(link(1), 5), None, "settled before");
    assert_eq!(loans.on_down(link(2)), vec![(tenant(), Tokens(30))]);
    assert_eq!(loans.on_settled(link(2), 5), None, "the lender has kept the most");
}

#[test]
fn who_has_lent_last_is_asked_first() {
    let loans = Loans::default();
    let _first = ask(&loans);
    let question = loans.questions(NOW, &peers(&[1, 2, 3]), false).remove(0);
    loans.on_reply(NOW, link(1), question.token, false);
    let question = loans.questions(NOW, &peers(&[1, 2, 3]), false).remove(0);
    loans.on_reply(NOW, link(2), question.token, true);
    let _second = ask(&loans);
    assert_eq!(loans.questions(NOW, &peers(&[1, 2, 3]), false)[0].to, link(2));
    loans.on_down(link(2));
    let later = Timestamp(NOW.0 + 1_000);
    assert_eq!(loans.questions(later, &peers(&[1, 3]), false)[0].to, link(1));
}

#[test]
fn who_has_just_refused_is_not_asked_for_as_much_again() {
    let loans = Loans::default();
    let mut first = ask(&loans);
    let question = loans.questions(NOW, &peers(&[1]), false).remove(0);
    loans.on_reply(NOW, link(1), question.token, false);
    loans.questions(NOW, &peers(&[1]), false);
    assert_eq!(first.try_recv(), Ok(None));

    let mut second = ask(&loans);
    assert!(loans.questions(NOW, &peers(&[1]), false).is_empty());
    assert_eq!(second.try_recv(), Ok(None), "refused at once, without a message");

    let (reply, _answer) = oneshot::channel();
    loans.ask(tenant(), Tokens(69), reply);
    assert_eq!(loans.questions(NOW, &peers(&[1]), false).len(), 1, "it asks for less");
    let _third = ask(&loans);
    let later = Timestamp(NOW.0 + 150);
    assert_eq!(loans.questions(later, &peers(&[1]), false).len(), 1, "some time has passed");
}
