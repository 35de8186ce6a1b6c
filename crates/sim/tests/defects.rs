//! The checks themselves can fail: for each promise a deliberate defect turns the matrix red.

mod support;

use stackpost_router_core::Defects;
use stackpost_sim::{Defect, Fault, Promise, Step};
use support::{Cell, in_parallel, run_cell};

/// Seeds tried for each pair of fault and step.
const SEEDS: u64 = 8;

/// Whether some run with `defect` breaks `promise`.
fn turns_red(defect: Defect, faults: &[(Fault, Step)], promise: Promise) -> bool {
    let mut cells = Vec::new();
    for (fault, step) in faults {
        for seed in 0..SEEDS {
            cells.push(Cell { fault: *fault, step: *step, second: None, seed });
        }
    }
    let outcomes = in_parallel(&cells, |cell| run_cell(*cell, defect, false));
    outcomes.iter().flat_map(|outcome| &outcome.violations).any(|found| found.promise == promise)
}

fn router(defects: Defects) -> Defect {
    Defect { router: defects, ..Defect::default() }
}

const QUIET: [(Fault, Step); 1] = [(Fault::ClockJump, Step::FirstBytes)];

#[test]
fn spending_without_reserving_is_noticed() {
    let defect = router(Defects { skip_reserve: true, ..Defects::default() });
    assert!(turns_red(defect, &QUIET, Promise::NoOverspend));
}

#[test]
fn a_second_bill_is_noticed() {
    let defect = router(Defects { bill_twice: true, ..Defects::default() });
    assert!(turns_red(defect, &QUIET, Promise::BilledOnce));
}

#[test]
fn effects_before_the_backup_holds_them_are_noticed() {
    let defect = router(Defects { skip_mirror: true, ..Defects::default() });
    let faults = [
        (Fault::RouterKilled, Step::Finished),
        (Fault::RouterKilled, Step::BillMirrored),
        (Fault::ZoneCutOff, Step::FirstBytes),
        (Fault::RouterFrozen, Step::IntentMirrored),
    ];
    assert!(turns_red(defect, &faults, Promise::BilledOnce));
}

#[test]
fn a_crossed_answer_is_noticed() {
    let defect = router(Defects { swap_answers: true, ..Defects::default() });
    assert!(turns_red(defect, &QUIET, Promise::OwnWholeAnswer));
}

#[test]
fn a_false_not_run_is_noticed() {
    let defect = router(Defects { claim_not_run: true, ..Defects::default() });
    let faults = [
        (Fault::EngineDiesDuring, Step::Dispatched),
        (Fault::RouterKilled, Step::KeyAsked),
        (Fault::RouterFrozen, Step::Dispatched),
    ];
    assert!(turns_red(defect, &faults, Promise::NotRunMeansNotRun));
}

#[test]
fn a_second_run_of_a_request_that_must_not_repeat_is_noticed() {
    let defect = router(Defects { retry_after_send: true, ..Defects::default() });
    let faults = [(Fault::EngineDiesDuring, Step::Dispatched)];
    assert!(turns_red(defect, &faults, Promise::AtMostOnce));
}

#[test]
fn work_for_a_back_end_that_is_leaving_is_noticed() {
    let defect = router(Defects { ignore_leaving: true, ..Defects::default() });
    let faults = [(Fault::EngineLeaves, Step::Dispatched)];
    assert!(turns_red(defect, &faults, Promise::LeavingGetsNothingNew));
}

#[test]
fn a_stop_that_cuts_requests_off_is_noticed() {
    let defect = router(Defects { drain_at_once: true, ..Defects::default() });
    let faults = [(Fault::PlannedStop, Step::Dispatched), (Fault::PlannedStop, Step::FirstBytes)];
    assert!(turns_red(defect, &faults, Promise::PlannedStopCutsNothing));
}

#[test]
fn a_configuration_that_goes_back_is_noticed() {
    let defect = router(Defects { accept_old_configuration: true, ..Defects::default() });
    let faults = [
        (Fault::BadNetwork, Step::ConfigurationPushed),
        (Fault::BadNetwork, Step::EditProposed),
        (Fault::BadNetwork, Step::FirstBytes),
        (Fault::RouterFrozen, Step::ConfigurationPushed),
        (Fault::LeaderCutOffSilently, Step::ConfigurationPushed),
    ];
    assert!(turns_red(defect, &faults, Promise::ConfigurationInForce));
}

#[test]
fn an_edit_that_was_never_synced_is_noticed() {
    let defect = Defect { ignore_sync: true, ..Defect::default() };
    let faults = [
        (Fault::RestartAfterManyEdits, Step::EditProposed),
        (Fault::LeaderKilled, Step::EntriesAcknowledged),
    ];
    assert!(turns_red(defect, &faults, Promise::ConfigurationInForce));
}
