//! Validation of edits before they are accepted.

use crate::{Row, RowKey, ServiceKind, Table};
use serde::{Deserialize, Serialize};
use stackpost_types::{is_valid_name, *};
use thiserror::Error;

/// Largest budget limit that the table accepts. Leaves room for sums over all accounts.
pub const MAX_LIMIT: Tokens = Tokens(1 << 60);

/// Largest weight that the table accepts.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// A field with invalid content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{key}: field `{field}`: found {found}; allowed: {allowed}")]
pub struct FieldError {
    /// Key of the row.
    pub key: String,
    /// Name of the field as operators write it.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

/// The row that is checked and the table it refers to.
struct RowCheck<'a> {
    key: &'a RowKey,
    table: &'a Table,
}

impl RowCheck<'_> {
    fn fail(&self, field: &str, found: impl ToString, allowed: &str) -> Result<(), FieldError> {
        Err(FieldError {
            key: self.key.to_string(),
            field: field.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        })
    }

    fn require_range(
        &self,
        field: &str,
        value: u64,
        low: u64,
        high: u64,
    ) -> Result<(), FieldError> {
        if (low..=high).contains(&value) {
            return Ok(());
        }
        self.fail(field, value, &format!("{low} to {high}"))
    }

    fn require_row(&self, field: &str, key: RowKey) -> Result<(), FieldError> {
        if self.table.get(&key).is_some() {
            return Ok(());
        }
        self.fail(field, &key, "the name of a row that exists")
    }
}

/// Checks that `row` is valid content for `key` and that every row it refers to exists.
pub fn check_row(table: &Table, key: &RowKey, row: &Row) -> Result<(), FieldError> {
    let check = RowCheck { key, table };
    check_name(&check)?;
    match (key, row) {
        (RowKey::Zone(_), Row::Zone(zone)) => {
            check.require_range("weight", zone.weight.into(), 0, MAX_WEIGHT.into())
        }
        (RowKey::Machine(_), Row::Machine(machine)) => {
            check.require_row("zone", RowKey::Zone(machine.zone.clone()))
        }
        (RowKey::Service(_), Row::Service(service)) => check_service(&check, service),
        (RowKey::BackEnd(_), Row::BackEnd(back_end)) => {
            check.require_row("service", RowKey::Service(back_end.service.clone()))?;
            check.require_row("zone", RowKey::Zone(back_end.zone.clone()))?;
            check.require_range("weight", back_end.weight.into(), 0, MAX_WEIGHT.into())
        }
        (RowKey::Route(_), Row::Route(route)) => check_route(&check, route),
        (RowKey::Budget(_), Row::Budget(budget)) => {
            check.require_range("limit", budget.limit.0, 0, MAX_LIMIT.0)
        }
        (RowKey::Tenant(_), Row::Tenant(tenant)) => check_tenant(&check, tenant),
        (RowKey::Policy, Row::Policy(policy)) => check_policy(&check, policy),
        _ => check.fail("row", "content of another table", "content of the row's own table"),
    }
}

/// Checks that the row `key` may be deleted: no other row refers to it.
pub fn check_delete(table: &Table, key: &RowKey) -> Result<(), FieldError> {
    let check = RowCheck { key, table };
    if matches!(key, RowKey::Policy | RowKey::Budget(_)) {
        return check.fail("row", "a deletion", "an edit: this row can't be deleted");
    }
    let other = table.rows().find(|(_, row)| refers_to(row, key));
    match other {
        None => Ok(()),
        Some((other, _)) => {
            check.fail("row", format!("used by {other}"), "a row that nothing uses")
        }
    }
}

fn refers_to(row: &Row, key: &RowKey) -> bool {
    match (row, key) {
        (Row::Machine(machine), RowKey::Zone(zone)) => machine.zone == *zone,
        (Row::BackEnd(back_end), RowKey::Zone(zone)) => back_end.zone == *zone,
        (Row::BackEnd(back_end), RowKey::Service(service)) => back_end.service == *service,
        (Row::Route(route), RowKey::Service(service)) => route.service == *service,
        (Row::Tenant(tenant), RowKey::Zone(zone)) => tenant.home_zone == *zone,
        (Row::Account(account), RowKey::Zone(zone)) => account.zone == *zone,
        _ => false,
    }
}

