//! Bounds on the memory for the bodies that a process holds, in sum and by size.
//!
//! A body takes room before its bytes are kept: at once for a stated length, and as it grows
//! otherwise. Bodies that were received whole keep their room until their request has ended.
//!
//! Clients may send part of a body and then nothing more. So a body that makes no progress gives way
//! to another one that finds no room. Room is also kept for small bodies that larger ones can't
//! take: most requests and all announcements of engines are small. Bodies that wait for room get it
//! in the order in which they came, those that hold some already first.
//!
//! Invariants: the bodies of each size and of all larger sizes together stay within the limit of
//! that size; only bodies that are not whole, make no progress and do not wait for room give way,
//! and only if the other body then finds room; a waiting body is not overtaken by a later one of its
//! size, and no more bodies wait than the limit allows, since what has arrived of each lies unread in
//! its socket.

use stackpost_types::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The bodies may take this part of the machine's memory, in percent.
const MEMORY_PERCENT: u64 = 30;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Bytes for all bodies on a machine whose memory is not known.
const DEFAULT_TOTAL_BYTES: u64 = 64 * BYTES_PER_MEGABYTE;
/// Size of the largest tiny body.
const MAX_TINY_BODY: u64 = 4 * 1024;
/// Size of the largest small body, in bytes.
pub const MAX_SMALL_BODY: u64 = 64 * 1024;
/// Part of the room, in percent, that large bodies may take, and small and large ones together.
const LARGE_PERCENT: u64 = 80;
const SMALL_PERCENT: u64 = 90;
/// What lies unread for the waiting bodies of a size may take this part of the room.
const WAITING_PARTS: u64 = 4;
/// Bytes that lie unread for a waiting body at most.
const UNREAD_BYTES: u64 = 64 * 1024;
/// A body makes progress if it receives this many bytes within [`STALL_TIME`].
const PROGRESS_BYTES: u64 = 16 * 1024;
/// Time without progress after which a body may have to give way.
pub const STALL_TIME: Millis = Millis(500);

/// Bound on all bodies together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Bytes.
    pub total: u64,
}

impl BodyLimits {
    /// The limits on a machine with this memory, in megabytes; `None` if it is not known.
    pub fn of_machine(memory_mb: Option<u64>) -> Self {
        let of_memory =
            |memory: u64| memory.saturating_mul(BYTES_PER_MEGABYTE / 100 * MEMORY_PERCENT);
        Self { total: memory_mb.map_or(DEFAULT_TOTAL_BYTES, of_memory) }
    }

    /// Bodies of one size that may wait for room.
    fn waiting(&self) -> u64 {
        (self.total / WAITING_PARTS / UNREAD_BYTES).max(1)
    }

    /// Bytes for bodies of a size and all larger sizes together.
    fn of_size(&self, size: BodySize) -> u64 {
        match size {
            BodySize::Tiny => self.total,
            BodySize::Small => self.total * SMALL_PERCENT / 100,
            BodySize::Large => self.total * LARGE_PERCENT / 100,
        }
    }
}

/// Class of a body by the room that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum BodySize {
    Tiny,
    Small,
    Large,
}

impl BodySize {
    const ALL: [Self; 3] = [Self::Tiny, Self::Small, Self::Large];

    fn of(room: u64) -> Self {
        if room <= MAX_TINY_BODY {
            Self::Tiny
        } else if room <= MAX_SMALL_BODY {
            Self::Small
        } else {
            Self::Large
        }
    }
}

/// Identifies one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// There is no room for a body at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Clone, Copy, Debug)]
struct Body {
    room: u64,
    received: u64,
    /// When the body last made progress, and its size then.
    progress_at: Timestamp,
    progress_bytes: u64,
    is_whole: bool,
    /// Its place in the queue for room, while it waits.
    turn: Option<Turn>,
}

impl Body {
    fn is_stalled(&self, now: Timestamp) -> bool {
        let may_progress = !self.is_whole && self.turn.is_none();
        may_progress && now.since(self.progress_at) >= STALL_TIME
    }
}

/// Place in the queue for room among bodies of the same size; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    size: BodySize,
    /// Whether the body holds no room yet.
    is_new: bool,
    number: u64,
}

/// Bytes taken by bodies, by size.
#[derive(Clone, Copy, Debug, Default)]
struct Taken([u64; BodySize::ALL.len()]);

impl Taken {
    fn add(&mut self, room: u64) {
        self.0[BodySize::of(room) as usize] += room;
    }

    fn remove(&mut self, room: u64) {
        self.0[BodySize::of(room) as usize] -= room;
    }

    /// Bytes taken by bodies of a size and all larger sizes.
    fn from(&self, size: BodySize) -> u64 {
        self.0[size as usize..].iter().sum()
    }

    /// The smallest size at which a body with this room would exceed its limit.
    fn exceeded(&self, limits: &BodyLimits, room: u64) -> Option<BodySize> {
        let mut affected = BodySize::ALL.into_iter().filter(|size| *size <= BodySize::of(room));
        affected.find(|size| self.from(*size).saturating_add(room) > limits.of_size(*size))
    }
}

/// The bodies that a process holds.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limits: BodyLimits,
    taken: Taken,
    bodies: BTreeMap<BodyId, Body>,
    queue: BTreeSet<(Turn, BodyId)>,
    next_id: u64,
    next_turn: u64,
}

