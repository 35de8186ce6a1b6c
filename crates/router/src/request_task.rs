//! Sees one request through: from the state machine's signals and the back end's pieces to the
//! caller.

use crate::attempt::{self, AttemptEvent, Payload, PlainBody, Timeouts};
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

/// Pieces that may wait for a slow caller or a closed gate before the back end has to wait.
const PIECES_AHEAD: usize = 64;
/// Pieces of an attempt that may wait for the conductor.
const EVENTS_AHEAD: usize = 64;
/// Time between two looks at whether the caller is still there.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// What the state machine says about one request.
#[derive(Debug)]
pub enum Signal {
    /// Send it to a back end.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(u32),
    /// Bytes may flow, all but the end.
    StartResponse,
    /// The end may go out.
    Finish(Tokens),
    /// Give the caller a kept answer.
    Replay(StoredAnswer),
    /// Give the caller a refusal.
    Refuse(Refusal),
    /// Nobody waits for it any more.
    Dropped,
}

/// What a request asks of a back end, kept for further attempts.
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
        /// The body, if it is here whole.
        whole: Option<Bytes>,
        /// The body, if it is still coming in; taken by the first attempt.
        streamed: Option<mpsc::Receiver<Result<Bytes, BodyAborted>>>,
    },
}

/// Everything needed to see a request through.
pub struct RequestTask {
    /// The process.
    pub server: Arc<RouterServer>,
    /// The request within this process.
    pub call: CallId,
    /// The request across routers.
    pub request: RequestId,
    /// What is asked for.
    pub payload_source: PayloadSource,
    /// Whether the caller expects events.
    pub stream: bool,
    /// Tells when the caller goes away.
    pub watch: Option<ConnectionWatch>,
    /// Signals from the state machine.
    pub signals: mpsc::UnboundedReceiver<Signal>,
    /// Where the answer's head goes.
    pub reply: oneshot::Sender<Answer>,
    /// When the request came in.
    pub arrived_at: Instant,
}

/// The way to the caller.
struct CallerSide {
    reply: Option<oneshot::Sender<Answer>>,
    pieces: Option<mpsc::Sender<Result<Bytes, BodyAborted>>>,
    gone: bool,
}

/// An attempt that is under way.
struct Running {
    dispatch: Dispatch,
    events: mpsc::Receiver<AttemptEvent>,
    task: tokio::task::JoinHandle<()>,
    head: Option<(StatusCode, HeaderMap)>,
    waiting: Vec<Bytes>,
    held_back: Vec<Bytes>,
    ended: bool,
    pieces_seen: u64,
}

enum Next {
    Signal(Option<Signal>),
    Attempt(Option<AttemptEvent>),
    Look,
}

impl RequestTask {
    /// Runs until the caller has its final answer or is gone.
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
        let caller = CallerSide { reply: Some(reply), pieces: None, gone: false };
        let mut state = State {
            server: server.clone(),
            call,
            request,
            payload_source,
            stream,
            caller,
            running: None,
            back_end: None,
            open: false,
            arrived_at,
        };
        state.serve(watch, signals).await;
        server.unregister(call);
    }
}

struct State {
    server: Arc<RouterServer>,
    call: CallId,
    request: RequestId,
    payload_source: PayloadSource,
    stream: bool,
    caller: CallerSide,
    running: Option<Running>,
    back_end: Option<String>,
    open: bool,
    arrived_at: Instant,
}

