//! The control replica: its events, its effects and the entry point.

use crate::bill_store::BillStore;
use crate::configuration::Pushes;
use crate::liveness::Liveness;
use crate::orders::{EngineOrder, Orders};
use serde::{Deserialize, Serialize};
use stackpost_consensus::{Config, Entry, INITIAL_IDENTITY, Payload, Raft, Role};
use stackpost_protocol::{Message, Peer};
use stackpost_storage::{Disk, LogStore, StoreError};
use stackpost_table::*;
use stackpost_types::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Applied log entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 500;
/// Longest wait for an edit to be committed. The operator is then asked to resend it.
const EDIT_TIMEOUT: Millis = Millis(5_000);

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The machine that runs this replica.
    pub name: MachineName,
    /// The machines of all replicas.
    pub replicas: Vec<MachineName>,
    /// Shortest time without a message from the leader before this replica starts an election.
    pub election_timeout: Millis,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval: Millis,
    /// Subtracted from the end of a lease, to allow for clocks that run at different speeds.
    pub lease_margin: Millis,
    /// Seed for election timeouts.
    pub seed: u64,
    /// Faults that tests inject. All are off in production.
    pub defects: ControlDefects,
}

/// Faults that tests inject to verify that their checks detect them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlDefects {
    /// Send orders to engines without holding the lease.
    pub skip_lease: bool,
    /// Seal the account of a silent owner although its backup has not reported the owner silent.
    pub seal_without_backup_consent: bool,
}

/// Identifies an edit whose outcome is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditToken(pub u64);

/// The reply to an operator's edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditReply {
    /// The edit was applied, with this outcome.
    Outcome(EditOutcome),
    /// Another replica leads.
    NotLeader {
        /// The leader's machine, if known.
        leader: Option<MachineName>,
    },
    /// The edit may still be committed. Resending it under the same id is safe.
    Unconfirmed,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A message was received from another process of the fleet.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// An operator sent an edit.
    Edit {
        /// Identifies the edit in the reply.
        token: EditToken,
        /// The edit.
        edit: Edit,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine.
        back_end: BackEndName,
        /// The order.
        order: EngineOrder,
        /// `Ok` if the engine is in the desired state, otherwise the reason for the failure.
        result: Result<(), String>,
    },
}

/// An output of the state machine, to be carried out by the process.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Reply to an operator.
    EditReply {
        /// Identifies the edit.
        token: EditToken,
        /// The reply.
        reply: EditReply,
    },
    /// Send an order to an engine.
    Order {
        /// The engine.
        back_end: BackEndName,
        /// Address of the engine.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// End of the lease. The order must not be sent after it.
        not_after: Timestamp,
    },
    /// Log a warning.
    Warn(String),
}

/// Status that a replica reports to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The machine that runs the replica.
    pub name: MachineName,
    /// Whether the replica considers itself the leader.
    pub is_leader: bool,
    /// Whether it holds a lease, so that a majority currently confirms its leadership.
    pub has_lease: bool,
    /// Whether it is a voter.
    pub is_voter: bool,
    /// The leader, if known.
    pub leader: Option<MachineName>,
    /// The current Raft term.
    pub term: u64,
    /// Index of the newest applied entry.
    pub version: Version,
    /// Index of the last entry that the newest snapshot covers.
    pub snapshot: u64,
}

/// A control replica.
#[derive(Debug)]
pub struct Replica<D> {
    pub(crate) config: ReplicaConfig,
    pub(crate) now: Timestamp,
    pub(crate) raft: Raft,
    pub(crate) state: StateMachine,
    pub(crate) liveness: Liveness,
    pub(crate) pushes: Pushes,
    pub(crate) orders: Orders,
    pub(crate) effects: Vec<ControlEffect>,
    store: LogStore<D>,
    bills: BillStore<D>,
    pending_edits: BTreeMap<u64, PendingEdit>,
}

#[derive(Debug)]
struct PendingEdit {
    term: u64,
    token: EditToken,
    proposed_at: Timestamp,
}

impl<D: Disk> Replica<D> {
    /// Initializes the data folder of a replica that is an initial voter of a new fleet.
    pub fn initialize(disk: D) -> Result<(), StoreError> {
        LogStore::create(disk, INITIAL_IDENTITY).map(drop)
    }

