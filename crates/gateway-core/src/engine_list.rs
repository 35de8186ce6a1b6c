//! Which control process sends a router its list of engines.
//!
//! The load: several hundred routers are connected to every control process. If every control
//! process sent every engine to every router, a start of a fleet of 3,000 engines would cost some
//! 40 MB per control process, most of it between zones. So a router subscribes to one process,
//! preferably in its own zone, which sends it the full list and then the changes, including which
//! engines are silent or cold.
//!
//! That process may lag behind the others. So all of them send a digest of their list, and a router
//! whose digest has differed from one of them for some time, while neither list changed, requests
//! that list once. A difference while either list changes is normal: processes receive the same
//! change at different times. Departures are committed and sent by the leader in any case.

use crate::directory::EngineDirectory;
use crate::engine_notice::EngineState;
use crate::hashing::mix;
use serde::{Deserialize, Serialize};
use stackpost_types::{Digest, Millis, Timestamp};
use std::collections::BTreeMap;

/// Time for which a router waits for a control process of its own zone before it asks another.
const OWN_ZONE_WAIT: Millis = Millis(300);
/// Time for which the same two digests must differ: longer than a change takes to reach all
/// processes.
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
    /// The own digest and that of its process, and since when these two have differed.
    difference: Option<(EngineListDigest, EngineListDigest, Timestamp)>,
}

/// One router's subscription, over connections `L` to control processes.
#[derive(Clone, Debug)]
pub struct EngineSubscription<L> {
    links: BTreeMap<L, KnownLink>,
    subscribed: Option<L>,
    /// Since when there is a connection but no subscription.
    waiting_since: Option<Timestamp>,
    pause: Millis,
    paused_until: Timestamp,
}

impl<L> Default for EngineSubscription<L> {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            subscribed: None,
            waiting_since: None,
            pause: FIRST_PAUSE,
            paused_until: Timestamp(0),
        }
    }
}

impl<L: Ord + Copy> EngineSubscription<L> {
    /// A connection was opened. Returns whether to subscribe to its process.
    pub fn on_up(&mut self, now: Timestamp, link: L, is_own_zone: bool) -> bool {
        self.links.insert(link, KnownLink { is_own_zone, difference: None });
        self.waiting_since.get_or_insert(now);
        let is_chosen = self.subscribed.is_none() && is_own_zone;
        if is_chosen {
            self.subscribed = Some(link);
        }
        is_chosen
    }

    /// A connection was closed.
    pub fn on_down(&mut self, now: Timestamp, link: L) {
        self.links.remove(&link);
        if self.subscribed == Some(link) {
            self.subscribed = None;
            self.waiting_since = Some(now);
        }
        if self.links.is_empty() {
            self.waiting_since = None;
        }
    }

    /// A full list was received over a connection. Returns whether it was wanted once only.
    pub fn on_list(&mut self, link: L) -> bool {
        self.subscribed != Some(link)
    }

    /// Returns the connection to subscribe to now, if there is no subscription: no process of the
    /// own zone is connected, or the one that was subscribed to has gone.
    pub fn due(&mut self, now: Timestamp) -> Option<L> {
        if self.subscribed.is_some() {
            return None;
        }
        let since = self.waiting_since?;
        let has_waited = now.since(since) >= OWN_ZONE_WAIT;
        let candidates = self.links.iter().filter(|(_, known)| known.is_own_zone || has_waited);
        let chosen = candidates.max_by_key(|(link, known)| (known.is_own_zone, **link));
        self.subscribed = chosen.map(|(link, _)| *link);
        self.subscribed
    }

    /// The connection whose process sends the list and its changes.
    pub fn subscribed(&self) -> Option<L> {
        self.subscribed
    }

    /// A digest was received; `own` is that of the own directory. Returns whether its sender should
    /// be asked for its list.
    pub fn on_digest(
        &mut self,
        now: Timestamp,
        link: L,
        own: EngineListDigest,
        received: EngineListDigest,
    ) -> bool {
        let Some(known) = self.links.get_mut(&link) else {
            return false;
        };
        if own == received {
            known.difference = None;
            self.pause = FIRST_PAUSE;
            return false;
        }
        let same = known.difference.filter(|(ours, theirs, _)| (*ours, *theirs) == (own, received));
        let since = same.map_or(now, |(_, _, since)| since);
        known.difference = Some((own, received, since));
        if now.since(since) < MISMATCH_TIME || now < self.paused_until {
            return false;
        }
        known.difference = None;
        self.paused_until = now + self.pause;
        self.pause = Millis((self.pause.0 * 2).min(MAX_PAUSE.0));
        true
    }
}
