//! Messages between replicas, and what is made durable.

use serde::{Deserialize, Serialize};
use stackpost_types::MachineName;
use std::collections::BTreeMap;

/// A leader's term.
pub type Term = u64;
/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;

/// The machines that vote, each with the identity of the data folder that counts.
pub type Voters = BTreeMap<MachineName, u64>;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a leader begins its term with such an entry.
    Empty,
    /// An encoded command for the user of the log.
    Command(Vec<u8>),
    /// Who votes from this entry on.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that proposed it.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
    /// What it carries.
    pub payload: Payload,
}

/// The state of the log's user up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the data reflects.
    pub index: LogIndex,
    /// Its term.
    pub term: Term,
    /// Who voted as of that entry.
    pub voters: Voters,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// What a replica must not forget besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub voted_for: Option<MachineName>,
    /// An entry known to be committed; newer ones may be. Without it a replica that restarts out of
    /// touch would know no more than its last snapshot.
    pub commit: LogIndex,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending replica.
    pub from: MachineName,
    /// The identity it votes under.
    pub identity: u64,
    /// The content.
    pub message: Message,
}

/// What replicas tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in `term`? Changes no state at the receiver.
    PreVote {
        /// The term the sender would campaign in.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// The term asked about, or the receiver's own if that is newer.
        term: Term,
        /// Whether the receiver would.
        granted: bool,
        /// Whether it would but for a promise that it may have given before it started. Such a
        /// replica does not lead.
        just_started: bool,
    },
    /// Vote for me in `term`.
    Vote {
        /// The sender's term.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether every voter has answered that it does not lead and has promised nothing since
        /// it started. Then no promise from before a start can matter any more.
        no_live_leader: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries after `prev_index`; with none it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first one sent.
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
    /// Answer to `Append` and `Install`.
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// Whether the log matched.
        accepted: bool,
        /// Accepted: last index known to match. Refused: last index worth trying.
        index: LogIndex,
        /// The round of the message answered.
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
    /// The term the message speaks of.
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
