//! Versioned rows, and the deltas by which routers update their copies.

use crate::{AccountRow, Row, RowKey};
use serde::{Deserialize, Serialize};
use stackpost_types::{AccountId, AccountKind, BudgetName, Incarnation, MachineName, NodeId};
use stackpost_types::{KeyHash, TenantName, Version, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A row with the version that last wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Log index of the write.
    pub version: Version,
    /// The content, shared between copies of this version. `None` for a deleted row, which is kept
    /// so that deltas include the deletion.
    pub row: Option<Arc<Row>>,
}

/// Every row that changed after `from`, up to `to`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the receiver must hold at least.
    pub from: Version,
    /// The version the receiver holds afterwards.
    pub to: Version,
    /// The changed rows.
    pub rows: Vec<(RowKey, Versioned)>,
}

/// All rows, at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: Version,
    rows: BTreeMap<RowKey, Versioned>,
    by_version: BTreeSet<(Version, RowKey)>,
    tenant_by_key: BTreeMap<KeyHash, TenantName>,
}

impl Table {
    /// Rebuilds a table from all of its rows.
    pub fn from_rows(version: Version, rows: Vec<(RowKey, Versioned)>) -> Self {
        let mut table = Self::default();
        for (key, versioned) in rows {
            table.insert_row(key, versioned);
        }
        table.version = version;
        table
    }

    /// Version of the newest log entry that this table reflects.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The row `key`, unless it is absent or deleted.
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)?.row.as_deref()
    }

    /// The row `key` with its version, also if it was deleted.
    pub fn get_versioned(&self, key: &RowKey) -> Option<&Versioned> {
        self.rows.get(key)
    }

    /// Every row that exists, in key order.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows.iter().filter_map(|(key, versioned)| Some((key, versioned.row.as_deref()?)))
    }

    /// Every account with its row.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountId, &AccountRow)> {
        self.rows.range(lowest_account_key()..lowest_issue_key()).filter_map(|(key, versioned)| {
            match (key, versioned.row.as_deref()) {
                (RowKey::Account(id), Some(Row::Account(row))) => Some((id, row)),
                _ => None,
            }
        })
    }

    /// Every row with its version, deleted ones too.
    pub fn all(&self) -> impl Iterator<Item = (&RowKey, &Versioned)> {
        self.rows.iter()
    }

    /// Writes or deletes a row at `version`, which must not be below the table's own.
    pub fn write(&mut self, version: Version, key: RowKey, row: Option<Row>) {
        debug_assert!(version >= self.version);
        self.insert_row(key, Versioned { version, row: row.map(Arc::new) });
        self.version = version;
    }

    /// Advances the table's version without changing rows.
    pub fn advance(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// The changes after `held_version`.
    pub fn delta_since(&self, held_version: Version) -> Delta {
        let rows = self
            .by_version
            .range((Version(held_version.0 + 1), lowest_key())..)
            .map(|(_, key)| (key.clone(), self.rows[key].clone()))
            .collect();
        Delta { from: held_version, to: self.version, rows }
    }

    /// Applies a delta and returns the keys that it changed. Returns `None` if the delta starts
    /// above this table's version or ends at or below it: a table never returns to an older
    /// version.
    pub fn apply(&mut self, delta: &Delta) -> Option<Vec<RowKey>> {
        if delta.from > self.version || delta.to <= self.version {
            return None;
        }
        let mut changed = Vec::new();
        for (key, versioned) in &delta.rows {
            let known = self.rows.get(key).map(|stored| stored.version).unwrap_or_default();
            if versioned.version > known {
                self.insert_row(key.clone(), versioned.clone());
                changed.push(key.clone());
            }
        }
        self.version = delta.to;
        Some(changed)
    }

    /// The tenant that owns the bearer key with this hash.
    pub fn tenant_of_key(&self, hash: &KeyHash) -> Option<&TenantName> {
        self.tenant_by_key.get(hash)
    }

    fn insert_row(&mut self, key: RowKey, versioned: Versioned) {
        let version = versioned.version;
        self.index_tenant(&key, &versioned);
        if let Some(old) = self.rows.insert(key.clone(), versioned) {
            self.by_version.remove(&(old.version, key.clone()));
        }
        self.by_version.insert((version, key));
    }
}

impl Table {
    /// Updates the index of bearer keys for a tenant's row that is about to be replaced.
    fn index_tenant(&mut self, key: &RowKey, new: &Versioned) {
        let RowKey::Tenant(name) = key else { return };
        if let Some(Row::Tenant(old)) = self.rows.get(key).and_then(|stored| stored.row.as_deref())
        {
            for hash in &old.key_hashes {
                self.tenant_by_key.remove(hash);
            }
        }
        if let Some(Row::Tenant(row)) = new.row.as_deref() {
            for hash in &row.key_hashes {
                self.tenant_by_key.insert(hash.clone(), name.clone());
            }
        }
    }
}

/// A key that sorts before every stored key, since names are not empty.
fn lowest_key() -> RowKey {
    RowKey::Zone(ZoneName::new(""))
}

fn lowest_account_key() -> RowKey {
    let opener = NodeId { machine: MachineName::new(""), incarnation: Incarnation(0) };
    RowKey::Account(AccountId { opener, kind: AccountKind::Mirrored })
}

fn lowest_issue_key() -> RowKey {
    RowKey::Issue(BudgetName::new(""))
}
