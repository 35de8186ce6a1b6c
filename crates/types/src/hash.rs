//! Digests of secrets and contents, and rendezvous hashing.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// The first 16 bytes of a SHA-256 digest (FIPS 180-4).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Digest of `parts`. Each is preceded by its length, so that different splits of the same
    /// bytes give different digests.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let full = hasher.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }

    /// The digest's first eight bytes as a number.
    pub fn to_u64(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

/// SHA-256 of a bearer key in hexadecimal. The key itself is never stored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hash of the bearer key `secret`.
    pub fn of(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

/// Rank of `candidate` for `subject` by highest-random-weight hashing (Thaler and Ravishankar,
/// 1998): every node that knows the same candidates selects the same winner, and when a candidate
/// leaves, only its own subjects move.
pub fn rendezvous_rank(subject: &str, candidate: &str) -> u64 {
    Digest::of(&[subject.as_bytes(), candidate.as_bytes()]).to_u64()
}
