//! What an engine has to do, as far as one router can tell.
//!
//! An engine reads prompts in pieces, between the tokens of the streams that run on it. While it
//! reads, those streams come more slowly, and prompts that come later wait. So the two things that
//! matter are how much is left to be read and how much runs. A router knows both of its own
//! requests and hears of those of other routers; what is read goes down with time, at the speed
//! that the engine has shown.

use crate::placement::PlacementCost;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp, Tokens};
use std::collections::HashMap;

/// Reading speed assumed before any engine has shown its own, in tokens per millisecond. Low, so
/// that a first estimate errs on the side of a longer wait.
const SPEED_ASSUMED: f64 = 45.0;
/// Slowest and fastest speed that is believed, in tokens per millisecond.
const SPEED_BOUNDS: (f64, f64) = (2.0, 1_000.0);
/// Factor by which the speed follows each reading that was faster or slower. The speed is a running
/// median: a prompt that was kept after all looks read in no time, and a mean would follow it.
const SPEED_STEP: f64 = 1.06;
/// Least tokens that must have been read before a first event for it to say something of the speed.
const SPEED_SAMPLE: f64 = 3_000.0;
/// Time from sending a request to its first event if nothing has to be read: connection, one step
/// and the way back.
const FIRST_EVENT_OVERHEAD_MS: f64 = 30.0;
/// What another router has said of its streams counts for so long.
const PEER_WORD_KEPT: Millis = Millis(4_000);
/// Part of a prompt that an engine has read this lately is taken to be kept there.
const KEPT_FOR: Millis = Millis(20_000);
/// Parts remembered for one engine before old ones are forgotten.
const KEPT_PARTS: usize = 512;
/// Time over which what was sent lately counts, in milliseconds: about as long as one pause between
/// events may take.
const LATELY_MS: f64 = 500.0;
/// Other routers are told of shared parts of prompts from this size on, in tokens.
const PART_TOLD_FROM: Tokens = Tokens(1_000);
/// Bounds of the weight of one request.
const LEAST_WEIGHT: f64 = 0.5;
const MOST_WEIGHT: f64 = 8.0;
/// Time over which long readings at an engine are averaged.
const LONG_READING_TIME_MS: f64 = 6_000.0;

/// What a generation asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationWork {
    /// Tokens of the prompt's parts that other requests share.
    pub shared: Tokens,
    /// Tokens of the prompt's last part, which is its own.
    pub own: Tokens,
    /// Time within which the first event is wanted.
    pub objective: Millis,
    /// Longest pause between events at which the stream is in time.
    pub gap_objective: Millis,
}

impl GenerationWork {
    /// How much the request counts beside others. It grows with the tokens, but more slowly: ten
    /// short answers are worth more than one that costs as much.
    pub fn weight(&self) -> f64 {
        let tokens = (self.shared + self.own).0 as f64;
        (tokens / 1_000.0).sqrt().clamp(LEAST_WEIGHT, MOST_WEIGHT)
    }
}

/// What one router says of its requests at one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadUpdate {
    /// Weight of its streams that run there.
    pub running: f32,
    /// Tokens to be read that were sent there since it spoke last.
    pub to_read: u32,
    /// Time, in milliseconds, for which they hold streams up there, as far as that makes them late.
    pub long_prefill_ms: u32,
    /// Large shared parts of prompts among them.
    pub prefixes: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct PeerWord {
    running: f64,
    at: Timestamp,
}

/// A request and the engine it is sent to, with what was estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// What it asks for.
    pub work: GenerationWork,
    /// Hash of what it is about.
    pub subject: Option<u64>,
    /// What was estimated.
    pub estimate: PlacementEstimate,
    /// The harm that was expected.
    pub cost: PlacementCost,
}

/// A request of this router whose first event has not come.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    mark: f64,
    to_read: f64,
    expected_at: Timestamp,
}

/// The load of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    to_read: f64,
    to_read_at: Timestamp,
    /// All tokens that were ever sent to be read.
    sent: f64,
    /// Tokens sent of late to be read; older ones count less.
    sent_lately: f64,
    sent_lately_at: Timestamp,
    own_running: f64,
    waiting: Vec<Waiting>,
    /// What other routers were told of it last.
    told_running: f64,
    peers: HashMap<u64, PeerWord>,
    prefill_speed: Option<f64>,
    kept: HashMap<u64, Timestamp>,
    long_prefill_ms: f64,
    long_reading_at: Timestamp,
    /// What other routers have not been told yet.
    unreported: EngineLoadUpdate,
}

