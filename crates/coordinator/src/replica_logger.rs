//! Log lines about a replica: what it found at its start, the voters, and why there is no leader.
//!
//! Failing elections are repeated several times a second, so a repeated line is suppressed for a
//! while.

use stackpost_consensus::{ElectionEvent, Raft, Role};
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::BTreeMap;

/// Time for which a line with the same content is suppressed.
const REPEAT_SUPPRESSION: Millis = Millis(2_000);
/// Time without a leader after which a replica logs it.
const LEADERLESS_LOG_DELAY: Millis = Millis(2_000);

/// Logs the events of one replica.
#[derive(Debug)]
pub(crate) struct ReplicaLogger {
    logged_at: BTreeMap<String, Timestamp>,
    voters: BTreeMap<MachineName, u64>,
    leader_known_at: Timestamp,
}

impl ReplicaLogger {
    /// Logs what a replica found on its disk.
    pub fn log_opened(raft: &Raft, identity: u64, disk_was_empty: bool, now: Timestamp) -> Self {
        let voters = raft.voters().clone();
        log::info!(
            step = "start",
            disk_was_empty = disk_was_empty,
            identity = format!("{identity:x}").as_str(),
            votes = raft.is_voter(),
            voters = format_voters(&voters).as_str(),
            term = raft.term(),
            snapshot = raft.snapshot_index(),
            last_index = raft.last_index();
            "replica opened"
        );
        Self { logged_at: BTreeMap::new(), voters, leader_known_at: now }
    }

    pub fn log_election(&mut self, now: Timestamp, event: &ElectionEvent) {
        let line = match event {
            ElectionEvent::PreVoteRequested { .. } => "requests pre-votes".to_string(),
            ElectionEvent::Campaigned { term } => format!("campaigns in term {term}"),
            ElectionEvent::Elected { term } => format!("elected in term {term}"),
            ElectionEvent::Refused { candidate, reason } => {
                format!("no vote for {candidate}: {reason}")
            }
            ElectionEvent::UncountedVote { voter, identity, counted } => {
                format!(
                    "the answer of {voter} does not count: identity {identity:x}, not {counted:x}"
                )
            }
            ElectionEvent::LostQuorum { term } => {
                format!("steps down in term {term}: no majority has replied")
            }
        };
        self.log_unless_repeated(now, line);
    }

    /// Logs a change of voters and a long time without a leader.
    pub fn observe(&mut self, now: Timestamp, raft: &Raft) {
        if *raft.voters() != self.voters {
            self.voters = raft.voters().clone();
            log::info!(
                step = "membership",
                voters = format_voters(&self.voters).as_str(),
                votes = raft.is_voter();
                "voters have changed"
            );
        }
        if raft.role() == Role::Leader || raft.leader().is_some() {
            self.leader_known_at = now;
        } else if now.since(self.leader_known_at) >= LEADERLESS_LOG_DELAY {
            let role = raft.role();
            let last = raft.last_index();
            let voters = format_voters(&self.voters);
            self.log_unless_repeated(
                now,
                format!("knows no leader; {role:?}, log ends at {last}, voters {voters}"),
            );
        }
    }

    fn log_unless_repeated(&mut self, now: Timestamp, line: String) {
        self.logged_at.retain(|_, at| now.since(*at) < REPEAT_SUPPRESSION);
        if self.logged_at.contains_key(&line) {
            return;
        }
        log::info!(step = "election"; "{line}");
        self.logged_at.insert(line, now);
    }
}

/// Formats the voters with their identities.
fn format_voters(voters: &BTreeMap<MachineName, u64>) -> String {
    let each = voters.iter().map(|(machine, identity)| format!("{machine}#{identity:x}"));
    each.collect::<Vec<_>>().join(" ")
}
