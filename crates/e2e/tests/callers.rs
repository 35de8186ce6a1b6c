//! Behaviour towards callers: an unmodified client library, errors, replays and disconnects.

use async_openai::Client as OpenAi;
use async_openai::config::OpenAIConfig;
use async_openai::types::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use futures::StreamExt;
use http_body_util::BodyExt;
use stackpost_e2e::{ApiRequest, Fleet, KEY, MODEL, wait_for};
use stackpost_http::{Client, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn openai_request(stream: bool) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("When does the boat leave? tokens=12")
        .build()
        .expect("a message");
    CreateChatCompletionRequestArgs::default()
        .model(MODEL)
        .messages([message.into()])
        .max_tokens(50_u32)
        .stream(stream)
        .build()
        .expect("a request")
}

#[tokio::test]
async fn an_unmodified_openai_client_library_works() {
    let fleet = Fleet::start(101).await;
    let config = OpenAIConfig::new()
        .with_api_key(KEY)
        .with_api_base(format!("http://{}/v1", fleet.api("a-1")));
    let client = OpenAi::with_config(config);

    let models = client.models().list().await.expect("the list of models");
    assert_eq!(models.data[0].id, MODEL);

    let completion = client.chat().create(openai_request(false)).await.expect("a response");
    let text = completion.choices[0].message.content.clone().unwrap_or_default();
    assert_eq!(text.split_whitespace().count(), 12);
    assert_eq!(completion.usage.expect("usage").completion_tokens, 12);

    let mut stream = client.chat().create_stream(openai_request(true)).await.expect("a stream");
    let mut words = 0;
    while let Some(chunk) = stream.next().await {
        for choice in chunk.expect("a chunk").choices {
            words += choice.delta.content.map_or(0, |text| text.split_whitespace().count());
        }
    }
    assert_eq!(words, 12);
}

