//! The load of an engine as far as one router knows it.
//!
//! An engine prefills prompts in chunks, between the decode steps of its running streams. Prefill
//! slows down these streams and delays later prompts. So the two quantities that matter are the
//! tokens left to prefill and the running streams. A router knows both for its own requests and
//! receives those of other routers in updates; the tokens left to prefill decrease with time at the
//! engine's observed prefill speed.

use crate::placement::PlacementCost;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp, Tokens};
use std::collections::HashMap;

/// Prefill speed assumed before any engine's own has been observed, in tokens per millisecond. Low,
/// so that a first estimate errs towards a longer wait.
const DEFAULT_PREFILL_SPEED: f64 = 45.0;
/// Lower and upper bound of the estimated prefill speed, in tokens per millisecond.
const PREFILL_SPEED_BOUNDS: (f64, f64) = (2.0, 1_000.0);
/// Factor by which the estimate moves towards each faster or slower sample. The estimate is a
/// running median: a prompt whose prefix was cached unexpectedly appears to be prefilled in no
/// time, and would distort a mean.
const PREFILL_SPEED_STEP: f64 = 1.06;
/// Minimum number of prefilled tokens before a first event for it to be a sample of the speed.
const MIN_SPEED_SAMPLE_TOKENS: f64 = 3_000.0;
/// Time from sending a request to its first event if nothing has to be prefilled: connection, one
/// decode step and the way back.
const FIRST_EVENT_OVERHEAD_MS: f64 = 30.0;
/// Time for which another router's update of its running streams is valid.
const PEER_LOAD_TTL: Millis = Millis(4_000);
/// Time for which a prefix that an engine has prefilled is assumed to stay cached there.
const PREFIX_TTL: Millis = Millis(20_000);
/// Maximum number of prefixes remembered for one engine; expired ones are removed when it is
/// reached.
const MAX_CACHED_PREFIXES: usize = 512;
/// Decay time of the recently sent tokens, in milliseconds: about the longest permitted pause
/// between events.
const RECENT_DECAY_MS: f64 = 500.0;
/// Smallest shared prefix, in tokens, that is reported to other routers.
const MIN_REPORTED_PREFIX: Tokens = Tokens(1_000);
/// Bounds of the weight of one request.
const MIN_WEIGHT: f64 = 0.5;
const MAX_WEIGHT: f64 = 8.0;
/// Decay time of the average of long prefills at an engine.
const LONG_PREFILL_DECAY_MS: f64 = 6_000.0;

/// The work that a generation causes at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GenerationWork {
    /// Tokens of the prompt's prefix that other requests share.
    pub shared: Tokens,
    /// Tokens of the rest of the prompt, which only this request has.
    pub own: Tokens,
    /// Target for the time to the first event.
    pub objective: Millis,
    /// Longest pause between events at which the stream meets its objective.
    pub gap_objective: Millis,
}

impl GenerationWork {
    /// Weight of the request relative to others. It grows with the tokens, but sublinearly: ten
    /// short responses are worth more than one that costs as much.
    pub fn weight(&self) -> f64 {
        let tokens = (self.shared + self.own).0 as f64;
        (tokens / 1_000.0).sqrt().clamp(MIN_WEIGHT, MAX_WEIGHT)
    }
}

/// Update of one router about its requests at one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadUpdate {
    /// Weight of the router's streams that run there.
    pub running: f32,
    /// Tokens to prefill that were sent there since the last update.
    pub new_prefill: u32,
    /// Time, in milliseconds, for which their prefill stalls streams there, counting only prefills
    /// long enough to miss the gap objective.
    pub long_prefill_ms: u32,
    /// Large shared prefixes among them.
    pub prefixes: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    running: f64,
    at: Timestamp,
}

/// A request placed on an engine, with the estimates made at the time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The work of the request.
    pub work: GenerationWork,
    /// Hash of the subject of the request, which identifies the shared prefix.
    pub prefix_hash: Option<u64>,
    /// The estimate for the engine.
    pub estimate: PlacementEstimate,
    /// The expected cost.
    pub cost: PlacementCost,
}

