//! A small fleet on loopback sockets: one control process, one router, two engines.

mod borrower;
mod cuttable_dialer;
mod engine;
mod flow;
mod lender;
pub mod lines;
mod raw_caller;
mod scripted_engine;
mod test_codecs;

pub use borrower::Borrower;
pub use cuttable_dialer::{Cut, CuttableDialer};
pub use engine::{Behaviour, CrashPoint, Engine, all_events};
pub use flow::FlowState;
pub use lender::{Lender, LenderReply};
pub use raw_caller::{RawCaller, RawResponse};
pub use scripted_engine::{RequestHead, Script, replace_engines};
use test_codecs::{TestDocumentCodec, TestHeaderCodec};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use stackpost_clock::MachineClock;
use stackpost_coordinator::*;
use stackpost_gateway::*;
use stackpost_gateway_core::*;
use stackpost_mesh::{PeerInfo, PeerRole};
use stackpost_telemetry::MetricsRegistry;
use stackpost_types::*;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

pub const PREPAID: u64 = 10_000;
/// Prompt tokens and maximum generated tokens of every generation in the tests.
pub const PROMPT: u64 = 100;
pub const MAX_GENERATED: u64 = 50;
pub const TOKENS_PER_EVENT: u64 = 5;
/// Memory of an engine, in tokens.
pub const ENGINE_MEMORY: u64 = 1_000;
pub const KEY: &str = "ferry-key";
/// Polling interval of conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a condition before the test fails.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// A response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, if it was received completely.
    pub body: Result<String, String>,
}

/// A router on its own machine.
pub struct RouterMachine {
    pub router: Rc<Router>,
    pub link: Rc<FleetLink>,
    pub server: Rc<Server>,
    /// Where it accepts callers.
    pub callers: SocketAddr,
    /// Where it accepts other routers.
    pub address: SocketAddr,
    /// The clock of its machine.
    pub clock: MachineClock,
    metrics: MetricsRegistry,
}

impl RouterMachine {
    /// Starts a router with control at `control`.
    pub async fn start(control: SocketAddr) -> Self {
        Self::start_with(control, Rc::new(TcpDialer::default())).await
    }

    /// Starts a router that dials engines with `dialer`.
    pub async fn start_with(control: SocketAddr, dialer: Rc<dyn EngineDialer>) -> Self {
        Self::start_with_load(control, dialer, LoadSettings::default()).await
    }

    /// Starts a router with these settings of its behaviour under load.
    pub async fn start_with_load(
        control: SocketAddr,
        dialer: Rc<dyn EngineDialer>,
        load: LoadSettings,
    ) -> Self {
        let clock = MachineClock::default();
        let metrics = MetricsRegistry::new().expect("a registry");
        let router = router_with(clock.clone(), dialer, load, &metrics);
        // The next port is that of the relay.
        let address = free_addresses(2);
        let own = peer(PeerRole::Router, &address.to_string(), address);
        let link = FleetLink::start(own, router.clone(), &[control]).await.expect("started");
        let callers = free_address();
        let server = serve_callers(router.clone(), callers).await.expect("started");
        Self { router, link, server, callers, address, clock, metrics }
    }

