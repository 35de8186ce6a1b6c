//! Departures that engines announce, and their acknowledgement.

use crate::support::*;
use stackpost_coordinator::{AnnouncementError, NotCommitted};
use stackpost_gateway_core::{EngineNotice, EngineState};
use stackpost_types::BackEndName;

/// A voter that never starts.
const ABSENT_VOTER: &str = "127.0.0.9";

#[test]
fn uncommitted_departure_is_unacknowledged_but_effective() {
    run_local(async {
        let machine = ControlMachine::start(&[ABSENT_VOTER]).await;
        let router = RouterMachine::start(machine.address).await.router;
        let engine = Engine::start("e1").await;
        let ready = notice_of(&engine, 1, EngineState::Ready);
        assert_eq!(machine.control.announce(ready).await, Ok(()));
        wait_until(|| router.ready_engine_count() == 1).await;
        let not_committed = Err(AnnouncementError::NotCommitted(NotCommitted));
        let draining = notice_of(&engine, 2, EngineState::Draining);
        assert_eq!(machine.control.announce(draining).await, not_committed);
        wait_until(|| router.ready_engine_count() == 0).await;
        let ready = notice_of(&engine, 3, EngineState::Ready);
        assert_eq!(machine.control.announce(ready).await, Ok(()));
        wait_until(|| router.ready_engine_count() == 1).await;
        assert_eq!(machine.control.engine_left("e1", None).await, not_committed);
        wait_until(|| router.ready_engine_count() == 0).await;
    });
}

#[test]
fn new_router_knows_departures_before_it_is_ready() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = Engine::start("e3").await;
        fleet.announce(&engine, 5, EngineState::Ready).await;
        wait_until(|| fleet.router.ready_engine_count() == 3).await;
        fleet.announce(&engine, 6, EngineState::Draining).await;
        fleet.leave("e2").await;
        let late = fleet.add_router().await;
        wait_until(|| late.router.is_ready()).await;
        assert_eq!(late.router.ready_engine_count(), 1);
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
    });
}

/// More engines than a connection's queue holds, announced in one step of the runtime.
const ENGINES_BEYOND_QUEUE: usize = 1_300;

#[test]
fn updates_lost_by_a_full_queue_are_sent_again() {
    run_local(async {
        let fleet = Fleet::start().await;
        let template = notice_of(&fleet.engines[0], 1, EngineState::Ready);
        for number in 0..ENGINES_BEYOND_QUEUE {
            let (tens, ones) = ((number / 200) as u8, (number % 200) as u8);
            let notice = EngineNotice {
                engine: BackEndName::new(format!("many-{number}")),
                address: ([127, 200, tens, ones], 9).into(),
                ..template.clone()
            };
            fleet.control.announce(notice).await.expect("an engine");
        }
        wait_until(|| {
            fleet.router.ready_engine_count() == ENGINES_BEYOND_QUEUE + fleet.engines.len()
        })
        .await;
    });
}
