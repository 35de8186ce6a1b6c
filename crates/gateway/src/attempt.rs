//! One attempt: a request is sent to one engine, up to the head of the response.

use crate::bounded_bodies::WholeBody;
use crate::connection_headers::{asks_to_close, keep_alive_timeout};
use crate::connection_pool::EngineConnection;
use crate::decision_log;
use crate::header_codec::{CallerRequest, EngineDirectives, EngineRequestHeaders, ResponseClass};
use crate::metrics::ConnectionOutcome;
use crate::permits::Permit;
use crate::response_head::{self, ResponseHead};
use crate::router::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use stackpost_gateway_core::{
    AttemptEnd, ConnectionPath, DispatchedRequest, EngineChoice, EngineRecord, Placement,
    PlainExpectation, RequestEvidence, Standing,
};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The parts of a request that every attempt sends.
pub(crate) struct Payload {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: WholeBody,
    pub caller: CallerRequest,
}

/// The engine of an attempt, and the permit to send the request there if it must be released
/// afterwards.
pub(crate) struct SelectedEngine {
    pub choice: EngineChoice,
    pub permit: Option<Permit>,
}

/// What an attempt begins with.
pub(crate) struct AttemptStart {
    pub selected: SelectedEngine,
    /// Whether the connection must be a new one.
    pub fresh_connection: bool,
    pub last_heard: LastHeard,
}

/// When an attempt last received a part of its response's body, or began.
#[derive(Clone, Debug)]
pub(crate) struct LastHeard(Rc<Cell<Timestamp>>);

impl LastHeard {
    pub fn new(now: Timestamp) -> Self {
        Self(Rc::new(Cell::new(now)))
    }

    pub fn get(&self) -> Timestamp {
        self.0.get()
    }

    pub fn set(&self, now: Timestamp) {
        self.0.set(now);
    }

    /// Time without a part of the response.
    pub fn silence(&self, now: Timestamp) -> Millis {
        now.since(self.0.get())
    }
}

/// Outcome of an attempt.
pub(crate) enum AttemptResult {
    /// Nothing was sent.
    Unreachable,
    /// The engine states that it did not run the request.
    NotRun,
    /// The connection ended; the request may have run, and the engine may have crashed.
    Interrupted,
    /// The response has an invalid status or does not belong to this request, which may have run.
    InvalidResponse,
    /// No head arrived before the deadline; the request may have run.
    HeadTimeout,
    /// The head of the response was received.
    Responded(Box<EngineResponse>),
}

/// An engine's response whose body has not been read.
pub(crate) struct EngineResponse {
    pub head: response::Parts,
    pub body: Incoming,
    pub attempt: ActiveAttempt,
}

/// A connection in use, and the attempt's share of the picker's counters. If it is dropped without
/// [`Self::finish`], the connection is closed so that the engine stops working on the request.
pub(crate) struct ActiveAttempt {
    router: Rc<Router>,
    /// The id of the request.
    request: String,
    engine: Rc<EngineRecord>,
    placement: Option<Placement>,
    expected: Option<PlainExpectation>,
    standing: Standing,
    started: Instant,
    /// The same instant on the router's clock.
    sent_at: Timestamp,
    /// The request as written to the connection, until that shows what became of it.
    dispatched: Option<DispatchedRequest>,
    last_heard: LastHeard,
    connection: Option<EngineConnection>,
    /// Held while the engine works on the request.
    _permit: Option<Permit>,
    ended: bool,
}

impl ActiveAttempt {
    fn new(
        router: Rc<Router>,
        request: String,
        selected: SelectedEngine,
        last_heard: LastHeard,
    ) -> Self {
        let SelectedEngine { choice, permit } = selected;
        let EngineChoice { engine, placement, expected, standing } = choice;
        router.on_placed(&engine.notice.engine, placement.as_ref());
        let (started, sent_at) = (Instant::now(), router.now());
        Self {
            router,
            request,
            engine: Rc::new(engine),
            placement,
            expected,
            standing,
            started,
            sent_at,
            dispatched: None,
            last_heard,
            connection: None,
            _permit: permit,
            ended: false,
        }
    }

