//! Reads the bodies of requests into memory that is bounded for all of them together.
//!
//! [`BodyMemory`] decides which body finds room and which gives way; this module reads, waits for
//! room and applies its decisions. Nothing is read for a body that has no room, so its sender is
//! held up by the receive window of its connection.

use crate::client_connections::RequestGuard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use stackpost_gateway_core::{BodyId, BodyLimits, BodyMemory, MAX_SMALL_BODY, NoRoom};
use stackpost_types::{Millis, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at};

/// Room that a body without a stated length takes at first. It is doubled as the body grows.
const FIRST_ROOM_BYTES: usize = 4 * 1024;
/// Interval at which a waiting body looks again for room, beside each time that its turn may have
/// come: another body may have made no progress meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why a body is not read to its end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyReadError<E> {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The bodies under way leave no room for this one.
    #[error("the bodies under way leave no room")]
    NoRoom,
    /// The body has made no progress and gave way to another one.
    #[error("the body made no progress and gave way to another one")]
    GaveWay,
    /// The connection has failed.
    #[error("the body can't be read: {0}")]
    Failed(String),
    /// The reader does not want the rest.
    #[error("the rest of the body is not wanted")]
    Unwanted(E),
}

/// The bodies that a process holds.
#[derive(Debug)]
pub struct BoundedBodies {
    memory: RefCell<BodyMemory>,
    signals: RefCell<HashMap<BodyId, Rc<Signals>>>,
    started: Instant,
}

/// What a body is told while it is read.
#[derive(Debug, Default)]
struct Signals {
    /// It has to give way.
    given_way: Notify,
    /// Its turn for room may have come.
    turn: Notify,
}

/// A whole body. It takes room until it is dropped.
#[derive(Debug)]
pub struct WholeBody {
    bytes: Bytes,
    /// `None` for a body without bytes.
    _room: Option<BodyRoom>,
}

impl WholeBody {
    /// The content.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl BoundedBodies {
    /// Creates the state without bodies.
    pub fn new(limits: BodyLimits) -> Rc<Self> {
        Rc::new(Self {
            memory: RefCell::new(BodyMemory::new(limits)),
            signals: RefCell::default(),
            started: Instant::now(),
        })
    }

    /// Bytes that are taken by all bodies.
    pub fn taken_bytes(&self) -> u64 {
        self.memory.borrow().taken()
    }

