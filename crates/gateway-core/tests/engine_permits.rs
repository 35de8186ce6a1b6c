//! Permits for engines that state a rate, over many routers.
//!
//! The fault: the rate that an engine states for all routers together was not read, so two
//! overloaded engines that stated 1.2 and 1.4 requests per second got four. If each router applied
//! the rate by itself, eight routers would still send eight times as much: permits must be issued
//! in one place.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SERVICE: &str = "plain";
/// Longest time, in milliseconds, until a permit for an engine is issued, however low its rate.
const LONGEST_WAIT_MS: u64 = 10_001;

fn address(router: usize) -> SocketAddr {
    ([10, 0, 1, router as u8], 80).into()
}

fn record(number: usize) -> EngineRecord {
    let mut directory = EngineDirectory::default();
    let name = BackEndName::new(format!("e{number}"));
    directory.merge(
        Timestamp(1),
        EngineNotice {
            engine: name.clone(),
            sequence: 1,
            service: SERVICE.into(),
            address: ([10, 0, 0, number as u8], 80).into(),
            zone: "hall".into(),
            slots: 4,
            state: EngineState::Ready,
            age: Millis(0),
            known_for: Millis(0),
            software: Default::default(),
        },
    );
    directory.get(&name).expect("the engine is known").clone()
}

fn limited(milli_rps: u32) -> RateStatement {
    RateStatement::Limited(RequestRate::from_milli_rps(milli_rps))
}

fn others(routers: usize, own: usize) -> Vec<SocketAddr> {
    (0..routers).filter(|one| *one != own).map(address).collect()
}

/// The views of `routers` routers that all know one another.
fn views(routers: usize) -> Vec<EnginePermits> {
    let view = |own: usize| {
        let mut permits = EnginePermits::new(address(own));
        permits.set_others(Timestamp(0), &others(routers, own));
        permits
    };
    (0..routers).map(view).collect()
}

/// Takes a permit if one is available.
fn try_take(permits: &mut EnginePermits, now: Timestamp, engine: &EngineRecord) -> bool {
    let has_room = permits.has_room(now, engine, PermitScope::Rate);
    if has_room {
        permits.take(now, engine, PermitScope::Rate);
    }
    has_room
}

#[test]
fn only_the_owner_of_an_engine_issues_permits() {
    let engine = record(1);
    let mut views = views(8);
    for view in &mut views {
        view.learn(Timestamp(1_000), &engine.notice.engine, Timestamp(1_000), limited(1_500));
    }
    let mut sent_by = BTreeMap::new();
    for step in 0..10_000 {
        let now = Timestamp(1_000 + step);
        for (number, view) in views.iter_mut().enumerate() {
            if try_take(view, now, &engine) {
                *sent_by.entry(number).or_insert(0) += 1;
            }
        }
    }
    assert_eq!(sent_by.len(), 1, "{sent_by:?}");
    let sent = sent_by.into_values().sum::<u32>();
    assert!((14..=15).contains(&sent), "{sent} sent in 10 s at 1.5 per second");
}

#[test]
fn a_router_that_does_not_know_the_others_owns_no_engine() {
    let engine = record(1);
    let mut permits = EnginePermits::new(address(0));
    permits.learn(Timestamp(1_000), &engine.notice.engine, Timestamp(1_000), limited(40_000));
    assert!(!permits.has_room(Timestamp(9_000), &engine, PermitScope::Rate));
    permits.set_others(Timestamp(9_000), &[]);
    assert!(
        !permits.has_room(Timestamp(9_000), &engine, PermitScope::Rate),
        "its bucket starts empty"
    );
    assert!(permits.has_room(Timestamp(9_100), &engine, PermitScope::Rate));
}

