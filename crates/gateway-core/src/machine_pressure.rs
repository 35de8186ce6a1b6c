//! How much of its machine a router uses.
//!
//! The load that this handles: the platform sends all new connections of one large caller to the
//! same router, 250 to 440 a second at one router of 24. Each body and each event crosses the
//! router's link twice, so a link of 10 Mbit/s is saturated within two seconds while the links of
//! the neighbours are idle. Whoever decides under load needs to know this before packets queue,
//! and must not change its mind with every burst: so the utilization is averaged over half a
//! second, and a state ends at a lower utilization than it begins, after a minimum time.

use crate::rate_window::RateWindow;
use serde::{Deserialize, Serialize};
use stackpost_types::{Millis, Timestamp};

/// Utilization from which a machine is crowded. A queue of an eighth of a second on its link, about
/// as long as the tightest objectives bear, then takes 0.4 s to drain.
pub const CROWDED_FROM: f64 = 0.7;
/// Utilization below which a machine is no longer crowded: above the target of connection
/// shedding, so that a machine that reaches its target leaves the state.
const CROWDED_UNTIL: f64 = 0.55;
/// Utilization from which a machine is full. A queue of an eighth of a second takes more than a
/// second to drain. Below 1, since lost and repeated packets are not counted.
pub const FULL_FROM: f64 = 0.9;
/// Utilization below which a machine is no longer full.
const FULL_UNTIL: f64 = 0.75;
/// Time over which rates are averaged: long enough that single requests do not show, and short
/// compared to the seconds in which a link's queue grows beyond what callers bear.
const AVERAGING_TIME: Millis = Millis(500);
/// Minimum time in a state before a lower one: twice the time over which rates are averaged.
const MIN_STATE_TIME: Millis = Millis(1_000);

/// What a machine bears; `None` where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PressureLimits {
    /// Bytes per second that the network link carries in each direction.
    pub link: Option<f64>,
    /// Open connections.
    pub connections: Option<u64>,
    /// Bytes of memory.
    pub memory: Option<u64>,
}

/// What a router uses at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PressureSample {
    /// Bytes received over the link since the start.
    pub received: u64,
    /// Bytes sent over the link since the start.
    pub sent: u64,
    /// Open connections.
    pub connections: u64,
    /// Bytes of memory in use.
    pub held_bytes: u64,
}

/// The part of each resource that is in use; zero where the limit is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Utilization {
    /// Of the link, receiving.
    pub received: f64,
    /// Of the link, sending.
    pub sent: f64,
    /// Of the descriptors.
    pub descriptors: f64,
    /// Of the memory.
    pub memory: f64,
}

impl Utilization {
    /// Of the link, in the direction that is used more.
    pub fn link(&self) -> f64 {
        self.received.max(self.sent)
    }

    /// Of the resource that is used most.
    pub fn highest(&self) -> f64 {
        self.link().max(self.descriptors).max(self.memory)
    }
}

/// How heavily a machine is used.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum PressureState {
    /// There is room for bursts.
    #[default]
    Normal,
    /// A burst causes delays that callers notice.
    Crowded,
    /// Nothing more fits; what comes has to wait.
    Full,
}

impl PressureState {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Crowded => "crowded",
            Self::Full => "full",
        }
    }
}

/// Utilization and state of a machine at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PressureReading {
    /// Averaged over half a second.
    pub utilization: Utilization,
    /// The state that follows from it, and from the states before.
    pub state: PressureState,
    /// When the state began.
    pub since: Timestamp,
}

/// Measures the utilization of one machine.
#[derive(Clone, Debug)]
pub struct MachinePressure {
    limits: PressureLimits,
    rates: RateWindow<2>,
    reading: PressureReading,
}

impl MachinePressure {
    /// A machine with these limits, in the normal state.
    pub fn new(limits: PressureLimits) -> Self {
        Self { limits, rates: RateWindow::new(AVERAGING_TIME), reading: PressureReading::default() }
    }

    /// The last reading.
    pub fn reading(&self) -> PressureReading {
        self.reading
    }

    /// Takes a sample, about ten times a second.
    pub fn sample(&mut self, now: Timestamp, sample: PressureSample) -> PressureReading {
        let [received, sent] = self.rates.add(now, [sample.received, sample.sent]);
        let utilization = Utilization {
            received: part(received, self.limits.link),
            sent: part(sent, self.limits.link),
            descriptors: part(sample.connections as f64, self.limits.connections.map(as_f64)),
            memory: part(sample.held_bytes as f64, self.limits.memory.map(as_f64)),
        };
        let state = self.next_state(now, utilization.highest());
        let since = if state == self.reading.state { self.reading.since } else { now };
        self.reading = PressureReading { utilization, state, since };
        self.reading
    }

    fn next_state(&self, now: Timestamp, utilization: f64) -> PressureState {
        let current = self.reading.state;
        let entered = match utilization {
            high if high >= FULL_FROM => PressureState::Full,
            high if high >= CROWDED_FROM => PressureState::Crowded,
            _ => PressureState::Normal,
        };
        if entered >= current {
            return entered;
        }
        let is_held = match current {
            PressureState::Full => utilization >= FULL_UNTIL,
            PressureState::Crowded => utilization >= CROWDED_UNTIL,
            PressureState::Normal => false,
        };
        if is_held || now.since(self.reading.since) < MIN_STATE_TIME {
            return current;
        }
        match utilization >= CROWDED_UNTIL {
            true => PressureState::Crowded,
            false => PressureState::Normal,
        }
    }
}

fn as_f64(limit: u64) -> f64 {
    limit as f64
}

fn part(used: f64, limit: Option<f64>) -> f64 {
    limit.filter(|limit| *limit > 0.0).map_or(0.0, |limit| used / limit)
}
