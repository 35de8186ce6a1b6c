//! The task of one request: follows the signals of the state machine and forwards the back end's
//! response to the caller.

use crate::attempt::{self, AttemptEvent, Payload, PlainBody, Timeouts};
use crate::caller_connection::{CallerConnection, with_identifying_headers};
use crate::chat::ChatRequest;
use crate::envelope::{refusal_answer, refusal_body};
use crate::server::RouterServer;
use stackpost_http::{
    Answer, AnswerBody, BodyAborted, Bytes, Client, ConnectionWatch, HeaderMap, HeaderName,
    HeaderValue, Method, StatusCode, header,
};
use stackpost_ledger::StoredAnswer;
use stackpost_router_core::{AttemptOutcome, CallId, Dispatch, Event, Refusal, Usage};
use stackpost_types::{RequestId, Tokens};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of an attempt's events that wait for the request task.
const EVENT_CHANNEL_CAPACITY: usize = 64;
/// Time between two checks whether the caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// An instruction of the state machine about one request.
#[derive(Debug)]
pub enum Signal {
    /// Send it to a back end.
    Dispatch(Dispatch),
    /// Stop the attempt of this number.
    Cancel(u32),
    /// Start sending the response, except for its end.
    StartResponse,
    /// Send the end of the response; the tokens were billed.
    Finish(Tokens),
    /// Send the caller a stored response.
    Replay(StoredAnswer),
    /// Send the caller a refusal.
    Refuse(Refusal),
    /// The caller has disconnected and the request was dropped.
    Dropped,
}

/// What is sent to a back end, stored for further attempts.
pub enum PayloadSource {
    /// A chat request.
    Chat(Arc<ChatRequest>),
    /// A call of a plain service.
    Plain {
        /// The method.
        method: Method,
        /// Path and query.
        path: String,
        /// The caller's headers.
        headers: HeaderMap,
        /// The body, if it was received completely.
        buffered: Option<Bytes>,
        /// The body, if it is still being received; consumed by the first attempt.
        streamed: Option<mpsc::Receiver<Result<Bytes, BodyAborted>>>,
    },
}

/// Everything needed to handle a request to its end.
pub struct RequestTask {
    /// The server that runs the state machine.
    pub server: Arc<RouterServer>,
    /// Identifies the request within this process.
    pub call: CallId,
    /// Identifies the request across routers.
    pub request: RequestId,
    /// What is sent to back ends.
    pub payload_source: PayloadSource,
    /// Whether the caller expects a stream of events.
    pub stream: bool,
    /// Detects that the caller has disconnected.
    pub watch: Option<ConnectionWatch>,
    /// Signals from the state machine.
    pub signals: mpsc::UnboundedReceiver<Signal>,
    /// Receives the response's head.
    pub reply: oneshot::Sender<Answer>,
    /// When the request was received.
    pub arrived_at: Instant,
}

/// A running attempt and the parts of its response not yet sent.
struct RunningAttempt {
    dispatch: Dispatch,
    events: mpsc::Receiver<AttemptEvent>,
    task: tokio::task::JoinHandle<()>,
    head: Option<(StatusCode, HeaderMap)>,
    pending_chunks: Vec<Bytes>,
    held_back: Vec<Bytes>,
    ended: bool,
    chunks_received: u64,
}

enum Wakeup {
    Signal(Option<Signal>),
    Attempt(Option<AttemptEvent>),
    CheckCaller,
}

impl RequestTask {
    /// Runs until the final response has been sent or the caller has disconnected.
    pub async fn run(self) {
        let Self {
            server,
            call,
            request,
            payload_source,
            stream,
            watch,
            signals,
            reply,
            arrived_at,
        } = self;
        let caller = CallerConnection { reply: Some(reply), chunks: None, disconnected: false };
        let mut state = TaskState {
            server: server.clone(),
            call,
            request,
            payload_source,
            stream,
            caller,
            running: None,
            back_end: None,
            response_started: false,
            arrived_at,
        };
        state.serve(watch, signals).await;
        server.unregister(call);
    }
}

struct TaskState {
    server: Arc<RouterServer>,
    call: CallId,
    request: RequestId,
    payload_source: PayloadSource,
    stream: bool,
    caller: CallerConnection,
    running: Option<RunningAttempt>,
    back_end: Option<String>,
    response_started: bool,
    arrived_at: Instant,
}

