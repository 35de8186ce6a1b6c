//! Loans among routers: whom to ask, and what becomes of them when connections break.

use stackpost_coordinator::BorrowAnswer;
use stackpost_gateway::loans::{LenderLinks, Loan, LoanOutcome, LoanRequest, Loans};
use stackpost_mesh::LinkId;
use stackpost_types::{Millis, TenantName, Timestamp, Tokens};
use std::net::SocketAddr;
use tokio::sync::oneshot;

const NOW: Timestamp = Timestamp(5_000);
const WAIT: Millis = Millis(170);

fn link(number: u64) -> LinkId {
    LinkId::from_raw(number)
}

fn address(number: u64) -> SocketAddr {
    ([10, 0, 1, number as u8], 80).into()
}

/// Connections by the number of the router at the other end.
#[derive(Default)]
struct Links {
    up: Vec<u64>,
    coming_up: Vec<u64>,
}

impl LenderLinks for Links {
    fn link_to(&self, router: SocketAddr) -> Option<LinkId> {
        self.up.iter().find(|number| address(**number) == router).map(|number| link(*number))
    }

    fn is_connecting(&self, router: SocketAddr) -> bool {
        self.coming_up.iter().any(|number| address(*number) == router)
    }
}

fn up(numbers: &[u64]) -> Links {
    Links { up: numbers.to_vec(), coming_up: Vec::new() }
}

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn ask_for(loans: &Loans, amount: u64, lenders: &[u64]) -> oneshot::Receiver<LoanOutcome> {
    let (reply, answer) = oneshot::channel();
    loans.ask(LoanRequest {
        tenant: tenant(),
        amount: Tokens(amount),
        lenders: lenders.iter().copied().map(address).collect(),
        until: NOW + WAIT,
        reply,
    });
    answer
}

fn ask(loans: &Loans, lenders: &[u64]) -> oneshot::Receiver<LoanOutcome> {
    ask_for(loans, 70, lenders)
}

#[test]
fn lenders_are_asked_in_order_until_one_lends() {
    let loans = Loans::default();
    let mut answer = ask(&loans, &[2, 1]);
    let first = loans.outgoing_queries(NOW, &up(&[1, 2]));
    assert_eq!((first.len(), first[0].to, first[0].amount), (1, link(2), Tokens(70)));
    assert_eq!(first[0].wait, WAIT);
    assert!(loans.outgoing_queries(NOW, &up(&[1, 2])).is_empty(), "one question at a time");
    assert_eq!(loans.on_reply(NOW, link(2), first[0].token, BorrowAnswer::AskAnother), None);
    let second = loans.outgoing_queries(NOW + Millis(20), &up(&[1, 2]));
    assert_eq!((second[0].to, second[0].wait), (link(1), Millis(150)));
    assert_eq!(loans.on_reply(NOW, link(1), second[0].token, BorrowAnswer::Lent), None);
    let loan = Loan { lender: link(1), token: second[0].token };
    assert_eq!(answer.try_recv(), Ok(LoanOutcome::Lent(loan)));
}

#[test]
fn an_owner_to_whom_the_leader_hands_nothing_ends_the_search() {
    let loans = Loans::default();
    let mut answer = ask(&loans, &[1, 2]);
    let question = loans.outgoing_queries(NOW, &up(&[1, 2])).remove(0);
    loans.on_reply(NOW, link(1), question.token, BorrowAnswer::NotCovered);
    assert!(loans.outgoing_queries(NOW, &up(&[1, 2])).is_empty());
    assert_eq!(answer.try_recv(), Ok(LoanOutcome::NotCovered));
}

#[test]
fn a_request_that_everyone_has_refused_gets_nothing() {
    let loans = Loans::default();
    let mut answer = ask(&loans, &[1, 2]);
    let question = loans.outgoing_queries(NOW, &up(&[1])).remove(0);
    loans.on_reply(NOW, link(1), question.token, BorrowAnswer::AskAnother);
    let coming_up = Links { up: vec![1], coming_up: vec![2] };
    assert!(loans.outgoing_queries(NOW, &coming_up).is_empty());
    assert!(answer.try_recv().is_err(), "a connection may still come up");
    assert!(loans.outgoing_queries(NOW, &up(&[1])).is_empty());
    assert_eq!(answer.try_recv(), Ok(LoanOutcome::NoLender));
}

