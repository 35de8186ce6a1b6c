//! A small fleet on loopback sockets: one control process, one router, two engines.

pub mod lines;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use stackpost_coordinator::*;
use stackpost_gateway::*;
use stackpost_gateway_core::*;
use stackpost_mesh::{PeerInfo, PeerRole};
use stackpost_telemetry::MetricsRegistry;
use stackpost_types::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

pub const PREPAID: u64 = 10_000;
/// Tokens of the prompt and most generated of every generation in the tests.
pub const PROMPT: u64 = 100;
pub const MOST_GENERATED: u64 = 50;
pub const TOKENS_PER_EVENT: u64 = 5;
const KEY: &str = "ferry-key";
/// Conditions are looked at this often; a test that waits for ever is ended by its runner.
const LOOK: Duration = Duration::from_millis(5);

/// Headers of the tests.
struct TestDialect;

impl Dialect for TestDialect {
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, UnreadableRequest> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let generation = headers.contains_key("generation").then_some(Generation {
            prompt: Tokens(PROMPT),
            shared: Tokens::ZERO,
            most_generated: Tokens(MOST_GENERATED),
            subject: None,
        });
        Ok(CallerRequest {
            id: text("id").unwrap_or_default().into(),
            wait: text("wait").and_then(|wait| wait.parse().ok()).map(Millis),
            key: text("key").map(Into::into),
            generation,
            last_event: None,
        })
    }

    fn address_engine(&self, headers: &mut HeaderMap, addressing: &EngineAddressing<'_>) {
        headers.remove("key");
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, value.parse().expect("a header value"));
        };
        set("engine", addressing.engine.to_string());
        set("wait", addressing.wait.0.to_string());
        if let Some(event) = addressing.last_event {
            set("after", event.to_string());
        }
    }

    fn judge_answer(
        &self,
        request: &CallerRequest,
        _: StatusCode,
        headers: &HeaderMap,
    ) -> EngineVerdict {
        if headers.contains_key("not-run") {
            return EngineVerdict::NotRun;
        }
        match headers.get("id") {
            Some(id) if *id == request.id => EngineVerdict::Genuine,
            Some(_) => EngineVerdict::OtherRequest,
            None => EngineVerdict::Unsigned,
        }
    }

    fn read_wishes(&self, _: &CallerRequest, _: StatusCode, headers: &HeaderMap) -> EngineWishes {
        let rest = headers.get("rest").map(|rest| rest.to_str().expect("text"));
        let rest = rest.map(|rest| Millis(rest.parse().expect("milliseconds")));
        let leaves = headers.contains_key("leaving");
        EngineWishes { rest, leaves, unreadable: Vec::new() }
    }
}

/// The one configuration of the tests, whatever the document says but its version.
struct TestDocuments;

impl DocumentCodec for TestDocuments {
    fn decode(&self, bytes: &[u8]) -> Result<RoutingConfig, ConfigError> {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let version =
            text.parse().map_err(|_| ConfigError::Unreadable("not a number".to_string()))?;
        let route = |prefix: &str, kind, max_attempts| Route {
            name: RouteName::new(prefix),
            host: "ferry.example".into(),
            path_prefix: prefix.into(),
            kind,
            timeout: Millis(10_000),
            objective: Millis(4_000),
            gap_objective: None,
            priority: 1,
            split: vec![Split { service: "engines".into(), weight: 1 }],
            max_attempts,
            public: false,
            sticky: false,
        };
        let engine = EngineProfile {
            slots: 8,
            cache_tokens: Tokens(1_000),
            tokens_per_event: TOKENS_PER_EVENT,
        };
        let service = Service { max_connections: 100, engine: Some(engine) };
        Ok(RoutingConfig {
            version,
            routes: vec![
                route("/once/", RouteKind::OnlyOnce, 2),
                route("/again/", RouteKind::Repeatable, 2),
                route("/stream/", RouteKind::Streaming { resumable: true }, 2),
                route("/plain-stream/", RouteKind::Streaming { resumable: false }, 2),
            ],
            services: BTreeMap::from([("engines".into(), service)]),
            limits: ClientLimits {
                max_header_bytes: 16_384,
                max_body_bytes: 1_000,
                header_timeout: Millis(3_000),
                idle_timeout: Millis(15_000),
            },
            tenants: Some(vec![Tenant {
                name: "ferry".into(),
                keys: vec![KEY.into()],
                priority: None,
                prepaid: Some(Tokens(PREPAID)),
            }]),
        })
    }
}

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Answer,
    /// Turns the request away.
    Full,
    /// Runs it and closes the connection without an answer.
    Lose,
    /// Loses three of ten runs, by a lot that its name and their number decide.
    LoseSome,
    /// Runs it and answers with an error of its own.
    Fail,
    /// Runs it and answers another request.
    Cross,
    /// Breaks the answer off in its middle.
    Break,
    /// Runs it and says nothing.
    Hang,
    /// Begins a stream and says nothing more.
    Pause,
}

