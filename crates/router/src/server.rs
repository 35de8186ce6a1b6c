//! Runs the state machine and applies its effects.

use crate::metrics::Metrics;
use crate::poll;
use crate::request_task::Signal;
use stackpost_http::Client;
use stackpost_protocol::{MessageBatch, Peer};
use stackpost_router_core::{CallId, Dispatch, Effect, Event, Router, RouterConfig};
use stackpost_settings::{FleetSettings, MachineEntry, RouterOptions};
use stackpost_table::{Row, RowKey};
use stackpost_transport::Outbox;
use stackpost_types::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc};

/// The state machine with its connections, clients and metrics.
pub struct RouterServer {
    started_at: Instant,
    entry: MachineEntry,
    options: RouterOptions,
    control: HashMap<MachineName, SocketAddr>,
    core: Mutex<Core>,
    has_platform: bool,
    outbox: Outbox,
    pooled: Client,
    unpooled: Client,
    metrics: Metrics,
    next_call: AtomicU64,
    drained: Notify,
    draining: AtomicBool,
    runtime: tokio::runtime::Handle,
}

struct Core {
    router: Router,
    calls: HashMap<CallId, mpsc::UnboundedSender<Signal>>,
}

impl RouterServer {
    /// Creates the server. Must be called inside a Tokio runtime.
    pub fn new(settings: &FleetSettings, entry: &MachineEntry, metrics: Metrics) -> Arc<Self> {
        let replicas: Vec<MachineName> =
            settings.replicas().map(|(machine, _)| machine.name.clone()).collect();
        let control = settings
            .replicas()
            .map(|(machine, control)| (machine.name.clone(), control.peer))
            .collect();
        let config = incarnation_config(entry, replicas, settings.platform.is_some());
        let outbox = Outbox::new(Peer::Router(config.node.clone()));
        let router = Router::new(config, Timestamp(0));
        Arc::new(Self {
            started_at: Instant::now(),
            entry: entry.clone(),
            options: settings.router.clone(),
            control,
            core: Mutex::new(Core { router, calls: HashMap::new() }),
            has_platform: settings.platform.is_some(),
            outbox,
            pooled: Client::default(),
            unpooled: Client::unpooled(),
            metrics,
            next_call: AtomicU64::new(1),
            drained: Notify::new(),
            draining: AtomicBool::new(false),
            runtime: tokio::runtime::Handle::current(),
        })
    }

    /// The machine's name.
    pub fn machine(&self) -> &MachineName {
        &self.entry.name
    }

    /// The machine's entry in the settings.
    pub fn entry(&self) -> &MachineEntry {
        &self.entry
    }

    /// The options of every router.
    pub fn options(&self) -> &RouterOptions {
        &self.options
    }

