//! Which control process a router asks for the whole list of engines.
//!
//! The load: each of several hundred routers is connected to every control process. If each of them
//! sent its whole list on connecting, a start of the fleet with 3,000 engines would send some
//! 40 MB from every control process, most of it to other zones. So a router asks one process for
//! the list, preferably of its own zone, and receives only changes from the others.
//!
//! A change may be missed: the process that was asked may not have known it yet, and the others knew
//! it already when the router connected. So control processes send a digest of their list, and a
//! router that has differed from one for some time asks it for the whole list.

use crate::directory::EngineDirectory;
use crate::engine_notice::EngineState;
use crate::hashing::mix;
use serde::{Deserialize, Serialize};
use stackpost_types::{Digest, Millis, Timestamp};
use std::collections::BTreeMap;

/// Time for which a router waits for a control process of its own zone before it asks another.
const OWN_ZONE_WAIT: Millis = Millis(300);
/// Time for which a digest must differ: longer than a change takes to reach all processes.
const MISMATCH_TIME: Millis = Millis(2_000);
/// Pause after a list was requested because of a digest; doubles each time, up to the longest one.
/// During a partition the lists may differ for as long as it lasts.
const FIRST_PAUSE: Millis = Millis(5_000);
const MAX_PAUSE: Millis = Millis(60_000);

/// Digest of the engines that have not left, the same for the same engines in the same states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineListDigest {
    engines: u32,
    digest: u64,
}

impl EngineListDigest {
    /// The digest of a directory.
    pub fn of(directory: &EngineDirectory) -> Self {
        let present = directory
            .iter()
            .filter(|record| record.notice.state != EngineState::Gone && !record.is_name_only());
        present.fold(Self::default(), |sum, record| {
            let name = Digest::of(&[record.notice.engine.as_str().as_bytes()]).to_u64();
            let state = record.notice.state as u64;
            Self { engines: sum.engines + 1, digest: sum.digest ^ mix(name ^ state) }
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownLink {
    is_own_zone: bool,
    /// Since when its digest has differed.
    differs_since: Option<Timestamp>,
}

/// One router's requests, over connections `L` to control processes.
#[derive(Clone, Debug)]
pub struct EngineListRequests<L> {
    links: BTreeMap<L, KnownLink>,
    /// Whether a whole list is needed: there was no connection, so changes may have been missed.
    needs_list: bool,
    /// The connection over which it was requested.
    requested_from: Option<L>,
    /// When the first of the current connections was opened.
    connected_since: Timestamp,
    pause: Millis,
    paused_until: Timestamp,
}

impl<L> Default for EngineListRequests<L> {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            needs_list: true,
            requested_from: None,
            connected_since: Timestamp(0),
            pause: FIRST_PAUSE,
            paused_until: Timestamp(0),
        }
    }
}

impl<L: Ord + Copy> EngineListRequests<L> {
    /// A connection was opened. Returns whether the whole list should be requested over it.
    pub fn on_up(&mut self, now: Timestamp, link: L, is_own_zone: bool) -> bool {
        if self.links.is_empty() {
            self.connected_since = now;
        }
        self.links.insert(link, KnownLink { is_own_zone, differs_since: None });
        let is_wanted = self.needs_list && self.requested_from.is_none() && is_own_zone;
        if is_wanted {
            self.requested_from = Some(link);
        }
        is_wanted
    }

    /// A connection was closed.
    pub fn on_down(&mut self, link: L) {
        self.links.remove(&link);
        self.needs_list |= self.links.is_empty();
        if self.requested_from == Some(link) {
            self.requested_from = None;
        }
    }

    /// The whole list was received over a connection.
    pub fn on_list(&mut self, link: L) {
        if self.requested_from == Some(link) {
            self.requested_from = None;
            self.needs_list = false;
        }
    }

    /// Returns the connection over which the list should be requested now, if any: no process of
    /// the own zone is connected, or the one that was asked has gone.
    pub fn due(&mut self, now: Timestamp) -> Option<L> {
        if !self.needs_list || self.requested_from.is_some() {
            return None;
        }
        let has_waited = now.since(self.connected_since) >= OWN_ZONE_WAIT;
        let candidates = self.links.iter().filter(|(_, known)| known.is_own_zone || has_waited);
        let chosen = candidates.max_by_key(|(link, known)| (known.is_own_zone, **link));
        self.requested_from = chosen.map(|(link, _)| *link);
        self.requested_from
    }

    /// A digest was received; `matches` is whether it is that of the own directory. Returns whether
    /// the whole list should be requested from its sender.
    pub fn on_digest(&mut self, now: Timestamp, link: L, matches: bool) -> bool {
        let Some(known) = self.links.get_mut(&link) else {
            return false;
        };
        if matches {
            known.differs_since = None;
            self.pause = FIRST_PAUSE;
            return false;
        }
        let since = *known.differs_since.get_or_insert(now);
        if now.since(since) < MISMATCH_TIME || now < self.paused_until || self.needs_list {
            return false;
        }
        known.differs_since = None;
        self.paused_until = now + self.pause;
        self.pause = Millis((self.pause.0 * 2).min(MAX_PAUSE.0));
        true
    }
}