/// What was estimated when a request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementEstimate {
    /// Tokens of this prompt that the engine has to read.
    pub to_read: f64,
    /// Tokens of earlier prompts that it has to read first.
    pub ahead: f64,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time that the engine needs for what it has to read and, if that is more, has been sent lately,
    /// in milliseconds: so long do streams that run there come slowly, this request left out.
    pub prefill_before_ms: f64,
    /// The same with this request.
    pub prefill_ms: f64,
    /// Weight of the streams that run there.
    pub running: f64,
    /// Part of the time of late for which long readings held up the streams there.
    pub long_readings: f64,
    /// Tokens that had been sent there when this request was, itself among them.
    mark: f64,
}

impl EngineLoad {
    /// Tokens left to be read: what time has not worked off, but at least what this router's own
    /// requests wait for.
    pub fn to_read(&self, now: Timestamp, usual_speed: Option<f64>) -> f64 {
        let read = now.since(self.to_read_at).0 as f64 * self.prefill_speed(usual_speed);
        let waited_for: f64 = self.waiting.iter().map(|waiting| waiting.to_read).sum();
        (self.to_read - read).max(waited_for)
    }

    /// How much later than expected the most belated first event is.
    pub fn overdue(&self, now: Timestamp) -> Millis {
        let overdue = self.waiting.iter().map(|waiting| now.since(waiting.expected_at));
        overdue.max().unwrap_or_default()
    }

    /// Reading speed in tokens per millisecond: its own, that of the others, or an assumption.
    pub fn prefill_speed(&self, usual_speed: Option<f64>) -> f64 {
        self.prefill_speed.or(usual_speed).unwrap_or(SPEED_ASSUMED)
    }

    /// Weight of all streams that run there, as far as is known.
    pub fn running(&self, now: Timestamp) -> f64 {
        let of_peers = self.peers.values().filter(|word| now.since(word.at) < PEER_WORD_KEPT);
        self.own_running + of_peers.map(|word| word.running).sum::<f64>()
    }

    /// Part of the time of late for which streams there were held up by long readings.
    pub fn long_readings(&self, now: Timestamp) -> f64 {
        (self.long_reading_left(now) / LONG_READING_TIME_MS).min(1.0)
    }

    /// Whether the engine keeps a part of a prompt, as far as is known.
    pub fn has_cached(&self, now: Timestamp, subject: u64) -> bool {
        self.kept.get(&subject).is_some_and(|at| now.since(*at) < KEPT_FOR)
    }

    /// What would become of a request that is sent there now. `kept` says whether the engine is
    /// taken to keep the shared parts of its prompt.
    pub fn estimate(
        &self,
        now: Timestamp,
        usual_speed: Option<f64>,
        work: &GenerationWork,
        kept: bool,
    ) -> PlacementEstimate {
        let prefill_speed = self.prefill_speed(usual_speed);
        let shared = if kept { 0.0 } else { work.shared.0 as f64 };
        let to_read = work.own.0 as f64 + shared;
        let ahead = self.to_read(now, usual_speed);
        let lately = self.sent_lately(now).max(ahead);
        let overdue = self.overdue(now).0 as f64;
        PlacementEstimate {
            to_read,
            ahead,
            first_event_ms: FIRST_EVENT_OVERHEAD_MS + (ahead + to_read) / prefill_speed + overdue,
            prefill_before_ms: lately / prefill_speed,
            prefill_ms: (lately + to_read) / prefill_speed,
            running: self.running(now),
            long_readings: self.long_readings(now),
            mark: self.sent + to_read,
        }
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self, now: Timestamp, usual_speed: Option<f64>, sent: &Placement) {
        let (work, made) = (&sent.work, &sent.estimate);
        let held_up_ms = long_reading(made.prefill_ms, work.gap_objective);
        self.add(now, usual_speed, made.to_read, held_up_ms);
        self.own_running += work.weight();
        let expected_at = now + Millis(made.first_event_ms as u64);
        self.waiting.push(Waiting { mark: made.mark, to_read: made.to_read, expected_at });
        self.unreported.to_read = self.unreported.to_read.saturating_add(made.to_read as u32);
        self.unreported.long_prefill_ms =
            self.unreported.long_prefill_ms.saturating_add(held_up_ms as u32);
        if let Some(subject) = sent.subject {
            self.note_cached(now, subject);
            if work.shared >= PART_TOLD_FROM {
                self.unreported.prefixes.push(subject);
            }
        }
    }

