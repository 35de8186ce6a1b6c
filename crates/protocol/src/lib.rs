//! Messages between the processes of the fleet.
//!
//! All are one-way: a sender repeats what it needs an answer to, and every receiver tolerates
//! messages that are late, repeated, crossed or lost. Batches travel as one [`MessageBatch`].

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
    /// One life of a router.
    Router(NodeId),
    /// A control replica.
    Control(MachineName),
}

impl Peer {
    /// The machine it runs on.
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

/// Messages that travel together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageBatch {
    /// The sender.
    pub from: Peer,
    /// The receiver; a router of another life drops the parcel.
    pub to: Peer,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// A router's sign of life to the control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The zone it stands in.
    pub zone: ZoneName,
    /// The configuration in force there; zero if it has none.
    pub version: Version,
    /// Mirrored accounts whose owner has been silent for too long.
    pub silent_owners: Vec<AccountId>,
    /// It has finished its work and asks that its accounts be taken over.
    pub leaving: bool,
}

/// One message.
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
    /// `archived` is the last bill that the sender does not hold any more.
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
