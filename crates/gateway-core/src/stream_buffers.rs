//! Bounds on the bytes that a router holds for callers that read slowly.
//!
//! Load: streams and large responses of engines that send faster than their callers read. With
//! buffers of 16 events each, 24 such callers with events of 150 kB held 58 MB on a machine with
//! 88 MB.
//!
//! A router reads ahead of each caller up to a bound in bytes, because engines end a response that
//! stays unread for some seconds. It stops reading for a caller at that bound, and for every caller
//! that has bytes left to take while all buffers together are nearly full. What becomes free goes to
//! the responses that have waited longest.
//!
//! A caller that takes nothing while others take is cut off. Time in which no caller takes anything
//! counts against none of them: their common link or machine is slow, and cutting them off would
//! serve nobody.

use crate::service_clock::{Moment, ServiceClock};
use stackpost_types::{Millis, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that are held for one caller before the router stops reading from the engine. The event
/// that reaches the bound is held as a whole.
const MAX_BYTES_PER_CALLER: u64 = 256 * 1024;
/// The buffers of all callers together may take this part of the machine's memory.
const MEMORY_PARTS: u64 = 4;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Bytes that are held for all callers together on a machine whose memory is not known.
const DEFAULT_MAX_TOTAL_BYTES: u64 = 16 * BYTES_PER_MEGABYTE;
/// All buffers together are nearly full at this part of their limit, in percent. The rest is left
/// for callers that have taken everything.
const NEARLY_FULL_PERCENT: u64 = 85;
/// From this part on, nothing more is read for any caller. The rest is left for events that arrive
/// at the same moment: without it, the caller whose event exceeded the limit had another one cut
/// off, and 116 of 300 callers that read half as fast as events came were cut off within 20 s.
const NO_MORE_READS_PERCENT: u64 = 95;
/// A caller at its bound may take nothing for as long as this many events are due by the gap
/// objective: 3 to 6 s in practice, after which engines end an unread response.
const MAX_EVENTS_BEHIND: u64 = 16;
/// The same wait takes at most this part of the request's timeout, so that the caller can retry.
const TIMEOUT_PARTS: u64 = 2;
/// A caller that took more than was due may be stalled for longer, at most by this part of the wait:
/// a connection with a large send buffer takes several events at once and nothing for seconds.
const AHEAD_PARTS: u64 = 2;
/// While a caller that has taken everything gets nothing for lack of room, another may take nothing
/// for this part of the wait, even if nobody takes anything: a caller without bytes cannot show that
/// callers are served.
const BLOCKING_PARTS: u64 = 2;
/// An engine that ends a response which was unread for this long may have done so because of that.
const UNREAD_MS: Millis = Millis(1_000);

/// Limits on the bytes held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// For one caller.
    pub per_caller: u64,
    /// For all callers together.
    pub total: u64,
}

impl BufferLimits {
    /// The limits on a machine with this memory, in megabytes; `None` if it is not known.
    pub fn of_machine(memory_mb: Option<u64>) -> Self {
        let of_memory = |memory: u64| memory.saturating_mul(BYTES_PER_MEGABYTE) / MEMORY_PARTS;
        let total = memory_mb.map_or(DEFAULT_MAX_TOTAL_BYTES, of_memory);
        Self { per_caller: MAX_BYTES_PER_CALLER, total }
    }
}

/// What a caller is owed by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderTerms {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Longest pause between events at which a stream meets its objective.
    pub gap_objective: Millis,
    /// Maximum time for the request.
    pub timeout: Millis,
}

impl ReaderTerms {
    /// How long a caller at its bound may take nothing.
    pub fn max_stall(&self) -> Millis {
        let behind = self.gap_objective.0.saturating_mul(MAX_EVENTS_BEHIND);
        Millis(behind.min(self.timeout.0 / TIMEOUT_PARTS))
    }
}

/// Identifies the buffer of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BufferId(u64);

/// Why a caller is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffReason {
    /// The buffers of all callers together are full.
    TotalExceeded,
    /// Its own buffer is full, and it has taken nothing for longer than its route allows.
    NoProgress,
}

impl CutOffReason {
    /// The reason as written in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TotalExceeded => "total_exceeded",
            Self::NoProgress => "no_progress",
        }
    }
}

