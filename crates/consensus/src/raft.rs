//! One replica: the state shared by elections and replication, and the entry points.

use crate::election_event::{ElectionEvent, VoteRefusal};
use crate::log::Log;
use crate::message::*;
use crate::ready::{ReadConfirmed, Ready};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpost_types::{MachineName, Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Time after which a newer commit index is stored if nothing else has been written.
const COMMIT_SAVE_DELAY: Millis = Millis(250);

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this replica.
    pub name: MachineName,
    /// The identity generated with its data folder.
    pub identity: u64,
    /// The voters until a snapshot or an entry names them. Empty for a replica that has yet to be
    /// added by the others.
    pub initial_voters: Voters,
    /// Shortest time without a message from the leader before a campaign. Also the length of a
    /// lease.
    pub election_timeout: Millis,
    /// Time between two heartbeats.
    pub heartbeat_interval: Millis,
    /// Subtracted from the end of a lease, since clocks may run at different speeds.
    pub lease_margin: Millis,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// State that a replica has read from its data folder.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// The stored hard state.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// The replica is not the leader and can't propose or confirm reads.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not the leader; known leader: {}", .leader.as_ref().map_or("none", MachineName::as_str))]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<MachineName>,
}

/// A leader's record of one other replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub next: LogIndex,
    pub matched: LogIndex,
    /// Latest heartbeat round to which the replica has replied.
    pub round: u64,
    /// When the leader sent that round.
    pub round_sent: Timestamp,
    /// The identity in its last reply.
    pub identity: u64,
    /// Time of its last reply, by the leader's clock.
    pub last_reply_at: Timestamp,
}

impl Progress {
    /// Progress of a replica of which nothing is known yet; entries are sent starting at `next`.
    pub fn starting_at(next: LogIndex, now: Timestamp) -> Self {
        Self { next, round_sent: now, last_reply_at: now, ..Self::default() }
    }
}

/// A read that waits until a majority has confirmed the leader.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub context: u64,
    pub index: LogIndex,
    pub round: u64,
}

/// One replica.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) rng: ChaCha8Rng,
    /// Machines that receive the log but do not vote. Kept by the leader only; not durable.
    pub(crate) learners: BTreeSet<MachineName>,
    /// Machines that do not know yet that they are no voters any more. Kept by the leader only; not
    /// durable.
    pub(crate) former_voters: BTreeSet<MachineName>,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<MachineName>,
    pub(crate) votes: BTreeSet<MachineName>,
    /// Voters that have replied since the last pre-vote that they are not the leader and have
    /// promised nothing since they started, or that would vote anyway.
    pub(crate) just_started: BTreeSet<MachineName>,
    /// Whether this replica has received a leader's message, or has been the leader, since it
    /// started.
    pub(crate) has_seen_leader: bool,
    pub(crate) progress: BTreeMap<MachineName, Progress>,
    pub(crate) round: u64,
    pub(crate) rounds_sent: BTreeMap<u64, Timestamp>,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) now: Timestamp,
    pub(crate) last_contact: Timestamp,
    pub(crate) campaign_at: Timestamp,
    pub(crate) heartbeat_at: Timestamp,
    pub(crate) leader_since: Timestamp,
    // Output that the driver has not taken yet.
    pub(crate) messages: Vec<(MachineName, Envelope)>,
    pub(crate) confirmed_reads: Vec<ReadConfirmed>,
    pub(crate) elections: Vec<ElectionEvent>,
    pub(crate) new_snapshot: Option<Snapshot>,
    hard_state_dirty: bool,
    /// When the first commit index newer than the stored one became known.
    commit_unsaved_since: Option<Timestamp>,
    /// Last entry known to be durable here; the leader's own log counts for a commit only up to it.
    pub(crate) durable: LogIndex,
    applied: LogIndex,
}

impl Raft {
    /// Starts a replica from its restored state.
    pub fn new(config: Config, mut restored: RestoredState, now: Timestamp) -> Self {
        if restored.snapshot.index == 0 {
            restored.snapshot.voters = config.initial_voters.clone();
        }
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let log = Log::new(restored.snapshot, restored.entries);
        let commit = restored.hard_state.commit.min(log.last_index()).max(log.snapshot().index);
        let durable = log.last_index();
        let mut raft = Self {
            config,
            rng,
            learners: BTreeSet::new(),
            former_voters: BTreeSet::new(),
            hard_state: restored.hard_state,
            commit,
            role: Role::Follower,
            leader: None,
            votes: BTreeSet::new(),
            just_started: BTreeSet::new(),
            has_seen_leader: false,
            progress: BTreeMap::new(),
            round: 0,
            rounds_sent: BTreeMap::new(),
            reads: Vec::new(),
            now,
            // The replica may have promised not to vote just before it stopped, so it starts as if
            // it had received a leader's message now.
            last_contact: now,
            campaign_at: now,
            heartbeat_at: now,
            leader_since: now,
            messages: Vec::new(),
            confirmed_reads: Vec::new(),
            elections: Vec::new(),
            new_snapshot: None,
            hard_state_dirty: false,
            commit_unsaved_since: None,
            durable,
            applied: log.snapshot().index,
            log,
        };
        raft.retry_campaign_soon();
        raft
    }

