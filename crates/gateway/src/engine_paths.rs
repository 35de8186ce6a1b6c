//! Tracks whether this router can open connections to engines.

use crate::router::Router;
use stackpost_gateway_core::ReachabilityChange;
use stackpost_types::BackEndName;

impl Router {
    /// Whether this router can open no connection to any engine.
    pub fn is_isolated(&self) -> bool {
        self.reachability.borrow().is_isolated()
    }

    /// Whether this router knows other routers.
    pub fn knows_other_routers(&self) -> bool {
        !self.permits.permits.borrow().others().is_empty()
    }

    /// Records that a new connection to an engine failed, or broke before it carried a response.
    pub(crate) fn on_connection_failed(&self, engine: &BackEndName) {
        let engines = self.ready_engine_count();
        let change = self.reachability.borrow_mut().on_failure(self.now(), engine, engines);
        self.on_reachability_change(change);
    }

    /// Records a response over a new connection.
    pub(crate) fn on_connection_succeeded(&self) {
        let change = self.reachability.borrow_mut().on_success(self.now());
        self.on_reachability_change(change);
    }

    fn on_reachability_change(&self, change: Option<ReachabilityChange>) {
        match change {
            None => return,
            Some(ReachabilityChange::Isolated { failed }) => {
                let engines = self.ready_engine_count() as u64;
                log::warn!(failed = failed as u64, engines = engines; "isolated from the engines");
            }
            Some(ReachabilityChange::Connected { after }) => {
                log::info!(after_ms = after.0; "connected to the engines again");
            }
        }
        self.metrics.record_isolated(self.reachability.borrow().is_isolated());
    }
}
