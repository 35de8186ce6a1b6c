//! Tracks which version of a versioned item one receiver has confirmed, and which is in flight.

use stackpost_types::{Millis, Timestamp};

/// Time after which an unconfirmed version is resent.
const RESEND_AFTER: Millis = Millis(600);

/// Delivery state of one receiver. Messages may be lost, so only confirmed versions count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTracker {
    /// Version that the receiver has confirmed; zero if none.
    confirmed: u64,
    /// Version that was sent last, and when.
    sent: Option<(u64, Timestamp)>,
}

impl DeliveryTracker {
    /// Records the version that the receiver has confirmed.
    pub fn confirm(&mut self, version: u64) {
        self.confirmed = version;
    }

    /// Records that `version` is sent now. Returns the base version to which the receiver can apply
    /// a delta; `None` if nothing is to be sent.
    pub fn begin_send(&mut self, now: Timestamp, version: u64) -> Option<u64> {
        let is_overdue = |at: Timestamp| now.since(at) >= RESEND_AFTER;
        let is_in_flight = self.sent.is_some_and(|(sent, at)| sent >= version && !is_overdue(at));
        if self.confirmed >= version || is_in_flight {
            return None;
        }
        let sent_before = self.sent.replace((version, now));
        // Messages arrive in order, so a version in flight can serve as the base. A version that
        // was not confirmed in time may be lost; then the base is the confirmed version.
        let in_flight = sent_before.filter(|(_, at)| !is_overdue(*at));
        Some(in_flight.map_or(self.confirmed, |(sent, _)| sent))
    }
}
