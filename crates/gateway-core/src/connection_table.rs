//! Which connections of clients a process keeps, when there are too many or when the heads of their
//! requests do not end.
//!
//! Clients may open connections and send nothing, or part of a head. Both take descriptors and
//! memory that others need. So a new connection takes the place of one that has no whole request:
//! of the oldest unfinished head, if that has taken long, else of the body that has made no progress
//! for longest, else of the connection that has been idle longest. A connection with a whole request
//! under way, or with a response that is not written completely, is never closed for another one; but
//! one whose client takes nothing of its response for long is closed.
//!
//! Invariants: no more connections than the limit are open; the unfinished heads of all of them
//! together take no more than theirs.

use crate::BodyLimits;
use stackpost_types::{Millis, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors of a process whose limit is not known.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Part of the other descriptors, in percent, for the connections of clients. The rest is left for
/// those to engines and within the fleet.
const CLIENT_PERCENT: u64 = 60;
/// The connections of clients may take this part of the machine's memory.
const MEMORY_PARTS: u64 = 4;
/// Memory that an idle connection takes.
const CONNECTION_BYTES: u64 = 12 * 1024;
/// The unfinished heads may take this part of the memory for bodies.
const HEAD_PARTS: u64 = 4;
/// The buffer of a head is up to twice as large as what has arrived of it.
const BUFFER_FACTOR: u64 = 2;
/// Time after which an unfinished head, and a body without progress, give way before idle
/// connections do.
const STALL_GRACE: Millis = Millis(1_000);
/// A body makes progress with this many bytes.
const PROGRESS_BYTES: u64 = 16 * 1024;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Limits on the connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Open connections.
    pub connections: u64,
    /// Memory for all unfinished heads, in bytes.
    pub head_bytes: u64,
}

impl ConnectionLimits {
    /// The limits for the main port of a process with these descriptors and this memory, in
    /// megabytes; `None` if they are not known.
    pub fn of_process(descriptors: Option<u64>, memory_mb: Option<u64>) -> Self {
        let usable =
            descriptors.unwrap_or(DEFAULT_DESCRIPTORS).saturating_sub(FILE_DESCRIPTORS).max(1);
        let by_descriptors = usable * CLIENT_PERCENT / 100;
        let by_memory = memory_mb.map_or(u64::MAX, |memory| {
            memory.saturating_mul(BYTES_PER_MEGABYTE) / MEMORY_PARTS / CONNECTION_BYTES
        });
        Self {
            connections: by_descriptors.min(by_memory).max(1),
            head_bytes: BodyLimits::of_machine(memory_mb).total / HEAD_PARTS,
        }
    }

    /// The limits for a port to which only few connections are opened, one in `parts` of these.
    pub fn divided_by(self, parts: u64) -> Self {
        Self { connections: (self.connections / parts).max(1), head_bytes: self.head_bytes / parts }
    }
}

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a request.
    Idle { since: Timestamp },
    /// Part of a head has arrived.
    Head { since: Timestamp, bytes: u64 },
    /// Part of a body has arrived. When it last made progress, and what has arrived since.
    Body { progress_at: Timestamp, bytes: u64 },
    /// A whole request is under way.
    Request,
    /// The response is complete, and part of it is not written yet. Since when nothing was.
    Sending { since: Timestamp },
}

/// How long a client may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// From the first byte of a head to its end.
    pub head: Millis,
    /// Without taking anything of a complete response.
    pub send: Millis,
}

/// A connection that is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection whose place it takes, which is to be closed.
    pub replaces: Option<ConnectionId>,
}