fn check_name(check: &RowCheck<'_>) -> Result<(), FieldError> {
    let text = check.key.to_string();
    let name = text.split_once('/').map(|(_, name)| name).unwrap_or_default();
    if is_valid_name(name) {
        return Ok(());
    }
    check.fail("name", format!("`{name}`"), "1 to 64 letters, digits, `-`, `_` or `.`")
}

fn check_service(check: &RowCheck<'_>, service: &crate::ServiceRow) -> Result<(), FieldError> {
    let has_models = !service.models.is_empty();
    if has_models != (service.kind == ServiceKind::Model) {
        return check.fail(
            "models",
            format!("{} models", service.models.len()),
            "at least one for kind `model`, none for kind `plain`",
        );
    }
    check.require_range("queue_limit", service.queue_limit.into(), 0, 1_000_000)?;
    check.require_range("back_end_concurrency", service.back_end_concurrency.into(), 1, 100_000)?;
    check.require_range("queue_wait_ms", service.queue_wait_ms, 0, 600_000)?;
    check.require_range("max_tokens_limit", service.max_tokens_limit, 1, 10_000_000)
}

fn check_route(check: &RowCheck<'_>, route: &crate::RouteRow) -> Result<(), FieldError> {
    if !route.path_prefix.starts_with('/') || route.path_prefix.starts_with("/v1/") {
        let found = format!("`{}`", route.path_prefix);
        return check.fail("path_prefix", found, "a path that begins with `/`, but not `/v1/`");
    }
    check.require_row("service", RowKey::Service(route.service.clone()))?;
    check.require_range("cost", route.cost.0, 0, MAX_LIMIT.0)
}

fn check_tenant(check: &RowCheck<'_>, tenant: &crate::TenantRow) -> Result<(), FieldError> {
    check.require_row("budget", RowKey::Budget(tenant.budget.clone()))?;
    check.require_row("home_zone", RowKey::Zone(tenant.home_zone.clone()))?;
    check.require_range("weight", tenant.weight.into(), 1, MAX_WEIGHT.into())?;
    for hash in &tenant.key_hashes {
        let well_formed = hash.0.len() == 64 && hash.0.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return check.fail("key_hashes", format!("`{}`", hash.0), "64 hexadecimal digits");
        }
        let owner = check.table.tenant_of_key(hash).map(|name| RowKey::Tenant(name.clone()));
        let other_owner = owner.filter(|owner| owner != check.key);
        if let Some(other) = other_owner {
            return check.fail("key_hashes", format!("a key of {other}"), "a key of one tenant");
        }
    }
    Ok(())
}

fn check_policy(check: &RowCheck<'_>, policy: &crate::PolicyRow) -> Result<(), FieldError> {
    check.require_range("floor_share_permille", policy.floor_share_permille.into(), 0, 1_000)?;
    check.require_range("solo_share_permille", policy.solo_share_permille.into(), 0, 500)?;
    check.require_range("level_interval_ms", policy.level_interval_ms, 100, 3_600_000)?;
    check.require_range("chunk_seconds", policy.chunk_seconds.into(), 0, 600)?;
    check.require_range("rights_wait_ms", policy.rights_wait_ms, 0, 60_000)?;
    check.require_range("key_retention_ms", policy.key_retention_ms, 1_000, 86_400_000)?;
    check.require_range("router_timeout_ms", policy.router_timeout_ms, 500, 600_000)?;
    check.require_range("drain_deadline_ms", policy.drain_deadline_ms, 0, 86_400_000)?;
    check.require_range("retry_permille", policy.retry_permille.into(), 0, 1_000)?;
    check.require_range("eject_after_failures", policy.eject_after_failures.into(), 1, 1_000)?;
    check.require_range("eject_ms", policy.eject_ms, 100, 600_000)
}
