//! Keeps a router's state up to date over the fleet's connections to control and to other routers.

mod departure_progress;
mod engine_list;
mod engine_updates;
mod final_usage;
mod loan_messages;
mod statements;

use self::final_usage::RelayedFinalUsage;
use crate::engine_relay::RelayServer;
use crate::load_exchange::LoadExchange;
use crate::loan_peers::LoanPeers;
use crate::loans::{LoanCommand, Loans};
use crate::machine_clock::machine_time;
use crate::router::Router;
use stackpost_coordinator::{ClockEcho, ControlStatus, FleetMessage, RouterStatus, RouterVersions};
use stackpost_gateway_core::{
    EngineListDigest, EngineSubscription, ProgressReporter, RouterEndpoint, RouterLists,
    StatementTimes, ZoneRouters,
};
use stackpost_mesh::{LinkEvent, LinkId, Mesh, PeerInfo, PeerRole};
use stackpost_prepaid::{AccountReport, Allotment, BootTimestamp};
use stackpost_types::{BackEndName, Digest, NodeId, PeerError, TenantName};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval};

/// Interval of reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of heartbeats to the other control processes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);
/// Interval at which all accounts are reported, whether they have changed or not.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which old entries are evicted and gauges are recorded.
const EVICTION_INTERVAL: Duration = Duration::from_secs(2);

/// The router's connections to control and to other routers.
pub struct FleetLink {
    node: NodeId,
    mesh: Mesh<FleetMessage>,
    router: Rc<Router>,
    /// Connected control processes.
    links: RefCell<BTreeMap<LinkId, NodeId>>,
    leader: Cell<Option<LinkId>>,
    leader_contact: Cell<Option<BootTimestamp>>,
    echoes: RefCell<BTreeMap<LinkId, ClockEcho>>,
    /// The versions received from each control process.
    versions: RefCell<BTreeMap<LinkId, RouterVersions>>,
    /// The revision of the cold engines received from each control process.
    cold_revisions: RefCell<BTreeMap<LinkId, u64>>,
    engine_subscription: RefCell<EngineSubscription<LinkId>>,
    /// When control processes made what they stated last.
    statements: RefCell<StatementTimes<LinkId>>,
    departure_progress: RefCell<ProgressReporter>,
    /// Digest of the own list of engines, with the revision and number of records that it is of.
    own_digest: Cell<Option<(u64, usize, EngineListDigest)>>,
    started: BootTimestamp,
    reported: RefCell<BTreeMap<TenantName, AccountReport>>,
    fully_reported_at: Cell<Instant>,
    heartbeat_sent_at: Cell<Instant>,
    final_usage_acknowledged: Notify,
    /// Other routers, dialed only when this one needs them.
    peers: RefCell<Vec<SocketAddr>>,
    /// Connections to other routers, with the address at which each accepts connections.
    peer_links: RefCell<BTreeMap<LinkId, SocketAddr>>,
    /// When this router began to dial each lender.
    lenders_dialed: RefCell<BTreeMap<SocketAddr, Instant>>,
    loans: Loans,
    /// The routers at the other ends of `peer_links`.
    loan_peers: RefCell<LoanPeers>,
    exchange: Rc<LoadExchange>,
    /// Zone and address of this router.
    endpoint: RouterEndpoint,
    /// The routers that each control process reports.
    router_lists: RefCell<RouterLists<LinkId>>,
    /// The routers applied last.
    endpoints: RefCell<BTreeSet<RouterEndpoint>>,
    /// Engines that each control process reports as silent.
    silent: RefCell<BTreeMap<LinkId, BTreeSet<BackEndName>>>,
    /// Final usage of routers that stopped while disconnected, to be relayed to the leader.
    relayed_usage: RefCell<BTreeMap<NodeId, RelayedFinalUsage>>,
    stopped: Cell<bool>,
}

impl FleetLink {
    /// Starts connecting to control processes at `seeds`. Must be called inside a `LocalSet`.
    pub async fn start(
        own: PeerInfo,
        router: Rc<Router>,
        seeds: &[SocketAddr],
    ) -> Result<Rc<Self>, PeerError> {
        let listen_address = own.listen_address;
        Self::start_at(own, listen_address, router, seeds).await
    }

