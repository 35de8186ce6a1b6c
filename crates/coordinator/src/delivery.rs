//! Tracks which version of a versioned item one receiver has confirmed, and which are in flight.

use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Time after which an unconfirmed version is resent.
const RESEND_AFTER: Millis = Millis(600);

/// Delivery state of one receiver. Messages may be lost, so only confirmed versions count.
///
/// Invariant: the versions in flight increase, and are above the confirmed one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTracker {
    /// Version that the receiver has confirmed; zero if none.
    confirmed: u64,
    /// Unconfirmed versions that were sent, and when.
    in_flight: VecDeque<(u64, Timestamp)>,
}

impl DeliveryTracker {
    /// Records the version that the receiver has confirmed.
    pub fn confirm(&mut self, version: u64) {
        self.confirmed = version;
        self.in_flight.retain(|(sent, _)| *sent > version);
    }

    /// The version that the receiver has confirmed; zero if none.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Records that `version` is sent now. Returns the base version to which the receiver can apply
    /// a delta; `None` if nothing is to be sent.
    pub fn begin_send(&mut self, now: Timestamp, version: u64) -> Option<u64> {
        // A receiver confirms in order, so a version that is not confirmed in time holds up all
        // later ones.
        let is_overdue =
            self.in_flight.front().is_some_and(|(_, at)| now.since(*at) >= RESEND_AFTER);
        if is_overdue {
            self.in_flight.clear();
        }
        // Messages arrive in order, so a version in flight can serve as the base.
        let base = self.in_flight.back().map_or(self.confirmed, |(sent, _)| *sent);
        if base >= version {
            return None;
        }
        self.in_flight.push_back((version, now));
        Some(base)
    }
}
