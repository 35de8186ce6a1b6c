//! Tokens reserved at another router.
//!
//! A router that does not keep its zone's account of a tenant asks those that do, one after the other, to reserve
//! tokens in their wallets. Out of touch it asks owners in other zones as well. The lender counts the tokens as its own
//! use at once, so every bound on what the lender can have spent holds unchanged, and the ledger need not know. What
//! was really used is told afterwards; if that word is lost, the lender keeps the most.

use stackpost_coordinator::BorrowAnswer;
use stackpost_mesh::LinkId;
use stackpost_types::{Millis, TenantName, Timestamp, Tokens};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// A router that has lent nothing is not asked for as much or more again for so long.
const REFUSAL_KEPT: Millis = Millis(100);
/// A lender that has said nothing for so long when the request gives up does not answer; less may be the request's own
/// haste.
const NO_ANSWER_AFTER: Millis = Millis(60);

/// A reservation at another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The connection to the lender.
    pub lender: LinkId,
    /// Names the loan between the two.
    pub token: u64,
}

/// What a request's wish came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanOutcome {
    /// The tokens are reserved.
    Lent(Loan),
    /// The lender could not cover the request, and the leader has handed it nothing for it.
    NotCovered,
    /// No lender could be asked, or none that could has anything.
    NoLender,
}

/// A request's wish.
#[derive(Debug)]
pub struct LoanRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// How many tokens.
    pub amount: Tokens,
    /// Whom to ask, in this order.
    pub lenders: Vec<SocketAddr>,
    /// Until when it waits.
    pub until: Timestamp,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<LoanOutcome>,
}

/// What requests want of other routers.
#[derive(Debug)]
pub enum LoanCommand {
    /// Reserve tokens somewhere.
    Ask(LoanRequest),
    /// The request has ended.
    Settle {
        /// Its loan.
        loan: Loan,
        /// What it used.
        used: Tokens,
    },
}

/// The connections to other routers.
pub trait LenderLinks {
    /// The connection to a router, if there is one.
    fn link_to(&self, router: SocketAddr) -> Option<LinkId>;
    /// Whether a connection to a router is expected within moments.
    fn is_connecting(&self, router: SocketAddr) -> bool;
}

/// A question that has not been answered.
struct Outstanding {
    lender: SocketAddr,
    link: LinkId,
    asked_at: Timestamp,
}

/// A request that waits for a loan.
struct PendingAsk {
    tenant: TenantName,
    amount: Tokens,
    lenders: VecDeque<SocketAddr>,
    until: Timestamp,
    reply: oneshot::Sender<LoanOutcome>,
    outstanding: Option<Outstanding>,
}

/// A question to be sent to another router.
#[derive(Debug, PartialEq, Eq)]
pub struct LoanQuery {
    /// The connection to the other router.
    pub to: LinkId,
    /// Names the loan.
    pub token: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// How many tokens.
    pub amount: Tokens,
    /// How long the answer may take.
    pub wait: Millis,
}

/// What a router would not lend.
struct RefusedLoan {
    amount: Tokens,
    at: Timestamp,
}

/// Both sides of the loans of one router.
#[derive(Default)]
pub struct Loans {
    /// The newest refusal of each router for each tenant.
    refused: RefCell<BTreeMap<(LinkId, TenantName), RefusedLoan>>,
    pending: RefCell<BTreeMap<u64, PendingAsk>>,
    next_token: RefCell<u64>,
    /// Lent to others and not settled.
    lent: RefCell<BTreeMap<(LinkId, u64), (TenantName, Tokens)>>,
}

impl Loans {
    /// Takes in a request's wish; questions follow from [`Self::outgoing_queries`].
    pub fn ask(&self, request: LoanRequest) {
        let mut token = self.next_token.borrow_mut();
        *token += 1;
        let LoanRequest { tenant, amount, lenders, until, reply } = request;
        let ask =
            PendingAsk { tenant, amount, lenders: lenders.into(), until, reply, outstanding: None };
        self.pending.borrow_mut().insert(*token, ask);
    }

    /// The questions to send now. A request whose lenders have all been asked or can't be is told so.
    pub fn outgoing_queries(&self, now: Timestamp, links: &impl LenderLinks) -> Vec<LoanQuery> {
        let mut outgoing_queries = Vec::new();
        let mut ended = Vec::new();
        let mut pending = self.pending.borrow_mut();
        for (token, ask) in pending.iter_mut().filter(|(_, ask)| ask.outstanding.is_none()) {
            match self.next_lender(now, ask, links) {
                NextLender::Ask(lender, link) => {
                    ask.outstanding = Some(Outstanding { lender, link, asked_at: now });
                    let (tenant, amount) = (ask.tenant.clone(), ask.amount);
                    let wait = ask.until.since(now);
                    outgoing_queries.push(LoanQuery {
                        to: link,
                        token: *token,
                        tenant,
                        amount,
                        wait,
                    });
                }
                NextLender::Wait => {}
                NextLender::None => ended.push(*token),
            }
        }
        for ask in ended.into_iter().filter_map(|token| pending.remove(&token)) {
            // The request may have given up meanwhile.
            let _ = ask.reply.send(LoanOutcome::NoLender);
        }
        outgoing_queries
    }

