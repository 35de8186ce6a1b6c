//! The router's copy of the configuration table, with the lookups that requests need.

use stackpost_table::*;
use stackpost_types::*;
use std::collections::BTreeMap;

/// A tenant's name and row.
pub(crate) struct TenantEntry<'a> {
    pub name: &'a TenantName,
    pub row: &'a TenantRow,
}

/// The table with indexes.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    pub table: Table,
    /// Whether a majority of control replicas has confirmed that the first version applied is not
    /// older than one that this machine may have had before.
    pub confirmed: bool,
    service_by_model: BTreeMap<ModelName, ServiceName>,
    routes: Vec<(RouteName, RouteRow)>,
    policy: PolicyRow,
}

impl Directory {
    /// Applies a delta; returns the changed keys if it was newer.
    pub fn apply(&mut self, confirmed: bool, delta: &Delta) -> Option<Vec<RowKey>> {
        if !self.confirmed && !confirmed {
            return None;
        }
        let changed = self.table.apply(delta)?;
        self.confirmed = true;
        let is_indexed =
            |key: &RowKey| matches!(key, RowKey::Service(_) | RowKey::Route(_) | RowKey::Policy);
        if changed.iter().any(is_indexed) {
            self.rebuild_indexes();
        }
        Some(changed)
    }

    pub fn policy(&self) -> &PolicyRow {
        &self.policy
    }

    pub fn tenant(&self, hash: &KeyHash) -> Option<TenantEntry<'_>> {
        let name = self.table.tenant_of_key(hash)?;
        match self.table.get(&RowKey::Tenant(name.clone())) {
            Some(Row::Tenant(row)) => Some(TenantEntry { name, row }),
            _ => None,
        }
    }

    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRow> {
        match self.table.get(&RowKey::Service(name.clone())) {
            Some(Row::Service(row)) => Some(row),
            _ => None,
        }
    }

    pub fn service_of_model(&self, model: &ModelName) -> Option<&ServiceName> {
        self.service_by_model.get(model)
    }

    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.service_by_model.keys()
    }

    /// The route with the longest matching prefix.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteRow> {
        self.routes
            .iter()
            .map(|(_, route)| route)
            .filter(|route| path.starts_with(&route.path_prefix))
            .filter(|route| route.methods.is_empty() || route.methods.iter().any(|m| m == method))
            .max_by_key(|route| route.path_prefix.len())
    }

    pub fn budget_limit(&self, name: &BudgetName) -> Tokens {
        match self.table.get(&RowKey::Budget(name.clone())) {
            Some(Row::Budget(row)) => row.limit,
            _ => Tokens::ZERO,
        }
    }

    pub fn issue(&self, name: &BudgetName) -> Option<&IssueRow> {
        match self.table.get(&RowKey::Issue(name.clone())) {
            Some(Row::Issue(row)) => Some(row),
            _ => None,
        }
    }

    pub fn account(&self, id: &AccountId) -> Option<&AccountRow> {
        match self.table.get(&RowKey::Account(id.clone())) {
            Some(Row::Account(row)) => Some(row),
            _ => None,
        }
    }

    /// The owner of the account `id`, unless the account is lost.
    pub fn owner(&self, id: &AccountId) -> Option<&NodeId> {
        let row = self.account(id)?;
        (row.state != AccountState::Lost).then_some(&row.owner)
    }

    pub fn accounts(&self) -> impl Iterator<Item = (&AccountId, &AccountRow)> {
        self.table.accounts()
    }

    pub fn zone_weight(&self, zone: &ZoneName) -> u64 {
        match self.table.get(&RowKey::Zone(zone.clone())) {
            Some(Row::Zone(row)) => row.weight.into(),
            _ => 0,
        }
    }

    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        self.table.get(&RowKey::Zone(zone.clone())).is_some()
    }

    pub fn zone_count(&self) -> u64 {
        self.table.rows().filter(|(key, _)| matches!(key, RowKey::Zone(_))).count() as u64
    }

    /// The account that stores the keys of `slot` in `zone`, and whether earlier keys were lost.
    pub fn key_slot(&self, zone: &ZoneName, slot: usize) -> Option<(&AccountId, bool)> {
        match self.table.get(&RowKey::KeySlots(zone.clone())) {
            Some(Row::KeySlots(row)) => Some((row.accounts.get(slot)?, *row.forgotten.get(slot)?)),
            _ => None,
        }
    }

    fn rebuild_indexes(&mut self) {
        self.service_by_model.clear();
        self.routes.clear();
        self.policy = PolicyRow::default();
        for (key, row) in self.table.rows() {
            match (key, row) {
                (RowKey::Service(name), Row::Service(service)) => {
                    for model in &service.models {
                        self.service_by_model.insert(model.clone(), name.clone());
                    }
                }
                (RowKey::Route(name), Row::Route(route)) => {
                    self.routes.push((name.clone(), route.clone()));
                }
                (RowKey::Policy, Row::Policy(policy)) => self.policy = policy.clone(),
                _ => {}
            }
        }
    }
}
