//! Golden sessions: histories of whole sessions with callers, operators and faults, compared with
//! the files in `tests/golden`. A change of behaviour shows as a diff; `STACKPOST_UPDATE=1`
//! rewrites the files.

use stackpost_sim::{
    AttemptEnd, CallerRecord, Defect, Fault, FleetShape, RequestPlan, World, check,
};
use stackpost_table::{BudgetRow, Row, RowKey};
use stackpost_types::{BudgetName, Tokens};
use std::path::PathBuf;

const CHAT: RequestPlan = RequestPlan {
    tenant: 0,
    zone: 0,
    plain: false,
    repeatable: true,
    keyed: false,
    tokens: 40,
    max_tokens: 60,
    leaves_after: None,
    resends_after: None,
    retries: 3,
};
const TICKET: RequestPlan = RequestPlan { plain: true, repeatable: false, keyed: true, ..CHAT };

/// Runs one session of a fleet in five phases and returns its text.
fn session(shape: FleetShape, seed: u64) -> String {
    let mut world = World::new(shape, seed, Defect::default(), true);
    world.boot();
    let zones = world.shape.zones.len();
    phase(&mut world, "one request of each kind in every zone", |world| {
        for zone in 0..zones {
            world.add_caller(RequestPlan { zone, ..CHAT });
            world.add_caller(RequestPlan { zone, tenant: 1, ..TICKET });
        }
    });
    phase(&mut world, "a budget that runs out", |world| {
        for zone in 0..zones {
            for _ in 0..5 {
                world.add_caller(RequestPlan {
                    tenant: 3,
                    zone,
                    tokens: 700,
                    max_tokens: 700,
                    ..CHAT
                });
            }
        }
    });
    phase(&mut world, "a router is killed; its callers retry", |world| {
        for _ in 0..3 {
            world.add_caller(RequestPlan { keyed: true, tokens: 300, max_tokens: 300, ..CHAT });
            world.add_caller(TICKET);
        }
        world.inject_after(30, Fault::RouterKilled);
    });
    phase(&mut world, "two operators edit concurrently; a zone is isolated", |world| {
        world.inject_after(0, Fault::RacingEdits);
        world.inject_after(100, Fault::ZoneCutOff);
        for zone in 0..zones {
            world.add_caller(RequestPlan { zone, tenant: 2, keyed: true, ..CHAT });
        }
    });
    phase(&mut world, "a lowered limit, and a planned stop", |world| {
        let limit = Tokens(10_000);
        let key = RowKey::Budget(BudgetName::new("tenant-1"));
        world.edit(key, Some(Row::Budget(BudgetRow { limit })));
        world.add_caller(RequestPlan { tokens: 500, max_tokens: 500, ..CHAT });
        world.inject_after(50, Fault::PlannedStop);
    });
    world.heal();
    world.run_until(world.now + 15_000);
    assert_eq!(check(&world), Vec::new());
    let mut text = world.history.text();
    text.push_str("\n== outcomes of all callers, with the routers' traces\n");
    for record in world.callers.records.values() {
        write_caller(&mut text, &world, record);
    }
    text
}

fn phase(world: &mut World, title: &str, start: impl FnOnce(&mut World)) {
    world.history.note(world.now, "==", title);
    start(world);
    world.run_until(world.now + 16_000);
}

fn write_caller(text: &mut String, world: &World, record: &CallerRecord) {
    for attempt in &record.attempts {
        let end = match &attempt.end {
            Some((_, AttemptEnd::Answered { .. })) => "answered".to_string(),
            Some((_, AttemptEnd::Refused(refusal))) => {
                format!("refused: {} ({})", refusal.reason, refusal.outcome.as_str())
            }
            Some((_, AttemptEnd::Lost { .. })) => "connection lost".to_string(),
            Some((_, AttemptEnd::Disconnected)) => "disconnected".to_string(),
            None => "no end".to_string(),
        };
        text.push_str(&format!("caller {} at {}: {end}\n", record.id.0, attempt.node));
        for (_, router) in world.live_routers() {
            let trace = router.trace(&attempt.request);
            for (_, step) in trace.into_iter().flat_map(|trace| &trace.steps) {
                text.push_str(&format!("    {step}\n"));
            }
        }
    }
}

fn compare(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("STACKPOST_UPDATE").is_some() {
        std::fs::write(&path, text).expect("the golden file is writable");
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    let differing = expected.lines().zip(text.lines()).position(|(old, new)| old != new);
    assert!(
        expected == text,
        "{}: differs from line {:?} on; STACKPOST_UPDATE=1 rewrites it",
        path.display(),
        differing.map(|line| line + 1)
    );
}

#[test]
fn session_of_three_zones_matches_golden_file() {
    compare("three_zones.txt", &session(FleetShape::three_zones(), 11));
}

#[test]
fn session_of_four_zones_matches_golden_file() {
    compare("four_zones.txt", &session(FleetShape::four_zones(), 12));
}
