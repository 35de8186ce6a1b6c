//! One attempt: one request sent to one engine, up to the head of its answer.

use crate::connection_pool::EngineConnection;
use crate::decision_log;
use crate::header_codec::{CallerRequest, EngineDirectives, EngineRequestHeaders, ResponseClass};
use crate::permits::Permit;
use crate::router::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName};
use hyper::http::response;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use stackpost_gateway_core::{AttemptEnd, EngineChoice, EngineRecord, Placement, Standing};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What every attempt of a request sends.
pub(crate) struct Payload {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub caller: CallerRequest,
}

/// An engine for an attempt, and the permit to send the request there if something of it is to be given back.
pub(crate) struct SelectedEngine {
    pub choice: EngineChoice,
    pub permit: Option<Permit>,
}

/// How an attempt went.
pub(crate) enum AttemptResult {
    /// Nothing was sent.
    Unreachable,
    /// The engine says that it did not run the request.
    NotRun,
    /// The connection ended; the request may have run, and the engine may have ended under it.
    Interrupted,
    /// What came is not the answer to this request, which may have run.
    InvalidResponse,
    /// The time for a head is over; the request may have run.
    HeadTimeout,
    /// The head of the engine's answer.
    Answered(Box<EngineResponse>),
}

/// An engine's answer whose body is still to come.
pub(crate) struct EngineResponse {
    pub head: response::Parts,
    pub body: Incoming,
    pub attempt: ActiveAttempt,
}

/// A connection in use and the engine's part in the picker's counts. Dropped without
/// [`Self::finish`] it closes the connection, so that the engine stops.
pub(crate) struct ActiveAttempt {
    router: Rc<Router>,
    engine: EngineRecord,
    placement: Option<Placement>,
    standing: Standing,
    since: Instant,
    /// The same by the router's clock.
    sent_at: Timestamp,
    connection: Option<EngineConnection>,
    /// Kept for as long as the engine works on the request.
    _permit: Option<Permit>,
    ended: bool,
}

impl ActiveAttempt {
    fn new(router: Rc<Router>, choice: EngineChoice, permit: Option<Permit>) -> Self {
        let EngineChoice { engine, placement, standing } = choice;
        router.on_placed(&engine.notice.engine, placement.as_ref());
        let (since, sent_at) = (Instant::now(), router.now());
        Self {
            router,
            engine,
            placement,
            standing,
            since,
            sent_at,
            connection: None,
            _permit: permit,
            ended: false,
        }
    }

    /// What was expected of a generation when it was sent.
    pub fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// The first event of a stream is here. Returns how long that took.
    pub fn on_first_event(&self) -> Duration {
        let took = self.since.elapsed();
        if let Some(placement) = &self.placement {
            let (now, engine) = (self.router.now(), &self.engine.notice.engine);
            let took = Millis(took.as_millis() as u64);
            self.router.picker.borrow_mut().on_first_event(now, engine, placement, took);
        }
        took
    }

    /// How the engine stood when it was chosen.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The engine.
    pub fn engine(&self) -> &EngineRecord {
        &self.engine
    }

    /// The engine's name.
    pub fn name(&self) -> &BackEndName {
        &self.engine.notice.engine
    }

