//! Invariants, checked against the histories of callers, engines, bills and control replicas,
//! never against a counter of the system itself.

use crate::callers::{AttemptEnd, CallerRecord};
use crate::engines::Execution;
use crate::world::World;
use stackpost_ledger::Bill;
use stackpost_router_core::ExecutionOutcome;
use stackpost_table::{AccountState, Row, RowKey};
use stackpost_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Time after which a leaving back end must receive no new requests.
const LEAVING_GRACE_MS: u64 = 4_000;

/// One of the eight invariants that the system guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[allow(missing_docs)]
pub enum Invariant {
    NoOverspend,
    BilledOnce,
    OwnCompleteAnswer,
    NotRunNeverExecuted,
    AtMostOnce,
    NoNewWorkWhenLeaving,
    PlannedStopInterruptsNothing,
    ConfigurationInForce,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was found.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.invariant, self.what)
    }
}

/// The bills of a fleet, and the accounts known to be lost.
struct Bills {
    by_request: BTreeMap<RequestId, Vec<Bill>>,
    lost_accounts: BTreeSet<AccountId>,
}

/// Checks all invariants on a fleet that has settled after its faults were healed.
pub fn check(world: &World) -> Vec<Violation> {
    let bills = collect_bills(world);
    let mut found = Vec::new();
    let mut add = |invariant, what: String| found.push(Violation { invariant, what });
    check_spend(world, &bills, &mut add);
    for record in world.callers.records.values() {
        check_caller(world, record, &bills, &mut add);
    }
    check_leaving(world, &mut add);
    check_configuration(world, &mut add);
    found
}

fn collect_bills(world: &World) -> Bills {
    let mut unique: BTreeMap<(AccountId, u64), Bill> = BTreeMap::new();
    for (_, replica) in world.live_replicas() {
        for (account, bill) in replica.bills().read_all().unwrap_or_default() {
            unique.insert((account, bill.sequence), bill);
        }
    }
    // Bills that a majority of the replicas has not yet stored count too.
    for (_, router) in world.live_routers() {
        for account in router.accounts() {
            for (sequence, bill) in account.state().bills() {
                unique.insert((account.id().clone(), *sequence), bill.clone());
            }
        }
    }
    let mut by_request: BTreeMap<RequestId, Vec<Bill>> = BTreeMap::new();
    for bill in unique.into_values() {
        by_request.entry(bill.request).or_default().push(bill);
    }
    let table = world.live_replicas().map(|(_, replica)| replica.state().table()).next();
    let lost_accounts = table
        .into_iter()
        .flat_map(|table| table.accounts())
        .filter(|(_, row)| row.state == AccountState::Lost)
        .map(|(account, _)| account.clone())
        .collect();
    Bills { by_request, lost_accounts }
}

/// The largest limit that any edit set for each budget.
fn largest_limits(world: &World) -> BTreeMap<BudgetName, Tokens> {
    let mut limits: BTreeMap<BudgetName, Tokens> = BTreeMap::new();
    for record in &world.edits {
        if let (RowKey::Budget(name), Some(Row::Budget(row))) = (&record.edit.key, &record.edit.row)
        {
            let known = limits.entry(name.clone()).or_default();
            *known = row.limit.max(*known);
        }
    }
    limits
}

fn check_spend(world: &World, bills: &Bills, add: &mut impl FnMut(Invariant, String)) {
    let limits = largest_limits(world);
    let mut spent: BTreeMap<&BudgetName, Tokens> = BTreeMap::new();
    for bill in bills.by_request.values().flatten() {
        *spent.entry(&bill.budget).or_default() += bill.tokens;
    }
    for (budget, tokens) in spent {
        let limit = limits.get(budget).copied().unwrap_or_default();
        if tokens > limit {
            add(Invariant::NoOverspend, format!("{budget}: billed {tokens}, limit {limit}"));
        }
    }
    for (machine, router) in world.live_routers() {
        for account in router.accounts() {
            for (budget, holding) in account.state().holdings() {
                if holding.is_overdrawn() {
                    let what = format!("{machine}: {} of {budget} is overdrawn", account.id());
                    add(Invariant::NoOverspend, what);
                }
            }
        }
    }
    check_delivered(world, &limits, add);
}