    /// Sum of a counter of the router whose name and first labels begin with `prefix`.
    pub fn counter(&self, prefix: &str) -> f64 {
        let text = self.metrics.render().expect("metrics can be rendered");
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Waits until it is ready and knows `engines` ready engines.
    pub async fn ready(&self, engines: usize) {
        wait_until(|| self.router.is_ready() && self.router.is_connected_to_leader()).await;
        wait_until(|| self.router.ready_engine_count() == engines).await;
    }

    /// Sends a request over a new connection.
    pub async fn ask_with(&self, path: &str, headers: &[(&str, &str)]) -> CallerResponse {
        ask_at(self.callers, path, headers).await
    }

    pub async fn ask(&self, path: &str, id: &str) -> CallerResponse {
        ask_as_caller(self.callers, path, id).await
    }

    /// Requests a generation, which costs tokens.
    pub async fn generate(&self, id: &str) -> CallerResponse {
        generate_at(self.callers, id).await
    }
}

/// A control process.
pub struct ControlMachine {
    pub control: ControlNode,
    /// Where it accepts connections of the fleet.
    pub address: SocketAddr,
    /// Its metrics.
    pub metrics_registry: MetricsRegistry,
    pub folder: tempfile::TempDir,
}

impl ControlMachine {
    /// Starts a control process of a new group, which has `others` as further voters.
    pub async fn start(others: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let address = free_address();
        let name = MachineName::new(IpAddr::from(Ipv4Addr::LOCALHOST).to_string());
        let others = others.iter().map(|other| MachineName::new(*other));
        let config = ReplicaConfig {
            name: name.clone(),
            initial_voters: Some(std::iter::once(name.clone()).chain(others).collect()),
            new_identity: 5,
            election_timeout: Millis(300),
            heartbeat_interval: Millis(50),
            lease_margin: Millis(50),
            target_voters: 1,
            zone: ZoneName::new("one"),
            zones: 1,
            seed: 1,
            codec: Arc::new(TestDocumentCodec),
        };
        let metrics_registry = MetricsRegistry::new().expect("a registry");
        let metrics = ControlMetrics::new(&metrics_registry.meter());
        let (replica, effects) =
            ReplicaThread::start(config, folder.path(), metrics.clone()).expect("started");
        let settings =
            ControlSettings { mesh_address: address, source: None, seeds: vec![address] };
        let own = peer(PeerRole::Control, name.as_str(), address);
        let control =
            ControlNode::start(own, settings, replica, effects, metrics).await.expect("started");
        Self { control, address, metrics_registry, folder }
    }
}

/// The fleet.
pub struct Fleet {
    pub router: Rc<Router>,
    pub link: Rc<FleetLink>,
    pub server: Rc<Server>,
    pub control: ControlNode,
    pub engines: [Rc<Engine>; 2],
    pub callers: SocketAddr,
    /// The clock of the router's machine.
    pub clock: MachineClock,
    /// Metrics of the control process.
    pub control_metrics: MetricsRegistry,
    /// Where the control process accepts connections of the fleet.
    pub control_address: SocketAddr,
    /// Where the router accepts other routers.
    pub router_address: SocketAddr,
    _folder: tempfile::TempDir,
}

/// First port that is tried. All of them lie below the system's range for outgoing connections: one
/// of these could take a port between the check here and its use.
const FIRST_PORT: u16 = 11_000;
/// Number of ports per test process: 640 were too few for all tests of this program.
const PORTS_PER_PROCESS: u16 = 800;
/// Number of test processes with separate ports.
const PROCESSES: u32 = 27;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An unused address that no other test of this process is given.
pub fn free_address() -> SocketAddr {
    free_addresses(1)
}

/// The first of `count` unused addresses with consecutive ports.
fn free_addresses(count: u16) -> SocketAddr {
    let block = (std::process::id() % PROCESSES) as u16 * PORTS_PER_PROCESS;
    loop {
        let step = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
        assert!(step + count <= PORTS_PER_PROCESS, "no port is free");
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut ports = FIRST_PORT + block + step..FIRST_PORT + block + step + count;
        if ports.all(|port| StdListener::bind(address(port)).is_ok()) {
            return address(FIRST_PORT + block + step);
        }
    }
}

/// What a process tells the others of itself.
pub fn peer(role: PeerRole, machine: &str, listen_address: SocketAddr) -> PeerInfo {
    let incarnation = Incarnation(rand::random());
    let node = NodeId { machine: MachineName::new(machine), incarnation };
    PeerInfo { node, role, zone: "hall".into(), listen_address }
}

/// A router without configuration or engines.
pub fn router() -> Rc<Router> {
    router_with_load(
        MachineClock::default(),
        Rc::new(TcpDialer::default()),
        LoadSettings::default(),
    )
}

/// A router with other settings of its behaviour under load.
pub fn router_with_load(
    clock: MachineClock,
    dialer: Rc<dyn EngineDialer>,
    load: LoadSettings,
) -> Rc<Router> {
    let metrics = MetricsRegistry::new().expect("a registry");
    router_with(clock, dialer, load, &metrics)
}

fn router_with(
    clock: MachineClock,
    dialer: Rc<dyn EngineDialer>,
    load: LoadSettings,
    metrics: &MetricsRegistry,
) -> Rc<Router> {
    let retry_limits = RetryLimits { permille: 200, extra: 200, window: Millis(10_000) };
    Router::new(
        RouterSettings { zone: "hall".into(), retry_limits, clock, dialer, source: None, load },
        Box::new(TestHeaderCodec),
        Arc::new(TestDocumentCodec),
        &metrics.meter(),
    )
}

/// Waits until `condition` holds, and fails if it does not in time.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    wait_until_async(async || condition()).await;
}

