//! The choice of the routers that relay connections to engines.

use stackpost_gateway_core::{RelayRouters, RouterEndpoint};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const NOW: Timestamp = Timestamp(5_000);
const ROUTERS_PER_ZONE: u8 = 10;

fn endpoint(zone: u8, number: u8) -> RouterEndpoint {
    let address = ([10, zone, 0, number], 80).into();
    RouterEndpoint { zone: format!("zone-{zone}").as_str().into(), address }
}

fn is_in_zone(router: &SocketAddr, zone: u8) -> bool {
    router.ip().to_string().starts_with(&format!("10.{zone}."))
}

fn all() -> BTreeSet<RouterEndpoint> {
    let zones = [1, 2, 3];
    zones
        .into_iter()
        .flat_map(|zone| (0..ROUTERS_PER_ZONE).map(move |number| endpoint(zone, number)))
        .collect()
}

/// The view of router `number` of zone 1.
fn view(number: u8) -> RelayRouters {
    let mut relays = RelayRouters::default();
    relays.set_endpoints(&endpoint(1, number), &all());
    relays
}

fn engine(number: usize) -> BackEndName {
    BackEndName::new(format!("e{number}"))
}

#[test]
fn routers_of_the_own_zone_are_asked_first_and_never_the_own_one() {
    for number in 0..50 {
        let candidates = view(0).candidates(NOW, &engine(number));
        assert_eq!(candidates.len(), 4);
        assert!(candidates[..2].iter().all(|router| is_in_zone(router, 1)));
        assert!(candidates[2..].iter().all(|router| !is_in_zone(router, 1)));
        assert!(!candidates.contains(&endpoint(1, 0).address));
    }
}

#[test]
fn isolated_zone_finds_another_zone() {
    let mut relays = view(0);
    // The routers of the own zone refuse.
    for number in 1..ROUTERS_PER_ZONE {
        relays.on_refused(NOW, endpoint(1, number).address);
    }
    let candidates = relays.candidates(NOW, &engine(1));
    assert!(!is_in_zone(&candidates[0], 1), "{candidates:?}");
}

#[test]
fn router_that_refused_is_asked_again_later() {
    let mut relays = view(0);
    let first = relays.candidates(NOW, &engine(1))[0];
    relays.on_refused(NOW, first);
    assert!(!relays.candidates(NOW, &engine(1)).contains(&first));
    assert_eq!(relays.candidates(NOW + Millis(250), &engine(1))[0], first);
    relays.on_refused(NOW + Millis(250), first);
    assert!(!relays.candidates(NOW + Millis(500), &engine(1)).contains(&first));
    assert_eq!(relays.candidates(NOW + Millis(750), &engine(1))[0], first);
}

#[test]
fn nobody_is_asked_while_every_router_refuses() {
    let mut relays = RelayRouters::default();
    let other = endpoint(2, 1);
    relays.set_endpoints(&endpoint(1, 0), &BTreeSet::from([endpoint(1, 0), other.clone()]));
    for _ in 0..10 {
        relays.on_refused(NOW, other.address);
    }
    assert!(relays.candidates(NOW + Millis(1_999), &engine(1)).is_empty());
    assert_eq!(relays.candidates(NOW + Millis(2_000), &engine(1)), [other.address]);
    relays.on_relayed(other.address);
    relays.on_refused(NOW, other.address);
    assert_eq!(relays.candidates(NOW + Millis(250), &engine(1)), [other.address]);
}

#[test]
fn isolated_routers_spread_over_the_relays() {
    let mut asked = std::collections::BTreeMap::new();
    for number in 0..ROUTERS_PER_ZONE {
        for engine_number in 0..30 {
            let first = view(number).candidates(NOW, &engine(engine_number))[0];
            *asked.entry(first).or_insert(0_u32) += 1;
        }
    }
    assert_eq!(asked.len(), usize::from(ROUTERS_PER_ZONE), "each router of the zone is asked");
    // 300 connections over ten routers.
    assert!(asked.values().all(|count| (10..=60).contains(count)), "{asked:?}");
}