impl BodyMemory {
    /// Creates the state without bodies.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            taken: Taken::default(),
            bodies: BTreeMap::new(),
            queue: BTreeSet::new(),
            next_id: 0,
            next_turn: 0,
        }
    }

    /// Size of the largest body that finds room when there is no other one, in bytes.
    pub fn largest_body(&self) -> u64 {
        self.limits.of_size(BodySize::Large)
    }

    /// Bytes taken by all bodies.
    pub fn taken(&self) -> u64 {
        self.taken.from(BodySize::Tiny)
    }

    /// Adds a body that takes no room yet.
    pub fn open(&mut self, now: Timestamp) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = Body {
            room: 0,
            received: 0,
            progress_at: now,
            progress_bytes: 0,
            is_whole: false,
            turn: None,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Takes `room` bytes for a body, including what it has already. Returns the bodies that have
    /// given way; their requests are to be refused.
    ///
    /// # Errors
    ///
    /// There is no room, not even if all bodies without progress give way, or others come first.
    /// Nothing has changed.
    pub fn take(&mut self, now: Timestamp, id: BodyId, room: u64) -> Result<Vec<BodyId>, NoRoom> {
        let Some(body) = self.bodies.get(&id).copied() else {
            return Err(NoRoom);
        };
        if !self.is_first(&body, room) {
            return Err(NoRoom);
        }
        let mut taken = self.taken;
        taken.remove(body.room);
        let given_way = self.bodies_giving_way(now, id, room, &mut taken)?;
        taken.add(room);
        self.taken = taken;
        for stalled in &given_way {
            self.bodies.remove(stalled);
        }
        self.leave_queue(now, id);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.room = room;
        }
        Ok(given_way)
    }

    /// Lets a body wait for room until it takes some or is closed. While it waits, it need not make
    /// progress.
    ///
    /// # Errors
    ///
    /// Too many bodies of its size wait already.
    pub fn wait_for(&mut self, id: BodyId, room: u64) -> Result<(), NoRoom> {
        let (size, number) = (BodySize::of(room), self.next_turn);
        let waiting = self.queue.iter().filter(|(turn, _)| turn.size == size).count() as u64;
        let body = self.bodies.get_mut(&id).ok_or(NoRoom)?;
        if body.turn.is_some() {
            return Ok(());
        }
        if waiting >= self.limits.waiting() {
            return Err(NoRoom);
        }
        let turn = Turn { size, is_new: body.room == 0, number };
        body.turn = Some(turn);
        self.queue.insert((turn, id));
        self.next_turn += 1;
        Ok(())
    }

    /// The waiting bodies whose turn it is, one of each size.
    pub fn first_waiting(&self) -> Vec<BodyId> {
        let of_size = |size| self.queue.iter().find(move |(turn, _)| turn.size == size);
        BodySize::ALL.into_iter().filter_map(of_size).map(|(_, id)| *id).collect()
    }

    /// Whether no other body of its size comes before this one.
    fn is_first(&self, body: &Body, room: u64) -> bool {
        let size = BodySize::of(room);
        let first = self.queue.iter().find(|(turn, _)| turn.size == size).map(|(turn, _)| *turn);
        let own = Turn { size, is_new: body.room == 0, number: self.next_turn };
        first.is_none_or(|first| body.turn.unwrap_or(own) <= first)
    }

    fn leave_queue(&mut self, now: Timestamp, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id)
            && let Some(turn) = body.turn.take()
        {
            self.queue.remove(&(turn, id));
            body.progress_at = now;
        }
    }

    /// The bodies that give way to one with this room, the longest without progress first. Removes
    /// them from `taken`.
    fn bodies_giving_way(
        &self,
        now: Timestamp,
        id: BodyId,
        room: u64,
        taken: &mut Taken,
    ) -> Result<Vec<BodyId>, NoRoom> {
        if taken.exceeded(&self.limits, room).is_none() {
            return Ok(Vec::new());
        }
        let mut stalled: Vec<(Timestamp, BodyId, u64)> = self
            .bodies
            .iter()
            .filter(|(other, body)| **other != id && body.is_stalled(now))
            .map(|(other, body)| (body.progress_at, *other, body.room))
            .collect();
        stalled.sort_unstable();
        let mut given_way = Vec::new();
        for (_, other, other_room) in stalled {
            let Some(exceeded) = taken.exceeded(&self.limits, room) else {
                break;
            };
            if BodySize::of(other_room) >= exceeded {
                taken.remove(other_room);
                given_way.push(other);
            }
        }
        if taken.exceeded(&self.limits, room).is_some() { Err(NoRoom) } else { Ok(given_way) }
    }

    /// Records bytes that were received of a body.
    pub fn on_received(&mut self, now: Timestamp, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received += bytes;
            if body.received - body.progress_bytes >= PROGRESS_BYTES {
                body.progress_at = now;
                body.progress_bytes = body.received;
            }
        }
    }

    /// Records that a body was received whole and takes `room` bytes, no more than before. It no
    /// longer gives way.
    pub fn on_whole(&mut self, id: BodyId, room: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            self.taken.remove(body.room);
            body.room = room.min(body.room);
            self.taken.add(body.room);
            body.is_whole = true;
        }
    }

    /// Removes a body; its room is free.
    pub fn close(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.taken.remove(body.room);
            if let Some(turn) = body.turn {
                self.queue.remove(&(turn, id));
            }
        }
    }
}
