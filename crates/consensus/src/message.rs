//! Messages between replicas, and the durable records.

use serde::{Deserialize, Serialize};
use stackpost_types::MachineName;
use std::collections::BTreeMap;

/// A leader's term.
pub type Term = u64;
/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;

/// The voting machines, each with the identity of the data folder under which it votes.
pub type Voters = BTreeMap<MachineName, u64>;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content: a leader starts its term with such an entry.
    Empty,
    /// An encoded command for the user of the log.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that proposed it.
    pub term: Term,
    /// Its position in the log.
    pub index: LogIndex,
    /// Its content.
    pub payload: Payload,
}

/// Bytes of an encoded entry besides its content, at most.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Size in a message or on disk, in bytes, at most.
    pub fn size(&self) -> usize {
        let content = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len(),
            Payload::Voters(voters) => {
                voters.keys().map(|name| name.as_str().len() + ENTRY_OVERHEAD_BYTES).sum()
            }
        };
        ENTRY_OVERHEAD_BYTES + content
    }
}

/// The applied state up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the data reflects.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: Voters,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// State that a replica must keep durable besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// The candidate that received this replica's vote in that term.
    pub voted_for: Option<MachineName>,
    /// Index of an entry known to be committed; later ones may be committed too. Without it a
    /// replica that restarts while disconnected would know only its latest snapshot.
    pub commit: LogIndex,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending replica.
    pub from: MachineName,
    /// The sender's identity.
    pub identity: u64,
    /// The content.
    pub message: Message,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`. Does not change the
    /// receiver's state.
    PreVote {
        /// The term in which the sender would campaign.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// The term of the request; if neither of the two flags is set, the replying replica's own
        /// term.
        term: Term,
        /// Whether the replying replica would vote for the sender.
        granted: bool,
        /// Whether nothing but a promise from before its start may keep the replying replica from
        /// voting. Such a replica is not the leader.
        just_started: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// The sender's term.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether every voter has replied that it is not the leader and has promised nothing since
        /// it started. Promises from before a start can then be ignored.
        no_live_leader: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Term of the replying replica.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries after `prev_index`; a heartbeat if there are none.
    Append {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first one in the message.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Heartbeat round, echoed by the receiver.
        round: u64,
    },
    /// Reply to `Append` and `Install`.
    AppendReply {
        /// Term of the replying replica.
        term: Term,
        /// Whether the log matched.
        accepted: bool,
        /// If accepted, the last index known to match; otherwise the last index worth trying.
        index: LogIndex,
        /// The heartbeat round of the request.
        round: u64,
    },
    /// A snapshot for a replica that is too far behind.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// Heartbeat round, echoed by the receiver.
        round: u64,
    },
}

impl Message {
    /// The term in the message.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. } => *term,
        }
    }
}
