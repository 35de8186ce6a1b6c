//! Headers that concern one connection only, and what they say of it.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};
use std::time::Duration;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to a single connection.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Whether a response has neither a length nor chunks, so that its end is that of its connection.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether the other end asks to close the connection after this message.
pub(crate) fn asks_to_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Longest idle time of a connection that is believed. A longer one is used up to this time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);

/// How long the engine keeps an idle connection, if it states that in `keep-alive`; at most
/// [`MAX_IDLE_TIME`].
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = seconds.trim().parse().ok().map(Duration::from_secs)?;
    Some(stated.min(MAX_IDLE_TIME))
}
