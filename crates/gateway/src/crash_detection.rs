//! Detects requests and parts of prompts that crash engines, and refuses quarantined ones.

use crate::decision_log::{self, InterruptionPoint};
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use crate::router::Router;
use stackpost_gateway_core::{CrashSighting, Fingerprint, RequestContent};
use stackpost_types::{BackEndName, Millis};
use std::iter;
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

    /// The request's own fingerprint and those of the parts that it shares with others: what may
    /// have crashed an engine that ran it.
    fn suspects(&self) -> Vec<Fingerprint> {
        let shared_parts = self.payload.caller.shared_parts.iter().copied();
        iter::once(self.fingerprint()).chain(shared_parts).collect()
    }

    /// Time until another attempt makes sense; `None` if neither the request nor one of its parts is
    /// quarantined.
    fn quarantine_remaining(&self) -> Option<Millis> {
        let mut tracker = self.router.crash_tracker.borrow_mut();
        if !tracker.has_quarantine_candidates() {
            return None;
        }
        let (now, is_connected) = (self.router.now(), self.router.is_connected_to_leader());
        let suspects = self.suspects();
        let remaining = suspects
            .iter()
            .filter_map(|suspect| tracker.quarantine_remaining(now, suspect, is_connected));
        remaining.max()
    }

    /// Handles an interrupted response: the engine may have crashed under this request. The
    /// returned check must be awaited before the request continues: a copy that has crashed its
    /// third engine must not reach a fourth one.
    pub fn on_interrupted(&self, engine: &BackEndName, at: InterruptionPoint) -> PendingCrashCheck {
        decision_log::response_interrupted(self, engine, at);
        let (suspects, engine) = (self.suspects(), engine.clone());
        let (router, id) = (self.router.clone(), self.payload.caller.id.clone());
        // A separate task: the result counts even if the caller disconnects meanwhile.
        PendingCrashCheck(tokio::task::spawn_local(async move {
            let is_alive = router.survived_interruption(&engine).await;
            router.metrics.on_liveness_probe(is_alive);
            if is_alive {
                decision_log::survived_interruption(&id, &engine);
                router.on_unconfirmed_crash(&suspects, &engine);
            } else {
                router.on_engine_crash(&suspects, &engine);
            }
        }))
    }

    /// Records a complete response, which shows that neither the request nor one of its parts
    /// crashes engines.
    pub fn on_request_succeeded(&self) {
        let now = self.router.now();
        let mut tracker = self.router.crash_tracker.borrow_mut();
        let has_suspects = tracker.has_suspects();
        // A later crash elsewhere is no evidence against a part that has just succeeded here.
        let shared_parts = &self.payload.caller.shared_parts;
        shared_parts.iter().for_each(|part| tracker.on_request_succeeded(now, part));
        if has_suspects {
            tracker.on_request_succeeded(now, &self.fingerprint());
            self.router.crash_report_due.notify_one();
        }
    }
}

impl Router {
    /// Records that an engine crashed while it ran a request with these suspects.
    fn on_engine_crash(&self, suspects: &[Fingerprint], engine: &BackEndName) {
        let (now, mut tracker) = (self.now(), self.crash_tracker.borrow_mut());
        sightings(suspects, engine).for_each(|sighting| tracker.on_engine_crash(now, sighting));
        self.crash_report_due.notify_one();
    }

    /// The same for an engine that still accepts connections.
    fn on_unconfirmed_crash(&self, suspects: &[Fingerprint], engine: &BackEndName) {
        let (now, mut tracker) = (self.now(), self.crash_tracker.borrow_mut());
        sightings(suspects, engine)
            .for_each(|sighting| tracker.on_unconfirmed_crash(now, sighting));
    }
}

fn sightings<'a>(
    suspects: &'a [Fingerprint],
    engine: &'a BackEndName,
) -> impl Iterator<Item = CrashSighting> + 'a {
    let sighting =
        |suspect: &Fingerprint| CrashSighting { suspect: *suspect, engine: engine.clone() };
    suspects.iter().map(sighting)
}