/// A caller that is to be cut off, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// The buffer of its response.
    pub buffer: BufferId,
    /// The reason.
    pub reason: CutOffReason,
    /// Bytes that are held for it.
    pub held: u64,
    /// Time for which it has taken nothing.
    pub stalled: Millis,
}

/// Whether a chunk was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    Stored,
    /// There is no room for it now, or others come first.
    Waits,
    /// It exceeds the limit for all callers together, so its caller is to be cut off.
    TooLarge(CutOff),
}

#[derive(Clone, Debug)]
struct Buffer {
    terms: ReaderTerms,
    held: u64,
    /// Room that is reserved for the chunk that is being read.
    reserved: u64,
    /// Size of the chunk that waits to be stored; zero if there is none.
    arrived: u64,
    /// Size of the chunk that was stored last.
    last_chunk: u64,
    /// When the caller last took bytes, or when the buffer was empty last.
    progress: Moment,
    /// Time by which the caller was ahead of its gap objective then.
    ahead: Millis,
    /// When the caller's bound was reached, while it is.
    full_since: Option<Moment>,
    /// Its place in the queue for room, while it waits.
    turn: Option<Turn>,
}

/// Place in the queue for room; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    need: Need,
    number: u64,
}

/// What a response waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// To store a chunk that has been read; the caller has taken everything.
    StoreForEmpty,
    /// To read the next chunk; the caller has taken everything.
    ReadForEmpty,
    /// To store a chunk that has been read.
    Store,
    /// To read the next chunk.
    Read,
}

/// The buffers of all responses that a router relays.
#[derive(Clone, Debug)]
pub struct StreamBuffers {
    limits: BufferLimits,
    total: u64,
    /// Room that is reserved for chunks that are being read.
    reserved: u64,
    next_id: u64,
    next_turn: u64,
    buffers: BTreeMap<BufferId, Buffer>,
    queue: BTreeSet<(Turn, BufferId)>,
    clock: ServiceClock,
}

