//! Relays a stream of events to the caller, resuming it at another engine if the first one
//! interrupts it, and asking another one as well while the first one is silent.
//!
//! With bounded streams, the engine's response is left unread while the caller's buffer is full.

use crate::attempt::{ActiveAttempt, AttemptStart, EngineResponse};
use crate::body::{ChunkSender, GatewayBody};
use crate::byte_channel::CallerGone;
use crate::connection_headers::ends_with_connection;
use crate::decision_log::{self, InterruptionPoint};
use crate::hedged_attempts::{FailedAttempt, FailureEffect, HedgedAttempts, InFlight};
use crate::hedging_log::AwaitedPart;
use crate::request::{Progress, RequestContext, build_response};
use crate::reservation::Reservation;
use crate::retry::NoRetry;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use stackpost_gateway_core::{
    AttemptEnd, Event, EventSplitter, ReaderTerms, may_have_ended_unread,
};
use stackpost_types::{EventId, Millis};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Reason in the metric of cut-off callers: the engine ended a response that was left unread.
const ENDED_UNREAD: &str = "ended_unread";

/// A stream whose first event was received, or which ended without one.
pub(crate) struct StartedStream {
    head: response::Parts,
    source: StreamSource,
    first: Option<Event>,
}

/// Splits an engine's stream into events.
struct StreamSource {
    body: Incoming,
    headers: HeaderMap,
    attempt: ActiveAttempt,
    splitter: EventSplitter,
    /// Longest time for which the response was left unread because the caller's buffer was full.
    longest_unread: Duration,
}

enum NextEvent {
    Event(Event),
    /// The stream ended after a complete event.
    End,
    /// The engine interrupted the stream, or sends an event without end.
    Interrupted,
}

/// What follows in a stream.
enum NextPart {
    Event(Event),
    /// The stream ended after a complete event.
    End,
}

/// The next part of a stream, and the source that delivered it.
struct Delivery {
    source: StreamSource,
    part: NextPart,
}

impl Delivery {
    /// Whether the response ended with its connection. Before the first event, nothing tells such an
    /// end from a crash.
    fn is_end_of_connection(&self) -> bool {
        matches!(self.part, NextPart::End) && ends_with_connection(&self.source.headers)
    }
}

impl StreamSource {
    fn new(body: Incoming, headers: HeaderMap, attempt: ActiveAttempt) -> Self {
        let splitter = EventSplitter::default();
        Self { body, headers, attempt, splitter, longest_unread: Duration::ZERO }
    }

    /// Whether the engine may have ended the stream because it was left unread. The end of a
    /// connection does not tell whether the stream was complete.
    fn is_unread_end(&self, end: &NextEvent) -> bool {
        let ends_early = match end {
            NextEvent::Interrupted => true,
            NextEvent::End => ends_with_connection(&self.headers),
            NextEvent::Event(_) => false,
        };
        ends_early && was_unread(self.longest_unread)
    }

    async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return NextEvent::Event(event);
            }
            if self.splitter.is_oversized() {
                return NextEvent::Interrupted;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    self.attempt.on_heard();
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return NextEvent::Interrupted,
                None if self.splitter.is_mid_event() => return NextEvent::Interrupted,
                None => return NextEvent::End,
            }
        }
    }

    /// Waits for the next part after the event `last_event`. An engine that resumes a stream may
    /// send earlier events again.
    async fn deliver(
        mut self,
        context: &RequestContext,
        last_event: Option<EventId>,
    ) -> Result<Delivery, FailedAttempt> {
        let part = loop {
            match self.next().await {
                NextEvent::Event(event) if event.id.is_some() && event.id <= last_event => {}
                NextEvent::Event(event) => break NextPart::Event(event),
                end if self.is_unread_end(&end) => return Err(self.on_unread_end(context)),
                NextEvent::End => break NextPart::End,
                NextEvent::Interrupted => {
                    return Err(self.on_interrupted(context, InterruptionPoint::Stream).await);
                }
            }
        };
        Ok(Delivery { source: self, part })
    }

    /// Handles an end that the router may have caused by leaving the response unread.
    fn on_unread_end(self, context: &RequestContext) -> FailedAttempt {
        context.on_ended_unread(self.attempt, self.longest_unread);
        FailedAttempt::new(FailureEffect::EndedUnread)
    }

    /// Handles the loss of the connection, under which the engine may have crashed.
    async fn on_interrupted(
        self,
        context: &RequestContext,
        at: InterruptionPoint,
    ) -> FailedAttempt {
        let crash_check = context.on_interrupted(self.attempt.name(), at);
        self.attempt.finish(AttemptEnd::Interrupted, None);
        crash_check.wait().await;
        FailedAttempt::new(FailureEffect::MayHaveRun)
    }
}

/// Whether an engine may have ended a response because it was left unread for this time.
pub(crate) fn was_unread(longest: Duration) -> bool {
    may_have_ended_unread(Millis(longest.as_millis() as u64))
}

