//! Tokens reserved at another router.
//!
//! A router that does not own its zone's account of a tenant asks the owners, one after the other,
//! to reserve tokens in their wallets. A request may ask the next one before the first has replied;
//! the first grant counts, and the other is settled with zero. While disconnected from the leader
//! it asks owners in other zones as well. The lender counts the tokens as its own usage at once, so
//! every bound on what it can have spent holds unchanged, and the ledger need not record the loan.
//! The actual usage is sent afterwards, over another connection if the first one was lost
//! ([`crate::loan_peers`]); without that message the lender keeps the full amount as used.

use crate::loan_peers::SETTLEMENT_TIME;
use stackpost_coordinator::BorrowResult;
use stackpost_gateway_core::LenderReplies;
use stackpost_mesh::LinkId;
use stackpost_types::{Millis, NodeId, TenantName, Timestamp, Tokens};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Time for which a router that lent nothing is not asked again for as much or more.
const REFUSAL_TTL: Millis = Millis(100);
/// Silence of a lender, at the time at which the request gives up, from which it counts as
/// unresponsive. After a shorter silence the request may just have had too little time.
const LENDER_TIMEOUT: Millis = Millis(60);
/// Lenders that are asked at the same time for one request. Each further one may receive a grant
/// from the leader that nobody uses.
const MAX_OUTSTANDING: usize = 2;

/// A reservation at another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The connection to the lender.
    pub lender: LinkId,
    /// Identifies the loan on this connection.
    pub token: u64,
}

/// The outcome of a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanOutcome {
    /// The tokens are reserved.
    Lent(Loan),
    /// The lender could not cover the request, and the leader has allotted it nothing more for it.
    NotCovered,
    /// Each reachable lender, at least one, has replied within [`REFUSAL_TTL`] or to this request
    /// that it is stopping, or disconnected from the leader and short of tokens.
    AllRefused,
    /// No lender was reachable.
    NoLender,
    /// No lender that was asked has replied in time.
    NoReply,
}

/// A request for a loan.
#[derive(Debug)]
pub struct LoanRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// Number of tokens.
    pub amount: Tokens,
    /// Routers to ask, in this order.
    pub lenders: Vec<SocketAddr>,
    /// When the request stops waiting.
    pub until: Timestamp,
    /// Time without a reply after which a second lender is asked as well; `None` to wait for the
    /// reply.
    pub hedge_after: Option<Millis>,
    /// Receives the outcome.
    pub reply: oneshot::Sender<LoanOutcome>,
}

/// A command of a request to the loans of this router.
#[derive(Debug)]
pub enum LoanCommand {
    /// Reserve tokens at another router.
    Ask(LoanRequest),
    /// Settle a loan at the end of its request.
    Settle {
        /// The loan.
        loan: Loan,
        /// Tokens that the request used.
        used: Tokens,
    },
}

/// The connections to other routers.
pub trait LenderLinks {
    /// The connection to a router, if there is one.
    fn link_to(&self, router: SocketAddr) -> Option<LinkId>;
    /// Whether a connection to a router is being established.
    fn is_connecting(&self, router: SocketAddr) -> bool;
}

/// A query without a reply yet.
#[derive(Clone, Copy)]
struct Outstanding {
    lender: SocketAddr,
    link: LinkId,
    sent_at: Timestamp,
}

/// A query whose request no longer waits. The lender may still reply until `until`.
struct Unanswered {
    token: u64,
    query: Outstanding,
    until: Timestamp,
}

/// A request that waits for a loan.
struct PendingLoan {
    tenant: TenantName,
    amount: Tokens,
    lenders: VecDeque<SocketAddr>,
    until: Timestamp,
    hedge_after: Option<Millis>,
    reply: oneshot::Sender<LoanOutcome>,
    /// At most [`MAX_OUTSTANDING`].
    outstanding: Vec<Outstanding>,
    /// Whether a lender has replied that the leader grants no more.
    is_not_covered: bool,
    /// Whether a lender has replied that it can't lend.
    is_refused: bool,
}

impl PendingLoan {
    /// The queries without a reply, when the request no longer waits.
    fn take_unanswered(&mut self, token: u64) -> impl Iterator<Item = Unanswered> {
        let until = self.until;
        std::mem::take(&mut self.outstanding).into_iter().map(move |query| Unanswered {
            token,
            query,
            until,
        })
    }

