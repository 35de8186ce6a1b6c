//! A channel for the body of one response, bounded by bytes instead of chunks.
//!
//! [`StreamBuffers`] decides when the router stops reading from an engine, which response gets the
//! room that becomes free and which caller is cut off; this module counts the bytes and applies its
//! decisions. The response of a caller that is
//! cut off ends as truncated, and what is held for it is released at once.

use crate::body::TruncatedBody;
use crate::decision_log;
use crate::router::Router;
use bytes::Bytes;
use stackpost_gateway_core::{BufferId, CutOff, ReaderTerms, StoreOutcome, StreamBuffers};
use stackpost_types::{Millis, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Largest part of a chunk that is handed to the caller's connection at once. The connection holds
/// up to the size of its buffer and one such part that are not counted here.
const MAX_PART_BYTES: usize = 16 * 1024;
/// Memory that a chunk takes in addition to its bytes: its entry and the header of its allocation.
const CHUNK_OVERHEAD_BYTES: u64 = 64;
/// Interval at which a paused response checks whether it may go on or has to be cut off. The first
/// in the queue for room is also notified when some becomes free.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two searches for a caller to cut off, which look at all buffers.
const SEARCH_INTERVAL: Millis = Millis(50);

/// The caller has disconnected or was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// The bytes that a router holds for its callers.
pub(crate) struct CallerBuffers {
    decisions: RefCell<StreamBuffers>,
    channels: RefCell<HashMap<BufferId, Rc<Channel>>>,
    searched_at: Cell<Option<Timestamp>>,
}

impl CallerBuffers {
    /// Creates the state without buffers.
    pub fn new(decisions: StreamBuffers) -> Self {
        let (decisions, channels) = (RefCell::new(decisions), RefCell::default());
        Self { decisions, channels, searched_at: Cell::new(None) }
    }
}

/// How the sender ended the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Truncated,
}

struct Channel {
    id: BufferId,
    /// Id of the request, for log lines.
    request: String,
    chunks: RefCell<VecDeque<Bytes>>,
    end: Cell<Option<End>>,
    /// Set when the caller disconnects or is cut off.
    closed: Cell<bool>,
    /// Notifies the sender that bytes were taken, that it is first in the queue for room, or that the
    /// channel was closed.
    taken: Notify,
    /// Notifies the sender that the channel was closed.
    closing: Notify,
    receiver: RefCell<Option<Waker>>,
}

impl Channel {
    fn close(&self) {
        self.closed.set(true);
        self.chunks.borrow_mut().clear();
        self.taken.notify_one();
        self.closing.notify_one();
        self.wake_receiver();
    }

