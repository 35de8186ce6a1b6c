//! How long an engine has been silent towards one router.
//!
//! An engine is silent while it has requests of this router and nothing is received from it, on any
//! connection. One without requests is not silent: nothing is expected of it.

use stackpost_types::{Millis, Timestamp};

/// An engine that was silent for this long stays so when its requests are withdrawn, until
/// something is received from it. A shorter silence shows nothing.
const MIN_SHOWN_SILENCE: Millis = Millis(300);

/// When one router last received something from an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSilence {
    heard_at: Option<Timestamp>,
    /// When the engine was first expected to send something.
    expected_since: Option<Timestamp>,
}

impl EngineSilence {
    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.expected_since = self.expected_since.or(Some(now));
    }

    /// Records that the last request in flight has ended.
    pub fn on_idle(&mut self, now: Timestamp) {
        if self.silent_for(now) < MIN_SHOWN_SILENCE {
            self.expected_since = None;
        }
    }

    /// Records that something was received; `in_flight` is the number of requests there.
    pub fn on_heard(&mut self, now: Timestamp, in_flight: u64) {
        self.heard_at = self.heard_at.max(Some(now));
        if in_flight == 0 {
            self.expected_since = None;
        }
    }

    /// When something was last received.
    pub fn heard_at(&self) -> Option<Timestamp> {
        self.heard_at
    }

    /// For how long nothing has been received although something was expected; zero if nothing
    /// was.
    pub fn silent_for(&self, now: Timestamp) -> Millis {
        let since = self.expected_since.map(|since| since.max(self.heard_at.unwrap_or(since)));
        since.map_or(Millis(0), |since| now.since(since))
    }
}
