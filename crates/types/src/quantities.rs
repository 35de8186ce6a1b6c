//! Token amounts and time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};

/// A number of tokens. Arithmetic saturates instead of wrapping.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Whether the amount is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// `self × numerator / denominator`, rounded down; zero for a zero denominator.
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        if denominator == 0 {
            return Self::ZERO;
        }
        let product = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u64::try_from(product).unwrap_or(u64::MAX))
    }
}

impl Add for Tokens {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Longest retry-after time that is accepted: one day. A longer one is treated as a mistake,
    /// since it would take the server out of use.
    pub const MAX_RETRY_AFTER: Self = Self(86_400_000);

    /// Parses a retry-after time in seconds, with fractions, and rounds it up. `None` for a date, a
    /// negative number or a time longer than [`Self::MAX_RETRY_AFTER`].
    pub fn parse_retry_after(text: &str) -> Option<Self> {
        let seconds: f64 = text.trim().parse().ok()?;
        let longest = Self::MAX_RETRY_AFTER.0 as f64 / 1_000.0;
        (0.0..=longest).contains(&seconds).then(|| Self((seconds * 1_000.0).ceil() as u64))
    }
}

/// A reading of one process's monotonic clock, in milliseconds. Never compared across processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Reading of a process's clock at its start. It is far from zero, which stands for "never",
    /// since ages reported by other processes may reach back to before the start.
    pub const PROCESS_START: Self = Self(86_400_000);

    /// Time passed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Timestamp {
    type Output = Self;
    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

/// Milliseconds since 1970-01-01T00:00:00Z, for display and audit records; never used for
/// decisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);