    /// The same for a router that other processes reach at another address than the one at which it
    /// listens.
    pub async fn start_at(
        own: PeerInfo,
        listen_address: SocketAddr,
        router: Rc<Router>,
        seeds: &[SocketAddr],
    ) -> Result<Rc<Self>, PeerError> {
        let advertised = own.listen_address;
        let endpoint = RouterEndpoint { zone: own.zone.clone(), address: advertised };
        let node = own.node.clone();
        let started = machine_time(&router.clock);
        let (mesh, events) = Mesh::with_source(own, router.source);
        mesh.listen(listen_address).await?;
        let incarnation = Digest::of(&[node.to_string().as_bytes()]).to_u64();
        let exchange =
            LoadExchange::start_at(incarnation, listen_address, advertised, router.clone()).await?;
        RelayServer::start(listen_address, router.clone()).await?;
        let link = Rc::new(Self {
            node,
            mesh,
            router,
            links: RefCell::default(),
            leader: Cell::new(None),
            leader_contact: Cell::new(None),
            echoes: RefCell::default(),
            versions: RefCell::default(),
            cold_revisions: RefCell::default(),
            engine_subscription: RefCell::default(),
            statements: RefCell::default(),
            departure_progress: RefCell::default(),
            own_digest: Cell::new(None),
            started,
            reported: RefCell::default(),
            fully_reported_at: Cell::new(Instant::now()),
            heartbeat_sent_at: Cell::new(Instant::now()),
            final_usage_acknowledged: Notify::new(),
            peers: RefCell::default(),
            peer_links: RefCell::default(),
            lenders_dialed: RefCell::default(),
            loans: Loans::default(),
            loan_peers: RefCell::default(),
            exchange,
            endpoint,
            router_lists: RefCell::default(),
            endpoints: RefCell::default(),
            silent: RefCell::default(),
            relayed_usage: RefCell::default(),
            stopped: Cell::new(false),
        });
        link.add_seeds(seeds);
        let loan_commands = link.router.loan_handle.open();
        tokio::task::spawn_local(link.clone().run(events, loan_commands));
        Ok(link)
    }

