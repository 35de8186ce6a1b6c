//! The speed of an engine's decode steps by the number of its streams, and its slow periods.
//!
//! Built for engines that become several times slower for some seconds (fleet B). The pauses
//! between events of this router's streams give a lasting speed for each number of streams, as a
//! running median that moves slowly, and a recent ratio to it that moves within some events. While
//! the recent ratio is high, the lasting speed is not learned, so that the end of the slow period
//! is noticed as quickly as its beginning.

use stackpost_types::{Millis, Timestamp};

/// Numbers of streams that share one estimate.
const STREAMS_PER_BUCKET: u32 = 4;
/// Number of estimates; larger numbers of streams use the last one.
const BUCKETS: usize = 32;
/// Samples of an estimate after which it moves slowly.
const FIRST_SAMPLES: u32 = 32;
/// Factor by which the lasting estimate moves towards a sample, at most once per interval: at 2.5
/// times the speed it follows within five seconds.
const LASTING_STEP: f64 = 1.02;
const LASTING_INTERVAL: Millis = Millis(100);
/// Factor by which the recent ratio and first estimates move towards a sample: six events until
/// an engine that is 2.5 times slower counts as slow. Some pauses for prefill change little.
const RECENT_STEP: f64 = 1.1;
/// Bounds of the recent ratio.
const RECENT_BOUNDS: (f64, f64) = (0.5, 16.0);
/// Time after a sample at which the recent ratio begins to decay: longer than most pauses, which
/// would otherwise count as a lack of samples while the engine is slow.
const SAMPLE_TTL: Millis = Millis(250);
/// Decay time of the recent ratio without samples, in milliseconds.
const RECENT_DECAY_MS: f64 = 1_000.0;
/// Recent ratio from which an engine counts as slow. Prefill between decode steps makes pauses vary
/// by less than that.
const SLOW_RATIO: f64 = 1.7;
/// Time after which a slow speed counts as lasting.
const MAX_SLOW_PERIOD: Millis = Millis(30_000);

/// The estimate for one range of numbers of streams.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    pause_ms: f64,
    samples: u32,
    moved_at: Timestamp,
}

/// The speed of decode steps at one engine, as seen by one router.
#[derive(Clone, Debug, Default)]
pub struct DecodeSpeed {
    buckets: [Option<Bucket>; BUCKETS],
    /// Recent pauses over the lasting estimate; zero if there was no sample.
    recent: f64,
    recent_at: Timestamp,
    slow_since: Option<Timestamp>,
}

impl DecodeSpeed {
    /// Records a pause between two events while `streams` ran at the engine.
    pub fn on_pause(&mut self, now: Timestamp, streams: u32, pause_ms: f64) {
        let Some(expected_ms) = self.lasting_pause_ms(streams) else {
            self.buckets[bucket(streams)] = Some(Bucket { pause_ms, samples: 1, moved_at: now });
            return;
        };
        let ratio = pause_ms / expected_ms.max(0.1);
        self.recent = step_towards(self.recent_ratio(now), ratio, RECENT_STEP)
            .clamp(RECENT_BOUNDS.0, RECENT_BOUNDS.1);
        self.recent_at = now;
        if self.recent < SLOW_RATIO {
            self.slow_since = None;
            self.learn(now, streams, expected_ms, pause_ms);
            return;
        }
        let since = *self.slow_since.get_or_insert(now);
        if now.since(since) >= MAX_SLOW_PERIOD {
            self.accept_as_lasting();
        }
    }

    /// The lasting pause between events while `streams` run there: of the nearest number of streams
    /// for which it is known.
    pub fn lasting_pause_ms(&self, streams: u32) -> Option<f64> {
        let wanted = bucket(streams);
        let known = self.buckets.iter().enumerate();
        let known = known.filter_map(|(index, bucket)| Some((index, bucket.as_ref()?.pause_ms)));
        known.min_by_key(|(index, _)| index.abs_diff(wanted)).map(|(_, pause_ms)| pause_ms)
    }

    /// Recent pauses over the lasting ones; returns to 1 without samples.
    pub fn recent_ratio(&self, now: Timestamp) -> f64 {
        if self.recent == 0.0 {
            return 1.0;
        }
        let age_ms = now.since(self.recent_at).0.saturating_sub(SAMPLE_TTL.0) as f64;
        1.0 + (self.recent - 1.0) * (-age_ms / RECENT_DECAY_MS).exp()
    }

    /// Whether there was a sample within the decay time.
    pub fn is_sampled(&self, now: Timestamp) -> bool {
        self.recent > 0.0 && (now.since(self.recent_at).0 as f64) < RECENT_DECAY_MS
    }

    fn learn(&mut self, now: Timestamp, streams: u32, expected_ms: f64, pause_ms: f64) {
        let new = Bucket { pause_ms: expected_ms, samples: 0, moved_at: now };
        let bucket = self.buckets[bucket(streams)].get_or_insert(new);
        if bucket.samples < FIRST_SAMPLES {
            bucket.samples += 1;
            bucket.pause_ms = step_towards(bucket.pause_ms, pause_ms, RECENT_STEP);
        } else if now.since(bucket.moved_at) >= LASTING_INTERVAL {
            bucket.moved_at = now;
            bucket.pause_ms = step_towards(bucket.pause_ms, pause_ms, LASTING_STEP);
        }
    }

    fn accept_as_lasting(&mut self) {
        self.buckets.iter_mut().flatten().for_each(|bucket| bucket.pause_ms *= self.recent);
        self.recent = 1.0;
        self.slow_since = None;
    }
}

/// How much slower than lastingly an engine is, for a recent ratio: 1 unless it is slow.
pub(crate) fn slowness(recent_ratio: f64) -> f64 {
    if recent_ratio >= SLOW_RATIO { recent_ratio } else { 1.0 }
}

fn bucket(streams: u32) -> usize {
    ((streams / STREAMS_PER_BUCKET) as usize).min(BUCKETS - 1)
}

fn step_towards(value: f64, sample: f64, step: f64) -> f64 {
    if sample > value { (value * step).min(sample) } else { (value / step).max(sample) }
}
