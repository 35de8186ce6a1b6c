//! Each slot of an engine belongs to one router, the same in every router's view.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::net::SocketAddr;

fn address(router: usize) -> SocketAddr {
    ([10, 0, 1, router as u8], 80).into()
}

fn engine(number: u8, slots: u32) -> EngineRecord {
    let mut directory = EngineDirectory::default();
    let name = BackEndName::new(format!("e{number}"));
    directory.merge(
        Timestamp(1),
        EngineNotice {
            engine: name.clone(),
            sequence: 1,
            service: "plain".into(),
            address: ([10, 0, 0, number], 80).into(),
            zone: "hall".into(),
            slots,
            state: EngineState::Ready,
            age: Millis(0),
            known_for: Millis(0),
            software: Default::default(),
        },
    );
    directory.get(&name).expect("the engine is known").clone()
}

/// The slot shares of each router, if all routers know one another.
fn views(routers: usize) -> Vec<SlotShares> {
    let all: Vec<SocketAddr> = (0..routers).map(address).collect();
    let view = |own: &SocketAddr| {
        let mut shares = SlotShares::new(*own);
        let others: Vec<SocketAddr> = all.iter().filter(|one| *one != own).copied().collect();
        shares.set_others(&others);
        shares
    };
    all.iter().map(view).collect()
}

proptest! {
    #[test]
    fn every_slot_belongs_to_one_router(routers in 1_usize..9, slots in 1_u32..40, number in 0_u8..20) {
        let engine = engine(number, slots);
        let now = Timestamp(1_000);
        let owned: u32 = views(routers).iter_mut().map(|view| view.free(now, &engine)).sum();
        prop_assert_eq!(owned, slots);
    }

    /// Guards against a router that stands still while it computes the share of very many slots:
    /// with work for each slot, this property runs for days.
    #[test]
    fn any_number_of_slots_is_shared_out(
        routers in 1_usize..9,
        slots in prop_oneof![Just(u32::MAX), Just(i32::MAX as u32), Just(1_000_000), 1_u32..],
        number in 0_u8..20,
    ) {
        let engine = engine(number, slots);
        let mut views = views(routers);
        let owned = |views: &mut [SlotShares], now| -> Vec<u64> {
            views.iter_mut().map(|view| u64::from(view.free(now, &engine))).collect()
        };
        let now = Timestamp(1_000);
        let shares = owned(&mut views, now);
        prop_assert_eq!(shares.iter().sum::<u64>(), u64::from(slots));
        let (least, most) = (shares.iter().min(), shares.iter().max());
        prop_assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1));
        reject(&mut views, now, &engine);
        let rooms = [10_001, 20_002, 86_400_000].map(|ms| owned(&mut views, now + Millis(ms)));
        for room in rooms {
            prop_assert_eq!(room.iter().sum::<u64>(), u64::from(slots), "the room has grown back");
        }
    }

    /// The slots of a stopped router move to the others, and no other slot moves.
    #[test]
    fn only_the_slots_of_an_absent_router_move(routers in 2_usize..9, number in 0_u8..20) {
        let engine = engine(number, 24);
        let now = Timestamp(1_000);
        let mut views = views(routers);
        let absent = views.remove(0).free(now, &engine);
        let before: Vec<u32> = views.iter_mut().map(|view| view.free(now, &engine)).collect();
        views.iter_mut().for_each(|view| view.on_no_response(now, address(0)));
        let after: Vec<u32> = views.iter_mut().map(|view| view.free(now, &engine)).collect();
        prop_assert!(before.iter().zip(&after).all(|(before, after)| before <= after));
        prop_assert_eq!(after.iter().sum::<u32>(), 24);
        prop_assert_eq!(before.iter().sum::<u32>() + absent, 24);
        let back = now + Millis(1_000);
        let restored: Vec<u32> = views.iter_mut().map(|view| view.free(back, &engine)).collect();
        prop_assert_eq!(restored, before, "its slots are its own again after a second");
    }
}

#[test]
fn a_slot_in_use_is_free_only_after_release() {
    let (engine, now) = (engine(1, 2), Timestamp(1_000));
    let mut shares = SlotShares::new(address(0));
    assert_eq!(shares.free(now, &engine), 2);
    shares.take(&engine.notice.engine);
    assert_eq!(shares.free(now, &engine), 1);
    shares.take(&engine.notice.engine);
    shares.take(&engine.notice.engine);
    assert_eq!(shares.free(now, &engine), 0, "more slots are in use than the router owns");
    shares.release_slot(&engine.notice.engine);
    shares.release_slot(&engine.notice.engine);
    assert_eq!(shares.free(now, &engine), 1);
}

#[test]
fn a_service_is_slot_limited_for_a_minute_after_a_backoff() {
    let mut shares = SlotShares::new(address(0));
    let service = ServiceName::new("plain");
    assert!(!shares.is_slot_limited(Timestamp(1_000), &service));
    shares.on_backoff(Timestamp(1_000), &service);
    assert!(shares.is_slot_limited(Timestamp(60_999), &service));
    assert!(!shares.is_slot_limited(Timestamp(61_000), &service));
    assert!(!shares.is_slot_limited(Timestamp(1_000), &ServiceName::new("other")));
}

/// Slots of `engine` that all routers together may use.
fn usable(views: &mut [SlotShares], now: Timestamp, engine: &EngineRecord) -> u32 {
    views.iter_mut().map(|view| view.free(now, engine)).sum()
}

fn reject(views: &mut [SlotShares], now: Timestamp, engine: &EngineRecord) {
    views.iter_mut().for_each(|view| view.on_brittle_rejection(now, engine));
}

#[test]
fn rejection_by_a_brittle_engine_pauses_it_and_halves_its_room() {
    let (mut views, engine) = (views(6), engine(1, 48));
    let now = Timestamp(20_000);
    reject(&mut views, now, &engine);
    assert_eq!(usable(&mut views, now + Millis(249), &engine), 0);
    let after_pause = usable(&mut views, now + Millis(250), &engine);
    assert!((24..=26).contains(&after_pause), "{after_pause}");
    // Rejections of requests that were on their way have the same cause.
    reject(&mut views, now + Millis(10), &engine);
    assert_eq!(usable(&mut views, now + Millis(250), &engine), after_pause);
}

#[test]
fn room_of_a_brittle_engine_shrinks_to_one_slot_and_grows_back() {
    let (mut views, engine) = (views(6), engine(1, 48));
    let mut now = Timestamp(20_000);
    for _ in 0..10 {
        reject(&mut views, now, &engine);
        now = now + Millis(500);
    }
    let shrunk = usable(&mut views, now, &engine);
    assert!((1..=6).contains(&shrunk), "{shrunk}");
    assert_eq!(usable(&mut views, now + Millis(10_000), &engine), 48);
}

#[test]
fn service_is_slot_limited_while_its_engines_state_that_they_are_brittle() {
    let mut shares = SlotShares::new(address(0));
    let (now, service) = (Timestamp(1_000), ServiceName::new("plain"));
    assert!(!shares.is_slot_limited(now, &service));
    shares.on_brittle(now, &service);
    assert!(shares.is_slot_limited(now, &service) && shares.is_brittle(now, &service));
    assert!(!shares.is_brittle(now + Millis(5_000), &service));
}
