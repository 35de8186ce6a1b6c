//! Runs cells of the fault matrix.

use stackpost_sim::{Defect, Fault, FleetShape, Step, Violation, Workload, World, check};
use stackpost_table::{BudgetRow, Row, RowKey};
use stackpost_types::{BudgetName, Tokens};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Duration of the workload.
const WORKLOAD_DURATION_MS: u64 = 12_000;
/// Time between the end of the workload and the healing of all faults.
const FAULT_DURATION_MS: u64 = 25_000;
/// Time that the fleet has to settle after the healing.
const SETTLE_TIME_MS: u64 = 15_000;
/// Time between two edits.
const EDIT_INTERVAL_MS: u64 = 1_500;

/// One cell of the fault matrix: a fault at a step, with an optional second fault.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub fault: Fault,
    pub step: Step,
    pub second: Option<Fault>,
    pub seed: u64,
}

/// Result of the run of a cell.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "each test file uses some of the fields")]
pub struct Outcome {
    pub injected: bool,
    pub violations: Vec<Violation>,
    pub history: String,
}

/// Runs one cell: workload, faults, healing and checks.
pub fn run_cell(cell: Cell, defect: Defect, keep_history: bool) -> Outcome {
    let shape = if cell.seed.is_multiple_of(2) {
        FleetShape::three_zones()
    } else {
        FleetShape::four_zones()
    };
    let mut world = World::new(shape, cell.seed, defect, keep_history);
    world.boot();
    let begin = world.now;
    let (zones, tenants) = (world.shape.zones.len(), world.shape.limits.len());
    world.start_workload(Workload { per_second: 25, tenants, zones }, begin + WORKLOAD_DURATION_MS);
    if let Some(first) = preliminary_fault(cell.step) {
        world.inject_after(1_000, first);
    }
    world.run_until(begin + 900);
    world.inject_at_step(cell.fault, cell.step, occurrence(cell));
    if let Some(second) = cell.second {
        world.inject_after(3_500, second);
    }
    for round in 1..=WORKLOAD_DURATION_MS / EDIT_INTERVAL_MS {
        world.run_until(begin + round * EDIT_INTERVAL_MS);
        let limit = Tokens(41_000 + round);
        let key = RowKey::Budget(BudgetName::new(FleetShape::tenant(1)));
        world.edit(key, Some(Row::Budget(BudgetRow { limit })));
    }
    world.run_until(begin + WORKLOAD_DURATION_MS + FAULT_DURATION_MS);
    world.heal();
    world.run_until(world.now + SETTLE_TIME_MS);
    Outcome {
        injected: world.injected_at().is_some(),
        violations: check(&world),
        history: world.history.text(),
    }
}

/// The occurrence of the step at which the fault is injected; rare steps occur only once.
fn occurrence(cell: Cell) -> u32 {
    match cell.step {
        Step::VoteAsked | Step::VoteGiven | Step::BackupRequested => 1,
        _ => 1 + (cell.seed % 4) as u32,
    }
}

/// The fault that has to precede the cell's fault, for steps that are taken only after a fault.
fn preliminary_fault(step: Step) -> Option<Fault> {
    match step {
        Step::BaseCopied | Step::BackupRequested | Step::AnswerFetched => Some(Fault::RouterKilled),
        Step::VoteAsked | Step::VoteGiven => Some(Fault::LeaderKilled),
        _ => None,
    }
}

/// Runs `work` for every item on all cores; results come in the order of the items.
pub fn in_parallel<T: Sync, R: Send>(items: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, R)>> = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, item)) = {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    items.get(index).map(|item| (index, item))
                } {
                    let result = work(item);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
