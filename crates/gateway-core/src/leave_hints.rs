//! Which engines may be leaving, judged by their responses alone.
//!
//! An engine that leaves asks to close its connections; others do so now and then as well. So this
//! is only a hint, for a router that is disconnected from the leader and can't know departures.

use crate::directory::EngineDirectory;
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::HashMap;

/// Time for which a hint counts. Then the engine is tried again.
const HINT_TIME: Millis = Millis(2_000);

/// The engines whose latest response asked to close the connection.
#[derive(Clone, Debug, Default)]
pub struct LeaveHints {
    asked_to_close_at: HashMap<BackEndName, Timestamp>,
}

impl LeaveHints {
    /// Records a response of an engine.
    pub fn on_response(&mut self, now: Timestamp, engine: &BackEndName, asks_to_close: bool) {
        if asks_to_close {
            self.asked_to_close_at.insert(engine.clone(), now);
        } else {
            self.asked_to_close_at.remove(engine);
        }
    }

    /// Whether an engine may be leaving.
    pub fn may_leave(&self, now: Timestamp, engine: &BackEndName) -> bool {
        self.asked_to_close_at.get(engine).is_some_and(|at| now.since(*at) < HINT_TIME)
    }

    /// Removes engines that the directory no longer knows.
    pub fn remove_unknown(&mut self, directory: &EngineDirectory) {
        self.asked_to_close_at.retain(|engine, _| directory.get(engine).is_some());
    }
}