impl StreamBuffers {
    /// Creates the state without buffers.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            total: 0,
            reserved: 0,
            next_id: 0,
            next_turn: 0,
            buffers: BTreeMap::new(),
            queue: BTreeSet::new(),
            clock: ServiceClock::default(),
        }
    }

    /// Opens the buffer of a response.
    pub fn open(&mut self, now: Timestamp, terms: ReaderTerms) -> BufferId {
        let id = BufferId(self.next_id);
        self.next_id += 1;
        let buffer = Buffer {
            terms,
            held: 0,
            reserved: 0,
            arrived: 0,
            last_chunk: 0,
            progress: self.clock.moment(now),
            ahead: Millis(0),
            full_since: None,
            turn: None,
        };
        self.buffers.insert(id, buffer);
        id
    }

    /// Closes a buffer; its bytes are no longer held.
    pub fn close(&mut self, id: BufferId) {
        self.on_source_ended(id);
        if let Some(buffer) = self.buffers.remove(&id) {
            self.total -= buffer.held;
        }
    }

    /// Records that nothing more will be read or stored for a response.
    pub fn on_source_ended(&mut self, id: BufferId) {
        self.leave_queue(id);
        self.release_reservation(id);
    }

    /// Records bytes that were read from the engine.
    pub fn on_stored(&mut self, now: Timestamp, id: BufferId, bytes: u64) {
        let moment = self.clock.moment(now);
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        if buffer.held == 0 {
            buffer.progress = moment;
        }
        buffer.held += bytes;
        buffer.arrived = 0;
        buffer.last_chunk = bytes;
        self.total += bytes;
        if buffer.held >= self.limits.per_caller {
            buffer.full_since.get_or_insert(moment);
        }
    }

    /// Records bytes that the caller's connection has taken.
    pub fn on_taken(&mut self, now: Timestamp, id: BufferId, bytes: u64) {
        let moment = self.clock.moment(now);
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(buffer.held);
        buffer.held -= bytes;
        self.total -= bytes;
        buffer.on_progress(moment, bytes);
        if buffer.held < self.limits.per_caller {
            buffer.full_since = None;
        }
        self.clock.on_taken(now, buffer.terms.gap_objective);
    }

    /// Stores a chunk that was read from the engine if there is room for it. A chunk that does not
    /// fit waits for its turn; ask again when something has become free.
    pub fn try_store(&mut self, now: Timestamp, id: BufferId, bytes: u64) -> StoreOutcome {
        self.release_reservation(id);
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return StoreOutcome::Stored;
        };
        if bytes > self.limits.total {
            let cut_off = buffer.cut_off(now, id, CutOffReason::TotalExceeded);
            return StoreOutcome::TooLarge(cut_off);
        }
        buffer.arrived = bytes;
        let need = if buffer.held == 0 { Need::StoreForEmpty } else { Need::Store };
        if !self.take_turn(id, need, self.fits(bytes)) {
            return StoreOutcome::Waits;
        }
        self.on_stored(now, id, bytes);
        StoreOutcome::Stored
    }

    /// Whether the router reads on from the engine of a response; if not, the response queues for
    /// room. Room for a chunk is reserved for a response that had to wait, since its next chunk has
    /// probably arrived already.
    pub fn request_read(&mut self, id: BufferId) -> bool {
        let Some(buffer) = self.buffers.get(&id) else {
            return false;
        };
        if buffer.reserved > 0 {
            return true;
        }
        if buffer.held >= self.limits.per_caller {
            self.leave_queue(id);
            return false;
        }
        let need = if buffer.held == 0 { Need::ReadForEmpty } else { Need::Read };
        let (had_to_wait, chunk) = (buffer.turn.is_some(), buffer.last_chunk);
        let has_turn = self.take_turn(id, need, self.may_read(id));
        if has_turn && had_to_wait {
            self.reserve(id, chunk);
        }
        has_turn
    }

    /// The response whose turn for room it is.
    pub fn first_in_queue(&self) -> Option<BufferId> {
        self.queue.first().map(|(_, id)| *id)
    }

    /// Whether the router reads on from the engine of a response. A caller that has taken
    /// everything is served even while the others nearly fill the total.
    pub fn may_read(&self, id: BufferId) -> bool {
        let Some(buffer) = self.buffers.get(&id) else {
            return false;
        };
        match buffer.held {
            0 => !self.reaches(NO_MORE_READS_PERCENT),
            held => held < self.limits.per_caller && !self.reaches(NEARLY_FULL_PERCENT),
        }
    }

    /// Whether a caller that has taken everything gets nothing because there is no room.
    fn empty_caller_waits(&self) -> bool {
        let first = self.first_in_queue().and_then(|id| self.buffers.get(&id));
        first.is_some_and(|buffer| buffer.held == 0)
    }

    /// Bytes that are held for all callers.
    pub fn held(&self) -> u64 {
        self.total
    }

    /// Whether all buffers together are close to their limit.
    pub fn is_nearly_full(&self) -> bool {
        self.reaches(NEARLY_FULL_PERCENT)
    }

    /// Whether all buffers together are close to their limit, or the chunk whose turn it is does not
    /// fit.
    pub fn is_short_of_room(&self) -> bool {
        let first = self.first_in_queue().and_then(|id| self.buffers.get(&id));
        self.is_nearly_full() || first.is_some_and(|buffer| !self.fits(buffer.arrived))
    }

    fn fits(&self, bytes: u64) -> bool {
        self.total + self.reserved + bytes <= self.limits.total
    }

    fn reaches(&self, percent: u64) -> bool {
        self.total + self.reserved >= self.limits.total / 100 * percent
    }

    /// Whether it is the turn of a response and there is room. It queues otherwise.
    fn take_turn(&mut self, id: BufferId, need: Need, has_room: bool) -> bool {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return false;
        };
        let number = buffer.turn.map_or(self.next_turn, |turn| turn.number);
        let turn = Turn { need, number };
        if let Some(former) = buffer.turn.replace(turn) {
            self.queue.remove(&(former, id));
        } else {
            self.next_turn += 1;
        }
        self.queue.insert((turn, id));
        let has_turn = has_room && self.first_in_queue() == Some(id);
        if has_turn {
            self.leave_queue(id);
        }
        has_turn
    }

    fn leave_queue(&mut self, id: BufferId) {
        let turn = self.buffers.get_mut(&id).and_then(|buffer| buffer.turn.take());
        if let Some(turn) = turn {
            self.queue.remove(&(turn, id));
        }
    }

    fn reserve(&mut self, id: BufferId, bytes: u64) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.reserved += bytes;
            self.reserved += bytes;
        }
    }

    fn release_reservation(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            self.reserved -= std::mem::take(&mut buffer.reserved);
        }
    }

    /// Whether a caller at its own bound has taken nothing for too long. Callers at their bounds are
    /// compared with each other: time in which no caller takes anything does not count. A single one
    /// is judged by the time alone.
    pub fn stuck_reader(&self, now: Timestamp, id: BufferId) -> Option<CutOff> {
        let buffer = self.buffers.get(&id)?;
        let full_since = buffer.full_since?;
        let is_single = self.buffers.values().filter(|one| one.full_since.is_some()).count() == 1;
        let stall = match is_single {
            true => now.since(full_since.at.max(buffer.progress.at)).0,
            false => {
                let since = full_since.served.max(buffer.progress.served);
                self.clock.moment(now).served.0.saturating_sub(since.0)
            }
        };
        (stall > buffer.terms.max_stall().0 + buffer.ahead.0)
            .then(|| buffer.cut_off(now, id, CutOffReason::NoProgress))
    }

    /// The caller to cut off while all buffers together are short of room: on the least urgent route,
    /// the one that has taken nothing for the longest time. Callers that have taken bytes within
    /// their gap objective are spared unless the limit is exceeded and there are no others: until
    /// then the router only stops reading. Time in which no caller takes anything does not count
    /// unless a caller that has taken everything needs room. Callers that hold less than half of the
    /// mean are spared, since cutting them off frees little.
    pub fn reader_to_cut(&self, now: Timestamp) -> Option<CutOff> {
        if !self.is_short_of_room() {
            return None;
        }
        let is_exceeded = self.total > self.limits.total;
        let moment = self.clock.moment(now);
        let is_stalled = |buffer: &Buffer| {
            buffer.is_behind(moment) || self.empty_caller_waits() && buffer.blocks_others(now)
        };
        let waiting = self.buffers.values().filter(|buffer| buffer.held > 0).count() as u64;
        let (id, buffer) = self
            .buffers
            .iter()
            .filter(|(_, buffer)| buffer.held > 0 && buffer.held * 2 * waiting >= self.total)
            .filter(|(_, buffer)| is_exceeded || is_stalled(buffer))
            .max_by_key(|(id, buffer)| {
                let slowest = (Reverse(buffer.progress.at), Reverse(**id));
                (is_stalled(buffer), buffer.terms.priority, slowest)
            })?;
        Some(buffer.cut_off(now, *id, CutOffReason::TotalExceeded))
    }
}

