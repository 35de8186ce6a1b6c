//! Engines that send bytes without end which are no response: what a router takes of them, and for
//! how long callers wait.

use crate::support::*;
use hyper::StatusCode;
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Most that an engine can write beyond what its router reads: the buffers of both sockets.
const SOCKET_BUFFER_BYTES: usize = 12 * 1024 * 1024;
/// Most that a router may read of one event, and of one response that is no stream.
const EVENT_BYTES: usize = 1024 * 1024;
const RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Most that a router may read of a head: what its parser holds, and 1 MB once it is given up.
const HEAD_BYTES: usize = 2 * 1024 * 1024;
/// Interval between the header lines of a head without end.
const LINE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an engine whose bytes are not read counts as held up.
const HELD_UP_TIME: Duration = Duration::from_secs(2);

/// What has no end in an engine's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    /// A head, one line at a time.
    Head,
    /// A head at full speed that does not name the request.
    UnnamedHead,
    /// The first event of a stream.
    Event,
    /// A body in chunks.
    Body,
    /// Bytes after a whole response.
    AfterResponse,
}

impl Endless {
    fn start(self, id: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n");
        match self {
            Self::Head => head,
            Self::UnnamedHead => "HTTP/1.1 200 OK\r\n".to_string(),
            Self::Event => format!("{head}content-type: text/event-stream\r\n\r\nid: 1\ndata: "),
            Self::Body => format!("{head}transfer-encoding: chunked\r\n\r\n"),
            Self::AfterResponse => format!("{head}content-length: 9\r\n\r\nan answer"),
        }
    }

    fn part(self) -> Vec<u8> {
        match self {
            Self::Head => b"another: line\r\n".to_vec(),
            Self::UnnamedHead => b"another: line\r\n".repeat(4_096),
            Self::Body => [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat(),
            Self::Event | Self::AfterResponse => vec![b'x'; 64 * 1024],
        }
    }
}

/// An engine whose responses have no end.
#[derive(Default)]
struct EndlessEngine {
    requests: Cell<usize>,
    written: Cell<usize>,
    /// Connections that its router has closed.
    closed: Cell<usize>,
    /// Whether it waits for its router to read on.
    is_held_up: Cell<bool>,
}

impl EndlessEngine {
    /// Starts it in place of the fleet's engines.
    async fn start_alone(fleet: &Fleet, endless: Endless) -> Rc<Self> {
        let engine = Self::start(fleet, endless).await;
        for other in &fleet.engines {
            fleet.leave(other.name.id()).await;
        }
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        engine
    }

    async fn start(fleet: &Fleet, endless: Endless) -> Rc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let template = fleet.notice(&fleet.engines[0], 1, EngineState::Ready);
        let notice = EngineNotice { engine: BackEndName::new("endless"), address, ..template };
        let engine = Rc::new(Self::default());
        let serving = engine.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepted");
                tokio::task::spawn_local(serving.clone().respond(stream, endless));
            }
        });
        fleet.control.announce(notice).await.expect("accepted");
        let engines = fleet.engines.len() + 1;
        wait_until(|| fleet.router.ready_engine_count() == engines).await;
        engine
    }

    async fn respond(self: Rc<Self>, mut stream: TcpStream, endless: Endless) {
        let mut request = vec![0; 4_096];
        let Ok(length @ 1..) = stream.read(&mut request).await else {
            return;
        };
        self.requests.set(self.requests.get() + 1);
        let request = String::from_utf8_lossy(&request[..length]).to_string();
        let id = request.lines().find_map(|line| line.strip_prefix("id: ")).unwrap_or_default();
        let mut part = endless.start(id).into_bytes();
        while self.write(&mut stream, &part).await.is_ok() {
            self.written.set(self.written.get() + part.len());
            part = endless.part();
            if endless == Endless::Head {
                tokio::time::sleep(LINE_INTERVAL).await;
            }
        }
        self.closed.set(self.closed.get() + 1);
    }

    async fn write(&self, stream: &mut TcpStream, part: &[u8]) -> std::io::Result<()> {
        let mut writing = std::pin::pin!(stream.write_all(part));
        loop {
            match tokio::time::timeout(HELD_UP_TIME, &mut writing).await {
                Ok(result) => return result,
                Err(_) => self.is_held_up.set(true),
            }
        }
    }

    /// Waits until the router has closed all connections.
    async fn all_closed(&self) {
        wait_until(|| self.closed.get() == self.requests.get()).await;
    }
}

#[test]
fn endless_head_is_given_up_before_the_deadline() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start_alone(&fleet, Endless::Head).await;
        let response = fleet.ask("/once/1", "head").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "504 after the deadline");
        assert_eq!(engine.requests.get(), 1, "a request that must not repeat was sent again");
        engine.all_closed().await;
    });
}

/// Guards against a link and a processor that are taken up by bytes which nobody needs.
#[test]
fn endless_head_that_names_no_request_is_not_read_on() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start_alone(&fleet, Endless::UnnamedHead).await;
        let response = fleet.ask("/once/1", "head").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "504 after the deadline");
        wait_until(|| engine.is_held_up.get() || engine.closed.get() > 0).await;
        assert_eq!(engine.closed.get(), 0, "the request's fate is unknown, and observed");
        let written = engine.written.get();
        assert!(written < HEAD_BYTES + SOCKET_BUFFER_BYTES, "{written} bytes of a head taken");
    });
}

#[test]
fn request_with_an_endless_head_is_retried_at_another_engine() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start(&fleet, Endless::Head).await;
        for number in 0..20 {
            let response = fleet.ask("/again/1", &format!("retried-{number}")).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
        }
        assert!(engine.requests.get() > 0, "the engine got no request");
        engine.all_closed().await;
    });
}

#[test]
fn endless_event_is_given_up_and_takes_bounded_memory() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start_alone(&fleet, Endless::Event).await;
        let response = fleet.ask("/plain-stream/1", "event").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "504 after the deadline");
        engine.all_closed().await;
        assert_eq!(engine.requests.get(), 1, "a request that must not repeat was sent again");
        let written = engine.written.get();
        assert!(written < EVENT_BYTES + SOCKET_BUFFER_BYTES, "{written} bytes of an event taken");
    });
}

#[test]
fn endless_body_is_cut_and_does_not_look_complete() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start_alone(&fleet, Endless::Body).await;
        let response = fleet.ask("/once/1", "body").await;
        assert!(response.body.is_err(), "a body without an end looks complete");
        engine.all_closed().await;
        assert_eq!(engine.requests.get(), 1, "a request that must not repeat was sent again");
        let written = engine.written.get();
        assert!(written < RESPONSE_BYTES + SOCKET_BUFFER_BYTES, "{written} bytes of a body taken");
    });
}

#[test]
fn endless_bytes_after_a_response_reach_no_caller() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = EndlessEngine::start_alone(&fleet, Endless::AfterResponse).await;
        for number in 0..5 {
            let response = fleet.ask("/again/1", &format!("after-{number}")).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
            assert_eq!(response.body.as_deref(), Ok("an answer"));
        }
        engine.all_closed().await;
        let written = engine.written.get();
        assert!(written < 5 * SOCKET_BUFFER_BYTES, "{written} bytes after responses taken");
    });
}
