//! Selection of a router's peers.

use stackpost_coordinator::{PEERS_PER_ROUTER, select_peers};
use stackpost_gateway_core::RouterEndpoint;
use stackpost_types::ZoneName;

fn endpoint(zone: &str, number: u16) -> RouterEndpoint {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], number));
    RouterEndpoint { zone: ZoneName::new(zone), address }
}

fn endpoints(zones: &[(&str, u16)]) -> Vec<RouterEndpoint> {
    let mut endpoints: Vec<RouterEndpoint> = zones
        .iter()
        .flat_map(|(zone, count)| (0..*count).map(|number| endpoint(zone, 1_000 + number)))
        .collect();
    endpoints.sort();
    endpoints
}

#[test]
fn routers_of_the_own_zone_are_selected_first() {
    let endpoints = endpoints(&[("east", 4), ("west", 130)]);
    let peers = select_peers(&endpoints, &endpoint("east", 1_001));
    assert_eq!(peers.len(), PEERS_PER_ROUTER);
    let in_zone: Vec<u16> = peers[..3].iter().map(|address| address.port()).collect();
    assert_eq!(in_zone, [1_002, 1_003, 1_000], "each router's list starts with a different peer");
}

#[test]
fn router_is_never_its_own_peer() {
    let alone = endpoints(&[("east", 1)]);
    assert!(select_peers(&alone, &alone[0]).is_empty());
    let many = endpoints(&[("east", 20)]);
    for own in &many {
        assert!(!select_peers(&many, own).contains(&own.address));
    }
}
