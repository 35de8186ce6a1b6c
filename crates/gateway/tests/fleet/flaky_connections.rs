//! Requests whose connections are interrupted now and then at engines that keep running and
//! announcing themselves.
//!
//! Guards against two faults. First: such a request, interrupted in three of ten runs, was served
//! in 36 of 100 tries, and 91 of 154 were refused as crashing engines. A router refused it for ten
//! seconds after three crash sightings of its own, even if the leader had lifted the quarantine,
//! and while it was refused no run could succeed and clear it. Without the router's own record, 78
//! and 91 of 100 were served.
//!
//! Second: 12 of 150 copies were refused as crashing engines, all by one router within two seconds,
//! while the other routers served theirs. The first copy at this router was interrupted at three
//! engines (three of a hundred are), and a lost connection counted as a crash of the engine until
//! the leader's state took precedence over the router's own record. The engines announced
//! themselves 0.4 s after the interruptions, and the last refusal came 2.0 s after these
//! announcements.

use crate::support::*;
use stackpost_gateway_core::{CRASHES_TO_QUARANTINE, EngineState};
use std::rc::Rc;
use std::time::Duration;

/// Engines in addition to the two of every fleet: a request is quarantined after crashing the
/// third.
const ADDITIONAL_ENGINES: usize = 2;
const COPIES: usize = 100;
/// Interval between two copies: 13 per second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(75);
/// Interval between two announcements of an engine.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const PATH: &str = "/again/popular";

struct Engines {
    all: Vec<Rc<Engine>>,
}

impl Engines {
    async fn start(fleet: &Fleet) -> Self {
        let mut all = fleet.engines.to_vec();
        for number in 0..ADDITIONAL_ENGINES {
            let engine = Engine::start(&format!("e{}", 3 + number)).await;
            fleet.announce(&engine, 1, EngineState::Ready).await;
            all.push(engine);
        }
        wait_until(|| fleet.router.ready_engine_count() == all.len()).await;
        Self { all }
    }

    /// Announces all engines periodically until the test ends.
    async fn announce(&self, fleet: &Fleet) {
        for sequence in 2.. {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            for engine in &self.all {
                fleet.announce(engine, sequence, EngineState::Ready).await;
            }
        }
    }
}

/// Sends copies to two routers in turn. Returns how many were refused as crashing engines, and how
/// many were served.
async fn send_copies(fleet: &Fleet, second: &RouterMachine) -> (usize, usize) {
    let (mut refused, mut served) = (0, 0);
    for copy in 0..COPIES {
        let id = format!("popular-{copy}");
        let response = match copy % 2 {
            0 => fleet.ask(PATH, &id).await,
            _ => second.ask(PATH, &id).await,
        };
        served += usize::from(response.status == 200);
        refused += usize::from(response.body.is_ok_and(|body| body.contains("ends_engines")));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    (refused, served)
}

#[test]
fn flaky_request_is_served_while_engines_keep_running() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engines = Engines::start(&fleet).await;
        let second = fleet.add_router().await;
        second.ready(engines.all.len()).await;
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::DropSomeConnections));
        let copies = send_copies(&fleet, &second);
        let (refused, served) = tokio::select! {
            sent = copies => sent,
            () = engines.announce(&fleet) => unreachable!("announcements never stop"),
        };
        println!("{refused} refused, {served} served");
        // Each copy has two attempts: nine of a hundred are interrupted at both.
        assert!(refused <= COPIES * 5 / 100, "{refused} refused, {served} served");
    });
}

#[test]
fn copy_interrupted_at_three_live_engines_refuses_no_other() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engines = Engines::start(&fleet).await;
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::DropConnection));
        let engines_with_runs =
            || engines.all.iter().filter(|one| !one.runs.borrow().is_empty()).count();
        for copy in 0.. {
            if engines_with_runs() >= CRASHES_TO_QUARANTINE {
                break;
            }
            let response = fleet.ask(PATH, &format!("unlucky-{copy}")).await;
            assert!(!response.body.expect("a complete body").contains("ends_engines"));
        }
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::Respond));
        let response = fleet.ask(PATH, "next").await;
        assert_eq!(response.status, 200, "{response:?}");
    });
}
