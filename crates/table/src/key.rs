//! Keys of rows.

use serde::{Deserialize, Serialize};
use stackpost_types::*;
use std::fmt;

/// Identifies a row. The last three variants are written by the control plane alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RowKey {
    /// A zone.
    Zone(ZoneName),
    /// A machine.
    Machine(MachineName),
    /// A service.
    Service(ServiceName),
    /// A back end.
    BackEnd(BackEndName),
    /// A routing rule for a path.
    Route(RouteName),
    /// A prepaid budget.
    Budget(BudgetName),
    /// A tenant.
    Tenant(TenantName),
    /// The options of the whole fleet.
    Policy,
    /// The owner, backup and state of an account.
    Account(AccountId),
    /// Rights issued for a budget.
    Issue(BudgetName),
    /// The accounts that keep the idempotency keys of a zone.
    KeySlots(ZoneName),
}

/// The kinds of row that operators edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum TableName {
    Zone,
    Machine,
    Service,
    BackEnd,
    Route,
    Budget,
    Tenant,
    Policy,
}

impl TableName {
    /// Every editable kind. Rows refer only to kinds that come before their own.
    pub const ALL: [Self; 8] = [
        Self::Policy,
        Self::Zone,
        Self::Machine,
        Self::Service,
        Self::BackEnd,
        Self::Route,
        Self::Budget,
        Self::Tenant,
    ];

    /// The kind's name as operators write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Machine => "machine",
            Self::Service => "service",
            Self::BackEnd => "back_end",
            Self::Route => "route",
            Self::Budget => "budget",
            Self::Tenant => "tenant",
            Self::Policy => "policy",
        }
    }

    /// Parses a name that [`Self::as_str`] returns.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|table| table.as_str() == text)
    }

    /// The key of the row `name` of this kind.
    pub fn key(self, name: &str) -> RowKey {
        match self {
            Self::Zone => RowKey::Zone(name.into()),
            Self::Machine => RowKey::Machine(name.into()),
            Self::Service => RowKey::Service(name.into()),
            Self::BackEnd => RowKey::BackEnd(name.into()),
            Self::Route => RowKey::Route(name.into()),
            Self::Budget => RowKey::Budget(name.into()),
            Self::Tenant => RowKey::Tenant(name.into()),
            Self::Policy => RowKey::Policy,
        }
    }
}

impl RowKey {
    /// The kind of the row; `None` if operators can't edit it.
    pub fn table(&self) -> Option<TableName> {
        match self {
            Self::Zone(_) => Some(TableName::Zone),
            Self::Machine(_) => Some(TableName::Machine),
            Self::Service(_) => Some(TableName::Service),
            Self::BackEnd(_) => Some(TableName::BackEnd),
            Self::Route(_) => Some(TableName::Route),
            Self::Budget(_) => Some(TableName::Budget),
            Self::Tenant(_) => Some(TableName::Tenant),
            Self::Policy => Some(TableName::Policy),
            Self::Account(_) | Self::Issue(_) | Self::KeySlots(_) => None,
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(name) => write!(formatter, "zone/{name}"),
            Self::Machine(name) => write!(formatter, "machine/{name}"),
            Self::Service(name) => write!(formatter, "service/{name}"),
            Self::BackEnd(name) => write!(formatter, "back_end/{name}"),
            Self::Route(name) => write!(formatter, "route/{name}"),
            Self::Budget(name) => write!(formatter, "budget/{name}"),
            Self::Tenant(name) => write!(formatter, "tenant/{name}"),
            Self::Policy => write!(formatter, "policy/fleet"),
            Self::Account(account) => write!(formatter, "account/{account}"),
            Self::Issue(name) => write!(formatter, "issue/{name}"),
            Self::KeySlots(name) => write!(formatter, "key_slots/{name}"),
        }
    }
}
