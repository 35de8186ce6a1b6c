//! The state of a router, shared by all its requests.

use crate::abandoned_request::ObservedConnections;
use crate::bounded_bodies::BoundedBodies;
use crate::byte_channel::CallerBuffers;
use crate::congestion::Congestion;
use crate::connection_pool::ConnectionPool;
use crate::decision_log;
use crate::engine_dialer::EngineDialer;
use crate::engine_knowledge::EngineKnowledge;
use crate::engine_paths::RelayedConnections;
use crate::header_codec::{EngineDirectives, HeaderCodec};
use crate::liveness_probe::LivenessProbes;
use crate::load_settings::LoadSettings;
use crate::loans::LoanHandle;
use crate::metrics::RouterMetrics;
use crate::permits::PermitPool;
use crate::planned_stop::PlannedStop;
use crate::pressure_control::PressureControl;
use crate::stalls::Stalls;
use crate::stream_records::StreamRecords;
use stackpost_clock::{BootInstant, MachineClock};
use stackpost_coordinator::{Document, DocumentCodec, DocumentDelta};
use stackpost_gateway_core::{
    AccountHolders, AccountOwners, AdmissionOrder, BodyLimits, BufferLimits, CrashTracker,
    DepartureDelta, EngineDirectory, EnginePicker, EngineReachability, EngineTraffic, Evacuations,
    LeaveHints, LoadShedder, Placement, RankedRouters, RelayRouters, ResponseTimes, RetryBudget,
    RetryLimits, RouteTable, ServiceAvailability, StreamBuffers,
};
use stackpost_prepaid::{BudgetForecast, Wallet};
use stackpost_telemetry::{LineLimit, Meter};
use stackpost_types::{BackEndName, Millis, ServiceName, TenantName, Timestamp, Tokens, ZoneName};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Silence of the leader after which a router counts as disconnected from it.
const LEADER_CONTACT_TIMEOUT: Millis = Millis(750);
/// Time without any leader contact after which a router uses a configuration that no leader has
/// confirmed.
const UNCONFIRMED_CONFIG_AFTER: Millis = Millis(1_500);
/// Time after its start at which a router that is still disconnected from the leader accepts
/// callers anyway.
const SERVE_DISCONNECTED_AFTER: Duration = Duration::from_secs(8);
/// Number of routers assumed until a control process has reported it.
const DEFAULT_ROUTERS: u64 = 8;

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The zone of the router.
    pub zone: ZoneName,
    /// The fleet's limits on retries.
    pub retry_limits: RetryLimits,
    /// The clock.
    pub clock: MachineClock,
    /// Opens the connections to engines.
    pub dialer: Rc<dyn EngineDialer>,
    /// Address from which connections to other processes are opened; `None` leaves it to the system.
    pub source: Option<IpAddr>,
    /// How the router behaves under load.
    pub load: LoadSettings,
}

