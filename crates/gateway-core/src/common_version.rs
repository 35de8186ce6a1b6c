//! The software version that must have begun a stream of which nothing else is known.
//!
//! A caller may resume a stream without saying which attempt began it. If all engines of the service
//! that can have begun it have one version, that is the stream's version. A process that has started
//! since may not know all of them: an engine that has ended without a departure is known only to
//! processes that ran before, and one that has left may be known by name only.

use crate::directory::{EngineDirectory, EngineRecord};
use crate::engine_notice::EngineState;
use stackpost_types::{Millis, ServiceName, SoftwareVersion, Timestamp};

/// The version of all engines of a service that can have begun a stream of at most `longest_stream`
/// that has not ended yet. `None` if there are several, or if the directory may not hold all of
/// these engines.
pub fn common_version(
    directory: &EngineDirectory,
    service: &ServiceName,
    now: Timestamp,
    longest_stream: Millis,
) -> Option<SoftwareVersion> {
    let is_recent = |at: Timestamp| now.since(at) < longest_stream;
    // The fleet has known an engine for as long as a stream may last, so it has known all engines
    // for as long.
    let reaches_back = directory.iter().any(|record| !is_recent(record.known_since()));
    let may_have_begun = |record: &&EngineRecord| {
        record.notice.state != EngineState::Gone || is_recent(record.announced_at)
    };
    let candidates: Vec<&EngineRecord> = directory.iter().filter(may_have_begun).collect();
    if !reaches_back || candidates.iter().any(|record| record.is_name_only()) {
        return None;
    }
    let mut versions = candidates
        .iter()
        .filter(|record| record.notice.service == *service)
        .map(|record| &record.notice.software);
    let first = versions.next()?;
    versions.all(|version| version == first).then(|| first.clone())
}
