//! A replicated log without I/O.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014) with pre-vote, check-quorum, read-index and leader leases (Ongaro's
//! dissertation, sections 9.6, 6.2, 6.4). The caller feeds [`Raft::step`] and [`Raft::tick`], then
//! drains [`Raft::ready`]: it makes the [`Ready`]'s hard state, snapshot and entries durable,
//! calls [`Raft::advance`], and only then sends the messages and applies the committed entries.
//!
//! Each replica votes under an identity that is generated with its data folder. The log itself
//! names the voters and their identities. A replica that has lost its data folder does not count
//! until an entry names its new identity, because its lost votes and entries may have been part of
//! a quorum.

mod election;
mod election_event;
mod log;
mod membership;
mod message;
mod raft;
mod ready;
mod replication;

pub use election_event::{ElectionEvent, VoteRefusal};
pub use membership::VoterChangeError;
pub use message::{Entry, Envelope, HardState, LogIndex, Message, Payload, Snapshot, Term, Voters};
pub use raft::{Config, NotLeader, Raft, RestoredState, Role};
pub use ready::{ReadConfirmed, Ready};
pub use replication::{MAX_BYTES_IN_FLIGHT, MAX_BYTES_PER_MESSAGE};

/// The identity of an initial voter as long as its data folder has not been replaced.
pub const INITIAL_IDENTITY: u64 = 1;
