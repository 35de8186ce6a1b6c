//! Which routers count as running, while control processes start and stop.

use stackpost_gateway_core::{RouterEndpoint, RouterLists, ZoneRouters};
use stackpost_types::{Timestamp, ZoneName};
use std::net::SocketAddr;

fn address(router: u8) -> SocketAddr {
    ([10, 0, 1, router], 80).into()
}

fn endpoint(zone: &str, router: u8) -> RouterEndpoint {
    RouterEndpoint { zone: ZoneName::new(zone), address: address(router) }
}

fn others(lists: &mut RouterLists<u8>, now: u64) -> Vec<u8> {
    let others = lists.others(Timestamp(now), address(1)).unwrap_or_default();
    others
        .iter()
        .map(|other| {
            (1..9)
                .find(|one| address(*one) == *other)
                .expect("the address is one of the test's routers")
        })
        .collect()
}

fn receive(lists: &mut RouterLists<u8>, link: u8, routers: &[u8]) {
    lists.on_router_list(link, routers.iter().map(|router| endpoint("east", *router)).collect());
}

#[test]
fn a_router_is_running_while_any_control_process_reports_it() {
    let mut lists = RouterLists::default();
    assert_eq!(lists.others(Timestamp(0), address(1)), None, "no list has been received");
    receive(&mut lists, 1, &[1, 2, 3]);
    receive(&mut lists, 2, &[1, 3, 4]);
    assert_eq!(others(&mut lists, 0), [2, 3, 4]);
    receive(&mut lists, 1, &[1, 3]);
    assert_eq!(others(&mut lists, 0), [3, 4]);
}

/// Guards against a router that connects to the first restarted control process, after all had
/// stopped, and takes itself for the only router: it would own every engine, as would each of the
/// others.
#[test]
fn a_new_control_process_does_not_remove_the_other_routers() {
    let mut lists = RouterLists::default();
    receive(&mut lists, 1, &[1, 2, 3]);
    lists.on_disconnect(Timestamp(1_000), 1);
    assert_eq!(
        others(&mut lists, 60_000),
        [2, 3],
        "the last list stays valid while no process is connected"
    );
    lists.on_disconnect(Timestamp(60_000), 1);
    receive(&mut lists, 2, &[1]);
    assert_eq!(others(&mut lists, 61_999), [2, 3]);
    receive(&mut lists, 2, &[1, 2]);
    assert_eq!(others(&mut lists, 62_000), [2], "the third router has stopped");
}

#[test]
fn endpoints_are_unchanged_by_grouping_by_zone() {
    let endpoints = [endpoint("east", 1), endpoint("east", 3), endpoint("west", 2)];
    let grouped = ZoneRouters::group(&endpoints);
    assert_eq!(grouped.len(), 2);
    let single: Vec<RouterEndpoint> = grouped.iter().flat_map(ZoneRouters::endpoints).collect();
    assert_eq!(single, endpoints);
}
