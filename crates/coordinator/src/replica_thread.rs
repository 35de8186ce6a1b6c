//! Runs a replica on a thread of its own, so that a slow disk does not block the process.

use crate::control_metrics::ControlMetrics;
use crate::message::Document;
use crate::replica::Replica;
use crate::replica_api::{ReplicaConfig, ReplicaEffect, ReplicaError, ReplicaEvent};
use stackpost_clock::BootInstant;
use stackpost_gateway_core::{Departures, Evacuations, Quarantine};
use stackpost_storage::{DiskError, FileDisk, StoreError};
use stackpost_types::{MachineName, ServiceName, Timestamp};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Time between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Pause before a data folder is reopened after an error.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of events processed before the log is synced.
const EVENTS_PER_ROUND: usize = 256;

/// Snapshot of a replica's state for other threads.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// End of its lease; `None` unless it leads.
    pub lease_until: Option<BootInstant>,
    /// The leader, if known.
    pub leader: Option<MachineName>,
    /// This replica's machine; `None` while its data folder is not open.
    pub own_name: Option<MachineName>,
    /// The machines whose votes count.
    pub voters: Arc<BTreeSet<MachineName>>,
    /// Term of the replicated log.
    pub term: u64,
    /// Last entry of the log that is applied.
    pub applied: u64,
    /// The configuration in force.
    pub document: Option<Document>,
    /// The services of the configuration; `None` if there is no configuration.
    pub services: Option<Arc<BTreeSet<ServiceName>>>,
    /// Requests under which engines have crashed.
    pub quarantine: Arc<Quarantine>,
    /// The committed departures of engines.
    pub departures: Arc<Departures>,
    /// The evacuated zones.
    pub evacuations: Arc<Evacuations>,
}

impl ReplicaView {
    /// Whether the replica is the leader and its lease has not expired.
    pub fn is_leader(&self) -> bool {
        self.lease_until.is_some_and(|until| BootInstant::now() < until)
    }

    /// Version of the configuration in force; zero if there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }
}

/// Sends events to the replica's thread and reads its published state.
#[derive(Clone)]
pub struct ReplicaHandle {
    events: Sender<ReplicaEvent>,
    view: watch::Receiver<ReplicaView>,
    started: BootInstant,
}

impl ReplicaHandle {
    /// Sends an event to the thread.
    pub fn send(&self, event: ReplicaEvent) {
        // The thread ends only together with the process.
        let _ = self.events.send(event);
    }

    /// The replica's clock.
    pub fn now(&self) -> Timestamp {
        clock_reading(self.started)
    }

    /// The replica as of its last round.
    pub fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }
}

/// The thread's state.
pub struct ReplicaThread {
    config: ReplicaConfig,
    folder: PathBuf,
    started: BootInstant,
    events: Receiver<ReplicaEvent>,
    effects: mpsc::UnboundedSender<ReplicaEffect>,
    view: watch::Sender<ReplicaView>,
    metrics: ControlMetrics,
}

impl ReplicaThread {
    /// Starts the thread on the data folder, which is created if it does not exist.
    pub fn start(
        config: ReplicaConfig,
        folder: &Path,
        metrics: ControlMetrics,
    ) -> std::io::Result<(ReplicaHandle, mpsc::UnboundedReceiver<ReplicaEffect>)> {
        let (event_sender, events) = channel();
        let (effects, effect_receiver) = mpsc::unbounded_channel();
        let (view, view_receiver) = watch::channel(ReplicaView::default());
        let folder = folder.to_path_buf();
        let started = BootInstant::now();
        let thread = Self { config, folder, started, events, effects, view, metrics };
        std::thread::Builder::new().name("replica".into()).spawn(move || thread.run())?;
        Ok((ReplicaHandle { events: event_sender, view: view_receiver, started }, effect_receiver))
    }

    fn run(mut self) {
        loop {
            if let Err(error) = self.run_until_error() {
                log::error!(step = "storage"; "{error}; reopening the data folder");
            } else {
                return;
            }
            self.view.send_replace(ReplicaView::default());
            std::thread::sleep(REOPEN_PAUSE);
            // If the data folder has to be created now, it must not reuse an earlier identity.
            self.config.initial_voters = None;
            self.config.new_identity = rand::random();
        }
    }

