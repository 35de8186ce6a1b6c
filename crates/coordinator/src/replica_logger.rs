//! Lines in the log that tell what a replica found at its start, who votes, and why nobody leads.
//!
//! Elections that fail are repeated several times a second, so a line that says the same again is
//! held back for a while.

use stackpost_consensus::{ElectionEvent, Raft, Role};
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::BTreeMap;

/// A line with the same content is written again after so long.
const REPEAT_AFTER: Millis = Millis(2_000);
/// Time without a leader after which each replica says so.
const LEADERLESS_AFTER: Millis = Millis(2_000);

/// Writes what happens to one replica.
#[derive(Debug)]
pub(crate) struct ReplicaLogger {
    written: BTreeMap<String, Timestamp>,
    voters: BTreeMap<MachineName, u64>,
    leader_known_at: Timestamp,
}

impl ReplicaLogger {
    /// Writes what a replica found on its disk.
    pub fn log_opened(raft: &Raft, identity: u64, disk_was_empty: bool, now: Timestamp) -> Self {
        let voters = raft.voters().clone();
        log::info!(
            step = "start",
            disk_was_empty = disk_was_empty,
            identity = format!("{identity:x}").as_str(),
            votes = raft.is_voter(),
            voters = listed(&voters).as_str(),
            term = raft.term(),
            snapshot = raft.snapshot_index(),
            last_index = raft.last_index();
            "replica opened"
        );
        Self { written: BTreeMap::new(), voters, leader_known_at: now }
    }

    /// Writes one event of an election.
    pub fn log_election(&mut self, now: Timestamp, event: &ElectionEvent) {
        let line = match event {
            ElectionEvent::PreVoteRequested { .. } => "asks for pre-votes".to_string(),
            ElectionEvent::Campaigned { term } => format!("campaigns in term {term}"),
            ElectionEvent::Elected { term } => format!("elected in term {term}"),
            ElectionEvent::Refused { candidate, reason } => {
                format!("no vote for {candidate}: {reason}")
            }
            ElectionEvent::UncountedVote { voter, identity, counted } => {
                format!(
                    "the answer of {voter} does not count: it is {identity:x}, {counted:x} votes"
                )
            }
            ElectionEvent::LostQuorum { term } => {
                format!("leads no more in term {term}: no majority has answered")
            }
        };
        self.write(now, line);
    }

    /// Looks at the replica: a change of voters and a long time without a leader are written.
    pub fn observe(&mut self, now: Timestamp, raft: &Raft) {
        if *raft.voters() != self.voters {
            self.voters = raft.voters().clone();
            log::info!(
                step = "membership",
                voters = listed(&self.voters).as_str(),
                votes = raft.is_voter();
                "voters have changed"
            );
        }
        if raft.role() == Role::Leader || raft.leader().is_some() {
            self.leader_known_at = now;
        } else if now.since(self.leader_known_at) >= LEADERLESS_AFTER {
            let role = raft.role();
            let last = raft.last_index();
            let voters = listed(&self.voters);
            self.write(
                now,
                format!("knows no leader; {role:?}, log ends at {last}, voters {voters}"),
            );
        }
    }

    fn write(&mut self, now: Timestamp, line: String) {
        self.written.retain(|_, at| now.since(*at) < REPEAT_AFTER);
        if self.written.contains_key(&line) {
            return;
        }
        log::info!(step = "election"; "{line}");
        self.written.insert(line, now);
    }
}

/// The voters with their identities, for a line.
fn listed(voters: &BTreeMap<MachineName, u64>) -> String {
    let each = voters.iter().map(|(machine, identity)| format!("{machine}#{identity:x}"));
    each.collect::<Vec<_>>().join(" ")
}
