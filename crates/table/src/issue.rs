//! Issue of a budget's rights to the zones, and their recall.

use crate::{IssueRow, Row, RowKey, Table};
use stackpost_types::*;

/// Adjusts the issue of `budget` to `limit`. Rights that are not issued yet go to zones with an
/// active account, each up to its share by weight; rights that zones hold above the limit are
/// recalled. `pool + held` never exceeds the larger of the limit and what was held before.
pub fn issue_to_zones(table: &Table, budget: &BudgetName, limit: Tokens) -> IssueRow {
    let mut issue = match table.get(&RowKey::Issue(budget.clone())) {
        Some(Row::Issue(issue)) => issue.clone(),
        _ => IssueRow::default(),
    };
    let held = issue.held();
    issue.recall = held - limit;
    issue.pool = limit - held;
    let weights = zone_weights(table);
    let total_weight: u64 = weights.iter().map(|(_, weight)| weight).sum();
    for (zone, weight) in &weights {
        let share = limit.scaled(*weight, total_weight);
        let already_issued = issue.by_zone.get(zone).copied().unwrap_or_default();
        let amount = (share - already_issued).min(issue.pool);
        if amount.is_zero() {
            continue;
        }
        if let Some(account) = receiving_account(table, zone, budget) {
            *issue.issued.entry(account).or_default() += amount;
            *issue.by_zone.entry(zone.clone()).or_default() += amount;
            issue.pool = issue.pool - amount;
        }
    }
    issue_remainder(table, budget, &mut issue, &weights);
    issue
}

/// Issues the few tokens that rounding leaves in the pool to the first zone, once every zone has
/// its share.
fn issue_remainder(
    table: &Table,
    budget: &BudgetName,
    issue: &mut IssueRow,
    weights: &[(ZoneName, u64)],
) {
    let max_rounding = Tokens(weights.len() as u64);
    if issue.pool.is_zero() || issue.pool > max_rounding {
        return;
    }
    let Some((zone, _)) = weights.first() else {
        return;
    };
    if let Some(account) = receiving_account(table, zone, budget) {
        *issue.issued.entry(account).or_default() += issue.pool;
        *issue.by_zone.entry(zone.clone()).or_default() += issue.pool;
        issue.pool = Tokens::ZERO;
    }
}

fn zone_weights(table: &Table) -> Vec<(ZoneName, u64)> {
    let weight_of = |(key, row): (&RowKey, &Row)| match (key, row) {
        (RowKey::Zone(name), Row::Zone(zone)) => Some((name.clone(), u64::from(zone.weight))),
        _ => None,
    };
    table.rows().filter_map(weight_of).collect()
}

/// The active account of `zone` that ranks highest for `budget`.
fn receiving_account(table: &Table, zone: &ZoneName, budget: &BudgetName) -> Option<AccountId> {
    let rank = |account: &AccountId| rendezvous_rank(budget.as_str(), &account.to_string());
    active_accounts(table, zone).max_by_key(rank)
}

/// The active accounts of a zone.
pub(crate) fn active_accounts<'a>(
    table: &'a Table,
    zone: &'a ZoneName,
) -> impl Iterator<Item = AccountId> + 'a {
    table
        .accounts()
        .filter(move |(_, row)| row.zone == *zone && row.state == crate::AccountState::Active)
        .map(|(account, _)| account.clone())
}