/// A request of this router whose first event is outstanding.
#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    sent_watermark: f64,
    prompt_prefill: f64,
    expected_at: Timestamp,
}

/// The load of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    pending_prefill: f64,
    pending_prefill_at: Timestamp,
    /// All tokens that were ever sent to be prefilled.
    sent: f64,
    /// Tokens recently sent to be prefilled, with exponential decay.
    recently_sent: f64,
    recently_sent_at: Timestamp,
    own_running: f64,
    pending: Vec<PendingPrefill>,
    /// The weight of running streams in the last update to other routers.
    reported_running: f64,
    peers: HashMap<u64, PeerLoad>,
    prefill_speed: Option<f64>,
    cached: HashMap<u64, Timestamp>,
    long_prefill_ms: f64,
    long_prefill_at: Timestamp,
    /// The part of the next update that has accumulated so far.
    unreported: EngineLoadUpdate,
}

/// The estimate made when a request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementEstimate {
    /// Tokens of this prompt that the engine has to prefill.
    pub prompt_prefill: f64,
    /// Tokens of earlier prompts that it has to prefill first.
    pub queued_prefill: f64,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time for which running streams are slowed down by prefill, in milliseconds, without this
    /// request: the time for the tokens left to prefill or, if more, the recently sent ones.
    pub prefill_before_ms: f64,
    /// The same with this request.
    pub prefill_ms: f64,
    /// Weight of the streams that run there.
    pub running: f64,
    /// Recent share of time in which long prefills stalled the streams there.
    pub long_prefill_share: f64,
    /// Tokens of memory that the request holds there: prompt and generated text; zero without the
    /// engine model.
    pub held_tokens: u64,
    /// All tokens that had been sent there when this request was, including its own.
    sent_watermark: f64,
}

impl PlacementEstimate {
    /// The same at an engine that is slower by a factor.
    pub(crate) fn slowed(self, factor: f64) -> Self {
        Self {
            first_event_ms: self.first_event_ms * factor,
            prefill_before_ms: self.prefill_before_ms * factor,
            prefill_ms: self.prefill_ms * factor,
            ..self
        }
    }
}

impl EngineLoad {
    /// Tokens left to prefill: those not yet worked off by the elapsed time, but at least those of
    /// this router's own requests without a first event.
    pub fn pending_prefill(&self, now: Timestamp, typical_speed: Option<f64>) -> f64 {
        let prefilled =
            now.since(self.pending_prefill_at).0 as f64 * self.prefill_speed(typical_speed);
        let outstanding: f64 = self.pending.iter().map(|pending| pending.prompt_prefill).sum();
        (self.pending_prefill - prefilled).max(outstanding)
    }

    /// Largest delay of an outstanding first event beyond its expected time.
    pub fn overdue(&self, now: Timestamp) -> Millis {
        let overdue = self.pending.iter().map(|pending| now.since(pending.expected_at));
        overdue.max().unwrap_or_default()
    }

    /// Prefill speed in tokens per millisecond: the engine's own, the typical one of all engines,
    /// or the default.
    pub fn prefill_speed(&self, typical_speed: Option<f64>) -> f64 {
        self.prefill_speed.or(typical_speed).unwrap_or(DEFAULT_PREFILL_SPEED)
    }

    /// Weight of all known streams that run there.
    pub fn running(&self, now: Timestamp) -> f64 {
        let peer_loads = self.peers.values().filter(|load| now.since(load.at) < PEER_LOAD_TTL);
        self.own_running + peer_loads.map(|load| load.running).sum::<f64>()
    }

    /// Recent share of time in which streams there were stalled by long prefills.
    pub fn long_prefill_share(&self, now: Timestamp) -> f64 {
        (self.long_prefill_remaining(now) / LONG_PREFILL_DECAY_MS).min(1.0)
    }

