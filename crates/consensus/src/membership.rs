//! The voters, and how a leader changes them.
//!
//! The voters are those of the newest entry in the log that names any, see [`crate::log`]. One
//! machine is added, removed or renewed at a time, so any two majorities, before and after the
//! change, share a replica. The old identity of a renewed machine was lost with its data folder and
//! takes part in no majority any more. A leader starts a change only after the previous change and
//! an entry of its own term are committed: otherwise two leaders could be two changes apart, with
//! disjoint majorities.

use crate::message::{Envelope, LogIndex, Message, Payload, Term, Voters};
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

    /// Handles the pre-vote of a machine that is no voter while a leader holds a lease. It was removed
    /// while it was cut off, so no leader sends it the log: the leader does so until it has the entry
    /// that removes it, and other replicas pass the message on to the leader. Returns whether that
    /// was done.
    pub(crate) fn inform_former_voter(&mut self, envelope: &Envelope) -> bool {
        let from = &envelope.from;
        let is_pre_vote = matches!(envelope.message, Message::PreVote { .. });
        if !is_pre_vote || self.voters().contains_key(from) || !self.is_voter() {
            return false;
        }
        match (self.role, self.leader.clone()) {
            (Role::Leader, _) => {
                self.former_voters.insert(from.clone());
                self.update_followers();
                self.send_append(from.clone());
                true
            }
            (Role::Follower, Some(leader)) if self.in_lease_of_leader() => {
                self.messages.push((leader, envelope.clone()));
                true
            }
            _ => false,
        }
    }

    /// Stops sending the log to a former voter that has the entry which removes it.
    pub(crate) fn on_former_voter_reply(&mut self, name: &MachineName, matched: LogIndex) {
        let voters_index = self.log.voters_index();
        if voters_index <= self.commit && matched >= voters_index && self.former_voters.remove(name)
        {
            self.update_followers();
        }
    }

    /// Tracks the progress of exactly the machines that receive this leader's log.
    fn update_followers(&mut self) {
        let voters = self.log.voters();
        self.learners.retain(|machine| !voters.contains_key(machine));
        self.former_voters.retain(|machine| !voters.contains_key(machine));
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
        let others = self.learners.union(&self.former_voters).cloned();
        self.other_voters().into_iter().chain(others).collect()
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
