//! Which routers a router takes for there, while control processes come and go.

use stackpost_gateway_core::{RouterEndpoint, RouterLists, ZoneRouters};
use stackpost_types::{Timestamp, ZoneName};
use std::net::SocketAddr;

fn address(router: u8) -> SocketAddr {
    ([10, 0, 1, router], 80).into()
}

fn site(zone: &str, router: u8) -> RouterEndpoint {
    RouterEndpoint { zone: ZoneName::new(zone), address: address(router) }
}

fn others(lists: &mut RouterLists<u8>, now: u64) -> Vec<u8> {
    let others = lists.others(Timestamp(now), address(1)).unwrap_or_default();
    others.iter().map(|other| (1..9).find(|one| address(*one) == *other).expect("known")).collect()
}

fn told(lists: &mut RouterLists<u8>, link: u8, routers: &[u8]) {
    lists.on_router_list(link, routers.iter().map(|router| site("east", *router)).collect());
}

#[test]
fn a_router_is_there_while_any_control_process_hears_it() {
    let mut lists = RouterLists::default();
    assert_eq!(lists.others(Timestamp(0), address(1)), None, "nobody has told");
    told(&mut lists, 1, &[1, 2, 3]);
    told(&mut lists, 2, &[1, 3, 4]);
    assert_eq!(others(&mut lists, 0), [2, 3, 4]);
    told(&mut lists, 1, &[1, 3]);
    assert_eq!(others(&mut lists, 0), [3, 4]);
}

/// Without the time for lost lists, a router that meets the first of the control processes after
/// all of them have ended would own every engine, as would each of the others.
#[test]
fn a_control_process_that_has_just_started_does_not_make_the_other_routers_vanish() {
    let mut lists = RouterLists::default();
    told(&mut lists, 1, &[1, 2, 3]);
    lists.on_down(Timestamp(1_000), 1);
    assert_eq!(others(&mut lists, 60_000), [2, 3], "out of sight of all the last word stands");
    lists.on_down(Timestamp(60_000), 1);
    told(&mut lists, 2, &[1]);
    assert_eq!(others(&mut lists, 61_999), [2, 3]);
    told(&mut lists, 2, &[1, 2]);
    assert_eq!(others(&mut lists, 62_000), [2], "the third one is gone");
}

#[test]
fn sites_survive_being_grouped_by_zone() {
    let endpoints = [site("east", 1), site("east", 3), site("west", 2)];
    let grouped = ZoneRouters::group(&endpoints);
    assert_eq!(grouped.len(), 2);
    let single: Vec<RouterEndpoint> = grouped.iter().flat_map(ZoneRouters::endpoints).collect();
    assert_eq!(single, endpoints);
}
