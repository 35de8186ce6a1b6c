//! Rates of growing totals over the last moments.

use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Totals at several times of a window.
#[derive(Clone, Debug)]
pub(crate) struct RateWindow<const N: usize> {
    window: Millis,
    totals: VecDeque<(Timestamp, [u64; N])>,
}

impl<const N: usize> RateWindow<N> {
    /// Rates are averaged over `window`.
    pub fn new(window: Millis) -> Self {
        Self { window, totals: VecDeque::new() }
    }

    /// Adds the current totals. Returns their rates per second, zero until there are two samples.
    pub fn add(&mut self, now: Timestamp, totals: [u64; N]) -> [f64; N] {
        self.totals.push_back((now, totals));
        // The oldest sample that is kept lies at or just before the beginning of the window.
        while self.totals.get(1).is_some_and(|(at, _)| now.since(*at) >= self.window) {
            self.totals.pop_front();
        }
        let (since, oldest) = self.totals[0];
        let seconds = now.since(since).0 as f64 / 1_000.0;
        if seconds <= 0.0 {
            return [0.0; N];
        }
        std::array::from_fn(|index| totals[index].saturating_sub(oldest[index]) as f64 / seconds)
    }
}