    /// Connects to control processes at further addresses.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        seeds.iter().for_each(|seed| self.mesh.dial(*seed));
    }

    fn on_routers(&self, link: LinkId, zones: &[ZoneRouters]) {
        let routers = zones.iter().flat_map(ZoneRouters::endpoints).collect();
        self.router_lists.borrow_mut().on_router_list(link, routers);
        self.apply_router_lists();
    }

    fn apply_router_lists(&self) {
        let now = self.router.now();
        let Some(endpoints) = self.router_lists.borrow_mut().endpoints(now) else {
            return;
        };
        if *self.endpoints.borrow() == endpoints {
            return;
        }
        let others: BTreeSet<SocketAddr> =
            endpoints.iter().map(|endpoint| endpoint.address).collect();
        let others: Vec<SocketAddr> =
            others.into_iter().filter(|other| *other != self.endpoint.address).collect();
        self.router.permits.set_others(now, &others);
        self.router.account_owners.borrow_mut().set_endpoints(&self.endpoint, &endpoints);
        self.router.set_relay_routers(&self.endpoint, &endpoints);
        self.router.pressure_control.set_endpoints(&self.endpoint, &endpoints);
        self.router.ranked_routers.borrow_mut().set_endpoints(&self.endpoint, &endpoints);
        self.stop_dialing_removed(&others);
        *self.endpoints.borrow_mut() = endpoints;
    }

    async fn run(
        self: Rc<Self>,
        mut events: mpsc::UnboundedReceiver<LinkEvent<FleetMessage>>,
        mut loan_commands: mpsc::UnboundedReceiver<LoanCommand>,
    ) {
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut eviction = interval(EVICTION_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.on_event(event),
                Some(command) = loan_commands.recv() => self.on_loan_command(command),
                () = self.router.crash_report_due.notified() => self.report_crashes(),
                () = self.router.wallet_insufficient.notified() => self.report(),
                _ = reports.tick() => {
                    self.router.watch_for_stalls();
                    self.report();
                    self.apply_router_lists();
                    self.subscribe_if_due();
                    self.send_loan_queries();
                    self.forward_relayed_usage();
                    self.report_departure_progress();
                }
                _ = eviction.tick() => {
                    self.evict_old();
                    self.charge_unsettled_loans();
                    self.router.expire_account_holders();
                    self.router.release_unowned_tokens();
                    self.router.revalidate_stale_rates();
                    self.router.crash_tracker.borrow_mut().resend_recent(self.router.now());
                    self.report_crashes();
                    self.record_sent();
                    let router = &self.router;
                    let engines = router.ready_engine_count();
                    router.metrics.record_state(
                        router.document_version(),
                        router.is_connected_to_leader(),
                        engines,
                    );
                    router.metrics.record_backing_off(router.picker.borrow().backing_off(router.now()));
                    router.metrics.record_rate_limited(router.permits.rate_limited_engines());
                    router.record_admission();
                    router.metrics.record_quarantined(router.crash_tracker.borrow().quarantined());
                    router.metrics.record_held_stream_bytes(router.held_stream_bytes());
                }
            }
        }
    }

    fn record_sent(&self) {
        let sent = self.mesh.take_sent();
        self.router.metrics.on_sent(&sent);
        for (kind, sent) in &sent {
            log::debug!(kind = *kind, messages = sent.messages, bytes = sent.bytes; "sent");
        }
    }

    fn on_event(self: &Rc<Self>, event: LinkEvent<FleetMessage>) {
        match event {
            LinkEvent::Up { link, peer, .. } if peer.role == PeerRole::Router => {
                self.peer_links.borrow_mut().insert(link, peer.listen_address);
                self.on_peer_up(link, peer.node);
            }
            LinkEvent::Up { link, peer, .. } => {
                log::info!(peer = peer.node.to_string().as_str(); "control connected");
                self.links.borrow_mut().insert(link, peer.node);
                self.on_control_up(link, &peer.zone);
                self.send_status(link);
            }
            LinkEvent::Down { link } => {
                self.peer_links.borrow_mut().remove(&link);
                self.on_peer_down(link);
                self.on_control_down(link);
                self.engine_subscription.borrow_mut().on_down(self.router.now(), link);
                if let Some(peer) = self.links.borrow_mut().remove(&link) {
                    log::info!(peer = peer.to_string().as_str(); "control disconnected");
                }
                self.echoes.borrow_mut().remove(&link);
                self.forget_statements(link);
                self.versions.borrow_mut().remove(&link);
                self.cold_revisions.borrow_mut().remove(&link);
                if self.leader.get() == Some(link) {
                    self.leader.set(None);
                }
            }
            LinkEvent::Message { link, message } => self.on_message(link, message),
        }
    }

    fn on_message(self: &Rc<Self>, link: LinkId, message: FleetMessage) {
        match message {
            FleetMessage::ControlStatus(status) => self.on_status(link, status),
            FleetMessage::Document(packed) => {
                match packed.unpack() {
                    Ok(document) => self.router.set_document(document),
                    Err(error) => log::error!(step = "unpack"; "{error}"),
                }
                self.send_status(link);
            }
            FleetMessage::DocumentDelta(delta) => {
                self.router.apply_delta(&delta);
                self.send_status(link);
            }
            FleetMessage::EngineChanges(delta) => self.on_engine_changes(link, delta),
            FleetMessage::ExpiredEngines(engines) => {
                let mut directory = self.router.directory.borrow_mut();
                engines.iter().for_each(|engine| directory.forget(engine));
                drop(directory);
                self.router.on_engines_changed();
            }
            FleetMessage::Departures(delta) => self.on_departures(link, &delta),
            FleetMessage::ColdEngines(delta) => self.on_cold_engines(link, &delta),
            FleetMessage::Evacuations(evacuations) => {
                let revision = self.router.set_evacuations(&evacuations);
                self.mesh.send(link, &FleetMessage::EvacuationsConfirmed(revision));
            }
            FleetMessage::Allotments(allotments) => self.on_allotted(allotments),
            FleetMessage::Recall(keeps) => {
                let mut wallet = self.router.wallet.borrow_mut();
                for (tenant, keep) in keeps {
                    wallet.return_excess(&tenant, keep);
                }
                drop(wallet);
                // A request at another router may wait for these tokens.
                self.report();
            }
            FleetMessage::FinalUsageAck => self.final_usage_acknowledged.notify_one(),
            FleetMessage::RelayedFinalUsage(router, spent) => {
                self.on_relayed_usage(link, router, spent)
            }
            FleetMessage::Borrow { token, tenant, amount, wait } => {
                self.lend(link, token, tenant, amount, wait);
            }
            FleetMessage::BorrowReply { token, answer } => {
                self.on_borrow_reply(link, token, answer);
            }
            FleetMessage::SettleLoan { token, used } => self.on_loan_settled(link, token, used),
            FleetMessage::SilentEngines { version, engines } => {
                self.update_versions(link, |versions| versions.silent = version);
                self.on_silent_engines(link, engines);
            }
            FleetMessage::SilentChanges(delta) => self.on_silent_changes(link, &delta),
            FleetMessage::EngineListDigest(digest) => self.on_engine_list_digest(link, digest),
            FleetMessage::Quarantined(notice) => {
                let now = self.router.now();
                if self.router.crash_tracker.borrow_mut().on_notice(now, notice) {
                    self.report_crashes();
                }
            }
            FleetMessage::Forecasts(forecasts) => *self.router.forecasts.borrow_mut() = forecasts,
            FleetMessage::Routers { version, all, peers } => {
                self.update_versions(link, |versions| versions.routers = version);
                self.on_routers(link, &all);
                self.exchange.set_peers(&peers);
                *self.peers.borrow_mut() = peers;
            }
            FleetMessage::Raft(_)
            | FleetMessage::Engines(_)
            | FleetMessage::KeepAlive
            | FleetMessage::RouterStatus(_)
            | FleetMessage::CrashReport(_)
            | FleetMessage::DepartureNotices(_)
            | FleetMessage::EvacuationsConfirmed(_)
            | FleetMessage::ColdNotices(_)
            | FleetMessage::ColdEnginesConfirmed(_)
            | FleetMessage::EngineListWanted(_)
            | FleetMessage::DepartureProgress(_)
            | FleetMessage::QuiescenceQuery { .. }
            | FleetMessage::QuiescenceReply { .. }
            | FleetMessage::RouterStopped(_)
            | FleetMessage::EngineReads(_)
            | FleetMessage::RouterRoll(_)
            | FleetMessage::FinalUsage(_) => {}
        }
    }

    fn on_status(&self, link: LinkId, status: ControlStatus) {
        for address in &status.control_peers {
            self.mesh.dial(*address);
        }
        let received_at = machine_time(&self.router.clock);
        self.echoes.borrow_mut().insert(link, ClockEcho { received_at, sent_at: status.clock });
        let routers = u64::from(status.routers);
        self.router.retry_budget.borrow_mut().set_routers(routers);
        if status.is_leader {
            let leader_is_new = self.leader.replace(Some(link)) != Some(link);
            self.leader_contact.set(Some(received_at));
            self.router.on_leader_contact(status.document_version, status.departures);
            if leader_is_new {
                self.send_departure_progress(link);
                self.reported.borrow_mut().clear();
                self.report();
                self.router.crash_tracker.borrow_mut().on_new_leader(self.router.now());
                self.report_crashes();
            }
        } else if self.leader.get() == Some(link) {
            self.leader.set(None);
        }
        self.on_statement(link, status.clock);
    }

    fn on_allotted(&self, allotments: Vec<(TenantName, Allotment)>) {
        let mut wallet = self.router.wallet.borrow_mut();
        let mut grown = false;
        for (tenant, allotment) in allotments {
            grown |= wallet.on_allotted(&tenant, &allotment);
        }
        drop(wallet);
        if grown {
            self.router.wallet_refilled.notify_waiters();
        }
    }

    /// Reports changes to the leader, and sends heartbeats to the other processes.
    fn report(&self) {
        let heartbeat_due = self.heartbeat_sent_at.get().elapsed() >= HEARTBEAT_INTERVAL;
        let leader = self.leader.get();
        if heartbeat_due {
            self.heartbeat_sent_at.set(Instant::now());
            let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
            links.into_iter().filter(|link| Some(*link) != leader).for_each(|link| {
                self.send_status(link);
            });
            let peers: Vec<LinkId> = self.peer_links.borrow().keys().copied().collect();
            self.mesh.send_all(peers, &FleetMessage::KeepAlive);
        }
        let Some(leader) = leader.filter(|_| !self.stopped.get()) else {
            return;
        };
        let complete = self.fully_reported_at.get().elapsed() >= FULL_REPORT_INTERVAL;
        let complete = complete && self.router.wallet.borrow().has_accounts();
        let accounts = self.changed_accounts(complete);
        if complete || !accounts.is_empty() || heartbeat_due {
            let contact = self.leader_contact.get().filter(|_| complete);
            let status = RouterStatus { accounts, contact, ..self.status(leader) };
            self.mesh.send(leader, &FleetMessage::RouterStatus(status));
        }
    }

    /// Reports to the leader under which requests engines crashed. Without a leader the report is
    /// kept for the next one; meanwhile it is sent to the other routers, each of which would
    /// otherwise have to lose engines of its own.
    fn report_crashes(&self) {
        if !self.router.is_connected_to_leader() {
            let now = self.router.now();
            let sightings = self.router.crash_tracker.borrow_mut().take_peer_sightings(now);
            self.exchange.broadcast_engine_crashes(&sightings);
        }
        let Some(leader) = self.leader.get() else {
            return;
        };
        let report = self.router.crash_tracker.borrow_mut().take_report(self.router.now());
        if let Some(report) = report {
            self.mesh.send(leader, &FleetMessage::CrashReport(report));
        }
    }

    fn changed_accounts(&self, complete: bool) -> Vec<(TenantName, AccountReport)> {
        let (now, holds) = (self.router.now(), |tenant: &_| self.router.holds_account(tenant));
        let all = self.router.wallet.borrow_mut().report_of_holder(now, holds);
        let mut reported = self.reported.borrow_mut();
        if complete {
            self.fully_reported_at.set(Instant::now());
            reported.clear();
        }
        all.into_iter()
            .filter(|(tenant, report)| {
                reported.insert(tenant.clone(), *report).as_ref() != Some(report)
            })
            .collect()
    }

    fn update_versions(&self, link: LinkId, change: impl FnOnce(&mut RouterVersions)) {
        change(self.versions.borrow_mut().entry(link).or_default());
    }

    fn send_status(&self, link: LinkId) {
        self.mesh.send(link, &FleetMessage::RouterStatus(self.status(link)));
    }

    fn status(&self, link: LinkId) -> RouterStatus {
        RouterStatus {
            versions: RouterVersions {
                document: self.router.document_version(),
                departures: self.router.departures_revision(),
                ..self.versions.borrow().get(&link).copied().unwrap_or_default()
            },
            accepts_unconfirmed: self.router.accepts_unconfirmed()
                && !self.router.is_connected_to_leader(),
            started: self.started,
            echo: self.echoes.borrow().get(&link).copied(),
            contact: None,
            accounts: Vec::new(),
        }
    }

    fn evict_old(&self) {
        let mut directory = self.router.directory.borrow_mut();
        directory.remove_expired(self.router.now());
        self.router.picker.borrow_mut().remove_unknown(self.router.now(), &directory);
        self.router.leave_hints.borrow_mut().remove_unknown(&directory);
        self.router.pool.evict_idle(&directory);
        self.router.permits.remove_expired(self.router.now(), &directory);
        self.router.response_times.borrow_mut().remove_expired(self.router.now());
        self.router.shedding.borrow_mut().remove_expired(self.router.now());
        self.router.admission.borrow_mut().remove_expired(self.router.now());
    }
}