    /// Reads a body of up to `limit` bytes, which waits for room up to `wait` in all. `may_go_on` is
    /// asked with each part whether the rest is still wanted.
    pub async fn read<E>(
        self: &Rc<Self>,
        body: &mut Incoming,
        limit: usize,
        wait: Duration,
        may_go_on: impl Fn() -> Result<(), E>,
    ) -> Result<WholeBody, BodyReadError<E>> {
        // A larger body would wait in vain.
        let limit = limit.min(self.memory.borrow().largest_body() as usize);
        let size = body.size_hint();
        if size.lower() > limit as u64 {
            return Err(BodyReadError::TooLarge { limit });
        }
        if size.exact() == Some(0) {
            return Ok(WholeBody { bytes: Bytes::new(), _room: None });
        }
        let room = BodyRoom::open(self, wait);
        let mut bytes = Vec::new();
        if let Some(stated) = size.exact() {
            room.grow(&mut bytes, stated as usize, stated as usize).await?;
        }
        while let Some(frame) = room.unless_given_way(body.frame()).await? {
            may_go_on().map_err(BodyReadError::Unwanted)?;
            let frame = frame.map_err(|error| BodyReadError::Failed(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed = bytes.len() + data.len();
            if needed > limit {
                return Err(BodyReadError::TooLarge { limit });
            }
            if needed > bytes.capacity() {
                let doubled = (2 * bytes.capacity()).max(FIRST_ROOM_BYTES).min(limit);
                room.grow(&mut bytes, doubled.max(needed), limit).await?;
            }
            bytes.extend_from_slice(&data);
            room.on_received(data.len());
        }
        room.on_whole(bytes.capacity());
        Ok(WholeBody { bytes: bytes.into(), _room: Some(room) })
    }

    fn now(&self) -> Timestamp {
        Timestamp::PROCESS_START + Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Takes room for a body, and tells the bodies that give way to it.
    fn take(&self, id: BodyId, room: usize) -> Result<(), NoRoom> {
        let given_way = self.memory.borrow_mut().take(self.now(), id, room as u64)?;
        let signals = self.signals.borrow();
        for signals in given_way.iter().filter_map(|id| signals.get(id)) {
            signals.given_way.notify_one();
        }
        Ok(())
    }

    /// Tells the waiting bodies whose turn may have come.
    fn notify_first_waiting(&self) {
        let signals = self.signals.borrow();
        for first in self.memory.borrow().first_waiting() {
            if let Some(signals) = signals.get(&first) {
                signals.turn.notify_one();
            }
        }
    }
}

/// The room that a body takes, until it is dropped.
#[derive(Debug)]
struct BodyRoom {
    bodies: Rc<BoundedBodies>,
    id: BodyId,
    signals: Rc<Signals>,
    /// Bytes.
    taken: Cell<usize>,
    /// How much longer the body may wait for room.
    wait_left: Cell<Duration>,
}

impl BodyRoom {
    fn open(bodies: &Rc<BoundedBodies>, wait: Duration) -> Self {
        let id = bodies.memory.borrow_mut().open(bodies.now());
        let signals = Rc::<Signals>::default();
        bodies.signals.borrow_mut().insert(id, signals.clone());
        let (taken, wait_left) = (Cell::new(0), Cell::new(wait));
        Self { bodies: bodies.clone(), id, signals, taken, wait_left }
    }

    /// Grows `bytes` to a capacity of `needed`. A large body takes room for `most` at once if there
    /// is some, so that it need not wait again as it grows.
    async fn grow<E>(
        &self,
        bytes: &mut Vec<u8>,
        needed: usize,
        most: usize,
    ) -> Result<(), BodyReadError<E>> {
        if needed > self.taken.get() {
            let at_once = if needed as u64 > MAX_SMALL_BODY { most.max(needed) } else { needed };
            let taking = self.take(needed, at_once);
            self.unless_given_way(taking).await?.map_err(|NoRoom| BodyReadError::NoRoom)?;
        }
        bytes.reserve_exact(needed - bytes.len());
        Ok(())
    }

    /// Takes room for `most` bytes in all, or for those that are needed.
    async fn take(&self, needed: usize, most: usize) -> Result<(), NoRoom> {
        let started = Instant::now();
        let wait_until = tokio::time::Instant::from_std(started) + self.wait_left.get();
        while !self.try_take(most) && !self.try_take(needed) {
            let now = tokio::time::Instant::now();
            if now >= wait_until {
                return Err(NoRoom);
            }
            self.bodies.memory.borrow_mut().wait_for(self.id, needed as u64)?;
            let retry_at = (now + RETRY_INTERVAL).min(wait_until);
            // Whether its turn has come or the time has passed, the body looks again.
            let _ = timeout_at(retry_at, self.signals.turn.notified()).await;
        }
        self.wait_left.set(self.wait_left.get().saturating_sub(started.elapsed()));
        self.bodies.notify_first_waiting();
        Ok(())
    }

    fn try_take(&self, room: usize) -> bool {
        let is_taken = self.bodies.take(self.id, room).is_ok();
        if is_taken {
            self.taken.set(room);
        }
        is_taken
    }

    /// The result of `work`, unless the body has to give way meanwhile.
    async fn unless_given_way<T, E>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, BodyReadError<E>> {
        tokio::select! {
            biased;
            () = self.signals.given_way.notified() => Err(BodyReadError::GaveWay),
            result = work => Ok(result),
        }
    }

    fn on_received(&self, bytes: usize) {
        let now = self.bodies.now();
        self.bodies.memory.borrow_mut().on_received(now, self.id, bytes as u64);
    }

    fn on_whole(&self, room: usize) {
        self.bodies.memory.borrow_mut().on_whole(self.id, room as u64);
        self.bodies.notify_first_waiting();
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.bodies.memory.borrow_mut().close(self.id);
        self.bodies.signals.borrow_mut().remove(&self.id);
        self.bodies.notify_first_waiting();
    }
}

/// Reads on and drops up to `limit` bytes of a body whose request is refused, until `deadline`: a
/// sender whose connection is reset while it still sends does not receive the response. The request
/// counts as under way meanwhile.
pub async fn discard(
    mut body: Incoming,
    limit: usize,
    deadline: tokio::time::Instant,
    _under_way: RequestGuard,
) {
    let read = async {
        let mut left = limit;
        while let Some(Ok(frame)) = body.frame().await {
            let received = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(received) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    tokio::select! {
        () = read => {}
        () = sleep_until(deadline) => {}
    }
}