/// A stand-in for an engine.
pub struct Engine {
    pub name: BackEndName,
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// Ids of the requests that it has run, with the event they were to go on after.
    pub runs: RefCell<Vec<(String, Option<u64>)>>,
    /// When requests came that it turned away.
    pub turned_away: RefCell<Vec<Instant>>,
    /// Rest that it asks for as it turns a request away.
    pub rest: Cell<Option<Duration>>,
    /// Whether it says in its answers that it leaves.
    pub leaves: Cell<bool>,
    /// Keys that were shown to it.
    pub keys_seen: Cell<usize>,
    /// Whether its process has ended.
    pub has_crashed: Cell<bool>,
    /// Its listener and its connections, which end with it.
    tasks: RefCell<Vec<AbortHandle>>,
}

/// Time for the server of a stand-in to write what it has before it breaks off.
const FLUSH_TIME: Duration = Duration::from_millis(20);
const EVENTS: u64 = 8;
/// More than a router gathers.
const LARGE: &[u8] = &[b'x'; 300 * 1024];
/// Events before a break.
const EVENTS_BEFORE_BREAK: u64 = 3;

type EngineBody = http_body_util::combinators::UnsyncBoxBody<Bytes, std::io::Error>;

impl Engine {
    pub async fn start(name: &str) -> Rc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let engine = Rc::new(Self {
            name: BackEndName::new(name),
            address: listener.local_addr().expect("an address"),
            behaviour: Cell::new(Behaviour::Answer),
            runs: RefCell::default(),
            turned_away: RefCell::default(),
            rest: Cell::new(None),
            leaves: Cell::new(false),
            keys_seen: Cell::new(0),
            has_crashed: Cell::new(false),
            tasks: RefCell::default(),
        });
        let serving = engine.clone();
        let listening = tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepted");
                let engine = serving.clone();
                let answering = tokio::task::spawn_local(async move {
                    let service = service_fn(move |request| engine.clone().answer(request));
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                serving.tasks.borrow_mut().push(answering.abort_handle());
            }
        });
        engine.tasks.borrow_mut().push(listening.abort_handle());
        engine
    }

    /// Breaks all its connections, as the end of its process does; it listens on as its next life.
    pub fn restart(&self) {
        let listener_first = self.tasks.borrow();
        listener_first.iter().skip(1).for_each(AbortHandle::abort);
    }

    /// Ends the engine's process: all its connections break and its address refuses new ones.
    pub fn crash(&self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
        self.has_crashed.set(true);
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<EngineBody>, std::io::Error> {
        let text = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(ToString::to_string)
        };
        let id = text("id").unwrap_or_default();
        let after = text("after").and_then(|after| after.parse().ok());
        if request.headers().contains_key("key") {
            self.keys_seen.set(self.keys_seen.get() + 1);
        }
        let behaviour = self.behaviour.get();
        if behaviour == Behaviour::Full {
            return Ok(self.turn_away(id));
        }
        self.runs.borrow_mut().push((id.clone(), after));
        let streams = request.uri().path().contains("stream");
        if let Some(point) = CrashPoint::of(request.uri().path()) {
            return self.crash_at(point, id).await;
        }
        let answered = if behaviour == Behaviour::Cross { "other".to_string() } else { id };
        let head = Response::builder().header("id", answered).header("signature", "s");
        let head = if self.leaves.get() { head.header("leaving", "1") } else { head };
        let response = match behaviour {
            Behaviour::LoseSome if self.is_lost() => {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Behaviour::Lose => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Pause => {
                let begun = futures::stream::iter(first_events(0, EVENTS_BEFORE_BREAK));
                let body = StreamBody::new(begun.chain(futures::stream::pending()));
                head.header("content-type", "text/event-stream").body(body.boxed_unsync())
            }
            Behaviour::Fail => head.status(500).body(whole("own error")),
            Behaviour::Break if !streams => head.header("content-length", "9").body(broken(vec![
                Ok(Frame::data(Bytes::from_static(b"half"))),
                Err(std::io::ErrorKind::ConnectionReset.into()),
            ])),
            _ if streams => head
                .header("content-type", "text/event-stream")
                .body(events(after.unwrap_or(0), behaviour == Behaviour::Break)),
            _ => head.header("x-own", "kept").body(whole("an answer")),
        };
        Ok(response.expect("a response"))
    }
}

