//! When received statements were made, by the clock of the receiver.

use proptest::prelude::*;
use stackpost_gateway_core::StatementTimes;
use stackpost_types::Timestamp;

const LINK: u32 = 1;
/// Time between two statements, in milliseconds.
const INTERVAL: u64 = 200;

#[test]
fn statements_that_waited_in_a_queue_are_old() {
    let mut times = StatementTimes::default();
    for at in (0..10).map(|number| 50_000 + number * INTERVAL) {
        times.on_statement(Timestamp(at + 3), LINK, Timestamp(at - 40_000));
    }
    assert_eq!(times.as_of(LINK), Some(Timestamp(51_803)));
    // Received after a pause of three seconds, in which they were made.
    times.on_statement(Timestamp(55_000), LINK, Timestamp(12_000));
    assert_eq!(times.as_of(LINK), Some(Timestamp(52_003)));
    times.on_statement(Timestamp(55_001), LINK, Timestamp(12_200));
    assert_eq!(times.as_of(LINK), Some(Timestamp(52_203)));
    times.on_down(LINK);
    assert_eq!(times.as_of(LINK), None);
}

proptest! {
    /// A statement never counts as made later than it was by more than the shortest transmission.
    #[test]
    fn no_statement_counts_as_newer_than_it_is(
        first_offset in 0_u64..100_000,
        delays in prop::collection::vec(prop_oneof![4 => 0_u64..20, 1 => 0_u64..5_000], 1..600),
    ) {
        let mut times = StatementTimes::default();
        let mut received_at = 0;
        for (number, delay) in delays.iter().enumerate() {
            let made_at = 200_000 + number as u64 * INTERVAL;
            received_at = received_at.max(made_at + delay);
            times.on_statement(Timestamp(received_at), LINK, Timestamp(made_at - first_offset));
            let as_of = times.as_of(LINK).expect("received").0;
            prop_assert!(as_of <= made_at + shortest_transmission(&delays[..=number]));
            prop_assert!(as_of >= made_at, "it is no older than it is");
        }
    }
}

/// The shortest time from the creation of one of the last 256 statements to its reception.
fn shortest_transmission(delays: &[u64]) -> u64 {
    let mut received_at = 0;
    let mut transmissions = Vec::new();
    for (number, delay) in delays.iter().enumerate() {
        let made_at = number as u64 * INTERVAL;
        received_at = received_at.max(made_at + delay);
        transmissions.push(received_at - made_at);
    }
    let recent = &transmissions[transmissions.len().saturating_sub(256)..];
    recent.iter().min().copied().unwrap_or(0)
}