    /// Whether the engine is assumed to have a prefix cached.
    pub fn has_cached(&self, now: Timestamp, prefix_hash: u64) -> bool {
        self.cached.get(&prefix_hash).is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// The estimate for a request that is sent there now. `cached` is whether the shared prefix of
    /// its prompt is assumed to be cached.
    pub fn estimate(
        &self,
        now: Timestamp,
        typical_speed: Option<f64>,
        work: &GenerationWork,
        cached: bool,
    ) -> PlacementEstimate {
        let prefill_speed = self.prefill_speed(typical_speed);
        let shared = if cached { 0.0 } else { work.shared.0 as f64 };
        let prompt_prefill = work.own.0 as f64 + shared;
        let queued_prefill = self.pending_prefill(now, typical_speed);
        let recent = self.recently_sent(now).max(queued_prefill);
        let overdue = self.overdue(now).0 as f64;
        PlacementEstimate {
            prompt_prefill,
            queued_prefill,
            first_event_ms: FIRST_EVENT_OVERHEAD_MS
                + (queued_prefill + prompt_prefill) / prefill_speed
                + overdue,
            prefill_before_ms: recent / prefill_speed,
            prefill_ms: (recent + prompt_prefill) / prefill_speed,
            running: self.running(now),
            long_prefill_share: self.long_prefill_share(now),
            held_tokens: 0,
            sent_watermark: self.sent + prompt_prefill,
        }
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Timestamp, typical_speed: Option<f64>, sent: &Placement) {
        let (work, estimate) = (&sent.work, &sent.estimate);
        let stall_ms = long_prefill(estimate.prefill_ms, work.gap_objective);
        self.add(now, typical_speed, estimate.prompt_prefill, stall_ms);
        self.own_running += work.weight();
        let expected_at = now + Millis(estimate.first_event_ms as u64);
        self.pending.push(PendingPrefill {
            sent_watermark: estimate.sent_watermark,
            prompt_prefill: estimate.prompt_prefill,
            expected_at,
        });
        self.unreported.new_prefill =
            self.unreported.new_prefill.saturating_add(estimate.prompt_prefill as u32);
        self.unreported.long_prefill_ms =
            self.unreported.long_prefill_ms.saturating_add(stall_ms as u32);
        if let Some(prefix_hash) = sent.prefix_hash {
            self.note_cached(now, prefix_hash);
            if work.shared >= MIN_REPORTED_PREFIX {
                self.unreported.prefixes.push(prefix_hash);
            }
        }
    }

    /// Records the first event of a request. All tokens sent before the request have been prefilled
    /// by then. Returns the observed prefill speed, in tokens per millisecond, if enough tokens
    /// were prefilled.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        typical_speed: Option<f64>,
        estimate: &PlacementEstimate,
        elapsed: Millis,
    ) -> Option<f64> {
        self.remove_pending(estimate);
        let sent_since = (self.sent - estimate.sent_watermark).max(0.0);
        if sent_since < self.pending_prefill {
            self.set_pending_prefill(now, sent_since);
        }
        let prefilled = estimate.queued_prefill + estimate.prompt_prefill;
        if prefilled < MIN_SPEED_SAMPLE_TOKENS {
            return None;
        }
        let prefill_ms = (elapsed.0 as f64 - FIRST_EVENT_OVERHEAD_MS).max(1.0);
        let measured = prefilled / prefill_ms;
        self.prefill_speed = Some(track_median(self.prefill_speed.or(typical_speed), measured));
        Some(measured)
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(&mut self, work: &GenerationWork, estimate: &PlacementEstimate) {
        self.remove_pending(estimate);
        let remaining = self.own_running - work.weight();
        // Adding and subtracting fractions leaves a rounding error, which is no stream.
        self.own_running = if remaining < MIN_WEIGHT / 2.0 { 0.0 } else { remaining };
    }

    /// Merges the update of another router.
    pub fn on_peer_update(
        &mut self,
        now: Timestamp,
        typical_speed: Option<f64>,
        router: u64,
        update: &EngineLoadUpdate,
    ) {
        self.add(
            now,
            typical_speed,
            f64::from(update.new_prefill),
            f64::from(update.long_prefill_ms),
        );
        for prefix in &update.prefixes {
            self.note_cached(now, *prefix);
        }
        if update.running > 0.0 {
            let load = PeerLoad { running: f64::from(update.running), at: now };
            self.peers.insert(router, load);
        } else {
            self.peers.remove(&router);
        }
    }

    /// Records that an engine has a prefix cached.
    pub fn note_cached(&mut self, now: Timestamp, prefix_hash: u64) {
        if self.cached.len() >= MAX_CACHED_PREFIXES {
            self.cached.retain(|_, at| now.since(*at) < PREFIX_TTL);
        }
        if self.cached.len() < MAX_CACHED_PREFIXES {
            self.cached.insert(prefix_hash, now);
        }
    }

    /// The update for other routers. What it contains counts as reported.
    pub fn take_updates(&mut self) -> EngineLoadUpdate {
        self.reported_running = self.own_running;
        let unreported = std::mem::take(&mut self.unreported);
        EngineLoadUpdate { running: self.own_running as f32, ..unreported }
    }

    /// Removes expired updates of other routers and expired prefixes.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.peers.retain(|_, load| now.since(load.at) < PEER_LOAD_TTL);
        self.cached.retain(|_, at| now.since(*at) < PREFIX_TTL);
    }

