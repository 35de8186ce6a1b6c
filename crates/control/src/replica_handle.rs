//! Runs the state machine on a thread of its own and carries out its effects.

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
const TICK: Duration = Duration::from_millis(20);
/// Folder of the replicated log inside the data folder.
const LOG_FOLDER: &str = "log";
/// Folder of the bills inside the data folder.
const BILL_FOLDER: &str = "bills";

/// The replica as this process runs it.
pub type FileReplica = Replica<FileDisk>;

type Look = Box<dyn FnOnce(&FileReplica) + Send>;

enum Task {
    Event(Box<ControlEvent>),
    Edit(Box<Edit>, oneshot::Sender<EditReply>),
    Look(Look),
}

/// The way to the replica's thread.
#[derive(Clone)]
pub struct ReplicaHandle {
    tasks: Sender<Task>,
}

impl ReplicaHandle {
    /// Takes in a parcel from another process of the fleet.
    pub fn receive(&self, batch: MessageBatch) {
        for message in batch.messages {
            let event = ControlEvent::Message { from: batch.from.clone(), message };
            self.event(event);
        }
    }

    /// Reports an engine's answer.
    pub fn event(&self, event: ControlEvent) {
        self.put(Task::Event(Box::new(event)));
    }

    /// Makes an edit; returns what the operator is to be told.
    pub async fn edit(&self, edit: Edit) -> EditReply {
        let (sender, reply) = oneshot::channel();
        self.put(Task::Edit(Box::new(edit), sender));
        reply.await.unwrap_or(EditReply::Unconfirmed)
    }

    /// Looks at the replica. `None` if its thread has ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&FileReplica) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.put(Task::Look(Box::new(move |replica| {
            // The one who asked may have gone.
            let _ = sender.send(inspect(replica));
        })));
        answer.await.ok()
    }

    fn put(&self, task: Task) {
        // The thread ends only together with the process.
        let _ = self.tasks.send(task);
    }
}

struct Loop {
    started: Instant,
    replica: FileReplica,
    outbox: Outbox,
    client: Client,
    replicas: HashMap<MachineName, SocketAddr>,
    replies: HashMap<EditToken, oneshot::Sender<EditReply>>,
    next_token: u64,
    replica_handle: ReplicaHandle,
    runtime: tokio::runtime::Handle,
}

/// Opens the data folder and starts the replica's thread. Must be called inside a Tokio runtime.
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
    let started = Instant::now();
    let new_identity = rand::random();
    let replica = Replica::open(config, log_disk, bill_disk, new_identity, clock(started))?;
    let (tasks, queue) = channel();
    let replica_handle = ReplicaHandle { tasks };
    let replicas = settings
        .replicas()
        .map(|(machine, control)| (machine.name.clone(), control.peer))
        .collect();
    let state = Loop {
        started,
        replica,
        outbox: Outbox::new(Peer::Control(entry.name.clone())),
        client: Client::unpooled(),
        replicas,
        replies: HashMap::new(),
        next_token: 0,
        replica_handle: replica_handle.clone(),
        runtime: tokio::runtime::Handle::current(),
    };
    std::thread::Builder::new().name("replica".into()).spawn(move || state.run(&queue)).map_err(
        |source| {
            StoreError::Disk(stackpost_storage::DiskError {
                operation: "start the thread for",
                file: data_folder.display().to_string(),
                source,
            })
        },
    )?;
    Ok(replica_handle)
}

/// Makes the data folder of a replica that takes part in a new fleet from the start.
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

/// The replica's clock. Zero stands for "never" in timers, so it starts a little later.
fn clock(started: Instant) -> Timestamp {
    Timestamp(started.elapsed().as_millis() as u64 + 1_000)
}

impl Loop {
    fn run(mut self, queue: &Receiver<Task>) {
        let runtime = self.runtime.clone();
        let _inside = runtime.enter();
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match queue.recv_timeout(wait) {
                Ok(Task::Event(event)) => self.handle(*event),
                Ok(Task::Edit(edit, reply)) => self.edit(*edit, reply),
                Ok(Task::Look(inspect)) => inspect(&self.replica),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK;
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
        match self.replica.handle(clock(self.started), event) {
            Ok(effects) => {
                for effect in effects {
                    self.carry_out(effect);
                }
            }
            Err(error) => {
                // What is on the disk is not known any more, so nothing may be promised: stop.
                log::error!(step = "storage"; "{error}: stops");
                std::process::exit(1);
            }
        }
    }

    fn carry_out(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { to, message } => self.send(to, message),
            ControlEffect::EditReply { token, reply } => {
                if let Some(sender) = self.replies.remove(&token) {
                    let _ = sender.send(reply);
                }
            }
            ControlEffect::Order { back_end, address, order, not_after } => {
                let started = self.started;
                let send = orders::send(
                    self.client.clone(),
                    self.replica_handle.clone(),
                    orders::AddressedOrder { back_end, address, order },
                    move || clock(started) < not_after,
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