    fn wake_receiver(&self) {
        if let Some(waker) = self.receiver.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Sends the body of a response. Dropping it without [`Self::complete`] ends the body as truncated.
pub(crate) struct ByteSender {
    router: Rc<Router>,
    channel: Rc<Channel>,
}

/// Receives the body of a response.
pub struct ByteReceiver {
    router: Rc<Router>,
    channel: Rc<Channel>,
}

impl Router {
    /// Opens the channel for the body of a response.
    pub(crate) fn open_byte_channel(
        self: &Rc<Self>,
        request: &str,
        terms: ReaderTerms,
    ) -> (ByteSender, ByteReceiver) {
        let buffers = &self.caller_buffers;
        let channel = Rc::new(Channel {
            id: buffers.decisions.borrow_mut().open(self.now(), terms),
            request: request.into(),
            chunks: RefCell::default(),
            end: Cell::new(None),
            closed: Cell::new(false),
            taken: Notify::new(),
            closing: Notify::new(),
            receiver: RefCell::default(),
        });
        buffers.channels.borrow_mut().insert(channel.id, channel.clone());
        let receiver = ByteReceiver { router: self.clone(), channel: channel.clone() };
        (ByteSender { router: self.clone(), channel }, receiver)
    }

    /// Bytes that are held for callers that have not taken them yet; zero with unbounded streams.
    pub fn held_stream_bytes(&self) -> u64 {
        self.caller_buffers.decisions.borrow().held()
    }

    /// Cuts callers off while all buffers together are short of room.
    fn enforce_total(&self) {
        let (now, buffers) = (self.now(), &self.caller_buffers);
        let searched_lately =
            buffers.searched_at.get().is_some_and(|at| now.since(at) < SEARCH_INTERVAL);
        if searched_lately || !buffers.decisions.borrow().is_short_of_room() {
            return;
        }
        buffers.searched_at.set(Some(now));
        loop {
            let slowest = buffers.decisions.borrow().reader_to_cut(now);
            let Some(cut_off) = slowest else {
                return;
            };
            self.cut_off(cut_off);
        }
    }

    /// Cuts a caller off that takes nothing although its own buffer is full.
    fn enforce_progress(&self, id: BufferId) {
        let stuck = self.caller_buffers.decisions.borrow().stuck_reader(self.now(), id);
        if let Some(cut_off) = stuck {
            self.cut_off(cut_off);
        }
    }

    fn cut_off(&self, cut_off: CutOff) {
        let held_in_total = self.held_stream_bytes();
        if let Some(channel) = self.release_buffer(cut_off.buffer) {
            decision_log::reader_cut_off(&channel.request, &cut_off, held_in_total);
            self.metrics.on_reader_cut_off(cut_off.reason.as_str());
            channel.close();
        }
    }

    fn release_buffer(&self, id: BufferId) -> Option<Rc<Channel>> {
        self.caller_buffers.decisions.borrow_mut().close(id);
        let channel = self.caller_buffers.channels.borrow_mut().remove(&id);
        self.notify_first_in_queue();
        channel
    }

    /// Lets the response whose turn it is check whether there is room for it.
    fn notify_first_in_queue(&self) {
        let first = self.caller_buffers.decisions.borrow().first_in_queue();
        let channels = self.caller_buffers.channels.borrow();
        if let Some(channel) = first.and_then(|first| channels.get(&first)) {
            channel.taken.notify_one();
        }
    }
}

impl ByteSender {
    /// Stores a chunk once there is room for it. Wait for [`Self::room`] before reading more.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerGone> {
        let bytes = chunk.len() as u64 + CHUNK_OVERHEAD_BYTES;
        while !chunk.is_empty() && !self.channel.closed.get() {
            match self.try_store(bytes) {
                StoreOutcome::Stored => {
                    self.channel.chunks.borrow_mut().push_back(chunk);
                    self.channel.wake_receiver();
                    self.router.notify_first_in_queue();
                    self.router.enforce_total();
                    break;
                }
                StoreOutcome::Waits => {
                    self.router.enforce_total();
                    self.wait_for_change().await;
                }
                StoreOutcome::TooLarge(cut_off) => self.router.cut_off(cut_off),
            }
        }
        if self.channel.closed.get() { Err(CallerGone) } else { Ok(()) }
    }

    fn try_store(&self, bytes: u64) -> StoreOutcome {
        let mut decisions = self.router.caller_buffers.decisions.borrow_mut();
        decisions.try_store(self.router.now(), self.channel.id, bytes)
    }

    /// Whether the caller has taken everything that was sent.
    pub fn is_empty(&self) -> bool {
        self.channel.chunks.borrow().is_empty()
    }

    /// Whether more may be read from the engine. The response queues for room if not.
    pub fn has_room(&self) -> bool {
        self.router.caller_buffers.decisions.borrow_mut().request_read(self.channel.id)
    }

    /// Waits until more may be read from the engine.
    pub async fn room(&self) -> Result<(), CallerGone> {
        loop {
            self.router.enforce_progress(self.channel.id);
            self.router.enforce_total();
            if self.channel.closed.get() {
                return Err(CallerGone);
            }
            if self.has_room() {
                self.router.notify_first_in_queue();
                return Ok(());
            }
            self.wait_for_change().await;
        }
    }

    /// Waits until there may be room. The caller checks the conditions again in any case.
    async fn wait_for_change(&self) {
        let _ = timeout(CHECK_INTERVAL, self.channel.taken.notified()).await;
    }

    /// Returns once the caller has disconnected or was cut off.
    pub async fn closed(&self) {
        while !self.channel.closed.get() {
            self.channel.closing.notified().await;
        }
    }

    /// Ends the body as complete.
    pub fn complete(self) {
        self.channel.end.set(Some(End::Complete));
    }
}

impl Drop for ByteSender {
    fn drop(&mut self) {
        let end = self.channel.end.get().unwrap_or(End::Truncated);
        self.channel.end.set(Some(end));
        self.router.caller_buffers.decisions.borrow_mut().on_source_ended(self.channel.id);
        self.router.notify_first_in_queue();
        self.channel.wake_receiver();
    }
}

impl ByteReceiver {
    /// The next part of the body; `None` at its end.
    pub(crate) fn poll_recv(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        if self.channel.closed.get() {
            return Poll::Ready(Some(Err(TruncatedBody)));
        }
        if let Some(part) = self.take_part() {
            return Poll::Ready(Some(Ok(part)));
        }
        match self.channel.end.get() {
            Some(End::Complete) => Poll::Ready(None),
            Some(End::Truncated) => Poll::Ready(Some(Err(TruncatedBody))),
            None => {
                self.channel.receiver.replace(Some(context.waker().clone()));
                Poll::Pending
            }
        }
    }

    fn take_part(&self) -> Option<Bytes> {
        let mut chunks = self.channel.chunks.borrow_mut();
        let first = chunks.front_mut()?;
        let part = first.split_to(first.len().min(MAX_PART_BYTES));
        let mut bytes = part.len() as u64;
        if first.is_empty() {
            chunks.pop_front();
            bytes += CHUNK_OVERHEAD_BYTES;
        }
        drop(chunks);
        let now = self.router.now();
        self.router.caller_buffers.decisions.borrow_mut().on_taken(now, self.channel.id, bytes);
        self.channel.taken.notify_one();
        self.router.notify_first_in_queue();
        Some(part)
    }
}

impl Drop for ByteReceiver {
    fn drop(&mut self) {
        self.router.release_buffer(self.channel.id);
        self.channel.close();
    }
}

impl fmt::Debug for ByteReceiver {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ByteReceiver").field("buffer", &self.channel.id).finish()
    }
}