/// Waits for the first event. Nothing is sent to the caller before it, so the request can still be
/// retried.
pub(crate) async fn start_stream(
    response: EngineResponse,
    context: &RequestContext,
) -> Result<StartedStream, FailedAttempt> {
    let EngineResponse { head, body, attempt } = response;
    let headers = head.headers.clone();
    let mut source = StreamSource::new(body, headers, attempt);
    match timeout_at(context.deadline.timer(), source.next()).await {
        Ok(NextEvent::Event(event)) => {
            let took = source.attempt.on_first_event();
            decision_log::late_first_event(context, &source.attempt, took);
            context.on_stream_began(&source.attempt);
            Ok(StartedStream { head, source, first: Some(event) })
        }
        Ok(NextEvent::End) if !ends_with_connection(&source.headers) => {
            Ok(StartedStream { head, source, first: None })
        }
        // Without an event, nothing tells a stream that ends with its connection from a crash.
        Ok(NextEvent::End | NextEvent::Interrupted) => {
            Err(source.on_interrupted(context, InterruptionPoint::FirstEvent).await)
        }
        Err(_) => {
            source.attempt.finish(AttemptEnd::Interrupted, None);
            Err(FailedAttempt::new(FailureEffect::MayHaveRun))
        }
    }
}

/// Resumes a stream at another engine, up to the first event after `last_event`.
async fn resume_at(
    context: &RequestContext,
    start: AttemptStart,
    last_event: EventId,
) -> Result<Delivery, FailedAttempt> {
    decision_log::resuming_stream(context, &start.selected.choice.engine, last_event);
    let response = context.attempt(start, Some(last_event)).await?;
    let EngineResponse { head, body, attempt } = response;
    if head.status != hyper::StatusCode::OK {
        attempt.finish(AttemptEnd::EngineError, None);
        return Err(FailedAttempt::new(FailureEffect::MayHaveRun));
    }
    let source = StreamSource::new(body, head.headers, attempt);
    let delivery = source.deliver(context, Some(last_event)).await?;
    if delivery.is_end_of_connection() {
        return Err(delivery.source.on_interrupted(context, InterruptionPoint::FirstEvent).await);
    }
    context.router.metrics.on_resumed();
    Ok(delivery)
}

/// Starts the response to the caller; a separate task relays the stream.
pub(crate) fn respond(
    context: RequestContext,
    started: StartedStream,
    mut progress: Progress,
) -> Response<GatewayBody> {
    progress.response_started = true;
    let (sender, body) = context.open_channel(None);
    let StartedStream { head, source, first } = started;
    let last_event = context.payload.caller.last_event;
    let relay = Relay { context, progress, sender, last_event, last_event_at: Instant::now() };
    tokio::task::spawn_local(relay.run(source, first));
    build_response(head, body)
}

impl RequestContext {
    /// Opens the channel for the body of the response, whose size may be known.
    pub fn open_channel(&self, size: Option<u64>) -> (ChunkSender, GatewayBody) {
        if !self.router.load_settings().bounded_streams {
            return ChunkSender::counted();
        }
        let terms = ReaderTerms {
            priority: self.priority(),
            gap_objective: self.gap_objective(),
            timeout: self.route.timeout,
        };
        let (sender, chunks) = self.router.open_byte_channel(&self.payload.caller.id, terms);
        (ChunkSender::Bounded(sender), GatewayBody::Bounded { chunks, size })
    }

    /// Handles the end of a response that the engine may have ended because it was left unread. Such
    /// an end shows neither a crash nor a failure of the engine, so the attempt counts as abandoned.
    pub fn on_ended_unread(&self, attempt: ActiveAttempt, unread: Duration) {
        decision_log::ended_unread(self, attempt.name(), unread);
        self.router.metrics.on_reader_cut_off(ENDED_UNREAD);
        attempt.finish(AttemptEnd::Abandoned, None);
    }
}

struct Relay {
    context: RequestContext,
    progress: Progress,
    sender: ChunkSender,
    /// The event after which the stream can be resumed.
    last_event: Option<EventId>,
    /// When the last event was received.
    last_event_at: Instant,
}

/// Why a stream ended before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TruncationReason {
    CallerGone,
    DeadlineExceeded,
    /// Its last event has no id after which it could be resumed.
    NoEventId,
    /// Its source was lost, and it was not sent to another engine.
    NotResumed(NoRetry),
}

impl TruncationReason {
    /// The reason as written in log lines and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::CallerGone => "caller_gone",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::NoEventId => "no_event_id",
            Self::NotResumed(reason) => reason.as_str(),
        }
    }
}

impl From<NoRetry> for TruncationReason {
    fn from(reason: NoRetry) -> Self {
        Self::NotResumed(reason)
    }
}

