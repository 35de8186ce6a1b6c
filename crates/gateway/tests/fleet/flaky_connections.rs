//! A popular request whose connection breaks now and then, at engines that live and go on announcing themselves.
//!
//! The failure: such a request, broken off in three of ten runs, was served in 36 of 100 tries; 91 of 154 were refused
//! as ending engines. The cause: three sightings of one router refused it for ten seconds whatever the leader had taken
//! back meanwhile, and while it was refused no run could end well and clear it. The evidence: with the router's own
//! memory at zero 78 and 91 of 100 were served.
//!
//! A second one, with real processes: 12 of 150 copies refused as ending engines, all by one router within two seconds, while the
//! others served. The cause: the first copy that came to this router broke off at three engines, three of a hundred do, and a
//! broken connection counted as the end of its engine until the leader's word held. The evidence: the three lines `the engine
//! broke off` of this one copy, the engines' announcements 0.4 s later, and the last refusal 2.0 s after them.

use crate::support::*;
use stackpost_gateway_core::{CRASHES_TO_QUARANTINE, EngineState};
use std::rc::Rc;
use std::time::Duration;

/// Engines besides the two of every fleet: a request is held to end engines after the third.
const MORE_ENGINES: usize = 2;
const COPIES: usize = 100;
/// Time between two copies: 13 a second.
const PACE: Duration = Duration::from_millis(75);
/// Time between two announcements of an engine.
const HEARTBEAT: Duration = Duration::from_millis(300);
const PATH: &str = "/again/popular";

struct Engines {
    all: Vec<Rc<Engine>>,
}

impl Engines {
    async fn start(fleet: &Fleet) -> Self {
        let mut all = fleet.engines.to_vec();
        for number in 0..MORE_ENGINES {
            let engine = Engine::start(&format!("e{}", 3 + number)).await;
            fleet.announce(&engine, 1, EngineState::Ready).await;
            all.push(engine);
        }
        wait_until(|| fleet.router.ready_engine_count() == all.len()).await;
        Self { all }
    }

    /// All of them announce themselves until the test ends.
    async fn announce(&self, fleet: &Fleet) {
        for sequence in 2.. {
            tokio::time::sleep(HEARTBEAT).await;
            for engine in &self.all {
                fleet.announce(engine, sequence, EngineState::Ready).await;
            }
        }
    }
}

/// Sends copies to two routers in turn. Returns how many were refused as ending engines, and how many were served.
async fn send_copies(fleet: &Fleet, second: &RouterMachine) -> (usize, usize) {
    let (mut refused, mut served) = (0, 0);
    for copy in 0..COPIES {
        let id = format!("popular-{copy}");
        let got = match copy % 2 {
            0 => fleet.ask(PATH, &id).await,
            _ => second.ask(PATH, &id).await,
        };
        served += usize::from(got.status == 200);
        refused += usize::from(got.body.is_ok_and(|body| body.contains("ends_engines")));
        tokio::time::sleep(PACE).await;
    }
    (refused, served)
}

#[test]
fn a_request_that_breaks_at_engines_that_live_is_served() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engines = Engines::start(&fleet).await;
        let second = fleet.add_router().await;
        second.ready(engines.all.len()).await;
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::DropSomeConnections));
        let copies = send_copies(&fleet, &second);
        let (refused, served) = tokio::select! {
            sent = copies => sent,
            () = engines.announce(&fleet) => unreachable!("they announce themselves until the end"),
        };
        println!("{refused} refused, {served} served");
        // Two attempts each: nine of a hundred break at both.
        assert!(refused <= COPIES * 5 / 100, "{refused} refused, {served} served");
    });
}

#[test]
fn a_copy_that_breaks_at_three_engines_that_live_refuses_no_other() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engines = Engines::start(&fleet).await;
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::DropConnection));
        let have_run = || engines.all.iter().filter(|one| !one.runs.borrow().is_empty()).count();
        for copy in 0.. {
            if have_run() >= CRASHES_TO_QUARANTINE {
                break;
            }
            let got = fleet.ask(PATH, &format!("unlucky-{copy}")).await;
            assert!(!got.body.expect("whole").contains("ends_engines"));
        }
        engines.all.iter().for_each(|engine| engine.behaviour.set(Behaviour::Answer));
        let got = fleet.ask(PATH, "next").await;
        assert_eq!(got.status, 200, "{got:?}");
    });
}