/// Checks that the tokens of the responses that reached their callers fit the budgets as well.
fn check_delivered(
    world: &World,
    limits: &BTreeMap<BudgetName, Tokens>,
    add: &mut impl FnMut(Invariant, String),
) {
    let mut delivered: BTreeMap<BudgetName, Tokens> = BTreeMap::new();
    for record in world.callers.records.values().filter(|record| record.is_answered()) {
        let budget = BudgetName::new(crate::fleet::FleetShape::tenant(record.plan.tenant));
        let tokens = if record.plan.plain { crate::fleet::PLAIN_COST } else { record.plan.tokens };
        *delivered.entry(budget).or_default() += Tokens(tokens);
    }
    for (budget, tokens) in delivered {
        let limit = limits.get(&budget).copied().unwrap_or_default();
        if tokens > limit {
            add(Invariant::NoOverspend, format!("{budget}: delivered {tokens}, limit {limit}"));
        }
    }
}

fn check_caller(
    world: &World,
    record: &CallerRecord,
    bills: &Bills,
    add: &mut impl FnMut(Invariant, String),
) {
    check_bills(record, bills, add);
    check_content(record, add);
    check_refusals(world, record, add);
    check_executions(world, record, add);
    for attempt in &record.attempts {
        if let Some((at, AttemptEnd::Lost { planned: true })) = &attempt.end {
            let what = format!("{} interrupted {} at {at}", attempt.node, attempt.request);
            add(Invariant::PlannedStopInterruptsNothing, what);
        }
        if attempt.end.is_none() {
            let what = format!("{} at {} never ended", attempt.request, attempt.node);
            add(Invariant::OwnCompleteAnswer, what);
        }
    }
}

fn check_bills(record: &CallerRecord, bills: &Bills, add: &mut impl FnMut(Invariant, String)) {
    let of_attempt = |request: &RequestId| bills.by_request.get(request).map_or(0, Vec::len);
    for attempt in &record.attempts {
        let count = of_attempt(&attempt.request);
        if count > 1 {
            add(Invariant::BilledOnce, format!("{}: billed {count} times", attempt.request));
        }
        let not_run = matches!(&attempt.end,
            Some((_, AttemptEnd::Refused(refusal))) if refusal.outcome == ExecutionOutcome::NotRun);
        if not_run && count > 0 {
            add(
                Invariant::BilledOnce,
                format!("{}: refused as not run, but billed", attempt.request),
            );
        }
    }
    // All attempts under one key count as one request; without a key each attempt is a request.
    let answered: Vec<_> = record
        .attempts
        .iter()
        .filter(|attempt| matches!(&attempt.end, Some((_, AttemptEnd::Answered { .. }))))
        .collect();
    let total: usize = record.attempts.iter().map(|a| of_attempt(&a.request)).sum();
    if record.plan.keyed && total > 1 {
        add(Invariant::BilledOnce, format!("caller {}: {total} bills under one key", record.id.0));
    }
    let lost = record
        .attempts
        .iter()
        .any(|attempt| bills.lost_accounts.contains(&AccountId::mirrored(&attempt.node)));
    for attempt in answered {
        let billed = if record.plan.keyed { total } else { of_attempt(&attempt.request) };
        if billed == 0 && !lost {
            add(Invariant::BilledOnce, format!("{}: answered, but not billed", attempt.request));
        }
    }
}

fn check_content(record: &CallerRecord, add: &mut impl FnMut(Invariant, String)) {
    for end in record.ends() {
        if let AttemptEnd::Answered { content } = end
            && *content != record.id
        {
            let what =
                format!("caller {} received the response for caller {}", record.id.0, content.0);
            add(Invariant::OwnCompleteAnswer, what);
        }
    }
}

