//! Runs the state machine on its own thread and executes its effects.

use crate::orders;
use stackpost_control_core::{
    ControlEffect, ControlEvent, EditReply, EditToken, Replica, ReplicaConfig,
};
use stackpost_http::Client;
use stackpost_protocol::{Message, MessageBatch, Peer};
use stackpost_settings::{FleetSettings, MachineEntry};
use stackpost_storage::{FileDisk, StoreError};
use stackpost_table::{Edit, Row, RowKey};
use stackpost_transport::Outbox;
use stackpost_types::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Folder of the replicated log, inside the data folder.
const LOG_FOLDER: &str = "log";
/// Folder of the bills, inside the data folder.
const BILL_FOLDER: &str = "bills";

/// A replica that stores its state in files.
pub type FileReplica = Replica<FileDisk>;

type InspectFn = Box<dyn FnOnce(&FileReplica) + Send>;

enum Task {
    Event(Box<ControlEvent>),
    Edit(Box<Edit>, oneshot::Sender<EditReply>),
    Inspect(InspectFn),
}

/// Handle that passes tasks to the replica's thread.
#[derive(Clone)]
pub struct ReplicaHandle {
    tasks: Sender<Task>,
}

impl ReplicaHandle {
    /// Passes the messages of a received batch to the replica.
    pub fn receive(&self, batch: MessageBatch) {
        for message in batch.messages {
            let event = ControlEvent::Message { from: batch.from.clone(), message };
            self.event(event);
        }
    }

    /// Passes an event to the replica.
    pub fn event(&self, event: ControlEvent) {
        self.enqueue(Task::Event(Box::new(event)));
    }

    /// Submits an edit and returns the reply for the operator.
    pub async fn edit(&self, edit: Edit) -> EditReply {
        let (sender, receiver) = oneshot::channel();
        self.enqueue(Task::Edit(Box::new(edit), sender));
        receiver.await.unwrap_or(EditReply::Unconfirmed)
    }

    /// Runs `inspect` on the replica's thread and returns its result, or `None` if the thread has
    /// ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&FileReplica) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.enqueue(Task::Inspect(Box::new(move |replica| {
            // Fails if the caller no longer waits for the result.
            let _ = sender.send(inspect(replica));
        })));
        receiver.await.ok()
    }

    fn enqueue(&self, task: Task) {
        // Can't fail in practice: the thread ends only when the process exits.
        let _ = self.tasks.send(task);
    }
}

struct ReplicaThread {
    started_at: Instant,
    replica: FileReplica,
    outbox: Outbox,
    client: Client,
    replicas: HashMap<MachineName, SocketAddr>,
    replies: HashMap<EditToken, oneshot::Sender<EditReply>>,
    next_token: u64,
    replica_handle: ReplicaHandle,
    runtime: tokio::runtime::Handle,
}

/// Opens the data folder and starts the replica's thread. Must be called within a Tokio runtime.
pub fn start(
    settings: &FleetSettings,
    entry: &MachineEntry,
    data_folder: &Path,
) -> Result<ReplicaHandle, StoreError> {
    let config = ReplicaConfig {
        name: entry.name.clone(),
        replicas: settings.replicas().map(|(machine, _)| machine.name.clone()).collect(),
        election_timeout: Millis(settings.control.election_timeout_ms),
        heartbeat_interval: Millis(settings.control.heartbeat_interval_ms),
        lease_margin: Millis(settings.control.lease_margin_ms),
        seed: rand::random(),
        defects: Default::default(),
    };
    let (log_disk, bill_disk) = open_folders(data_folder)?;
    let started_at = Instant::now();
    let new_identity = rand::random();
    let replica = Replica::open(config, log_disk, bill_disk, new_identity, clock(started_at))?;
    let (tasks, queue) = channel();
    let replica_handle = ReplicaHandle { tasks };
    let replicas = settings
        .replicas()
        .map(|(machine, control)| (machine.name.clone(), control.peer))
        .collect();
    let replica_thread = ReplicaThread {
        started_at,
        replica,
        outbox: Outbox::new(Peer::Control(entry.name.clone())),
        client: Client::unpooled(),
        replicas,
        replies: HashMap::new(),
        next_token: 0,
        replica_handle: replica_handle.clone(),
        runtime: tokio::runtime::Handle::current(),
    };
    std::thread::Builder::new()
        .name("replica".into())
        .spawn(move || replica_thread.run(&queue))
        .map_err(|source| {
            StoreError::Disk(stackpost_storage::DiskError {
                operation: "start the thread for",
                file: data_folder.display().to_string(),
                source,
            })
        })?;
    Ok(replica_handle)
}

