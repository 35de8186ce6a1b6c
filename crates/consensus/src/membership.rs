//! Who votes, and how a leader changes it.
//!
//! The voters are those of the newest entry in the log that names any, see [`crate::log`]. One machine
//! is added, removed or renewed at a time, so any two majorities, before and after, share a replica;
//! a renewed machine's old identity is gone with its data folder and forms no majority any more. A
//! leader begins a change only after the one before and an entry of its own term are committed:
//! otherwise two leaders could be two changes apart, with majorities that share nobody.

use crate::message::{LogIndex, Payload, Term, Voters};
use crate::raft::{NotLeader, Progress, Raft, Role};
use stackpost_types::{MachineName, Millis};
use std::collections::BTreeSet;
use thiserror::Error;

/// Entries that a machine may still lack when it begins to vote. It holds the rest one heartbeat
/// later; a machine with a slow disk would never be level with a leader that appends all the time.
const CATCH_UP_ENTRIES: u64 = 64;

/// The voters can't be changed now.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// Only a leader changes the voters.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet.
    #[error("no entry of the leader's own term is committed yet")]
    TermNotCommitted,
    /// The change before is not committed yet.
    #[error("the change of voters at entry {0} is not committed yet")]
    InProgress(LogIndex),
    /// More than one machine would be added, removed or renewed.
    #[error("{0} machines would change at once")]
    TooManyChanges(usize),
}

impl Raft {
    /// The voters with their identities.
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// Whether this replica's own identity counts.
    pub fn is_voter(&self) -> bool {
        self.is_voting_identity(&self.config.name, self.config.identity)
    }

    /// Whether `machine` votes under `identity`.
    pub(crate) fn is_voting_identity(&self, machine: &MachineName, identity: u64) -> bool {
        self.voters().get(machine) == Some(&identity)
    }

    /// Whether a change of voters may begin now.
    pub fn may_change_voters(&self) -> Result<(), VoterChangeError> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader.clone() }.into());
        }
        if !self.has_committed_in_term() {
            return Err(VoterChangeError::TermNotCommitted);
        }
        if self.log.voters_index() > self.commit {
            return Err(VoterChangeError::InProgress(self.log.voters_index()));
        }
        Ok(())
    }

    /// Makes `voters` the ones who vote. It counts at once and is committed like any entry.
    pub fn propose_voters(&mut self, voters: Voters) -> Result<(Term, LogIndex), VoterChangeError> {
        self.may_change_voters()?;
        let changes = changes_between(self.voters(), &voters);
        if changes > 1 {
            return Err(VoterChangeError::TooManyChanges(changes));
        }
        let index = self.append_own(Payload::Voters(voters));
        self.follow_voters();
        self.broadcast_append();
        Ok((self.hard_state.term, index))
    }

    /// Keeps track of just the machines that get this leader's log.
    fn follow_voters(&mut self) {
        let voters = self.log.voters();
        self.learners.retain(|machine| !voters.contains_key(machine));
        let followers: BTreeSet<MachineName> = self.followers().into_iter().collect();
        followers.iter().for_each(|machine| self.track(machine.clone()));
        self.progress.retain(|machine, _| followers.contains(machine));
    }

    /// Lets a leader send its log to `machines`, which do not vote, and to no others besides the
    /// voters.
    pub fn set_learners(&mut self, machines: BTreeSet<MachineName>) {
        if self.role == Role::Leader && machines != self.learners {
            self.learners = machines;
            self.follow_voters();
        }
    }

    /// The identity of a machine that does not count under it, a learner or a voter with a new data
    /// folder, once it holds all but the last few entries.
    pub fn caught_up_identity(&self, name: &MachineName) -> Option<u64> {
        let progress = self.progress.get(name)?;
        let complete = progress.matched > 0 && progress.matched + CATCH_UP_ENTRIES >= self.commit;
        (complete && !self.is_voting_identity(name, progress.identity)).then_some(progress.identity)
    }

    /// Time since `name` last answered this leader; `None` if it is not tracked.
    pub fn time_since_contact(&self, name: &MachineName) -> Option<Millis> {
        let progress = self.progress.get(name)?;
        Some(self.now.since(progress.last_reply_at))
    }

    /// Starts to follow how far a replica's log has come.
    fn track(&mut self, name: MachineName) {
        let next = self.log.last_index() + 1;
        let now = self.now;
        self.progress.entry(name).or_insert_with(|| Progress::starting_at(next, now));
    }

    /// The voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<MachineName> {
        let name = &self.config.name;
        self.voters().keys().filter(|other| *other != name).cloned().collect()
    }

    /// All machines that get this leader's log.
    pub(crate) fn followers(&self) -> Vec<MachineName> {
        self.other_voters().into_iter().chain(self.learners.iter().cloned()).collect()
    }

    /// Voters that make a majority.
    pub(crate) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }
}

/// Machines that were added, removed or renewed.
fn changes_between(before: &Voters, after: &Voters) -> usize {
    let machines: BTreeSet<&MachineName> = before.keys().chain(after.keys()).collect();
    machines.into_iter().filter(|machine| before.get(*machine) != after.get(*machine)).count()
}
