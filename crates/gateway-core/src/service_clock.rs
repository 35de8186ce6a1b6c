//! A clock that runs only while callers take bytes, so that time in which their common link or
//! machine is slow counts against none of them.

use stackpost_types::{Millis, Timestamp};

/// Bytes that a caller takes show that callers are served for this part of its gap objective.
const SERVED_PARTS: u64 = 4;

/// A point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    pub at: Timestamp,
    /// The same on the clock of service.
    pub served: Millis,
}

/// Counts the time in which callers take bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceClock {
    time: Millis,
    updated_at: Timestamp,
    /// Until when the last bytes taken show that callers are served.
    served_until: Timestamp,
}

impl ServiceClock {
    /// The reading at `now`.
    pub fn moment(&self, now: Timestamp) -> Moment {
        let until = now.min(self.served_until);
        Moment { at: now, served: Millis(self.time.0 + until.since(self.updated_at).0) }
    }

    /// Records that a caller with this gap objective took bytes.
    pub fn on_taken(&mut self, now: Timestamp, gap_objective: Millis) {
        self.time = self.moment(now).served;
        self.updated_at = self.updated_at.max(now);
        let until = now + Millis(gap_objective.0 / SERVED_PARTS);
        self.served_until = self.served_until.max(until);
    }
}
