//! The control process: exchanges messages with its peers and the routers, and passes events to the
//! replica.

use crate::control_metrics::{ControlGauges, ControlMetrics};
use crate::control_state::ControlState;
use crate::departures::UncommittedDepartures;
use crate::links::Links;
use crate::message::{ControlStatus, FleetMessage, RouterStatus};
use crate::quiescence::QuiescenceTracker;
use crate::replica_api::{PutReply, ReadReply, ReplicaEffect, ReplicaEvent};
use crate::replica_thread::{ReplicaHandle, ReplicaView};
use crate::router_updates::RouterList;
use crate::silent_engines::SilentEngineList;
use stackpost_clock::BootInstant;
use stackpost_gateway_core::{
    ColdEngines, EngineDirectory, EngineNotice, EngineState, KnownDepartures,
};
use stackpost_mesh::{LinkEvent, LinkId, Mesh, PeerInfo, PeerRole};
use stackpost_types::{MachineName, Millis, NodeId, Timestamp};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Time between two status messages.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Status intervals between two statuses of a process that does not lead to a router: well within
/// the time after which a silent connection is closed. Only a leader's statuses are urgent.
const FOLLOWER_STATUS_TICKS: u32 = 3;
/// Time between two recordings of the gauges and between two broadcasts of the quarantine.
const GAUGE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for the replica's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Address at which it accepts connections of the fleet.
    pub mesh_address: SocketAddr,
    /// Address from which it opens connections; `None` leaves it to the system.
    pub source: Option<IpAddr>,
    /// Addresses at which other control processes may listen.
    pub seeds: Vec<SocketAddr>,
}

/// A control process. Cheap to clone; must be used inside a Tokio `LocalSet`.
#[derive(Clone)]
pub struct ControlNode {
    pub(crate) mesh: Mesh<FleetMessage>,
    pub(crate) replica: ReplicaHandle,
    own_address: SocketAddr,
    started: BootInstant,
    pub(crate) state: Rc<RefCell<ControlState>>,
    pub(crate) metrics: ControlMetrics,
    /// Revision of the departures that are known to be committed.
    pub(crate) committed_departures_revision: watch::Sender<u64>,
}

impl ControlNode {
    /// Starts the process's tasks.
    pub async fn start(
        own: PeerInfo,
        settings: ControlSettings,
        replica: ReplicaHandle,
        effects: mpsc::UnboundedReceiver<ReplicaEffect>,
        metrics: ControlMetrics,
    ) -> Result<Self, stackpost_types::PeerError> {
        let own_address = own.listen_address;
        let (mesh, events) = Mesh::with_source(own, settings.source);
        mesh.listen(settings.mesh_address).await?;
        let state = ControlState {
            directory: EngineDirectory::default(),
            silent: SilentEngineList::default(),
            cold: ColdEngines::default(),
            departures: KnownDepartures::default(),
            uncommitted: UncommittedDepartures::default(),
            quiescence: QuiescenceTracker::new(Timestamp::PROCESS_START),
            quiescence_replies: HashMap::new(),
            refreshed: BTreeSet::new(),
            links: Links::default(),
            control_peers: BTreeSet::new(),
            recent_documents: BTreeMap::new(),
            deltas: BTreeMap::new(),
            puts: HashMap::new(),
            reads: HashMap::new(),
            packed: None,
            status_ticks: 0,
            next_token: 1,
            routers: RouterList::default(),
        };
        let node = Self {
            mesh,
            replica,
            own_address,
            started: BootInstant::now(),
            state: Rc::new(RefCell::new(state)),
            metrics,
            committed_departures_revision: watch::Sender::new(0),
        };
        node.add_seeds(&settings.seeds);
        tokio::task::spawn_local(node.clone().run(events, effects));
        Ok(node)
    }

