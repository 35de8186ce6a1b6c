//! Replication on the leader and on the followers.

use crate::election_event::ElectionEvent;
use crate::message::*;
use crate::raft::{Progress, Raft, Role};
use crate::ready::ReadConfirmed;
use stackpost_types::{MachineName, Timestamp};

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// Size in bytes up to which entries are put into one message. A larger one goes alone.
pub const MAX_BYTES_PER_MESSAGE: usize = 512 * 1024;
/// Bytes of entries under way to one follower from which no more are sent. Heartbeats, which follow
/// them on the same connection, thus arrive well within an election timeout.
pub const MAX_BYTES_IN_FLIGHT: usize = 2 * 1024 * 1024;
/// Number of heartbeat rounds whose send time is kept.
const MAX_TRACKED_ROUNDS: usize = 64;

impl Raft {
    pub(crate) fn tick_leader(&mut self) {
        if self.now >= self.heartbeat_at {
            self.begin_round();
            self.broadcast_append();
        }
        self.check_quorum();
    }

    /// A leader that got no replies from a majority for an election timeout steps down: another
    /// leader may have been elected without its knowledge.
    fn check_quorum(&mut self) {
        let confirmed = self.majority_round_time().unwrap_or(self.leader_since);
        if self.now.since(confirmed) >= self.config.election_timeout {
            self.elections.push(ElectionEvent::LostQuorum { term: self.hard_state.term });
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn begin_round(&mut self) {
        self.round += 1;
        self.rounds_sent.insert(self.round, self.now);
        if self.rounds_sent.len() > MAX_TRACKED_ROUNDS {
            self.rounds_sent.pop_first();
        }
        self.heartbeat_at = self.now + self.config.heartbeat_interval;
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.log.push(Entry { term: self.hard_state.term, index, payload });
        index
    }

    pub(crate) fn broadcast_append(&mut self) {
        for other in self.followers() {
            self.send_append(other);
        }
    }

    pub(crate) fn send_append(&mut self, to: MachineName) {
        let term = self.hard_state.term;
        let round = self.round;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let snapshot = self.log.snapshot().clone();
            progress.next = snapshot.index + 1;
            self.send(to, Message::Install { term, snapshot, round });
            return;
        };
        let in_flight = self.log.bytes_between(progress.matched, prev_index);
        let entries = match in_flight < MAX_BYTES_IN_FLIGHT {
            true => self.log.batch(progress.next, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE),
            // A heartbeat. If what is under way was lost, the reply to it says so.
            false => Vec::new(),
        };
        // Advanced before the reply arrives; a refusal or the next reply corrects it.
        progress.next += entries.len() as u64;
        let commit = self.commit;
        self.send(to, Message::Append { term, prev_index, prev_term, entries, commit, round });
    }

    pub(crate) fn on_append(
        &mut self,
        from: MachineName,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
    ) {
        self.follow_leader(&from);
        let term = self.hard_state.term;
        if !self.matches(prev_index, prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            self.send(from, Message::AppendReply { term, accepted: false, index, round });
            return;
        }
        let last_new = prev_index + entries.len() as u64;
        for entry in entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last_new));
        self.send(from, Message::AppendReply { term, accepted: true, index: last_new, round });
    }

    /// Entries before the snapshot are committed and therefore match.
    fn matches(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        prev_index < self.snapshot_index() || self.log.term_at(prev_index) == Some(prev_term)
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.snapshot_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                // A conflicting entry is not committed here, since the leader has all committed
                // entries.
                self.log.truncate_from(entry.index);
                self.durable = self.durable.min(entry.index - 1);
                self.log.push(entry);
            }
            None => self.log.push(entry),
        }
    }

    pub(crate) fn on_install(&mut self, from: MachineName, snapshot: Snapshot, round: u64) {
        self.follow_leader(&from);
        let index = snapshot.index;
        if index > self.commit {
            self.commit = index;
            self.log.install(snapshot.clone());
            self.durable = self.durable.max(index);
            self.new_snapshot = Some(snapshot);
        }
        let term = self.hard_state.term;
        self.send(from, Message::AppendReply { term, accepted: true, index, round });
    }

    fn follow_leader(&mut self, leader: &MachineName) {
        if self.role != Role::Follower || self.leader.as_ref() != Some(leader) {
            self.become_follower(self.hard_state.term, Some(leader.clone()));
        }
        self.last_contact = self.now;
        self.has_seen_leader = true;
        self.reset_campaign_timer();
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MachineName,
        identity: u64,
        accepted: bool,
        index: LogIndex,
        round: u64,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let sent = self.rounds_sent.get(&round).copied();
        let now = self.now;
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_reply_at = now;
        if progress.identity != identity {
            // A new data folder: acknowledgements of the old identity no longer count.
            *progress = Progress { identity, ..Progress::starting_at(last + 1, now) };
        }
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
        } else {
            progress.next = (index + 1).max(progress.matched + 1).min(last + 1);
        }
        if let Some(sent) = sent
            && round > progress.round
        {
            progress.round = round;
            progress.round_sent = sent;
        }
        let (is_behind, matched) = (progress.next <= last, progress.matched);
        if !accepted || is_behind {
            self.send_append(from.clone());
        }
        self.on_former_voter_reply(&from, matched);
        self.advance_commit();
        self.confirm_reads();
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard_state.term)
    }

    pub(crate) fn advance_commit(&mut self) {
        let mut matched: Vec<LogIndex> = self
            .progress
            .iter()
            .filter(|(name, progress)| self.is_voting_identity(name, progress.identity))
            .map(|(_, progress)| progress.matched)
            .collect();
        if self.counts_own_vote() {
            matched.push(self.durable);
        }
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority) = matched.get(self.quorum() - 1).copied() else {
            return;
        };
        // Only entries of the current term are committed by counting replicas (Raft, 5.4.2).
        if majority > self.commit && self.log.term_at(majority) == Some(self.hard_state.term) {
            self.commit = majority;
        }
    }

    /// Send time of the latest round to which a majority, including this replica, has replied.
    pub(crate) fn majority_round_time(&self) -> Option<Timestamp> {
        let mut times: Vec<Timestamp> = self
            .progress
            .iter()
            .filter(|(name, progress)| {
                self.is_voting_identity(name, progress.identity) && progress.round > 0
            })
            .map(|(_, progress)| progress.round_sent)
            .collect();
        if self.counts_own_vote() {
            times.push(self.now);
        }
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(self.quorum() - 1).copied()
    }

    pub(crate) fn confirm_reads(&mut self) {
        let mut rounds: Vec<u64> = self
            .progress
            .iter()
            .filter(|(name, progress)| self.is_voting_identity(name, progress.identity))
            .map(|(_, progress)| progress.round)
            .collect();
        if self.counts_own_vote() {
            rounds.push(self.round);
        }
        rounds.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority) = rounds.get(self.quorum() - 1).copied() else {
            return;
        };
        let (confirmed, waiting) =
            std::mem::take(&mut self.reads).into_iter().partition(|read| read.round <= majority);
        self.reads = waiting;
        let confirmed: Vec<crate::raft::PendingRead> = confirmed;
        let confirmations = confirmed
            .into_iter()
            .map(|read| ReadConfirmed { context: read.context, index: read.index });
        self.confirmed_reads.extend(confirmations);
    }
}
