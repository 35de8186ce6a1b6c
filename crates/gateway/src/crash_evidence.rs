//! What a request shows of the engines that end under it, and whether it is let in.

use crate::decision_log::{self, BreakPoint};
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use stackpost_gateway_core::{CrashSighting, RequestContent, RequestFingerprint};
use stackpost_types::{BackEndName, Millis};
use tokio::task::JoinHandle;

/// The router finds out what the break of a connection shows.
pub(crate) struct BreakNoted(JoinHandle<()>);

impl BreakNoted {
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
        let Some(retry_after) = self.quarantine_left() else {
            return Ok(());
        };
        decision_log::quarantined(self, retry_after);
        Err(Refusal::EndsEngines { retry_after })
    }

    /// Whether this request is let in no more.
    pub fn is_quarantined(&self) -> bool {
        self.quarantine_left().is_some()
    }

    /// After how long another try makes sense; `None` if the request is let in.
    fn quarantine_left(&self) -> Option<Millis> {
        let mut memory = self.router.crash_memory.borrow_mut();
        if !memory.quarantines_any() {
            return None;
        }
        memory.quarantine_left(self.router.now(), &self.fingerprint(), self.router.in_touch())
    }

    /// An engine broke the answer off, so it may have ended under this request. What is returned is to be waited for
    /// before the request goes on: a copy that has ended its third engine must not reach a fourth one.
    pub fn on_broken_off(&self, engine: &BackEndName, at: BreakPoint) -> BreakNoted {
        decision_log::engine_broke_off(self, engine, at);
        let sighting = CrashSighting { request: self.fingerprint(), engine: engine.clone() };
        let (router, id) = (self.router.clone(), self.payload.caller.id.clone());
        // On a task of its own: what an engine's end shows counts though the caller goes away meanwhile.
        BreakNoted(tokio::task::spawn_local(async move {
            let lives = router.lives_after_break(&sighting.engine).await;
            router.metrics.on_break(lives);
            let mut memory = router.crash_memory.borrow_mut();
            if lives {
                decision_log::lives_after_break(&id, &sighting.engine);
                memory.on_broken_at_living(router.now(), sighting);
            } else {
                memory.on_engine_ended(router.now(), sighting);
                router.crash_news.notify_one();
            }
        }))
    }

    /// An engine has answered in whole, so the request is not one that ends engines.
    pub fn on_ended_well(&self) {
        let mut memory = self.router.crash_memory.borrow_mut();
        if memory.suspects_any() {
            memory.on_ended_well(self.router.now(), &self.fingerprint());
            self.router.crash_news.notify_one();
        }
    }
}
