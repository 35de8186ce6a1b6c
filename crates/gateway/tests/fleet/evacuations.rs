//! Zones that an operator takes out of service.

use crate::support::*;
use hyper::StatusCode;
use stackpost_coordinator::{PutReply, UnknownZone};
use stackpost_gateway_core::{EngineNotice, EngineState, EvacuationOrder};
use stackpost_types::ZoneName;
use std::collections::BTreeSet;

const ZONE: &str = "hall";

async fn evacuate(fleet: &Fleet, order: EvacuationOrder) {
    let reply = fleet.control.evacuate(&BTreeSet::new(), order).await;
    assert_eq!(reply, Ok(PutReply::Accepted));
}

#[test]
fn evacuated_engines_get_no_requests_until_the_end() {
    run_local(async {
        let fleet = Fleet::start().await;
        evacuate(&fleet, EvacuationOrder::Start(ZONE.into())).await;
        wait_until(|| fleet.router.ready_engine_count() == 0).await;
        assert!(!fleet.router.is_ready());
        let refused = fleet.ask("/once/1", "a").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(fleet.runs(), 0);
        evacuate(&fleet, EvacuationOrder::End(ZONE.into())).await;
        wait_until(|| fleet.router.ready_engine_count() == fleet.engines.len()).await;
        assert_eq!(fleet.ask("/once/1", "b").await.status, StatusCode::OK);
    });
}

#[test]
fn engines_of_other_zones_serve_meanwhile() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = Engine::start("e3").await;
        let notice = notice_of(&engine, 1, EngineState::Ready);
        let elsewhere = EngineNotice { zone: "yard".into(), ..notice };
        fleet.control.announce(elsewhere).await.expect("accepted");
        wait_until(|| fleet.router.ready_engine_count() == 3).await;
        evacuate(&fleet, EvacuationOrder::Start(ZONE.into())).await;
        wait_until(|| fleet.router.ready_engine_count() == 1).await;
        for number in 0..10 {
            let answer = fleet.ask("/once/1", &format!("a{number}")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!((fleet.runs(), engine.runs.borrow().len()), (0, 10));
    });
}

#[test]
fn new_router_knows_evacuations_before_it_is_ready() {
    run_local(async {
        let fleet = Fleet::start().await;
        let engine = Engine::start("e3").await;
        let notice = notice_of(&engine, 1, EngineState::Ready);
        let elsewhere = EngineNotice { zone: "yard".into(), ..notice };
        fleet.control.announce(elsewhere).await.expect("accepted");
        evacuate(&fleet, EvacuationOrder::Start(ZONE.into())).await;
        let late = fleet.add_router().await;
        wait_until(|| late.router.is_ready()).await;
        assert_eq!(late.router.ready_engine_count(), 1);
    });
}

#[test]
fn order_for_an_unknown_zone_is_refused() {
    run_local(async {
        let fleet = Fleet::start().await;
        let zone = ZoneName::new("nowhere");
        let order = EvacuationOrder::Start(zone.clone());
        assert_eq!(fleet.control.evacuate(&BTreeSet::new(), order).await, Err(UnknownZone(zone)));
        assert!(fleet.control.evacuated_zones().is_empty());
    });
}