#[test]
fn an_owner_starts_with_an_empty_bucket_also_when_it_returns() {
    let engine = record(1);
    let mut permits = EnginePermits::new(address(0));
    permits.set_others(Timestamp(0), &[]);
    permits.learn(Timestamp(0), &engine.notice.engine, Timestamp(0), limited(10_000));
    assert!(
        permits.has_room(Timestamp(5_000), &engine, PermitScope::Rate),
        "permits have accumulated"
    );
    let is_owner =
        |permits: &mut EnginePermits| permits.owner(&engine.notice.engine) == Some(address(0));
    let other = (1..20).find(|other| {
        permits.set_others(Timestamp(5_000), &[address(*other)]);
        !is_owner(&mut permits)
    });
    assert!(other.is_some(), "one of the routers must rank above this one");
    permits.set_others(Timestamp(5_000), &[]);
    assert!(!permits.has_room(Timestamp(5_000), &engine, PermitScope::Rate));
    assert!(permits.has_room(Timestamp(5_101), &engine, PermitScope::Rate));
}

#[test]
fn the_response_to_the_request_sent_last_is_in_force() {
    let engine = record(1);
    let name = &engine.notice.engine;
    let mut permits = views(1).remove(0);
    let now = Timestamp(9_000);
    assert!(permits.learn(now, name, Timestamp(5_000), limited(2_000)).is_some());
    let late = permits.learn(now, name, Timestamp(4_000), RateStatement::Unlimited);
    assert_eq!(late, None, "a response to an older request is ignored");
    let unreadable = permits.learn(now, name, Timestamp(6_000), RateStatement::Unknown);
    assert_eq!(unreadable, None);
    assert_eq!(permits.rates().rate(name), Some(RequestRate::from_milli_rps(2_000)));
    assert!(permits.learn(now, name, Timestamp(6_000), RateStatement::Unlimited).is_some());
    assert!(permits.has_room(now, &engine, PermitScope::Rate), "the limit ends at once");
    let older = permits.learn(now, name, Timestamp(5_500), limited(2_000));
    assert_eq!(older, None, "a statement older than the end of the limit is ignored");
}

#[test]
fn peer_updates_are_ordered_by_their_age() {
    let engine = record(1);
    let name = &engine.notice.engine;
    let mut sender = views(1).remove(0);
    let mut receiver = views(1).remove(0);
    sender.learn(Timestamp(5_000), name, Timestamp(5_000), limited(2_000));
    let update = sender.rates_mut().take_updates(Timestamp(5_200)).remove(0);
    assert_eq!(update.age, Millis(200));
    assert!(
        receiver.learn_from_peer(Timestamp(90_000), &update).is_some(),
        "the age is independent of the sender's clock"
    );
    assert_eq!(receiver.learn_from_peer(Timestamp(90_001), &update), None, "the same update again");
    let newer =
        receiver.learn(Timestamp(90_300), name, Timestamp(90_250), RateStatement::Unlimited);
    assert!(newer.is_some());
    assert_eq!(
        receiver.learn_from_peer(Timestamp(90_400), &update),
        None,
        "the update is older than the known statement"
    );
}

#[test]
fn a_change_is_sent_twice_and_a_stale_statement_is_compared() {
    let engine = record(1);
    let mut permits = views(2).remove(0);
    let start = Timestamp(1_000);
    permits.learn(start, &engine.notice.engine, start, limited(2_000));
    let sent = (0..5).filter(|_| !permits.rates_mut().take_updates(start).is_empty());
    assert_eq!(sent.count(), 2);
    assert!(permits.rates_mut().take_stale(Timestamp(10_999)).is_empty());
    assert_eq!(permits.rates_mut().take_stale(Timestamp(11_000)).len(), 1);
    assert!(permits.rates_mut().take_stale(Timestamp(11_001)).is_empty());
}

#[test]
fn an_engine_with_a_rate_of_zero_still_gets_some_requests() {
    let engine = record(1);
    for (milli_rps, least, most) in [(0, 14, 15), (100, 5, 6), (40_000, 2_390, 2_412)] {
        let mut permits = views(1).remove(0);
        let statement = limited(milli_rps);
        permits.learn(Timestamp(0), &engine.notice.engine, Timestamp(0), statement);
        let sent = (0..60_000).filter(|now| try_take(&mut permits, Timestamp(*now), &engine));
        let sent = sent.count();
        assert!((least..=most).contains(&sent), "{sent} sent in a minute at {milli_rps} milli_rps");
    }
}