/// How far the answer to a request that ends its engine comes before it does. A path that holds the
/// word for it asks for it, whatever the engine's behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    BeforeHead,
    BeforeFirstEvent,
    AfterEvents,
    /// In the middle of an answer that is too large to be gathered.
    InLargeAnswer,
}

impl CrashPoint {
    pub const ALL: [Self; 4] =
        [Self::BeforeHead, Self::BeforeFirstEvent, Self::AfterEvents, Self::InLargeAnswer];

    /// The word in the path.
    pub fn word(self) -> &'static str {
        match self {
            Self::BeforeHead => "crash-before-head",
            Self::BeforeFirstEvent => "crash-before-first-event",
            Self::AfterEvents => "crash-after-events",
            Self::InLargeAnswer => "crash-in-large-answer",
        }
    }

    fn of(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|point| path.contains(point.word()))
    }
}

impl Engine {
    /// Runs a request under which this engine ends.
    async fn crash_at(
        self: Rc<Self>,
        point: CrashPoint,
        id: String,
    ) -> Result<Response<EngineBody>, std::io::Error> {
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(FLUSH_TIME).await;
            engine.crash();
        });
        let events = match point {
            CrashPoint::BeforeHead => return std::future::pending().await,
            CrashPoint::BeforeFirstEvent => Vec::new(),
            CrashPoint::AfterEvents => first_events(0, EVENTS_BEFORE_BREAK),
            CrashPoint::InLargeAnswer => vec![Ok(Frame::data(LARGE.into()))],
        };
        let unfinished = futures::stream::iter(events).chain(futures::stream::pending());
        let head = Response::builder().header("id", id).header("signature", "s");
        let head = match point {
            CrashPoint::InLargeAnswer => head,
            _ => head.header("content-type", "text/event-stream"),
        };
        Ok(head.body(StreamBody::new(unfinished).boxed_unsync()).expect("a response"))
    }
}

impl Engine {
    /// Whether the connection of the run that has just begun breaks.
    fn is_lost(&self) -> bool {
        let run = self.runs.borrow().len().to_le_bytes();
        Digest::of(&[self.name.as_str().as_bytes(), &run]).to_u64() % 10 < 3
    }

    fn turn_away(&self, id: String) -> Response<EngineBody> {
        self.turned_away.borrow_mut().push(Instant::now());
        let refusal = Response::builder().status(503).header("not-run", "1").header("id", id);
        let refusal = match self.rest.get() {
            Some(rest) => refusal.header("rest", rest.as_millis().to_string()),
            None => refusal,
        };
        refusal.body(whole("")).expect("a response")
    }
}

fn whole(text: &'static str) -> EngineBody {
    Full::new(Bytes::from_static(text.as_bytes())).map_err(|never| match never {}).boxed_unsync()
}

