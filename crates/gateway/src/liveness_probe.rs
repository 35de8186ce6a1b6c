//! Distinguishes a crashed engine from a lost connection.
//!
//! Both look the same to the request. An engine whose process has ended accepts no connections any
//! more; one that lost a single connection does. A router that lost its path to the engines asks
//! another router to connect. Without the distinction, a copy of a request whose
//! connections break in three of ten runs made its router refuse all other copies for two seconds:
//! 12 of 150 copies with three routers.

use crate::engine_relay::RelayError;
use crate::router::Router;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use stackpost_gateway_core::{EngineRecord, EngineState};
use stackpost_types::BackEndName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which the probe connection must stay open: a multiple of the time that an exiting
/// process takes to close its listener and its connections, one after the other.
const PROBE_SETTLE: Duration = Duration::from_millis(10);
/// Timeout for a probe through other routers: several times a probe from here, since more than one
/// of them may have to be asked.
const RELAYED_PROBE_TIMEOUT: Duration = Duration::from_millis(180);

type Probe = Shared<LocalBoxFuture<'static, bool>>;

/// Running probes, one per engine: when an engine crashes, all its requests are interrupted at the
/// same moment.
#[derive(Default)]
pub(crate) struct LivenessProbes {
    running: RefCell<HashMap<BackEndName, Probe>>,
}

impl Router {
    /// Whether an engine is still running after one of its connections was interrupted. An unknown
    /// engine is not.
    pub(crate) async fn survived_interruption(self: &Rc<Self>, engine: &BackEndName) -> bool {
        let running = self.liveness_probes.running.borrow().get(engine).cloned();
        let probe = running.unwrap_or_else(|| self.start_probe(engine));
        probe.await
    }

    /// Whether an engine accepts a connection from here or from another router. An isolated router
    /// that finds no other one can't tell, and counts the engine as running.
    async fn reaches(self: &Rc<Self>, engine: &EngineRecord) -> bool {
        if self.pool.accepts_connections(engine, PROBE_SETTLE).await {
            return true;
        }
        self.on_connection_failed(&engine.notice.engine);
        match timeout(RELAYED_PROBE_TIMEOUT, self.connect_through_relay(engine)).await {
            Ok(Some(Ok(connection))) => {
                self.on_detour(&engine.notice.engine);
                self.pool.release(&engine.notice.engine, connection, None);
                true
            }
            Ok(Some(Err(RelayError::EngineUnreachable { .. }))) => false,
            Ok(Some(Err(_)) | None) | Err(_) => self.is_isolated(),
        }
    }

    fn has_not_left(&self, engine: &BackEndName) -> bool {
        let directory = self.directory.borrow();
        directory.get(engine).is_some_and(|record| record.notice.state != EngineState::Gone)
    }

    fn start_probe(self: &Rc<Self>, engine: &BackEndName) -> Probe {
        let (router, name) = (self.clone(), engine.clone());
        let probing = async move {
            let record = router.directory.borrow().get(&name).cloned();
            let accepts = match record {
                Some(record) => router.reaches(&record).await,
                None => false,
            };
            // Its next incarnation may have accepted the connection.
            let is_alive = accepts && router.has_not_left(&name);
            router.liveness_probes.running.borrow_mut().remove(&name);
            is_alive
        };
        let probe = probing.boxed_local().shared();
        self.liveness_probes.running.borrow_mut().insert(engine.clone(), probe.clone());
        // The probe completes even if every request that waits for it is cancelled.
        tokio::task::spawn_local(probe.clone());
        probe
    }
}
