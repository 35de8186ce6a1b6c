//! Engines that stop anywhere in a response and close or reset the connection: callers never receive
//! the rest as a whole response.

use crate::support::*;
use hyper::StatusCode;
use socket2::SockRef;
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time for the router to receive what precedes a reset, which discards what was not read.
const DELIVERY_TIME: Duration = Duration::from_millis(3);
/// Bytes of a body that is not buffered whole.
const LARGE_BODY_BYTES: usize = 300 * 1024;

/// How a cut response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// What an engine responds with. The id of the request stands in place of `{id}`.
struct Template {
    name: &'static str,
    head: &'static str,
    body: Vec<u8>,
    /// Whether the end of the body is the end of the connection.
    ends_with_connection: bool,
}

impl Template {
    fn new(name: &'static str, head: &'static str, body: impl Into<Vec<u8>>) -> Self {
        Self { name, head, body: body.into(), ends_with_connection: false }
    }

    fn bytes(&self, id: &str) -> Vec<u8> {
        [self.head.replace("{id}", id).as_bytes(), &self.body].concat()
    }
}

fn templates() -> Vec<Template> {
    let large = [b"4b000\r\n".as_slice(), &[b'x'; LARGE_BODY_BYTES], b"\r\n0\r\n\r\n"].concat();
    vec![
        Template::new(
            "length",
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ncontent-length: 9\r\n\r\n",
            "an answer",
        ),
        Template::new(
            "length first",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nid: {id}\r\nsignature: s\r\n\r\n",
            "",
        ),
        Template {
            ends_with_connection: true,
            ..Template::new(
                "no length",
                "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n\r\n",
                "an answer",
            )
        },
        Template::new(
            "chunks",
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n",
            "9\r\nan answer\r\n0\r\n\r\n",
        ),
        Template::new(
            "informational",
            "HTTP/1.1 103 Early Hints\r\nid: {id}\r\n\r\nHTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\n",
            "ok",
        ),
        Template::new(
            "large",
            "HTTP/1.1 200 OK\r\nid: {id}\r\ntransfer-encoding: chunked\r\n\r\n",
            large,
        ),
    ]
}

/// A stream of two events.
fn stream() -> Template {
    Template::new(
        "stream",
        "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
    )
}

/// What an engine does with its requests.
#[derive(Default)]
struct Plan {
    /// Bytes after which a response ends.
    cut_at: Cell<usize>,
    ending: Cell<Option<Ending>>,
    /// Whole responses that precede the cut one on a connection.
    whole_before: Cell<usize>,
    response: RefCell<Option<Rc<Template>>>,
    requests: Cell<usize>,
}

/// An engine whose responses are cut.
struct CutEngine(Rc<Plan>);

impl CutEngine {
    async fn start() -> (Self, std::net::SocketAddr) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let plan = Rc::new(Plan::default());
        let serving = plan.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepted");
                tokio::task::spawn_local(respond(serving.clone(), stream));
            }
        });
        (Self(plan), address)
    }

    /// Takes the place of the fleet's engines.
    async fn replace_engines(fleet: &Fleet) -> Self {
        let (engine, address) = Self::start().await;
        let template = fleet.notice(&fleet.engines[0], 1, EngineState::Ready);
        let notice = EngineNotice { engine: BackEndName::new("cut"), address, ..template };
        fleet.control.announce(notice).await.expect("accepted");
        for other in &fleet.engines {
            fleet.leave(other.name.id()).await;
        }
        engine
    }

    /// Plans the next responses; without an ending they are whole.
    fn plan(&self, template: &Rc<Template>, cut_at: usize, ending: Option<Ending>) {
        self.0.response.replace(Some(template.clone()));
        self.0.cut_at.set(cut_at);
        self.0.ending.set(ending);
    }
}

