//! What a request shows of the engines that end under it, and whether it is let in.

use crate::decision_log::{self, BreakPoint};
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use stackpost_gateway_core::{CrashSighting, RequestContent, RequestFingerprint};
use stackpost_types::BackEndName;

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
        if !self.is_quarantined() {
            return Ok(());
        }
        decision_log::quarantined(self);
        Err(Refusal::EndsEngines)
    }

    /// Whether this request is let in no more.
    pub fn is_quarantined(&self) -> bool {
        let mut memory = self.router.crash_memory.borrow_mut();
        memory.quarantines_any()
            && memory.is_quarantined(self.router.now(), &self.fingerprint(), self.router.in_touch())
    }

    /// An engine broke the answer off, so it may have ended under this request.
    pub fn on_broken_off(&self, engine: &BackEndName, at: BreakPoint) {
        decision_log::engine_broke_off(self, engine, at);
        let sighting = CrashSighting { request: self.fingerprint(), engine: engine.clone() };
        self.router.crash_memory.borrow_mut().on_engine_ended(self.router.now(), sighting);
        self.router.crash_news.notify_one();
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