/// Whether `condition` holds within `limit`.
pub async fn holds_within(limit: Duration, condition: impl FnMut() -> bool) -> bool {
    tokio::time::timeout(limit, wait_until(condition)).await.is_ok()
}

/// The same as [`wait_until`] for a condition that is checked by requests.
pub async fn wait_until_async(mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < CONDITION_TIMEOUT, "timed out waiting for a condition");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Repeats an engine's call until it is acknowledged, as engines do: on a busy disk the commit may
/// take longer than one call, and so may an engine that has not read its requests.
async fn wait_until_acknowledged(mut call: impl AsyncFnMut() -> Result<(), AnnouncementError>) {
    wait_until_async(async || match call().await {
        Err(AnnouncementError::NotCommitted(_) | AnnouncementError::NotQuiescent(_)) => false,
        reply => reply.is_ok() || panic!("the call is refused: {reply:?}"),
    })
    .await;
}

impl Fleet {
    /// Starts the fleet and waits until the router is ready.
    pub async fn start() -> Self {
        Self::start_with_software(["", ""]).await
    }

    /// Starts the fleet with engines of these software versions.
    pub async fn start_with_software(versions: [&str; 2]) -> Self {
        Self::start_with_settings(versions, Rc::new(TcpDialer::default()), LoadSettings::default())
            .await
    }

    /// Starts the fleet with a router that dials engines with `dialer`.
    pub async fn start_with_dialer(dialer: Rc<dyn EngineDialer>) -> Self {
        Self::start_with_settings(["", ""], dialer, LoadSettings::default()).await
    }

    /// Starts the fleet with a router that has these settings of its behaviour under load.
    pub async fn start_with_load(load: LoadSettings) -> Self {
        Self::start_with_settings(["", ""], Rc::new(TcpDialer::default()), load).await
    }

    async fn start_with_settings(
        versions: [&str; 2],
        dialer: Rc<dyn EngineDialer>,
        load: LoadSettings,
    ) -> Self {
        let ControlMachine { control, address: mesh, metrics_registry: control_metrics, folder } =
            ControlMachine::start(&[]).await;
        let RouterMachine { router, link, server, callers, address: router_address, clock, .. } =
            RouterMachine::start_with_load(mesh, dialer, load).await;
        let engines = [Engine::start("e1").await, Engine::start("e2").await];
        for (engine, version) in engines.iter().zip(versions) {
            engine.software.replace(version.into());
        }
        let control_address = mesh;
        let fleet = Self {
            router,
            link,
            server,
            control,
            engines,
            callers,
            clock,
            control_metrics,
            control_address,
            router_address,
            _folder: folder,
        };
        fleet.make_ready().await;
        fleet
    }

