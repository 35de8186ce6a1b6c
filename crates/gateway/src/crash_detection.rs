//! Detects requests that crash engines, and refuses quarantined ones.

use crate::decision_log::{self, InterruptionPoint};
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use stackpost_gateway_core::{CrashSighting, Fingerprint, RequestContent};
use stackpost_types::{BackEndName, Millis};
use tokio::task::JoinHandle;

/// The check whether an engine crashed when a connection to it was interrupted.
pub(crate) struct PendingCrashCheck(JoinHandle<()>);

impl PendingCrashCheck {
    /// Waits until the check is complete and its result recorded.
    pub async fn wait(self) {
        if let Err(error) = self.0.await {
            log::error!(step = "check an engine after a break"; "{error}");
        }
    }
}

impl RequestContext {
    /// Fingerprint of the request's content, the same for every copy of it.
    pub fn fingerprint(&self) -> Fingerprint {
        let uri = &self.payload.uri;
        Fingerprint::of_request(&RequestContent {
            method: self.payload.method.as_str(),
            host: host(uri, &self.payload.headers),
            path: uri.path_and_query().map_or("", |path| path.as_str()),
            tenant: self.tenant.as_ref().map(|tenant| &tenant.name),
            body: &self.payload.body,
        })
    }

    /// Refuses a quarantined request. A request that has crashed engines elsewhere, under another
    /// id, would crash the next one here, so it is refused before it takes tokens or a slot.
    pub fn refuse_if_quarantined(&self) -> Result<(), Refusal> {
        let Some(retry_after) = self.quarantine_remaining() else {
            return Ok(());
        };
        decision_log::quarantined(self, retry_after);
        Err(Refusal::CrashesEngines { retry_after })
    }

    /// Whether this request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine_remaining().is_some()
    }

    /// Time until another attempt makes sense; `None` if the request is not quarantined.
    fn quarantine_remaining(&self) -> Option<Millis> {
        let mut tracker = self.router.crash_tracker.borrow_mut();
        if !tracker.has_quarantine_candidates() {
            return None;
        }
        tracker.quarantine_remaining(
            self.router.now(),
            &self.fingerprint(),
            self.router.is_connected_to_leader(),
        )
    }

    /// Handles an interrupted response: the engine may have crashed under this request. The
    /// returned check must be awaited before the request continues: a copy that has crashed its
    /// third engine must not reach a fourth one.
    pub fn on_interrupted(&self, engine: &BackEndName, at: InterruptionPoint) -> PendingCrashCheck {
        decision_log::response_interrupted(self, engine, at);
        let sighting = CrashSighting { request: self.fingerprint(), engine: engine.clone() };
        let (router, id) = (self.router.clone(), self.payload.caller.id.clone());
        // A separate task: the result counts even if the caller disconnects meanwhile.
        PendingCrashCheck(tokio::task::spawn_local(async move {
            let is_alive = router.survived_interruption(&sighting.engine).await;
            router.metrics.on_liveness_probe(is_alive);
            let mut tracker = router.crash_tracker.borrow_mut();
            if is_alive {
                decision_log::survived_interruption(&id, &sighting.engine);
                tracker.on_unconfirmed_crash(router.now(), sighting);
            } else {
                tracker.on_engine_crash(router.now(), sighting);
                router.crash_report_due.notify_one();
            }
        }))
    }

    /// Records a complete response, which shows that the request does not crash engines.
    pub fn on_request_succeeded(&self) {
        let mut tracker = self.router.crash_tracker.borrow_mut();
        if tracker.has_suspects() {
            tracker.on_request_succeeded(self.router.now(), &self.fingerprint());
            self.router.crash_report_due.notify_one();
        }
    }
}
