//! Handles one request up to the head of its response.

use crate::attempt::{AttemptStart, EngineResponse, Payload};
use crate::body::GatewayBody;
use crate::bounded_bodies::{BodyReadError, WholeBody, discard};
use crate::buffered_response::BufferedResponse;
use crate::client_connections::ClientConnection;
use crate::connection_headers::strip_connection_headers;
use crate::deadline::Deadline;
use crate::header_codec::CallerRequest;
use crate::hedged_attempts::{FailedAttempt, FailureEffect, HedgedAttempts};
use crate::hedging_log::AwaitedPart;
use crate::large_response::{self, LargeResponse};
use crate::refusal::Refusal;
use crate::relay::{self, StartedStream};
use crate::reservation::{Reservation, ReservationRequest};
use crate::retry::NoRetry;
use crate::router::Router;
use crate::select_engine::max_permit_wait;
use futures::FutureExt;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use stackpost_gateway_core::{Admission, Route, RouteTable, Tenant};
use stackpost_types::{BackEndName, Digest, Millis, ServiceName, SoftwareVersion};
use std::any::Any;
use std::cell::{Cell, OnceCell};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait for tokens, in percent of the objective: a later refusal costs more than the wait
/// saves.
const TOKEN_WAIT_PERCENT: u64 = 22;
/// Longest wait for memory for the body, in percent of the time for the request: the request
/// itself needs the rest.
const ROOM_WAIT_PERCENT: u32 = 25;
/// Timeout of requests whose caller states none.
const DEFAULT_CALLER_TIMEOUT: Millis = Millis(15_000);

/// Gap objective of routes that configure none.
const DEFAULT_GAP_OBJECTIVE: Millis = Millis(1_000);

/// State of a request that is shared by its attempts.
pub(crate) struct RequestContext {
    pub router: Rc<Router>,
    pub table: Rc<RouteTable>,
    pub route: Route,
    pub tenant: Option<Tenant>,
    pub service: ServiceName,
    pub payload: Payload,
    pub reservation: Option<Reservation>,
    pub deadline: Deadline,
    pub arrived: Instant,
    /// When its body had arrived as well.
    pub received: Instant,
    /// Time left to wait for permits, over all attempts.
    pub permit_wait_left: Cell<Duration>,
    /// Whether it was admitted to learn whether its quarantined parts are sound.
    pub is_trial: Cell<bool>,
    /// The software version that began the stream, from its first event on. Further attempts use
    /// engines of this version only.
    pub stream_version: OnceCell<SoftwareVersion>,
}

/// Outcome of the attempts so far.
#[derive(Default)]
pub(crate) struct Progress {
    /// Engines that the request was sent to, or is being sent to.
    pub tried: Vec<BackEndName>,
    /// Engines that could not be reached.
    pub unreachable: Vec<BackEndName>,
    /// Engines that are silent, which a further attempt beside silent ones skips.
    pub silent: Vec<BackEndName>,
    pub may_have_run: bool,
    /// Whether an engine may have ended the response because the caller reads too slowly. Another
    /// engine would do the same.
    pub ended_unread: bool,
    /// Whether the caller has received the beginning of a response.
    pub response_started: bool,
    /// An engine's error response, returned to the caller if no later attempt succeeds.
    pub failure: Option<BufferedResponse>,
}

impl Progress {
    /// Whether an attempt was made.
    pub fn has_attempts(&self) -> bool {
        !self.tried.is_empty() || !self.unreachable.is_empty()
    }

    /// Records an attempt that failed at an engine.
    pub fn on_failed(&mut self, engine: &BackEndName, failed: FailedAttempt) {
        match failed.effect {
            FailureEffect::NotRun => {}
            FailureEffect::MayHaveRun => self.may_have_run = true,
            FailureEffect::EndedUnread => {
                self.may_have_run = true;
                self.ended_unread = true;
            }
            FailureEffect::Unreachable => {
                self.tried.retain(|tried| tried != engine);
                self.unreachable.push(engine.clone());
            }
        }
        self.failure = failed.response.or(self.failure.take());
    }
}

/// What an attempt yields for the caller.
pub(crate) enum Answer {
    /// A stream whose first event was received.
    Stream(Box<StartedStream>),
    /// A whole response.
    Whole(Response<GatewayBody>),
    /// A response above the buffer limit, whose remainder is to be forwarded.
    Large(Box<LargeResponse>),
}

/// Serves one request. The future is dropped when the caller disconnects, which cancels the attempt
/// in progress.
pub(crate) async fn serve(
    router: Rc<Router>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Response<GatewayBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let caller = match router.header_codec.read_request(&head.headers) {
        Ok(caller) => caller,
        Err(error) => {
            log::info!("refused: {error}");
            return Refusal::Malformed.into_response();
        }
    };
    let id = caller.id.clone();
    let metrics_router = router.clone();
    let handling =
        AssertUnwindSafe(handle(router, client, head, body, caller, arrived)).catch_unwind();
    match handling.await.unwrap_or_else(|panic| Err(on_panic(&id, panic.as_ref()))) {
        Ok(response) => {
            metrics_router.metrics.on_response(arrived.elapsed());
            response
        }
        Err(refusal) => {
            metrics_router.metrics.on_refusal(refusal);
            log::info!(
                request = id.as_str(),
                reason = refusal.code(),
                status = refusal.status().as_u16(),
                held_ms = arrived.elapsed().as_millis() as u64;
                "refused"
            );
            refusal.into_response()
        }
    }
}

