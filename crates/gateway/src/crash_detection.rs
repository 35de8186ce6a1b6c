//! Detects requests and parts of prompts that crash engines, and refuses quarantined ones.

use crate::connection_headers::ends_with_connection;
use crate::decision_log::{self, InterruptionPoint};
use crate::liveness_probe::Liveness;
use crate::refusal::Refusal;
use crate::request::{RequestContext, host};
use crate::router::Router;
use hyper::HeaderMap;
use stackpost_gateway_core::{CrashSighting, Fingerprint, RequestContent};
use stackpost_types::{BackEndName, Millis};
use std::iter;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time that a crashing engine may take from the end of one of its connections until its address
/// refuses new ones.
const EXIT_TIME: Duration = Duration::from_millis(60);
/// Time for which an engine that does not respond is probed again: as long as the start of a newer
/// incarnation would confirm its crash.
const MAX_PROBING_TIME: Duration = Duration::from_secs(5);

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

/// A quarantined request or part.
struct QuarantinedSuspect {
    suspect: Fingerprint,
    /// Time until another attempt makes sense.
    remaining: Millis,
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
            body: self.payload.body.bytes(),
        })
    }

    /// Refuses a quarantined request, unless it is admitted as a trial. A request that has crashed
    /// engines elsewhere, under another id, would crash the next one here, so it is refused before
    /// it takes tokens or a slot.
    pub fn refuse_if_quarantined(&self) -> Result<(), Refusal> {
        let quarantined = self.quarantined_suspects();
        let Some(retry_after) = quarantined.iter().map(|suspect| suspect.remaining).max() else {
            return Ok(());
        };
        if self.is_trial.get() || self.begin_trial(&quarantined) {
            return Ok(());
        }
        decision_log::quarantined(self, retry_after);
        Err(Refusal::CrashesEngines { retry_after })
    }

    /// Whether the request or one of its parts is quarantined. A trial is, too, so that it is not
    /// retried.
    pub fn is_quarantined(&self) -> bool {
        !self.quarantined_suspects().is_empty()
    }

    /// The request's own fingerprint and those of the parts that it shares with others: what may
    /// have crashed an engine that ran it.
    fn suspects(&self) -> Vec<Fingerprint> {
        let shared_parts = self.payload.caller.shared_parts.iter().copied();
        iter::once(self.fingerprint()).chain(shared_parts).collect()
    }

    fn quarantined_suspects(&self) -> Vec<QuarantinedSuspect> {
        let mut tracker = self.router.crash_tracker.borrow_mut();
        if !tracker.has_quarantine_candidates() {
            return Vec::new();
        }
        let (now, is_connected) = (self.router.now(), self.router.is_connected_to_leader());
        let remaining_of = |suspect: Fingerprint| {
            let remaining = tracker.quarantine_remaining(now, &suspect, is_connected)?;
            Some(QuarantinedSuspect { suspect, remaining })
        };
        self.suspects().into_iter().filter_map(remaining_of).collect()
    }

    /// Admits the request as a trial of its quarantined parts, at one router of the fleet.
    fn begin_trial(&self, quarantined: &[QuarantinedSuspect]) -> bool {
        let parts: Vec<Fingerprint> = quarantined.iter().map(|listed| listed.suspect).collect();
        let Some(first) = parts.iter().min().filter(|_| !parts.contains(&self.fingerprint()))
        else {
            return false;
        };
        let is_own_turn = self.router.ranked_routers.borrow().is_own_best(first.to_u64());
        let now = self.router.now();
        let begins = is_own_turn && self.router.crash_tracker.borrow_mut().begin_trial(now, &parts);
        if begins {
            self.is_trial.set(true);
            decision_log::quarantine_trial(self, &parts);
        }
        begins
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
            match router.probe_liveness(&engine).await {
                Liveness::Ended => return router.on_engine_crash(&suspects, &engine),
                Liveness::Running => decision_log::survived_interruption(&id, &engine),
                Liveness::Unknown => {}
            }
            router.on_unconfirmed_crash(&suspects, &engine);
            tokio::task::spawn_local(router.probe_later(suspects, engine));
        }))
    }

    /// Handles the end of a successful response that seems whole.
    pub fn on_whole_response(&self, headers: &HeaderMap, engine: &BackEndName) {
        self.note_served();
        if ends_with_connection(headers) {
            self.on_ended_with_connection(engine);
        } else {
            self.on_request_succeeded();
        }
    }

    /// Handles a whole response whose end is that of its connection. An engine that crashes may
    /// end its connections in the same way, so the request has succeeded only if the engine runs
    /// on.
    fn on_ended_with_connection(&self, engine: &BackEndName) {
        let (router, suspects, engine) = (self.router.clone(), self.suspects(), engine.clone());
        tokio::task::spawn_local(async move {
            match router.probe_until_known(&engine).await {
                Liveness::Running => router.on_succeeded(&suspects),
                Liveness::Unknown => {}
                Liveness::Ended => router.on_engine_crash(&suspects, &engine),
            }
        });
    }

    /// Records a complete response, which shows that neither the request nor one of its parts
    /// crashes engines.
    fn on_request_succeeded(&self) {
        // Successes of parts count for crashes that follow; the request's own is needed only if it
        // is suspected already.
        let has_suspects = self.router.crash_tracker.borrow().has_suspects();
        let succeeded = match has_suspects {
            true => self.suspects(),
            false => self.payload.caller.shared_parts.clone(),
        };
        self.router.on_succeeded(&succeeded);
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

    /// Probes an engine again that may have accepted a connection as it crashed, or did not respond.
    async fn probe_later(self: Rc<Self>, suspects: Vec<Fingerprint>, engine: BackEndName) {
        if self.probe_until_known(&engine).await == Liveness::Ended {
            self.on_engine_crash(&suspects, &engine);
        }
    }

    /// Probes an engine once it has had the time to exit, and again while it does not respond. An
    /// isolated router waits until it reaches engines again.
    async fn probe_until_known(self: &Rc<Self>, engine: &BackEndName) -> Liveness {
        let ended_at = Instant::now();
        let until = ended_at + MAX_PROBING_TIME;
        loop {
            // Probes of several engines that fail at the same moment would look like isolation.
            sleep(EXIT_TIME.mul_f64(1.0 + rand::random::<f64>())).await;
            let is_last = Instant::now() >= until;
            if self.is_isolated() && !is_last {
                continue;
            }
            let elapsed = ended_at.elapsed();
            let liveness = self.probe_liveness(engine).await;
            if liveness != Liveness::Unknown || is_last {
                return liveness.shown_after(elapsed);
            }
        }
    }

    /// Records that a request succeeded, with its fingerprint and those of its shared parts.
    fn on_succeeded(&self, request: &[Fingerprint]) {
        let (now, mut tracker) = (self.now(), self.crash_tracker.borrow_mut());
        request.iter().for_each(|succeeded| tracker.on_request_succeeded(now, succeeded));
        self.crash_report_due.notify_one();
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
