//! Bounds on the connections of clients, over drawn histories.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

const CONNECTIONS: u64 = 8;
const HEAD_BYTES: u64 = 64 * 1024;
const LIMITS: ConnectionLimits =
    ConnectionLimits { connections: CONNECTIONS, head_bytes: HEAD_BYTES };
/// Time without progress after which a body gives way, and the bytes that are progress.
const STALL_GRACE: Millis = Millis(1_000);
const PROGRESS: u64 = 16 * 1024;
const TIMEOUTS: ClientTimeouts = ClientTimeouts { head: Millis(3_000), send: Millis(5_000) };

fn at(ms: u64) -> Timestamp {
    Timestamp::PROCESS_START + Millis(ms)
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Receive { connection: usize, bytes: u64 },
    Request { connection: usize, has_body: bool },
    EndBody { connection: usize },
    End { connection: usize },
    Send { connection: usize },
    SendAll { connection: usize },
    Close { connection: usize },
    Wait { ms: u64 },
    CloseOverdue,
}

fn step() -> impl Strategy<Value = Step> {
    let connection = || 0..16usize;
    prop_oneof![
        4 => Just(Step::Open),
        4 => (connection(), 1..20_000u64)
            .prop_map(|(connection, bytes)| Step::Receive { connection, bytes }),
        3 => (connection(), any::<bool>())
            .prop_map(|(connection, has_body)| Step::Request { connection, has_body }),
        1 => connection().prop_map(|connection| Step::EndBody { connection }),
        2 => connection().prop_map(|connection| Step::End { connection }),
        1 => connection().prop_map(|connection| Step::Send { connection }),
        2 => connection().prop_map(|connection| Step::SendAll { connection }),
        1 => connection().prop_map(|connection| Step::Close { connection }),
        2 => (0..2_000u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::CloseOverdue),
    ]
}

/// What the test knows of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    head_bytes: u64,
    head_since: Option<Timestamp>,
    has_request: bool,
    /// When its body last made progress, while it is not whole, and what has arrived since.
    body: Option<(Timestamp, u64)>,
    sending_since: Option<Timestamp>,
}

impl Known {
    fn is_in_use(&self) -> bool {
        self.has_request || self.sending_since.is_some()
    }

    /// Whether its body is not whole and makes no progress.
    fn is_stalled(&self, now: Timestamp) -> bool {
        self.body.is_some_and(|(progress_at, _)| now.since(progress_at) >= STALL_GRACE)
    }
}

proptest! {
    /// Guards against more connections or heads than the limits, and against closing a connection
    /// with a request under way.
    #[test]
    fn connections_stay_within_their_limits_and_none_with_a_request_is_closed(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let (mut table, mut now) = (ConnectionTable::new(LIMITS), at(0));
        let mut known: BTreeMap<ConnectionId, Known> = BTreeMap::new();
        for step in steps {
            let pick = |connection: usize| {
                known.keys().nth(connection % known.len().max(1)).copied()
            };
            let mut closed = Vec::new();
            match step {
                Step::Open => match table.open(now) {
                    Some(admitted) => {
                        closed.extend(admitted.replaces);
                        known.insert(admitted.id, Known::default());
                    }
                    None => {
                        prop_assert_eq!(known.len() as u64, CONNECTIONS);
                        prop_assert!(known.values().all(|one| one.is_in_use() || !one.is_stalled(now)));
                        prop_assert!(known.values().all(|one| one.is_in_use() || one.body.is_some()));
                    }
                },
                Step::Receive { connection, bytes } => {
                    let Some(id) = pick(connection) else { continue };
                    closed.extend(table.on_received(now, id, bytes));
                    let one = known.get_mut(&id).expect("picked");
                    if let Some((progress_at, before)) = one.body {
                        let bytes = before + bytes;
                        one.body =
                            Some(if bytes >= PROGRESS { (now, 0) } else { (progress_at, bytes) });
                    } else if !one.is_in_use() {
                        one.head_bytes += bytes;
                        one.head_since.get_or_insert(now);
                    }
                }
                Step::Request { connection, has_body } => {
                    let Some(id) = pick(connection) else { continue };
                    table.on_request(now, id, has_body);
                    let body = has_body.then_some((now, 0));
                    known.insert(id, Known { has_request: !has_body, body, ..Known::default() });
                }
                Step::EndBody { connection } => {
                    let Some(id) = pick(connection) else { continue };
                    table.on_body_ended(id);
                    let one = known.get_mut(&id).expect("picked");
                    one.has_request |= one.body.take().is_some();
                }
                Step::End { connection } => {
                    let Some(id) = pick(connection) else { continue };
                    table.on_request_ended(now, id);
                    known.insert(id, Known { sending_since: Some(now), ..Known::default() });
                }
                Step::Send { connection } => {
                    let Some(id) = pick(connection) else { continue };
                    table.on_sent(now, id);
                    let one = known.get_mut(&id).expect("picked");
                    one.sending_since = one.sending_since.and(Some(now));
                }
                Step::SendAll { connection } => {
                    let Some(id) = pick(connection) else { continue };
                    table.on_all_sent(now, id);
                    known.get_mut(&id).expect("picked").sending_since = None;
                }
                Step::Close { connection } => {
                    let Some(id) = pick(connection) else { continue };
                    table.close(id);
                    known.remove(&id);
                }
                Step::Wait { ms } => now = now + Millis(ms),
                Step::CloseOverdue => {
                    for id in table.close_overdue(now, TIMEOUTS) {
                        let one = known.remove(&id).expect("an open connection is closed");
                        let is_overdue = |since: Option<Timestamp>, timeout| {
                            since.is_some_and(|since| now.since(since) >= timeout)
                        };
                        prop_assert!(!one.has_request, "a connection with a request is closed");
                        prop_assert!(
                            is_overdue(one.head_since, TIMEOUTS.head)
                                || is_overdue(one.sending_since, TIMEOUTS.send)
                        );
                    }
                }
            }
            for id in closed {
                let one = known.remove(&id).expect("an open connection is closed");
                prop_assert!(!one.is_in_use(), "a connection in use is closed");
                prop_assert!(one.body.is_none() || one.is_stalled(now), "progress is lost");
            }
            prop_assert_eq!(table.open_connections(), known.len() as u64);
            prop_assert!(table.open_connections() <= CONNECTIONS);
            let heads: u64 = known.values().map(|one| one.head_bytes).sum();
            prop_assert!(heads <= HEAD_BYTES, "the unfinished heads take too much");
        }
    }
}

