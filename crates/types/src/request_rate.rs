//! Request rates, as stated by engines.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use thiserror::Error;

/// A number of requests per second, stored as requests per thousand seconds and rounded down, so
/// that a parsed rate never exceeds the stated one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

/// A text that is not a valid rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a decimal number of requests per second up to {}", RequestRate::MAX)]
pub struct ParseRateError;

impl RequestRate {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// One million requests per second. No server handles more, so a larger number is treated as a
    /// mistake.
    pub const MAX: Self = Self(1_000_000_000);

    /// A rate in requests per thousand seconds, limited to [`Self::MAX`].
    pub fn from_milli_rps(requests: u32) -> Self {
        Self(requests).min(Self::MAX)
    }

    /// The rate in requests per thousand seconds.
    pub fn milli_rps(self) -> u64 {
        u64::from(self.0)
    }
}

impl Add for RequestRate {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0)).min(Self::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    /// Parses decimal digits with at most one point: no sign, exponent or comma.
    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        let text = text.trim();
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let per_second: f64 = text.parse().map_err(|_| ParseRateError)?;
        let largest = f64::from(Self::MAX.0) / 1_000.0;
        if !is_decimal || per_second > largest {
            return Err(ParseRateError);
        }
        // Rounding errors may leave the product slightly below the whole number that the text
        // states.
        let milli_rps = (per_second * 1_000.0 + ROUNDING_TOLERANCE).floor();
        Ok(Self(milli_rps as u32))
    }
}

/// Larger than the rounding error of the floating-point product, and much smaller than one.
const ROUNDING_TOLERANCE: f64 = 1e-6;
