//! One control replica without sockets: the replicated log, its disk and the state.
//!
//! `handle` takes one event and returns what is to be done. Everything that must survive is synced
//! before the effects that promise it are returned.

use crate::message::Document;
use crate::prepaid_planner::PrepaidPlanner;
use crate::replica_api::*;
use crate::replica_log::ReplicaLog;
use crate::replica_opening::{open_store, read_command, read_state, voters_at_start};
use crate::state::{Command, FleetState, Outcome};
use crate::voters::{VoterStep, VoterView, next_step};
use stackpost_consensus::{Config, Entry, Raft, Ready, Role, Snapshot};
use stackpost_storage::{Disk, LogStore};
use stackpost_types::{MachineName, Millis, NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_ENTRIES: u64 = 400;
/// Longest wait for a change or a read before it is answered as unconfirmed.
const REPLY_LIMIT: Millis = Millis(900);
/// A read that could not be confirmed is asked again after so long.
const ROUND_LIMIT: Millis = Millis(200);

struct PendingPut {
    token: u64,
    term: u64,
    index: u64,
    since: Timestamp,
}

struct PendingRead {
    context: u64,
    since: Timestamp,
    asked_at: Timestamp,
}

/// One replica over a disk.
pub struct Replica<D> {
    config: ReplicaConfig,
    raft: Raft,
    store: LogStore<D>,
    state: FleetState,
    applied: u64,
    puts: Vec<PendingPut>,
    reads: BTreeMap<u64, PendingRead>,
    next_context: u64,
    planner: PrepaidPlanner,
    control_peers: BTreeSet<MachineName>,
    voter_change: Option<u64>,
    /// Up to this entry the voters rest on changes that may not have been committed.
    unsettled_until: u64,
    was_leading: bool,
    log: ReplicaLog,
    effects: Vec<ReplicaEffect>,
}

impl<D: Disk> Replica<D> {
    /// Opens the data folder, or makes it.
    pub fn open(config: ReplicaConfig, disk: D, now: Timestamp) -> Result<Self, ReplicaError> {
        let disk_was_empty = !LogStore::exists(&disk).map_err(ReplicaError::Store)?;
        let (store, restored) = open_store(&config, disk)?;
        let state = read_state(&restored.snapshot)?;
        let (voters, unsettled_until) = voters_at_start(&state, &restored.entries)?;
        let raft_config = Config {
            name: config.name.clone(),
            identity: store.identity(),
            voters,
            election_timeout: config.election_timeout,
            heartbeat_interval: config.heartbeat_interval,
            lease_margin: config.lease_margin,
            seed: config.seed,
        };
        let applied = restored.snapshot.index;
        let raft = Raft::new(raft_config, restored, now);
        let log = ReplicaLog::opened(&raft, store.identity(), disk_was_empty, now);
        Ok(Self {
            raft,
            log,
            config,
            store,
            state,
            applied,
            puts: Vec::new(),
            reads: BTreeMap::new(),
            next_context: 1,
            planner: PrepaidPlanner::default(),
            control_peers: BTreeSet::new(),
            voter_change: None,
            unsettled_until,
            was_leading: false,
            effects: Vec::new(),
        })
    }

    /// Takes in events. After an error the replica must be opened anew: what the disk holds is not
    /// known any more.
    pub fn handle(
        &mut self,
        now: Timestamp,
        events: impl IntoIterator<Item = ReplicaEvent>,
    ) -> Result<Vec<ReplicaEffect>, ReplicaError> {
        for event in events {
            self.take_in(now, event);
        }
        self.drive(now)?;
        Ok(std::mem::take(&mut self.effects))
    }

    fn take_in(&mut self, now: Timestamp, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Tick => self.tick(now),
            ReplicaEvent::Raft(envelope) => self.raft.step(now, envelope),
            ReplicaEvent::Put { token, bytes } => self.put(now, token, bytes),
            ReplicaEvent::Read { token } => self.read(now, token),
            ReplicaEvent::RouterReport { router, status } => {
                if let Some(echo) = status.echo {
                    self.planner.on_echo(now, &router, echo);
                }
                if self.raft.role() == Role::Leader {
                    self.planner.on_report(now, &router, status);
                    self.plan_prepaid(now);
                }
            }
            ReplicaEvent::RouterFarewell { router, spent } => {
                self.planner.on_farewell(&router, spent);
            }
            ReplicaEvent::ControlPeers(machines) => self.control_peers = machines,
        }
    }

    /// The state as of the last applied entry.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Whether this replica leads and no other can have been elected since.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Until when no other replica can have become leader; `None` unless this one leads.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.raft.lease_until()
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<&MachineName> {
        self.raft.leader()
    }

    /// Whether the others count this replica under its present identity.
    pub fn is_voter(&self) -> bool {
        self.raft.is_voter()
    }

    /// The voters.
    pub fn voters(&self) -> &BTreeMap<MachineName, u64> {
        self.raft.voters()
    }

    fn tick(&mut self, now: Timestamp) {
        self.raft.tick(now);
        self.answer_overdue(now);
        if self.raft.role() == Role::Leader {
            self.plan_prepaid(now);
            self.plan_voters();
        }
    }

    fn put(&mut self, now: Timestamp, token: u64, bytes: Arc<[u8]>) {
        let decoded = self.config.codec.decode(&bytes);
        let config = match decoded.and_then(|config| config.validate().map(|()| config)) {
            Ok(config) => config,
            Err(error) => return self.reply_put(token, PutReply::Invalid(error.to_string())),
        };
        // What is in force here has been committed, so a version that is not above it changes
        // nothing, whoever leads.
        if self.state.document.is_some() && config.version <= self.state.document_version() {
            return self.reply_put(token, PutReply::Taken);
        }
        let limits = config.prepaid_limits();
        let document = Document { version: config.version, bytes };
        match self.propose(&Command::PutDocument { document, limits }) {
            Some((term, index)) => self.puts.push(PendingPut { token, term, index, since: now }),
            None => self.reply_put(token, PutReply::Elsewhere(self.raft.leader().cloned())),
        }
    }

    fn read(&mut self, now: Timestamp, token: u64) {
        if self.raft.role() != Role::Leader {
            let leader = self.raft.leader().cloned();
            let reply = ReadReply::Elsewhere(leader);
            return self.effects.push(ReplicaEffect::ReadReply(token, reply));
        }
        let context = self.next_context;
        self.next_context += 1;
        // A leader that has not committed anything yet is asked again at the next tick.
        let _ = self.raft.read_index(context);
        self.reads.insert(token, PendingRead { context, since: now, asked_at: now });
    }

    fn reply_put(&mut self, token: u64, reply: PutReply) {
        self.effects.push(ReplicaEffect::PutReply(token, reply));
    }

    fn propose(&mut self, command: &Command) -> Option<(u64, u64)> {
        let data = postcard::to_stdvec(command).expect("a command can be encoded");
        self.raft.propose(data).ok()
    }

    fn answer_overdue(&mut self, now: Timestamp) {
        let overdue = |since: Timestamp| now.since(since) > REPLY_LIMIT;
        let leading = self.raft.role() == Role::Leader;
        let puts = std::mem::take(&mut self.puts);
        for put in puts {
            if overdue(put.since) {
                self.reply_put(put.token, PutReply::Unconfirmed);
            } else {
                self.puts.push(put);
            }
        }
        for (token, read) in std::mem::take(&mut self.reads) {
            if overdue(read.since) || !leading {
                self.effects.push(ReplicaEffect::ReadReply(token, ReadReply::Unsure));
            } else {
                let read = self.ask_again(now, read);
                self.reads.insert(token, read);
            }
        }
    }

    fn ask_again(&mut self, now: Timestamp, mut read: PendingRead) -> PendingRead {
        if now.since(read.asked_at) > ROUND_LIMIT {
            read.asked_at = now;
            // It fails only if this replica leads no more, which the next tick notices.
            let _ = self.raft.read_index(read.context);
        }
        read
    }

    fn plan_prepaid(&mut self, now: Timestamp) {
        if self.raft.role() != Role::Leader || !self.leads(now) {
            return;
        }
        for command in self.planner.plan(now, &self.state.ledger) {
            if let Some((_, index)) = self.propose(&command) {
                self.planner.on_proposed(now, index);
            }
        }
        for (router, recalls) in self.planner.take_recalls() {
            self.effects.push(ReplicaEffect::Recall(router, recalls));
        }
        if let Some(outlooks) = self.planner.take_outlooks(now) {
            self.effects.push(ReplicaEffect::Outlooks(outlooks));
        }
    }

    fn plan_voters(&mut self) {
        let in_flight = self.voter_change.is_some_and(|index| index > self.applied);
        if in_flight || self.raft.lease_until().is_none() {
            return;
        }
        let command = match next_step(&self.voter_view()) {
            VoterStep::None => return,
            VoterStep::Teach(machines) => {
                machines.into_iter().for_each(|machine| self.raft.add_learner(machine));
                return;
            }
            VoterStep::Add(machine, identity) => Command::SetVoter { machine, identity },
            VoterStep::Remove(machine) => Command::RemoveVoter { machine },
        };
        log::info!(step = "membership"; "proposes {command:?}");
        self.voter_change = self.propose(&command).map(|(_, index)| index);
    }

    fn voter_view(&self) -> VoterView {
        let own = self.config.name.clone();
        let silence = |machine: &MachineName| self.raft.silence_of(machine).unwrap_or(Millis(0));
        let voters: BTreeMap<MachineName, Millis> =
            self.raft.voters().keys().map(|name| (name.clone(), silence(name))).collect();
        let standby: BTreeSet<MachineName> = self
            .control_peers
            .iter()
            .filter(|machine| !voters.contains_key(*machine))
            .cloned()
            .collect();
        let caught_up = voters
            .keys()
            .chain(&standby)
            .filter(|machine| **machine != own)
            .filter_map(|machine| Some((machine.clone(), self.raft.caught_up_learner(machine)?)))
            .collect();
        VoterView { own, voters, standby, caught_up, wanted: self.config.voters_wanted }
    }

    /// Carries out what the log asks for until it asks for nothing more.
    fn drive(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        loop {
            let ready = self.raft.ready();
            if ready.is_empty() {
                break;
            }
            ready.elections.iter().for_each(|event| self.log.election(now, event));
            self.carry_out(ready)?;
        }
        self.log.look(now, &self.raft);
        let leading = self.raft.role() == Role::Leader;
        if leading != self.was_leading {
            self.was_leading = leading;
            self.planner.on_role_change(now);
            self.voter_change = None;
            self.effects.push(ReplicaEffect::RoleChanged(leading));
        }
        Ok(())
    }

    fn carry_out(&mut self, ready: Ready) -> Result<(), ReplicaError> {
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot)?;
        }
        if ready.must_sync() {
            self.store.append(ready.hard_state.as_ref(), &ready.entries)?;
            self.raft.advance();
        }
        for (to, envelope) in ready.messages {
            self.effects.push(ReplicaEffect::SendRaft(to, envelope));
        }
        for entry in ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            let token = self.reads.iter().find(|(_, waiting)| waiting.context == read.context);
            if let Some(token) = token.map(|(token, _)| *token) {
                self.reads.remove(&token);
                let reply = ReadReply::Newest(self.state.document.clone());
                self.effects.push(ReplicaEffect::ReadReply(token, reply));
            }
        }
        Ok(())
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), ReplicaError> {
        self.state = read_state(snapshot)?;
        self.applied = snapshot.index;
        self.take_over_voters();
        let following = self.raft.entries_after_snapshot();
        self.store.install(snapshot, self.raft.hard_state(), &following)?;
        if let Some(document) = self.state.document.clone() {
            self.effects.push(ReplicaEffect::DocumentChanged(document));
        }
        Ok(())
    }

    /// The last change found at the start is committed, or another entry has taken its place.
    fn settle_voters(&mut self, entry: &Entry) -> Result<(), ReplicaError> {
        let is_change = !entry.data.is_empty() && read_command(entry)?.changes_voters();
        if !is_change {
            self.take_over_voters();
        }
        Ok(())
    }

    fn take_over_voters(&mut self) {
        let gone: Vec<MachineName> = self
            .raft
            .voters()
            .keys()
            .filter(|machine| !self.state.voters.contains_key(*machine))
            .cloned()
            .collect();
        for machine in gone {
            self.raft.remove_voter(&machine);
        }
        for (machine, identity) in &self.state.voters {
            self.raft.set_identity(machine.clone(), *identity);
        }
    }

    fn apply(&mut self, entry: Entry) -> Result<(), ReplicaError> {
        self.applied = entry.index;
        if entry.index == self.unsettled_until {
            self.settle_voters(&entry)?;
        }
        if entry.data.is_empty() {
            return Ok(());
        }
        let command = read_command(&entry)?;
        let voters_change = command.changes_voters();
        let touched = self.planner.routers_touched(entry.index, &command);
        let closed = match &command {
            Command::CloseRouter { router, .. } => Some(router.clone()),
            _ => None,
        };
        let outcome = self.state.apply(command);
        if voters_change && entry.index >= self.unsettled_until {
            self.take_over_voters();
        }
        if outcome == Outcome::DocumentTaken
            && let Some(document) = self.state.document.clone()
        {
            self.effects.push(ReplicaEffect::DocumentChanged(document));
        }
        self.answer_puts(&entry);
        self.tell_routers(touched, closed);
        if entry.index - self.raft.snapshot_index() >= SNAPSHOT_ENTRIES {
            self.take_snapshot(entry.index)?;
        }
        Ok(())
    }

    fn answer_puts(&mut self, entry: &Entry) {
        for put in std::mem::take(&mut self.puts) {
            if put.index > entry.index {
                self.puts.push(put);
                continue;
            }
            let kept = put.index == entry.index && put.term == entry.term;
            // Another leader's entry may have taken its place.
            let reply = if kept { PutReply::Taken } else { PutReply::Unconfirmed };
            self.reply_put(put.token, reply);
        }
    }

    fn tell_routers(&mut self, touched: BTreeSet<NodeId>, closed: Option<NodeId>) {
        if self.raft.role() != Role::Leader {
            return;
        }
        for router in touched {
            let totals = self.state.ledger.allotments(&router);
            self.effects.push(ReplicaEffect::Allotted(router, totals));
        }
        if let Some(router) = closed {
            self.effects.push(ReplicaEffect::FarewellTaken(router));
        }
    }

    fn take_snapshot(&mut self, index: u64) -> Result<(), ReplicaError> {
        self.raft.compact(index, self.state.to_snapshot());
        let snapshot = self.raft.snapshot().clone();
        let following = self.raft.entries_after_snapshot();
        self.store.install(&snapshot, self.raft.hard_state(), &following)?;
        Ok(())
    }
}