#[test]
fn overdue_heads_give_way_before_idle_connections() {
    let mut table = ConnectionTable::new(LIMITS);
    let open = |table: &mut ConnectionTable, now| table.open(now).expect("admitted").id;
    let idle = open(&mut table, at(0));
    let head = open(&mut table, at(1));
    table.on_received(at(1), head, 100);
    for _ in 2..CONNECTIONS {
        open(&mut table, at(2));
    }
    let next = table.open(at(1_500)).expect("admitted");
    assert_eq!(next.replaces, Some(head));
    let next = table.open(at(1_500)).expect("admitted");
    assert_eq!(next.replaces, Some(idle));
}

#[test]
fn a_connection_that_ended_a_request_counts_as_idle_from_then_on() {
    let mut table = ConnectionTable::new(LIMITS);
    let first = table.open(at(0)).expect("admitted").id;
    let second = table.open(at(1)).expect("admitted").id;
    table.on_request(at(2), first, false);
    for _ in 2..CONNECTIONS {
        let id = table.open(at(2)).expect("admitted").id;
        table.on_request(at(2), id, false);
    }
    table.on_request_ended(at(10), first);
    table.on_all_sent(at(10), first);
    assert_eq!(table.open(at(11)).expect("admitted").replaces, Some(second));
}

/// Guards against responses that are cut off for a new connection, and against clients that keep
/// their connections by reading nothing.
#[test]
fn a_connection_with_an_unwritten_response_is_closed_only_when_its_client_takes_nothing() {
    let mut table = ConnectionTable::new(LIMITS);
    for _ in 0..CONNECTIONS {
        let id = table.open(at(0)).expect("admitted").id;
        table.on_request(at(0), id, false);
        table.on_request_ended(at(0), id);
        table.on_sent(at(1_000), id);
    }
    assert_eq!(table.open(at(5_999)), None);
    assert_eq!(table.close_overdue(at(5_999), TIMEOUTS), Vec::new());
    assert_eq!(table.close_overdue(at(6_000), TIMEOUTS).len() as u64, CONNECTIONS);
    assert!(table.open(at(6_000)).is_some());
}

/// Guards against clients that keep all connections with bodies that they do not finish.
#[test]
fn stalled_bodies_give_way_before_idle_connections() {
    let mut table = ConnectionTable::new(LIMITS);
    let idle = table.open(at(0)).expect("admitted").id;
    let stalled = table.open(at(1)).expect("admitted").id;
    table.on_request(at(1), stalled, true);
    for _ in 2..CONNECTIONS {
        let id = table.open(at(2)).expect("admitted").id;
        table.on_request(at(1_500), id, true);
    }
    assert_eq!(table.open(at(1_600)).expect("admitted").replaces, Some(stalled));
    assert_eq!(table.open(at(1_600)).expect("admitted").replaces, Some(idle));
}
