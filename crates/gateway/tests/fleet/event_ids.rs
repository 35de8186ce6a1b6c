//! Streams with events after which no engine can be asked to resume.

use crate::support::*;
use hyper::StatusCode;

const FRAMING: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked";

/// A stream with the events 1 and 3 and `middle` between them. It breaks off after `middle` unless
/// it is resumed.
fn stream(request: &RequestHead, middle: &str) -> Script {
    let chunk = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
    let (first, last) = (chunk("id: 1\ndata: a\n\n"), chunk("id: 3\ndata: c\n\n"));
    let events = match request.header("after") {
        None => first + &chunk(middle),
        Some("1") => chunk(middle) + &last + "0\r\n\r\n",
        Some(_) => last + "0\r\n\r\n",
    };
    let id = request.id();
    Script::closing(format!("HTTP/1.1 200 OK\r\nid: {id}\r\n{FRAMING}\r\n\r\n{events}"))
}

async fn stream_with(middle: &'static str) -> CallerResponse {
    let fleet = Fleet::start().await;
    replace_engines(&fleet, 2, move |request| stream(request, middle)).await;
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
