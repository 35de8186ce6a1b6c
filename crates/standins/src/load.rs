//! Load of a back end and its delayed reports.

use stackpost_balance::LoadReport;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const MAX_SAMPLES: usize = 1_000;

/// Counts running and waiting requests, and reports the counts with a delay.
#[derive(Debug)]
pub struct LoadMeter {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    waiting: u32,
    samples: VecDeque<(Instant, u32, u32)>,
}

impl LoadMeter {
    /// A meter whose reports are at least `lag` old.
    pub fn new(lag: Duration) -> Self {
        Self { lag, state: Mutex::default() }
    }

    /// Records that a request was queued.
    pub fn on_queued(&self) {
        self.update(|state| state.waiting += 1);
    }

    /// Records that a waiting request started to run.
    pub fn on_started(&self) {
        self.update(|state| {
            state.waiting -= 1;
            state.running += 1;
        });
    }

    /// Records that a waiting request was abandoned.
    pub fn on_abandoned(&self) {
        self.update(|state| state.waiting -= 1);
    }

    /// Records the end of a running request.
    pub fn on_finished(&self) {
        self.update(|state| state.running -= 1);
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// The newest sample that is at least `lag` old; zeros without one.
    pub fn report(&self) -> LoadReport {
        let state = self.lock();
        let sample = state.samples.iter().rev().find(|(at, ..)| at.elapsed() >= self.lag);
        let age_ms = self.lag.as_millis() as u64;
        match sample {
            Some((_, running, waiting)) => {
                LoadReport { running: *running, waiting: *waiting, age_ms }
            }
            None => LoadReport { running: 0, waiting: 0, age_ms },
        }
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        let sample = (Instant::now(), state.running, state.waiting);
        state.samples.push_back(sample);
        if state.samples.len() > MAX_SAMPLES {
            state.samples.pop_front();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
