//! How a list of engine notices is encoded in messages.
//!
//! The software versions follow the notices. A process of an earlier version ignores them, and its
//! own lists end before them, which leaves the versions unstated. So the list must be the last
//! field of its message.

use crate::engine_notice::EngineNotice;
use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserializer, Serializer};
use stackpost_types::SoftwareVersion;
use std::fmt;

/// Parts of an encoded list: the notices and the versions.
const PARTS: usize = 2;

/// Encodes notices, then their versions.
pub fn serialize<S: Serializer>(
    notices: &[EngineNotice],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let versions: Vec<&SoftwareVersion> = notices.iter().map(|notice| &notice.software).collect();
    let mut tuple = serializer.serialize_tuple(PARTS)?;
    tuple.serialize_element(notices)?;
    tuple.serialize_element(&versions)?;
    tuple.end()
}

/// Decodes a list, with or without versions.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<EngineNotice>, D::Error> {
    deserializer.deserialize_tuple(PARTS, NoticeListVisitor)
}

struct NoticeListVisitor;

impl<'de> Visitor<'de> for NoticeListVisitor {
    type Value = Vec<EngineNotice>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("notices and their software versions")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let mut notices: Vec<EngineNotice> = parts.next_element()?.unwrap_or_default();
        // The message of an earlier version ends here.
        let versions: Vec<SoftwareVersion> =
            parts.next_element().ok().flatten().unwrap_or_default();
        for (notice, version) in notices.iter_mut().zip(versions) {
            notice.software = version;
        }
        Ok(notices)
    }
}
