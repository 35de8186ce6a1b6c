//! Paths to engines: this router's own connections, and those through other routers where it cannot
//! connect itself.

use crate::connection_pool::{EngineConnection, ProbeOutcome};
use crate::engine_relay::{self, RelayError};
use crate::router::Router;
use stackpost_gateway_core::{ConnectionPath, EngineRecord, ReachabilityChange, RouterEndpoint};
use stackpost_types::{BackEndName, Timestamp};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout};

/// Interval of the probes by which a router notices that it reaches engines again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a probe must stay open: the path may accept a connection and break it later.
const PROBE_SETTLE: Duration = Duration::from_millis(300);
/// Time for a connection before other routers are asked as well: many round trips, and a third of
/// the connection timeout.
const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Why a request got no connection to its engine.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// This router could not connect.
    #[error("{0}")]
    Direct(#[from] io::Error),
    /// Another router could not connect either.
    #[error("{0}")]
    Relayed(#[from] RelayError),
}

/// Number of connections that this router relays for others.
#[derive(Debug, Default)]
pub(crate) struct RelayedConnections(Rc<Cell<usize>>);

/// Counts a relayed connection until dropped.
pub(crate) struct RelayedGuard(Rc<Cell<usize>>);

impl RelayedConnections {
    pub fn count(&self) -> RelayedGuard {
        self.0.set(self.0.get() + 1);
        RelayedGuard(self.0.clone())
    }

    pub fn active(&self) -> usize {
        self.0.get()
    }
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Router {
    /// Whether this router can open no connection to any engine.
    pub fn is_isolated(&self) -> bool {
        self.reachability.borrow().is_isolated()
    }

    /// Whether this router knows other routers.
    pub fn knows_other_routers(&self) -> bool {
        !self.relay_routers.borrow().is_empty()
    }

    /// Number of connections to engines that this router relays for others.
    pub fn relayed_connections(&self) -> usize {
        self.relayed.active()
    }

    /// Sets the running routers, which may relay connections.
    pub(crate) fn set_relay_routers(
        &self,
        own: &RouterEndpoint,
        endpoints: &BTreeSet<RouterEndpoint>,
    ) {
        self.relay_routers.borrow_mut().set_endpoints(own, endpoints);
    }

    /// A connection to an engine. `fresh` demands a new one. Where this router recently could
    /// not connect itself, other routers are asked first; if none of them relays, the engine may have
    /// become reachable.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        engine: &EngineRecord,
        fresh: bool,
    ) -> Result<EngineConnection, ConnectError> {
        let path = self.preferred_path(&engine.notice.engine);
        if !fresh && let Some(connection) = self.pool.take_idle(&engine.notice.engine, path) {
            return Ok(connection);
        }
        if path == ConnectionPath::Relayed {
            match self.connect_through_relay(engine).await {
                Some(Ok(connection)) => return Ok(connection),
                Some(Err(error @ RelayError::EngineUnreachable { .. })) => return Err(error.into()),
                Some(Err(_)) | None => {}
            }
        }
        let error = match self.connect_directly_or_hedged(engine).await {
            Ok(connection) => return Ok(connection),
            Err(error) => error,
        };
        if path == ConnectionPath::Relayed {
            return Err(error.into());
        }
        match self.connect_through_relay(engine).await {
            Some(Ok(connection)) => {
                self.on_detour(&engine.notice.engine);
                Ok(connection)
            }
            Some(Err(RelayError::EngineUnreachable { .. })) | None => Err(error.into()),
            Some(Err(relay_error)) => Err(relay_error.into()),
        }
    }

    /// Connects directly, and also asks other routers if that takes long. If one of them is faster,
    /// the engine is well and this router's path to it is not.
    async fn connect_directly_or_hedged(
        self: &Rc<Self>,
        engine: &EngineRecord,
    ) -> io::Result<EngineConnection> {
        let mut direct = pin!(self.connect_directly(engine));
        // A relay is reached over the same link.
        if self.congestion.is_congested(Instant::now().into_std()) {
            return direct.await;
        }
        if let Ok(result) = timeout(HEDGE_DELAY, &mut direct).await {
            return result;
        }
        tokio::select! {
            result = &mut direct => return result,
            relayed = self.connect_through_relay(engine) => {
                if let Some(Ok(connection)) = relayed {
                    self.on_connection_failed(&engine.notice.engine);
                    self.on_detour(&engine.notice.engine);
                    return Ok(connection);
                }
            }
        }
        direct.await
    }

    fn preferred_path(&self, engine: &BackEndName) -> ConnectionPath {
        if self.reachability.borrow().prefers_detour(engine) {
            ConnectionPath::Relayed
        } else {
            ConnectionPath::Direct
        }
    }

    /// Records that another router connected to an engine where this one could not.
    pub(crate) fn on_detour(self: &Rc<Self>, engine: &BackEndName) {
        self.reachability.borrow_mut().on_detour(self.now(), engine);
        self.probe_if_needed();
    }

    async fn connect_directly(
        self: &Rc<Self>,
        engine: &EngineRecord,
    ) -> io::Result<EngineConnection> {
        let started = Instant::now();
        let result = self.pool.open(engine.notice.address).await;
        match &result {
            Ok(_) => self.congestion.on_connected(Instant::now().into_std(), started.elapsed()),
            Err(_) => self.on_connection_failed(&engine.notice.engine),
        }
        result
    }

    /// Asks other routers in turn. `None` if none is known.
    pub(crate) async fn connect_through_relay(
        &self,
        engine: &EngineRecord,
    ) -> Option<Result<EngineConnection, RelayError>> {
        let name = &engine.notice.engine;
        let candidates = self.relay_routers.borrow().candidates(self.now(), name);
        let mut refused = None;
        for router in candidates {
            match engine_relay::connect(self.source, router, name).await {
                Ok(stream) => {
                    self.relay_routers.borrow_mut().on_relayed(router);
                    match self.pool.start_relayed(stream).await {
                        Ok(connection) => return Some(Ok(connection)),
                        Err(source) => refused = Some(RelayError::Io { relay: router, source }),
                    }
                }
                Err(error @ RelayError::EngineUnreachable { .. }) => return Some(Err(error)),
                Err(error) => {
                    log::debug!(step = "relay", engine = name.as_str(); "{error}");
                    self.relay_routers.borrow_mut().on_refused(self.now(), router);
                    refused = Some(error);
                }
            }
        }
        refused.map(Err)
    }

    /// Records that a new connection to an engine failed, or broke before it carried a response.
    pub(crate) fn on_connection_failed(self: &Rc<Self>, engine: &BackEndName) {
        let engines = self.ready_engine_count();
        let change = self.reachability.borrow_mut().on_failure(self.now(), engine, engines);
        self.on_reachability_change(change);
        self.probe_if_needed();
    }

    /// Records that engines may have ended.
    pub(crate) fn on_engines_changed(&self) {
        if !self.is_isolated() {
            return;
        }
        let engines = self.ready_engine_count();
        let has_not_ended = |engine: &BackEndName| self.has_not_left(engine);
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.on_engines_changed(self.now(), has_not_ended, engines);
        drop(reachability);
        self.on_reachability_change(change);
    }

    /// Records the first response over a connection to an engine that was opened at `opened`.
    pub(crate) fn on_connection_succeeded(
        self: &Rc<Self>,
        engine: &BackEndName,
        opened: Timestamp,
    ) {
        let change = self.reachability.borrow_mut().on_success(self.now(), engine, opened);
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
        self.metrics.record_isolated(self.is_isolated());
    }

    /// Starts the probes if a path is lost, unless they still run.
    fn probe_if_needed(self: &Rc<Self>) {
        if !self.reachability.borrow().needs_probes() || self.is_probing.replace(true) {
            return;
        }
        let router = self.clone();
        tokio::task::spawn_local(async move {
            router.probe_lost_paths().await;
            router.is_probing.set(false);
        });
    }

    /// Connects to one engine after the other until no path is lost. The connections are kept for
    /// requests.
    async fn probe_lost_paths(self: &Rc<Self>) {
        let mut last: Option<BackEndName> = None;
        while self.reachability.borrow().needs_probes() {
            sleep(PROBE_INTERVAL).await;
            let Some(engine) = self.next_to_probe(last.as_ref()) else {
                continue;
            };
            let succeeded = self.pool.probe(&engine, PROBE_SETTLE).await == ProbeOutcome::Accepted;
            let name = engine.notice.engine;
            let engines = self.ready_engine_count();
            let change =
                self.reachability.borrow_mut().on_probe(self.now(), &name, succeeded, engines);
            self.on_reachability_change(change);
            last = Some(name);
        }
    }

    /// An engine that is reached by a detour and due, or while isolated the one after `last`.
    fn next_to_probe(&self, last: Option<&BackEndName>) -> Option<EngineRecord> {
        let due = self.reachability.borrow().due_detour(self.now()).cloned();
        let Some(name) = due else {
            return if self.is_isolated() { self.engine_after(last) } else { None };
        };
        let directory = self.directory.borrow();
        let engine = directory.get(&name).filter(|_| directory.accepts_requests(&name)).cloned();
        if engine.is_none() {
            self.reachability.borrow_mut().forget(&name);
        }
        engine
    }

    /// The engine in service that follows `last` by name, or the first one.
    fn engine_after(&self, last: Option<&BackEndName>) -> Option<EngineRecord> {
        let directory = self.directory.borrow();
        let name = |record: &&EngineRecord| record.notice.engine.clone();
        let following = directory
            .in_service()
            .filter(|record| last.is_none_or(|last| record.notice.engine > *last));
        following.min_by_key(name).or_else(|| directory.in_service().min_by_key(name)).cloned()
    }
}
