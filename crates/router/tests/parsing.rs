//! Parsing of headers, server-sent events and request bodies.

use stackpost_http::{HeaderMap, HeaderName, HeaderValue};
use stackpost_router::attempt::strip_hop_by_hop_headers;
use stackpost_router::chat::ChatRequest;
use stackpost_router::sse::{EventSplitter, event_data};
use stackpost_router_core::Target;

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    let pairs = [
        ("connection", "keep-alive, X-Private"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("te", "trailers"),
        ("upgrade", "websocket"),
        ("x-private", "1"),
        ("x-public", "2"),
        ("content-length", "3"),
    ];
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let forwarded = strip_hop_by_hop_headers(headers);
    let mut names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["content-length", "x-public"]);
}

#[test]
fn events_are_reassembled_at_every_split_point() {
    let text = "data: one\n\n: comment\n\ndata: a\r\ndata: b\r\n\r\ndata: [DO";
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = splitter.push(&text.as_bytes()[..split]);
        events.extend(splitter.push(&text.as_bytes()[split..]));
        let data: Vec<Option<String>> = events.iter().map(|event| event_data(event)).collect();
        assert_eq!(data, [Some("one".into()), None, Some("a\nb".into())], "split at {split}");
        assert!(splitter.has_partial_event());
    }
}

#[test]
fn cost_bound_is_computed_and_token_limit_sent_to_engine() {
    let body = r#"{"model":"m","stream":true,"max_completion_tokens":7,"custom":1,
        "messages":[{"role":"user","content":"0123456789"}]}"#;
    let chat = ChatRequest::parse(body.as_bytes()).expect("a request");
    let Target::Chat { prompt_tokens, max_tokens, .. } = &chat.target else { panic!() };
    // "user\n", ten bytes, "\n" and the 16 tokens that a chat template may add.
    assert_eq!((*prompt_tokens, *max_tokens), (5 + 10 + 1 + 16, Some(7)));
    assert!(!chat.wants_usage);
    let sent: String = String::from_utf8_lossy(&chat.engine_body(Some(7))).into_owned();
    for part in [r#""max_tokens":7"#, r#""include_usage":true"#, r#""custom":1"#] {
        assert!(sent.contains(part), "{sent}");
    }
    assert!(!sent.contains("max_completion_tokens"), "{sent}");
}