    /// Opens a replica. An empty data folder is treated as lost: the replica takes the identity
    /// `new_identity` and is not a voter until the other replicas have accepted that identity.
    pub fn open(
        config: ReplicaConfig,
        disk: D,
        bill_disk: D,
        new_identity: u64,
        now: Timestamp,
    ) -> Result<Self, StoreError> {
        let (store, restored) = if LogStore::exists(&disk)? {
            LogStore::open(disk)?
        } else {
            (LogStore::create(disk, new_identity)?, Default::default())
        };
        let state = if restored.snapshot.index > 0 {
            StateMachine::from_snapshot(&restored.snapshot.data)
                .map_err(|_| StoreError::Damaged { file: "snapshot".into(), position: 0 })?
        } else {
            StateMachine::default()
        };
        let raft_config = Config {
            name: config.name.clone(),
            identity: store.identity(),
            initial_voters: config
                .replicas
                .iter()
                .map(|name| (name.clone(), INITIAL_IDENTITY))
                .collect(),
            election_timeout: config.election_timeout,
            heartbeat_interval: config.heartbeat_interval,
            lease_margin: config.lease_margin,
            seed: config.seed,
        };
        Ok(Self {
            raft: Raft::new(raft_config, restored, now),
            config,
            now,
            state,
            liveness: Liveness::default(),
            pushes: Pushes::default(),
            orders: Orders::default(),
            effects: Vec::new(),
            store,
            bills: BillStore::open(bill_disk)?,
            pending_edits: BTreeMap::new(),
        })
    }

