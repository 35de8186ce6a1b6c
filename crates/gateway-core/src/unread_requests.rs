//! The requests of one router that an engine may have received without having read them.
//!
//! Bytes that an engine's machine has received are read later, even if the router has closed the
//! connection meanwhile. Only a sign of life from the engine shows that a request is no longer
//! unread: the response to it, or anything received on another connection some time after it was
//! sent.

use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Time in which an engine that sends anything reads what it has received before.
pub const READ_MARGIN: Millis = Millis(100);
/// Time after which an engine that has sent nothing since counts as ended.
pub const UNREAD_EXPIRY: Millis = Millis(10_000);

/// Number of the newest requests that are kept. Whatever shows that the newest one was read shows
/// it of all earlier ones.
const MAX_UNREAD: usize = 64;

/// When the requests were sent that an engine may not have read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadRequests {
    sent_at: VecDeque<Timestamp>,
}

impl UnreadRequests {
    /// Records that a request is written to a connection.
    pub fn on_dispatched(&mut self, now: Timestamp) {
        if self.sent_at.len() == MAX_UNREAD {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Records that the engine has responded to the request dispatched at `sent_at`, or that nothing
    /// of it was sent after all.
    pub fn remove(&mut self, sent_at: Timestamp) {
        if let Some(index) = self.sent_at.iter().position(|other| *other == sent_at) {
            self.sent_at.remove(index);
        }
    }

    /// Records that something was received from the engine, on any connection.
    pub fn on_heard(&mut self, now: Timestamp) {
        self.sent_at.retain(|sent_at| now.since(*sent_at) < READ_MARGIN);
    }

    /// Number of unread requests, at most some dozens.
    pub fn count(&self, now: Timestamp) -> usize {
        self.unexpired(now).count()
    }

    /// When the oldest one was sent.
    pub fn oldest(&self, now: Timestamp) -> Option<Timestamp> {
        self.unexpired(now).next()
    }

    /// When the newest one was sent.
    pub fn newest(&self, now: Timestamp) -> Option<Timestamp> {
        self.unexpired(now).last()
    }

    fn unexpired(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        self.sent_at.iter().copied().filter(move |sent_at| now.since(*sent_at) < UNREAD_EXPIRY)
    }
}
