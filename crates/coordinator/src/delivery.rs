//! What the other end of a connection has been told of something that is numbered.

use stackpost_types::{Millis, Timestamp};

/// What has not been confirmed is sent again after so long.
const RESEND_AFTER: Millis = Millis(600);

/// How far one receiver is. Messages may be lost, so only what it confirms counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTracker {
    /// The version that the receiver has confirmed; zero if none.
    known: u64,
    /// The version that was sent last, and when.
    sent: Option<(u64, Timestamp)>,
}

impl DeliveryTracker {
    /// The receiver says which version it has.
    pub fn confirm(&mut self, version: u64) {
        self.known = version;
    }

    /// Notes that `version` is sent now. Returns the version on which the receiver can build; `None` if nothing is to be sent.
    pub fn begin_send(&mut self, now: Timestamp, version: u64) -> Option<u64> {
        let is_overdue = |at: Timestamp| now.since(at) >= RESEND_AFTER;
        let sent_lately = self.sent.is_some_and(|(sent, at)| sent >= version && !is_overdue(at));
        if self.known >= version || sent_lately {
            return None;
        }
        let sent_before = self.sent.replace((version, now));
        // What is on its way arrives first. A receiver that has not confirmed it in time builds on what it has confirmed.
        let on_its_way = sent_before.filter(|(_, at)| !is_overdue(*at));
        Some(on_its_way.map_or(self.known, |(sent, _)| sent))
    }
}