/// A router's state and decisions. Belongs to one thread.
pub struct Router {
    pub(crate) header_codec: Box<dyn HeaderCodec>,
    pub(crate) codec: Arc<dyn DocumentCodec>,
    pub(crate) metrics: RouterMetrics,
    pub(crate) clock: MachineClock,
    pub(crate) source: Option<IpAddr>,
    pub(crate) pool: ConnectionPool,
    pub(crate) liveness_probes: LivenessProbes,
    pub(crate) reachability: RefCell<EngineReachability>,
    /// Whether the probes of an isolated router run.
    pub(crate) is_probing: Cell<bool>,
    /// The other routers, as relays of connections to engines.
    pub(crate) relay_routers: RefCell<RelayRouters>,
    /// Connections that this router relays for others.
    pub(crate) relayed: RelayedConnections,
    pub(crate) directory: RefCell<EngineDirectory>,
    pub(crate) picker: RefCell<EnginePicker>,
    pub(crate) wallet: RefCell<Wallet>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Requests under which engines have crashed.
    pub(crate) crash_tracker: RefCell<CrashTracker>,
    /// Notified when a crash report should be sent to the leader.
    pub(crate) crash_report_due: Notify,
    /// Budgets that are going to be exhausted, as forecast by the leader.
    pub(crate) forecasts: RefCell<BTreeMap<TenantName, BudgetForecast>>,
    pub(crate) loan_handle: LoanHandle,
    /// The routers that own the accounts of tenants.
    pub(crate) account_owners: RefCell<AccountOwners>,
    /// The accounts of tenants that this router holds by demand.
    pub(crate) account_holders: RefCell<AccountHolders>,
    /// Notified when the wallet has grown.
    pub(crate) wallet_refilled: Notify,
    /// Notified when the wallet does not cover a request.
    pub(crate) wallet_insufficient: Notify,
    /// Notified when an update of this router's load should be sent to the other routers at once.
    pub(crate) load_changed: Notify,
    /// Unreported prompt tokens at one engine from which an update is sent at once.
    pub(crate) urgent_update_tokens: Cell<Tokens>,
    /// Permits to send requests to engines, own and borrowed.
    pub(crate) permits: PermitPool,
    /// Sheds requests while the engines' rate limits are below the demand.
    pub(crate) shedding: RefCell<LoadShedder>,
    /// Orders requests while engines are short of capacity; takes the place of `shedding` if it is
    /// switched on.
    pub(crate) admission: RefCell<AdmissionOrder>,
    /// The running routers, ranked for any subject.
    pub(crate) ranked_routers: RefCell<RankedRouters>,
    /// The software versions that began streams.
    pub(crate) stream_records: StreamRecords,
    /// Bytes held for callers that have not taken them yet.
    pub(crate) caller_buffers: CallerBuffers,
    /// The bodies of callers' requests.
    pub(crate) bodies: Rc<BoundedBodies>,
    malformed_header_lines: LineLimit,
    document: RefCell<Option<Document>>,
    /// The departure records of engines are known completely up to this revision.
    departures_revision: Cell<u64>,
    /// Connections of requests that were given up.
    pub(crate) observed_connections: ObservedConnections,
    pub(crate) leave_hints: RefCell<LeaveHints>,
    pub(crate) stalls: Stalls,
    /// The newest known revision of the evacuated zones.
    evacuations_revision: Cell<u64>,
    table: RefCell<Option<Rc<RouteTable>>>,
    confirmed: Cell<bool>,
    leader_contact_at: Cell<Option<Timestamp>>,
    /// When the leader was heard again, until this router has all that the leader states.
    outdated_since: Cell<Option<Timestamp>>,
    pub(crate) engine_knowledge: EngineKnowledge,
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    /// How long the requests of each route took.
    pub(crate) response_times: RefCell<ResponseTimes>,
    /// Whether no further request is sent to any engine.
    pub(crate) has_stopped: Cell<bool>,
    pub(crate) congestion: Congestion,
    /// The pressure on this router's machine.
    pub(crate) pressure_control: PressureControl,
    load_settings: LoadSettings,
    started: BootInstant,
}

