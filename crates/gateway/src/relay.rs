//! Passes a stream of events on to the caller, at another engine if the first one breaks off.

use crate::attempt::{ActiveAttempt, EngineResponse};
use crate::body::{GatewayBody, TruncatedBody};
use crate::decision_log::{self, InterruptionPoint};
use crate::request::{Progress, RequestContext, build_response};
use crate::reservation::Reservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use stackpost_gateway_core::{AttemptEnd, Event, EventSplitter};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Pieces that may wait for a slow caller.
const PIECES_AHEAD: usize = 16;
/// A resumable stream that has paused for this part of its gap objective is taken up elsewhere.
const GAP_PATIENCE_PERCENT: u64 = 350;

type PieceSender = mpsc::Sender<Result<Bytes, TruncatedBody>>;

/// A stream ended before its first event.
pub(crate) struct NoFirstEvent;

/// A stream whose first event is here.
pub(crate) struct StartedStream {
    head: response::Parts,
    source: StreamSource,
    first: Option<Event>,
}

/// An engine's stream, event by event.
struct StreamSource {
    body: Incoming,
    headers: HeaderMap,
    attempt: ActiveAttempt,
    splitter: EventSplitter,
}

enum NextEvent {
    Event(Event),
    /// The stream has ended whole.
    End,
    /// The engine has broken the stream off.
    Broken,
    /// The stream has paused for longer than it is waited for.
    Paused,
}

impl StreamSource {
    async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return NextEvent::Event(event);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return NextEvent::Broken,
                None if self.splitter.is_mid_event() => return NextEvent::Broken,
                None => return NextEvent::End,
            }
        }
    }
}

/// Waits for the first event. Until it is here nothing has been promised to the caller.
pub(crate) async fn start_stream(
    answer: EngineResponse,
    context: &RequestContext,
) -> Result<StartedStream, NoFirstEvent> {
    let EngineResponse { head, body, attempt } = answer;
    let headers = head.headers.clone();
    let mut source = StreamSource { body, headers, attempt, splitter: EventSplitter::default() };
    match timeout_at(context.deadline.timer(), source.next()).await {
        Ok(NextEvent::Event(event)) => {
            let took = source.attempt.on_first_event();
            decision_log::late_first_event(context, &source.attempt, took);
            Ok(StartedStream { head, source, first: Some(event) })
        }
        Ok(NextEvent::End) => Ok(StartedStream { head, source, first: None }),
        Ok(NextEvent::Broken) => {
            let noted =
                context.on_interrupted(source.attempt.name(), InterruptionPoint::FirstEvent);
            source.attempt.finish(AttemptEnd::Broken, None);
            noted.wait().await;
            Err(NoFirstEvent)
        }
        Ok(NextEvent::Paused) | Err(_) => {
            source.attempt.finish(AttemptEnd::Broken, None);
            Err(NoFirstEvent)
        }
    }
}

/// The answer to the caller; the rest of the stream follows on a task of its own.
pub(crate) fn respond(
    context: RequestContext,
    begun: StartedStream,
    mut progress: Progress,
) -> Response<GatewayBody> {
    progress.response_started = true;
    let (sender, pieces) = mpsc::channel(PIECES_AHEAD);
    let StartedStream { head, source, first } = begun;
    let relay = Relay { context, progress, sender, last_event: None, event_at: Instant::now() };
    tokio::task::spawn_local(relay.run(source, first));
    build_response(head, GatewayBody::Streamed(pieces))
}

struct Relay {
    context: RequestContext,
    progress: Progress,
    sender: PieceSender,
    last_event: Option<u64>,
    /// When the last event came.
    event_at: Instant,
}

/// Why passing on has stopped.
enum Stopped {
    CallerGone,
    DeadlineExceeded,
}

impl Relay {
    async fn run(mut self, mut source: StreamSource, first: Option<Event>) {
        if let Some(event) = first
            && self.pass(event).await.is_err()
        {
            return;
        }
        loop {
            match self.next_of(&mut source).await {
                Err(Stopped::CallerGone) => return,
                Err(Stopped::DeadlineExceeded) => return self.break_off("time over").await,
                Ok(NextEvent::Event(event)) => {
                    self.note_pause(&source);
                    if self.pass(event).await.is_err() {
                        return;
                    }
                }
                Ok(NextEvent::End) => {
                    self.context.reservation.iter().for_each(Reservation::on_complete);
                    self.context.on_request_succeeded();
                    let StreamSource { headers, attempt, .. } = source;
                    return attempt.finish(AttemptEnd::Answered, Some(&headers));
                }
                Ok(end @ (NextEvent::Broken | NextEvent::Paused)) => {
                    let noted = matches!(end, NextEvent::Broken).then(|| {
                        self.context
                            .on_interrupted(source.attempt.name(), InterruptionPoint::Stream)
                    });
                    source.attempt.finish(AttemptEnd::Broken, None);
                    if let Some(noted) = noted {
                        noted.wait().await;
                    }
                    match self.resume().await {
                        Some(next) => source = next,
                        None => return self.break_off("the engine broke off").await,
                    }
                }
            }
        }
    }