impl State {
    async fn serve(
        &mut self,
        watch: Option<ConnectionWatch>,
        mut signals: mpsc::UnboundedReceiver<Signal>,
    ) {
        let mut look = tokio::time::interval(WATCH_INTERVAL);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let next = tokio::select! {
                biased;
                signal = signals.recv() => Next::Signal(signal),
                event = next_event(&mut self.running) => Next::Attempt(event),
                _ = look.tick() => Next::Look,
            };
            match next {
                Next::Signal(None) => return,
                Next::Signal(Some(signal)) => {
                    if self.on_signal(signal).await {
                        return;
                    }
                }
                Next::Attempt(Some(event)) => self.on_attempt_event(event).await,
                Next::Attempt(None) => self.on_attempt_lost(),
                Next::Look => {
                    if watch.as_ref().is_some_and(ConnectionWatch::is_closed) {
                        self.on_caller_gone();
                    }
                }
            }
        }
    }

    /// Returns whether the request is finished.
    async fn on_signal(&mut self, signal: Signal) -> bool {
        match signal {
            Signal::Dispatch(dispatch) => self.start(dispatch),
            Signal::Cancel(number) => self.cancel(number),
            Signal::StartResponse => {
                self.open = true;
                self.let_flow().await;
            }
            Signal::Finish(billed) => {
                self.open = true;
                self.let_flow().await;
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

    fn start(&mut self, dispatch: Dispatch) {
        let (payload, repeatable_connection) = match &mut self.payload_source {
            PayloadSource::Chat(chat) => (Payload::Chat(chat.clone()), true),
            PayloadSource::Plain { method, path, headers, whole, streamed } => {
                let body = match (whole.as_ref(), streamed.take()) {
                    (Some(bytes), _) => PlainBody::Whole(bytes.clone()),
                    (None, Some(pieces)) => PlainBody::Streamed(pieces),
                    (None, None) => {
                        self.report_unsendable(&dispatch);
                        return;
                    }
                };
                let (method, path, headers) = (method.clone(), path.clone(), headers.clone());
                (Payload::Plain { method, path, headers, body }, false)
            }
        };
        let client: Client = self.server.client(repeatable_connection);
        let options = self.server.options();
        let timeout = Timeouts {
            first_byte: Duration::from_millis(options.first_byte_timeout_ms),
            chunk: Duration::from_millis(options.chunk_timeout_ms),
        };
        let (sender, events) = mpsc::channel(EVENTS_AHEAD);
        let task = tokio::spawn(attempt::run(client, dispatch.clone(), payload, timeout, sender));
        self.back_end = Some(dispatch.back_end.to_string());
        self.open = false;
        self.running = Some(Running {
            dispatch,
            events,
            task,
            head: None,
            waiting: Vec::new(),
            held_back: Vec::new(),
            ended: false,
            pieces_seen: 0,
        });
    }

    /// The body was consumed by an earlier attempt, so nothing can be sent.
    fn report_unsendable(&self, dispatch: &Dispatch) {
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

    /// Dropping the attempt closes its connection, by which the engine stops generating.
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
        let counted = self.counted_so_far(&running);
        self.report(number, AttemptOutcome::Cancelled { counted });
    }

    fn counted_so_far(&self, running: &Running) -> Usage {
        match &self.payload_source {
            PayloadSource::Chat(chat) => Usage {
                prompt_tokens: chat.estimated_prompt_tokens,
                completion_tokens: running.pieces_seen,
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
                self.let_flow().await;
            }
            AttemptEvent::Chunk(piece) => {
                running.pieces_seen += 1;
                if running.pieces_seen == 1 {
                    self.server.metrics().first_chunk(self.arrived_at.elapsed());
                }
                running.waiting.push(piece);
                self.let_flow().await;
            }
            AttemptEvent::Ended { outcome, held_back } => {
                running.held_back = held_back;
                running.ended = true;
                let number = running.dispatch.number;
                let outcome = self.with_delivery(outcome);
                self.report(number, outcome);
            }
        }
    }

    /// Only the conductor knows whether anything has reached the caller.
    fn with_delivery(&self, outcome: AttemptOutcome) -> AttemptOutcome {
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
            counted: self.counted_so_far(&running),
            delivered: self.caller.reply.is_none(),
        };
        self.report(running.dispatch.number, outcome);
    }

    fn on_caller_gone(&mut self) {
        if !self.caller.gone {
            self.caller.gone = true;
            self.caller.pieces = None;
            self.server.handle(Event::CallerGone(self.call));
        }
    }

    /// Passes on what may go out. Waits for a slow caller, and with it the back end.
    async fn let_flow(&mut self) {
        let Some(running) = &mut self.running else {
            return;
        };
        if !self.open || running.head.is_none() && self.caller.reply.is_some() {
            return;
        }
        if let Some((status, headers)) = running.head.take() {
            let back_end = running.dispatch.back_end.to_string();
            self.caller.begin(status, headers, self.request, &self.server, Some(&back_end));
        }
        for piece in std::mem::take(&mut running.waiting) {
            self.caller.pass(piece).await;
        }
    }

    async fn finish(&mut self, billed: Tokens) {
        let held_back = self.running.as_mut().map(|running| std::mem::take(&mut running.held_back));
        for piece in held_back.unwrap_or_default() {
            self.caller.pass(piece).await;
        }
        if self.stream {
            let note = format!(": request={} billed={billed}\n\n", self.request);
            self.caller.pass(Bytes::from(note)).await;
        }
        self.server.metrics().answered(self.arrived_at.elapsed(), billed);
    }

    fn replay(&mut self, answer: &StoredAnswer) {
        let mut headers = HeaderMap::new();
        if let Ok(kind) = HeaderValue::from_str(&answer.content_type) {
            headers.insert(header::CONTENT_TYPE, kind);
        }
        headers.insert(
            HeaderName::from_static("idempotent-replayed"),
            HeaderValue::from_static("true"),
        );
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = Bytes::from(answer.body.as_ref().clone());
        let whole = Answer { status, headers, body: AnswerBody::Whole(body) };
        self.server.metrics().answered(self.arrived_at.elapsed(), Tokens::ZERO);
        let back_end = self.back_end.clone();
        self.caller.reply_with(identified(whole, self.request, &self.server, back_end.as_deref()));
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
            self.caller.reply_with(identified(answer, self.request, &self.server, None));
        } else if self.stream {
            let body = serde_json::to_string(&refusal_body(refusal, self.request));
            let event = format!("data: {}\n\n", body.unwrap_or_default());
            self.caller.pass(Bytes::from(event)).await;
        } else {
            self.caller.abort().await;
        }
    }
}

