//! Regression tests: cells of the fault matrix in which faults of the software were found.

mod support;

use stackpost_sim::{Defect, Fault, Step};
use support::{Cell, in_parallel, run_cell};

/// Cells that once failed; docs/FAULTS.md describes the fault that each one exposed.
const PAST_FAILURES: [Cell; 5] = [
    cell(Fault::SecondMachineLostAfterRepair, Step::BillsSent, None, 54),
    cell(
        Fault::LaggingMachineList,
        Step::Finished,
        Some(Fault::SecondMachineLostAfterRepair),
        10_129,
    ),
    cell(Fault::EngineLeaves, Step::RightsSent, Some(Fault::SecondMachineLostAfterRepair), 10_228),
    cell(Fault::OneWayCut, Step::BackupRequested, Some(Fault::RouterFrozen), 510_315),
    cell(Fault::ZoneCutOff, Step::BaseCopied, Some(Fault::RacingEdits), 210_399),
];

const fn cell(fault: Fault, step: Step, second: Option<Fault>, seed: u64) -> Cell {
    Cell { fault, step, second, seed }
}

#[test]
fn cells_that_once_failed_keep_all_invariants() {
    let outcomes = in_parallel(&PAST_FAILURES, |cell| run_cell(*cell, Defect::default(), false));
    for (cell, outcome) in PAST_FAILURES.iter().zip(&outcomes) {
        assert!(outcome.violations.is_empty(), "{cell:?}: {:#?}", outcome.violations);
    }
}
