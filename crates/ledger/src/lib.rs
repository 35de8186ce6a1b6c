//! Spending rights without I/O.
//!
//! Rights to spend a budget are split among accounts, as in a bounded counter (Balegas et al.,
//! "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants", 2015): each
//! pair of accounts has one monotone total of rights transferred, merged by maximum, so that
//! delayed, reordered and duplicated messages are harmless. An account spends only what it holds;
//! the sum of what all accounts hold and have spent never exceeds what was issued.
//!
//! [`AccountState`] is the replicated state of an account. Its owner changes it through
//! [`OwnedAccount`], which numbers each change, a [`Record`], and releases its effects only once
//! the backup has acknowledged it. [`MirroredAccount`] is the backup's copy. [`policy`] decides how
//! much is transferred.

mod holding;
mod mirror;
mod owner;
pub mod policy;
mod record;
mod state;

pub use holding::Holding;
pub use mirror::{MirrorAck, MirrorMessage, MirroredAccount};
pub use owner::{OwnedAccount, ViewChange};
pub use record::{Bill, BillKind, Intent, KeyClaim, KeyDigest, Record, StoredAnswer};
pub use state::AccountState;