    /// Ends the use. The connection is kept only if `keep` holds the head of an answer that came
    /// in whole and does not say that the connection ends.
    pub fn finish(mut self, end: AttemptEnd, keep: Option<&HeaderMap>) {
        self.end(end);
        let Some(connection) = self.connection.take() else {
            return;
        };
        match keep {
            Some(headers) if !says_close(headers) => {
                let granted = granted_rest(headers);
                self.router.pool.release(&self.engine.notice.engine, connection, granted);
            }
            _ => connection.close(),
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.router.now();
            self.router.metrics.on_attempt_end(end);
            let sent = self.placement.as_ref();
            self.router.picker.borrow_mut().on_end(now, &self.engine, sent, end);
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.end(AttemptEnd::Abandoned);
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}

/// Sends a request to an engine and waits for the head of the answer until `head_until`.
pub(crate) async fn send(
    router: &Rc<Router>,
    chosen: SelectedEngine,
    payload: &Payload,
    addressing: &EngineRequestHeaders<'_>,
    fresh: bool,
    head_until: Instant,
    on_sent: impl FnOnce(),
) -> AttemptResult {
    let mut attempt = ActiveAttempt::new(router.clone(), chosen.choice, chosen.permit);
    let begun = Instant::now();
    let connecting = router.pool.acquire(&attempt.engine, fresh);
    let mut connection = match timeout_at(head_until, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log_end(payload, &attempt, "connect", &error.to_string());
            attempt.finish(AttemptEnd::Unreachable, None);
            return AttemptResult::Unreachable;
        }
        Err(_) => return AttemptResult::Unreachable,
    };
    if !connection.reused {
        router.congestion.on_connected(Instant::now().into_std(), begun.elapsed());
    }
    // While the request waited for a permit or a connection, the engine may have left, or asked for rest in another answer.
    if !router.may_send(attempt.name()) {
        log_end(payload, &attempt, "connect", "the engine takes no more work meanwhile");
        attempt.finish(AttemptEnd::Abandoned, None);
        return AttemptResult::Unreachable;
    }
    let request = engine_request(router, payload, addressing);
    on_sent();
    let answer = connection.sender.try_send_request(request);
    attempt.connection = Some(connection);
    match timeout_at(head_until, answer).await {
        Err(_) => {
            log_end(payload, &attempt, "head", "no head in time");
            attempt.finish(AttemptEnd::Broken, None);
            AttemptResult::HeadTimeout
        }
        Ok(Err(mut error)) => {
            let not_sent = error.take_message().is_some();
            log_end(payload, &attempt, "send", &error.into_error().to_string());
            if not_sent {
                attempt.finish(AttemptEnd::Abandoned, None);
                return AttemptResult::Unreachable;
            }
            attempt.finish(AttemptEnd::Broken, None);
            AttemptResult::Interrupted
        }
        Ok(Ok(response)) => judge(router, payload, attempt, response),
    }
}

fn judge(
    router: &Router,
    payload: &Payload,
    attempt: ActiveAttempt,
    response: hyper::Response<Incoming>,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    match router.header_codec.classify_response(&payload.caller, head.status, &head.headers) {
        ResponseClass::NotRun => {
            let wishes =
                router.header_codec.read_directives(&payload.caller, head.status, &head.headers);
            decision_log::rejected_by_engine(router, payload, &attempt, head.status, &wishes);
            router.on_directives(&payload.caller.id, attempt.name(), attempt.sent_at, &wishes);
            attempt.finish(turned_away_end(head.status, &wishes), None);
            AttemptResult::NotRun
        }
        ResponseClass::WrongEngine => {
            log_end(payload, &attempt, "answer", "another engine is there");
            attempt.finish(AttemptEnd::Unreachable, None);
            AttemptResult::NotRun
        }
        ResponseClass::OtherRequest | ResponseClass::Unsigned => {
            log_end(payload, &attempt, "answer", "not the answer to this request");
            attempt.finish(AttemptEnd::Broken, None);
            AttemptResult::InvalidResponse
        }
        ResponseClass::Verified => {
            let wishes =
                router.header_codec.read_directives(&payload.caller, head.status, &head.headers);
            router.picker.borrow_mut().on_accepted(attempt.name(), attempt.sent_at);
            router.on_directives(&payload.caller.id, attempt.name(), attempt.sent_at, &wishes);
            AttemptResult::Answered(Box::new(EngineResponse { head, body, attempt }))
        }
    }
}

/// What a request that was turned away says of the engine: with a wish for rest only what the engine wants.
fn turned_away_end(status: StatusCode, wishes: &EngineDirectives) -> AttemptEnd {
    match status {
        _ if wishes.backoff.is_some() => AttemptEnd::BackoffRequested,
        StatusCode::SERVICE_UNAVAILABLE => AttemptEnd::Full,
        _ => AttemptEnd::Answered,
    }
}

fn engine_request(
    router: &Router,
    payload: &Payload,
    addressing: &EngineRequestHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(payload.body.clone()));
    *request.method_mut() = payload.method.clone();
    *request.uri_mut() = payload.uri.clone();
    let mut headers = payload.headers.clone();
    router.header_codec.write_engine_headers(&mut headers, addressing);
    *request.headers_mut() = headers;
    request
}

/// Removes what concerns one connection only.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// How long the engine keeps a resting connection, if it says so.
fn granted_rest(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn log_end(payload: &Payload, attempt: &ActiveAttempt, step: &str, reason: &str) {
    log::info!(
        request = payload.caller.id.as_str(),
        engine = attempt.engine.notice.engine.as_str(),
        step = step;
        "attempt failed: {reason}"
    );
}