    async fn make_ready(&self) {
        while self.control.put_document(b"1".as_slice().into()).await != PutReply::Accepted {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for engine in &self.engines {
            self.announce(engine, 1, EngineState::Ready).await;
        }
        let router = self.router.clone();
        wait_until(|| router.is_ready() && router.is_connected_to_leader()).await;
        // `is_ready` requires only one engine; tests need both.
        wait_until(|| self.router.ready_engine_count() == self.engines.len()).await;
    }

    /// Announces an engine until it is acknowledged.
    pub async fn announce(&self, engine: &Engine, sequence: u64, state: EngineState) {
        let notice = self.notice(engine, sequence, state);
        wait_until_acknowledged(async || self.control.announce(notice.clone()).await).await;
    }

    /// Adds a router that reaches engines only through another router.
    pub async fn add_isolated_router(&self) -> RouterMachine {
        let dialer = CuttableDialer::new();
        let cut = self.add_router_with(dialer.clone()).await;
        cut.ready(self.engines.len()).await;
        wait_until(|| cut.router.knows_other_routers()).await;
        dialer.set(Cut::Reset);
        for number in 0.. {
            if cut.router.is_isolated() {
                break;
            }
            cut.ask("/once/1", &format!("notice-{number}")).await;
        }
        cut
    }

    /// Announces the departure of an engine until it is acknowledged.
    pub async fn leave(&self, id: &str) {
        wait_until_acknowledged(async || self.control.engine_left(id, None).await).await;
    }

    /// The announcement of an engine.
    pub fn notice(&self, engine: &Engine, sequence: u64, state: EngineState) -> EngineNotice {
        notice_of(engine, sequence, state)
    }

    pub fn set_behaviours(&self, first: Behaviour, second: Behaviour) {
        self.engines[0].behaviour.set(first);
        self.engines[1].behaviour.set(second);
    }

    /// Number of runs at both engines.
    pub fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs.borrow().len()).sum()
    }

    /// Sends a request over a new connection.
    pub async fn ask(&self, path: &str, id: &str) -> CallerResponse {
        self.ask_with(path, &[("id", id), ("key", KEY)]).await
    }

    /// Requests a generation, which costs tokens.
    pub async fn generate(&self, id: &str) -> CallerResponse {
        generate_at(self.callers, id).await
    }

    pub async fn ask_with(&self, path: &str, headers: &[(&str, &str)]) -> CallerResponse {
        ask_at(self.callers, path, headers).await
    }

    /// Adds a router whose connections to engines can be cut.
    pub async fn add_router_with(&self, dialer: Rc<dyn EngineDialer>) -> RouterMachine {
        RouterMachine::start_with(self.control_address, dialer).await
    }

    /// Adds a router with other settings of its behaviour under load that dials engines with `dialer`.
    pub async fn add_router_with_settings(
        &self,
        dialer: Rc<dyn EngineDialer>,
        load: LoadSettings,
    ) -> RouterMachine {
        RouterMachine::start_with_load(self.control_address, dialer, load).await
    }

    /// Adds a router with other settings of its behaviour under load.
    pub async fn add_router_with_load(&self, load: LoadSettings) -> RouterMachine {
        RouterMachine::start_with_load(self.control_address, Rc::new(TcpDialer::default()), load)
            .await
    }

    /// Adds a router to the fleet.
    pub async fn add_router(&self) -> RouterMachine {
        RouterMachine::start(self.control_address).await
    }
}

/// The announcement of an engine.
pub fn notice_of(engine: &Engine, sequence: u64, state: EngineState) -> EngineNotice {
    EngineNotice {
        engine: engine.name.clone(),
        sequence,
        service: "engines".into(),
        address: engine.address,
        zone: "hall".into(),
        slots: 8,
        state,
        age: Millis(0),
        known_for: Millis(0),
        software: engine.software.borrow().clone(),
    }
}

/// Sends a request to the router that accepts callers at `callers`, over a new connection.
pub async fn ask_as_caller(callers: SocketAddr, path: &str, id: &str) -> CallerResponse {
    ask_at(callers, path, &[("id", id), ("key", KEY)]).await
}

async fn generate_at(callers: SocketAddr, id: &str) -> CallerResponse {
    ask_at(callers, "/stream/1", &[("id", id), ("key", KEY), ("generation", "1")]).await
}

pub async fn ask_at(callers: SocketAddr, path: &str, headers: &[(&str, &str)]) -> CallerResponse {
    let stream = TcpStream::connect(callers).await.expect("connected");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("connected");
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::builder().uri(path).header("host", "ferry.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let response = sender.send_request(request).await.expect("a response");
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        Err(error) => Err(error.to_string()),
    };
    driver.abort();
    CallerResponse { status: head.status, headers: head.headers, body }
}

/// Runs a test in a single-threaded runtime.
pub fn run_local<F: Future<Output = ()>>(test: F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