impl CallerSide {
    /// Sends the head of an answer whose body follows piece by piece.
    fn begin(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        request: RequestId,
        server: &RouterServer,
        back_end: Option<&str>,
    ) {
        let (sender, pieces) = mpsc::channel(PIECES_AHEAD);
        self.pieces = Some(sender);
        let answer = Answer { status, headers, body: AnswerBody::Stream(pieces) };
        self.reply_with(identified(answer, request, server, back_end));
    }

    fn reply_with(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            // An error means that the caller has gone, which is noticed elsewhere.
            let _ = reply.send(answer);
        }
    }

    async fn pass(&mut self, piece: Bytes) {
        if let Some(pieces) = &self.pieces
            && pieces.send(Ok(piece)).await.is_err()
        {
            self.pieces = None;
        }
    }

    /// Ends the answer so that it can't be taken for whole.
    async fn abort(&mut self) {
        if let Some(pieces) = self.pieces.take() {
            let _ = pieces.send(Err(BodyAborted)).await;
        }
    }
}

/// Adds the names by which an answer can be asked about.
fn identified(
    answer: Answer,
    request: RequestId,
    server: &RouterServer,
    back_end: Option<&str>,
) -> Answer {
    let decision = format!("{request}@{}", server.machine());
    let answer = answer
        .with_header("x-request-id", &request.to_string())
        .with_header("x-stackpost-decision", &decision);
    match back_end {
        Some(name) => answer.with_header("x-stackpost-back-end", name),
        None => answer,
    }
}

async fn next_event(running: &mut Option<Running>) -> Option<AttemptEvent> {
    match running {
        Some(running) if !running.ended => running.events.recv().await,
        _ => std::future::pending().await,
    }
}