    /// Returns without an error only after all event senders are dropped.
    fn run_until_error(&self) -> Result<(), ReplicaError> {
        let disk = open_disk(&self.folder)?;
        let mut replica = Replica::open(self.config.clone(), disk, self.now())?;
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            let mut round = match self.events.recv_timeout(wait) {
                Ok(event) => vec![event],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            while round.len() < EVENTS_PER_ROUND
                && let Ok(event) = self.events.try_recv()
            {
                round.push(event);
            }
            if Instant::now() >= tick_at {
                round.push(ReplicaEvent::Tick);
                tick_at = Instant::now() + TICK_INTERVAL;
            }
            let round_start = Instant::now();
            let effects = replica.handle(self.now(), round)?;
            self.metrics.on_round(round_start.elapsed());
            self.publish(&replica);
            for effect in effects {
                // The receiver exists as long as the process.
                let _ = self.effects.send(effect);
            }
        }
    }

    fn publish(&self, replica: &Replica<FileDisk>) {
        let lease_until = replica.lease_until().map(|until| self.instant(until));
        let leader = replica.leader();
        let version = replica.state().document_version();
        self.view.send_if_modified(|view| {
            let document_is_new = view.document_version() != version;
            if document_is_new {
                view.document = replica.state().document.clone();
                view.services = view.document.as_ref().and_then(|document| self.services(document));
            }
            let quarantine = &replica.state().quarantine;
            let quarantine_is_new = view.quarantine.revision() != quarantine.revision();
            if quarantine_is_new {
                view.quarantine = Arc::new(quarantine.clone());
            }
            let departures = &replica.state().departures;
            let departures_are_new = view.departures.revision() != departures.revision();
            if departures_are_new {
                view.departures = Arc::new(departures.clone());
            }
            let evacuations = &replica.state().evacuations;
            let evacuations_are_new = view.evacuations.revision() != evacuations.revision();
            if evacuations_are_new {
                view.evacuations = Arc::new(evacuations.clone());
            }
            let voters = replica.voters();
            if !view.voters.iter().eq(voters.keys()) {
                view.voters = Arc::new(voters.keys().cloned().collect());
            }
            if view.own_name.is_none() {
                view.own_name = Some(self.config.name.clone());
            }
            let role_is_new = view.leader.as_ref() != leader;
            view.leader = leader.cloned();
            view.lease_until = lease_until;
            view.term = replica.term();
            view.applied = replica.applied();
            document_is_new
                || quarantine_is_new
                || departures_are_new
                || evacuations_are_new
                || role_is_new
        });
    }

    /// The services of a document. Every document in force has been decoded and validated before.
    fn services(&self, document: &Document) -> Option<Arc<BTreeSet<ServiceName>>> {
        let config = self.config.codec.decode(&document.bytes);
        let config = config.inspect_err(|error| log::error!(step = "decode"; "{error}")).ok()?;
        Some(Arc::new(config.services.into_keys().collect()))
    }

    fn now(&self) -> Timestamp {
        clock_reading(self.started)
    }

    fn instant(&self, time: Timestamp) -> BootInstant {
        self.started + Duration::from_millis(time.0.saturating_sub(CLOCK_START))
    }
}

/// Value of the replica's clock at its start, in milliseconds. Not zero, because zero means "never"
/// in timers.
const CLOCK_START: u64 = 1_000;

fn clock_reading(started: BootInstant) -> Timestamp {
    Timestamp(started.elapsed().as_millis() as u64 + CLOCK_START)
}

fn open_disk(folder: &Path) -> Result<FileDisk, ReplicaError> {
    std::fs::create_dir_all(folder).map_err(|source| {
        let file = folder.display().to_string();
        StoreError::Disk(DiskError { operation: "create", file, source })
    })?;
    Ok(FileDisk::open(folder).map_err(StoreError::Disk)?)
}
