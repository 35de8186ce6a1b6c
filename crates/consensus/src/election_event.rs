//! What happened in elections, for logs. Nothing rests on these events.

use crate::message::{LogIndex, Term};
use stackpost_types::MachineName;
use std::fmt;

/// Why a replica does not vote for a candidate.
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
    /// A leader has been heard so lately that it may hold a lease, or this replica leads.
    LeaseMayBeActive,
    /// This replica has an equal log and campaigns itself; its name goes first.
    OwnCampaign,
    /// The vote of this term has been given to another candidate.
    AlreadyVoted(MachineName),
}

impl fmt::Display for VoteRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CandidateBehind { candidate, own } => {
                write!(formatter, "the candidate's log ends at {candidate}, the own one at {own}")
            }
            Self::StaleTerm => write!(formatter, "the candidate's term is old"),
            Self::LeaseMayBeActive => write!(formatter, "a leader may hold a lease"),
            Self::OwnCampaign => write!(formatter, "this replica campaigns itself"),
            Self::AlreadyVoted(machine) => write!(formatter, "the vote went to {machine}"),
        }
    }
}

/// One event of an election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This replica asks whether a campaign could succeed.
    PreVoteRequested {
        /// The term that it would campaign in.
        term: Term,
    },
    /// This replica campaigns.
    Campaigned {
        /// The term.
        term: Term,
    },
    /// This replica leads.
    Elected {
        /// The term.
        term: Term,
    },
    /// This replica does not vote, or would not vote, for a candidate.
    Refused {
        /// The candidate.
        candidate: MachineName,
        /// Why.
        reason: VoteRefusal,
    },
    /// A voter has answered this candidate from another data folder than the one that counts.
    UncountedVote {
        /// The voter.
        voter: MachineName,
        /// The identity that answered.
        identity: u64,
        /// The identity that counts.
        counted: u64,
    },
    /// This replica leads no more, because no majority has answered it for an election timeout.
    LostQuorum {
        /// The term that it led.
        term: Term,
    },
}