    /// The estimate made for a generation when it was sent.
    pub fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Records the first event of a stream. Returns the time since the attempt began.
    pub fn on_first_event(&self) -> Duration {
        let took = self.started.elapsed();
        if let Some(placement) = &self.placement {
            let (now, engine) = (self.router.now(), &self.engine.notice.engine);
            if self.router.load_settings().engine_model {
                let observed_ms = took.as_secs_f64() * 1_000.0;
                let expected_ms = placement.estimate.first_event_ms;
                self.router.metrics.estimates.on_first_event(expected_ms, observed_ms);
            }
            let took = Millis(took.as_millis() as u64);
            self.router.picker.borrow_mut().on_first_event(now, engine, placement, took);
        }
        took
    }

    /// Records that the request is about to be written to the connection.
    fn on_dispatched(&mut self) {
        let now = self.router.now();
        self.dispatched = self.router.picker.borrow_mut().on_dispatched(now, self.name());
    }

    /// Records what the connection has shown of the request so far.
    fn settle(&mut self) {
        let shown = self.connection.as_ref().and_then(|connection| connection.evidence.shown());
        if let Some(evidence) = shown
            && let Some(request) = self.dispatched.take()
        {
            self.router.on_evidence(self.name(), request, evidence);
        }
    }

    /// Records that nothing of the request was written after all.
    fn on_not_written(&mut self) {
        if let Some(connection) = &self.connection {
            connection.evidence.record(RequestEvidence::on_not_written);
        }
        self.settle();
    }

    /// Records that the head of a response was received. Callers wait for what follows it.
    fn on_head(&mut self) {
        self.settle();
        self.router.picker.borrow_mut().on_heard(self.router.now(), self.name());
    }

    /// Records that a part of the response's body was received.
    pub fn on_heard(&self) {
        let now = self.router.now();
        self.last_heard.set(now);
        self.router.picker.borrow_mut().on_heard(now, self.name());
    }

    /// When a part of the response was last received.
    pub fn last_heard(&self) -> &LastHeard {
        &self.last_heard
    }

    /// Records a pause between two events of a stream.
    pub fn on_pause(&self, pause: Duration) {
        let (now, pause_ms) = (self.router.now(), pause.as_secs_f64() * 1_000.0);
        self.router.picker.borrow_mut().on_pause(now, &self.engine.notice.engine, pause_ms);
    }

    /// Records the response to a request that is not a generation.
    fn on_plain_response(&self, now: Timestamp) {
        let response_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        self.router.picker.borrow_mut().on_plain_response(now, &self.engine, response_ms);
        if let Some(expected) = &self.expected {
            self.router.metrics.estimates.on_plain_response(expected, response_ms);
        }
    }

    /// The router that makes the attempt.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The id of the request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// The engine's standing when it was selected.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn engine(&self) -> &Rc<EngineRecord> {
        &self.engine
    }

    pub fn name(&self) -> &BackEndName {
        &self.engine.notice.engine
    }

    /// Ends the attempt. The connection is kept only if `keep` holds the head of a response that
    /// was received completely and does not ask to close the connection.
    pub fn finish(mut self, end: AttemptEnd, keep: Option<&HeaderMap>) {
        self.end(end);
        match keep {
            Some(headers) if !asks_to_close(headers) => {
                if let Some(connection) = self.connection.take() {
                    let idle_limit = keep_alive_timeout(headers);
                    self.router.pool.release(&self.engine.notice.engine, connection, idle_limit);
                }
            }
            _ => self.close_connection(),
        }
    }

    /// Closes the connection. One whose request the engine may not have read stays open until it
    /// shows what became of the request.
    fn close_connection(&mut self) {
        self.settle();
        let Some(connection) = self.connection.take() else {
            return;
        };
        match self.dispatched.take() {
            Some(request) => self.router.abandon(self.name(), request, connection),
            None => connection.close(),
        }
    }

    fn end(&mut self, end: AttemptEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.router.now();
            if let Some(request) = self.dispatched {
                decision_log::ended_without_response(self, request.sent_at, end);
            }
            self.router.metrics.on_attempt_end(end);
            let sent = self.placement.as_ref();
            if sent.is_none() && end == AttemptEnd::Responded {
                self.on_plain_response(now);
            }
            self.router.picker.borrow_mut().on_attempt_end(now, &self.engine, sent, end);
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.end(AttemptEnd::Abandoned);
        self.close_connection();
    }
}

