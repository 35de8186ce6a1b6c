//! A request that ends every engine that begins to run it.
//!
//! The failure: callers of one service met broken answers for spells of 12 to 16 seconds, in which one
//! engine after the other ended, 13 to 23 in a spell. In each spell one request came again and again,
//! about once a second, with the same path, tenant and body but a new id, over new connections and at
//! any router. Each copy was let in like a first one, reached one engine, began to run there and ended it,
//! with all the streams of other callers that ran beside it.
//!
//! The cause: everything that was known of a request was known of one try of it, at one router, until
//! that try was answered. The evidence: each copy was sent to just one engine by just one router, so no
//! router repeated it; copies came through all routers; and the first test below, in which two routers are
//! asked in turn, let all twelve copies through. See
//! `docs/incidents/2026-12-03-crashing-request.md`.

use crate::support::*;
use stackpost_gateway_core::EngineState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Engines that a request may end before it is sent to no further one.
const ENGINES_LOST: usize = 3;
/// Further sends that are borne after the third engine has ended: copies that were under way already.
const SENDS_AFTER: usize = 3;
/// Copies that come one after the other.
const COPIES: usize = 12;
/// Time for every router in touch to hear of the third engine. A fleet that needs longer fails.
const CONTACT_TIME: Duration = Duration::from_millis(1_500);

/// A fleet of two routers whose engines are started anew, under a new name, when they have ended.
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

    /// Waits until both routers know of all engines that run.
    async fn all_known(&self) {
        let running = self.engines.borrow().len();
        let second = self.second.borrow().router.clone();
        wait_until(|| self.fleet.router.ready_engine_count() == running).await;
        wait_until(|| second.ready_engine_count() == running).await;
    }

    /// Puts a new engine in the place of each one that has ended, and waits until both routers know.
    async fn restart_engines(&self) {
        let (ended, running) = self
            .engines
            .take()
            .into_iter()
            .partition::<Vec<_>, _>(|engine| engine.has_crashed.get());
        self.engines.replace(running);
        for engine in &ended {
            self.fleet.leave(engine.name.id()).await;
        }
        self.all_known().await;
        for _ in ended {
            self.started.set(self.started.get() + 1);
            let engine = Engine::start(&format!("e{}", self.started.get())).await;
            self.fleet.announce(&engine, 1, EngineState::Ready).await;
            self.engines.borrow_mut().push(engine);
        }
        self.all_known().await;
    }

    /// Asks one of the two routers.
    async fn ask(&self, number: usize, path: &str, id: &str) -> CallerResponse {
        if number.is_multiple_of(2) {
            return self.fleet.ask(path, id).await;
        }
        let callers = self.second.borrow().callers;
        ask_as_caller(callers, path, id).await
    }

    /// Sends copies of one request to both routers in turn. Returns how many engines had ended in all.
    async fn send_copies(&self, path: &str, copies: usize) -> usize {
        let mut heard = false;
        for number in 0..copies {
            if self.ended_in_all() >= ENGINES_LOST && !std::mem::replace(&mut heard, true) {
                tokio::time::sleep(CONTACT_TIME).await;
            }
            self.ask(number, path, &format!("{path}-{number}")).await;
            self.restart_engines().await;
        }
        self.ended_in_all()
    }

    fn ended_in_all(&self) -> usize {
        self.started.get() - self.fleet.engines.len()
    }
}

#[test]
fn a_request_that_has_ended_three_engines_reaches_no_more() {
    for point in CrashPoint::ALL {
        run_local(async move {
            let fleet = RestartingFleet::start().await;
            let path = format!("/plain-stream/{}", point.path_segment());
            let ended = fleet.send_copies(&path, COPIES).await;
            assert!(ended <= ENGINES_LOST + SENDS_AFTER, "{ended} engines ended, {point:?}");
            for number in 0..2 {
                let got = fleet.ask(number, &path, &format!("late-{number}")).await;
                assert_eq!(got.status, 503, "{point:?}");
                assert!(got.body.expect("whole").contains("\"not_run\""));
            }
            let got = fleet.fleet.ask("/plain-stream/other", "other").await;
            assert_eq!(got.body, Ok(all_events()), "others are served");
        });
    }
}

#[test]
fn what_may_repeat_ends_no_more_engines_than_what_may_not() {
    for path in ["/stream/crash-after-events", "/again/crash-before-head"] {
        run_local(async move {
            let fleet = RestartingFleet::start().await;
            let ended = fleet.send_copies(path, COPIES).await;
            assert!(ended <= ENGINES_LOST + SENDS_AFTER, "{ended} engines ended, {path}");
        });
    }
}

#[test]
fn a_router_that_starts_anew_lets_it_through_no_more() {
    run_local(async {
        let fleet = RestartingFleet::start().await;
        let path = format!("/plain-stream/{}", CrashPoint::BeforeFirstEvent.path_segment());
        let before = fleet.send_copies(&path, COPIES).await;
        let newcomer = fleet.fleet.add_router().await;
        let running = fleet.engines.borrow().len();
        newcomer.ready(running).await;
        fleet.second.replace(newcomer);
        let got = fleet.ask(1, &path, "at-newcomer").await;
        assert_eq!(got.status, 503);
        assert_eq!(fleet.ended_in_all(), before);
    });
}