/// Logs a panic under a request. It is not known whether an engine has run the request.
fn on_panic(id: &str, panic: &(dyn Any + Send)) -> Refusal {
    let literal = panic.downcast_ref::<&str>().copied();
    let reason = literal.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let reason = reason.unwrap_or("no message");
    log::error!(request = id, step = "request"; "panicked: {reason}");
    Refusal::ResponseLost
}

async fn handle(
    router: Rc<Router>,
    client: &Rc<ClientConnection>,
    head: request::Parts,
    body: Incoming,
    caller: CallerRequest,
    arrived: Instant,
) -> Result<Response<GatewayBody>, Refusal> {
    let table = router.table().ok_or(Refusal::NotConfigured)?;
    let (route, tenant) = admit(&router, &table, &head, caller.key.as_deref())?;
    if router.refuses_new_requests() {
        return Err(Refusal::Stopping);
    }
    let (route, tenant) = (route.clone(), tenant.cloned());
    let wait = caller.wait.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let deadline =
        Deadline::after(Duration::from_millis(wait.0.min(route.timeout.0)), router.clock.clone());
    let read = read_body(&router, client, &table, &route, &deadline, body);
    let body =
        timeout_at(deadline.timer(), read).await.map_err(|_| Refusal::DeadlineExceeded)??;
    client.on_body_ended();
    let service = route.service_for(&caller.id).clone();
    router.retry_budget.borrow_mut().note_request(router.now(), &service);
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let payload = Payload { method: head.method, uri: head.uri, headers, body, caller };
    let permit_wait_left = Cell::new(max_permit_wait(&route));
    let mut context = RequestContext {
        router,
        table,
        route,
        tenant,
        service,
        payload,
        reservation: None,
        deadline,
        arrived,
        received: Instant::now(),
        permit_wait_left,
        is_trial: Cell::new(false),
        stream_version: OnceCell::new(),
    };
    context.refuse_if_quarantined()?;
    context.refuse_if_exceeds_engine_memory()?;
    context.refuse_if_unservable()?;
    context.bind_resumed_stream().await?;
    context.refuse_if_shed()?;
    context.refuse_if_rate_limited()?;
    context.reservation = context.reserve().await?;
    // A quarantine notice may have arrived during the wait for tokens.
    context.refuse_if_quarantined()?;
    context.run().await
}

fn admit<'a>(
    router: &Router,
    table: &'a RouteTable,
    head: &request::Parts,
    key: Option<&str>,
) -> Result<(&'a Route, Option<&'a Tenant>), Refusal> {
    let host = host(&head.uri, &head.headers);
    let stale_unless_connected =
        |refusal| if router.is_connected_to_leader() { refusal } else { Refusal::ConfigMayBeStale };
    match table.admit(host, head.uri.path(), key) {
        Admission::NoRoute => Err(stale_unless_connected(Refusal::NoRoute)),
        Admission::UnknownKey => Err(stale_unless_connected(Refusal::UnknownKey)),
        Admission::Admitted { route, tenant } => Ok((route, tenant)),
    }
}

/// The host of a request: from the URI, else from the `Host` header.
pub(crate) fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let from_header = || headers.get(header::HOST).and_then(|value| value.to_str().ok());
    uri.host().or_else(from_header).unwrap_or_default()
}

/// Reads the body of a request, unless the request is to be refused meanwhile.
async fn read_body(
    router: &Router,
    client: &Rc<ClientConnection>,
    table: &RouteTable,
    route: &Route,
    deadline: &Deadline,
    mut body: Incoming,
) -> Result<WholeBody, Refusal> {
    let limit = table.config().limits.max_body_bytes;
    let wait = deadline.remaining() * ROOM_WAIT_PERCENT / 100;
    let may_go_on = || router.refuse_if_outlasts_stop(route, deadline);
    let refusal = match router.bodies.read(&mut body, limit, wait, may_go_on).await {
        Ok(whole) => return Ok(whole),
        Err(BodyReadError::TooLarge { .. }) => return Err(Refusal::BodyTooLarge),
        Err(BodyReadError::Failed(_)) => return Err(Refusal::BodyIncomplete),
        Err(BodyReadError::NoRoom | BodyReadError::GaveWay) => Refusal::NoRoomForBody,
        Err(BodyReadError::Unwanted(refusal)) => refusal,
    };
    tokio::task::spawn_local(discard(body, limit, deadline.timer(), client.guard_request()));
    Err(refusal)
}