    /// Dials control processes at further addresses.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.add_control_peer(*seed);
        }
    }

    /// Proposes a configuration to the replica and waits for its reply.
    pub async fn put_document(&self, bytes: Arc<[u8]>) -> PutReply {
        let reply = self.commit_order(|token| ReplicaEvent::Put { token, bytes }).await;
        self.metrics.on_put(&reply);
        reply
    }

    /// Passes an operator's order to the replica and waits for its reply.
    pub(crate) async fn commit_order(&self, event: impl FnOnce(u64) -> ReplicaEvent) -> PutReply {
        let (sender, reply) = oneshot::channel();
        let token = self.new_token();
        self.state.borrow_mut().puts.insert(token, sender);
        self.replica.send(event(token));
        let reply = timeout(REPLY_TIMEOUT, reply).await;
        self.state.borrow_mut().puts.remove(&token);
        reply.ok().and_then(Result::ok).unwrap_or(PutReply::Unconfirmed)
    }

    /// Reads the latest configuration.
    pub async fn read_document(&self) -> ReadReply {
        let (sender, reply) = oneshot::channel();
        let token = self.new_token();
        self.state.borrow_mut().reads.insert(token, sender);
        self.replica.send(ReplicaEvent::Read { token });
        let reply = timeout(REPLY_TIMEOUT, reply).await;
        self.state.borrow_mut().reads.remove(&token);
        let reply = reply.ok().and_then(Result::ok).unwrap_or(ReadReply::Unconfirmed);
        self.metrics.on_read(&reply);
        reply
    }

    /// The replica as of its last round.
    pub fn replica_view(&self) -> ReplicaView {
        self.replica.view()
    }

    pub(crate) fn new_token(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        state.next_token += 1;
        state.next_token
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::PROCESS_START + Millis(self.started.elapsed().as_millis() as u64)
    }

    fn add_control_peer(&self, address: SocketAddr) {
        if address == self.own_address {
            return;
        }
        if self.state.borrow_mut().control_peers.insert(address) {
            self.mesh.dial(address);
        }
    }

    async fn run(
        self,
        mut events: mpsc::UnboundedReceiver<LinkEvent<FleetMessage>>,
        mut effects: mpsc::UnboundedReceiver<ReplicaEffect>,
    ) {
        let mut status_ticks = interval(STATUS_INTERVAL);
        status_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gauge_ticks = interval(GAUGE_INTERVAL);
        gauge_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_link_event(event),
                Some(effect) = effects.recv() => self.on_effect(effect),
                _ = status_ticks.tick() => self.on_tick(),
                _ = gauge_ticks.tick() => {
                    self.metrics.record_gauges(&self.gauges());
                    self.record_sent();
                    // Repeated because a message is dropped when a connection's queue is full.
                    self.broadcast_quarantine();
                    self.broadcast_engine_digest();
                }
            }
        }
    }

    fn record_sent(&self) {
        let sent = self.mesh.take_sent();
        self.metrics.on_sent(&sent);
        for (kind, sent) in &sent {
            log::debug!(kind = *kind, messages = sent.messages, bytes = sent.bytes; "sent");
        }
    }

    fn on_link_event(&self, event: LinkEvent<FleetMessage>) {
        match event {
            LinkEvent::Up { link, peer, .. } => self.on_up(link, peer),
            LinkEvent::Down { link } => {
                self.state.borrow_mut().links.down(link);
                self.update_control_peers();
            }
            LinkEvent::Message { link, message } => self.on_message(link, message),
        }
    }

    fn on_up(&self, link: LinkId, peer: PeerInfo) {
        log::info!(peer = peer.node.to_string().as_str(); "connected");
        let (now, role) = (self.now(), peer.role);
        if role == PeerRole::Router {
            self.state.borrow_mut().quiescence.on_heard(now, &peer.node);
        }
        self.state.borrow_mut().links.up(now, link, peer);
        if role == PeerRole::Control {
            let notices = self.state.borrow().directory.notices(self.now());
            self.mesh.send(link, &FleetMessage::Engines(notices));
            self.send_router_roll(link);
        } else {
            self.send_updates_to_router(link, false);
            // Sent before the status: a router that has received a leader's status admits requests.
            let notice = self.replica.view().quarantine.notice();
            self.mesh.send(link, &FleetMessage::Quarantined(notice));
        }
        self.mesh.send(link, &FleetMessage::ControlStatus(self.status()));
        match role {
            PeerRole::Control => self.update_control_peers(),
            PeerRole::Router => self.state.borrow_mut().routers.is_outdated = true,
        }
    }

    /// Records that something was received. Returns its sender; `None` if the connection is closed.
    fn on_received(&self, link: LinkId) -> Option<NodeId> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let (peer, role) = state.links.on_received(now, link)?;
        if role == PeerRole::Router {
            state.quiescence.on_heard(now, &peer);
        }
        Some(peer)
    }

    fn on_message(&self, link: LinkId, message: FleetMessage) {
        let Some(peer) = self.on_received(link) else {
            return;
        };
        match message {
            FleetMessage::Raft(envelope) => self.replica.send(ReplicaEvent::Raft(envelope)),
            FleetMessage::ControlStatus(status) => {
                self.on_departures_confirmed(link, status.departures);
                status.control_peers.into_iter().for_each(|peer| self.add_control_peer(peer));
            }
            FleetMessage::Engines(notices) => self.on_engines(notices),
            FleetMessage::Departures(delta) => self.on_departures(&delta),
            FleetMessage::DepartureNotices(records) => {
                self.replica.send(ReplicaEvent::DepartureNotices(records));
            }
            FleetMessage::RouterStatus(status) => self.on_router_status(link, peer, status),
            FleetMessage::CrashReport(report) => self.on_crash_report(report),
            FleetMessage::EngineListWanted(is_wanted) => {
                self.on_engine_list_wanted(link, is_wanted);
            }
            FleetMessage::ColdNotices(notices) => self.on_cold_notices(&notices),
            FleetMessage::ColdEnginesConfirmed(revision) => {
                self.on_cold_engines_confirmed(link, revision);
            }
            FleetMessage::EvacuationsConfirmed(revision) => {
                self.on_evacuations_confirmed(link, revision);
            }
            FleetMessage::DepartureProgress(progress) => {
                let now = self.now();
                self.state.borrow_mut().quiescence.on_progress(now, &peer, progress);
            }
            FleetMessage::QuiescenceQuery { token, engine } => {
                self.on_quiescence_query(link, token, &engine);
            }
            FleetMessage::QuiescenceReply { token, quiescence } => {
                self.on_quiescence_reply(token, quiescence);
            }
            FleetMessage::EngineReads(reads) => {
                let now = self.now();
                self.state.borrow_mut().quiescence.on_reads(now, reads);
            }
            FleetMessage::RouterStopped(progress) => {
                let now = self.now();
                self.state.borrow_mut().quiescence.on_stopped(now, &peer, progress);
            }
            FleetMessage::RouterRoll(roll) => {
                let now = self.now();
                self.state.borrow_mut().quiescence.on_roll(now, roll);
            }
            FleetMessage::FinalUsage(spent) => {
                self.replica.send(ReplicaEvent::RouterFinalUsage { router: peer, spent });
            }
            FleetMessage::RelayedFinalUsage(router, spent) => {
                self.replica.send(ReplicaEvent::RouterFinalUsage { router, spent });
            }
            FleetMessage::Document(_)
            | FleetMessage::DocumentDelta(_)
            | FleetMessage::EngineChanges(_)
            | FleetMessage::Routers { .. }
            | FleetMessage::SilentEngines { .. }
            | FleetMessage::SilentChanges(_)
            | FleetMessage::EngineListDigest(_)
            | FleetMessage::Borrow { .. }
            | FleetMessage::BorrowReply { .. }
            | FleetMessage::SettleLoan { .. }
            | FleetMessage::KeepAlive
            | FleetMessage::Forecasts(_)
            | FleetMessage::Allotments(_)
            | FleetMessage::Recall(_)
            | FleetMessage::Quarantined(_)
            | FleetMessage::ExpiredEngines(_)
            | FleetMessage::Evacuations(_)
            | FleetMessage::ColdEngines(_)
            | FleetMessage::FinalUsageAck => {}
        }
    }

    fn on_router_status(&self, link: LinkId, router: NodeId, status: RouterStatus) {
        if let Some(entry) = self.state.borrow_mut().links.get_mut(link) {
            entry.delivery.confirm(&status.versions);
        }
        self.send_updates_to_router(link, status.accepts_unconfirmed);
        self.replica.send(ReplicaEvent::RouterReport { router, status });
    }

    fn on_effect(&self, effect: ReplicaEffect) {
        match effect {
            ReplicaEffect::SendRaft(machine, envelope) => {
                self.send_to_control(&machine, &FleetMessage::Raft(envelope));
            }
            ReplicaEffect::PutReply(token, reply) => {
                if let Some(sender) = self.state.borrow_mut().puts.remove(&token) {
                    // The caller may have stopped waiting.
                    let _ = sender.send(reply);
                }
            }
            ReplicaEffect::ReadReply(token, reply) => {
                if let Some(sender) = self.state.borrow_mut().reads.remove(&token) {
                    let _ = sender.send(reply);
                }
            }
            ReplicaEffect::DocumentChanged(document) => self.on_document(document.version),
            ReplicaEffect::Allotments(router, totals) => {
                self.send_to_router(&router, &FleetMessage::Allotments(totals));
            }
            ReplicaEffect::Recall(router, keeps) => {
                self.send_to_router(&router, &FleetMessage::Recall(keeps));
            }
            ReplicaEffect::Forecasts(forecasts) => {
                let routers = self.state.borrow().links.one_per_peer(self.now(), PeerRole::Router);
                self.mesh.send_all(routers, &FleetMessage::Forecasts(forecasts));
            }
            ReplicaEffect::FinalUsageAck(router) => {
                self.send_to_router(&router, &FleetMessage::FinalUsageAck);
            }
            ReplicaEffect::FleetCreated => self.state.borrow_mut().quiescence.on_new_fleet(),
            ReplicaEffect::QuarantineChanged => self.broadcast_quarantine(),
            ReplicaEffect::DeparturesChanged => self.sync_departures(),
            ReplicaEffect::EvacuationsChanged => self.on_evacuations_changed(),
            ReplicaEffect::RoleChanged(is_leader) => {
                log::info!(leads = is_leader; "role changed");
                self.broadcast_quarantine();
                self.broadcast_departures();
                self.broadcast_evacuations();
                self.state.borrow_mut().status_ticks = 0;
                self.on_tick();
            }
        }
    }

    fn on_document(&self, version: u64) {
        let view = self.replica.view();
        if let Some(document) = &view.document {
            self.state.borrow_mut().cache_document(document);
        }
        log::info!(version = version, leads = view.is_leader(); "configuration in force");
        if view.is_leader() {
            self.broadcast_document();
        }
    }

    fn gauges(&self) -> ControlGauges {
        let view = self.replica.view();
        let state = self.state.borrow();
        let in_state = |wanted: EngineState| {
            state.directory.iter().filter(|record| record.notice.state == wanted).count()
        };
        let quarantined = view.quarantine.notice().quarantined.len();
        ControlGauges {
            is_leader: view.is_leader(),
            term: view.term,
            applied: view.applied,
            configuration_version: view.document_version(),
            routers: state.links.count_machines(PeerRole::Router),
            control_peers: state.links.count_machines(PeerRole::Control),
            engines_ready: in_state(EngineState::Ready),
            engines_draining: in_state(EngineState::Draining),
            engines_silent: state.silent.count(),
            suspected: view.quarantine.suspects().count() - quarantined,
            quarantined,
        }
    }

    /// Sends the quarantine notice to all routers if this replica leads.
    fn broadcast_quarantine(&self) {
        let view = self.replica.view();
        if view.is_leader() {
            let routers = self.state.borrow().links.one_per_peer(self.now(), PeerRole::Router);
            let notice = view.quarantine.notice();
            self.mesh.send_all(routers, &FleetMessage::Quarantined(notice));
        }
    }

    fn on_tick(&self) {
        self.broadcast_router_list();
        // Repeated because a replica that had to reopen its data folder has lost its list of peers.
        self.update_control_peers();
        self.sync_departures();
        self.record_coverage();
        self.forward_uncommitted();
        self.expire_silent_engines();
        self.broadcast_engines();
        self.broadcast_silent_engines();
        let now = self.now();
        let status = FleetMessage::ControlStatus(self.status());
        let state = &mut *self.state.borrow_mut();
        self.mesh.send_all(state.links.all(PeerRole::Control), &status);
        let is_due_to_routers = state.status_ticks.is_multiple_of(FOLLOWER_STATUS_TICKS);
        if is_due_to_routers || self.replica.view().is_leader() {
            self.mesh.send_all(state.links.all(PeerRole::Router), &status);
        }
        state.status_ticks = state.status_ticks.wrapping_add(1);
        let refreshed: Vec<EngineNotice> = std::mem::take(&mut state.refreshed)
            .iter()
            .filter_map(|engine| state.directory.get(engine))
            .map(|record| record.to_notice(now))
            .collect();
        if !refreshed.is_empty() {
            let message = FleetMessage::Engines(refreshed);
            self.mesh.send_all(state.links.one_per_peer(now, PeerRole::Control), &message);
        }
        state.directory.remove_expired(now);
        state.departures.remove_expired(now);
        state.quiescence.remove_expired(now, &self.replica.view().departures);
        state.cold.remove_expired(now);
        state.silent.remove_expired(now);
    }

    fn status(&self) -> ControlStatus {
        let view = self.replica.view();
        let state = self.state.borrow();
        ControlStatus {
            is_leader: view.is_leader(),
            document_version: view.document_version(),
            departures: state.departures.revision(),
            clock: self.replica.now(),
            routers: state.links.count_machines(PeerRole::Router) as u32,
            control_peers: state.control_peers.iter().copied().chain([self.own_address]).collect(),
        }
    }

    fn update_control_peers(&self) {
        let peers = self.state.borrow().links.machines(PeerRole::Control);
        self.replica.send(ReplicaEvent::ControlPeers(peers));
    }

    pub(crate) fn send_to_control(&self, machine: &MachineName, message: &FleetMessage) {
        let link = self.state.borrow().links.link_to_control(self.now(), machine);
        if let Some(link) = link {
            self.mesh.send(link, message);
        }
    }

    fn send_to_router(&self, router: &NodeId, message: &FleetMessage) {
        let link = self.state.borrow().links.link_to_router(self.now(), router);
        if let Some(link) = link {
            self.mesh.send(link, message);
        }
    }
}
