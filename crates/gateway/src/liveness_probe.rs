//! Distinguishes a crashed engine from a lost connection.
//!
//! Both look the same to the request. An engine whose process has ended refuses connections; one
//! that lost a single connection accepts them. One that does neither may be suspended or overloaded,
//! and runs on later. A router that lost its path to the engines asks another router to connect.
//! Without the distinction, a copy of a request whose connections break in three of ten runs made
//! its router refuse all other copies for two seconds: 12 of 150 copies with three routers.

use crate::connection_pool::{CONNECT_TIMEOUT, ProbeOutcome};
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
// Otherwise a relay's own timeout would look like a refusal.
const _: () = assert!(RELAYED_PROBE_TIMEOUT.as_millis() < CONNECT_TIMEOUT.as_millis());

/// Time after the end of a connection from which another engine may have taken the address: a
/// restarted one, or one of another service.
const ADDRESS_REUSE_TIME: Duration = Duration::from_secs(1);

/// Whether an engine still runs, as far as a probe can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It accepts connections.
    Running,
    /// It refuses them, or has left.
    Ended,
    /// It does not respond, or this router is isolated and no other one could be asked.
    Unknown,
}

impl Liveness {
    /// What the result shows if the connection had ended this long before the probe.
    pub fn shown_after(self, elapsed: Duration) -> Self {
        match self {
            Self::Running if elapsed >= ADDRESS_REUSE_TIME => Self::Unknown,
            Self::Running | Self::Ended | Self::Unknown => self,
        }
    }

    /// The result as written in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "lives",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

type Probe = Shared<LocalBoxFuture<'static, Liveness>>;

/// Running probes, one per engine: when an engine crashes, all its requests are interrupted at the
/// same moment.
#[derive(Default)]
pub(crate) struct LivenessProbes {
    running: RefCell<HashMap<BackEndName, Probe>>,
}

impl Router {
    /// Whether an engine is still running after one of its connections has ended. An engine that the
    /// directory does not know has ended.
    pub(crate) async fn probe_liveness(self: &Rc<Self>, engine: &BackEndName) -> Liveness {
        let running = self.liveness_probes.running.borrow().get(engine).cloned();
        let probe = running.unwrap_or_else(|| self.start_probe(engine));
        let liveness = probe.await;
        self.metrics.on_liveness_probe(liveness);
        liveness
    }

    /// Whether an engine accepts a connection from here or from another router.
    async fn reaches(self: &Rc<Self>, engine: &EngineRecord) -> Liveness {
        let direct = self.pool.probe(engine, PROBE_SETTLE).await;
        if direct == ProbeOutcome::Accepted {
            return Liveness::Running;
        }
        self.on_connection_failed(&engine.notice.engine);
        match timeout(RELAYED_PROBE_TIMEOUT, self.connect_through_relay(engine)).await {
            Ok(Some(Ok(connection))) => {
                self.on_detour(&engine.notice.engine);
                self.pool.release(&engine.notice.engine, connection, None);
                Liveness::Running
            }
            Ok(Some(Err(RelayError::EngineUnreachable { .. }))) => Liveness::Ended,
            Ok(Some(Err(_)) | None) | Err(_) => match direct {
                ProbeOutcome::Refused if !self.is_isolated() => Liveness::Ended,
                _ => Liveness::Unknown,
            },
        }
    }

    pub(crate) fn has_not_left(&self, engine: &BackEndName) -> bool {
        let directory = self.directory.borrow();
        directory.get(engine).is_some_and(|record| record.notice.state != EngineState::Gone)
    }

    fn start_probe(self: &Rc<Self>, engine: &BackEndName) -> Probe {
        let (router, name) = (self.clone(), engine.clone());
        let probing = async move {
            let record = router.directory.borrow().get(&name).cloned();
            let liveness = match record {
                Some(record) => router.reaches(&record).await,
                None => Liveness::Ended,
            };
            router.liveness_probes.running.borrow_mut().remove(&name);
            // Its next incarnation may have accepted the connection.
            if router.has_not_left(&name) { liveness } else { Liveness::Ended }
        };
        let probe = probing.boxed_local().shared();
        self.liveness_probes.running.borrow_mut().insert(engine.clone(), probe.clone());
        // The probe completes even if every request that waits for it is cancelled.
        tokio::task::spawn_local(probe.clone());
        probe
    }
}