/// Pieces go out before an error closes the connection.
fn broken(frames: Vec<Result<Frame<Bytes>, std::io::Error>>) -> EngineBody {
    let paced = futures::stream::iter(frames).then(|frame| async move {
        if frame.is_err() {
            tokio::time::sleep(FLUSH_TIME).await;
        }
        frame
    });
    StreamBody::new(paced).boxed_unsync()
}

/// The events after `after` up to `last`.
fn first_events(after: u64, last: u64) -> Vec<Result<Frame<Bytes>, std::io::Error>> {
    (after + 1..=last)
        .map(|id| Ok(Frame::data(Bytes::from(format!("id: {id}\ndata: piece {id}\n\n")))))
        .collect()
}

fn events(after: u64, breaks: bool) -> EngineBody {
    let last = if breaks { after + EVENTS_BEFORE_BREAK } else { EVENTS };
    let mut frames = first_events(after, last);
    if breaks {
        // A piece of an event that must never be passed on.
        frames.push(Ok(Frame::data(Bytes::from(format!("id: {}\nda", last + 1)))));
        frames.push(Err(std::io::ErrorKind::ConnectionReset.into()));
    }
    broken(frames)
}

/// The whole text of a stream.
pub fn all_events() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// What a caller gets.
#[derive(Debug)]
pub struct Got {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, if it came in whole.
    pub body: Result<String, String>,
}

/// A router on a machine of its own.
pub struct EntryMachine {
    pub router: Rc<Router>,
    pub link: Rc<FleetLink>,
    pub server: Rc<Server>,
    /// Where it takes callers.
    pub callers: SocketAddr,
}

impl EntryMachine {
    /// Starts a router that looks for control at `control`.
    async fn start(control: SocketAddr) -> Self {
        let router = router();
        let own = peer(PeerRole::Router, "router", free_address());
        let link = FleetLink::start(own, router.clone(), &[control]).await.expect("started");
        let callers = free_address();
        let server = serve_callers(router.clone(), callers).await.expect("started");
        Self { router, link, server, callers }
    }

    /// Waits until it serves and knows `engines` engines that take work.
    pub async fn ready(&self, engines: usize) {
        wait_until(|| self.router.is_ready() && self.router.in_touch()).await;
        wait_until(|| self.router.known_engines() == engines).await;
    }

    /// Asks as a caller does, over a connection of its own.
    pub async fn ask(&self, path: &str, id: &str) -> Got {
        ask_as_caller(self.callers, path, id).await
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
    /// What control tells of itself.
    pub control_figures: MetricsRegistry,
    control_address: SocketAddr,
    _folder: tempfile::TempDir,
}

/// First of the ports that are tried. All of them lie below those that the system gives to outgoing
/// connections: one of these could take a port between the look here and its use.
const FIRST_PORT: u16 = 15_000;
/// Ports that one test process may use.
const PORTS_PER_PROCESS: u16 = 160;
/// Test processes that are told apart.
const PROCESSES: u32 = 100;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address at which nobody listens and that no other test of this process is given.
pub fn free_address() -> SocketAddr {
    let block = (std::process::id() % PROCESSES) as u16 * PORTS_PER_PROCESS;
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(step < PORTS_PER_PROCESS, "no port is free");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + block + step));
        if StdListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn peer(role: PeerRole, machine: &str, listens_at: SocketAddr) -> PeerInfo {
    let incarnation = Incarnation(rand::random());
    let node = NodeId { machine: MachineName::new(machine), incarnation };
    PeerInfo { node, role, zone: "hall".into(), listens_at }
}

/// A router that knows nothing yet.
pub fn router() -> Rc<Router> {
    let retry_limits = RetryLimits { permille: 200, extra: 200, window: Millis(10_000) };
    Router::new(
        RouterSettings { zone: "hall".into(), retry_limits },
        Box::new(TestDialect),
        Arc::new(TestDocuments),
        &MetricsRegistry::new().expect("a registry").meter(),
    )
}

/// Waits until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(LOOK).await;
    }
}

