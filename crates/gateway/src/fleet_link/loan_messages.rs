//! Sends and handles the messages of loans between routers; [`crate::loans`] decides which lender
//! to ask.

use super::FleetLink;
use crate::loans::{LenderLinks, Loan, LoanCommand, LoanRequest};
use crate::reservation;
use stackpost_coordinator::{BorrowResult, FleetMessage};
use stackpost_mesh::LinkId;
use stackpost_types::{Millis, NodeId, TenantName, Tokens};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time within which a connection to another router is established if the router is reachable.
const CONNECT_TIME: Duration = Duration::from_millis(60);

impl LenderLinks for FleetLink {
    fn link_to(&self, router: SocketAddr) -> Option<LinkId> {
        let links = self.peer_links.borrow();
        links.iter().rev().find(|(_, address)| **address == router).map(|(link, _)| *link)
    }

    fn is_connecting(&self, router: SocketAddr) -> bool {
        let dialed_at = self.lenders_dialed.borrow().get(&router).copied();
        dialed_at.is_some_and(|at| at.elapsed() < CONNECT_TIME)
    }
}

impl FleetLink {
    pub(super) fn on_loan_command(self: &Rc<Self>, command: LoanCommand) {
        match command {
            LoanCommand::Ask(request) => {
                self.dial_lenders(&request);
                self.hedge_later(&request);
                self.loans.ask(request);
                self.send_loan_queries();
            }
            LoanCommand::Settle { loan, used } => self.settle(loan, used),
        }
    }

    /// Dials lenders without a connection, and retries the queries when the connection should be
    /// established.
    fn dial_lenders(self: &Rc<Self>, request: &LoanRequest) {
        let mut dialed = self.lenders_dialed.borrow_mut();
        let is_new = |lender: &&SocketAddr| {
            !dialed.contains_key(*lender) && self.link_to(**lender).is_none()
        };
        let new: Vec<SocketAddr> = request.lenders.iter().filter(is_new).copied().collect();
        for lender in &new {
            self.mesh.dial(*lender);
            dialed.insert(*lender, Instant::now());
        }
        if !new.is_empty() {
            let link = self.clone();
            tokio::task::spawn_local(async move {
                sleep(CONNECT_TIME).await;
                link.send_loan_queries();
            });
        }
    }

    /// Sends the query to a second lender when the first has not replied in time.
    fn hedge_later(self: &Rc<Self>, request: &LoanRequest) {
        let Some(after) = request.hedge_after.filter(|_| request.lenders.len() > 1) else {
            return;
        };
        let link = self.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(after.0)).await;
            link.send_loan_queries();
        });
    }

    /// Stops dialing routers that have left the fleet.
    pub(super) fn stop_dialing_removed(&self, others: &[SocketAddr]) {
        self.lenders_dialed.borrow_mut().retain(|lender, _| {
            let is_member = others.contains(lender);
            if !is_member {
                self.mesh.stop_dialing(*lender);
            }
            is_member
        });
    }

    /// Sends the loan queries of requests, and skips lenders that have not replied.
    pub(super) fn send_loan_queries(&self) {
        let now = self.router.now();
        for lender in self.remove_abandoned_loans() {
            log::info!(lender = lender.to_string().as_str(); "no answer from a lender");
            self.router.account_owners.borrow_mut().on_no_response(now, lender);
        }
        for query in self.loans.outgoing_queries(now, self) {
            if query.is_hedge {
                self.router.metrics.on_loan_hedged();
            }
            let (token, tenant, amount) = (query.token, query.tenant, query.amount);
            let message = FleetMessage::Borrow { token, tenant, amount, wait: query.wait };
            self.mesh.send(query.to, &message);
        }
    }

    /// Removes requests that no longer wait. Returns the lenders that count as unresponsive.
    fn remove_abandoned_loans(&self) -> Vec<SocketAddr> {
        let now = self.router.now();
        if !self.router.load_settings().accounts_by_demand {
            return self.loans.remove_abandoned(now);
        }
        let unresponsive = self.loans.remove_unresponsive(now);
        // The delay of a crowded machine looks like the silence of its lenders.
        if self.router.is_crowded() { Vec::new() } else { unresponsive }
    }

    fn settle(&self, loan: Loan, used: Tokens) {
        if let Some(link) = self.loan_peers.borrow_mut().settle(self.router.now(), loan, used) {
            self.mesh.send(link, &FleetMessage::SettleLoan { token: loan.token, used });
        }
    }

    pub(super) fn on_borrow_reply(&self, lender: LinkId, token: u64, result: BorrowResult) {
        if let Some(unwanted) = self.loans.on_reply(self.router.now(), lender, token, result) {
            self.settle(unwanted, Tokens::ZERO);
        }
        if self.loans.has_pending() {
            self.send_loan_queries();
        }
    }

    /// Lends tokens, at once or when the leader has allotted more.
    pub(super) fn lend(
        self: &Rc<Self>,
        borrower: LinkId,
        token: u64,
        tenant: TenantName,
        amount: Tokens,
        wait: Millis,
    ) {
        let link = self.clone();
        tokio::task::spawn_local(async move {
            let result = match link.stopped.get() {
                true => BorrowResult::AskAnother,
                false => reservation::lend(&link.router, &tenant, amount, wait).await,
            };
            link.on_lend_result(borrower, token, tenant, amount, result);
        });
    }

    fn on_lend_result(
        &self,
        borrower: LinkId,
        token: u64,
        tenant: TenantName,
        amount: Tokens,
        answer: BorrowResult,
    ) {
        if answer == BorrowResult::Lent {
            let node = self.loan_peers.borrow().node(borrower).cloned();
            let Some(node) = node.filter(|_| !self.stopped.get()) else {
                self.router.wallet.borrow_mut().settle(&tenant, amount, Tokens::ZERO);
                return;
            };
            self.loans.on_lent(node, token, tenant, amount);
        }
        self.mesh.send(borrower, &FleetMessage::BorrowReply { token, answer });
    }

    pub(super) fn on_loan_settled(&self, borrower: LinkId, token: u64, used: Tokens) {
        let peers = self.loan_peers.borrow();
        let settled = peers.node(borrower).and_then(|node| self.loans.on_settled(node, token));
        if let Some((tenant, amount)) = settled {
            self.router.wallet.borrow_mut().settle(&tenant, amount, used);
            if used < amount {
                self.router.wallet_refilled.notify_waiters();
            }
        }
    }

    /// Sends the settlements that have waited for a connection to another router.
    pub(super) fn on_peer_up(&self, link: LinkId, node: NodeId) {
        for settlement in self.loan_peers.borrow_mut().on_up(link, node) {
            let (token, used) = (settlement.token, settlement.used);
            self.mesh.send(link, &FleetMessage::SettleLoan { token, used });
        }
        self.send_loan_queries();
    }

    pub(super) fn on_peer_down(&self, link: LinkId) {
        let now = self.router.now();
        self.loans.on_link_down(link);
        if let Some(borrower) = self.loan_peers.borrow_mut().on_down(now, link) {
            self.loans.on_borrower_disconnected(now, &borrower);
        }
        self.send_loan_queries();
    }

    /// Charges in full what borrowers have not settled after the loss of the connection.
    pub(super) fn charge_unsettled_loans(&self) {
        let now = self.router.now();
        for (tenant, amount) in self.loans.remove_unsettled(now) {
            self.router.wallet.borrow_mut().settle(&tenant, amount, amount);
        }
        self.loan_peers.borrow_mut().remove_expired(now);
    }
}
