//! What a router knows, shared by all its requests.

use crate::congestion::Congestion;
use crate::connection_pool::ConnectionPool;
use crate::decision_log;
use crate::header_codec::{EngineDirectives, HeaderCodec};
use crate::liveness_probe::LivenessProbes;
use crate::loans::LoanHandle;
use crate::metrics::RouterMetrics;
use crate::permits::PermitPool;
use stackpost_clock::{BootInstant, MachineClock};
use stackpost_coordinator::{Document, DocumentCodec, DocumentDelta};
use stackpost_gateway_core::{
    AccountOwners, CrashTracker, DepartureDelta, EngineDirectory, EnginePicker, EngineState,
    LoadShedder, Placement, RetryBudget, RetryLimits, RouteTable, ServiceAvailability,
};
use stackpost_prepaid::{BudgetForecast, Wallet};
use stackpost_telemetry::{LineLimit, Meter};
use stackpost_types::{BackEndName, Millis, ServiceName, TenantName, Timestamp, Tokens, ZoneName};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Silence of the leader after which a router counts itself out of touch.
const TOUCH_LIMIT: Millis = Millis(750);
/// A router that has met no leader for so long takes a configuration that none has confirmed.
const UNCONFIRMED_AFTER: Millis = Millis(1_500);
/// A router that has been out of touch for so long since its start takes callers all the same.
const ALONE_AFTER: Duration = Duration::from_secs(8);
/// A stopping router takes requests for so long.
const LAST_REQUESTS: Duration = Duration::from_millis(2_900);
/// Routers assumed while control has not told their number.
const ROUTERS_ASSUMED: u64 = 8;

/// How a router is run.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The zone it stands in.
    pub zone: ZoneName,
    /// The fleet's bound on further sends.
    pub retry_limits: RetryLimits,
    /// Where it reads the time.
    pub clock: MachineClock,
}

