//! Sees one request through to the head of its answer.

use crate::attempt::{
    self, AttemptResult, EngineResponse, Payload, SelectedEngine, strip_connection_headers,
};
use crate::body::GatewayBody;
use crate::deadline::Deadline;
use crate::decision_log::InterruptionPoint;
use crate::header_codec::{CallerRequest, EngineRequestHeaders};
use crate::refusal::Refusal;
use crate::relay::{self, LargeResponse};
use crate::reservation::{Reservation, ReservationRequest};
use crate::router::Router;
use crate::select_engine::max_permit_wait;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use stackpost_gateway_core::{Admission, AttemptEnd, Route, RouteTable, Tenant};
use stackpost_types::{BackEndName, Digest, Millis, ServiceName};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Part of the objective after which a repeatable request is tried at another engine, if half of
/// its time is not over sooner.
const PATIENCE_PERCENT: u64 = 220;
/// Longest wait for tokens, as a part of the objective: a refusal that comes later costs more
/// than it saves.
const TOKEN_WAIT_PERCENT: u64 = 22;
/// Engines that may be tried without reaching any of them.
const MOST_UNREACHABLE: u32 = 4;
/// Largest answer that is gathered before it is passed on.
pub(crate) const BUFFER_LIMIT_BYTES: usize = 256 * 1024;
/// Wait of callers that do not say how long they wait.
const DEFAULT_WAIT: Millis = Millis(15_000);

/// Gap objective of routes that name none.
const DEFAULT_GAP: Millis = Millis(1_000);

/// Everything about a request that stays the same over its attempts.
pub(crate) struct RequestContext {
    pub router: Rc<Router>,
    pub table: Rc<RouteTable>,
    pub route: Route,
    pub tenant: Option<Tenant>,
    pub service: ServiceName,
    pub payload: Payload,
    pub reservation: Option<Reservation>,
    /// When the time for the request is over.
    pub deadline: Deadline,
    pub arrived: Instant,
    /// How long it may still wait for a permit, over all its attempts.
    pub permit_wait_left: Cell<Duration>,
}

/// What the attempts of a request have led to so far.
#[derive(Default)]
pub(crate) struct Progress {
    /// Engines that the request was sent to.
    pub tried: Vec<BackEndName>,
    /// Engines that could not be reached.
    pub unreachable: Vec<BackEndName>,
    /// Whether an engine may have run it.
    pub may_have_run: bool,
    /// Whether the caller has had the beginning of an answer.
    pub response_started: bool,
    /// An engine's own failure, given to the caller if nothing better comes.
    pub failure: Option<BufferedResponse>,
}

impl Progress {
    /// Engines that are not to be asked again, reached or not.
    pub fn excluded_engines(&self) -> Vec<BackEndName> {
        self.tried.iter().chain(&self.unreachable).cloned().collect()
    }
}

/// An engine's answer that has come in whole.
pub(crate) struct BufferedResponse {
    head: hyper::http::response::Parts,
    body: Bytes,
}

/// Answers one request. Dropped when the caller goes away, which ends whatever is under way.
pub(crate) async fn serve(router: Rc<Router>, request: Request<Incoming>) -> Response<GatewayBody> {
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
    let recorded_by = router.clone();
    match answer(router, head, body, caller, arrived).await {
        Ok(response) => {
            recorded_by.metrics.on_response(arrived.elapsed());
            response
        }
        Err(refusal) => {
            recorded_by.metrics.on_refusal(refusal);
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

async fn answer(
    router: Rc<Router>,
    head: request::Parts,
    body: Incoming,
    caller: CallerRequest,
    arrived: Instant,
) -> Result<Response<GatewayBody>, Refusal> {
    let table = router.table().ok_or(Refusal::NotConfigured)?;
    let (route, tenant) = admit(&router, &table, &head, caller.key.as_deref())?;
    if router.rejects_new_requests() {
        return Err(Refusal::Stopping);
    }
    let (route, tenant) = (route.clone(), tenant.cloned());
    let wait = caller.wait.unwrap_or(DEFAULT_WAIT);
    let deadline =
        Deadline::after(Duration::from_millis(wait.0.min(route.timeout.0)), router.clock.clone());
    let limit = table.config().limits.max_body_bytes;
    let reading = timeout_at(deadline.timer(), read_body(body, limit));
    let body = reading.await.map_err(|_| Refusal::DeadlineExceeded)??;
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
        permit_wait_left,
    };
    context.refuse_if_quarantined()?;
    context.refuse_if_unservable()?;
    context.refuse_if_shed()?;
    context.refuse_if_rate_limited()?;
    context.reservation = context.reserve().await?;
    // The wait for tokens may have outlasted the news that the request ends engines.
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
    let final_only_in_touch =
        |refusal| if router.in_touch() { refusal } else { Refusal::ConfigMayBeStale };
    match table.admit(host, head.uri.path(), key) {
        Admission::NoRoute => Err(final_only_in_touch(Refusal::NoRoute)),
        Admission::UnknownKey => Err(final_only_in_touch(Refusal::UnknownKey)),
        Admission::Admitted { route, tenant } => Ok((route, tenant)),
    }
}

/// The host that a request names.
pub(crate) fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let from_header = || headers.get(header::HOST).and_then(|value| value.to_str().ok());
    uri.host().or_else(from_header).unwrap_or_default()
}

async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLarge);
    }
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BodyIncomplete)?;
        if let Ok(data) = frame.into_data() {
            if buffered.len() + data.len() > limit {
                return Err(Refusal::BodyTooLarge);
            }
            buffered.extend_from_slice(&data);
        }
    }
    Ok(buffered.freeze())
}