async fn respond(plan: Rc<Plan>, mut stream: TcpStream) {
    let mut whole_left = plan.whole_before.get();
    let mut request = vec![0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut request).await {
        plan.requests.set(plan.requests.get() + 1);
        let text = String::from_utf8_lossy(&request[..length]).to_string();
        let id = text.lines().find_map(|line| line.strip_prefix("id: ")).unwrap_or_default();
        let template = plan.response.borrow().clone().expect("planned");
        let bytes = template.bytes(id);
        let is_cut = plan.ending.get().is_some() && whole_left == 0;
        let end = if is_cut { plan.cut_at.get().min(bytes.len()) } else { bytes.len() };
        // The router may have closed the connection.
        let _ = stream.write_all(&bytes[..end]).await;
        if is_cut || template.ends_with_connection {
            if plan.ending.get() == Some(Ending::Reset) && is_cut {
                tokio::time::sleep(DELIVERY_TIME).await;
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        whole_left -= usize::from(whole_left > 0);
    }
}

/// Positions at which a response is cut: each byte of the head and of a small body, and some of a
/// large one.
fn cuts(template: &Template) -> Vec<usize> {
    let length = template.bytes("r-0-0").len();
    let head = length - template.body.len();
    let small = (0..length.min(head + 64)).chain(length.saturating_sub(12)..length);
    let mut cuts: Vec<usize> = small.chain((head..length).step_by(40_000)).collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Whether nothing tells a caller that a response which ends there is not whole.
fn looks_whole(template: &Template, cut_at: usize, ending: Ending) -> bool {
    let head = template.bytes("r-0-0").len() - template.body.len();
    template.ends_with_connection && ending == Ending::Close && cut_at >= head
}

async fn assert_never_whole(
    engine: &CutEngine,
    callers: std::net::SocketAddr,
    template: Template,
    path: &str,
) {
    let template = Rc::new(template);
    let mut number = 0;
    for ending in [Ending::Close, Ending::Reset] {
        let (before, cuts) = (engine.0.requests.get(), cuts(&template));
        for cut_at in &cuts {
            number += 1;
            engine.plan(&template, *cut_at, Some(ending));
            let id = format!("r-{}-{}", number % 10, number / 10 % 10);
            let response = ask_as_caller(callers, path, &id).await;
            let is_whole = response.status == StatusCode::OK && response.body.is_ok();
            assert!(
                !is_whole || looks_whole(&template, *cut_at, ending),
                "{} cut at {cut_at} by {ending:?}: {response:?}",
                template.name
            );
        }
        let reached = engine.0.requests.get() - before;
        assert!(reached >= cuts.len(), "{}: {reached} requests for {}", template.name, cuts.len());
    }
    engine.plan(&template, 0, None);
    let whole = ask_as_caller(callers, path, "r-0-0").await;
    assert!(whole.status == StatusCode::OK && whole.body.is_ok(), "{}: {whole:?}", template.name);
}

#[test]
fn response_that_is_cut_anywhere_is_never_whole() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = CutEngine::replace_engines(&fleet).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        for template in templates() {
            assert_never_whole(&engine, fleet.callers, template, "/once/1").await;
        }
        assert_never_whole(&engine, fleet.callers, stream(), "/stream/1").await;
    });
}

#[test]
fn second_response_of_a_connection_that_is_cut_anywhere_is_never_whole() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = CutEngine::replace_engines(&fleet).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        engine.0.whole_before.set(1);
        let template = Rc::new(templates().remove(0));
        for ending in [Ending::Close, Ending::Reset] {
            for cut_at in cuts(&template) {
                engine.plan(&template, cut_at, Some(ending));
                let first = fleet.ask("/again/1", "r-0-0").await;
                assert_eq!(first.body.as_deref(), Ok("an answer"));
                let second = fleet.ask("/again/1", "r-0-1").await;
                let is_whole = second.status == StatusCode::OK && second.body.is_ok();
                assert!(!is_whole, "cut at {cut_at} by {ending:?}: {second:?}");
            }
        }
    });
}

#[test]
fn relayed_response_that_is_cut_anywhere_is_never_whole() {
    run_local(async {
        let fleet = Fleet::start().await;
        let cut = fleet.add_isolated_router().await;
        let engine = CutEngine::replace_engines(&fleet).await;
        wait_until(|| cut.router.ready_engine_count() == 1).await;
        for template in templates() {
            assert_never_whole(&engine, cut.callers, template, "/once/1").await;
        }
        assert_never_whole(&engine, cut.callers, stream(), "/stream/1").await;
    });
}
