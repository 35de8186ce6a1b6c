//! Events of elections, for logging only. The algorithm does not depend on them.

use crate::message::{LogIndex, Term};
use stackpost_types::MachineName;
use std::fmt;

/// The reason why a replica does not vote for a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoteRefusal {
    /// The candidate lacks entries that this replica holds.
    CandidateBehind {
        /// Index of the candidate's last entry.
        candidate: LogIndex,
        /// Index of this replica's last entry.
        own: LogIndex,
    },
    /// The candidate's term is not newer than this replica's.
    StaleTerm,
    /// This replica leads, or the last contact with a leader is so recent that the leader may hold
    /// a lease.
    LeaseMayBeActive,
    /// This replica campaigns itself. In a pre-vote it has an equal log and priority by its name.
    OwnCampaign,
    /// The vote of this term was given to another candidate.
    AlreadyVoted(MachineName),
}

impl fmt::Display for VoteRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CandidateBehind { candidate, own } => {
                write!(
                    formatter,
                    "the candidate's log ends at {candidate}, this replica's log at {own}"
                )
            }
            Self::StaleTerm => write!(formatter, "the candidate's term is stale"),
            Self::LeaseMayBeActive => write!(formatter, "a leader may hold a lease"),
            Self::OwnCampaign => write!(formatter, "this replica campaigns itself"),
            Self::AlreadyVoted(machine) => write!(formatter, "already voted for {machine}"),
        }
    }
}

/// One event of an election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This replica requests pre-votes.
    PreVoteRequested {
        /// The term in which it would campaign.
        term: Term,
    },
    /// This replica campaigns.
    Campaigned {
        /// The term of the campaign.
        term: Term,
    },
    /// This replica was elected leader.
    Elected {
        /// The term in which it leads.
        term: Term,
    },
    /// This replica refused a vote or pre-vote.
    Refused {
        /// The candidate.
        candidate: MachineName,
        /// The reason.
        reason: VoteRefusal,
    },
    /// A voter has replied to this candidate under another identity than the one that counts.
    UncountedVote {
        /// The voter.
        voter: MachineName,
        /// The identity in the reply.
        identity: u64,
        /// The identity that counts.
        counted: u64,
    },
    /// This replica stepped down because no majority had replied for an election timeout.
    LostQuorum {
        /// The term in which it led.
        term: Term,
    },
}