    /// The process's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The runtime that runs the request tasks.
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        &self.runtime
    }

    /// A client for back ends. Without a pool every request gets its own connection, as requests
    /// that may not be retried need.
    pub fn client(&self, pooled: bool) -> Client {
        if pooled { self.pooled.clone() } else { self.unpooled.clone() }
    }

    /// Reads the state machine under the lock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&self.lock().router)
    }

    /// Registers a new request; its signals are sent to `signals`.
    pub fn register(&self, signals: mpsc::UnboundedSender<Signal>) -> CallId {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        self.lock().calls.insert(call, signals);
        call
    }

    /// Removes a finished request.
    pub fn unregister(&self, call: CallId) {
        self.lock().calls.remove(&call);
    }

    /// Passes an event to the state machine and applies the effects. Effects are applied under the
    /// lock, so that they keep their order; none of them blocks.
    pub fn handle(&self, event: Event) {
        let mut core = self.lock();
        let effects = core.router.handle(self.now(), wall_time(), event);
        for effect in effects {
            self.apply_effect(&mut core, effect);
        }
    }

    /// Handles a message batch from another process of the fleet. A batch for another incarnation
    /// is dropped.
    pub fn receive(&self, batch: MessageBatch) {
        let MessageBatch { from, to, messages } = batch;
        let addressed_here = match &to {
            Peer::Router(node) => self.inspect(|router| router.node() == node),
            Peer::Control(_) => false,
        };
        if !addressed_here {
            return;
        }
        for message in messages {
            self.handle(Event::Message { from: from.clone(), message });
        }
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.handle(Event::Drain);
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns once a planned stop has finished.
    pub async fn drained(&self) {
        self.drained.notified().await;
    }

    /// Number of registered requests.
    pub fn open_call_count(&self) -> usize {
        self.lock().calls.len()
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        // Zero means "never" in timers, so the clock starts at 1 s.
        Timestamp(self.started_at.elapsed().as_millis() as u64 + 1_000)
    }

    fn apply_effect(&self, core: &mut Core, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Some(address) = self.address_of(&core.router, &to) {
                    self.outbox.send(address, to, message);
                }
            }
            Effect::Dispatch(dispatch) => signal(core, dispatch.call, dispatch_signal(dispatch)),
            Effect::Cancel { call, number } => signal(core, call, Signal::Cancel(number)),
            Effect::StartResponse(call) => signal(core, call, Signal::StartResponse),
            Effect::Finish { call, billed } => signal(core, call, Signal::Finish(billed)),
            Effect::Replay { call, answer } => signal(core, call, Signal::Replay(answer)),
            Effect::Refuse { call, refusal } => signal(core, call, Signal::Refuse(refusal)),
            Effect::Dropped(call) => signal(core, call, Signal::Dropped),
            Effect::QueryUsage { account, request, back_end, address } => {
                log::info!(request = request.to_string(), peer = back_end.to_string(), step = "usage"; "querying the usage of the request");
                let query = poll::UsageQuery { account, request, address };
                self.runtime.spawn(poll::query_usage(self.pooled.clone(), query));
            }
            Effect::Fenced => self.begin_incarnation(core),
            Effect::Drained => self.drained.notify_one(),
            Effect::Warn(text) => log::warn!(zone = self.entry.zone.to_string(); "{text}"),
        }
    }

    /// Another node has taken the account over; this process continues as a new incarnation.
    fn begin_incarnation(&self, core: &mut Core) {
        let replicas = self.control.keys().cloned().collect();
        let config = incarnation_config(&self.entry, replicas, self.has_platform);
        log::warn!(node = config.node.to_string(), step = "fence"; "the account was taken over: continuing as a new incarnation");
        self.outbox.set_sender(Peer::Router(config.node.clone()));
        let empty = Router::new(config.clone(), self.now());
        let ended = std::mem::replace(&mut core.router, empty);
        core.router = ended.next_incarnation(config, self.now());
    }

    fn address_of(&self, router: &Router, peer: &Peer) -> Option<SocketAddr> {
        match peer {
            Peer::Control(machine) => self.control.get(machine).copied(),
            Peer::Router(node) => {
                match router.table().get(&RowKey::Machine(node.machine.clone())) {
                    Some(Row::Machine(row)) => Some(row.peer_address),
                    _ => None,
                }
            }
        }
    }
}

fn dispatch_signal(dispatch: Dispatch) -> Signal {
    Signal::Dispatch(dispatch)
}

fn signal(core: &Core, call: CallId, signal: Signal) {
    if let Some(signals) = core.calls.get(&call) {
        // An error means that the request task has ended and needs no signals.
        let _ = signals.send(signal);
    }
}

fn incarnation_config(
    entry: &MachineEntry,
    mut control: Vec<MachineName>,
    has_platform: bool,
) -> RouterConfig {
    control.sort();
    RouterConfig {
        node: NodeId { machine: entry.name.clone(), incarnation: Incarnation(rand::random()) },
        zone: entry.zone.clone(),
        control,
        has_platform,
        defects: Default::default(),
    }
}

/// The current wall-clock time, for bills and logs.
pub fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since_epoch.as_millis() as u64)
}
