//! Over which connection a control process is told things.

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

/// Each end hears nothing over a connection that the other never uses, and gives it up.
#[test]
fn a_status_goes_over_both_connections_of_a_pair() {
    let mut links = Links::default();
    let (dialed, accepted) = (LinkId::from_raw(1), LinkId::from_raw(2));
    links.up(Timestamp(0), dialed, control("b", 1));
    links.up(Timestamp(10), accepted, control("b", 1));
    assert_eq!(links.all(), vec![dialed, accepted]);
    assert_eq!(links.one_per_peer_all_roles(Timestamp(20)), vec![accepted], "messages go over one");
}

/// Connections may go silent for good without a reset.
#[test]
fn a_connection_that_has_fallen_silent_is_left_for_one_that_is_heard() {
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
        "silent for 390 ms only"
    );
    assert_eq!(links.link_to_control(Timestamp(1_000), &machine), Some(first));
    assert_eq!(links.one_per_peer(Timestamp(1_000), PeerRole::Control), vec![first]);
    links.on_received(Timestamp(1_010), second);
    assert_eq!(links.link_to_control(Timestamp(1_020), &machine), Some(second));
}

/// A machine that has come back is told things over the connection to its new life.
#[test]
fn the_newest_life_of_a_machine_is_spoken_to() {
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