/// The open connections of clients at one port.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    phases: HashMap<ConnectionId, Phase>,
    idle: BTreeSet<(Timestamp, ConnectionId)>,
    heads: BTreeSet<(Timestamp, ConnectionId)>,
    bodies: BTreeSet<(Timestamp, ConnectionId)>,
    sending: BTreeSet<(Timestamp, ConnectionId)>,
    head_bytes: u64,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates the state without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            phases: HashMap::new(),
            idle: BTreeSet::new(),
            heads: BTreeSet::new(),
            bodies: BTreeSet::new(),
            sending: BTreeSet::new(),
            head_bytes: 0,
            next_id: 0,
        }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> u64 {
        self.phases.len() as u64
    }

    /// Admits a new connection; `None` if all others have a whole request under way, a body that
    /// makes progress or a response that is not written.
    pub fn open(&mut self, now: Timestamp) -> Option<Admitted> {
        let mut replaces = None;
        if self.open_connections() >= self.limits.connections {
            let replaced = self.replaceable(now)?;
            self.close(replaced);
            replaces = Some(replaced);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.enter(id, Phase::Idle { since: now });
        Some(Admitted { id, replaces })
    }

    fn replaceable(&self, now: Timestamp) -> Option<ConnectionId> {
        let (head, body) = (self.heads.first(), self.bodies.first());
        let is_overdue = |(since, _): &&(Timestamp, ConnectionId)| now.since(*since) >= STALL_GRACE;
        let overdue = head.filter(is_overdue).or(body.filter(is_overdue));
        overdue.or(self.idle.first()).or(head).map(|(_, id)| *id)
    }

    /// Records bytes that have arrived on a connection. Returns a connection that is to be closed,
    /// if the unfinished heads take too much: the one whose head began first.
    pub fn on_received(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        received: u64,
    ) -> Option<ConnectionId> {
        let bytes = received * BUFFER_FACTOR;
        match *self.phases.get(&id)? {
            Phase::Idle { .. } => self.enter(id, Phase::Head { since: now, bytes }),
            Phase::Head { since, bytes: before } => {
                self.enter(id, Phase::Head { since, bytes: before + bytes });
            }
            Phase::Body { progress_at, bytes: before } => {
                self.on_body_received(now, id, progress_at, before + received);
                return None;
            }
            Phase::Request | Phase::Sending { .. } => return None,
        }
        if self.head_bytes <= self.limits.head_bytes {
            return None;
        }
        let (_, oldest) = *self.heads.first()?;
        self.close(oldest);
        Some(oldest)
    }

    fn on_body_received(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        progress_at: Timestamp,
        bytes: u64,
    ) {
        if bytes >= PROGRESS_BYTES {
            self.enter(id, Phase::Body { progress_at: now, bytes: 0 });
        } else {
            self.enter(id, Phase::Body { progress_at, bytes });
        }
    }

    /// Records that the head of a request is complete, and whether a body follows.
    pub fn on_request(&mut self, now: Timestamp, id: ConnectionId, has_body: bool) {
        if self.phases.contains_key(&id) {
            let body = Phase::Body { progress_at: now, bytes: 0 };
            self.enter(id, if has_body { body } else { Phase::Request });
        }
    }

    /// Records that the body of a request is whole, or that the rest of it is not wanted.
    pub fn on_body_ended(&mut self, id: ConnectionId) {
        if let Some(Phase::Body { .. }) = self.phases.get(&id) {
            self.enter(id, Phase::Request);
        }
    }

    /// Records that the response to a request is complete, though not yet written.
    pub fn on_request_ended(&mut self, now: Timestamp, id: ConnectionId) {
        if self.phases.contains_key(&id) {
            self.enter(id, Phase::Sending { since: now });
        }
    }

    /// Records that the client has taken bytes.
    pub fn on_sent(&mut self, now: Timestamp, id: ConnectionId) {
        if let Some(Phase::Sending { .. }) = self.phases.get(&id) {
            self.enter(id, Phase::Sending { since: now });
        }
    }

    /// Records that everything is written.
    pub fn on_all_sent(&mut self, now: Timestamp, id: ConnectionId) {
        if let Some(Phase::Sending { .. }) = self.phases.get(&id) {
            self.enter(id, Phase::Idle { since: now });
        }
    }

    /// Removes and returns the connections whose clients take too long.
    pub fn close_overdue(&mut self, now: Timestamp, timeouts: ClientTimeouts) -> Vec<ConnectionId> {
        let heads = self.heads.iter().map(|entry| (entry, timeouts.head));
        let sending = self.sending.iter().map(|entry| (entry, timeouts.send));
        let overdue: Vec<ConnectionId> = heads
            .chain(sending)
            .filter(|((since, _), timeout)| now.since(*since) >= *timeout)
            .map(|((_, id), _)| *id)
            .collect();
        overdue.iter().for_each(|id| self.close(*id));
        overdue
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.leave(id);
    }

    fn enter(&mut self, id: ConnectionId, phase: Phase) {
        self.leave(id);
        match phase {
            Phase::Idle { since } => drop(self.idle.insert((since, id))),
            Phase::Head { since, bytes } => {
                self.heads.insert((since, id));
                self.head_bytes += bytes;
            }
            Phase::Body { progress_at, .. } => drop(self.bodies.insert((progress_at, id))),
            Phase::Sending { since } => drop(self.sending.insert((since, id))),
            Phase::Request => {}
        }
        self.phases.insert(id, phase);
    }

    fn leave(&mut self, id: ConnectionId) {
        match self.phases.remove(&id) {
            Some(Phase::Idle { since }) => drop(self.idle.remove(&(since, id))),
            Some(Phase::Head { since, bytes }) => {
                self.heads.remove(&(since, id));
                self.head_bytes -= bytes;
            }
            Some(Phase::Body { progress_at, .. }) => drop(self.bodies.remove(&(progress_at, id))),
            Some(Phase::Sending { since }) => drop(self.sending.remove(&(since, id))),
            Some(Phase::Request) | None => {}
        }
    }
}
