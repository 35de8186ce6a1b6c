//! What a request shows of the engines that end under it, and whether it is let in.

use crate::decision_log::{self, InterruptionPoint};
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use stackpost_gateway_core::{CrashSighting, RequestContent, RequestFingerprint};
use stackpost_types::{BackEndName, Millis};
use tokio::task::JoinHandle;

/// The router finds out what the break of a connection shows.
pub(crate) struct PendingCrashCheck(JoinHandle<()>);

impl PendingCrashCheck {
    /// Waits until that is known and counts.
    pub async fn wait(self) {
        if let Err(error) = self.0.await {
            log::error!(step = "check an engine after a break"; "{error}");
        }
    }
}

impl RequestContext {
    /// What the request asks, the same for every repeat of it.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let uri = &self.payload.uri;
        RequestFingerprint::of(&RequestContent {
            method: self.payload.method.as_str(),
            host: host(uri, &self.payload.headers),
            path: uri.path_and_query().map_or("", |path| path.as_str()),
            tenant: self.tenant.as_ref().map(|tenant| &tenant.name),
            body: &self.payload.body,
        })
    }

    /// A request that has ended engines elsewhere, under another id, would end the next one here. It is
    /// known not to be servable, so it is refused before it takes up tokens or a place.
    pub fn refuse_if_quarantined(&self) -> Result<(), Refusal> {
        let Some(retry_after) = self.quarantine_remaining() else {
            return Ok(());
        };
        decision_log::quarantined(self, retry_after);
        Err(Refusal::CrashesEngines { retry_after })
    }

    /// Whether this request is let in no more.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine_remaining().is_some()
    }

    /// After how long another try makes sense; `None` if the request is let in.
    fn quarantine_remaining(&self) -> Option<Millis> {
        let mut memory = self.router.crash_tracker.borrow_mut();
        if !memory.has_quarantine_candidates() {
            return None;
        }
        memory.quarantine_remaining(self.router.now(), &self.fingerprint(), self.router.in_touch())
    }

    /// An engine broke the answer off, so it may have ended under this request. What is returned is to be waited for
    /// before the request goes on: a copy that has ended its third engine must not reach a fourth one.
    pub fn on_interrupted(&self, engine: &BackEndName, at: InterruptionPoint) -> PendingCrashCheck {
        decision_log::response_interrupted(self, engine, at);
        let sighting = CrashSighting { request: self.fingerprint(), engine: engine.clone() };
        let (router, id) = (self.router.clone(), self.payload.caller.id.clone());
        // On a task of its own: what an engine's end shows counts though the caller goes away meanwhile.
        PendingCrashCheck(tokio::task::spawn_local(async move {
            let lives = router.survived_interruption(&sighting.engine).await;
            router.metrics.on_liveness_probe(lives);
            let mut memory = router.crash_tracker.borrow_mut();
            if lives {
                decision_log::survived_interruption(&id, &sighting.engine);
                memory.on_unconfirmed_crash(router.now(), sighting);
            } else {
                memory.on_engine_crash(router.now(), sighting);
                router.crash_report_due.notify_one();
            }
        }))
    }

    /// An engine has answered in whole, so the request is not one that ends engines.
    pub fn on_request_succeeded(&self) {
        let mut memory = self.router.crash_tracker.borrow_mut();
        if memory.has_suspects() {
            memory.on_request_succeeded(self.router.now(), &self.fingerprint());
            self.router.crash_report_due.notify_one();
        }
    }
}
