//! Newtypes for the names that appear in the table and in messages.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a name in the table, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// A failure domain with its own routers and back ends.
    ZoneName
);
name_type!(
    /// A machine that runs processes of this system.
    MachineName
);
name_type!(
    /// A customer that owns API keys and draws on budgets.
    TenantName
);
name_type!(
    /// A prepaid amount of tokens.
    BudgetName
);
name_type!(
    /// A group of interchangeable back ends.
    ServiceName
);
name_type!(
    /// One model engine or one plain server.
    BackEndName
);
name_type!(
    /// Version of the software of an engine; empty if the engine does not state it.
    SoftwareVersion
);
name_type!(
    /// The name of a model, as used by callers.
    ModelName
);
name_type!(
    /// A path rule for a plain service.
    RouteName
);
name_type!(
    /// A person or program that edits the table.
    OperatorName
);

impl Default for SoftwareVersion {
    /// A version that is not stated.
    fn default() -> Self {
        Self::new("")
    }
}

/// Separates an engine's id from its start time. No id contains it.
const INCARNATION_SEPARATOR: char = '@';

impl BackEndName {
    /// Names one incarnation of an engine that may restart under the same id. `started_at_ms` is
    /// its start time in Unix milliseconds; without it the id alone names the engine's only
    /// incarnation.
    pub fn of_incarnation(id: &str, started_at_ms: Option<u64>) -> Self {
        match started_at_ms {
            Some(started_at_ms) => Self::new(format!("{id}{INCARNATION_SEPARATOR}{started_at_ms}")),
            None => Self::new(id),
        }
    }

    /// The engine's id, which is the same for all its incarnations.
    pub fn id(&self) -> &str {
        self.as_str().split_once(INCARNATION_SEPARATOR).map_or(self.as_str(), |(id, _)| id)
    }

    /// Start time of this incarnation in Unix milliseconds; zero if the engine does not state it.
    pub fn started_at_ms(&self) -> u64 {
        let started_at_ms = self
            .as_str()
            .split_once(INCARNATION_SEPARATOR)
            .and_then(|(_, started_at_ms)| started_at_ms.parse().ok());
        started_at_ms.unwrap_or(0)
    }
}

/// Whether `text` may be used as a name: 1 to 64 bytes of letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Identifies one run of a process: chosen at random at every start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One incarnation of a router process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine the process runs on.
    pub machine: MachineName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.machine, self.incarnation.0)
    }
}

/// How an account is protected against the loss of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AccountKind {
    /// Every change is replicated to a backup before it takes effect; the backup can take over the
    /// account.
    Mirrored,
    /// Held by its owner only, for a machine that has lost every backup. Never taken over: whatever
    /// it holds counts as spent until the owner itself reports.
    Solo,
}

/// Id of an account that holds spending rights, named after the router incarnation that opened it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId {
    /// The router incarnation that opened the account.
    pub opener: NodeId,
    /// How the account is protected.
    pub kind: AccountKind,
}

impl AccountId {
    /// The mirrored account that `node` opens when it starts.
    pub fn mirrored(node: &NodeId) -> Self {
        Self { opener: node.clone(), kind: AccountKind::Mirrored }
    }

    /// The unmirrored account of `node`.
    pub fn solo(node: &NodeId) -> Self {
        Self { opener: node.clone(), kind: AccountKind::Solo }
    }
}

impl fmt::Display for AccountId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            AccountKind::Mirrored => write!(formatter, "{}", self.opener),
            AccountKind::Solo => write!(formatter, "{}/solo", self.opener),
        }
    }
}

/// Number of an account's view, incremented with each change of the view. Messages with an older
/// epoch are refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Index of a committed entry of the replicated log; also the version of the data it wrote.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identifies one request across all routers and attempts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl RequestId {
    /// Parses hexadecimal digits, as `Display` writes them; fewer than 32 are accepted.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}
