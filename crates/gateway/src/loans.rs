//! Tokens reserved at another router.
//!
//! Out of touch, a router whose own reserve does not cover a request asks other routers, one after
//! the other, to reserve the tokens in their wallets. The lender counts them as its own use at once,
//! so every bound on what the lender can have spent holds unchanged, and the ledger need not know.
//! What was really used is told afterwards; if that word is lost, the lender keeps the most.

use stackpost_mesh::LinkId;
use stackpost_types::{Millis, TenantName, Timestamp, Tokens};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{mpsc, oneshot};

/// A router that has lent nothing is not asked for as much or more again for so long.
const REFUSAL_KEPT: Millis = Millis(100);

/// A reservation at another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The connection to the lender.
    pub lender: LinkId,
    /// Names the loan between the two.
    pub token: u64,
}

/// What requests want of other routers.
#[derive(Debug)]
pub enum LoanCommand {
    /// Reserve tokens somewhere.
    Ask {
        /// The tenant.
        tenant: TenantName,
        /// How many.
        amount: Tokens,
        /// Where the loan goes; `None` if nobody lends.
        reply: oneshot::Sender<Option<Loan>>,
    },
    /// The request has ended.
    Settle {
        /// Its loan.
        loan: Loan,
        /// What it used.
        used: Tokens,
    },
}

/// A request that waits for a loan.
struct PendingAsk {
    tenant: TenantName,
    amount: Tokens,
    reply: oneshot::Sender<Option<Loan>>,
    asked: BTreeSet<LinkId>,
    outstanding: Option<LinkId>,
}

/// A question to be sent to another router.
#[derive(Debug, PartialEq, Eq)]
pub struct Question {
    /// The connection to the other router.
    pub to: LinkId,
    /// Names the loan.
    pub token: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// How many tokens.
    pub amount: Tokens,
}

/// What a router would not lend.
struct RefusedLoan {
    amount: Tokens,
    at: Timestamp,
}

/// Both sides of the loans of one router.
#[derive(Default)]
pub struct Loans {
    /// Who has lent of each tenant's budget last.
    last_lenders: RefCell<BTreeMap<TenantName, LinkId>>,
    /// The newest refusal of each router for each tenant.
    refused: RefCell<BTreeMap<(LinkId, TenantName), RefusedLoan>>,
    pending: RefCell<BTreeMap<u64, PendingAsk>>,
    next_token: RefCell<u64>,
    /// Lent to others and not settled.
    lent: RefCell<BTreeMap<(LinkId, u64), (TenantName, Tokens)>>,
}

impl Loans {
    /// Takes in a request's wish; questions follow from [`Self::questions`].
    pub fn ask(&self, tenant: TenantName, amount: Tokens, reply: oneshot::Sender<Option<Loan>>) {
        let mut token = self.next_token.borrow_mut();
        *token += 1;
        let ask = PendingAsk { tenant, amount, reply, asked: BTreeSet::new(), outstanding: None };
        self.pending.borrow_mut().insert(*token, ask);
    }

    /// The questions to send now. A request that has asked everyone in `peers` gets nothing, unless
    /// there may be more to come.
    pub fn questions(
        &self,
        now: Timestamp,
        peers: &BTreeSet<LinkId>,
        more_may_come: bool,
    ) -> Vec<Question> {
        let mut questions = Vec::new();
        let mut refused = Vec::new();
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, ask| !ask.reply.is_closed());
        for (token, ask) in pending.iter_mut().filter(|(_, ask)| ask.outstanding.is_none()) {
            match self.next_lender(now, ask, peers) {
                Some(peer) => {
                    ask.asked.insert(peer);
                    ask.outstanding = Some(peer);
                    let (tenant, amount) = (ask.tenant.clone(), ask.amount);
                    questions.push(Question { to: peer, token: *token, tenant, amount });
                }
                None if more_may_come => {}
                None => refused.push(*token),
            }
        }
        for ask in refused.into_iter().filter_map(|token| pending.remove(&token)) {
            // The request may have given up meanwhile.
            let _ = ask.reply.send(None);
        }
        questions
    }

    /// Whom to ask next: first who has lent last, and nobody who has just refused as much.
    fn next_lender(
        &self,
        now: Timestamp,
        ask: &PendingAsk,
        peers: &BTreeSet<LinkId>,
    ) -> Option<LinkId> {
        let refused = self.refused.borrow();
        let has_refused = |peer: LinkId| {
            refused.get(&(peer, ask.tenant.clone())).is_some_and(|refusal| {
                refusal.amount <= ask.amount && now.since(refusal.at) < REFUSAL_KEPT
            })
        };
        let last_lenders = self.last_lenders.borrow();
        let last = last_lenders.get(&ask.tenant).filter(|last| peers.contains(last));
        last.into_iter()
            .chain(peers)
            .copied()
            .find(|peer| !ask.asked.contains(peer) && !has_refused(*peer))
    }

    /// Takes in an answer. Returns the loan if nobody wants it any more.
    pub fn on_reply(
        &self,
        now: Timestamp,
        lender: LinkId,
        token: u64,
        granted: bool,
    ) -> Option<Loan> {
        let loan = Loan { lender, token };
        let mut pending = self.pending.borrow_mut();
        if !granted {
            if let Some(ask) = pending.get_mut(&token) {
                ask.outstanding = None;
                let refusal = RefusedLoan { amount: ask.amount, at: now };
                self.refused.borrow_mut().insert((lender, ask.tenant.clone()), refusal);
            }
            return None;
        }
        let Some(ask) = pending.remove(&token) else {
            return Some(loan);
        };
        self.last_lenders.borrow_mut().insert(ask.tenant, lender);
        ask.reply.send(Some(loan)).err().map(|_| loan)
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
    pub fn on_down(&self, link: LinkId) -> Vec<(TenantName, Tokens)> {
        for ask in self.pending.borrow_mut().values_mut() {
            if ask.outstanding == Some(link) {
                ask.outstanding = None;
            }
        }
        self.refused.borrow_mut().retain(|(peer, _), _| *peer != link);
        self.last_lenders.borrow_mut().retain(|_, lender| *lender != link);
        let mut lent = self.lent.borrow_mut();
        let gone: Vec<(LinkId, u64)> =
            lent.keys().filter(|(borrower, _)| *borrower == link).copied().collect();
        gone.iter().filter_map(|key| lent.remove(key)).collect()
    }

    /// Whether a request waits.
    pub fn is_wanted(&self) -> bool {
        !self.pending.borrow().is_empty()
    }
}

/// The way from requests to the loans.
#[derive(Default)]
pub struct LoanDesk {
    commands: RefCell<Option<mpsc::UnboundedSender<LoanCommand>>>,
}

impl LoanDesk {
    /// Connects the requests with whoever carries out their commands.
    pub fn open(&self) -> mpsc::UnboundedReceiver<LoanCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.commands.borrow_mut() = Some(sender);
        receiver
    }

    /// Asks other routers; `None` if nobody lends.
    pub async fn ask(&self, tenant: &TenantName, amount: Tokens) -> Option<Loan> {
        let (reply, answer) = oneshot::channel();
        self.send(LoanCommand::Ask { tenant: tenant.clone(), amount, reply });
        answer.await.ok().flatten()
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