/// What an attempt sends, and until when it waits for the head of the response.
pub(crate) struct AttemptRequest<'a> {
    pub payload: &'a Payload,
    pub engine_headers: EngineRequestHeaders<'a>,
    pub deadline: Instant,
}

/// Sends a request to an engine and waits for the head of the response.
pub(crate) async fn send(
    router: &Rc<Router>,
    start: AttemptStart,
    request: AttemptRequest<'_>,
    on_sent: impl FnOnce(),
) -> AttemptResult {
    let AttemptRequest { payload, engine_headers, deadline } = request;
    let AttemptStart { selected, fresh_connection, last_heard } = start;
    let id = payload.caller.id.clone();
    let mut attempt = ActiveAttempt::new(router.clone(), id, selected, last_heard);
    let connecting = router.connect(&attempt.engine, fresh_connection);
    let mut connection = match timeout_at(deadline, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log_end(payload, &attempt, "connect", &error.to_string());
            router.metrics.on_engine_connection(ConnectionOutcome::Failed);
            attempt.finish(AttemptEnd::Unreachable, None);
            return AttemptResult::Unreachable;
        }
        Err(_) => {
            log_end(payload, &attempt, "connect", "no connection before the deadline");
            router.metrics.on_engine_connection(ConnectionOutcome::Failed);
            return AttemptResult::Unreachable;
        }
    };
    let shows_reachability = !connection.reused && connection.path == ConnectionPath::Direct;
    router.metrics.on_engine_connection(connection_outcome(&connection));
    router.wait_until_current().await;
    // While the request waited for a permit or a connection, the engine may have left, or asked for
    // a backoff in another response.
    if !router.may_send(attempt.name()) {
        log_end(payload, &attempt, "connect", "engine has since left or asked for a backoff");
        attempt.finish(AttemptEnd::Abandoned, None);
        return AttemptResult::Unreachable;
    }
    let request = engine_request(router, payload, &engine_headers);
    on_sent();
    attempt.on_dispatched();
    connection.begin_request(router.header_codec.request_id_header(), &payload.caller.id);
    let exchange = response_head::send_request(&mut connection, request);
    attempt.connection = Some(connection);
    match exchange.head(deadline).await {
        ResponseHead::DeadlineExceeded => {
            log_end(payload, &attempt, "head", "no response head before the deadline");
            attempt.finish(AttemptEnd::Interrupted, None);
            AttemptResult::HeadTimeout
        }
        ResponseHead::Incomplete => {
            log_end(payload, &attempt, "head", "the response head does not end");
            attempt.finish(AttemptEnd::Interrupted, None);
            AttemptResult::InvalidResponse
        }
        ResponseHead::Failed(mut error) => {
            let not_sent = error.take_message().is_some();
            let error = error.into_error();
            log_end(payload, &attempt, "send", &error.to_string());
            if not_sent {
                attempt.on_not_written();
                attempt.finish(AttemptEnd::Abandoned, None);
                return AttemptResult::Unreachable;
            }
            if shows_reachability {
                router.on_connection_failed(attempt.name());
            }
            attempt.finish(AttemptEnd::Interrupted, None);
            AttemptResult::Interrupted
        }
        ResponseHead::Received(response) => {
            attempt.on_head();
            if shows_reachability {
                router.on_connection_succeeded(attempt.name(), attempt.sent_at);
            }
            classify(router, payload, attempt, response)
        }
    }
}