    /// Notes the first event of a request. What was sent before it has been read. Returns the
    /// reading speed that it shows, in tokens per millisecond, if it shows one.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        usual_speed: Option<f64>,
        made: &PlacementEstimate,
        took: Millis,
    ) -> Option<f64> {
        self.forget_waiting(made);
        let sent_since = (self.sent - made.mark).max(0.0);
        if sent_since < self.to_read {
            self.set_to_read(now, sent_since);
        }
        let read = made.ahead + made.to_read;
        if read < SPEED_SAMPLE {
            return None;
        }
        let prefill_ms = (took.0 as f64 - FIRST_EVENT_OVERHEAD_MS).max(1.0);
        let seen = read / prefill_ms;
        self.prefill_speed = Some(track_median(self.prefill_speed.or(usual_speed), seen));
        Some(seen)
    }

    /// Notes that a request has ended.
    pub fn on_end(&mut self, work: &GenerationWork, made: &PlacementEstimate) {
        self.forget_waiting(made);
        let left = self.own_running - work.weight();
        // What is left of adding and taking away fractions is no stream.
        self.own_running = if left < LEAST_WEIGHT / 2.0 { 0.0 } else { left };
    }

    /// Takes in what another router says.
    pub fn on_peer_update(
        &mut self,
        now: Timestamp,
        usual_speed: Option<f64>,
        router: u64,
        news: &EngineLoadUpdate,
    ) {
        self.add(now, usual_speed, f64::from(news.to_read), f64::from(news.long_prefill_ms));
        for part in &news.prefixes {
            self.note_cached(now, *part);
        }
        if news.running > 0.0 {
            let word = PeerWord { running: f64::from(news.running), at: now };
            self.peers.insert(router, word);
        } else {
            self.peers.remove(&router);
        }
    }

    /// Notes that an engine keeps a part of prompts.
    pub fn note_cached(&mut self, now: Timestamp, subject: u64) {
        if self.kept.len() >= KEPT_PARTS {
            self.kept.retain(|_, at| now.since(*at) < KEPT_FOR);
        }
        if self.kept.len() < KEPT_PARTS {
            self.kept.insert(subject, now);
        }
    }

    /// What other routers should know and have not been told. Counts as told.
    pub fn take_updates(&mut self) -> EngineLoadUpdate {
        self.told_running = self.own_running;
        let unreported = std::mem::take(&mut self.unreported);
        EngineLoadUpdate { running: self.own_running as f32, ..unreported }
    }

    /// Forgets what routers have said that say nothing any more.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.peers.retain(|_, word| now.since(word.at) < PEER_WORD_KEPT);
        self.kept.retain(|_, at| now.since(*at) < KEPT_FOR);
    }

    /// Whether other routers should be told of this engine now and then: this one has streams there,
    /// or its last one has just ended.
    pub fn has_update(&self) -> bool {
        self.own_running > 0.0 || self.told_running > 0.0 || self.unreported.to_read > 0
    }

    /// Tokens to be read that other routers have not been told of.
    pub fn unreported(&self) -> Tokens {
        Tokens(u64::from(self.unreported.to_read))
    }

    fn forget_waiting(&mut self, made: &PlacementEstimate) {
        let place = self.waiting.iter().position(|waiting| waiting.mark == made.mark);
        if let Some(place) = place {
            self.waiting.swap_remove(place);
        }
    }

    fn add(&mut self, now: Timestamp, usual_speed: Option<f64>, to_read: f64, held_up_ms: f64) {
        let left = self.to_read(now, usual_speed);
        self.set_to_read(now, left + to_read);
        self.sent += to_read;
        self.sent_lately = self.sent_lately(now) + to_read;
        self.sent_lately_at = now;
        self.long_prefill_ms = self.long_reading_left(now) + held_up_ms;
        self.long_reading_at = now;
    }

    fn set_to_read(&mut self, now: Timestamp, to_read: f64) {
        self.to_read = to_read.max(0.0);
        self.to_read_at = now;
    }

    fn sent_lately(&self, now: Timestamp) -> f64 {
        let age = now.since(self.sent_lately_at).0 as f64;
        self.sent_lately * (-age / LATELY_MS).exp()
    }

    fn long_reading_left(&self, now: Timestamp) -> f64 {
        let age = now.since(self.long_reading_at).0 as f64;
        self.long_prefill_ms * (-age / LONG_READING_TIME_MS).exp()
    }
}

/// Moves the usual reading speed towards what was just seen.
pub(crate) fn track_median(usual: Option<f64>, seen: f64) -> f64 {
    let usual = usual.unwrap_or(SPEED_ASSUMED);
    let next = if seen > usual { usual * SPEED_STEP } else { usual / SPEED_STEP };
    next.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
}

/// How long streams are held up by a reading, if that makes them late: the reading itself and the
/// streams that begin in it.
fn long_reading(prefill_ms: f64, gap_objective: Millis) -> f64 {
    if prefill_ms >= gap_objective.0 as f64 { prefill_ms } else { 0.0 }
}