#[tokio::test]
async fn each_invalid_request_gets_its_error_and_is_not_billed() {
    let fleet = Fleet::start(102).await;
    let api = fleet.api("a-1");
    let chat = "/v1/chat/completions";
    let message = r#""messages":[{"role":"user","content":"x"}]"#;
    let cases = [
        (
            ApiRequest { key: "wrong".into(), ..ApiRequest::chat(api, "x", 5, false) },
            401,
            "wrong_key",
        ),
        (
            ApiRequest { key: String::new(), ..ApiRequest::chat(api, "x", 5, false) },
            401,
            "missing_key",
        ),
        (ApiRequest::post(api, chat, "{"), 400, "malformed_json"),
        (ApiRequest::post(api, chat, "[]"), 400, "malformed_json"),
        (ApiRequest::post(api, chat, r#"{"model":"chat"}"#), 400, "invalid_field"),
        (
            ApiRequest::post(api, chat, format!(r#"{{"model":"other",{message}}}"#)),
            404,
            "unknown_model",
        ),
        (
            ApiRequest::post(api, chat, format!(r#"{{"model":"chat","max_tokens":0,{message}}}"#)),
            400,
            "max_tokens_invalid",
        ),
        (
            ApiRequest::post(api, chat, format!(r#"{{"model":"chat","max_tokens":-3,{message}}}"#)),
            400,
            "invalid_field",
        ),
        (
            ApiRequest::post(
                api,
                chat,
                format!(r#"{{"model":"chat","max_tokens":99999999,{message}}}"#),
            ),
            400,
            "max_tokens_too_large",
        ),
        (ApiRequest::post(api, chat, "x".repeat(2_000_000)), 413, "body_too_large"),
        (ApiRequest::post(api, "/nowhere", ""), 404, "unknown_route"),
        (ApiRequest::chat(api, "x", 5, false).keyed(&"k".repeat(300)), 400, "invalid_key"),
    ];
    for (api_request, status, code) in cases {
        let response = api_request.send().await.expect("a response");
        assert_eq!(
            (response.status.as_u16(), response.code().as_str()),
            (status, code),
            "{}",
            response.body
        );
        assert_eq!(response.outcome(), "not_run");
        assert!(!response.request_id().is_empty());
    }
    incomplete_body_is_refused(&fleet).await;
    assert!(fleet.journal().is_empty(), "{:?}", fleet.journal());
    assert!(fleet.bills().await.is_empty());
}

async fn incomplete_body_is_refused(fleet: &Fleet) {
    let mut socket = TcpStream::connect(fleet.api("a-1")).await.expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{\"model\""
    );
    socket.write_all(head.as_bytes()).await.expect("the head is sent");
    let mut response = Vec::new();
    // The rest of the body is never sent; the router responds after its body timeout.
    let _ = socket.read_buf(&mut response).await.expect("a response");
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

#[tokio::test]
async fn a_keyed_request_runs_once_and_any_router_replays_it() {
    let fleet = Fleet::start(103).await;
    let api_request = ApiRequest::chat(fleet.api("a-1"), "refund", 20, false).keyed("refund-1");
    let first = api_request.send().await.expect("a response");
    assert_eq!(first.status, StatusCode::OK);
    for machine in ["a-1", "a-2", "b-1", "b-2"] {
        let replayed = api_request.clone().to(fleet.api(machine)).send().await.expect("a response");
        assert_eq!(replayed.body, first.body, "{machine}");
        assert_eq!(
            replayed.headers.get("idempotent-replayed").map(|v| v.as_bytes()),
            Some(&b"true"[..])
        );
    }
    let other = ApiRequest::chat(fleet.api("b-1"), "another", 20, false).keyed("refund-1");
    assert_eq!(other.send().await.expect("a response").code(), "key_reused");
    let started = fleet.journal().into_iter().filter(|entry| entry.event == "started").count();
    assert_eq!(started, 1);
    let bills = wait_for("the request is billed", || async {
        let bills = fleet.bills().await;
        (!bills.is_empty()).then_some(bills)
    })
    .await;
    assert_eq!(bills.len(), 1, "{bills:?}");
    assert_eq!(bills[0].request, first.request_id());
}

#[tokio::test]
async fn a_disconnect_mid_stream_cancels_and_bills_the_generated_tokens() {
    let fleet = Fleet::start_with(104, &["--token-us", "10000"]).await;
    let client = Client::unpooled();
    let api_request = ApiRequest::chat(fleet.api("a-1"), "long", 2_000, true);
    let (status, headers, mut body) =
        api_request.send_streaming(&client).await.expect("a response");
    assert_eq!(status, StatusCode::OK);
    let request_id = headers["x-request-id"].to_str().expect("a text header").to_string();
    for _ in 0..5 {
        body.frame().await.expect("a frame").expect("a readable frame");
    }
    drop(body);
    let disconnected_at = std::time::Instant::now();
    let cancelled = wait_for("the engine cancels the request", || async {
        fleet.journal_of(&request_id).into_iter().find(|entry| entry.event == "cancelled")
    })
    .await;
    assert!(disconnected_at.elapsed().as_secs() < 2, "{:?}", disconnected_at.elapsed());
    let bill =
        wait_for("the request is billed", || async { fleet.bills_of(&request_id).await.pop() })
            .await;
    let generated = cancelled.prompt_tokens + cancelled.completion_tokens;
    assert!(bill.tokens <= generated + 5 && bill.tokens + 5 >= generated / 2, "{bill:?}");
}

#[tokio::test]
async fn plain_bodies_and_statuses_pass_through_unchanged() {
    let fleet = Fleet::start(105).await;
    let body = "z".repeat(700_000);
    let response = ApiRequest::post(fleet.api("b-2"), "/timetable?bytes=300000", body).send().await;
    let response = response.expect("a response");
    assert_eq!((response.status, response.body.len()), (StatusCode::OK, 300_000));
    let response = ApiRequest::post(fleet.api("b-2"), "/tickets?status=503", "x").send().await;
    assert_eq!(response.expect("a response").status, StatusCode::SERVICE_UNAVAILABLE);
}
