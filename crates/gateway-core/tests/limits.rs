//! The retry budget and the splitting of event streams.

use proptest::prelude::*;
use stackpost_gateway_core::*;
use stackpost_types::*;

const LIMITS: RetryLimits = RetryLimits { permille: 200, extra: 52, window: Millis(10_000) };

/// Requests and retries of several routers, each with the time since the previous one.
fn traffic() -> impl Strategy<Value = Vec<(u64, usize, bool)>> {
    prop::collection::vec((0_u64..200, 0_usize..6, any::<bool>()), 1..600)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 80,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_fleet_keeps_the_retry_limit_in_every_window(traffic in traffic()) {
        let service = ServiceName::new("models");
        let mut routers = vec![RetryBudget::new(LIMITS, 6); 6];
        let (mut requests, mut retries, mut now) = (Vec::new(), Vec::new(), 1_000);
        for (pause, router, is_retry) in traffic {
            now += pause;
            if !is_retry {
                routers[router].note_request(Timestamp(now), &service);
                requests.push(now);
            } else if routers[router].try_retry(Timestamp(now), &service) {
                retries.push(now);
            }
            let from = now.saturating_sub(LIMITS.window.0);
            let within = |times: &[u64]| times.iter().filter(|time| **time >= from).count() as u64;
            let allowed = within(&requests) * LIMITS.permille / 1_000 + LIMITS.extra;
            prop_assert!(within(&retries) <= allowed);
        }
    }

    #[test]
    fn events_are_whole_for_any_split_of_the_bytes(chunk_sizes in prop::collection::vec(1_usize..40, 0..40)) {
        let text: String = (1..30).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        let bytes = text.as_bytes();
        let mut splitter = EventSplitter::default();
        let (mut events, mut at) = (Vec::new(), 0);
        for chunk_size in chunk_sizes.into_iter().chain([bytes.len()]) {
            let end = (at + chunk_size).min(bytes.len());
            splitter.push(&bytes[at..end]);
            at = end;
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined, bytes);
        prop_assert!(events.iter().zip(1..).all(|(event, id)| event.id == Some(EventId(id))));
        prop_assert!(!splitter.is_mid_event());
    }
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(EventId(1)));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_mid_event());
}

#[test]
fn the_number_of_routers_never_decreases() {
    let service = ServiceName::new("models");
    let mut budget = RetryBudget::new(LIMITS, 6);
    budget.set_routers(60);
    budget.set_routers(1);
    assert!(!budget.try_retry(Timestamp(1_000), &service), "1/60 of 52 is less than one retry");
}
