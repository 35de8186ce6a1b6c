//! A request that crashes every engine that begins to run it.
//!
//! Guards against copies of such a request reaching one engine after the other: in spells of 12 to
//! 16 seconds, 13 to 23 engines crashed, with the streams of all other callers there. The same
//! request arrived about once a second, with the same path, tenant and body but a new id, over new
//! connections and at any router. Each router knew only of its own attempts, and only until they
//! had ended, so all twelve copies sent to two routers in turn reached an engine.
//!
//! See `docs/incidents/2026-12-03-crashing-request.md`.

use crate::support::*;
use stackpost_gateway_core::EngineState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Engines that a request may crash before it is quarantined.
const CRASHES_ALLOWED: usize = 3;
/// Further attempts that are tolerated after the third crash: copies already in flight.
const ATTEMPTS_AFTER: usize = 3;
/// Number of copies sent one after the other.
const COPIES: usize = 12;
/// Time within which every router that is connected to the leader must receive the quarantine. A
/// slower fleet fails the test.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// A fleet of two routers whose crashed engines are replaced by new ones with new names.
struct RestartingFleet {
    fleet: Fleet,
    second: RefCell<RouterMachine>,
    engines: RefCell<Vec<Rc<Engine>>>,
    started: Cell<usize>,
}

impl RestartingFleet {
    async fn start() -> Self {
        let fleet = Fleet::start().await;
        let second = fleet.add_router().await;
        second.ready(fleet.engines.len()).await;
        let engines = RefCell::new(fleet.engines.to_vec());
        let started = Cell::new(fleet.engines.len());
        Self { fleet, second: RefCell::new(second), engines, started }
    }

    /// Waits until both routers know all running engines.
    async fn wait_until_all_known(&self) {
        let running = self.engines.borrow().len();
        let second = self.second.borrow().router.clone();
        wait_until(|| self.fleet.router.ready_engine_count() == running).await;
        wait_until(|| second.ready_engine_count() == running).await;
    }

    /// Replaces each crashed engine by a new one, and waits until both routers know them.
    async fn restart_engines(&self) {
        let (crashed, running) = self
            .engines
            .take()
            .into_iter()
            .partition::<Vec<_>, _>(|engine| engine.has_crashed.get());
        self.engines.replace(running);
        for engine in &crashed {
            self.fleet.leave(engine.name.id()).await;
        }
        self.wait_until_all_known().await;
        for _ in crashed {
            self.started.set(self.started.get() + 1);
            let engine = Engine::start(&format!("e{}", self.started.get())).await;
            self.fleet.announce(&engine, 1, EngineState::Ready).await;
            self.engines.borrow_mut().push(engine);
        }
        self.wait_until_all_known().await;
    }

    /// Waits until both routers know a quarantine, at most for [`PROPAGATION_TIME`].
    async fn wait_until_quarantined(&self) -> bool {
        let second = self.second.borrow().router.clone();
        let is_known =
            || [&self.fleet.router, &second].iter().all(|router| router.quarantined_suspects() > 0);
        holds_within(PROPAGATION_TIME, is_known).await
    }

    /// Sends a request to one of the two routers.
    async fn ask(&self, number: usize, path: &str, id: &str) -> CallerResponse {
        if number.is_multiple_of(2) {
            return self.fleet.ask(path, id).await;
        }
        let callers = self.second.borrow().callers;
        ask_as_caller(callers, path, id).await
    }

    /// Sends copies of one request to both routers in turn. Returns the total number of crashed
    /// engines.
    async fn send_copies(&self, path: &str, copies: usize) -> usize {
        let mut has_waited = false;
        for number in 0..copies {
            if self.crashed_engines() >= CRASHES_ALLOWED
                && !std::mem::replace(&mut has_waited, true)
            {
                // One of the crashes may not be confirmed yet; the bound on crashes decides.
                let _ = self.wait_until_quarantined().await;
            }
            self.ask(number, path, &format!("{path}-{number}")).await;
            self.restart_engines().await;
        }
        self.crashed_engines()
    }