impl Fleet {
    /// Starts everything and waits until the router is ready.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mesh = free_address();
        let name = MachineName::new(IpAddr::from(Ipv4Addr::LOCALHOST).to_string());
        let config = ReplicaConfig {
            name: name.clone(),
            founders: Some(vec![name.clone()]),
            fresh_identity: 5,
            election_timeout: Millis(300),
            heartbeat_interval: Millis(50),
            lease_margin: Millis(50),
            voters_wanted: 1,
            zone: ZoneName::new("one"),
            zones: 1,
            seed: 1,
            codec: Arc::new(TestDocuments),
        };
        let control_figures = MetricsRegistry::new().expect("a registry");
        let metrics = ControlMetrics::new(&control_figures.meter());
        let (replica, effects) =
            ReplicaThread::start(config, folder.path(), metrics.clone()).expect("started");
        let settings = ControlSettings { mesh_address: mesh, seeds: vec![mesh] };
        let own = peer(PeerRole::Control, name.as_str(), mesh);
        let control =
            ControlNode::start(own, settings, replica, effects, metrics).await.expect("started");
        let EntryMachine { router, link, server, callers } = EntryMachine::start(mesh).await;
        let engines = [Engine::start("e1").await, Engine::start("e2").await];
        let control_address = mesh;
        let fleet = Self {
            router,
            link,
            server,
            control,
            engines,
            callers,
            control_figures,
            control_address,
            _folder: folder,
        };
        fleet.make_ready().await;
        fleet
    }

    async fn make_ready(&self) {
        while self.control.put_document(b"1".as_slice().into()).await != PutReply::Taken {
            tokio::time::sleep(LOOK).await;
        }
        for engine in &self.engines {
            self.announce(engine, 1, EngineState::Ready);
        }
        let router = self.router.clone();
        wait_until(|| router.is_ready() && router.in_touch()).await;
        // The first request brings both engines to the router's knowledge for certain.
        wait_until(|| self.router.known_engines() == self.engines.len()).await;
    }

    pub fn announce(&self, engine: &Engine, sequence: u64, state: EngineState) {
        self.control.announce(self.notice(engine, sequence, state)).expect("an engine");
    }

    /// What an engine says of itself.
    pub fn notice(&self, engine: &Engine, sequence: u64, state: EngineState) -> EngineNotice {
        EngineNotice {
            engine: engine.name.clone(),
            sequence,
            service: "engines".into(),
            address: engine.address,
            zone: "hall".into(),
            slots: 8,
            state,
            age: Millis(0),
        }
    }

    pub fn behave(&self, first: Behaviour, second: Behaviour) {
        self.engines[0].behaviour.set(first);
        self.engines[1].behaviour.set(second);
    }

    /// Runs at both engines.
    pub fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs.borrow().len()).sum()
    }

    /// Asks as a caller does, over a connection of its own.
    pub async fn ask(&self, path: &str, id: &str) -> Got {
        self.ask_with(path, &[("id", id), ("key", KEY)]).await
    }

    /// Asks for a generation, which costs tokens.
    pub async fn generate(&self, id: &str) -> Got {
        self.ask_with("/stream/1", &[("id", id), ("key", KEY), ("generation", "1")]).await
    }

    pub async fn ask_with(&self, path: &str, headers: &[(&str, &str)]) -> Got {
        ask_at(self.callers, path, headers).await
    }

    /// A further router.
    pub async fn add_router(&self) -> EntryMachine {
        EntryMachine::start(self.control_address).await
    }
}

/// Asks the router that takes callers at `callers`, over a connection of its own.
pub async fn ask_as_caller(callers: SocketAddr, path: &str, id: &str) -> Got {
    ask_at(callers, path, &[("id", id), ("key", KEY)]).await
}

async fn ask_at(callers: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Got {
    let stream = TcpStream::connect(callers).await.expect("connected");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("connected");
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::builder().uri(path).header("host", "ferry.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        Err(error) => Err(error.to_string()),
    };
    driver.abort();
    Got { status: head.status, headers: head.headers, body }
}

/// Runs a test inside a runtime of one thread.
pub fn play<F: Future<Output = ()>>(test: F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