fn connection_outcome(connection: &EngineConnection) -> ConnectionOutcome {
    match connection.path {
        _ if connection.reused => ConnectionOutcome::Reused,
        ConnectionPath::Direct => ConnectionOutcome::Opened,
        ConnectionPath::Relayed => ConnectionOutcome::Relayed,
    }
}

fn classify(
    router: &Router,
    payload: &Payload,
    attempt: ActiveAttempt,
    response: hyper::Response<Incoming>,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    if !response_head::is_final(head.status) {
        let reason = format!("status {} ends no exchange", head.status.as_u16());
        log_end(payload, &attempt, "answer", &reason);
        attempt.finish(AttemptEnd::Interrupted, None);
        return AttemptResult::InvalidResponse;
    }
    match router.header_codec.classify_response(&payload.caller, head.status, &head.headers) {
        ResponseClass::NotRun => {
            let directives =
                router.header_codec.read_directives(&payload.caller, head.status, &head.headers);
            decision_log::rejected_by_engine(router, payload, &attempt, head.status, &directives);
            router.on_directives(&payload.caller.id, attempt.name(), attempt.sent_at, &directives);
            let end = rejection_end(head.status, &directives);
            if end == AttemptEnd::Full {
                router.on_rejected_for_room(&attempt.engine);
            }
            attempt.finish(end, None);
            AttemptResult::NotRun
        }
        ResponseClass::WrongEngine => {
            log_end(payload, &attempt, "answer", "another engine responded at this address");
            attempt.finish(AttemptEnd::Unreachable, None);
            AttemptResult::NotRun
        }
        ResponseClass::OtherRequest | ResponseClass::Unsigned => {
            log_end(payload, &attempt, "answer", "response does not belong to this request");
            attempt.finish(AttemptEnd::Interrupted, None);
            AttemptResult::InvalidResponse
        }
        ResponseClass::Verified => {
            let directives =
                router.header_codec.read_directives(&payload.caller, head.status, &head.headers);
            router.picker.borrow_mut().on_accepted(attempt.name(), attempt.sent_at);
            let (now, closes) = (router.now(), asks_to_close(&head.headers));
            router.leave_hints.borrow_mut().on_response(now, attempt.name(), closes);
            router.on_directives(&payload.caller.id, attempt.name(), attempt.sent_at, &directives);
            AttemptResult::Responded(Box::new(EngineResponse { head, body, attempt }))
        }
    }
}

/// What a rejection shows of the engine: with a backoff directive only that it wants a backoff.
fn rejection_end(status: StatusCode, directives: &EngineDirectives) -> AttemptEnd {
    match status {
        _ if directives.backoff.is_some() => AttemptEnd::BackoffRequested,
        StatusCode::SERVICE_UNAVAILABLE => AttemptEnd::Full,
        _ => AttemptEnd::Responded,
    }
}

fn engine_request(
    router: &Router,
    payload: &Payload,
    engine_headers: &EngineRequestHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(payload.body.bytes().clone()));
    *request.method_mut() = payload.method.clone();
    *request.uri_mut() = payload.uri.clone();
    let mut headers = payload.headers.clone();
    router.header_codec.write_engine_headers(&mut headers, engine_headers);
    *request.headers_mut() = headers;
    request
}

fn log_end(payload: &Payload, attempt: &ActiveAttempt, step: &str, reason: &str) {
    log::info!(
        request = payload.caller.id.as_str(),
        engine = attempt.engine.notice.engine.as_str(),
        step = step;
        "attempt failed: {reason}"
    );
}
