//! Ids of the events of a stream.

use serde::Serialize;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The id of an event of a stream. Ids rise within a stream.
///
/// Only the plain decimal form of a number is an id, so that the text sent to an engine is the one
/// that the engine wrote: no sign, leading zero, fraction or exponent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct EventId(pub u64);

/// A text that is not an event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a whole number from 0 to {} in plain decimal form", u64::MAX)]
pub struct ParseEventIdError;

impl FromStr for EventId {
    type Err = ParseEventIdError;

    fn from_str(text: &str) -> Result<Self, ParseEventIdError> {
        let has_leading_zero = text.len() > 1 && text.starts_with('0');
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        if has_leading_zero || !is_decimal {
            return Err(ParseEventIdError);
        }
        text.parse().map(Self).map_err(|_| ParseEventIdError)
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
