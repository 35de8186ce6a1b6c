//! Which software version of an engine began each stream, and which routers keep that record.
//!
//! Events of different versions must not be mixed in one stream. A caller that resumes a stream at
//! another router names only the attempt that began it. So the router that passes on a stream's
//! first event sends the version to the stream's recorders: the best ranked router of each of two
//! zones. The caller's next router asks the best ranked router of every zone, so that it finds a
//! recorder although the two routers' lists of routers differ.
//!
//! Invariant: a stream has one version. The record is made once the first event has been received,
//! after which no engine of another version is used; if two versions are recorded for one stream,
//! none of them is returned.

use crate::ranked_routers::RankedRouters;
use serde::{Deserialize, Serialize};
use stackpost_types::{Digest, Millis, SoftwareVersion, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of routers, each in another zone, that record a stream.
const RECORDERS: usize = 2;
/// Time for which a record is kept: several times the longest stream.
const RETENTION: Millis = Millis(60_000);
/// Maximum number of records, the newest ones: about 3 MB.
const MAX_RECORDS: usize = 32_768;

/// Identifies a stream by the id of the caller's attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that the attempt with this id began.
    pub fn of(attempt_id: &str) -> Self {
        Self(Digest::of(&[attempt_id.as_bytes()]).to_u64())
    }

    /// The routers that record the stream. In a fleet of one zone it is only one.
    pub fn recorders(self, routers: &RankedRouters) -> Vec<SocketAddr> {
        let mut ranked = self.candidates(routers);
        ranked.truncate(RECORDERS);
        ranked
    }

    /// The routers to ask for the record. The recorders are among them, also by a list of routers
    /// that differs in one zone.
    pub fn candidates(self, routers: &RankedRouters) -> Vec<SocketAddr> {
        routers.best_of_zones(self.0)
    }
}

#[derive(Clone, Debug)]
enum Record {
    Version(SoftwareVersion),
    /// Two versions were recorded, so the id was used twice.
    Conflicting,
}

/// The records of one router.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    records: HashMap<StreamKey, Record>,
    /// When each record was made, the oldest first.
    recorded: VecDeque<(Timestamp, StreamKey)>,
}

impl StreamVersions {
    /// Records the version that began a stream.
    pub fn record(&mut self, now: Timestamp, stream: StreamKey, version: SoftwareVersion) {
        self.remove_expired(now);
        match self.records.get_mut(&stream) {
            Some(Record::Version(known)) if *known == version => {}
            Some(known) => *known = Record::Conflicting,
            None => {
                self.records.insert(stream, Record::Version(version));
                self.recorded.push_back((now, stream));
            }
        }
    }

    /// The version that began a stream, if this router has recorded it.
    pub fn version(&self, stream: StreamKey) -> Option<&SoftwareVersion> {
        match self.records.get(&stream)? {
            Record::Version(version) => Some(version),
            Record::Conflicting => None,
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, stream)) = self.recorded.front().copied() {
            if now.since(at) < RETENTION && self.recorded.len() < MAX_RECORDS {
                return;
            }
            self.records.remove(&stream);
            self.recorded.pop_front();
        }
    }
}
