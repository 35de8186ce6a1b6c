//! Which other routers a router is told of.

use stackpost_coordinator::{PEERS_PER_ROUTER, peers_of};
use stackpost_gateway_core::RouterSite;
use stackpost_types::ZoneName;

fn site(zone: &str, number: u16) -> RouterSite {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], number));
    RouterSite { zone: ZoneName::new(zone), address }
}

fn sites(zones: &[(&str, u16)]) -> Vec<RouterSite> {
    let mut sites: Vec<RouterSite> = zones
        .iter()
        .flat_map(|(zone, count)| (0..*count).map(|number| site(zone, 1_000 + number)))
        .collect();
    sites.sort();
    sites
}

#[test]
fn routers_of_the_own_zone_come_first() {
    let sites = sites(&[("east", 4), ("west", 130)]);
    let peers = peers_of(&sites, &site("east", 1_001));
    assert_eq!(peers.len(), PEERS_PER_ROUTER);
    let in_zone: Vec<u16> = peers[..3].iter().map(|address| address.port()).collect();
    assert_eq!(in_zone, [1_002, 1_003, 1_000], "each router begins with another one");
}

#[test]
fn no_router_is_told_of_itself() {
    let alone = sites(&[("east", 1)]);
    assert!(peers_of(&alone, &alone[0]).is_empty());
    let many = sites(&[("east", 20)]);
    for own in &many {
        assert!(!peers_of(&many, own).contains(&own.address));
    }
}