impl TaskState {
    async fn serve(
        &mut self,
        watch: Option<ConnectionWatch>,
        mut signals: mpsc::UnboundedReceiver<Signal>,
    ) {
        let mut caller_check = tokio::time::interval(CALLER_CHECK_INTERVAL);
        caller_check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let next = tokio::select! {
                biased;
                signal = signals.recv() => Wakeup::Signal(signal),
                event = next_attempt_event(&mut self.running) => Wakeup::Attempt(event),
                _ = caller_check.tick() => Wakeup::CheckCaller,
            };
            match next {
                Wakeup::Signal(None) => return,
                Wakeup::Signal(Some(signal)) => {
                    if self.on_signal(signal).await {
                        return;
                    }
                }
                Wakeup::Attempt(Some(event)) => self.on_attempt_event(event).await,
                Wakeup::Attempt(None) => self.on_attempt_lost(),
                Wakeup::CheckCaller => {
                    if watch.as_ref().is_some_and(ConnectionWatch::is_closed) {
                        self.on_caller_gone();
                    }
                }
            }
        }
    }

    /// Handles a signal; returns whether the request is finished.
    async fn on_signal(&mut self, signal: Signal) -> bool {
        match signal {
            Signal::Dispatch(dispatch) => self.start_attempt(dispatch),
            Signal::Cancel(number) => self.cancel(number),
            Signal::StartResponse => {
                self.response_started = true;
                self.forward_pending().await;
            }
            Signal::Finish(billed) => {
                self.response_started = true;
                self.forward_pending().await;
                self.finish(billed).await;
                return true;
            }
            Signal::Replay(answer) => {
                self.replay(&answer);
                return true;
            }
            Signal::Refuse(refusal) => {
                self.refuse(&refusal).await;
                return true;
            }
            Signal::Dropped => return true,
        }
        false
    }

    fn start_attempt(&mut self, dispatch: Dispatch) {
        let (payload, pooled) = match &mut self.payload_source {
            PayloadSource::Chat(chat) => (Payload::Chat(chat.clone()), true),
            PayloadSource::Plain { method, path, headers, buffered, streamed } => {
                let body = match (buffered.as_ref(), streamed.take()) {
                    (Some(bytes), _) => PlainBody::Buffered(bytes.clone()),
                    (None, Some(chunks)) => PlainBody::Streamed(chunks),
                    (None, None) => {
                        self.report_body_consumed(&dispatch);
                        return;
                    }
                };
                let (method, path, headers) = (method.clone(), path.clone(), headers.clone());
                (Payload::Plain { method, path, headers, body }, false)
            }
        };
        let client: Client = self.server.client(pooled);
        let options = self.server.options();
        let timeout = Timeouts {
            first_byte: Duration::from_millis(options.first_byte_timeout_ms),
            chunk: Duration::from_millis(options.chunk_timeout_ms),
        };
        let (sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let task = tokio::spawn(attempt::run(client, dispatch.clone(), payload, timeout, sender));
        self.back_end = Some(dispatch.back_end.to_string());
        self.response_started = false;
        self.running = Some(RunningAttempt {
            dispatch,
            events,
            task,
            head: None,
            pending_chunks: Vec::new(),
            held_back: Vec::new(),
            ended: false,
            chunks_received: 0,
        });
    }

    /// Reports that an earlier attempt has consumed the streamed body, so nothing can be sent.
    fn report_body_consumed(&self, dispatch: &Dispatch) {
        let outcome = AttemptOutcome::Incomplete {
            reason: "the body was passed on as it came and can't be sent again".into(),
            counted: Usage::default(),
            delivered: false,
        };
        self.report(dispatch.number, outcome);
    }

    fn report(&self, number: u32, outcome: AttemptOutcome) {
        self.server.handle(Event::Attempt { call: self.call, number, outcome });
    }

    /// Cancels an attempt. Aborting its task closes the connection, which makes the engine stop
    /// generating.
    fn cancel(&mut self, number: u32) {
        let Some(running) = self.running.take() else {
            return;
        };
        if running.dispatch.number != number {
            self.running = Some(running);
            return;
        }
        running.task.abort();
        if running.ended {
            return;
        }
        let counted = self.usage_so_far(&running);
        self.report(number, AttemptOutcome::Cancelled { counted });
    }

    fn usage_so_far(&self, running: &RunningAttempt) -> Usage {
        match &self.payload_source {
            PayloadSource::Chat(chat) => Usage {
                prompt_tokens: chat.estimated_prompt_tokens,
                completion_tokens: running.chunks_received,
            },
            PayloadSource::Plain { .. } => Usage::default(),
        }
    }

    async fn on_attempt_event(&mut self, event: AttemptEvent) {
        let Some(running) = &mut self.running else {
            return;
        };
        match event {
            AttemptEvent::Head { status, headers } => {
                running.head = Some((status, headers));
                self.forward_pending().await;
            }
            AttemptEvent::Chunk(chunk) => {
                running.chunks_received += 1;
                if running.chunks_received == 1 {
                    self.server.metrics().first_chunk(self.arrived_at.elapsed());
                }
                running.pending_chunks.push(chunk);
                self.forward_pending().await;
            }
            AttemptEvent::Ended { outcome, held_back } => {
                running.held_back = held_back;
                running.ended = true;
                let number = running.dispatch.number;
                let outcome = self.with_delivery_state(outcome);
                self.report(number, outcome);
            }
        }
    }

    /// Sets `delivered`, since only the request task knows whether the response's head was sent to
    /// the caller.
    fn with_delivery_state(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        match outcome {
            AttemptOutcome::Incomplete { reason, counted, .. } => {
                let delivered = self.caller.reply.is_none();
                AttemptOutcome::Incomplete { reason, counted, delivered }
            }
            other => other,
        }
    }

    fn on_attempt_lost(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        if running.ended {
            return;
        }
        let outcome = AttemptOutcome::Incomplete {
            reason: "the attempt's task ended without a report".into(),
            counted: self.usage_so_far(&running),
            delivered: self.caller.reply.is_none(),
        };
        self.report(running.dispatch.number, outcome);
    }

    fn on_caller_gone(&mut self) {
        if !self.caller.disconnected {
            self.caller.disconnected = true;
            self.caller.chunks = None;
            self.server.handle(Event::CallerGone(self.call));
        }
    }

    /// Sends the pending head and chunks if the response may start. Waits for a slow caller, which
    /// in turn makes the back end wait.
    async fn forward_pending(&mut self) {
        let Some(running) = &mut self.running else {
            return;
        };
        if !self.response_started || running.head.is_none() && self.caller.reply.is_some() {
            return;
        }
        if let Some((status, headers)) = running.head.take() {
            let back_end = running.dispatch.back_end.to_string();
            self.caller.start_response(
                status,
                headers,
                self.request,
                &self.server,
                Some(&back_end),
            );
        }
        for chunk in std::mem::take(&mut running.pending_chunks) {
            self.caller.send_chunk(chunk).await;
        }
    }

    async fn finish(&mut self, billed: Tokens) {
        let held_back = self.running.as_mut().map(|running| std::mem::take(&mut running.held_back));
        for chunk in held_back.unwrap_or_default() {
            self.caller.send_chunk(chunk).await;
        }
        if self.stream {
            let comment = format!(": request={} billed={billed}\n\n", self.request);
            self.caller.send_chunk(Bytes::from(comment)).await;
        }
        self.server.metrics().answered(self.arrived_at.elapsed(), billed);
    }

    fn replay(&mut self, answer: &StoredAnswer) {
        let mut headers = HeaderMap::new();
        if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
            headers.insert(header::CONTENT_TYPE, content_type);
        }
        headers.insert(
            HeaderName::from_static("idempotent-replayed"),
            HeaderValue::from_static("true"),
        );
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = Bytes::from(answer.body.as_ref().clone());
        let response = Answer { status, headers, body: AnswerBody::Whole(body) };
        self.server.metrics().answered(self.arrived_at.elapsed(), Tokens::ZERO);
        let back_end = self.back_end.clone();
        self.caller.reply_with(with_identifying_headers(
            response,
            self.request,
            &self.server,
            back_end.as_deref(),
        ));
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        if let Some(running) = self.running.take() {
            running.task.abort();
        }
        self.server.metrics().refused(refusal);
        let (reason, outcome) = (refusal.reason.as_str(), refusal.outcome.as_str());
        log::info!(request = self.request.to_string(), reason, outcome, step = "refuse"; "{}", refusal.detail);
        if self.caller.reply.is_some() {
            let answer = refusal_answer(refusal, self.request);
            self.caller.reply_with(with_identifying_headers(
                answer,
                self.request,
                &self.server,
                None,
            ));
        } else if self.stream {
            let body = serde_json::to_string(&refusal_body(refusal, self.request));
            let event = format!("data: {}\n\n", body.unwrap_or_default());
            self.caller.send_chunk(Bytes::from(event)).await;
        } else {
            self.caller.abort().await;
        }
    }
}

async fn next_attempt_event(running: &mut Option<RunningAttempt>) -> Option<AttemptEvent> {
    match running {
        Some(running) if !running.ended => running.events.recv().await,
        _ => std::future::pending().await,
    }
}
