//! Messages that the processes of the fleet exchange.
//!
//! All messages are one-way. A sender resends a message until it has the reply that it needs, and
//! every receiver tolerates messages that are delayed, duplicated, reordered or lost. Messages to
//! the same receiver are sent together in a [`MessageBatch`].

mod keys;
mod rights;

pub use keys::{ClaimKey, ClaimReply, ClaimResult, FetchAnswer, FetchReply, FetchResult};
pub use rights::{HoldingRow, Holdings, Pull, PullReply, Transfer, TransferAck};

use serde::{Deserialize, Serialize};
use stackpost_ledger::{Bill, MirrorAck, MirrorMessage};
use stackpost_table::Delta;
use stackpost_types::*;
use std::fmt;

/// A process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Peer {
    /// One incarnation of a router.
    Router(NodeId),
    /// A control replica.
    Control(MachineName),
}

impl Peer {
    /// The machine that the process runs on.
    pub fn machine(&self) -> &MachineName {
        match self {
            Self::Router(node) => &node.machine,
            Self::Control(machine) => machine,
        }
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Router(node) => write!(formatter, "router {node}"),
            Self::Control(machine) => write!(formatter, "control {machine}"),
        }
    }
}

/// Messages that are sent together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageBatch {
    /// The sender.
    pub from: Peer,
    /// The receiver. Another incarnation of the router drops the batch.
    pub to: Peer,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// Heartbeat of a router to the control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The router's zone.
    pub zone: ZoneName,
    /// Version of the configuration in force at the router; zero if it has none.
    pub version: Version,
    /// Accounts that the router backs up and whose owner has been silent for too long.
    pub silent_owners: Vec<AccountId>,
    /// Whether the router has finished its requests and asks that its accounts be taken over.
    pub leaving: bool,
}

/// A message between two processes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    // Router to router.
    Mirror(MirrorMessage),
    MirrorAck(MirrorAck),
    Pull(Pull),
    PullReply(PullReply),
    Transfer(Transfer),
    TransferAck(TransferAck),
    Holdings(Holdings),
    ClaimKey(ClaimKey),
    ClaimReply(ClaimReply),
    FetchAnswer(FetchAnswer),
    FetchReply(FetchReply),
    // Router to control.
    Heartbeat(Heartbeat),
    ChangeBackup {
        account: AccountId,
        epoch: Epoch,
        backup: NodeId,
    },
    ReturnRights {
        budget: BudgetName,
        account: AccountId,
        total: Tokens,
    },
    /// `archived` is the sequence number of the last bill that the sender no longer stores.
    Bills {
        account: AccountId,
        archived: u64,
        bills: Vec<Bill>,
    },
    // Control to router.
    Configuration {
        confirmed: bool,
        delta: Delta,
    },
    BillsStored {
        account: AccountId,
        up_to: u64,
    },
    // Control to control.
    Raft(stackpost_consensus::Envelope),
}
