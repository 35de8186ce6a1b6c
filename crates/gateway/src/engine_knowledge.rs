//! Whether this router knows all engines, so that the absence of one means something.

use crate::router::Router;
use stackpost_types::Timestamp;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Longest wait for the statements of control processes, which are made every 0.6 s at least.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// As of when this router knows the engines that control processes know.
#[derive(Debug, Default)]
pub(crate) struct EngineKnowledge {
    as_of: Cell<Option<Timestamp>>,
    advanced: Notify,
}

impl Router {
    /// Records as of when the engines are known; `None` if they may not be.
    pub(crate) fn set_engines_known_as_of(&self, as_of: Option<Timestamp>) {
        self.engine_knowledge.as_of.set(as_of);
        self.engine_knowledge.advanced.notify_waiters();
    }

    /// Waits until this router knows the engines that control processes know now. Returns whether
    /// it does; a router that is cut off from them does not.
    pub(crate) async fn wait_until_engines_known(&self, deadline: Instant) -> bool {
        let since = self.now();
        let until = deadline.min(Instant::now() + MAX_WAIT);
        loop {
            let advanced = self.engine_knowledge.advanced.notified();
            if self.engine_knowledge.as_of.get() >= Some(since) {
                return true;
            }
            if timeout_at(until, advanced).await.is_err() {
                return false;
            }
        }
    }
}
