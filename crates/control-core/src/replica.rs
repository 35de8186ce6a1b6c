//! The replica: its parts, and the entry point.

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

/// Entries after which a snapshot is taken.
const SNAPSHOT_EVERY: u64 = 500;
/// Longest wait for an edit to be committed before the operator is told to send it again.
const EDIT_TIMEOUT: Millis = Millis(5_000);

/// Fixed facts about a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The machine.
    pub name: MachineName,
    /// All replicas.
    pub replicas: Vec<MachineName>,
    /// Shortest silence of the leader before a campaign.
    pub election_timeout: Millis,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval: Millis,
    /// Taken off a lease's end for clocks that run at different speeds.
    pub lease_margin: Millis,
    /// Seed for election timeouts.
    pub seed: u64,
    /// Deliberate faults. All off in a real replica.
    pub defects: ControlDefects,
}

/// Deliberate faults that tests switch on to see that their checks notice.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlDefects {
    /// Send orders to engines without holding the lease.
    pub skip_lease: bool,
    /// Take an account from its owner without giving it a new epoch holder: the fence is dropped.
    pub seal_without_backup_consent: bool,
}

/// Names an edit that waits for its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditToken(pub u64);

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum EditReply {
    /// The edit was applied, with this outcome.
    Outcome(EditOutcome),
    /// Another replica leads.
    NotLeader {
        /// It, if known.
        leader: Option<MachineName>,
    },
    /// The edit may yet be committed; sending it again under the same id is safe.
    Unconfirmed,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A message came from another process of the fleet.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// An operator sent an edit.
    Edit {
        /// Where the outcome goes.
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
        /// Whether it is in the ordered state; the error names what went wrong.
        result: Result<(), String>,
    },
}

/// Something to be done by the process.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Answer an operator.
    EditReply {
        /// Which edit.
        token: EditToken,
        /// The answer.
        reply: EditReply,
    },
    /// Send an order to an engine.
    Order {
        /// The engine.
        back_end: BackEndName,
        /// Where it is reached.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// The lease ends then; the order must not leave this process later.
        not_after: Timestamp,
    },
    /// Tell the operator.
    Warn(String),
}

/// What a replica says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The machine.
    pub name: MachineName,
    /// Whether it leads, by its own belief.
    pub is_leader: bool,
    /// Whether a majority confirms that at this moment.
    pub has_lease: bool,
    /// Whether its votes count.
    pub is_voter: bool,
    /// The leader it knows.
    pub leader: Option<MachineName>,
    /// Its term.
    pub term: u64,
    /// The newest entry it has applied.
    pub version: Version,
    /// Entries covered by its newest snapshot.
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
    asked_at: Timestamp,
}

impl<D: Disk> Replica<D> {
    /// Makes the data folder of a replica that takes part in a new fleet from the start.
    pub fn initialize(disk: D) -> Result<(), StoreError> {
        LogStore::create(disk, INITIAL_IDENTITY).map(drop)
    }

    /// Opens a replica. An empty data folder is taken for a lost one: the replica draws a new
    /// identity from `new_identity` and counts only once the others have accepted it.
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

    /// Takes in one event. An error means that the data folder can't be trusted any more: the
    /// process must stop without sending anything.
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

    /// The bills stored here.
    pub fn bills(&self) -> &BillStore<D> {
        &self.bills
    }

    /// A summary for operators.
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

    /// Puts a command into the log, if this replica leads.
    pub(crate) fn propose(&mut self, command: &Command) -> Option<(u64, u64)> {
        let data = postcard::to_stdvec(command).expect("a command can be encoded");
        self.raft.propose(data).ok()
    }

    pub(crate) fn send(&mut self, to: Peer, message: Message) {
        self.effects.push(ControlEffect::Send { to, message });
    }

    fn on_tick(&mut self) -> Result<(), StoreError> {
        self.raft.tick(self.now);
        self.renew_voter();
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
            (Peer::Router(node), Message::Heartbeat(beat)) => self.on_heartbeat(node, beat),
            (Peer::Router(_), Message::ChangeBackup { account, epoch, backup }) => {
                self.on_change_backup(account, epoch, backup);
            }
            (Peer::Router(_), Message::ReturnRights { budget, account, total }) => {
                self.on_return_rights(budget, account, total);
            }
            (Peer::Router(node), Message::Bills { account, archived, bills }) => {
                self.liveness.expect_bill_confirmation(&account, node);
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
                let pending = PendingEdit { term, token, asked_at: self.now };
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
            .filter(|(_, pending)| now.since(pending.asked_at) >= EDIT_TIMEOUT)
            .map(|(index, _)| *index)
            .collect();
        for index in overdue {
            self.answer_edit(index, EditReply::Unconfirmed);
        }
    }

    fn answer_edit(&mut self, index: u64, reply: EditReply) {
        if let Some(pending) = self.pending_edits.remove(&index) {
            self.effects.push(ControlEffect::EditReply { token: pending.token, reply });
        }
    }

    /// Does what Raft asks for, until it asks for nothing more. What a message promises is made
    /// durable before the message goes out.
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
        let following = self.raft.entries_after_snapshot();
        self.store.install(snapshot, self.raft.hard_state(), &following)
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
        self.answer_applied(index, term, outcome);
        if index - self.raft.snapshot_index() >= SNAPSHOT_EVERY {
            self.take_snapshot(index)?;
        }
        Ok(())
    }

    fn answer_applied(&mut self, index: u64, term: u64, outcome: CommandOutcome) {
        let Some(pending) = self.pending_edits.get(&index) else {
            return;
        };
        let reply = match outcome {
            CommandOutcome::Edit(outcome) if pending.term == term => EditReply::Outcome(outcome),
            // Another leader's entry took the place of the edit.
            _ => EditReply::Unconfirmed,
        };
        self.answer_edit(index, reply);
    }

    fn take_snapshot(&mut self, index: u64) -> Result<(), StoreError> {
        self.raft.compact(index, self.state.to_snapshot());
        let snapshot = self.raft.snapshot().clone();
        let following = self.raft.entries_after_snapshot();
        self.store.install(&snapshot, self.raft.hard_state(), &following)
    }

    /// Lets a replica whose data folder was lost vote again, once it has caught up.
    fn renew_voter(&mut self) {
        if self.raft.may_change_voters().is_err() {
            return;
        }
        let mut voters = self.raft.voters().clone();
        let renewed = voters
            .keys()
            .find_map(|machine| Some((machine.clone(), self.raft.caught_up_identity(machine)?)));
        let Some((machine, identity)) = renewed else {
            return;
        };
        voters.insert(machine, identity);
        if let Err(error) = self.raft.propose_voters(voters) {
            log::warn!(step = "membership"; "the voters stay as they are: {error}");
        }
    }
}