impl Relay {
    async fn run(mut self, source: StreamSource, first: Option<Event>) {
        match self.forward_events(source, first).await {
            Ok(source) => {
                self.context.reservation.iter().for_each(Reservation::on_complete);
                let StreamSource { headers, attempt, .. } = source;
                self.context.on_whole_response(&headers, attempt.name());
                attempt.finish(AttemptEnd::Responded, Some(&headers));
                self.sender.complete();
            }
            Err(reason) => self.truncate(reason).await,
        }
    }

    /// Forwards events up to the last one. Returns the source that sent it.
    async fn forward_events(
        &mut self,
        mut source: StreamSource,
        first: Option<Event>,
    ) -> Result<StreamSource, TruncationReason> {
        if let Some(event) = first {
            self.forward_event(event).await?;
        }
        loop {
            self.wait_for_room(&mut source).await?;
            let engine = source.attempt.name().clone();
            let delivery = self.next_part(source).await?;
            source = delivery.source;
            match delivery.part {
                NextPart::Event(event) => {
                    self.record_pause(&source, *source.attempt.name() == engine);
                    self.forward_event(event).await?;
                }
                NextPart::End => return Ok(source),
            }
        }
    }

    /// Waits until the caller's buffer has room. The engine's response is left unread meanwhile.
    async fn wait_for_room(&mut self, source: &mut StreamSource) -> Result<(), TruncationReason> {
        if self.sender.has_room() {
            return Ok(());
        }
        let unread_since = Instant::now();
        let waited = timeout_at(self.context.deadline.timer(), self.sender.room()).await;
        source.longest_unread = source.longest_unread.max(unread_since.elapsed());
        // The pause is the caller's and not the engine's.
        self.last_event_at = Instant::now();
        match waited {
            Ok(Ok(())) => Ok(()),
            Ok(Err(CallerGone)) => Err(TruncationReason::CallerGone),
            Err(_) => Err(TruncationReason::DeadlineExceeded),
        }
    }

    /// The next part of the stream, from its source or from an engine that resumes it, unless the
    /// caller disconnects or the deadline passes first.
    async fn next_part(&mut self, source: StreamSource) -> Result<Delivery, TruncationReason> {
        let (context, last_event) = (&self.context, self.last_event);
        let last_heard = source.attempt.last_heard().clone();
        // The response may have been left unread until now.
        last_heard.set(context.router.now());
        let primary = InFlight {
            engine: source.attempt.engine().clone(),
            began: Instant::now(),
            last_heard,
            future: source.deliver(context, last_event).boxed_local(),
        };
        let progress = &mut self.progress;
        let delivering = async move {
            let Some(last_event) = last_event else {
                return primary.future.await.map_err(|_| TruncationReason::NoEventId);
            };
            let resume = move |start| resume_at(context, start, last_event).boxed_local();
            let (part, resume) = (AwaitedPart::Event, Box::new(resume));
            Ok(HedgedAttempts::new(context, progress, part, Some(primary), resume).run().await?)
        };
        tokio::select! {
            biased;
            delivered = timeout_at(context.deadline.timer(), delivering) => {
                delivered.unwrap_or(Err(TruncationReason::DeadlineExceeded))
            }
            () = self.sender.closed() => Err(TruncationReason::CallerGone),
        }
    }

    fn record_pause(&mut self, source: &StreamSource, is_same_source: bool) {
        let pause = self.last_event_at.elapsed();
        self.last_event_at = Instant::now();
        // While the caller reads slowly, the pause shows nothing about the engine.
        if self.sender.is_empty() && is_same_source {
            source.attempt.on_pause(pause);
        }
        if pause.as_millis() as u64 > self.context.gap_objective().0 {
            decision_log::long_pause(&self.context, &source.attempt, pause);
        }
    }

    /// Forwards an event. An engine that resumes a stream for the caller may resend events, which
    /// are skipped.
    async fn forward_event(&mut self, event: Event) -> Result<(), TruncationReason> {
        if event.id.is_some() && event.id <= self.last_event {
            return Ok(());
        }
        // An engine that resumes after an older id would repeat data that has no usable id.
        self.last_event = event.id.or(self.last_event.filter(|_| !event.has_data));
        self.context.reservation.iter().for_each(Reservation::on_event);
        let sending = self.sender.send(event.bytes);
        match timeout_at(self.context.deadline.timer(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(TruncationReason::CallerGone),
            Err(_) => Err(TruncationReason::DeadlineExceeded),
        }
    }

    /// Ends the stream before its last event. A caller that is still connected must not take the
    /// events that it received for the whole stream.
    async fn truncate(self, reason: TruncationReason) {
        let silence = Millis(self.last_event_at.elapsed().as_millis() as u64);
        // A caller may leave at any time; it matters if it had waited for too long.
        if reason == TruncationReason::CallerGone && silence <= self.context.gap_objective() {
            return;
        }
        self.context.router.metrics.on_truncated(reason.as_str());
        decision_log::stream_truncated(&self.context, reason.as_str(), silence, &self.progress);
        self.sender.truncate().await;
    }
}
