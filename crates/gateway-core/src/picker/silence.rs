//! Which engines are silent towards this router.

use super::{EnginePicker, engines_in_service};
use crate::departure_progress::UnreadEngine;
use crate::directory::EngineDirectory;
use crate::engine_health::EngineHealth;
use crate::engine_silence::EngineSilence;
use crate::request_evidence::Evidence;
use crate::unread_requests::{DispatchedRequest, UnreadRequests};
use stackpost_types::{BackEndName, Millis, ServiceName, Timestamp};

impl EnginePicker {
    /// Records that something was received from an engine, on any connection.
    pub fn on_heard(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(health) = self.engines.get_mut(engine) {
            health.silence.on_heard(now, health.in_flight);
        }
    }

    /// Records that a request is written to a connection to an engine. `None` if the engine is not
    /// known any more.
    pub fn on_dispatched(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
    ) -> Option<DispatchedRequest> {
        let health = self.engines.get_mut(engine)?;
        health.unread.remove_expired(now);
        Some(health.unread.on_dispatched(now))
    }

    /// Records what the connection of a request to an engine has shown of it.
    pub fn on_evidence(
        &mut self,
        now: Timestamp,
        engine: &BackEndName,
        request: DispatchedRequest,
        evidence: Evidence,
    ) {
        if let Some(health) = self.engines.get_mut(engine) {
            health.unread.on_evidence(now, request, evidence);
        }
    }

    /// The requests of this router that an engine may not have read.
    pub fn unread(&self, engine: &BackEndName) -> Option<&UnreadRequests> {
        self.engines.get(engine).map(|health| &health.unread)
    }

    /// The engines that may not have read all requests of this router.
    pub fn unread_engines(&self, now: Timestamp) -> Vec<UnreadEngine> {
        let newest = |health: &EngineHealth| health.unread.newest(now);
        self.engines
            .iter()
            .filter_map(|(engine, health)| {
                let newest_age = now.since(newest(health)?);
                Some(UnreadEngine { engine: engine.clone(), newest_age })
            })
            .collect()
    }

    /// How long an engine has been silent towards this router.
    pub fn silence(&self, engine: &BackEndName) -> EngineSilence {
        self.engines.get(engine).map(|health| health.silence).unwrap_or_default()
    }

    /// Records that a request was sent to another engine because this one was silent, which counts
    /// as a failure.
    pub fn on_silent(&mut self, now: Timestamp, engine: &BackEndName) {
        if let Some(health) = self.engines.get_mut(engine) {
            health.record_outcome(now, true);
        }
    }

    /// Engines of a service that have been silent for `limit` or longer.
    pub fn silent_engines(
        &self,
        now: Timestamp,
        directory: &EngineDirectory,
        service: &ServiceName,
        limit: Millis,
    ) -> Vec<BackEndName> {
        let names = engines_in_service(directory, service).map(|record| &record.notice.engine);
        names.filter(|engine| self.silence(engine).silent_for(now) >= limit).cloned().collect()
    }

    /// Number of engines of a service from which something was received later than `since`.
    pub fn heard_since(
        &self,
        directory: &EngineDirectory,
        service: &ServiceName,
        since: Timestamp,
    ) -> usize {
        let names = engines_in_service(directory, service).map(|record| &record.notice.engine);
        let heard_at = names.filter_map(|engine| self.silence(engine).heard_at());
        heard_at.filter(|heard_at| *heard_at > since).count()
    }
}
