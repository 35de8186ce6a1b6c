//! The headers and the configuration of the tests.

use super::{KEY, PREPAID, TOKENS_PER_EVENT};
use hyper::{HeaderMap, StatusCode};
use stackpost_coordinator::DocumentCodec;
use stackpost_gateway::*;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

fn shared_parts(parts: &str) -> impl Iterator<Item = Fingerprint> {
    parts.split(',').map(Fingerprint::of_part)
}

/// The header codec of the tests.
pub struct TestHeaderCodec;

impl HeaderCodec for TestHeaderCodec {
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerRequest, MalformedHeader> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let generation = headers.contains_key("generation").then_some(Generation {
            prompt: Tokens(
                text("prompt").and_then(|prompt| prompt.parse().ok()).unwrap_or(super::PROMPT),
            ),
            shared: Tokens::ZERO,
            max_generated: Tokens(super::MAX_GENERATED),
            prefix_hash: None,
        });
        Ok(CallerRequest {
            id: text("id").unwrap_or_default().into(),
            wait: text("wait").and_then(|wait| wait.parse().ok()).map(Millis),
            key: text("key").map(Into::into),
            generation,
            last_event: text("after").and_then(|event| event.parse().ok()),
            resumes: text("resumes").map(Into::into),
            shared_parts: text("parts").into_iter().flat_map(shared_parts).collect(),
        })
    }

    fn write_engine_headers(
        &self,
        headers: &mut HeaderMap,
        engine_headers: &EngineRequestHeaders<'_>,
    ) {
        headers.remove("key");
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, value.parse().expect("a header value"));
        };
        set("engine", engine_headers.engine.to_string());
        set("wait", engine_headers.wait.0.to_string());
        if let Some(event) = engine_headers.last_event {
            set("after", event.to_string());
        }
    }

    fn request_id_header(&self) -> &'static str {
        "id"
    }

    fn classify_response(
        &self,
        request: &CallerRequest,
        _: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass {
        if headers.contains_key("not-run") {
            return ResponseClass::NotRun;
        }
        match headers.get("id") {
            Some(id) if *id == request.id => ResponseClass::Verified,
            Some(_) => ResponseClass::OtherRequest,
            None => ResponseClass::Unsigned,
        }
    }

    fn read_directives(
        &self,
        _: &CallerRequest,
        _: StatusCode,
        headers: &HeaderMap,
    ) -> EngineDirectives {
        let backoff = headers.get("rest").map(|backoff| backoff.to_str().expect("text"));
        let backoff = backoff.map(|backoff| Millis(backoff.parse().expect("milliseconds")));
        let leaving = headers.contains_key("leaving");
        let rate = headers.get("rate").map(|rate| rate.to_str().expect("text"));
        let rate = rate.map_or(RateStatement::Unlimited, |rate| {
            RateStatement::Limited(rate.parse().expect("a rate"))
        });
        EngineDirectives { backoff, leaving, rate, brittle: None, malformed: Vec::new() }
    }
}

/// Objectives of the routes on which silent engines are noticed early.
const QUICK_OBJECTIVE: Millis = Millis(200);
const QUICK_GAP_OBJECTIVE: Millis = Millis(100);

/// The configuration of the tests; a document holds only its version.
pub struct TestDocumentCodec;

impl DocumentCodec for TestDocumentCodec {
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
            cache_tokens: Tokens(super::ENGINE_MEMORY),
            tokens_per_event: TOKENS_PER_EVENT,
        };
        let service = Service {
            health_path: None,
            max_connections: 100,
            engine: Some(engine),
            cold_rate: None,
        };
        Ok(RoutingConfig {
            version,
            routes: vec![
                route("/once/", RouteKind::NonIdempotent, 2),
                route("/again/", RouteKind::Idempotent, 2),
                route("/stream/", RouteKind::Streaming { resumable: true }, 2),
                route("/plain-stream/", RouteKind::Streaming { resumable: false }, 2),
                Route { objective: QUICK_OBJECTIVE, ..route("/quick/", RouteKind::Idempotent, 2) },
                Route {
                    objective: QUICK_OBJECTIVE,
                    gap_objective: Some(QUICK_GAP_OBJECTIVE),
                    ..route("/quick-stream/", RouteKind::Streaming { resumable: true }, 2)
                },
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
