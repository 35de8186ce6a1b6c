//! The routers at the other ends of connections, and the settlements that wait for one of them.
//!
//! A connection is closed when one end was silent for 1.5 s, and another one replaces it. A loan
//! outlasts that: it belongs to the router incarnations and not to the connection.

use crate::loans::Loan;
use stackpost_mesh::LinkId;
use stackpost_types::{Millis, NodeId, Timestamp, Tokens};
use std::collections::BTreeMap;

/// Time after the loss of a connection for which its loans may still be settled: longer than any
/// request runs. Until then a loan counts as used in full.
pub const SETTLEMENT_TIME: Millis = Millis(60_000);

/// What a request used of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Identifies the loan among those of this router.
    pub token: u64,
    /// Tokens that the request used.
    pub used: Tokens,
}

struct KnownLink {
    node: NodeId,
    closed_at: Option<Timestamp>,
}

struct WaitingSettlement {
    lender: NodeId,
    settlement: Settlement,
    since: Timestamp,
}

/// Other routers by connection, including connections that were closed lately.
#[derive(Default)]
pub struct LoanPeers {
    links: BTreeMap<LinkId, KnownLink>,
    waiting: Vec<WaitingSettlement>,
}

impl LoanPeers {
    /// Records a new connection. Returns the settlements to send over it.
    pub fn on_up(&mut self, link: LinkId, node: NodeId) -> Vec<Settlement> {
        let due = self.waiting.extract_if(.., |waiting| waiting.lender == node);
        let due = due.map(|waiting| waiting.settlement).collect();
        self.links.insert(link, KnownLink { node, closed_at: None });
        due
    }

    /// Records that a connection was closed. Returns the router at its other end if there is no
    /// other connection to it.
    pub fn on_down(&mut self, now: Timestamp, link: LinkId) -> Option<NodeId> {
        let closed = self.links.get_mut(&link)?;
        closed.closed_at = Some(now);
        let node = closed.node.clone();
        self.open_link(&node).is_none().then_some(node)
    }

    /// The router at the other end of an open connection.
    pub fn node(&self, link: LinkId) -> Option<&NodeId> {
        self.links.get(&link).filter(|known| known.closed_at.is_none()).map(|known| &known.node)
    }

    /// Returns the connection over which to settle a loan now. Without one the settlement waits.
    pub fn settle(&mut self, now: Timestamp, loan: Loan, used: Tokens) -> Option<LinkId> {
        if self.node(loan.lender).is_some() {
            return Some(loan.lender);
        }
        let lender = self.links.get(&loan.lender)?.node.clone();
        let open = self.open_link(&lender);
        if open.is_none() {
            let settlement = Settlement { token: loan.token, used };
            self.waiting.push(WaitingSettlement { lender, settlement, since: now });
        }
        open
    }

    /// Removes connections and settlements that are too old for their lender.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let is_old = |since: Timestamp| now.since(since) >= SETTLEMENT_TIME;
        self.links.retain(|_, known| !known.closed_at.is_some_and(is_old));
        self.waiting.retain(|waiting| !is_old(waiting.since));
    }

    fn open_link(&self, node: &NodeId) -> Option<LinkId> {
        let open = |known: &KnownLink| known.closed_at.is_none() && known.node == *node;
        self.links.iter().rev().find(|(_, known)| open(known)).map(|(link, _)| *link)
    }
}