impl Buffer {
    fn on_progress(&mut self, moment: Moment, bytes: u64) {
        let passed = self.served_since_progress(moment);
        let taken = self.terms.gap_objective.0.saturating_mul(bytes) / self.last_chunk.max(1);
        let ahead = Millis(self.ahead.0.saturating_sub(passed.0) + taken);
        self.ahead = ahead.min(Millis(self.terms.max_stall().0 / AHEAD_PARTS));
        self.progress = moment;
    }

    /// Whether the caller is slower than events are due while others are served.
    fn is_behind(&self, moment: Moment) -> bool {
        let stall = self.served_since_progress(moment);
        stall.0 > self.terms.gap_objective.0 + self.ahead.0
    }

    /// Whether the caller has taken nothing for so long that another one without bytes goes first.
    fn blocks_others(&self, now: Timestamp) -> bool {
        let allowed = self.terms.max_stall().0 / BLOCKING_PARTS + self.ahead.0;
        now.since(self.progress.at).0 > allowed
    }

    fn served_since_progress(&self, moment: Moment) -> Millis {
        Millis(moment.served.0.saturating_sub(self.progress.served.0))
    }

    fn cut_off(&self, now: Timestamp, buffer: BufferId, reason: CutOffReason) -> CutOff {
        CutOff { buffer, reason, held: self.held, stalled: now.since(self.progress.at) }
    }
}

/// Whether an engine may have ended a response because the router left it unread, at most for
/// `longest_pause` at a time. Such an end says nothing about the engine.
pub fn may_have_ended_unread(longest_pause: Millis) -> bool {
    longest_pause >= UNREAD_MS
}