impl RequestContext {
    /// Priority of the request; 0 is the highest.
    pub fn priority(&self) -> u32 {
        let tenant_priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }

    /// Engines that further attempts skip: those that had one, whether they were reached or not,
    /// silent ones, and those of another software version than the one that began the stream.
    pub fn excluded_engines(&self, progress: &Progress) -> Vec<BackEndName> {
        let attempted = progress.tried.iter().chain(&progress.unreachable);
        let skipped = attempted.chain(&progress.silent).cloned();
        skipped.chain(self.engines_of_other_versions()).collect()
    }

    /// Longest acceptable pause between two events of a stream of this route.
    pub fn gap_objective(&self) -> Millis {
        self.route.gap_objective.unwrap_or(DEFAULT_GAP_OBJECTIVE)
    }

    /// Hash of the request id, used to break ties and to spread retries.
    pub fn request_hash(&self) -> u64 {
        Digest::of(&[self.payload.caller.id.as_bytes()]).to_u64()
    }

    /// Reserves the tokens that the request may cost, if its tenant has a budget.
    async fn reserve(&self) -> Result<Option<Reservation>, Refusal> {
        let Some(generation) = self.payload.caller.generation else {
            return Ok(None);
        };
        let Some(tenant) = self.tenant.as_ref().filter(|tenant| tenant.prepaid.is_some()) else {
            return Ok(None);
        };
        let request = ReservationRequest {
            request: &self.payload.caller.id,
            generation,
            tokens_per_event: self.tokens_per_event(),
            objective: self.route.objective,
        };
        let wait = Duration::from_millis(self.route.objective.0 * TOKEN_WAIT_PERCENT / 100);
        let wait_until = self.deadline.timer().min(self.arrived + wait);
        Reservation::make(&self.router, &tenant.name, request, wait_until)
            .await
            .map_err(|refusal| self.refusal_when_disconnected(refusal))
            .map(Some)
    }

    /// While disconnected from the leader it is unknown whether the budget is exhausted, and only
    /// the leader can allot more.
    fn refusal_when_disconnected(&self, refusal: Refusal) -> Refusal {
        let is_disconnected = !self.router.is_connected_to_leader();
        match refusal {
            Refusal::BudgetExhausted if is_disconnected => Refusal::BudgetUnavailable,
            other => other,
        }
    }

    fn tokens_per_event(&self) -> u64 {
        let service = self.table.config().services.get(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.tokens_per_event)
    }

    async fn run(self) -> Result<Response<GatewayBody>, Refusal> {
        let mut progress = Progress::default();
        let begin = |start| self.answer(start).boxed_local();
        let attempts =
            HedgedAttempts::new(&self, &mut progress, AwaitedPart::Response, None, Box::new(begin))
                .run();
        match attempts.await {
            Ok(Answer::Stream(started)) => Ok(relay::respond(self, *started, progress)),
            Ok(Answer::Whole(response)) => Ok(response),
            Ok(Answer::Large(large)) => Ok(large_response::forward(self, *large)),
            Err(NoRetry::Stopping) if !progress.may_have_run => Err(Refusal::Stopping),
            Err(_) => self.give_up(progress),
        }
    }

    /// One attempt, up to the first event of a stream or the end of another response.
    async fn answer(&self, start: AttemptStart) -> Result<Answer, FailedAttempt> {
        let response = self.attempt(start, None).await?;
        if is_event_stream(&response) {
            let started = relay::start_stream(response, self).await?;
            return Ok(Answer::Stream(Box::new(started)));
        }
        self.buffer_response(response).await
    }

    /// The final response of a request for which no further attempt is made.
    fn give_up(&self, mut progress: Progress) -> Result<Response<GatewayBody>, Refusal> {
        if let Some(failure) = progress.failure.take() {
            return Ok(failure.into_response());
        }
        let is_expired = self.deadline.is_expired();
        if !progress.may_have_run && !is_expired {
            // The engines that were tried may have been the last ones that had not asked for a
            // backoff.
            self.refuse_if_unservable()?;
            self.refuse_if_rate_limited()?;
        }
        Err(match (progress.may_have_run, is_expired) {
            (true, true) => Refusal::DeadlineExceededUnknown,
            (true, false) => Refusal::ResponseLost,
            (false, true) => Refusal::DeadlineExceeded,
            (false, false) if progress.tried.is_empty() && !progress.unreachable.is_empty() => {
                Refusal::Unreachable
            }
            // Some engine is available, so all of those were tried, or none had a free slot.
            (false, false) => self.engines_full(),
        })
    }
}

/// Combines the head of an engine's response with a new body.
pub(crate) fn build_response(
    mut head: hyper::http::response::Parts,
    body: GatewayBody,
) -> Response<GatewayBody> {
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, body)
}

fn is_event_stream(response: &EngineResponse) -> bool {
    let content_type = response.head.headers.get(header::CONTENT_TYPE);
    response.head.status == StatusCode::OK
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
