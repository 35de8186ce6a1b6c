//! One control replica without sockets: the replicated log, its storage and the state.
//!
//! `handle` processes events and returns the effects to carry out. Everything that must survive a
//! crash is synced before the effects that depend on it are returned.

mod voter_plan;

use crate::crash_watch::CrashWatch;
use crate::departure_watch::DepartureWatch;
use crate::message::Document;
use crate::prepaid_planner::PrepaidPlanner;
use crate::replica_api::*;
use crate::replica_bootstrap::{open_store, read_command, read_state};
use crate::replica_logger::ReplicaLogger;
use crate::state::{ApplyOutcome, Command, FleetState};
use stackpost_consensus::{Config, Entry, Payload, Raft, Ready, Role, Snapshot, Voters};
use stackpost_gateway_core::{DepartureChange, DepartureRecord, EvacuationOrder, QuarantineChange};
use stackpost_mesh::MAX_FRAME_BYTES;
use stackpost_storage::{Disk, LogStore};
use stackpost_types::{BackEndName, MachineName, Millis, NodeId, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of entries after which the log is compacted into a snapshot.
const SNAPSHOT_ENTRIES: u64 = 400;
/// Size in bytes of the log from which it is compacted: several of the largest configurations, all
/// but the last of which are replaced.
const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// Largest configuration in bytes: half a frame, so that a snapshot holds it beside all else.
pub const MAX_DOCUMENT_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Time after which a put or a read gets the reply `Unconfirmed`.
const REPLY_TIMEOUT: Millis = Millis(900);
/// Time after which the confirmation of a read is requested again.
const READ_RETRY_INTERVAL: Millis = Millis(200);

struct PendingPut {
    token: u64,
    term: u64,
    index: u64,
    since: Timestamp,
}

struct PendingRead {
    context: u64,
    since: Timestamp,
    requested_at: Timestamp,
}

/// One replica with its storage on a disk.
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
    crash_watch: CrashWatch,
    departure_watch: DepartureWatch,
    /// The connected control machines with their zones.
    control_peers: BTreeMap<MachineName, ZoneName>,
    /// The zones of control machines that are or have been connected.
    known_zones: BTreeMap<MachineName, ZoneName>,
    was_leading: bool,
    replica_logger: ReplicaLogger,
    effects: Vec<ReplicaEffect>,
}

impl<D: Disk> Replica<D> {
    /// Opens the data folder or creates it.
    pub fn open(config: ReplicaConfig, disk: D, now: Timestamp) -> Result<Self, ReplicaError> {
        let disk_was_empty = !LogStore::exists(&disk).map_err(ReplicaError::Store)?;
        let (store, restored) = open_store(&config, disk)?;
        let state = read_state(&restored.snapshot)?;
        let raft_config = Config {
            name: config.name.clone(),
            identity: store.identity(),
            // The initial snapshot names the voters; a machine that joins later receives them from
            // the leader.
            initial_voters: Voters::new(),
            election_timeout: config.election_timeout,
            heartbeat_interval: config.heartbeat_interval,
            lease_margin: config.lease_margin,
            seed: config.seed,
        };
        let applied = restored.snapshot.index;
        let raft = Raft::new(raft_config, restored, now);
        let creates_fleet = disk_was_empty
            && config.initial_voters.as_ref().is_some_and(|voters| voters.contains(&config.name));
        let replica_logger =
            ReplicaLogger::log_opened(&raft, store.identity(), disk_was_empty, now);
        Ok(Self {
            raft,
            replica_logger,
            config,
            store,
            state,
            applied,
            puts: Vec::new(),
            reads: BTreeMap::new(),
            next_context: 1,
            planner: PrepaidPlanner::default(),
            crash_watch: CrashWatch::default(),
            departure_watch: DepartureWatch::default(),
            control_peers: BTreeMap::new(),
            known_zones: BTreeMap::new(),
            was_leading: false,
            effects: creates_fleet.then_some(ReplicaEffect::FleetCreated).into_iter().collect(),
        })
    }

    /// Processes events. After an error the replica must be reopened, because the content of the
    /// disk is no longer known.
    pub fn handle(
        &mut self,
        now: Timestamp,
        events: impl IntoIterator<Item = ReplicaEvent>,
    ) -> Result<Vec<ReplicaEffect>, ReplicaError> {
        for event in events {
            self.handle_event(now, event);
        }
        self.drive(now)?;
        Ok(std::mem::take(&mut self.effects))
    }

