//! Elections: pre-votes, votes, and changes of role.

use crate::election_event::{ElectionEvent, VoteRefusal};
use crate::message::*;
use crate::raft::{Progress, Raft, Role};
use stackpost_types::MachineName;

impl Raft {
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<MachineName>) {
        if term > self.hard_state.term {
            self.set_term(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reads.clear();
        self.progress.clear();
        self.learners.clear();
        self.former_voters.clear();
        self.reset_campaign_timer();
    }

    /// Asks the voters whether a campaign could succeed. A replica that was partitioned thus
    /// rejoins without deposing a healthy leader.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.just_started = [self.config.name.clone()].into();
        // A replica that has just started may have promised a lease that still lasts.
        let is_free = !self.in_lease_of_leader();
        self.votes = is_free.then(|| self.config.name.clone()).into_iter().collect();
        self.retry_campaign_soon();
        let term = self.hard_state.term + 1;
        self.elections.push(ElectionEvent::PreVoteRequested { term });
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for other in self.other_voters() {
            self.send(other, Message::PreVote { term, last_index, last_term });
        }
        self.count_pre_votes();
    }

    fn start_vote(&mut self, no_live_leader: bool) {
        let term = self.hard_state.term + 1;
        self.role = Role::Candidate;
        self.elections.push(ElectionEvent::Campaigned { term });
        self.set_term(term, Some(self.config.name.clone()));
        self.votes = [self.config.name.clone()].into();
        self.reset_campaign_timer();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for other in self.other_voters() {
            self.send(other, Message::Vote { term, last_index, last_term, no_live_leader });
        }
        self.count_votes();
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: MachineName,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let refusal = self.pre_vote_refusal(&from, term, last_index, last_term);
        let would_grant = matches!(refusal, None | Some(VoteRefusal::LeaseMayBeActive));
        let granted = refusal.is_none();
        let just_started = would_grant && self.may_ignore_earlier_promise();
        if let Some(reason) = refusal {
            self.record_refusal(&from, reason);
        }
        if granted || just_started {
            self.campaign_at = self.campaign_at.max(self.now + self.config.heartbeat_interval);
        }
        let term = if granted || just_started { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted, just_started });
    }

    /// The reason why this replica would not vote for `candidate`. The lease is checked last,
    /// because the other reasons hold whether or not this replica has just started.
    fn pre_vote_refusal(
        &self,
        candidate: &MachineName,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) -> Option<VoteRefusal> {
        if let Some(refusal) = self.vote_refusal(last_index, last_term) {
            return Some(refusal);
        }
        if term <= self.hard_state.term {
            return Some(VoteRefusal::StaleTerm);
        }
        if self.has_priority_over(candidate, last_index, last_term) {
            return Some(VoteRefusal::OwnCampaign);
        }
        self.has_live_leader().then_some(VoteRefusal::LeaseMayBeActive)
    }

    /// The reason why this replica votes for no candidate with such a log, whatever the term.
    /// Whether this replica is a voter is not checked: the candidate's log decides whose votes
    /// count.
    fn vote_refusal(&self, last_index: LogIndex, last_term: Term) -> Option<VoteRefusal> {
        let own = self.log.last_index();
        let candidate_behind = VoteRefusal::CandidateBehind { candidate: last_index, own };
        (!self.is_up_to_date(last_index, last_term)).then_some(candidate_behind)
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: MachineName,
        term: Term,
        granted: bool,
        just_started: bool,
    ) {
        let expected = term == self.hard_state.term + 1;
        if self.role != Role::PreCandidate || !expected {
            return;
        }
        if granted {
            self.votes.insert(from.clone());
        }
        if granted || just_started {
            self.just_started.insert(from);
        }
        self.count_pre_votes();
    }

    pub(crate) fn on_vote(
        &mut self,
        from: MachineName,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        if term > self.hard_state.term {
            // The newer term was not adopted because a leader may hold a lease: no reply and no
            // change.
            self.record_refusal(&from, VoteRefusal::LeaseMayBeActive);
            return;
        }
        let voted_for = self.hard_state.voted_for.clone().filter(|candidate| *candidate != from);
        let refusal = match voted_for {
            Some(other) => Some(VoteRefusal::AlreadyVoted(other)),
            None if self.role != Role::Follower => Some(VoteRefusal::OwnCampaign),
            None => self.vote_refusal(last_index, last_term),
        };
        let granted = refusal.is_none();
        if let Some(reason) = refusal {
            self.record_refusal(&from, reason);
        }
        if granted {
            self.set_term(term, Some(from.clone()));
            self.reset_campaign_timer();
        }
        self.send(from, Message::VoteReply { term: self.hard_state.term, granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: MachineName, term: Term, granted: bool) {
        if self.role == Role::Candidate && granted && term == self.hard_state.term {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    /// A majority that has received nothing from a leader for the length of a lease is enough.
    /// After a restart it is also enough that every voter replies that it is not the leader and has
    /// promised nothing since it started: whoever held a lease is one of the voters, so no lease is
    /// left, whatever a voter had promised before its restart.
    fn count_pre_votes(&mut self) {
        let no_live_leader = self.voters().keys().all(|voter| self.just_started.contains(voter));
        if no_live_leader || self.votes.len() >= self.quorum() {
            self.start_vote(no_live_leader);
        }
    }

    fn count_votes(&mut self) {
        if self.votes.len() >= self.quorum() {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.elections.push(ElectionEvent::Elected { term: self.hard_state.term });
        self.has_seen_leader = true;
        self.leader = Some(self.config.name.clone());
        self.leader_since = self.now;
        self.reads.clear();
        self.rounds_sent.clear();
        let next = self.log.last_index() + 1;
        let others = self.other_voters().into_iter();
        self.progress = others.map(|name| (name, Progress::starting_at(next, self.now))).collect();
        // Entries of earlier terms are committed only together with one of this term (Raft, 5.4.2).
        self.append_own(Payload::Empty);
        self.begin_round();
        self.broadcast_append();
    }

    /// Whether this replica requests pre-votes itself and has priority over `other`. If both
    /// granted each other's pre-vote, both would campaign in the same term and neither could win.
    fn has_priority_over(
        &self,
        other: &MachineName,
        last_index: LogIndex,
        last_term: Term,
    ) -> bool {
        let equal_log = (last_term, last_index) == (self.log.last_term(), self.log.last_index());
        self.role == Role::PreCandidate && equal_log && self.config.name < *other
    }

    /// Whether nothing but a promise from before its start can keep this replica from voting.
    pub(crate) fn may_ignore_earlier_promise(&self) -> bool {
        self.role != Role::Leader && !self.has_seen_leader
    }

    fn has_live_leader(&self) -> bool {
        self.role == Role::Leader || self.in_lease_of_leader()
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }
}