    /// Handles one event. An error means that the contents of the data folder are uncertain: the
    /// process must exit without sending anything.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ControlEvent,
    ) -> Result<Vec<ControlEffect>, StoreError> {
        self.now = self.now.max(now);
        match event {
            ControlEvent::Tick => self.on_tick()?,
            ControlEvent::Message { from, message } => self.on_message(from, message)?,
            ControlEvent::Edit { token, edit } => self.on_edit(token, edit),
            ControlEvent::OrderAnswered { back_end, order, result } => {
                self.on_order_answered(&back_end, &order, result);
            }
        }
        self.drain_raft()?;
        Ok(std::mem::take(&mut self.effects))
    }

    /// The replicated state as of the newest applied entry.
    pub fn state(&self) -> &StateMachine {
        &self.state
    }

    /// The bills stored on this replica.
    pub fn bills(&self) -> &BillStore<D> {
        &self.bills
    }

    /// The replica's status for operators.
    pub fn status(&self) -> ControlStatus {
        ControlStatus {
            name: self.config.name.clone(),
            is_leader: self.is_leader(),
            has_lease: self.has_lease(),
            is_voter: self.raft.is_voter(),
            leader: self.raft.leader().cloned(),
            term: self.raft.term(),
            version: self.state.table().version(),
            snapshot: self.raft.snapshot_index(),
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.raft.role() == Role::Leader
    }

    pub(crate) fn has_lease(&self) -> bool {
        self.raft.lease_until().is_some_and(|until| self.now < until)
    }

    /// Proposes a command. Returns its term and index, or `None` if this replica does not lead.
    pub(crate) fn propose(&mut self, command: &Command) -> Option<(u64, u64)> {
        let data = postcard::to_stdvec(command).expect("a command can be encoded");
        self.raft.propose(data).ok()
    }

    pub(crate) fn send(&mut self, to: Peer, message: Message) {
        self.effects.push(ControlEffect::Send { to, message });
    }

    fn on_tick(&mut self) -> Result<(), StoreError> {
        self.raft.tick(self.now);
        self.readmit_voter();
        self.drain_raft()?;
        self.tick_liveness();
        self.tick_pushes();
        self.tick_orders();
        self.tick_edits();
        for (account, up_to) in self.bills.sync()? {
            self.confirm_bills(account, up_to);
        }
        Ok(())
    }

    fn on_message(&mut self, from: Peer, message: Message) -> Result<(), StoreError> {
        match (from, message) {
            (Peer::Control(_), Message::Raft(envelope)) => self.raft.step(self.now, envelope),
            (Peer::Router(node), Message::Heartbeat(heartbeat)) => {
                self.on_heartbeat(node, heartbeat)
            }
            (Peer::Router(_), Message::ChangeBackup { account, epoch, backup }) => {
                self.on_change_backup(account, epoch, backup);
            }
            (Peer::Router(_), Message::ReturnRights { budget, account, total }) => {
                self.on_return_rights(budget, account, total);
            }
            (Peer::Router(node), Message::Bills { account, archived, bills }) => {
                self.liveness.record_bill_sender(&account, node);
                self.bills.add(&account, archived, &bills)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn confirm_bills(&mut self, account: AccountId, up_to: u64) {
        if let Some(node) = self.liveness.take_bill_sender(&account) {
            self.send(Peer::Router(node), Message::BillsStored { account, up_to });
        }
    }

    fn on_edit(&mut self, token: EditToken, edit: Edit) {
        match self.propose(&Command::Edit(edit)) {
            Some((term, index)) => {
                let pending = PendingEdit { term, token, proposed_at: self.now };
                self.pending_edits.insert(index, pending);
            }
            None => {
                let leader = self.raft.leader().cloned();
                let reply = EditReply::NotLeader { leader };
                self.effects.push(ControlEffect::EditReply { token, reply });
            }
        }
    }

    fn tick_edits(&mut self) {
        let now = self.now;
        let overdue: Vec<u64> = self
            .pending_edits
            .iter()
            .filter(|(_, pending)| now.since(pending.proposed_at) >= EDIT_TIMEOUT)
            .map(|(index, _)| *index)
            .collect();
        for index in overdue {
            self.reply_to_edit(index, EditReply::Unconfirmed);
        }
    }

    fn reply_to_edit(&mut self, index: u64, reply: EditReply) {
        if let Some(pending) = self.pending_edits.remove(&index) {
            self.effects.push(ControlEffect::EditReply { token: pending.token, reply });
        }
    }

    /// Processes Raft's pending output until there is none left. State that a message relies on
    /// is made durable before the message is sent.
    fn drain_raft(&mut self) -> Result<(), StoreError> {
        loop {
            let ready = self.raft.ready();
            if ready.is_empty() {
                return Ok(());
            }
            if let Some(snapshot) = &ready.snapshot {
                self.install(snapshot)?;
            }
            if ready.must_sync() {
                self.store.append(ready.hard_state.as_ref(), &ready.entries)?;
                self.raft.advance();
            }
            for (to, envelope) in ready.messages {
                self.send(Peer::Control(to), Message::Raft(envelope));
            }
            for entry in ready.committed {
                self.apply(entry)?;
            }
            for read in ready.reads {
                self.on_read_confirmed(read);
            }
        }
    }

    fn install(&mut self, snapshot: &stackpost_consensus::Snapshot) -> Result<(), StoreError> {
        self.state = StateMachine::from_snapshot(&snapshot.data)
            .map_err(|_| StoreError::Damaged { file: "snapshot".into(), position: 0 })?;
        let remaining_entries = self.raft.entries_after_snapshot();
        self.store.install(snapshot, self.raft.hard_state(), &remaining_entries)
    }

    fn apply(&mut self, entry: Entry) -> Result<(), StoreError> {
        let Entry { index, term, payload } = entry;
        let command = match payload {
            Payload::Empty | Payload::Voters(_) => Command::Noop,
            Payload::Command(data) => postcard::from_bytes(&data).map_err(|_| {
                StoreError::Damaged { file: "log".into(), position: index as usize }
            })?,
        };
        let outcome = self.state.apply(Version(index), &command);
        self.reply_to_applied_edit(index, term, outcome);
        if index - self.raft.snapshot_index() >= SNAPSHOT_INTERVAL_ENTRIES {
            self.take_snapshot(index)?;
        }
        Ok(())
    }

    fn reply_to_applied_edit(&mut self, index: u64, term: u64, outcome: CommandOutcome) {
        let Some(pending) = self.pending_edits.get(&index) else {
            return;
        };
        let reply = match outcome {
            CommandOutcome::Edit(outcome) if pending.term == term => EditReply::Outcome(outcome),
            // An entry of another leader replaced the edit at this index.
            _ => EditReply::Unconfirmed,
        };
        self.reply_to_edit(index, reply);
    }

    fn take_snapshot(&mut self, index: u64) -> Result<(), StoreError> {
        self.raft.compact(index, self.state.to_snapshot());
        let snapshot = self.raft.snapshot().clone();
        let remaining_entries = self.raft.entries_after_snapshot();
        self.store.install(&snapshot, self.raft.hard_state(), &remaining_entries)
    }

    /// Makes a replica whose data folder was lost a voter again once it has caught up.
    fn readmit_voter(&mut self) {
        if self.raft.may_change_voters().is_err() {
            return;
        }
        let mut voters = self.raft.voters().clone();
        let caught_up = voters
            .keys()
            .find_map(|machine| Some((machine.clone(), self.raft.caught_up_identity(machine)?)));
        let Some((machine, identity)) = caught_up else {
            return;
        };
        voters.insert(machine, identity);
        if let Err(error) = self.raft.propose_voters(voters) {
            log::warn!(step = "membership"; "cannot propose a change of voters: {error}");
        }
    }
}