    /// Whether this engine needs an update to other routers: this router has streams there, its
    /// last one has just ended, or there are unreported tokens.
    pub fn has_update(&self) -> bool {
        self.own_running > 0.0 || self.reported_running > 0.0 || self.unreported.new_prefill > 0
    }

    /// Tokens to prefill that have not been reported to other routers.
    pub fn unreported(&self) -> Tokens {
        Tokens(u64::from(self.unreported.new_prefill))
    }

    fn remove_pending(&mut self, estimate: &PlacementEstimate) {
        let position = self
            .pending
            .iter()
            .position(|pending| pending.sent_watermark == estimate.sent_watermark);
        if let Some(position) = position {
            self.pending.swap_remove(position);
        }
    }

    fn add(&mut self, now: Timestamp, typical_speed: Option<f64>, new_prefill: f64, stall_ms: f64) {
        let remaining = self.pending_prefill(now, typical_speed);
        self.set_pending_prefill(now, remaining + new_prefill);
        self.sent += new_prefill;
        self.recently_sent = self.recently_sent(now) + new_prefill;
        self.recently_sent_at = now;
        self.long_prefill_ms = self.long_prefill_remaining(now) + stall_ms;
        self.long_prefill_at = now;
    }

    fn set_pending_prefill(&mut self, now: Timestamp, pending_prefill: f64) {
        self.pending_prefill = pending_prefill.max(0.0);
        self.pending_prefill_at = now;
    }

    fn recently_sent(&self, now: Timestamp) -> f64 {
        let age = now.since(self.recently_sent_at).0 as f64;
        self.recently_sent * (-age / RECENT_DECAY_MS).exp()
    }

    fn long_prefill_remaining(&self, now: Timestamp) -> f64 {
        let age = now.since(self.long_prefill_at).0 as f64;
        self.long_prefill_ms * (-age / LONG_PREFILL_DECAY_MS).exp()
    }
}

/// Moves the typical prefill speed one step towards a sample.
pub(crate) fn track_median(typical: Option<f64>, measured: f64) -> f64 {
    let typical = typical.unwrap_or(DEFAULT_PREFILL_SPEED);
    let next = if measured > typical {
        typical * PREFILL_SPEED_STEP
    } else {
        typical / PREFILL_SPEED_STEP
    };
    next.clamp(PREFILL_SPEED_BOUNDS.0, PREFILL_SPEED_BOUNDS.1)
}

/// Time for which a prefill stalls the running streams and those that start during it, or zero if
/// it is too short to make them miss the gap objective.
fn long_prefill(prefill_ms: f64, gap_objective: Millis) -> f64 {
    if prefill_ms >= gap_objective.0 as f64 { prefill_ms } else { 0.0 }
}
