//! A stand-in for an engine, which can fail in every way that an attempt tells apart.

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::response::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use stackpost_types::{BackEndName, Digest};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Answer,
    /// Turns the request away.
    Full,
    /// Runs it and closes the connection without an answer.
    DropConnection,
    /// Loses three of ten runs, by a lot that its name and their number decide.
    DropSomeConnections,
    /// Runs it and answers with an error of its own.
    ServerError,
    /// Runs it and answers another request.
    AnswerOtherRequest,
    /// Breaks the answer off in its middle.
    Truncate,
    /// Runs it and says nothing.
    Hang,
    /// Begins a stream and says nothing more.
    Stall,
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
    pub backoff: Cell<Option<Duration>>,
    /// The requests a second that it says in its answers it takes.
    pub rate: Cell<Option<f64>>,
    /// When requests came, whatever became of them.
    pub arrivals: RefCell<Vec<Instant>>,
    /// Whether it says in its answers that it leaves.
    pub leaving: Cell<bool>,
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
            backoff: Cell::new(None),
            rate: Cell::new(None),
            arrivals: RefCell::default(),
            leaving: Cell::new(false),
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
        self.arrivals.borrow_mut().push(Instant::now());
        let behaviour = self.behaviour.get();
        if behaviour == Behaviour::Full {
            return Ok(self.turn_away(id));
        }
        self.runs.borrow_mut().push((id.clone(), after));
        let streams = request.uri().path().contains("stream");
        if let Some(point) = CrashPoint::of(request.uri().path()) {
            return self.crash_at(point, id).await;
        }
        let answered =
            if behaviour == Behaviour::AnswerOtherRequest { "other".to_string() } else { id };
        let head = self.head(answered).header("signature", "s");
        let head = if self.leaving.get() { head.header("leaving", "1") } else { head };
        let response = match behaviour {
            Behaviour::DropSomeConnections if self.is_lost() => {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Behaviour::DropConnection => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Stall => {
                let begun = futures::stream::iter(first_events(0, EVENTS_BEFORE_BREAK));
                let body = StreamBody::new(begun.chain(futures::stream::pending()));
                head.header("content-type", "text/event-stream").body(body.boxed_unsync())
            }
            Behaviour::ServerError => head.status(500).body(whole("own error")),
            Behaviour::Truncate if !streams => {
                head.header("content-length", "9").body(broken(vec![
                    Ok(Frame::data(Bytes::from_static(b"half"))),
                    Err(std::io::ErrorKind::ConnectionReset.into()),
                ]))
            }
            _ if streams => head
                .header("content-type", "text/event-stream")
                .body(events(after.unwrap_or(0), behaviour == Behaviour::Truncate)),
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
    pub fn path_segment(self) -> &'static str {
        match self {
            Self::BeforeHead => "crash-before-head",
            Self::BeforeFirstEvent => "crash-before-first-event",
            Self::AfterEvents => "crash-after-events",
            Self::InLargeAnswer => "crash-in-large-answer",
        }
    }

    fn of(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|point| path.contains(point.path_segment()))
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

    /// The head of every answer.
    fn head(&self, id: String) -> Builder {
        let head = Response::builder().header("id", id);
        match self.rate.get() {
            Some(rate) => head.header("rate", rate.to_string()),
            None => head,
        }
    }

    fn turn_away(&self, id: String) -> Response<EngineBody> {
        self.turned_away.borrow_mut().push(Instant::now());
        let refusal = self.head(id).status(503).header("not-run", "1");
        let refusal = match self.backoff.get() {
            Some(backoff) => refusal.header("rest", backoff.as_millis().to_string()),
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
