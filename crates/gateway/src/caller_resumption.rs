//! Streams that callers resume, possibly at another router than the one that began them.
//!
//! What two software versions of an engine write does not fit together, and engines do not check
//! it. So a resumed stream is sent only to engines of the version that began it, and refused while
//! that version is unknown.

use crate::attempt::ActiveAttempt;
use crate::decision_log;
use crate::refusal::Refusal;
use crate::request::RequestContext;
use stackpost_gateway_core::{EngineRecord, StreamKey, common_version};
use stackpost_types::{BackEndName, SoftwareVersion};

impl RequestContext {
    /// Binds a request that resumes a stream to the version that began it. Called before tokens are
    /// reserved.
    pub async fn bind_resumed_stream(&self) -> Result<(), Refusal> {
        let caller = &self.payload.caller;
        let version = match &caller.resumes {
            Some(attempt_id) => self.router.find_stream_version(StreamKey::of(attempt_id)).await,
            None if caller.last_event.is_some() => self.only_version().await,
            None => return Ok(()),
        };
        let version = version.ok_or(Refusal::StreamUnknown)?;
        self.bind_version(&version);
        if self.has_engine_for_stream() { Ok(()) } else { Err(Refusal::NoEngineOfVersion) }
    }

    /// Handles the first event of an attempt's stream. A stream that the caller may resume is
    /// recorded before the event is passed on.
    pub fn on_stream_began(&self, attempt: &ActiveAttempt) {
        let caller = &self.payload.caller;
        if self.stream_version.get().is_some() {
            return decision_log::caller_resumed_stream(self, attempt);
        }
        let version = &attempt.engine().notice.software;
        self.bind_version(version);
        if self.route.kind.may_retry() {
            self.router.record_stream(StreamKey::of(&caller.id), version);
        }
    }

    fn bind_version(&self, version: &SoftwareVersion) {
        // A stream that is bound already keeps its version.
        let _ = self.stream_version.set(version.clone());
    }

    /// The version of all engines that can have begun the stream. That there is no other one is
    /// known only to a router that knows all engines of this moment.
    async fn only_version(&self) -> Option<SoftwareVersion> {
        // Several known versions stay several.
        self.common_version()?;
        let is_known = self.router.wait_until_engines_known(self.deadline.timer()).await;
        if is_known { self.common_version() } else { None }
    }

    fn common_version(&self) -> Option<SoftwareVersion> {
        let (directory, now) = (self.router.directory.borrow(), self.router.now());
        common_version(&directory, &self.service, now, self.route.timeout)
    }

    /// Whether an engine may continue the stream. Any engine may begin one.
    pub fn fits_stream(&self, engine: &EngineRecord) -> bool {
        self.stream_version.get().is_none_or(|version| engine.notice.software == *version)
    }

    /// Engines of the service that may not continue the stream.
    pub fn engines_of_other_versions(&self) -> Vec<BackEndName> {
        if self.stream_version.get().is_none() {
            return Vec::new();
        }
        let directory = self.router.directory.borrow();
        let others = directory
            .in_service()
            .filter(|engine| engine.notice.service == self.service && !self.fits_stream(engine));
        others.map(|engine| engine.notice.engine.clone()).collect()
    }

    fn has_engine_for_stream(&self) -> bool {
        let directory = self.router.directory.borrow();
        let mut in_service = directory.in_service();
        in_service.any(|engine| engine.notice.service == self.service && self.fits_stream(engine))
    }
}
