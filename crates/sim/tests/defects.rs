//! Verifies the checks: for each invariant, a deliberate defect of the software is detected in some
//! run of the fault matrix.

mod support;

use stackpost_router_core::Defects;
use stackpost_sim::{Defect, Fault, Invariant, Step};
use support::{Cell, in_parallel, run_cell};

/// Seeds run for each pair of fault and step.
const SEEDS: u64 = 8;

/// Whether some run with `defect` violates `invariant`.
fn violates(defect: Defect, faults: &[(Fault, Step)], invariant: Invariant) -> bool {
    let mut cells = Vec::new();
    for (fault, step) in faults {
        for seed in 0..SEEDS {
            cells.push(Cell { fault: *fault, step: *step, second: None, seed });
        }
    }
    let outcomes = in_parallel(&cells, |cell| run_cell(*cell, defect, false));
    outcomes
        .iter()
        .flat_map(|outcome| &outcome.violations)
        .any(|found| found.invariant == invariant)
}

fn router(defects: Defects) -> Defect {
    Defect { router: defects, ..Defect::default() }
}

/// A fault that disturbs the fleet little, for defects that show without any fault.
const CLOCK_JUMP: [(Fault, Step); 1] = [(Fault::ClockJump, Step::FirstBytes)];

#[test]
fn spending_without_reserving_is_detected() {
    let defect = router(Defects { skip_reserve: true, ..Defects::default() });
    assert!(violates(defect, &CLOCK_JUMP, Invariant::NoOverspend));
}

#[test]
fn a_second_bill_for_a_request_is_detected() {
    let defect = router(Defects { bill_twice: true, ..Defects::default() });
    assert!(violates(defect, &CLOCK_JUMP, Invariant::BilledOnce));
}

#[test]
fn effects_before_the_backup_acknowledges_are_detected() {
    let defect = router(Defects { skip_mirror: true, ..Defects::default() });
    let faults = [
        (Fault::RouterKilled, Step::Finished),
        (Fault::RouterKilled, Step::BillMirrored),
        (Fault::ZoneCutOff, Step::FirstBytes),
        (Fault::RouterFrozen, Step::IntentMirrored),
    ];
    assert!(violates(defect, &faults, Invariant::BilledOnce));
}

#[test]
fn a_response_sent_to_the_wrong_caller_is_detected() {
    let defect = router(Defects { swap_answers: true, ..Defects::default() });
    assert!(violates(defect, &CLOCK_JUMP, Invariant::OwnCompleteAnswer));
}

#[test]
fn a_false_not_run_outcome_is_detected() {
    let defect = router(Defects { claim_not_run: true, ..Defects::default() });
    let faults = [
        (Fault::EngineDiesDuring, Step::Dispatched),
        (Fault::RouterKilled, Step::KeyAsked),
        (Fault::RouterFrozen, Step::Dispatched),
    ];
    assert!(violates(defect, &faults, Invariant::NotRunNeverExecuted));
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_detected() {
    let defect = router(Defects { retry_after_send: true, ..Defects::default() });
    let faults = [(Fault::EngineDiesDuring, Step::Dispatched)];
    assert!(violates(defect, &faults, Invariant::AtMostOnce));
}

#[test]
fn requests_to_a_leaving_back_end_are_detected() {
    let defect = router(Defects { ignore_leaving: true, ..Defects::default() });
    let faults = [(Fault::EngineLeaves, Step::Dispatched)];
    assert!(violates(defect, &faults, Invariant::NoNewWorkWhenLeaving));
}

#[test]
fn a_planned_stop_that_interrupts_requests_is_detected() {
    let defect = router(Defects { drain_at_once: true, ..Defects::default() });
    let faults = [(Fault::PlannedStop, Step::Dispatched), (Fault::PlannedStop, Step::FirstBytes)];
    assert!(violates(defect, &faults, Invariant::PlannedStopInterruptsNothing));
}

#[test]
fn a_configuration_version_that_goes_back_is_detected() {
    let defect = router(Defects { accept_old_configuration: true, ..Defects::default() });
    let faults = [
        (Fault::BadNetwork, Step::ConfigurationPushed),
        (Fault::BadNetwork, Step::EditProposed),
        (Fault::BadNetwork, Step::FirstBytes),
        (Fault::RouterFrozen, Step::ConfigurationPushed),
        (Fault::LeaderCutOffSilently, Step::ConfigurationPushed),
    ];
    assert!(violates(defect, &faults, Invariant::ConfigurationInForce));
}

#[test]
fn an_accepted_edit_that_was_not_synced_is_detected() {
    let defect = Defect { ignore_sync: true, ..Defect::default() };
    let faults = [
        (Fault::RestartAfterManyEdits, Step::EditProposed),
        (Fault::LeaderKilled, Step::EntriesAcknowledged),
    ];
    assert!(violates(defect, &faults, Invariant::ConfigurationInForce));
}