/// A router: its decisions and what they rest on. Belongs to one thread.
pub struct Router {
    pub(crate) header_codec: Box<dyn HeaderCodec>,
    pub(crate) codec: Arc<dyn DocumentCodec>,
    pub(crate) metrics: RouterMetrics,
    pub(crate) clock: MachineClock,
    pub(crate) pool: ConnectionPool,
    pub(crate) liveness_probes: LivenessProbes,
    pub(crate) directory: RefCell<EngineDirectory>,
    pub(crate) picker: RefCell<EnginePicker>,
    pub(crate) wallet: RefCell<Wallet>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Requests under which engines have ended.
    pub(crate) crash_tracker: RefCell<CrashTracker>,
    /// Rung when control should hear of such a request.
    pub(crate) crash_report_due: Notify,
    /// Budgets that are going to run out, by the leader's word.
    pub(crate) forecasts: RefCell<BTreeMap<TenantName, BudgetForecast>>,
    pub(crate) loan_handle: LoanHandle,
    /// Which routers keep the accounts of tenants.
    pub(crate) account_owners: RefCell<AccountOwners>,
    /// Rung when the wallet has grown.
    pub(crate) wallet_refilled: Notify,
    /// Rung when a request does not fit the wallet.
    pub(crate) wallet_insufficient: Notify,
    /// Rung when other routers should hear at once what was sent to an engine.
    pub(crate) load_changed: Notify,
    /// Tokens to be read at one engine from which on that is so.
    pub(crate) urgent_update_tokens: Cell<Tokens>,
    /// Permits to send requests to engines, own ones and borrowed ones.
    pub(crate) permits: PermitPool,
    /// Who is let in while engines take less than is asked.
    pub(crate) shedding: RefCell<LoadShedder>,
    refused_wishes: LineLimit,
    document: RefCell<Option<Document>>,
    /// Revision of the engines' departures that this router has been told of whole.
    departures_known: Cell<u64>,
    table: RefCell<Option<Rc<RouteTable>>>,
    confirmed: Cell<bool>,
    leader_heard_at: Cell<Option<Timestamp>>,
    draining_since: Cell<Option<BootInstant>>,
    pub(crate) congestion: Congestion,
    started: BootInstant,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(
        settings: RouterSettings,
        header_codec: Box<dyn HeaderCodec>,
        codec: Arc<dyn DocumentCodec>,
        meter: &Meter,
    ) -> Rc<Self> {
        Rc::new(Self {
            header_codec,
            codec,
            metrics: RouterMetrics::new(meter),
            pool: ConnectionPool::new(settings.clock.clone()),
            liveness_probes: LivenessProbes::default(),
            directory: RefCell::new(EngineDirectory::follower()),
            picker: RefCell::new(EnginePicker::new(settings.zone)),
            wallet: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_limits, ROUTERS_ASSUMED)),
            crash_tracker: RefCell::default(),
            crash_report_due: Notify::new(),
            forecasts: RefCell::default(),
            loan_handle: LoanHandle::default(),
            account_owners: RefCell::default(),
            wallet_refilled: Notify::new(),
            wallet_insufficient: Notify::new(),
            load_changed: Notify::new(),
            urgent_update_tokens: Cell::new(Tokens(u64::MAX)),
            permits: PermitPool::default(),
            shedding: RefCell::default(),
            refused_wishes: LineLimit::default(),
            document: RefCell::default(),
            departures_known: Cell::new(0),
            table: RefCell::default(),
            confirmed: Cell::new(false),
            leader_heard_at: Cell::new(None),
            draining_since: Cell::new(None),
            congestion: Congestion::default(),
            started: settings.clock.now(),
            clock: settings.clock,
        })
    }

    /// The router's clock, which goes on while the machine is suspended.
    pub fn now(&self) -> Timestamp {
        Timestamp::PROCESS_START + Millis(self.clock.since(self.started).as_millis() as u64)
    }

    /// Whether the platform should send callers here.
    pub fn is_ready(&self) -> bool {
        let can_serve = self.table().is_some() && self.ready_engine_count() > 0 && self.can_pay();
        can_serve && !self.is_draining() && !self.congestion.is_congested(Instant::now())
    }

    /// A router that was started out of touch has nothing to spend; callers are better served by
    /// others, unless it goes on for so long that there may be none.
    fn can_pay(&self) -> bool {
        self.confirmed.get() || self.clock.since(self.started) > ALONE_AFTER
    }

    /// Engines that take work, as far as this router knows.
    pub fn ready_engine_count(&self) -> usize {
        let directory = self.directory.borrow();
        directory.iter().filter(|record| record.notice.state == EngineState::Ready).count()
    }

    /// Requests that this router has at engines now.
    pub fn in_flight_requests(&self) -> u64 {
        let picker = self.picker.borrow();
        let directory = self.directory.borrow();
        directory.iter().map(|record| picker.in_flight(&record.notice.engine)).sum()
    }

    /// Version of the configuration that is held; zero if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.document_version()
    }

    /// Whether a request may draw on its tenant's budget, as far as the end of it is kept for cheaper ones.
    pub(crate) fn may_reserve(&self, tenant: &TenantName, amount: Tokens) -> bool {
        let availability = self.forecasts.borrow().get(tenant).copied();
        self.wallet.borrow_mut().admits(tenant, amount, availability)
    }

    /// Routers to ask for tokens of a tenant before this one draws on its own wallet; none if it keeps its zone's
    /// account.
    pub(crate) fn token_lenders(&self, tenant: &TenantName) -> Vec<SocketAddr> {
        let mut lenders = self.account_owners.borrow().lenders_in_zone(self.now(), tenant);
        if !lenders.is_empty() && !self.in_touch() {
            lenders.extend(self.remote_token_lenders(tenant));
        }
        lenders
    }

    /// Routers of other zones that keep an account of a tenant.
    pub(crate) fn remote_token_lenders(&self, tenant: &TenantName) -> Vec<SocketAddr> {
        self.account_owners.borrow().lenders_in_other_zones(self.now(), tenant)
    }

    /// Gives back what is held of budgets whose accounts other routers keep. Out of touch nobody else could use it.
    pub(crate) fn release_unowned_tokens(&self) {
        if self.in_touch() {
            let (now, owners) = (self.now(), self.account_owners.borrow());
            self.wallet.borrow_mut().return_unneeded(|tenant| owners.is_owner(now, tenant));
        }
    }

    /// Notes that a request is about to be sent to an engine.
    pub fn on_placed(&self, engine: &BackEndName, placement: Option<&Placement>) {
        let mut picker = self.picker.borrow_mut();
        picker.on_start(self.now(), engine, placement);
        if self.permits.is_rate_limited(engine) {
            self.metrics.on_sent_to_rate_limited();
        }
        if picker.unreported(engine) >= self.urgent_update_tokens.get() {
            self.load_changed.notify_one();
        }
    }

    /// Takes in what an engine asked for in its answer to a request. A wish holds for all requests of this router
    /// and every way on which they reach the engine: known of one attempt only, it was broken by the next one. A rate
    /// holds for all routers together, so it goes where it is spent in one place.
    pub(crate) fn on_directives(
        &self,
        request: &str,
        engine: &BackEndName,
        sent_at: Timestamp,
        wishes: &EngineDirectives,
    ) {
        let now = self.now();
        if let Some(change) = self.permits.learn(now, engine, sent_at, wishes.rate) {
            decision_log::rate_changed(self, Some(request), engine, now.since(sent_at), change);
            self.notify_rate_owner(engine);
        }
        if let Some(backoff) = wishes.backoff {
            let change = self.picker.borrow_mut().on_backoff(now, engine, backoff);
            self.metrics.on_backoff(change);
            if let Some(record) = self.directory.borrow().get(engine) {
                self.permits.on_backoff(now, &record.notice.service);
            }
            if change.begins {
                decision_log::backoff_started(self, request, engine, backoff);
            }
        }
        if wishes.leaving && self.picker.borrow_mut().on_leaving(engine) {
            log::info!(request = request, engine = engine.as_str(); "engine leaves by its own answer");
        }
        for header in &wishes.malformed {
            self.metrics.on_malformed_header(header);
            if let Some(held_back) = self.refused_wishes.pass(Instant::now()) {
                let engine = engine.as_str();
                log::warn!(engine = engine, header = header, held_back = held_back; "wish refused");
            }
        }
    }

    /// Whether a request that was chosen for an engine may be sent to it now.
    pub(crate) fn may_send(&self, engine: &BackEndName) -> bool {
        self.picker.borrow().may_send(self.now(), &self.directory.borrow(), engine)
    }

    /// What a request for a service can expect.
    pub(crate) fn availability(&self, service: &ServiceName) -> ServiceAvailability {
        self.picker.borrow().availability(self.now(), &self.directory.borrow(), service)
    }

    /// Tokens that an engine has to read, as far as this router knows.
    pub fn to_read(&self, engine: &BackEndName) -> Tokens {
        self.picker.borrow().to_read(self.now(), engine)
    }

    /// Begins a planned stop.
    pub fn begin_drain(&self) {
        self.draining_since.set(Some(self.clock.now()));
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Whether a planned stop has gone so far that a stream which begins now might be cut off. The
    /// platform has had time to notice; a caller that still comes is better served elsewhere.
    pub(crate) fn rejects_new_requests(&self) -> bool {
        self.draining_since.get().is_some_and(|since| self.clock.since(since) >= LAST_REQUESTS)
    }

    /// Whether the leader was heard so lately that what it has not said is not so.
    pub fn in_touch(&self) -> bool {
        let now = self.now();
        self.leader_heard_at.get().is_some_and(|at| now.since(at) < TOUCH_LIMIT)
    }

    /// The configuration, once it may be used.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        let usable = self.confirmed.get() || self.accepts_unconfirmed();
        self.table.borrow().clone().filter(|_| usable)
    }

    /// Version of the configuration that is held, usable or not; zero if there is none.
    pub(crate) fn document_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.config().version)
    }

    /// An earlier life of this process may have known a newer configuration, so a restarted
    /// router waits for a leader, but not for ever.
    pub(crate) fn accepts_unconfirmed(&self) -> bool {
        self.confirmed.get()
            || self.clock.since(self.started).as_millis() as u64 > UNCONFIRMED_AFTER.0
                && self.leader_heard_at.get().is_none()
    }

    /// Takes in a configuration; one that is older than the one held is passed over.
    pub(crate) fn set_document(&self, document: Document) {
        if document.version <= self.document_version() {
            return;
        }
        match self.codec.decode(&document.bytes) {
            Ok(config) => {
                log::info!(version = document.version; "configuration taken in");
                *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
                *self.document.borrow_mut() = Some(document);
            }
            Err(error) => log::error!(step = "decode"; "{error}"),
        }
    }

    /// Takes in a configuration as the difference to the one held. One that does not fit is passed
    /// over; the whole one follows when this router does not confirm it.
    pub(crate) fn apply_delta(&self, delta: &DocumentDelta) {
        let document = self.document.borrow().as_ref().and_then(|base| delta.apply(base));
        if let Some(document) = document {
            self.set_document(document);
        }
    }

    /// Revision of the engines' departures that this router has been told of whole; zero if none.
    pub(crate) fn departures_known(&self) -> u64 {
        self.departures_known.get()
    }

    /// Takes in which departures have been told. What does not build on what is known leaves a gap, and is told again.
    pub(crate) fn on_departures_received(&self, news: &DepartureDelta) {
        let known = self.departures_known.get();
        if news.base <= known {
            self.departures_known.set(known.max(news.revision));
        }
    }

    /// Takes in that the leader has spoken, which configuration is in force and which departures are written down.
    pub(crate) fn on_leader_contact(&self, document_version: u64, departures: u64) {
        if !self.in_touch() {
            log::info!(version = document_version; "in touch with the leader");
        }
        self.leader_heard_at.set(Some(self.now()));
        self.wallet.borrow_mut().on_contact(self.now());
        let knows_departures = self.departures_known.get() >= departures;
        let knows_document = document_version > 0 && self.document_version() >= document_version;
        if knows_document && knows_departures {
            self.confirmed.set(true);
        }
    }
}
