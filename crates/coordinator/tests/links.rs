//! Selection of the connection over which a control process sends.

use stackpost_coordinator::Links;
use stackpost_mesh::{LinkId, PeerInfo, PeerRole};
use stackpost_types::{Incarnation, MachineName, NodeId, Timestamp, ZoneName};

fn control(machine: &str, incarnation: u64) -> PeerInfo {
    PeerInfo {
        node: NodeId { machine: MachineName::new(machine), incarnation: Incarnation(incarnation) },
        role: PeerRole::Control,
        zone: ZoneName::new("one"),
        listen_address: "127.0.0.1:7000".parse().expect("an address"),
    }
}

/// A connection over which one end never sends is closed by the other end.
#[test]
fn status_is_sent_over_both_connections_of_a_pair() {
    let mut links = Links::default();
    let (dialed, accepted) = (LinkId::from_raw(1), LinkId::from_raw(2));
    links.up(Timestamp(0), dialed, control("b", 1));
    links.up(Timestamp(10), accepted, control("b", 1));
    assert_eq!(links.all(PeerRole::Control), vec![dialed, accepted]);
    assert!(links.all(PeerRole::Router).is_empty());
    assert_eq!(links.one_per_peer_all_roles(Timestamp(20)), vec![accepted], "other messages");
}

/// A connection may stop working without a reset.
#[test]
fn silent_connection_is_replaced_by_an_active_one() {
    let mut links = Links::default();
    let (first, second) = (LinkId::from_raw(1), LinkId::from_raw(2));
    links.up(Timestamp(0), first, control("b", 1));
    links.up(Timestamp(10), second, control("b", 1));
    for time in (200..1_000).step_by(200) {
        links.on_received(Timestamp(time), first);
    }
    let machine = MachineName::new("b");
    assert_eq!(
        links.link_to_control(Timestamp(400), &machine),
        Some(second),
        "silent for only 390 ms"
    );
    assert_eq!(links.link_to_control(Timestamp(1_000), &machine), Some(first));
    assert_eq!(links.one_per_peer(Timestamp(1_000), PeerRole::Control), vec![first]);
    links.on_received(Timestamp(1_010), second);
    assert_eq!(links.link_to_control(Timestamp(1_020), &machine), Some(second));
}

/// Messages to a restarted machine are sent over the connection to its new incarnation.
#[test]
fn messages_go_to_the_newest_incarnation() {
    let mut links = Links::default();
    let (before, after) = (LinkId::from_raw(1), LinkId::from_raw(2));
    links.up(Timestamp(0), before, control("b", 1));
    links.on_received(Timestamp(950), before);
    links.up(Timestamp(1_000), after, control("b", 2));
    let machine = MachineName::new("b");
    assert_eq!(links.link_to_control(Timestamp(1_010), &machine), Some(after));
    links.down(after);
    assert_eq!(links.link_to_control(Timestamp(1_010), &machine), Some(before));
    assert_eq!(links.on_received(Timestamp(1_020), after), None);
}