    /// Whether the next lender should be asked now.
    fn is_query_due(&self, now: Timestamp) -> bool {
        let Some(latest) = self.outstanding.last() else {
            return true;
        };
        let is_late = |after: Millis| now.since(latest.sent_at) >= after;
        self.outstanding.len() < MAX_OUTSTANDING && self.hedge_after.is_some_and(is_late)
    }

    /// Removes the query to `lender`, which granted nothing. Returns whether no other one is left.
    fn end_query(&mut self, lender: LinkId) -> bool {
        self.outstanding.retain(|query| query.link != lender);
        self.outstanding.is_empty()
    }

    /// The outcome if no lender is left.
    fn outcome_without_grant(&self) -> LoanOutcome {
        match (self.is_not_covered, self.is_refused) {
            (true, _) => LoanOutcome::NotCovered,
            (false, true) => LoanOutcome::AllRefused,
            (false, false) => LoanOutcome::NoLender,
        }
    }
}

/// A loan query to be sent to another router.
#[derive(Debug, PartialEq, Eq)]
pub struct LoanQuery {
    /// The connection to the other router.
    pub to: LinkId,
    /// Identifies the loan.
    pub token: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// Number of tokens.
    pub amount: Tokens,
    /// How long the lender may take to reply.
    pub wait: Millis,
    /// Whether another lender has been asked and may still reply.
    pub is_hedge: bool,
}

/// Tokens reserved for a request of another router.
struct LentTokens {
    tenant: TenantName,
    amount: Tokens,
    /// When the last connection to the borrower was lost, if any was since the loan.
    disconnected_at: Option<Timestamp>,
}

/// A loan that a router refused.
struct RefusedLoan {
    amount: Tokens,
    at: Timestamp,
}

/// The loans of one router, both as borrower and as lender.
#[derive(Default)]
pub struct Loans {
    /// The latest refusal of each router for each tenant.
    refused: RefCell<BTreeMap<(LinkId, TenantName), RefusedLoan>>,
    pending: RefCell<BTreeMap<u64, PendingLoan>>,
    /// Queries of requests that were served otherwise or have given up.
    unanswered: RefCell<Vec<Unanswered>>,
    replies: RefCell<LenderReplies<LinkId>>,
    next_token: RefCell<u64>,
    /// Lent to other routers and not settled. A router incarnation uses each token once.
    lent: RefCell<BTreeMap<(NodeId, u64), LentTokens>>,
}

impl Loans {
    /// Registers a loan request; [`Self::outgoing_queries`] returns the resulting queries.
    pub fn ask(&self, request: LoanRequest) {
        let mut token = self.next_token.borrow_mut();
        *token += 1;
        let LoanRequest { tenant, amount, lenders, until, hedge_after, reply } = request;
        let waiting = PendingLoan {
            tenant,
            amount,
            lenders: lenders.into(),
            until,
            hedge_after,
            reply,
            outstanding: Vec::new(),
            is_not_covered: false,
            is_refused: false,
        };
        self.pending.borrow_mut().insert(*token, waiting);
    }

    /// The queries to send now. A request whose lenders have all been asked or can't be reached
    /// gets [`LoanOutcome::AllRefused`] or [`LoanOutcome::NoLender`].
    pub fn outgoing_queries(&self, now: Timestamp, links: &impl LenderLinks) -> Vec<LoanQuery> {
        let mut outgoing_queries = Vec::new();
        let mut ended = Vec::new();
        let mut pending = self.pending.borrow_mut();
        for (token, waiting) in pending.iter_mut().filter(|(_, waiting)| waiting.is_query_due(now))
        {
            match self.next_lender(now, waiting, links) {
                NextLender::Ask(lender, link) => {
                    let is_hedge = !waiting.outstanding.is_empty();
                    waiting.outstanding.push(Outstanding { lender, link, sent_at: now });
                    let (tenant, amount) = (waiting.tenant.clone(), waiting.amount);
                    let wait = waiting.until.since(now);
                    outgoing_queries.push(LoanQuery {
                        to: link,
                        token: *token,
                        tenant,
                        amount,
                        wait,
                        is_hedge,
                    });
                }
                NextLender::Wait => {}
                NextLender::None if waiting.outstanding.is_empty() => ended.push(*token),
                NextLender::None => {}
            }
        }
        for waiting in ended.into_iter().filter_map(|token| pending.remove(&token)) {
            let outcome = waiting.outcome_without_grant();
            // The request may have given up.
            let _ = waiting.reply.send(outcome);
        }
        outgoing_queries
    }

