//! The requests of one router that an engine may have received without having read them.
//!
//! Bytes that an engine's machine has received are read later, even if the router has closed the
//! connection meanwhile. Only the engine itself shows that it has read a request: by responding to
//! it, by responding to a probe over a connection that was opened later, or, if it had read the
//! connection before, by sending anything a while later.

use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Time in which an engine that sends anything reads what has arrived on connections in use.
const READ_MARGIN: Millis = Millis(100);
/// Time after which an engine that has shown nothing since counts as ended.
pub const UNREAD_EXPIRY: Millis = Millis(10_000);
/// Maximum number of requests kept: more than the connections that an engine accepts.
const MAX_UNREAD: usize = 1_024;

/// Whether the engine has read anything from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It may not even have accepted the connection.
    New,
    /// It has responded over the connection.
    Reused,
}

/// A request that was written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedRequest {
    /// When it was written.
    pub sent_at: Timestamp,
    /// The connection.
    pub connection: ConnectionUse,
}

/// When the requests were sent that an engine may not have read, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadRequests {
    requests: VecDeque<DispatchedRequest>,
}

impl UnreadRequests {
    /// Records that a request is written to a connection.
    pub fn on_dispatched(&mut self, request: DispatchedRequest) {
        if self.requests.len() == MAX_UNREAD {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }

    /// Records that the engine has responded to a request, or that nothing of it was sent after all.
    pub fn remove(&mut self, request: DispatchedRequest) {
        if let Some(index) = self.requests.iter().position(|other| *other == request) {
            self.requests.remove(index);
        }
    }

    /// Records that something was received from the engine, on any connection.
    pub fn on_heard(&mut self, now: Timestamp) {
        self.requests.retain(|request| {
            request.connection == ConnectionUse::New || now.since(request.sent_at) < READ_MARGIN
        });
    }

    /// Records that the engine has responded over a new connection that was opened at `opened_at`.
    /// Connections are accepted in the order in which they were opened.
    pub fn on_probe_answered(&mut self, opened_at: Timestamp) {
        self.requests.retain(|request| request.sent_at >= opened_at);
    }

    /// Number of unread requests.
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
        let sent_at = self.requests.iter().map(|request| request.sent_at);
        sent_at.filter(move |sent_at| now.since(*sent_at) < UNREAD_EXPIRY)
    }
}