    fn crashed_engines(&self) -> usize {
        self.started.get() - self.fleet.engines.len()
    }
}

#[test]
fn crashing_request_is_quarantined_after_three_engines() {
    for point in CrashPoint::ALL {
        run_local(async move {
            let fleet = RestartingFleet::start().await;
            let path = format!("/plain-stream/{}", point.path_segment());
            let crashed = fleet.send_copies(&path, COPIES).await;
            assert!(
                crashed <= CRASHES_ALLOWED + ATTEMPTS_AFTER,
                "{crashed} engines crashed, {point:?}"
            );
            for number in 0..2 {
                let response = fleet.ask(number, &path, &format!("late-{number}")).await;
                assert_eq!(response.status, 503, "{point:?}");
                assert!(response.body.expect("a complete body").contains("\"not_run\""));
            }
            let response = fleet.fleet.ask("/plain-stream/other", "other").await;
            assert_eq!(response.body, Ok(all_events()), "other requests are served");
        });
    }
}

#[test]
fn idempotent_requests_crash_no_more_engines_than_others() {
    for path in ["/stream/crash-after-events", "/again/crash-before-head"] {
        run_local(async move {
            let fleet = RestartingFleet::start().await;
            let crashed = fleet.send_copies(path, COPIES).await;
            assert!(
                crashed <= CRASHES_ALLOWED + ATTEMPTS_AFTER,
                "{crashed} engines crashed, {path}"
            );
        });
    }
}

#[test]
fn new_router_refuses_a_quarantined_request() {
    run_local(async {
        let fleet = RestartingFleet::start().await;
        let path = format!("/plain-stream/{}", CrashPoint::BeforeFirstEvent.path_segment());
        let before = fleet.send_copies(&path, COPIES).await;
        let new_router = fleet.fleet.add_router().await;
        let running = fleet.engines.borrow().len();
        new_router.ready(running).await;
        fleet.second.replace(new_router);
        let response = fleet.ask(1, &path, "at-newcomer").await;
        assert_eq!(response.status, 503);
        assert_eq!(fleet.crashed_engines(), before);
    });
}

/// Guards against refusing a sound part of a prompt for minutes because it was quarantined together
/// with a harmful one before any request with it had succeeded.
#[test]
fn sound_part_is_served_again_after_it_was_quarantined_with_a_harmful_one() {
    run_local(async {
        let fleet = RestartingFleet::start().await;
        let crash = format!("/plain-stream/{}", CrashPoint::BeforeFirstEvent.path_segment());
        for number in 0..CRASHES_ALLOWED {
            let (path, id) = (format!("{crash}?{number}"), format!("crash-{number}"));
            let headers = [("id", &*id), ("key", KEY), ("parts", "system,harmful")];
            fleet.fleet.ask_with(&path, &headers).await;
            fleet.restart_engines().await;
        }
        assert!(fleet.wait_until_quarantined().await, "the quarantine is late");
        let mut sent = 0;
        let mut is_sound_served = async |router: usize| {
            sent += 1;
            let (path, id) = (format!("/plain-stream/{sent}"), format!("sound-{sent}"));
            let headers = [("id", &*id), ("key", KEY), ("parts", "system")];
            let callers = [fleet.fleet.callers, fleet.second.borrow().callers][router];
            ask_at(callers, &path, &headers).await.status == 200
        };
        // One router of the two tries the part; which one is up to its fingerprint.
        let mut asked = 0;
        wait_until_async(async || {
            asked += 1;
            is_sound_served(asked % 2).await
        })
        .await;
        for router in [0, 1] {
            wait_until_async(async || is_sound_served(router).await).await;
        }
        for copy in 0..COPIES {
            assert!(is_sound_served(copy % 2).await, "sound requests are served from now on");
        }
        let harmful = [("id", "late"), ("key", KEY), ("parts", "system,harmful")];
        assert_eq!(fleet.fleet.ask_with(&format!("{crash}?late"), &harmful).await.status, 503);
        assert_eq!(fleet.crashed_engines(), CRASHES_ALLOWED);
    });
}
