//! Streams with events after which no engine can be asked to resume.

use crate::support::*;
use hyper::StatusCode;
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const FRAMING: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked";

/// Replaces the fleet's engines. The streams of the new ones have the events 1 and 3 with `middle`
/// between them, and break off after `middle` unless they are resumed.
async fn replace_engines(fleet: &Fleet, middle: &'static str) {
    for name in ["first", "second"] {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let template = fleet.notice(&fleet.engines[0], 1, EngineState::Ready);
        let notice = EngineNotice { engine: BackEndName::new(name), address, ..template };
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepted");
                tokio::task::spawn_local(respond(stream, middle));
            }
        });
        fleet.control.announce(notice).await.expect("accepted");
    }
    for other in &fleet.engines {
        fleet.leave(other.name.id()).await;
    }
    wait_until(|| fleet.router.ready_engine_count() == 2).await;
}

async fn respond(mut stream: TcpStream, middle: &'static str) {
    let mut request = vec![0; 4_096];
    let Ok(length @ 1..) = stream.read(&mut request).await else {
        return;
    };
    let text = String::from_utf8_lossy(&request[..length]).to_string();
    let header = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let id = header("id: ").unwrap_or_default();
    let chunk = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
    let (first, last) = (chunk("id: 1\ndata: a\n\n"), chunk("id: 3\ndata: c\n\n"));
    let events = match header("after: ") {
        None => first + &chunk(middle),
        Some("1") => chunk(middle) + &last + "0\r\n\r\n",
        Some(_) => last + "0\r\n\r\n",
    };
    let response = format!("HTTP/1.1 200 OK\r\nid: {id}\r\n{FRAMING}\r\n\r\n{events}");
    // The router may have closed the connection.
    let _ = stream.write_all(response.as_bytes()).await;
}

async fn stream_with(middle: &'static str) -> CallerResponse {
    let fleet = Fleet::start().await;
    replace_engines(&fleet, middle).await;
    ask_as_caller(fleet.callers, "/stream/1", "r-0-0").await
}

/// Guards against a stream that is resumed after an older event and repeats what followed it.
#[test]
fn stream_is_not_resumed_before_an_event_without_a_usable_id() {
    for middle in [
        "data: b\n\n",
        "id: x\ndata: b\n\n",
        "id: 18446744073709551616\ndata: b\n\n",
        "id: 02\ndata: b\n\n",
        "id: 2\nid: x\ndata: b\n\n",
    ] {
        run_local(async {
            let response = stream_with(middle).await;
            assert_eq!(response.status, StatusCode::OK);
            assert!(response.body.is_err(), "{middle:?}: {response:?}");
        });
    }
}

#[test]
fn stream_is_resumed_across_a_comment() {
    run_local(async {
        let response = stream_with(": ping\n\n").await;
        let body = response.body.expect("whole");
        assert_eq!(body.matches("data: ").count(), 2, "{body}");
    });
}
