//! The requests of one router that an engine may have received without having read them.
//!
//! Bytes that an engine's machine has received are read later, even if the router has closed the
//! connection meanwhile. An engine may read one connection and answer health checks while it leaves
//! another one unread, so only what a request's own connection shows of it
//! ([`crate::RequestEvidence`]) settles the request.

use crate::request_evidence::Evidence;
use stackpost_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Time since it was sent after which a request counts as read if its connection is lost and can
/// show nothing any more.
pub const UNREAD_EXPIRY: Millis = Millis(10_000);
/// Time for which a request counts as unread after its engine has ended the connection.
pub const ENDED_EXPIRY: Millis = Millis(3_000);
/// Maximum number of requests kept: more than the connections that an engine accepts. Older ones
/// count as unread until they expire.
const MAX_UNREAD: usize = 1_024;

/// Identifies a request that was written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedRequest {
    /// When it was written.
    pub sent_at: Timestamp,
    number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnreadRequest {
    request: DispatchedRequest,
    /// Until when it counts as unread; without limit while its connection may show what becomes of
    /// it.
    until: Option<Timestamp>,
}

impl UnreadRequest {
    fn is_unread(&self, now: Timestamp) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// The requests that an engine may not have read, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadRequests {
    requests: VecDeque<UnreadRequest>,
    next_number: u64,
    /// When the newest request was sent that is no longer kept.
    newest_dropped: Option<Timestamp>,
    /// When the newest request was sent that the engine has read.
    newest_read: Option<Timestamp>,
}

impl UnreadRequests {
    /// Records that a request is written to a connection.
    pub fn on_dispatched(&mut self, now: Timestamp) -> DispatchedRequest {
        if self.requests.len() == MAX_UNREAD {
            let dropped = self.requests.pop_front();
            self.newest_dropped = dropped.map(|dropped| dropped.request.sent_at);
        }
        self.next_number += 1;
        let request = DispatchedRequest { sent_at: now, number: self.next_number };
        self.requests.push_back(UnreadRequest { request, until: None });
        request
    }

    /// Records what the connection of a request has shown of it.
    pub fn on_evidence(&mut self, now: Timestamp, request: DispatchedRequest, evidence: Evidence) {
        match evidence {
            Evidence::Response => self.on_read(request),
            Evidence::NotWritten | Evidence::Reset => self.remove(request),
            Evidence::EndAfterOwn => self.set_limit(request, now + ENDED_EXPIRY),
            Evidence::Lost => self.set_limit(request, request.sent_at + UNREAD_EXPIRY),
        }
    }

    /// Records that the engine has read a request.
    fn on_read(&mut self, request: DispatchedRequest) {
        self.newest_read = self.newest_read.max(Some(request.sent_at));
        self.remove(request);
    }

    fn remove(&mut self, request: DispatchedRequest) {
        self.requests.retain(|unread| unread.request != request);
    }

    fn set_limit(&mut self, request: DispatchedRequest, until: Timestamp) {
        for unread in self.requests.iter_mut().filter(|unread| unread.request == request) {
            unread.until = Some(until);
        }
    }

    /// When the newest request was sent that the engine is known to have read.
    pub fn newest_read(&self) -> Option<Timestamp> {
        self.newest_read
    }

    /// Removes requests that have expired.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.requests.retain(|unread| unread.is_unread(now));
    }

    /// Number of unread requests.
    pub fn count(&self, now: Timestamp) -> usize {
        self.unread(now).count()
    }

    /// When the oldest one was sent.
    pub fn oldest(&self, now: Timestamp) -> Option<Timestamp> {
        self.unread(now).next()
    }

    /// When the newest one was sent.
    pub fn newest(&self, now: Timestamp) -> Option<Timestamp> {
        self.unread(now).last()
    }

    fn unread(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let dropped = self.newest_dropped.filter(|sent_at| now.since(*sent_at) < UNREAD_EXPIRY);
        let unread = self.requests.iter().filter(move |unread| unread.is_unread(now));
        dropped.into_iter().chain(unread.map(|unread| unread.request.sent_at))
    }
}