    fn next_lender(
        &self,
        now: Timestamp,
        waiting: &mut PendingLoan,
        links: &impl LenderLinks,
    ) -> NextLender {
        while let Some(lender) = waiting.lenders.front().copied() {
            match links.link_to(lender) {
                Some(link) if self.has_refused(now, link, waiting) => waiting.is_refused = true,
                Some(link) => {
                    waiting.lenders.pop_front();
                    return NextLender::Ask(lender, link);
                }
                None if links.is_connecting(lender) => return NextLender::Wait,
                None => {}
            }
            waiting.lenders.pop_front();
        }
        NextLender::None
    }

    fn has_refused(&self, now: Timestamp, link: LinkId, waiting: &PendingLoan) -> bool {
        let refused = self.refused.borrow();
        refused.get(&(link, waiting.tenant.clone())).is_some_and(|refusal| {
            refusal.amount <= waiting.amount && now.since(refusal.at) < REFUSAL_TTL
        })
    }

    /// Removes requests that have given up. Returns the lenders that have not replied to them.
    pub fn remove_abandoned(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut unresponsive = Vec::new();
        self.pending.borrow_mut().retain(|_, waiting| {
            let has_ended = waiting.reply.is_closed();
            let outstanding = waiting.outstanding.iter().filter(|_| has_ended);
            let silent = outstanding.filter(|query| now.since(query.sent_at) >= LENDER_TIMEOUT);
            unresponsive.extend(silent.map(|query| query.lender));
            !has_ended
        });
        unresponsive
    }

    /// Removes requests that have given up or were served otherwise. Returns the lenders that have
    /// not replied in time although others have ([`LenderReplies`]).
    pub fn remove_unresponsive(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut unanswered = self.unanswered.borrow_mut();
        self.pending.borrow_mut().retain(|token, waiting| {
            let has_ended = waiting.reply.is_closed();
            if has_ended {
                unanswered.extend(waiting.take_unanswered(*token));
            }
            !has_ended
        });
        let replies = self.replies.borrow();
        let is_to_blame = |ended: &Unanswered| {
            let Outstanding { link, sent_at, .. } = ended.query;
            ended.until.since(sent_at) >= LENDER_TIMEOUT
                && replies.is_unresponsive(now, link, sent_at)
        };
        let due = unanswered.extract_if(.., |ended| now >= ended.until);
        due.filter(is_to_blame).map(|ended| ended.query.lender).collect()
    }

    /// Handles a reply. Returns the loan if its request no longer waits.
    pub fn on_reply(
        &self,
        now: Timestamp,
        lender: LinkId,
        token: u64,
        result: BorrowResult,
    ) -> Option<Loan> {
        let loan = Loan { lender, token };
        self.replies.borrow_mut().on_reply(now, lender);
        let is_reply_to = |ended: &Unanswered| ended.token == token && ended.query.link == lender;
        self.unanswered.borrow_mut().retain(|ended| !is_reply_to(ended));
        match result {
            BorrowResult::Lent => match self.end(token, LoanOutcome::Lent(loan)) {
                Ok(()) => None,
                Err(NotWaiting) => Some(loan),
            },
            BorrowResult::NotCovered => {
                self.on_not_covered(lender, token);
                None
            }
            BorrowResult::AskAnother => {
                if let Some(waiting) = self.pending.borrow_mut().get_mut(&token) {
                    waiting.end_query(lender);
                    waiting.is_refused = true;
                    let refusal = RefusedLoan { amount: waiting.amount, at: now };
                    self.refused.borrow_mut().insert((lender, waiting.tenant.clone()), refusal);
                }
                None
            }
        }
    }

    /// Ends the search, unless a second lender may still grant the loan.
    fn on_not_covered(&self, lender: LinkId, token: u64) {
        let is_last = self.pending.borrow_mut().get_mut(&token).is_some_and(|waiting| {
            waiting.is_not_covered = true;
            waiting.lenders.clear();
            waiting.end_query(lender)
        });
        if is_last {
            // Nothing was reserved, so nothing is to be undone if the request no longer waits.
            let _ = self.end(token, LoanOutcome::NotCovered);
        }
    }

    fn end(&self, token: u64, outcome: LoanOutcome) -> Result<(), NotWaiting> {
        let mut waiting = self.pending.borrow_mut().remove(&token).ok_or(NotWaiting)?;
        if let LoanOutcome::Lent(loan) = outcome {
            waiting.end_query(loan.lender);
        }
        if waiting.hedge_after.is_some() {
            self.unanswered.borrow_mut().extend(waiting.take_unanswered(token));
        }
        waiting.reply.send(outcome).map_err(|_| NotWaiting)
    }

