//! What shows that an engine has read a request.

use proptest::prelude::*;
use stackpost_gateway_core::{ENDED_EXPIRY, Evidence, UNREAD_EXPIRY, UnreadRequests};
use stackpost_types::{Millis, Timestamp};

const START: Timestamp = Timestamp(100_000);
const LONG_AFTER: Timestamp = Timestamp(START.0 + 10 * UNREAD_EXPIRY.0);

#[test]
fn request_is_settled_by_what_its_own_connection_shows() {
    let mut unread = UnreadRequests::default();
    let (first, second) = (unread.on_dispatched(START), unread.on_dispatched(START));
    unread.on_evidence(START, second, Evidence::Response);
    unread.on_evidence(START, second, Evidence::Response);
    assert_eq!(unread.count(START), 1);
    unread.on_evidence(START, first, Evidence::Reset);
    assert_eq!(unread.count(START), 0);
}

#[test]
fn request_stays_unread_while_its_connection_is_open() {
    let mut unread = UnreadRequests::default();
    let first = unread.on_dispatched(START);
    unread.remove_expired(LONG_AFTER);
    assert_eq!(unread.newest(LONG_AFTER), Some(first.sent_at));
}

#[test]
fn request_of_a_lost_connection_expires() {
    let mut unread = UnreadRequests::default();
    let request = unread.on_dispatched(START);
    unread.on_evidence(START + Millis(500), request, Evidence::Lost);
    let expired_at = START + UNREAD_EXPIRY;
    assert_eq!(unread.newest(Timestamp(expired_at.0 - 1)), Some(START));
    assert_eq!(unread.newest(expired_at), None);
}

#[test]
fn request_whose_engine_has_ended_the_connection_expires_some_time_after_the_end() {
    let mut unread = UnreadRequests::default();
    let request = unread.on_dispatched(START);
    let ended_at = START + Millis(500);
    unread.on_evidence(ended_at, request, Evidence::EndAfterOwn);
    let expired_at = ended_at + ENDED_EXPIRY;
    assert_eq!(unread.newest(Timestamp(expired_at.0 - 1)), Some(START));
    assert_eq!(unread.newest(expired_at), None);
}

/// Guards against other routers' lost requests that count as read because this one's was discarded.
#[test]
fn only_a_response_shows_that_the_engine_reads() {
    for evidence in [Evidence::NotWritten, Evidence::Reset, Evidence::EndAfterOwn, Evidence::Lost] {
        let mut unread = UnreadRequests::default();
        let request = unread.on_dispatched(START);
        unread.on_evidence(START, request, evidence);
        assert_eq!(unread.newest_read(), None, "{evidence:?}");
    }
    let mut unread = UnreadRequests::default();
    let request = unread.on_dispatched(START);
    unread.on_evidence(START, request, Evidence::Response);
    assert_eq!(unread.newest_read(), Some(START));
}

/// Guards against requests that are forgotten because too many are unread.
#[test]
fn requests_beyond_the_limit_are_unread_until_they_expire() {
    let mut unread = UnreadRequests::default();
    let requests: Vec<_> = (0..3_000).map(|_| unread.on_dispatched(START)).collect();
    for request in requests {
        unread.on_evidence(START, request, Evidence::Response);
    }
    let expired_at = START + UNREAD_EXPIRY;
    assert_eq!(unread.newest(Timestamp(expired_at.0 - 1)), Some(START));
    assert_eq!(unread.newest(expired_at), None);
}

#[test]
fn lost_connection_says_nothing_of_others() {
    let mut unread = UnreadRequests::default();
    let (lost, open) = (unread.on_dispatched(START), unread.on_dispatched(START + Millis(1)));
    unread.on_evidence(START, lost, Evidence::Lost);
    unread.remove_expired(LONG_AFTER);
    assert_eq!((unread.count(LONG_AFTER), unread.oldest(LONG_AFTER)), (1, Some(open.sent_at)));
}

proptest! {
    /// Exactly the requests count that are neither settled nor both lost and expired, whatever the
    /// order of events.
    #[test]
    fn unread_requests_are_those_that_nothing_has_settled(
        events in prop::collection::vec((0_u8..3, 0_usize..40, 0_u64..800), 1..120),
    ) {
        let mut unread = UnreadRequests::default();
        let mut model = Vec::new();
        let mut now = START;
        for (event, index, pause) in events {
            now = now + Millis(pause);
            match event {
                0 => model.push((unread.on_dispatched(now), true)),
                1 if index < model.len() => {
                    let (request, _) = model.remove(index);
                    unread.on_evidence(now, request, Evidence::Response);
                }
                2 if index < model.len() => {
                    model[index].1 = false;
                    unread.on_evidence(now, model[index].0, Evidence::Lost);
                }
                _ => unread.remove_expired(now),
            }
            let counts = |(request, is_open): &(stackpost_gateway_core::DispatchedRequest, bool)| {
                *is_open || now.since(request.sent_at) < UNREAD_EXPIRY
            };
            prop_assert_eq!(unread.count(now), model.iter().filter(|one| counts(one)).count());
        }
    }
}
