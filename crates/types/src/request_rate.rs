//! How many requests a second somebody takes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use thiserror::Error;

/// A number of requests a second, kept as whole requests in a thousand seconds and rounded down, so that never more
/// is read out of a rate than was stated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

/// A text that states no rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no number of requests a second up to {}", RequestRate::MAX)]
pub struct ParseRateError;

impl RequestRate {
    /// No request at all.
    pub const ZERO: Self = Self(0);
    /// A million a second. Nobody serves as many, so a larger number is taken for a slip.
    pub const MAX: Self = Self(1_000_000_000);

    /// A rate of so many requests in a thousand seconds, [`Self::MAX`] at most.
    pub fn from_milli_rps(requests: u32) -> Self {
        Self(requests).min(Self::MAX)
    }

    /// Requests in a thousand seconds.
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

    /// Reads digits with at most one point among them: no sign, no exponent, no comma.
    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        let text = text.trim();
        let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let a_second: f64 = text.parse().map_err(|_| ParseRateError)?;
        let largest = f64::from(Self::MAX.0) / 1_000.0;
        if !is_plain || a_second > largest {
            return Err(ParseRateError);
        }
        // The product may fall a little short of a whole number that the text states.
        let milli_rps = (a_second * 1_000.0 + ROUNDING_SLACK).floor();
        Ok(Self(milli_rps as u32))
    }
}

/// More than the error of a product of floating-point numbers, and far less than one.
const ROUNDING_SLACK: f64 = 1e-6;