fn check_refusals(world: &World, record: &CallerRecord, add: &mut impl FnMut(Invariant, String)) {
    for attempt in &record.attempts {
        let Some((ended_at, AttemptEnd::Refused(refusal))) = &attempt.end else { continue };
        if refusal.outcome != ExecutionOutcome::NotRun {
            continue;
        }
        // Under one key, earlier attempts are the same request if they have ended, or if they are
        // still in progress and had run by the time of the refusal. What a parallel attempt runs
        // later is covered by its own response.
        let same = |run: &Execution| {
            record.attempts.iter().filter(|other| other.request == run.request).any(|other| {
                let over = other.end.as_ref().is_some_and(|(at, _)| at <= ended_at);
                let same_key = record.plan.keyed && other.at <= attempt.at;
                other.request == attempt.request || (same_key && (over || run.at <= *ended_at))
            })
        };
        let ran = world.engines.executions.iter().find(|run| same(run));
        if let Some(run) = ran {
            let what = format!(
                "{} was refused at {ended_at} as not run ({}), but {} ran at {} on {}",
                attempt.request, refusal.reason, run.request, run.at, run.back_end
            );
            add(Invariant::NotRunNeverExecuted, what);
        }
    }
}

fn check_executions(world: &World, record: &CallerRecord, add: &mut impl FnMut(Invariant, String)) {
    if record.plan.repeatable {
        return;
    }
    let requests: BTreeSet<RequestId> =
        record.attempts.iter().map(|attempt| attempt.request).collect();
    let runs: Vec<_> =
        world.engines.executions.iter().filter(|run| requests.contains(&run.request)).collect();
    if runs.len() > 1 {
        let what =
            format!("caller {}: non-idempotent request ran more than once: {runs:?}", record.id.0);
        add(Invariant::AtMostOnce, what);
    }
}

fn check_leaving(world: &World, add: &mut impl FnMut(Invariant, String)) {
    for run in &world.engines.executions {
        let back_end = &world.engines.back_ends[&run.back_end];
        if let Some(since) = back_end.leaving_since
            && run.at > since + LEAVING_GRACE_MS
        {
            let what = format!(
                "{} received {} at {}, leaving since {since}",
                run.back_end, run.request, run.at
            );
            add(Invariant::NoNewWorkWhenLeaving, what);
        }
    }
}

fn check_configuration(world: &World, add: &mut impl FnMut(Invariant, String)) {
    for violation in &world.immediate_violations {
        add(Invariant::ConfigurationInForce, violation.clone());
    }
    let newest = world.edits.iter().filter_map(|edit| edit.accepted()).map(|(_, v)| v).max();
    let newest = newest.unwrap_or_default();
    for (machine, router) in world.live_routers() {
        if router.version() < newest {
            let what = format!(
                "{machine} has version {}, the newest accepted version is {newest}",
                router.version()
            );
            add(Invariant::ConfigurationInForce, what);
        }
    }
    for edit in &world.edits {
        if edit.outcome().is_none() {
            let what = format!("{}: edit has no outcome", edit.edit.id.0);
            add(Invariant::ConfigurationInForce, what);
        }
    }
    check_rows(world, add);
}

/// Checks that every router has each row as the accepted edit with the highest version wrote it.
fn check_rows(world: &World, add: &mut impl FnMut(Invariant, String)) {
    let mut last: BTreeMap<&RowKey, (Version, &Option<Row>)> = BTreeMap::new();
    for edit in &world.edits {
        if let Some((_, version)) = edit.accepted() {
            let newest = last.entry(&edit.edit.key).or_insert((version, &edit.edit.row));
            if version >= newest.0 {
                *newest = (version, &edit.edit.row);
            }
        }
    }
    for (machine, router) in world.live_routers() {
        for (key, (version, row)) in &last {
            if router.table().get(key) != row.as_ref() {
                let what = format!("{machine}: {key} differs from what version {version} wrote");
                add(Invariant::ConfigurationInForce, what);
            }
        }
    }
}