#[test]
fn a_loan_that_comes_too_late_is_given_back() {
    let loans = Loans::default();
    let answer = ask(&loans, &[1]);
    let question = loans.outgoing_queries(NOW, &up(&[1])).remove(0);
    drop(answer);
    let unwanted = loans.on_reply(NOW, link(1), question.token, BorrowAnswer::Lent);
    assert_eq!(unwanted, Some(Loan { lender: link(1), token: question.token }));
}

#[test]
fn a_loan_that_comes_after_its_request_was_forgotten_is_given_back() {
    let loans = Loans::default();
    drop(ask(&loans, &[1]));
    let question = loans.outgoing_queries(NOW, &up(&[1])).remove(0);
    assert_eq!(
        loans.remove_abandoned(NOW + Millis(10)),
        [],
        "it may have been the request's own haste"
    );
    let unwanted = loans.on_reply(NOW, link(1), question.token, BorrowAnswer::Lent);
    assert_eq!(unwanted, Some(Loan { lender: link(1), token: question.token }));
}

#[test]
fn a_lender_that_lets_a_request_wait_in_vain_is_named() {
    let loans = Loans::default();
    let answer = ask(&loans, &[1]);
    loans.outgoing_queries(NOW, &up(&[1]));
    assert_eq!(loans.remove_abandoned(NOW + WAIT), [], "the request still waits");
    drop(answer);
    assert_eq!(loans.remove_abandoned(NOW + WAIT), [address(1)]);
    assert!(!loans.has_pending());
}

#[test]
fn a_question_lost_with_its_connection_goes_to_another_router() {
    let loans = Loans::default();
    let _answer = ask(&loans, &[1, 2]);
    assert_eq!(loans.outgoing_queries(NOW, &up(&[1, 2]))[0].to, link(1));
    loans.on_link_down(link(1));
    assert_eq!(loans.outgoing_queries(NOW, &up(&[2]))[0].to, link(2));
}

#[test]
fn what_was_lent_over_a_broken_connection_counts_as_used_once() {
    let loans = Loans::default();
    loans.on_lent(link(1), 5, tenant(), Tokens(70));
    loans.on_lent(link(2), 5, tenant(), Tokens(30));
    assert_eq!(loans.on_settled(link(1), 5), Some((tenant(), Tokens(70))));
    assert_eq!(loans.on_settled(link(1), 5), None, "settled before");
    assert_eq!(loans.on_link_down(link(2)), vec![(tenant(), Tokens(30))]);
    assert_eq!(loans.on_settled(link(2), 5), None, "the lender has kept the most");
}

#[test]
fn who_has_just_refused_is_not_asked_for_as_much_again() {
    let loans = Loans::default();
    let mut first = ask(&loans, &[1]);
    let question = loans.outgoing_queries(NOW, &up(&[1])).remove(0);
    loans.on_reply(NOW, link(1), question.token, BorrowAnswer::AskAnother);
    loans.outgoing_queries(NOW, &up(&[1]));
    assert_eq!(first.try_recv(), Ok(LoanOutcome::NoLender));

    let mut second = ask(&loans, &[1]);
    assert!(loans.outgoing_queries(NOW, &up(&[1])).is_empty());
    assert_eq!(second.try_recv(), Ok(LoanOutcome::NoLender), "at once, without a message");

    let _less = ask_for(&loans, 69, &[1]);
    assert_eq!(loans.outgoing_queries(NOW, &up(&[1])).len(), 1, "it asks for less");
    let _third = ask(&loans, &[1]);
    let later = NOW + Millis(150);
    assert_eq!(loans.outgoing_queries(later, &up(&[1])).len(), 1, "some time has passed");
}
