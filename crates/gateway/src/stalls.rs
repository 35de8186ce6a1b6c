//! Holds requests back after this process stood still, until its state is current again.

use crate::router::Router;
use stackpost_gateway_core::StallGuard;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The guard, and the requests that it holds back.
#[derive(Default)]
pub(crate) struct Stalls {
    guard: RefCell<StallGuard>,
    /// Notified when this router has all that the leader has stated to be committed.
    confirmed: Notify,
}

impl Router {
    /// Called regularly, so that a pause shows a stall.
    pub(crate) fn watch_for_stalls(&self) {
        if let Some(paused_for) = self.stalls.guard.borrow_mut().on_run(self.now()) {
            log::warn!(paused_ms = paused_for.0; "the process stood still");
        }
    }

    /// The leader has stated its revisions, and this router has all of them.
    pub(crate) fn on_state_confirmed(&self) {
        self.watch_for_stalls();
        self.stalls.guard.borrow_mut().on_current(self.now());
        self.stalls.confirmed.notify_waiters();
    }

    /// Waits until the state is current again after a stall. Without a leader the wait is short.
    pub(crate) async fn wait_until_current(&self) {
        loop {
            self.watch_for_stalls();
            let confirmed = self.stalls.confirmed.notified();
            let Some(hold_time) = self.stalls.guard.borrow().hold_time(self.now()) else {
                return;
            };
            // The guard decides whether to wait on.
            let _ = timeout(Duration::from_millis(hold_time.0), confirmed).await;
        }
    }
}