/// Initializes the data folder of a replica that is an initial voter of a new fleet.
pub fn initialize(data_folder: &Path) -> Result<(), StoreError> {
    let (log_disk, _) = open_folders(data_folder)?;
    Replica::initialize(log_disk)
}

fn open_folders(data_folder: &Path) -> Result<(FileDisk, FileDisk), StoreError> {
    let open = |name: &str| {
        let folder = data_folder.join(name);
        std::fs::create_dir_all(&folder).map_err(|source| stackpost_storage::DiskError {
            operation: "create",
            file: folder.display().to_string(),
            source,
        })?;
        FileDisk::open(&folder)
    };
    Ok((open(LOG_FOLDER)?, open(BILL_FOLDER)?))
}

/// Time on the replica's clock. The clock starts at 1000 ms, since zero means "never" in timers.
fn clock(started_at: Instant) -> Timestamp {
    Timestamp(started_at.elapsed().as_millis() as u64 + 1_000)
}

impl ReplicaThread {
    fn run(mut self, queue: &Receiver<Task>) {
        let runtime = self.runtime.clone();
        let _runtime_guard = runtime.enter();
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match queue.recv_timeout(wait) {
                Ok(Task::Event(event)) => self.handle(*event),
                Ok(Task::Edit(edit, reply)) => self.edit(*edit, reply),
                Ok(Task::Inspect(inspect)) => inspect(&self.replica),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK_INTERVAL;
                self.handle(ControlEvent::Tick);
            }
        }
    }

    fn edit(&mut self, edit: Edit, reply: oneshot::Sender<EditReply>) {
        self.next_token += 1;
        let token = EditToken(self.next_token);
        self.replies.insert(token, reply);
        self.handle(ControlEvent::Edit { token, edit });
    }

    fn handle(&mut self, event: ControlEvent) {
        match self.replica.handle(clock(self.started_at), event) {
            Ok(effects) => {
                for effect in effects {
                    self.execute(effect);
                }
            }
            Err(error) => {
                // The contents of the disk are uncertain, so the process must not acknowledge
                // anything any more.
                log::error!(step = "storage"; "stopping the process: {error}");
                std::process::exit(1);
            }
        }
    }

    fn execute(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { to, message } => self.send(to, message),
            ControlEffect::EditReply { token, reply } => {
                if let Some(sender) = self.replies.remove(&token) {
                    let _ = sender.send(reply);
                }
            }
            ControlEffect::Order { back_end, address, order, not_after } => {
                let started_at = self.started_at;
                let send = orders::send(
                    self.client.clone(),
                    self.replica_handle.clone(),
                    orders::AddressedOrder { back_end, address, order },
                    move || clock(started_at) < not_after,
                );
                self.runtime.spawn(send);
            }
            ControlEffect::Warn(text) => log::warn!("{text}"),
        }
    }

    fn send(&self, to: Peer, message: Message) {
        let address = match &to {
            Peer::Control(machine) => self.replicas.get(machine).copied(),
            Peer::Router(node) => {
                let key = RowKey::Machine(node.machine.clone());
                match self.replica.state().table().get(&key) {
                    Some(Row::Machine(row)) => Some(row.peer_address),
                    _ => None,
                }
            }
        };
        if let Some(address) = address {
            self.outbox.send(address, to, message);
        }
    }
}