impl Router {
    /// Creates a router without configuration, engines or budgets.
    pub fn new(
        settings: RouterSettings,
        header_codec: Box<dyn HeaderCodec>,
        codec: Arc<dyn DocumentCodec>,
        meter: &Meter,
    ) -> Rc<Self> {
        let buffer_limits = BufferLimits::of_machine(settings.load.machine.memory_mb);
        let pressure_control = PressureControl::new(&settings.load);
        let link_meter = pressure_control.meter.clone();
        Rc::new(Self {
            header_codec,
            codec,
            source: settings.source,
            metrics: RouterMetrics::new(meter),
            pool: ConnectionPool::new(settings.clock.clone(), settings.dialer, link_meter),
            liveness_probes: LivenessProbes::default(),
            reachability: RefCell::default(),
            is_probing: Cell::new(false),
            relay_routers: RefCell::default(),
            relayed: RelayedConnections::default(),
            directory: RefCell::new(EngineDirectory::follower()),
            picker: RefCell::new(match settings.load.engine_model {
                true => EnginePicker::with_engine_model(settings.zone),
                false => EnginePicker::new(settings.zone),
            }),
            wallet: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_limits, DEFAULT_ROUTERS)),
            crash_tracker: RefCell::default(),
            crash_report_due: Notify::new(),
            forecasts: RefCell::default(),
            loan_handle: LoanHandle::default(),
            account_owners: RefCell::default(),
            account_holders: RefCell::default(),
            wallet_refilled: Notify::new(),
            wallet_insufficient: Notify::new(),
            load_changed: Notify::new(),
            urgent_update_tokens: Cell::new(Tokens(u64::MAX)),
            permits: PermitPool::default(),
            shedding: RefCell::default(),
            admission: RefCell::default(),
            ranked_routers: RefCell::default(),
            stream_records: StreamRecords::default(),
            caller_buffers: CallerBuffers::new(StreamBuffers::new(buffer_limits)),
            bodies: BoundedBodies::new(BodyLimits::of_machine(settings.load.machine.memory_mb)),
            malformed_header_lines: LineLimit::default(),
            document: RefCell::default(),
            departures_revision: Cell::new(0),
            observed_connections: ObservedConnections::default(),
            leave_hints: RefCell::default(),
            stalls: Stalls::default(),
            evacuations_revision: Cell::new(0),
            table: RefCell::default(),
            confirmed: Cell::new(false),
            leader_contact_at: Cell::new(None),
            outdated_since: Cell::new(None),
            engine_knowledge: EngineKnowledge::default(),
            planned_stop: Cell::new(None),
            response_times: RefCell::default(),
            has_stopped: Cell::new(false),
            congestion: Congestion::default(),
            pressure_control,
            load_settings: settings.load,
            started: settings.clock.now(),
            clock: settings.clock,
        })
    }

    /// Time of the router's clock, which includes time in which the machine is suspended.
    pub fn now(&self) -> Timestamp {
        Timestamp::PROCESS_START + Millis(self.clock.since(self.started).as_millis() as u64)
    }

    /// How this router behaves under load.
    pub fn load_settings(&self) -> &LoadSettings {
        &self.load_settings
    }

    /// Whether this machine is so loaded that delays are its own.
    pub(crate) fn is_crowded(&self) -> bool {
        self.congestion.is_congested(Instant::now())
    }

    /// Whether the platform should send callers here.
    pub fn is_ready(&self) -> bool {
        let can_serve = self.table().is_some()
            && self.ready_engine_count() > 0
            && self.is_confirmed_or_isolated();
        can_serve && !self.is_draining() && !self.is_saturated()
    }

    /// A router that was started while disconnected from the leader has no tokens to spend; callers
    /// are better served by others, unless the disconnection lasts so long that there may be none.
    fn is_confirmed_or_isolated(&self) -> bool {
        self.confirmed.get() || self.clock.since(self.started) > SERVE_DISCONNECTED_AFTER
    }

    /// Number of engines that accept requests, as far as this router knows.
    pub fn ready_engine_count(&self) -> usize {
        let directory = self.directory.borrow();
        directory.in_service().count()
    }

    /// Number of requests and parts of prompts that the control processes report as quarantined.
    pub fn quarantined_suspects(&self) -> usize {
        self.crash_tracker.borrow().quarantined()
    }

    /// Number of this router's requests in flight at engines.
    pub fn in_flight_requests(&self) -> u64 {
        let picker = self.picker.borrow();
        let directory = self.directory.borrow();
        directory.iter().map(|record| picker.in_flight(&record.notice.engine)).sum()
    }

    /// Version of the configuration; zero if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.document_version()
    }

    /// Records that a request is about to be sent to an engine.
    pub fn on_placed(&self, engine: &BackEndName, placement: Option<&Placement>) {
        let mut picker = self.picker.borrow_mut();
        picker.on_sent(self.now(), engine, placement);
        if self.permits.is_rate_limited(engine) {
            self.metrics.on_sent_to_rate_limited();
        }
        if picker.unreported(engine) >= self.urgent_update_tokens.get() {
            self.load_changed.notify_one();
        }
    }

    /// Applies the directives in an engine's response to a request. A backoff holds for all
    /// requests of this router and every path on which they reach the engine: applied to a single
    /// attempt, it would be violated by the next one. A rate limit holds for all routers together,
    /// so it is sent to the router that owns it.
    pub(crate) fn on_directives(
        &self,
        request: &str,
        engine: &BackEndName,
        sent_at: Timestamp,
        directives: &EngineDirectives,
    ) {
        let now = self.now();
        if let Some(change) = self.permits.learn(now, engine, sent_at, directives.rate) {
            decision_log::rate_changed(self, Some(request), engine, now.since(sent_at), change);
            self.notify_rate_owner(engine);
        }
        if let Some(backoff) = directives.backoff {
            let change = self.picker.borrow_mut().on_backoff(now, engine, backoff);
            self.metrics.on_backoff(change);
            if let Some(record) = self.directory.borrow().get(engine) {
                self.permits.on_backoff(now, &record.notice.service);
            }
            if change.begins {
                decision_log::backoff_started(self, request, engine, backoff);
            }
        }
        if directives.brittle.is_some()
            && let Some(record) = self.directory.borrow().get(engine)
        {
            self.permits.on_brittle(now, &record.notice.service);
        }
        if directives.leaving && self.picker.borrow_mut().on_leaving(engine) {
            log::info!(request = request, engine = engine.as_str(); "engine leaves by its own answer");
        }
        for header in &directives.malformed {
            self.metrics.on_malformed_header(header);
            if let Some(held_back) = self.malformed_header_lines.pass(Instant::now()) {
                let engine = engine.as_str();
                log::warn!(engine = engine, header = header, held_back = held_back; "wish refused");
            }
        }
    }

    /// Sends no further request to any engine: control is told that this router has stopped.
    pub(crate) fn stop_sending(&self) {
        self.has_stopped.set(true);
    }

    /// Whether a request may still be sent to the engine that was selected for it.
    pub(crate) fn may_send(&self, engine: &BackEndName) -> bool {
        !self.has_stopped.get()
            && self.picker.borrow().may_send(self.now(), &self.directory.borrow(), engine)
    }

    /// What this router knows of its requests at a departing engine.
    pub(crate) fn traffic(&self, engine: &BackEndName) -> EngineTraffic {
        let (directory, picker) = (self.directory.borrow(), self.picker.borrow());
        if directory.departing_incarnations(engine).any(|one| directory.is_in_service(one)) {
            return EngineTraffic::Ongoing;
        }
        let incarnations = directory.departing_incarnations(engine).map(|one| &one.notice.engine);
        let newest = incarnations
            .chain([engine])
            .filter_map(|engine| picker.unread(engine)?.newest(self.now()))
            .max();
        newest.map_or(EngineTraffic::AllRead, EngineTraffic::UnreadSince)
    }

    /// Whether an engine's latest response was one of an engine that leaves.
    pub(crate) fn may_be_leaving(&self, engine: &BackEndName) -> bool {
        self.leave_hints.borrow().may_leave(self.now(), engine)
    }

    /// Availability of a service's engines.
    pub(crate) fn availability(&self, service: &ServiceName) -> ServiceAvailability {
        self.picker.borrow().availability(self.now(), &self.directory.borrow(), service)
    }

    /// Number of engines of a service from which something was received within the last `time`.
    pub(crate) fn engines_heard_within(&self, service: &ServiceName, time: Millis) -> usize {
        let since = Timestamp(self.now().0.saturating_sub(time.0));
        self.picker.borrow().heard_since(&self.directory.borrow(), service, since)
    }

    /// How long an engine has been silent towards this router.
    pub(crate) fn silence_of(&self, engine: &BackEndName) -> Millis {
        self.picker.borrow().silence(engine).silent_for(self.now())
    }

    /// Engines of a service that have been silent towards this router for `limit` or longer.
    pub(crate) fn silent_engines(&self, service: &ServiceName, limit: Millis) -> Vec<BackEndName> {
        self.picker.borrow().silent_engines(self.now(), &self.directory.borrow(), service, limit)
    }

    /// Prompt tokens that an engine has still to prefill, as far as this router knows.
    pub fn pending_prefill(&self, engine: &BackEndName) -> Tokens {
        self.picker.borrow().pending_prefill(self.now(), engine)
    }

    /// Mean number of other routers' plain requests in flight at an engine, by their reports.
    pub fn reported_plain_in_flight(&self, engine: &BackEndName) -> f64 {
        self.picker.borrow().reported_plain_in_flight(engine)
    }

    /// Whether the last contact with the leader is recent enough that its latest state can be taken
    /// as current.
    pub fn is_connected_to_leader(&self) -> bool {
        let now = self.now();
        self.leader_contact_at.get().is_some_and(|at| now.since(at) < LEADER_CONTACT_TIMEOUT)
    }

    /// The routing table, once it may be used.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        let usable = self.confirmed.get() || self.accepts_unconfirmed();
        self.table.borrow().clone().filter(|_| usable)
    }

    /// Version of the configuration, whether it may be used or not; zero if there is none.
    pub(crate) fn document_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.config().version)
    }

    /// Whether an unconfirmed configuration may be used. An earlier incarnation may have known a
    /// newer configuration, so a restarted router waits for a leader, but not indefinitely.
    pub(crate) fn accepts_unconfirmed(&self) -> bool {
        self.confirmed.get()
            || self.clock.since(self.started).as_millis() as u64 > UNCONFIRMED_CONFIG_AFTER.0
                && self.leader_contact_at.get().is_none()
    }

    /// Applies a configuration; one that is not newer than the current one is ignored.
    pub(crate) fn set_document(&self, document: Document) {
        if document.version <= self.document_version() {
            return;
        }
        match self.codec.decode(&document.bytes) {
            Ok(config) => {
                log::info!(version = document.version; "configuration applied");
                self.permits.set_cold_rates(config.cold_rates());
                *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
                *self.document.borrow_mut() = Some(document);
            }
            Err(error) => log::error!(step = "decode"; "{error}"),
        }
    }

    /// Applies a configuration delta. One that does not fit the current configuration is ignored;
    /// the full configuration is sent when this router does not acknowledge it.
    pub(crate) fn apply_delta(&self, delta: &DocumentDelta) {
        let document = self.document.borrow().as_ref().and_then(|base| delta.apply(base));
        if let Some(document) = document {
            self.set_document(document);
        }
    }

    /// Revision up to which the departure records of engines are known completely; zero if none.
    pub(crate) fn departures_revision(&self) -> u64 {
        self.departures_revision.get()
    }

    /// Records received departure records. A delta that does not build on the known revision leaves
    /// a gap and is sent again.
    pub(crate) fn on_departures_received(&self, delta: &DepartureDelta) {
        let known = self.departures_revision.get();
        if delta.base <= known {
            self.departures_revision.set(known.max(delta.revision));
        }
    }

    /// Applies the evacuated zones unless newer ones are known. Returns the revision in force.
    pub(crate) fn set_evacuations(&self, evacuations: &Evacuations) -> u64 {
        if evacuations.revision() > self.evacuations_revision.get() {
            self.evacuations_revision.set(evacuations.revision());
            let zones: Vec<&str> = evacuations.zones().iter().map(ZoneName::as_str).collect();
            let (zones, revision) = (zones.join(","), evacuations.revision());
            log::info!(zones = zones.as_str(), revision = revision; "evacuated zones");
            self.directory.borrow_mut().set_evacuated_zones(evacuations.zones().clone());
        }
        self.evacuations_revision.get()
    }

    /// Records a contact with the leader, which reports the current configuration version and the
    /// revision of committed departures.
    pub(crate) fn on_leader_contact(&self, document_version: u64, departures: u64) {
        let now = self.now();
        if !self.is_connected_to_leader() {
            let lapsed_ms = self.leader_contact_at.get().map(|at| now.since(at).0);
            log::info!(version = document_version, lapsed_ms = lapsed_ms; "in touch with the leader");
            self.outdated_since.set(Some(now));
        }
        self.leader_contact_at.set(Some(now));
        self.wallet.borrow_mut().on_contact(self.now());
        let has_departures = self.departures_revision.get() >= departures;
        let has_document = document_version > 0 && self.document_version() >= document_version;
        if has_document && has_departures {
            self.confirmed.set(true);
            self.on_state_confirmed();
            if let Some(since) = self.outdated_since.take() {
                log::info!(departures = departures, after_ms = now.since(since).0; "state is current");
            }
        }
    }
}