    /// The next event, unless the caller goes away or the time is over first. A resumable stream
    /// that pauses for too long counts as broken.
    async fn next_of(&self, source: &mut StreamSource) -> Result<NextEvent, Stopped> {
        let until = self.gap_until();
        tokio::select! {
            biased;
            next = timeout_at(until, source.next()) => match next {
                Ok(next) => Ok(next),
                Err(_) if until >= self.context.deadline.timer() => Err(Stopped::DeadlineExceeded),
                Err(_) => Ok(NextEvent::Paused),
            },
            () = self.sender.closed() => Err(Stopped::CallerGone),
        }
    }

    fn gap_until(&self) -> Instant {
        let route = &self.context.route;
        let attempts_left = (self.progress.tried.len() as u32) < route.max_attempts;
        if !route.kind.may_retry() || !attempts_left {
            return self.context.deadline.timer();
        }
        let objective = Duration::from_millis(self.context.gap_objective().0);
        let patience = objective * GAP_PATIENCE_PERCENT as u32 / 100;
        self.context.deadline.timer().min(Instant::now() + patience)
    }

    fn note_pause(&mut self, source: &StreamSource) {
        let pause = self.event_at.elapsed();
        self.event_at = Instant::now();
        if pause.as_millis() as u64 > self.context.gap_objective().0 {
            decision_log::long_pause(&self.context, &source.attempt, pause);
        }
    }

    /// Passes an event on. An engine that takes a stream up may repeat events that are here.
    async fn pass(&mut self, event: Event) -> Result<(), Stopped> {
        if event.id.is_some() && event.id <= self.last_event {
            return Ok(());
        }
        self.last_event = event.id.or(self.last_event);
        self.context.reservation.iter().for_each(Reservation::on_event);
        let sending = self.sender.send(Ok(event.bytes));
        match timeout_at(self.context.deadline.timer(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Stopped::CallerGone),
            Err(_) => Err(Stopped::DeadlineExceeded),
        }
    }

    /// Takes the stream up at another engine after the last event that was passed on.
    async fn resume(&mut self) -> Option<StreamSource> {
        let last_event = self.last_event?;
        self.progress.may_have_run = true;
        self.context.router.metrics.on_resumed();
        while self.context.may_retry(&self.progress) {
            let chosen = self.context.select_engine(&self.progress).await?;
            log::info!(
                request = self.context.payload.caller.id.as_str(),
                engine = chosen.choice.engine.notice.engine.as_str(),
                last_event = last_event;
                "stream taken up"
            );
            let attempt = self.context.attempt(chosen, &mut self.progress, Some(last_event));
            let answer = tokio::select! {
                answer = attempt => answer,
                () = self.sender.closed() => return None,
            };
            if let Some(EngineResponse { head, body, attempt }) = answer {
                if head.status != hyper::StatusCode::OK {
                    attempt.finish(AttemptEnd::EngineError, None);
                    continue;
                }
                let headers = head.headers;
                return Some(StreamSource {
                    body,
                    headers,
                    attempt,
                    splitter: EventSplitter::default(),
                });
            }
        }
        None
    }

    async fn break_off(self, reason: &str) {
        self.context.router.metrics.on_interrupted();
        log::info!(
            request = self.context.payload.caller.id.as_str(),
            reason = reason;
            "stream broken off"
        );
        // The caller may have gone meanwhile.
        let _ = self.sender.send(Err(TruncatedBody)).await;
    }
}

/// An answer that is too large to be gathered.
pub(crate) struct LargeResponse {
    pub head: response::Parts,
    /// What has come in.
    pub start: Bytes,
    pub body: Incoming,
    pub attempt: ActiveAttempt,
}

/// How passing on a large answer has ended.
enum PassedOn {
    Whole,
    /// The engine has broken it off.
    Broken,
    CallerGone,
}

/// Passes on a large answer; its rest follows on a task of its own.
pub(crate) fn forward_large(
    context: RequestContext,
    answer: LargeResponse,
) -> Response<GatewayBody> {
    let (sender, pieces) = mpsc::channel(PIECES_AHEAD);
    let LargeResponse { head, start, body, attempt } = answer;
    let failed = head.status.is_server_error();
    tokio::task::spawn_local(async move {
        let passing = timeout_at(context.deadline.timer(), pass_rest(&sender, start, body));
        let passed = tokio::select! {
            passed = passing => passed,
            () = sender.closed() => return,
        };
        match passed {
            Ok(PassedOn::Whole) => {
                if !failed {
                    context.on_request_succeeded();
                }
                return attempt.finish(AttemptEnd::Answered, None);
            }
            Ok(PassedOn::CallerGone) => return,
            Ok(PassedOn::Broken) => {
                context.on_interrupted(attempt.name(), InterruptionPoint::Body).wait().await
            }
            Err(_) => {}
        }
        // The caller may have gone meanwhile.
        let _ = sender.send(Err(TruncatedBody)).await;
    });
    build_response(head, GatewayBody::Streamed(pieces))
}

async fn pass_rest(sender: &PieceSender, start: Bytes, mut body: Incoming) -> PassedOn {
    let mut piece = Some(start);
    loop {
        if let Some(data) = piece.take()
            && sender.send(Ok(data)).await.is_err()
        {
            return PassedOn::CallerGone;
        }
        match body.frame().await {
            Some(Ok(frame)) => piece = frame.into_data().ok(),
            Some(Err(_)) => return PassedOn::Broken,
            None => return PassedOn::Whole,
        }
    }
}
