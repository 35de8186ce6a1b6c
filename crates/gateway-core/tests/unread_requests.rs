//! What shows that an engine has read a request.

use stackpost_gateway_core::{ConnectionUse, DispatchedRequest, UNREAD_EXPIRY, UnreadRequests};
use stackpost_types::{Millis, Timestamp};

const START: Timestamp = Timestamp(100_000);

fn request(after_ms: u64, connection: ConnectionUse) -> DispatchedRequest {
    DispatchedRequest { sent_at: START + Millis(after_ms), connection }
}

fn unread(requests: &[DispatchedRequest]) -> UnreadRequests {
    let mut unread = UnreadRequests::default();
    requests.iter().for_each(|request| unread.on_dispatched(*request));
    unread
}

#[test]
fn response_shows_that_one_request_was_read() {
    let (first, second) = (request(0, ConnectionUse::New), request(0, ConnectionUse::Reused));
    let mut unread = unread(&[first, second, second]);
    unread.remove(second);
    assert_eq!(unread.count(START), 2);
    unread.remove(first);
    unread.remove(first);
    assert_eq!(unread.count(START), 1);
}

#[test]
fn sign_of_life_shows_nothing_of_connections_that_may_not_be_accepted() {
    let (new, reused) = (request(0, ConnectionUse::New), request(0, ConnectionUse::Reused));
    let later = request(150, ConnectionUse::Reused);
    let mut unread = unread(&[new, reused, later]);
    let now = START + Millis(200);
    unread.on_heard(now);
    assert_eq!((unread.oldest(now), unread.newest(now)), (Some(new.sent_at), Some(later.sent_at)));
    assert_eq!(unread.count(now), 2, "the older request on a connection in use was read");
}

#[test]
fn answered_probe_shows_that_earlier_connections_were_read() {
    let mut unread = unread(&[request(0, ConnectionUse::New), request(50, ConnectionUse::New)]);
    unread.on_probe_answered(START + Millis(50));
    assert_eq!(unread.count(START), 1);
    unread.on_probe_answered(START + Millis(51));
    assert_eq!(unread.count(START), 0);
}

#[test]
fn unread_request_expires() {
    let unread = unread(&[request(0, ConnectionUse::New)]);
    let expired_at = START + UNREAD_EXPIRY;
    assert_eq!(unread.newest(Timestamp(expired_at.0 - 1)), Some(START));
    assert_eq!(unread.newest(expired_at), None);
}