#[test]
fn slots_of_an_engine_with_a_rate_belong_to_its_owner() {
    let engine = record(1);
    let name = engine.notice.engine.clone();
    let mut permits = EnginePermits::new(address(0));
    permits.set_others(Timestamp(0), &[]);
    permits.learn(Timestamp(0), &name, Timestamp(0), limited(1_000_000));
    for taken in 0..engine.notice.slots {
        let now = Timestamp(1_000 + u64::from(taken) * 10);
        assert!(permits.has_room(now, &engine, PermitScope::RateAndSlot));
        permits.take(now, &engine, PermitScope::RateAndSlot);
    }
    let now = Timestamp(2_000);
    assert!(!permits.has_room(now, &engine, PermitScope::RateAndSlot), "all slots are in use");
    assert!(permits.has_room(now, &engine, PermitScope::Rate));
    permits.slots().release_slot(&name);
    assert!(permits.has_room(now, &engine, PermitScope::RateAndSlot));
}

#[test]
fn the_time_until_the_first_permit_is_returned() {
    let engines = [record(1), record(2)];
    let mut permits = views(1).remove(0);
    let now = Timestamp(1_000);
    let availability = |permits: &mut EnginePermits, now| permits.availability(now, engines.iter());
    permits.learn(now, &engines[0].notice.engine, now, limited(500));
    assert_eq!(
        availability(&mut permits, now),
        PermitAvailability::Unlimited,
        "the other engine states no rate"
    );
    permits.learn(now, &engines[1].notice.engine, now, limited(1_000));
    let first = engines[1].notice.engine.clone();
    let spent = PermitAvailability::Exhausted { soonest: Millis(1_001), engine: first };
    assert_eq!(availability(&mut permits, now), spent);
    assert_eq!(availability(&mut permits, Timestamp(2_001)), PermitAvailability::Available);
}

#[test]
fn an_owner_without_permits_is_not_asked_until_it_has_one() {
    let engines: Vec<EngineRecord> = (1..20).map(record).collect();
    let mut permits = views(6).remove(0);
    let now = Timestamp(1_000);
    for engine in &engines {
        permits.learn(now, &engine.notice.engine, now, limited(1_000));
    }
    let asked = permits.lenders(now, 7, PermitScope::Rate, engines.iter());
    assert!(!asked.is_empty() && !asked.contains(&address(0)));
    permits.on_spent(now, asked[0], &SERVICE.into(), Millis(300));
    let lenders = |permits: &mut EnginePermits, now| {
        permits.lenders(Timestamp(now), 7, PermitScope::Rate, engines.iter())
    };
    assert!(!lenders(&mut permits, 1_299).contains(&asked[0]));
    assert!(lenders(&mut permits, 1_300).contains(&asked[0]));
}

#[test]
fn requests_start_with_different_lenders_and_skip_absent_ones() {
    let engine = record(1);
    let mut permits = views(6).remove(0);
    let now = Timestamp(1_000);
    let lenders = |permits: &mut EnginePermits, request_hash: u64| {
        permits.lenders(now, request_hash, PermitScope::RateAndSlot, std::iter::once(&engine))
    };
    let first_lenders: BTreeSet<SocketAddr> =
        (0..64).map(|request_hash| lenders(&mut permits, request_hash)[0]).collect();
    assert_eq!(first_lenders.len(), 5, "each of the others comes first for some request");
    permits.slots().on_no_response(now, address(3));
    assert!((0..64).all(|request_hash| !lenders(&mut permits, request_hash).contains(&address(3))));
}

/// Guards against routers that had just started and lent slots of an engine whose statement they
/// had not received.
#[test]
fn only_the_owners_permit_is_valid_for_an_engine_with_a_rate() {
    let engine = record(1);
    let name = &engine.notice.engine;
    let mut permits = views(6).remove(0);
    let accepted_lenders = |permits: &mut EnginePermits| {
        (1..6).filter(|lender| permits.accepts_permit_from(address(*lender), name)).count()
    };
    assert_eq!(accepted_lenders(&mut permits), 5, "the engine states no rate");
    permits.learn(Timestamp(0), name, Timestamp(0), limited(1_000));
    let owner = permits.owner(name).expect("the routers are known");
    assert_eq!(accepted_lenders(&mut permits), usize::from(owner != address(0)));
    assert!(permits.accepts_permit_from(owner, name));
}