    /// Records a loan that was granted.
    pub fn on_lent(&self, borrower: NodeId, token: u64, tenant: TenantName, amount: Tokens) {
        let lent = LentTokens { tenant, amount, disconnected_at: None };
        self.lent.borrow_mut().insert((borrower, token), lent);
    }

    /// Removes a loan that its borrower settles. Returns the tenant and the amount that was
    /// reserved.
    pub fn on_settled(&self, borrower: &NodeId, token: u64) -> Option<(TenantName, Tokens)> {
        let settled = self.lent.borrow_mut().remove(&(borrower.clone(), token))?;
        Some((settled.tenant, settled.amount))
    }

    /// Records that there is no connection to a borrower any more. It may only be silent, so what
    /// it has borrowed stays reserved for [`SETTLEMENT_TIME`].
    pub fn on_borrower_disconnected(&self, now: Timestamp, borrower: &NodeId) {
        let mut lent = self.lent.borrow_mut();
        let of_borrower = lent.iter_mut().filter(|((holder, _), _)| holder == borrower);
        of_borrower.for_each(|(_, loan)| {
            loan.disconnected_at.get_or_insert(now);
        });
    }

    /// Removes the loans that can't be settled any more, and returns them.
    pub fn remove_unsettled(&self, now: Timestamp) -> Vec<(TenantName, Tokens)> {
        let is_over = |loan: &LentTokens| {
            loan.disconnected_at.is_some_and(|since| now.since(since) >= SETTLEMENT_TIME)
        };
        let mut lent = self.lent.borrow_mut();
        let over = lent.extract_if(.., |_, loan| is_over(loan));
        over.map(|(_, loan)| (loan.tenant, loan.amount)).collect()
    }

    /// Handles a lost connection to a lender.
    pub fn on_link_down(&self, link: LinkId) {
        for waiting in self.pending.borrow_mut().values_mut() {
            waiting.end_query(link);
        }
        self.unanswered.borrow_mut().retain(|ended| ended.query.link != link);
        self.replies.borrow_mut().remove(link);
        self.refused.borrow_mut().retain(|(peer, _), _| *peer != link);
    }

    /// Whether any request waits.
    pub fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }
}

/// The request has given up.
struct NotWaiting;

/// The next step of a waiting request.
enum NextLender {
    Ask(SocketAddr, LinkId),
    Wait,
    None,
}

/// Passes commands of requests to [`Loans`].
#[derive(Default)]
pub struct LoanHandle {
    commands: RefCell<Option<mpsc::UnboundedSender<LoanCommand>>>,
}

impl LoanHandle {
    /// Opens the channel. The receiver executes the commands.
    pub fn open(&self) -> mpsc::UnboundedReceiver<LoanCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.commands.borrow_mut() = Some(sender);
        receiver
    }

    /// Asks `lenders`, one after the other; a second one at the same time if the first has not
    /// replied within `hedge_after`.
    pub async fn ask(
        &self,
        tenant: &TenantName,
        amount: Tokens,
        lenders: Vec<SocketAddr>,
        until: Timestamp,
        hedge_after: Option<Millis>,
    ) -> LoanOutcome {
        let (reply, outcome) = oneshot::channel();
        let tenant = tenant.clone();
        let request = LoanRequest { tenant, amount, lenders, until, hedge_after, reply };
        self.send(LoanCommand::Ask(request));
        let mut waiting = WaitingForLoan { handle: self, outcome };
        (&mut waiting.outcome).await.unwrap_or(LoanOutcome::NoLender)
    }

    /// Reports to the lender what was used.
    pub fn settle(&self, loan: Loan, used: Tokens) {
        self.send(LoanCommand::Settle { loan, used });
    }

    fn send(&self, command: LoanCommand) {
        if let Some(commands) = self.commands.borrow().as_ref() {
            // The receiver exists as long as the process.
            let _ = commands.send(command);
        }
    }
}

/// Settles a loan with zero if it was granted to a request that ended before it took the outcome.
struct WaitingForLoan<'a> {
    handle: &'a LoanHandle,
    outcome: oneshot::Receiver<LoanOutcome>,
}

impl Drop for WaitingForLoan<'_> {
    fn drop(&mut self) {
        self.outcome.close();
        if let Ok(LoanOutcome::Lent(loan)) = self.outcome.try_recv() {
            self.handle.settle(loan, Tokens::ZERO);
        }
    }
}
