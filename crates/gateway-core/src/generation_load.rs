//! The streams and the memory in use at an engine, of all routers.
//!
//! Built for engines whose memory is exhausted before their slots are: each router reports the
//! tokens that its requests hold there (prompts and tokens to be generated, whether they run or are
//! on their way), its streams and how slow the engine is.

use crate::decode_speed::{DecodeSpeed, slowness};
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp};
use std::collections::HashMap;

/// Time for which a report of another router is valid; as for prompts.
const REPORT_TTL: Millis = Millis(4_000);
/// Maximum number of routers whose reports about one engine are kept. Any host may send a datagram.
const MAX_REPORTERS: usize = 1_024;
/// Weight of the newest report in the mean of what other routers report of an engine's speed.
const PACE_WEIGHT: f64 = 0.5;
/// Weight of the newest report in what another router is taken to hold. With unsmoothed reports all
/// routers leave a full engine together and fill the next one.
const HELD_WEIGHT: f64 = 0.2;
/// Decay time of that mean, in milliseconds: a little more than the longest report interval.
const PACE_DECAY_MS: f64 = 2_000.0;

/// A router's report about its generations at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationLoadReport {
    /// Its generations there.
    pub streams: u16,
    /// Tokens that they hold.
    pub held_tokens: u32,
    /// Recent pauses between events over the lasting ones, in percent; zero if not known.
    pub pace_percent: u16,
}

/// The generations at one engine, as far as one router knows them.
#[derive(Clone, Debug, Default)]
pub struct GenerationLoad {
    own_streams: u32,
    own_held: u64,
    reported: bool,
    peers: HashMap<u64, (GenerationLoadReport, Timestamp)>,
    /// Sums of the valid reports.
    peer_streams: u32,
    peer_held: u64,
    peer_pace: f64,
    peer_pace_at: Timestamp,
    decode_speed: DecodeSpeed,
}

impl GenerationLoad {
    /// Records that this router sent a generation that holds `tokens`.
    pub fn on_sent(&mut self, tokens: u64) {
        self.own_streams += 1;
        self.own_held += tokens;
    }

    /// Records that a generation of this router that held `tokens` has ended.
    pub fn on_end(&mut self, tokens: u64) {
        self.own_streams = self.own_streams.saturating_sub(1);
        self.own_held = self.own_held.saturating_sub(tokens);
    }

    /// Records a pause between two events of a stream of this router.
    pub fn on_pause(&mut self, now: Timestamp, pause_ms: f64) {
        self.decode_speed.on_pause(now, self.streams(), pause_ms);
    }

    /// This router's report; `None` if neither this nor the previous one has any generation.
    pub fn take_report(&mut self, now: Timestamp) -> Option<GenerationLoadReport> {
        let is_due = self.reported || self.own_streams > 0;
        self.reported = self.own_streams > 0;
        let pace = match self.decode_speed.is_sampled(now) {
            true => self.decode_speed.recent_ratio(now) * 100.0,
            false => 0.0,
        };
        is_due.then_some(GenerationLoadReport {
            streams: self.own_streams.min(u32::from(u16::MAX)) as u16,
            held_tokens: self.own_held.min(u64::from(u32::MAX)) as u32,
            pace_percent: pace as u16,
        })
    }

    /// Merges the report of another router.
    pub fn on_report(&mut self, now: Timestamp, router: u64, report: GenerationLoadReport) {
        if !self.peers.contains_key(&router) && self.peers.len() >= MAX_REPORTERS {
            return;
        }
        if report.pace_percent > 0 {
            let pace = f64::from(report.pace_percent) / 100.0;
            self.peer_pace = self.peer_pace(now) * (1.0 - PACE_WEIGHT) + pace * PACE_WEIGHT;
            self.peer_pace_at = now;
        }
        let mut report = report;
        if let Some((previous, _)) = self.peers.get(&router) {
            let smoothed = f64::from(previous.held_tokens) * (1.0 - HELD_WEIGHT)
                + f64::from(report.held_tokens) * HELD_WEIGHT;
            report.held_tokens = smoothed as u32;
        }
        if let Some((previous, _)) = self.peers.insert(router, (report, now)) {
            self.peer_streams = self.peer_streams.saturating_sub(u32::from(previous.streams));
            self.peer_held = self.peer_held.saturating_sub(u64::from(previous.held_tokens));
        }
        self.peer_streams += u32::from(report.streams);
        self.peer_held += u64::from(report.held_tokens);
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.peers.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        let reports = || self.peers.values().map(|(report, _)| report);
        self.peer_streams = reports().map(|report| u32::from(report.streams)).sum();
        self.peer_held = reports().map(|report| u64::from(report.held_tokens)).sum();
    }

    /// Generations of all routers there.
    pub fn streams(&self) -> u32 {
        self.own_streams + self.peer_streams
    }

    /// Tokens that they hold.
    pub fn held_tokens(&self) -> u64 {
        self.own_held + self.peer_held
    }

    /// Expected pause between events while `streams` run there, in milliseconds; `None` before
    /// events were seen.
    pub fn pause_ms(&self, now: Timestamp, streams: u32) -> Option<f64> {
        Some(self.decode_speed.lasting_pause_ms(streams)? * self.slowness(now))
    }

    /// How many times slower than lastingly the engine is, by this router's streams there, or else
    /// by the reports of others; 1 unless it is slow.
    pub fn slowness(&self, now: Timestamp) -> f64 {
        slowness(match self.decode_speed.is_sampled(now) {
            true => self.decode_speed.recent_ratio(now),
            false => self.peer_pace(now),
        })
    }

    fn peer_pace(&self, now: Timestamp) -> f64 {
        if self.peer_pace == 0.0 {
            return 1.0;
        }
        let age_ms = now.since(self.peer_pace_at).0 as f64;
        1.0 + (self.peer_pace - 1.0) * (-age_ms / PACE_DECAY_MS).exp()
    }
}
