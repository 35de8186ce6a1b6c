//! The voters, and how a leader changes them.
//!
//! The voters are those of the newest entry in the log that names any, see [`crate::log`]. One
//! machine is added, removed or renewed at a time, so any two majorities, before and after the
//! change, share a replica. The old identity of a renewed machine was lost with its data folder and
//! takes part in no majority any more. A leader starts a change only after the previous change and
//! an entry of its own term are committed: otherwise two leaders could be two changes apart, with
//! disjoint majorities.

use crate::message::{LogIndex, Payload, Term, Voters};
use crate::raft::{NotLeader, Progress, Raft, Role};
use stackpost_types::{MachineName, Millis};
use std::collections::BTreeSet;
use thiserror::Error;

/// Entries that a machine may still lack when it becomes a voter. It receives the rest with the
/// next heartbeat; a machine with a slow disk would never catch up completely with a leader that
/// appends continuously.
const CATCH_UP_ENTRIES: u64 = 64;

/// The reason why the voters can't be changed now.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VoterChangeError {
    /// Only a leader can change the voters.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet.
    #[error("no entry of the leader's own term is committed yet")]
    TermNotCommitted,
    /// The previous change is not committed yet.
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

    /// Whether this replica is a voter under its own identity.
    pub fn is_voter(&self) -> bool {
        self.is_voting_identity(&self.config.name, self.config.identity)
    }

    /// Whether `machine` is a voter under `identity`.
    pub(crate) fn is_voting_identity(&self, machine: &MachineName, identity: u64) -> bool {
        self.voters().get(machine) == Some(&identity)
    }

    /// Checks whether a change of voters may start now.
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

    /// Proposes `voters` as the new voters. The change takes effect at once and is committed like
    /// any entry.
    pub fn propose_voters(&mut self, voters: Voters) -> Result<(Term, LogIndex), VoterChangeError> {
        self.may_change_voters()?;
        let changes = changes_between(self.voters(), &voters);
        if changes > 1 {
            return Err(VoterChangeError::TooManyChanges(changes));
        }
        let index = self.append_own(Payload::Voters(voters));
        self.update_followers();
        self.broadcast_append();
        Ok((self.hard_state.term, index))
    }

    /// Tracks the progress of exactly the machines that receive this leader's log.
    fn update_followers(&mut self) {
        let voters = self.log.voters();
        self.learners.retain(|machine| !voters.contains_key(machine));
        let followers: BTreeSet<MachineName> = self.followers().into_iter().collect();
        followers.iter().for_each(|machine| self.track_progress(machine.clone()));
        self.progress.retain(|machine, _| followers.contains(machine));
    }

    /// Sets the machines without a vote to which a leader sends its log besides the voters.
    pub fn set_learners(&mut self, machines: BTreeSet<MachineName>) {
        if self.role == Role::Leader && machines != self.learners {
            self.learners = machines;
            self.update_followers();
        }
    }

    /// The current identity of a learner, or of a voter with a new data folder, once it has all but
    /// the last few entries; `None` if that identity is already a voter.
    pub fn caught_up_identity(&self, name: &MachineName) -> Option<u64> {
        let progress = self.progress.get(name)?;
        let is_caught_up =
            progress.matched > 0 && progress.matched + CATCH_UP_ENTRIES >= self.commit;
        (is_caught_up && !self.is_voting_identity(name, progress.identity))
            .then_some(progress.identity)
    }

    /// Time since the last reply of `name` to this leader; `None` if it is not tracked.
    pub fn time_since_contact(&self, name: &MachineName) -> Option<Millis> {
        let progress = self.progress.get(name)?;
        Some(self.now.since(progress.last_reply_at))
    }

    /// Starts tracking the progress of a replica.
    fn track_progress(&mut self, name: MachineName) {
        let next = self.log.last_index() + 1;
        let now = self.now;
        self.progress.entry(name).or_insert_with(|| Progress::starting_at(next, now));
    }

    /// The voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<MachineName> {
        let name = &self.config.name;
        self.voters().keys().filter(|other| *other != name).cloned().collect()
    }

    /// All machines that receive this leader's log.
    pub(crate) fn followers(&self) -> Vec<MachineName> {
        self.other_voters().into_iter().chain(self.learners.iter().cloned()).collect()
    }

    /// Number of voters in a majority.
    pub(crate) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }
}

/// Number of machines that were added, removed or renewed.
fn changes_between(before: &Voters, after: &Voters) -> usize {
    let machines: BTreeSet<&MachineName> = before.keys().chain(after.keys()).collect();
    machines.into_iter().filter(|machine| before.get(*machine) != after.get(*machine)).count()
}
