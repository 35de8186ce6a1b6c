//! The messages by which routers lend to one another; [`crate::loans`] decides whom to ask.

use super::FleetLink;
use crate::loans::{Loan, LoanCommand};
use stackpost_coordinator::FleetMessage;
use stackpost_mesh::LinkId;
use stackpost_types::{TenantName, Tokens};
use std::time::{Duration, Instant};

/// Time in which connections to other routers come up, if they come up at all.
const PEERS_COME_UP: Duration = Duration::from_millis(400);

/// Other routers that a router may ask for loans.
const LENDERS: usize = 12;

impl FleetLink {
    pub(super) fn on_loan_command(&self, command: LoanCommand) {
        match command {
            LoanCommand::Ask { tenant, amount, reply } => {
                self.loans.ask(tenant, amount, reply);
                self.dial_peers();
                self.ask_for_loans();
            }
            LoanCommand::Settle { loan, used } => self.settle(loan, used),
        }
    }

    pub(super) fn dial_peers(&self) {
        if self.peers_dialed_at.get().is_none() {
            self.peers_dialed_at.set(Some(Instant::now()));
        }
        for peer in self.peers.borrow().iter().take(LENDERS) {
            self.mesh.dial(*peer);
        }
    }

    /// Sends what requests want to ask. Connections may still be coming up.
    pub(super) fn ask_for_loans(&self) {
        let peers = self.peer_links.borrow();
        let dialed_just_now =
            self.peers_dialed_at.get().is_some_and(|at| at.elapsed() < PEERS_COME_UP);
        let expected = self.peers.borrow().len().min(LENDERS);
        let more_may_come = dialed_just_now && peers.len() < expected;
        for question in self.loans.questions(self.router.now(), &peers, more_may_come) {
            let (token, tenant, amount) = (question.token, question.tenant, question.amount);
            self.mesh.send(question.to, &FleetMessage::Borrow { token, tenant, amount });
        }
    }

    fn settle(&self, loan: Loan, used: Tokens) {
        self.mesh.send(loan.lender, &FleetMessage::SettleLoan { token: loan.token, used });
    }

    pub(super) fn on_borrow_reply(&self, lender: LinkId, token: u64, granted: bool) {
        if let Some(unwanted) = self.loans.on_reply(self.router.now(), lender, token, granted) {
            self.settle(unwanted, Tokens::ZERO);
        }
        if self.loans.is_wanted() {
            self.ask_for_loans();
        }
    }

    pub(super) fn lend(&self, borrower: LinkId, token: u64, tenant: TenantName, amount: Tokens) {
        let now = self.router.now();
        let reserved = self.router.wallet.borrow_mut().retry_reserve(now, &tenant, amount);
        let granted = reserved.is_ok() && !self.stopped.get();
        if reserved.is_err() {
            // In touch, the leader hears of it and this router can lend when it is asked again.
            self.router.wallet_short.notify_one();
        }
        if granted {
            self.loans.on_lent(borrower, token, tenant, amount);
        } else if reserved.is_ok() {
            self.router.wallet.borrow_mut().settle(&tenant, amount, Tokens::ZERO);
        }
        self.mesh.send(borrower, &FleetMessage::BorrowReply { token, granted });
    }

    pub(super) fn on_loan_settled(&self, borrower: LinkId, token: u64, used: Tokens) {
        if let Some((tenant, amount)) = self.loans.on_settled(borrower, token) {
            self.router.wallet.borrow_mut().settle(&tenant, amount, used);
        }
    }

    /// Whoever borrowed over this connection can't say any more what was used.
    pub(super) fn on_peer_down(&self, link: LinkId) {
        for (tenant, amount) in self.loans.on_down(link) {
            self.router.wallet.borrow_mut().settle(&tenant, amount, amount);
        }
    }
}