    fn next_lender(
        &self,
        now: Timestamp,
        ask: &mut PendingAsk,
        links: &impl LenderLinks,
    ) -> NextLender {
        while let Some(lender) = ask.lenders.front().copied() {
            match links.link_to(lender) {
                Some(link) if self.has_refused(now, link, ask) => {}
                Some(link) => {
                    ask.lenders.pop_front();
                    return NextLender::Ask(lender, link);
                }
                None if links.is_connecting(lender) => return NextLender::Wait,
                None => {}
            }
            ask.lenders.pop_front();
        }
        NextLender::None
    }

    fn has_refused(&self, now: Timestamp, link: LinkId, ask: &PendingAsk) -> bool {
        let refused = self.refused.borrow();
        refused.get(&(link, ask.tenant.clone())).is_some_and(|refusal| {
            refusal.amount <= ask.amount && now.since(refusal.at) < REFUSAL_KEPT
        })
    }

    /// Forgets requests that have given up. Returns the lenders that have not answered them.
    pub fn remove_abandoned(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut without_answer = Vec::new();
        self.pending.borrow_mut().retain(|_, ask| {
            let has_ended = ask.reply.is_closed();
            let outstanding = ask.outstanding.as_ref().filter(|_| has_ended);
            let silent = outstanding.filter(|asked| now.since(asked.asked_at) >= NO_ANSWER_AFTER);
            without_answer.extend(silent.map(|asked| asked.lender));
            !has_ended
        });
        without_answer
    }

    /// Takes in an answer. Returns the loan if nobody wants it any more.
    pub fn on_reply(
        &self,
        now: Timestamp,
        lender: LinkId,
        token: u64,
        answer: BorrowAnswer,
    ) -> Option<Loan> {
        let loan = Loan { lender, token };
        match answer {
            BorrowAnswer::Lent => match self.end(token, LoanOutcome::Lent(loan)) {
                Ok(()) => None,
                Err(NobodyWaits) => Some(loan),
            },
            BorrowAnswer::NotCovered => {
                // Nothing was set aside, so nothing is to be undone if nobody waits.
                let _ = self.end(token, LoanOutcome::NotCovered);
                None
            }
            BorrowAnswer::AskAnother => {
                if let Some(ask) = self.pending.borrow_mut().get_mut(&token) {
                    ask.outstanding = None;
                    let refusal = RefusedLoan { amount: ask.amount, at: now };
                    self.refused.borrow_mut().insert((lender, ask.tenant.clone()), refusal);
                }
                None
            }
        }
    }

    fn end(&self, token: u64, outcome: LoanOutcome) -> Result<(), NobodyWaits> {
        let ask = self.pending.borrow_mut().remove(&token).ok_or(NobodyWaits)?;
        ask.reply.send(outcome).map_err(|_| NobodyWaits)
    }

    /// Notes what was lent.
    pub fn on_lent(&self, borrower: LinkId, token: u64, tenant: TenantName, amount: Tokens) {
        self.lent.borrow_mut().insert((borrower, token), (tenant, amount));
    }

    /// A loan that was given is settled: the tenant and what had been reserved.
    pub fn on_settled(&self, borrower: LinkId, token: u64) -> Option<(TenantName, Tokens)> {
        self.lent.borrow_mut().remove(&(borrower, token))
    }

    /// A connection is gone. Returns what was lent over it and will never be settled.
    pub fn on_link_down(&self, link: LinkId) -> Vec<(TenantName, Tokens)> {
        for ask in self.pending.borrow_mut().values_mut() {
            if ask.outstanding.as_ref().is_some_and(|outstanding| outstanding.link == link) {
                ask.outstanding = None;
            }
        }
        self.refused.borrow_mut().retain(|(peer, _), _| *peer != link);
        let mut lent = self.lent.borrow_mut();
        let gone: Vec<(LinkId, u64)> =
            lent.keys().filter(|(borrower, _)| *borrower == link).copied().collect();
        gone.iter().filter_map(|key| lent.remove(key)).collect()
    }

    /// Whether a request waits.
    pub fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }
}

/// The request has given up.
struct NobodyWaits;

/// What a request that waits does next.
enum NextLender {
    Ask(SocketAddr, LinkId),
    Wait,
    None,
}

/// The way from requests to the loans.
#[derive(Default)]
pub struct LoanHandle {
    commands: RefCell<Option<mpsc::UnboundedSender<LoanCommand>>>,
}

impl LoanHandle {
    /// Connects the requests with whoever carries out their commands.
    pub fn open(&self) -> mpsc::UnboundedReceiver<LoanCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.commands.borrow_mut() = Some(sender);
        receiver
    }

    /// Asks `lenders`, one after the other.
    pub async fn ask(
        &self,
        tenant: &TenantName,
        amount: Tokens,
        lenders: Vec<SocketAddr>,
        until: Timestamp,
    ) -> LoanOutcome {
        let (reply, answer) = oneshot::channel();
        let tenant = tenant.clone();
        self.send(LoanCommand::Ask(LoanRequest { tenant, amount, lenders, until, reply }));
        answer.await.unwrap_or(LoanOutcome::NoLender)
    }

    /// Tells the lender what was used.
    pub fn settle(&self, loan: Loan, used: Tokens) {
        self.send(LoanCommand::Settle { loan, used });
    }

    fn send(&self, command: LoanCommand) {
        if let Some(commands) = self.commands.borrow().as_ref() {
            // The receiver lives as long as the process.
            let _ = commands.send(command);
        }
    }
}