impl RequestContext {
    /// How urgent the request is; 0 is the highest.
    pub fn priority(&self) -> u32 {
        let of_tenant = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }

    /// A number that differs from request to request.
    pub fn request_hash(&self) -> u64 {
        Digest::of(&[self.payload.caller.id.as_bytes()]).to_u64()
    }

    /// Sets aside the tokens that the request may cost, if its tenant has a budget.
    async fn reserve(&self) -> Result<Option<Reservation>, Refusal> {
        let Some(generation) = self.payload.caller.generation else {
            return Ok(None);
        };
        let Some(tenant) = self.tenant.as_ref().filter(|tenant| tenant.prepaid.is_some()) else {
            return Ok(None);
        };
        let order = ReservationRequest {
            request: &self.payload.caller.id,
            generation,
            tokens_per_event: self.tokens_per_event(),
        };
        let wait = Duration::from_millis(self.route.objective.0 * TOKEN_WAIT_PERCENT / 100);
        let wait_until = self.deadline.timer().min(self.arrived + wait);
        Reservation::make(&self.router, &tenant.name, order, wait_until)
            .await
            .map_err(|refusal| self.out_of_reach(refusal))
            .map(Some)
    }

    /// Out of touch nobody knows whether the budget is exhausted, and there is more to come only
    /// with the leader.
    fn out_of_reach(&self, refusal: Refusal) -> Refusal {
        let out_of_touch = !self.router.in_touch();
        match refusal {
            Refusal::BudgetExhausted if out_of_touch => Refusal::BudgetUnavailable,
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
        loop {
            let Some(chosen) = self.select_engine(&progress).await else {
                return self.give_up(progress);
            };
            let Some(answer) = self.attempt(chosen, &mut progress, None).await else {
                if self.may_retry(&progress) {
                    continue;
                }
                return self.give_up(progress);
            };
            if is_event_stream(&answer) {
                match relay::start_stream(answer, &self).await {
                    Ok(begun) => return Ok(relay::respond(self, begun, progress)),
                    Err(relay::NoFirstEvent) => progress.may_have_run = true,
                }
            } else {
                match self.gather(answer, &mut progress).await {
                    Gathered::Final(response) => return Ok(response),
                    Gathered::Large(answer) => return Ok(relay::forward_large(self, *answer)),
                    Gathered::Failed => {}
                }
            }
            if !self.may_retry(&progress) {
                return self.give_up(progress);
            }
        }
    }

    /// Sends the request to an engine. `None` if no answer will come of it.
    pub async fn attempt(
        &self,
        chosen: SelectedEngine,
        progress: &mut Progress,
        last_event: Option<u64>,
    ) -> Option<EngineResponse> {
        let name = chosen.choice.engine.notice.engine.clone();
        let wait = Millis(self.deadline.remaining().as_millis() as u64);
        let tenant = self.tenant.as_ref();
        let addressing = EngineRequestHeaders {
            engine: &name,
            tenant: tenant.map(|tenant| &tenant.name),
            wait,
            priority: self.priority(),
            last_event: last_event.or(self.payload.caller.last_event),
            strip_key: self.table.config().tenants.is_some(),
        };
        let was_sent = Cell::new(false);
        let on_sent = || {
            was_sent.set(true);
            self.reservation.iter().for_each(Reservation::on_sent);
        };
        let result = attempt::send(
            &self.router,
            chosen,
            &self.payload,
            &addressing,
            !self.route.kind.may_retry(),
            self.head_until(progress),
            on_sent,
        )
        .await;
        match result {
            AttemptResult::Answered(answer) => {
                progress.tried.push(name);
                return Some(*answer);
            }
            AttemptResult::Unreachable => progress.unreachable.push(name),
            AttemptResult::NotRun => progress.tried.push(name),
            AttemptResult::Interrupted => {
                self.on_interrupted(&name, InterruptionPoint::Head).wait().await;
                progress.tried.push(name);
                progress.may_have_run = true;
            }
            AttemptResult::InvalidResponse | AttemptResult::HeadTimeout => {
                progress.tried.push(name);
                progress.may_have_run = true;
            }
        }
        if was_sent.get() && !progress.may_have_run && last_event.is_none() {
            self.reservation.iter().for_each(Reservation::on_not_run);
        }
        None
    }

    /// How long to wait for the head of an answer. A repeatable request is tried elsewhere before
    /// its time is over, as long as another attempt is allowed.
    fn head_until(&self, progress: &Progress) -> Instant {
        let last = progress.tried.len() as u32 + 1 >= self.route.max_attempts;
        if last || !self.route.kind.may_retry() {
            return self.deadline.timer();
        }
        let now = Instant::now();
        let patience = Duration::from_millis(self.route.objective.0 * PATIENCE_PERCENT / 100);
        let half = self.deadline.remaining() / 2;
        now + patience.min(half)
    }

    /// Longest pause between events at which a stream of this route is in time.
    pub fn gap_objective(&self) -> Millis {
        self.route.gap_objective.unwrap_or(DEFAULT_GAP)
    }

    /// Whether another attempt is allowed and makes sense. Counts it if so.
    pub fn may_retry(&self, progress: &Progress) -> bool {
        if progress.may_have_run && !self.route.kind.may_retry() {
            return false;
        }
        if self.deadline.is_expired()
            || self.is_quarantined()
            || progress.unreachable.len() as u32 >= MOST_UNREACHABLE
            || progress.tried.len() as u32 >= self.route.max_attempts
        {
            return false;
        }
        let arrives_again = !progress.tried.is_empty();
        !arrives_again
            || self.router.retry_budget.borrow_mut().try_retry(self.router.now(), &self.service)
    }

    /// The final answer of a request that no engine answers any more.
    fn give_up(&self, mut progress: Progress) -> Result<Response<GatewayBody>, Refusal> {
        if let Some(failure) = progress.failure.take() {
            return Ok(failure.into_response());
        }
        let time_is_over = self.deadline.is_expired();
        if !progress.may_have_run && !time_is_over {
            // The engines that were asked may have been the last ones that did not rest.
            self.refuse_if_unservable()?;
            self.refuse_if_rate_limited()?;
        }
        Err(match (progress.may_have_run, time_is_over) {
            (true, true) => Refusal::DeadlineExceededUnknown,
            (true, false) => Refusal::ResponseLost,
            (false, true) => Refusal::DeadlineExceeded,
            (false, false) if progress.tried.is_empty() && !progress.unreachable.is_empty() => {
                Refusal::Unreachable
            }
            // An engine may be asked, so all of those were, or none had a free slot.
            (false, false) => Refusal::EnginesFull,
        })
    }

    /// Gathers an answer that is no stream, so that one that breaks off can be replaced.
    async fn gather(&self, answer: EngineResponse, progress: &mut Progress) -> Gathered {
        let EngineResponse { head, mut body, attempt } = answer;
        let mut buffered = BytesMut::new();
        let reading = async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame.map_err(|_| ())?.into_data() {
                    buffered.extend_from_slice(&data);
                }
                if buffered.len() > BUFFER_LIMIT_BYTES {
                    return Ok(false);
                }
            }
            Ok::<bool, ()>(true)
        };
        match timeout_at(self.deadline.timer(), reading).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => {
                let start = buffered.freeze();
                return Gathered::Large(Box::new(LargeResponse { head, start, body, attempt }));
            }
            Ok(Err(())) => {
                let noted = self.on_interrupted(attempt.name(), InterruptionPoint::Body);
                attempt.finish(AttemptEnd::Broken, None);
                noted.wait().await;
                progress.may_have_run = true;
                return Gathered::Failed;
            }
            Err(_) => {
                attempt.finish(AttemptEnd::Broken, None);
                progress.may_have_run = true;
                return Gathered::Failed;
            }
        }
        let failed = head.status.is_server_error();
        let end = if failed { AttemptEnd::EngineError } else { AttemptEnd::Answered };
        attempt.finish(end, Some(&head.headers));
        let buffered = BufferedResponse { head, body: buffered.freeze() };
        if failed {
            progress.may_have_run = true;
            progress.failure = Some(buffered);
            return Gathered::Failed;
        }
        self.on_request_succeeded();
        Gathered::Final(buffered.into_response())
    }
}

enum Gathered {
    /// The answer for the caller.
    Final(Response<GatewayBody>),
    /// The answer for the caller, of which more is to come.
    Large(Box<LargeResponse>),
    /// The attempt has failed; the engine's own failure, if any, is kept.
    Failed,
}

impl BufferedResponse {
    fn into_response(self) -> Response<GatewayBody> {
        build_response(self.head, GatewayBody::buffered(self.body))
    }
}

/// The engine's head with another body.
pub(crate) fn build_response(
    mut head: hyper::http::response::Parts,
    body: GatewayBody,
) -> Response<GatewayBody> {
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, body)
}

fn is_event_stream(answer: &EngineResponse) -> bool {
    let content_type = answer.head.headers.get(header::CONTENT_TYPE);
    answer.head.status == StatusCode::OK
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