    fn handle_event(&mut self, now: Timestamp, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Tick => self.tick(now),
            ReplicaEvent::Raft(envelope) => self.raft.step(now, envelope),
            ReplicaEvent::Put { token, bytes } => self.put(now, token, bytes),
            ReplicaEvent::Evacuate { token, order } => self.evacuate(now, token, order),
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
            ReplicaEvent::RouterFinalUsage { router, spent } => {
                self.planner.on_final_usage(&router, spent);
            }
            ReplicaEvent::CrashReport(change) => self.on_crash_report(change),
            ReplicaEvent::EngineAnnounced(engine) => self.on_announced(engine),
            ReplicaEvent::DepartureNotices(records) => self.on_departure_notices(now, records),
            ReplicaEvent::ControlPeers(machines) => {
                self.known_zones.extend(machines.clone());
                self.control_peers = machines;
            }
        }
    }

    /// The state as of the last applied entry.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Whether this replica is the leader and no other can have been elected since.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Until when no other replica can have become leader; `None` unless this one leads.
    pub fn lease_until(&self) -> Option<Timestamp> {
        self.raft.lease_until()
    }

    /// Term of the replicated log.
    pub fn term(&self) -> u64 {
        self.raft.term()
    }

    /// Last entry of the log that is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<&MachineName> {
        self.raft.leader()
    }

    /// Whether this replica votes under its current identity.
    pub fn is_voter(&self) -> bool {
        self.raft.is_voter()
    }

    /// The voters.
    pub fn voters(&self) -> &Voters {
        self.raft.voters()
    }

    fn tick(&mut self, now: Timestamp) {
        self.raft.tick(now);
        self.reply_to_overdue(now);
        if self.raft.role() == Role::Leader {
            self.plan_prepaid(now);
            self.plan_voters(now);
        }
        if self.is_leader(now) {
            let changes = self.crash_watch.on_tick(now, &self.state.quarantine);
            changes.into_iter().for_each(|change| self.propose_quarantine(change));
            let expired = self.departure_watch.on_tick(now, &self.state.departures);
            expired.into_iter().for_each(|change| self.propose_departures(change));
        }
    }

    /// Needs no lease, since an entry of a deposed leader is not committed. A report that is dropped
    /// is only sent again seconds later.
    fn on_crash_report(&mut self, change: QuarantineChange) {
        if self.raft.role() == Role::Leader
            && let Some(change) = self.crash_watch.on_report(&self.state.quarantine, change)
        {
            self.propose_quarantine(change);
        }
    }

    fn on_announced(&mut self, engine: BackEndName) {
        if self.raft.role() == Role::Leader
            && let Some(change) = self.crash_watch.on_announced(&self.state.quarantine, engine)
        {
            self.propose_quarantine(change);
        }
    }

    fn on_departure_notices(&mut self, now: Timestamp, records: Vec<DepartureRecord>) {
        if self.raft.role() == Role::Leader
            && let Some(change) =
                self.departure_watch.on_notices(now, &self.state.departures, records)
        {
            self.propose_departures(change);
        }
    }

    fn propose_departures(&mut self, change: DepartureChange) {
        if self.propose(&Command::Departures(change)).is_none() {
            log::info!(step = "departures"; "departure change not proposed: another replica leads");
        }
    }

    fn propose_quarantine(&mut self, change: QuarantineChange) {
        if self.propose(&Command::Quarantine(change)).is_none() {
            log::info!(
                step = "quarantine";
                "quarantine change not proposed: another replica leads"
            );
        }
    }

    fn put(&mut self, now: Timestamp, token: u64, bytes: Arc<[u8]>) {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let size = bytes.len();
            let reason = format!("{size} bytes exceed the largest size of {MAX_DOCUMENT_BYTES}");
            return self.reply_put(token, PutReply::Invalid(reason));
        }
        let decoded = self.config.codec.decode(&bytes);
        let config = match decoded.and_then(|config| config.validate().map(|()| config)) {
            Ok(config) => config,
            Err(error) => return self.reply_put(token, PutReply::Invalid(error.to_string())),
        };
        // The configuration in force here is committed, so a version that is not above it changes
        // nothing, whichever replica leads.
        if self.state.document.is_some() && config.version <= self.state.document_version() {
            return self.reply_put(token, PutReply::Accepted);
        }
        let limits = config.prepaid_limits();
        let document = Document { version: config.version, bytes };
        self.put_command(now, token, &Command::PutDocument { document, limits });
    }

    /// Proposes the order even if it changes nothing: only its commit shows that no newer order is
    /// in force.
    fn evacuate(&mut self, now: Timestamp, token: u64, order: EvacuationOrder) {
        self.put_command(now, token, &Command::Evacuate(order));
    }

    /// Proposes a command whose commit is replied to.
    fn put_command(&mut self, now: Timestamp, token: u64, command: &Command) {
        match self.propose(command) {
            Some((term, index)) => self.puts.push(PendingPut { token, term, index, since: now }),
            None => self.reply_put(token, PutReply::NotLeader(self.raft.leader().cloned())),
        }
    }

    fn read(&mut self, now: Timestamp, token: u64) {
        if self.raft.role() != Role::Leader {
            let leader = self.raft.leader().cloned();
            let reply = ReadReply::NotLeader(leader);
            return self.effects.push(ReplicaEffect::ReadReply(token, reply));
        }
        let context = self.next_context;
        self.next_context += 1;
        // A leader that has not committed an entry of its term fails here; a later tick retries.
        let _ = self.raft.read_index(context);
        self.reads.insert(token, PendingRead { context, since: now, requested_at: now });
    }

    fn reply_put(&mut self, token: u64, reply: PutReply) {
        self.effects.push(ReplicaEffect::PutReply(token, reply));
    }

    fn propose(&mut self, command: &Command) -> Option<(u64, u64)> {
        let data = postcard::to_stdvec(command).expect("a command can be encoded");
        self.raft.propose(data).ok()
    }

    fn reply_to_overdue(&mut self, now: Timestamp) {
        let overdue = |since: Timestamp| now.since(since) > REPLY_TIMEOUT;
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
                self.effects.push(ReplicaEffect::ReadReply(token, ReadReply::Unconfirmed));
            } else {
                let read = self.retry_read(now, read);
                self.reads.insert(token, read);
            }
        }
    }

    fn retry_read(&mut self, now: Timestamp, mut read: PendingRead) -> PendingRead {
        if now.since(read.requested_at) > READ_RETRY_INTERVAL {
            read.requested_at = now;
            // Fails as long as the leader has not committed an entry of its term; a later tick
            // retries.
            let _ = self.raft.read_index(read.context);
        }
        read
    }

    fn plan_prepaid(&mut self, now: Timestamp) {
        if self.raft.role() != Role::Leader || !self.is_leader(now) {
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
        if let Some(forecasts) = self.planner.take_forecasts(now) {
            self.effects.push(ReplicaEffect::Forecasts(forecasts));
        }
    }

    /// Carries out the log's requested work until there is none left.
    fn drive(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        loop {
            let ready = self.raft.ready();
            if ready.is_empty() {
                break;
            }
            ready.elections.iter().for_each(|event| self.replica_logger.log_election(now, event));
            self.carry_out(ready)?;
        }
        self.replica_logger.observe(now, &self.raft);
        let leading = self.raft.role() == Role::Leader;
        if leading != self.was_leading {
            self.was_leading = leading;
            self.planner.on_role_change(now);
            self.crash_watch.on_role_change();
            self.departure_watch.on_role_change();
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
                let reply = ReadReply::Latest(self.state.document.clone());
                self.effects.push(ReplicaEffect::ReadReply(token, reply));
            }
        }
        Ok(())
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), ReplicaError> {
        self.state = read_state(snapshot)?;
        self.applied = snapshot.index;
        let following = self.raft.entries_after_snapshot();
        self.store.install(snapshot, self.raft.hard_state(), &following)?;
        if let Some(document) = self.state.document.clone() {
            self.effects.push(ReplicaEffect::DocumentChanged(document));
        }
        self.effects.push(ReplicaEffect::QuarantineChanged);
        self.effects.push(ReplicaEffect::DeparturesChanged);
        self.effects.push(ReplicaEffect::EvacuationsChanged);
        Ok(())
    }

    fn apply(&mut self, entry: Entry) -> Result<(), ReplicaError> {
        self.applied = entry.index;
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(());
        };
        let command = read_command(entry.index, bytes)?;
        let affected = self.planner.affected_routers(entry.index, &command);
        let closed = match &command {
            Command::CloseRouter { router, .. } => Some(router.clone()),
            _ => None,
        };
        closed.iter().for_each(|router| self.planner.on_closed(router));
        let outcome = self.state.apply(command);
        if outcome == ApplyOutcome::DocumentAccepted
            && let Some(document) = self.state.document.clone()
        {
            self.effects.push(ReplicaEffect::DocumentChanged(document));
        }
        if outcome == ApplyOutcome::QuarantineChanged {
            self.effects.push(ReplicaEffect::QuarantineChanged);
        }
        if outcome == ApplyOutcome::DeparturesChanged {
            self.effects.push(ReplicaEffect::DeparturesChanged);
        }
        if outcome == ApplyOutcome::EvacuationsChanged {
            self.effects.push(ReplicaEffect::EvacuationsChanged);
        }
        self.reply_to_puts(&entry);
        self.notify_routers(affected, closed);
        if entry.index - self.raft.snapshot_index() >= SNAPSHOT_ENTRIES
            || self.raft.log_bytes_until(entry.index) >= SNAPSHOT_BYTES
        {
            self.take_snapshot(entry.index)?;
        }
        Ok(())
    }

    fn reply_to_puts(&mut self, entry: &Entry) {
        for put in std::mem::take(&mut self.puts) {
            if put.index > entry.index {
                self.puts.push(put);
                continue;
            }
            let is_own_entry = put.index == entry.index && put.term == entry.term;
            // An entry of another leader may have replaced the proposed one.
            let reply = if is_own_entry { PutReply::Accepted } else { PutReply::Unconfirmed };
            self.reply_put(put.token, reply);
        }
    }

    fn notify_routers(&mut self, affected: BTreeSet<NodeId>, closed: Option<NodeId>) {
        if self.raft.role() != Role::Leader {
            return;
        }
        for router in affected {
            let totals = self.state.ledger.allotments(&router);
            self.effects.push(ReplicaEffect::Allotments(router, totals));
        }
        if let Some(router) = closed {
            self.effects.push(ReplicaEffect::FinalUsageAck(router));
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