/// An event in a fleet of routers.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// Time passes.
    TimePasses(u64),
    /// A router needs a permit and asks the owner for it.
    Request(usize),
    /// A router stops, or starts again without its previous state.
    Restart(usize),
    /// One router learns late that another one has stopped or started.
    Learn(usize),
}

fn fleet_event(routers: usize) -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        4 => (1_u64..300).prop_map(FleetEvent::TimePasses),
        8 => (0..routers).prop_map(FleetEvent::Request),
        1 => (0..routers).prop_map(FleetEvent::Restart),
        1 => (0..routers).prop_map(FleetEvent::Learn),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Routers stop, restart and learn of it late; permits are requested from the router that each
    /// router believes to be the owner. In no window does the engine get more than one and a half
    /// times its rate plus five requests, as long as routers disagree for at most a second. Once
    /// they agree, a permit is issued in time.
    #[test]
    fn the_fleet_keeps_the_stated_rate(
        milli_rps in 100_u32..20_000,
        events in prop::collection::vec(fleet_event(6), 1..1_500),
    ) {
        const ROUTERS: usize = 6;
        let engine = record(1);
        let name = &engine.notice.engine;
        let statement = limited(milli_rps);
        let mut now = 1_000;
        let mut views = views(ROUTERS);
        let mut stopped = [false; ROUTERS];
        let mut changed_at = [None; ROUTERS];
        views.iter_mut().for_each(|view| {
            view.learn(Timestamp(now), name, Timestamp(now), statement);
        });
        let mut sent: Vec<u64> = Vec::new();
        for fleet_event in events {
            match fleet_event {
                FleetEvent::TimePasses(passed) => now += passed,
                FleetEvent::Restart(router) => {
                    stopped[router] = !stopped[router];
                    changed_at.iter_mut().for_each(|at| *at = at.or(Some(now)));
                    if !stopped[router] {
                        views[router] = EnginePermits::new(address(router));
                        views[router].learn(Timestamp(now), name, Timestamp(now), statement);
                    }
                }
                FleetEvent::Learn(router) => changed_at[router] = Some(0),
                FleetEvent::Request(router) if !stopped[router] => {
                    let owner = views[router].owner(name);
                    let owner = (0..ROUTERS).find(|one| owner == Some(address(*one)));
                    if let Some(owner) = owner.filter(|owner| !stopped[*owner])
                        && try_take(&mut views[owner], Timestamp(now), &engine)
                    {
                        sent.push(now);
                    }
                }
                FleetEvent::Request(_) => {}
            }
            for router in 0..ROUTERS {
                if changed_at[router].is_some_and(|at| now >= at + 1_000) {
                    changed_at[router] = None;
                    let running = (0..ROUTERS).filter(|one| *one != router && !stopped[*one]);
                    let running: Vec<SocketAddr> = running.map(address).collect();
                    views[router].set_others(Timestamp(now), &running);
                }
            }
        }
        let allowed = 6 * u64::from(milli_rps) / 1_000 + 5;
        for (index, begin) in sent.iter().enumerate() {
            let within = sent[index..].iter().take_while(|at| **at < begin + 4_000).count() as u64;
            prop_assert!(within <= allowed, "{} sent in a window, {} allowed", within, allowed);
        }
        let running: Vec<usize> = (0..ROUTERS).filter(|one| !stopped[*one]).collect();
        for router in &running {
            let others = running.iter().filter(|one| *one != router).copied();
            let others: Vec<SocketAddr> = others.map(address).collect();
            views[*router].set_others(Timestamp(now), &others);
        }
        let owners: BTreeSet<Option<SocketAddr>> =
            running.iter().map(|router| views[*router].owner(name)).collect();
        prop_assert!(owners.len() <= 1, "the routers agree on the owner");
        if let Some(owner) = running.iter().find(|one| owners.contains(&Some(address(**one)))) {
            let later = Timestamp(now + LONGEST_WAIT_MS);
            prop_assert!(try_take(&mut views[*owner], later, &engine), "no permit is issued");
        }
        prop_assert!(running.is_empty() || owners.iter().all(Option::is_some));
    }
}
