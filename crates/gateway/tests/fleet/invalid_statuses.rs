//! Engines whose responses have a status that ends no exchange: callers never receive them.

use crate::support::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

const STATUS_LINES: [&str; 14] = [
    "000 Odd",
    "099 Odd",
    "0200 OK",
    "20 OK",
    "1000 Odd",
    "-01 Odd",
    "101 Switching Protocols",
    "199 Odd",
    "600 Odd",
    "999 Odd",
    "103 Early Hints\r\nid: {id}\r\n\r\nHTTP/1.1 000 Odd",
    "103 Early Hints\r\nid: {id}\r\n\r\nHTTP/1.1 101 Switching Protocols",
    "103 Early Hints\r\nid: {id}\r\n\r\nHTTP/1.1 600 Odd",
    "",
];

fn odd_response(request: &RequestHead, status_line: &str) -> Script {
    let id = request.id();
    let status_line = status_line.replace("{id}", id);
    let stream =
        "content-type: text/event-stream\r\ncontent-length: 19\r\n\r\nid: 1\ndata: odd-a\n\n";
    Script::kept(format!("HTTP/1.1 {status_line}\r\nid: {id}\r\nsignature: s\r\n{stream}"))
}

/// What the engine responds with, and how many requests it has read.
#[derive(Clone)]
struct Plan {
    status_line: Rc<Cell<&'static str>>,
    requests: Rc<Cell<usize>>,
}

async fn assert_never_received(fleet: &Fleet, callers: SocketAddr) {
    let plan = Plan { status_line: Rc::new(Cell::new("")), requests: Rc::default() };
    let followed = plan.clone();
    replace_engines(fleet, 1, move |request| {
        followed.requests.set(followed.requests.get() + 1);
        odd_response(request, followed.status_line.get())
    })
    .await;
    for status_line in STATUS_LINES {
        plan.status_line.set(status_line);
        plan.requests.set(0);
        for path in ["/once/1", "/again/1", "/stream/1", "/plain-stream/1"] {
            let response = ask_as_caller(callers, path, "r-0-0").await;
            let (status, body) = (response.status.as_u16(), response.body.unwrap_or_default());
            assert!((500..600).contains(&status), "{status_line:?} at {path}: {status}");
            assert!(!body.contains("odd-a"), "{status_line:?} at {path}: {body}");
        }
        assert!(plan.requests.get() >= 4, "{status_line:?}: {} requests", plan.requests.get());
    }
}

/// Guards against an engine's invalid status that a caller takes for an answer, or for another
/// protocol on its connection.
#[test]
fn response_with_an_invalid_status_never_reaches_a_caller() {
    run_local(async {
        let fleet = Fleet::start().await;
        assert_never_received(&fleet, fleet.callers).await;
    });
}

#[test]
fn relayed_response_with_an_invalid_status_never_reaches_a_caller() {
    run_local(async {
        let fleet = Fleet::start().await;
        let cut = fleet.add_isolated_router().await;
        assert_never_received(&fleet, cut.callers).await;
    });
}

#[test]
fn idempotent_request_is_served_beside_an_engine_with_an_invalid_status() {
    run_local(async {
        for status_line in ["000 Odd", "101 Switching Protocols", "600 Odd"] {
            let fleet = Fleet::start().await;
            let runs = Rc::new(Cell::new(0));
            replace_engines(&fleet, 2, move |request| {
                runs.set(runs.get() + 1);
                let id = request.id();
                match runs.get() {
                    1 => odd_response(request, status_line),
                    _ => Script::kept(format!(
                        "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\nok"
                    )),
                }
            })
            .await;
            let response = fleet.ask("/again/1", "r-0-0").await;
            assert_eq!(response.body.as_deref(), Ok("ok"), "{status_line}");
        }
    });
}
