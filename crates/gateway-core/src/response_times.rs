//! How long requests of each route took lately, from the end of the request to the end of its
//! response.
//!
//! A router that stops knows from it which requests end before it does.

use stackpost_types::{Millis, RouteName, Timestamp};
use std::collections::HashMap;

/// Responses are kept for one to two windows.
const WINDOW: Millis = Millis(30_000);
/// Number of responses from which the longest one says something about the next.
const MIN_RESPONSES: u64 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    began: Timestamp,
    responses: u64,
    longest: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTimes {
    current: Window,
    previous: Window,
}

impl RouteTimes {
    fn advance(&mut self, now: Timestamp) {
        let age = now.since(self.current.began);
        if age < WINDOW {
            return;
        }
        let is_adjacent = age.0 < 2 * WINDOW.0;
        self.previous = if is_adjacent { self.current } else { Window::default() };
        self.current = Window { began: now, ..Window::default() };
    }
}

/// The response times of one router.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    routes: HashMap<RouteName, RouteTimes>,
}

impl ResponseTimes {
    /// Records a whole response.
    pub fn on_response(&mut self, now: Timestamp, route: &RouteName, took: Millis) {
        let times = self.routes.entry(route.clone()).or_default();
        times.advance(now);
        times.current.responses += 1;
        times.current.longest = times.current.longest.max(took);
    }

    /// The longest of the latest responses of a route; `None` if there were too few.
    pub fn longest(&self, now: Timestamp, route: &RouteName) -> Option<Millis> {
        let mut times = *self.routes.get(route)?;
        times.advance(now);
        let responses = times.current.responses + times.previous.responses;
        let longest = times.current.longest.max(times.previous.longest);
        (responses >= MIN_RESPONSES).then_some(longest)
    }

    /// Removes routes without a response for some time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.routes.retain(|_, times| now.since(times.current.began).0 < 2 * WINDOW.0);
    }
}