    /// This replica's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<&MachineName> {
        self.leader.as_ref()
    }

    /// Index of the latest entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Size in bytes of the entries after the latest snapshot, up to `index`.
    pub fn log_bytes_until(&self, index: LogIndex) -> usize {
        self.log.bytes_between(self.snapshot_index(), index)
    }

    /// Index of the latest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().index
    }

    /// Time until which no other replica can have become leader, by this replica's clock. `None` if
    /// this replica is not a leader that a majority has confirmed.
    pub fn lease_until(&self) -> Option<Timestamp> {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            return None;
        }
        let confirmed = self.majority_round_time()?;
        let end = confirmed + self.config.election_timeout;
        Some(Timestamp(end.0.saturating_sub(self.config.lease_margin.0)))
    }

    /// When this replica became leader; `None` if it is not the leader.
    pub fn leader_since(&self) -> Option<Timestamp> {
        (self.role == Role::Leader).then_some(self.leader_since)
    }

    /// Advances the clock to `now` and runs what is due.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.save_commit_when_idle();
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.campaign_at && self.is_voter() {
            self.start_pre_vote();
        }
    }

    /// Processes a message.
    pub fn step(&mut self, now: Timestamp, envelope: Envelope) {
        self.now = self.now.max(now);
        if self.is_reply_from_unknown(&envelope) || self.inform_former_voter(&envelope) {
            return;
        }
        self.observe_term(&envelope);
        if envelope.message.term() < self.hard_state.term {
            self.reply_to_stale(&envelope);
            return;
        }
        self.record_uncounted_vote(&envelope);
        let Envelope { from, identity, message } = envelope;
        let is_voting_identity = self.is_voting_identity(&from, identity);
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term);
            }
            Message::Vote { term, last_index, last_term, .. } => {
                self.on_vote(from, term, last_index, last_term);
            }
            Message::PreVoteReply { term, granted, just_started } if is_voting_identity => {
                self.on_pre_vote_reply(from, term, granted, just_started);
            }
            Message::VoteReply { term, granted } if is_voting_identity => {
                self.on_vote_reply(from, term, granted);
            }
            Message::Append { prev_index, prev_term, entries, commit, round, .. } => {
                self.on_append(from, prev_index, prev_term, entries, commit, round);
            }
            Message::Install { snapshot, round, .. } => self.on_install(from, snapshot, round),
            Message::AppendReply { accepted, index, round, .. } => {
                self.on_append_reply(from, identity, accepted, index, round);
            }
            Message::PreVoteReply { .. } | Message::VoteReply { .. } => {}
        }
    }

    /// Appends a command to the leader's log. Once committed, it is returned in a [`Ready`].
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(Term, LogIndex), NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        let index = self.append_own(Payload::Command(data));
        self.broadcast_append();
        Ok((self.hard_state.term, index))
    }

    /// Requests a linearizable read; the confirmation is returned in a [`Ready`] under `context`.
    pub fn read_index(&mut self, context: u64) -> Result<(), NotLeader> {
        // Before it has committed an entry of its term, a leader may not know its predecessors'
        // last commits.
        if self.role != Role::Leader || !self.has_committed_in_term() {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        self.begin_round();
        self.reads.push(PendingRead { context, index: self.commit, round: self.round });
        self.broadcast_append();
        self.confirm_reads();
        Ok(())
    }

    /// Returns the work that has accumulated.
    pub fn ready(&mut self) -> Ready {
        let snapshot = self.new_snapshot.take();
        if let Some(installed) = &snapshot {
            self.applied = self.applied.max(installed.index);
        }
        let entries = self.log.slice(self.durable + 1, usize::MAX);
        let committed = self.take_committed();
        // The commit index is stored together with any other write.
        let has_writes = std::mem::take(&mut self.hard_state_dirty) || !entries.is_empty();
        if has_writes {
            self.hard_state.commit = self.commit;
            self.commit_unsaved_since = None;
        }
        Ready {
            hard_state: has_writes.then(|| self.hard_state.clone()),
            snapshot,
            entries,
            messages: std::mem::take(&mut self.messages),
            committed,
            reads: std::mem::take(&mut self.confirmed_reads),
            elections: std::mem::take(&mut self.elections),
        }
    }

    /// Records that the driver has synced the entries of the last [`Ready`].
    pub fn advance(&mut self) {
        self.durable = self.log.last_index();
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Replaces the entries up to `index` by a snapshot of the driver's state.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.applied {
            self.log.compact(index, data);
        }
    }

    /// The durable state besides the log.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// The entries after the latest snapshot.
    pub fn entries_after_snapshot(&self) -> Vec<Entry> {
        self.log.slice(self.snapshot_index() + 1, usize::MAX)
    }

    /// Term of the entry at `index`, if it is not compacted away.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Replies are accepted only from known machines. Messages of leaders and candidates are
    /// accepted from any machine: the sender acts by its own log, which may be ahead of this one
    /// (Ongaro's dissertation, section 4.1). This is safe: a candidate counts only the votes of
    /// identities in its own log, and a removed machine lacks the entry that removes it.
    fn is_reply_from_unknown(&self, envelope: &Envelope) -> bool {
        let is_reply = matches!(
            envelope.message,
            Message::AppendReply { .. } | Message::PreVoteReply { .. } | Message::VoteReply { .. }
        );
        let from = &envelope.from;
        let is_known = self.voters().contains_key(from)
            || self.learners.contains(from)
            || self.former_voters.contains(from);
        is_reply && !is_known
    }

    /// Stores a newer commit index after a delay if no new entries are written.
    fn save_commit_when_idle(&mut self) {
        if self.commit <= self.hard_state.commit {
            return;
        }
        let since = *self.commit_unsaved_since.get_or_insert(self.now);
        if self.now.since(since) >= COMMIT_SAVE_DELAY {
            self.hard_state_dirty = true;
        }
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        // An entry may be committed before it is durable here. The driver syncs the entries of a
        // `Ready` before it applies the committed ones, so a restart finds them.
        let until = self.commit.min(self.log.last_index());
        let entries = self.log.slice(self.applied + 1, until.saturating_sub(self.applied) as usize);
        self.applied = self.applied.max(until);
        entries
    }

    /// Adopts a newer term and becomes a follower in it. The term of a pre-vote or of a positive
    /// reply to one is not adopted: no replica has entered it yet.
    fn observe_term(&mut self, envelope: &Envelope) {
        let is_hypothetical = matches!(
            envelope.message,
            Message::PreVote { .. }
                | Message::PreVoteReply { granted: true, .. }
                | Message::PreVoteReply { just_started: true, .. }
        );
        let is_newer = envelope.message.term() > self.hard_state.term;
        if !is_newer || is_hypothetical {
            return;
        }
        if let Message::Vote { no_live_leader, .. } = envelope.message {
            let ignores_earlier_promise = no_live_leader && self.may_ignore_earlier_promise();
            if self.in_lease_of_leader() && !ignores_earlier_promise {
                return;
            }
        }
        self.become_follower(envelope.message.term(), None);
    }

    /// Records a reply to a campaign under another identity than the one that counts.
    fn record_uncounted_vote(&mut self, envelope: &Envelope) {
        if !matches!(envelope.message, Message::PreVoteReply { .. } | Message::VoteReply { .. }) {
            return;
        }
        let (voter, identity) = (envelope.from.clone(), envelope.identity);
        if let Some(counted) = self.voters().get(&voter).copied().filter(|one| *one != identity) {
            self.elections.push(ElectionEvent::UncountedVote { voter, identity, counted });
        }
    }

    pub(crate) fn record_refusal(&mut self, candidate: &MachineName, reason: VoteRefusal) {
        self.elections.push(ElectionEvent::Refused { candidate: candidate.clone(), reason });
    }

    fn reply_to_stale(&mut self, envelope: &Envelope) {
        let term = self.hard_state.term;
        let reply = match envelope.message {
            Message::PreVote { .. } => {
                self.record_refusal(&envelope.from, VoteRefusal::StaleTerm);
                Message::PreVoteReply { term, granted: false, just_started: false }
            }
            Message::Vote { .. } => {
                self.record_refusal(&envelope.from, VoteRefusal::StaleTerm);
                Message::VoteReply { term, granted: false }
            }
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let index = self.log.last_index();
                Message::AppendReply { term, accepted: false, index, round }
            }
            _ => return,
        };
        self.send(envelope.from.clone(), reply);
    }

    pub(crate) fn send(&mut self, to: MachineName, message: Message) {
        let from = self.config.name.clone();
        let identity = self.config.identity;
        self.messages.push((to, Envelope { from, identity, message }));
    }

    pub(crate) fn set_term(&mut self, term: Term, voted_for: Option<MachineName>) {
        self.hard_state = HardState { term, voted_for, commit: self.hard_state.commit };
        self.hard_state_dirty = true;
    }

    /// Whether this replica counts itself in majorities; a leader that is no longer a voter must
    /// not.
    pub(crate) fn counts_own_vote(&self) -> bool {
        self.is_voter()
    }

    pub(crate) fn reset_campaign_timer(&mut self) {
        let base = self.config.election_timeout.0;
        let spread = self.rng.random_range(0..=base);
        self.campaign_at = self.now + Millis(base + spread);
    }

    /// A pre-vote does not disturb other replicas, so a failed one is retried soon.
    pub(crate) fn retry_campaign_soon(&mut self) {
        let base = self.config.heartbeat_interval.0;
        let spread = self.rng.random_range(0..=base);
        self.campaign_at = self.now + Millis(base + spread);
    }

    /// Whether the last contact with a leader is so recent that the leader may rely on its lease.
    pub(crate) fn in_lease_of_leader(&self) -> bool {
        self.now.since(self.last_contact) < self.config.election_timeout
    }
}
