//! Edits of the table: they are validated, versioned and idempotent, and are never lost or
//! reverted.

use serde_json::json;
use stackpost_table::*;
use stackpost_types::*;

fn edit(id: &str, key: RowKey, based_on: u64, row: Option<Row>) -> Command {
    Command::Edit(Edit {
        id: EditId(id.into()),
        operator: "ada".into(),
        origin: "127.0.0.1:9".into(),
        received_at: WallTime(5),
        key,
        based_on: Version(based_on),
        row,
    })
}

fn outcome(state_machine: &mut StateMachine, index: u64, command: &Command) -> EditOutcome {
    match state_machine.apply(Version(index), command) {
        CommandOutcome::Edit(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn zone(weight: u32) -> Option<Row> {
    Some(Row::Zone(ZoneRow { weight }))
}

fn budget(limit: u64) -> Option<Row> {
    Some(Row::Budget(BudgetRow { limit: Tokens(limit) }))
}

fn accepted(version: u64) -> EditOutcome {
    EditOutcome::Accepted { version: Version(version), recall: None }
}

#[test]
fn the_later_of_two_conflicting_edits_gets_the_current_row() {
    let mut state_machine = StateMachine::default();
    let key = || RowKey::Zone("north".into());
    assert_eq!(outcome(&mut state_machine, 1, &edit("a", key(), 0, zone(1))), accepted(1));
    assert_eq!(outcome(&mut state_machine, 2, &edit("b", key(), 1, zone(2))), accepted(2));
    let current = Some(Versioned { version: Version(2), row: zone(2).map(Into::into) });
    let conflicting = outcome(&mut state_machine, 3, &edit("c", key(), 1, zone(2)));
    assert_eq!(conflicting, EditOutcome::Conflict { current });
    // A resent edit gets its first outcome, also after a snapshot.
    let mut restored = StateMachine::from_snapshot(&state_machine.to_snapshot()).expect("restores");
    assert_eq!(restored, state_machine);
    assert_eq!(outcome(&mut restored, 4, &edit("a", key(), 0, zone(1))), accepted(1));
    let outcomes: Vec<_> = restored.audit().map(|record| record.outcome.clone()).collect();
    assert_eq!(outcomes.len(), 3);
}

#[test]
fn invalid_rows_are_refused_with_the_field_name() {
    let mut state_machine = StateMachine::default();
    let cases = [
        (
            "machine",
            json!({"zone": "nowhere", "peer_address": "127.0.0.1:1", "api_address": "127.0.0.1:2"}),
            "zone",
        ),
        (
            "service",
            json!({"kind": "plain", "models": ["m"], "queue_limit": 1, "back_end_concurrency": 1, "queue_wait_ms": 1, "max_tokens_limit": 1}),
            "models",
        ),
        (
            "route",
            json!({"path_prefix": "/v1/x", "methods": [], "service": "s", "repeatable": true, "cost": 1}),
            "path_prefix",
        ),
        (
            "tenant",
            json!({"key_hashes": [], "budget": "none", "home_zone": "z", "weight": 1}),
            "budget",
        ),
    ];
    for (index, (table, row, field)) in cases.into_iter().enumerate() {
        let key = parse_key(table, "row").expect("a key");
        let row = parse_row(&key, row).expect("a row");
        let command = edit(table, key, 0, Some(row));
        match outcome(&mut state_machine, index as u64 + 1, &command) {
            EditOutcome::Invalid(error) => assert_eq!(error.field, field, "{error}"),
            other => panic!("{table}: {other:?}"),
        }
    }
    let key = parse_key("budget", "row").expect("a key");
    let error = parse_row(&key, json!({"limit": 1, "limt": 2})).expect_err("unknown field");
    assert!(error.to_string().contains("limt"), "{error}");
    assert!(parse_key("budgets", "row").is_err());
    let invalid_name = edit("name", RowKey::Zone("a b".into()), 0, zone(1));
    assert!(matches!(outcome(&mut state_machine, 9, &invalid_name), EditOutcome::Invalid(_)));
}

/// A fleet of two zones, each with one account that has a backup.
fn with_accounts() -> (StateMachine, Vec<AccountId>) {
    let mut state_machine = StateMachine::default();
    let mut accounts = Vec::new();
    let mut index = 1;
    let mut apply = |state_machine: &mut StateMachine, command: Command| {
        state_machine.apply(Version(index), &command);
        index += 1;
    };
    for name in ["north", "south"] {
        apply(&mut state_machine, edit(name, RowKey::Zone(name.into()), 0, zone(1)));
        let node = NodeId { machine: name.into(), incarnation: Incarnation(1) };
        let account = AccountId::mirrored(&node);
        apply(
            &mut state_machine,
            Command::OpenAccount { account: account.clone(), zone: name.into() },
        );
        let backup = NodeId { machine: "other".into(), incarnation: Incarnation(1) };
        let expected = Epoch(1);
        apply(
            &mut state_machine,
            Command::ChangeBackup { account: account.clone(), expected, backup },
        );
        accounts.push(account);
    }
    (state_machine, accounts)
}

fn issue(state_machine: &StateMachine) -> IssueRow {
    match state_machine.table().get(&RowKey::Issue("b".into())) {
        Some(Row::Issue(issue)) => issue.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_budget_is_lowered_only_as_far_as_rights_are_returned() {
    let (mut state_machine, accounts) = with_accounts();
    let key = || RowKey::Budget("b".into());
    assert_eq!(
        outcome(&mut state_machine, 20, &edit("new", key(), 0, budget(1_001))),
        accepted(20)
    );
    let issued = issue(&state_machine);
    assert_eq!((issued.held(), issued.pool), (Tokens(1_001), Tokens(0)));
    let lowered = outcome(&mut state_machine, 21, &edit("down", key(), 20, budget(600)));
    let recall = Recall { limit: Tokens(600), held: Tokens(1_001) };
    let expected = EditOutcome::Accepted { version: Version(21), recall: Some(recall) };
    assert_eq!(lowered, expected);
    let commit_return = |total: u64| Command::CommitReturn {
        budget: "b".into(),
        account: accounts[0].clone(),
        total: Tokens(total),
    };
    state_machine.apply(Version(22), &commit_return(300));
    state_machine.apply(Version(23), &commit_return(300));
    assert_eq!(issue(&state_machine).recall, Tokens(101));
    state_machine.apply(Version(24), &commit_return(450));
    let after = issue(&state_machine);
    // Rights returned beyond the recall are issued again; limit in force = held + pool.
    assert_eq!((after.recall, after.held() + after.pool), (Tokens(0), Tokens(600)));
}

#[test]
fn accounts_change_only_from_the_expected_epoch() {
    let (mut state_machine, accounts) = with_accounts();
    let account = accounts[0].clone();
    let seal = |expected| Command::Seal { account: account.clone(), expected: Epoch(expected) };
    let stale = state_machine.apply(Version(30), &seal(1));
    assert_eq!(stale, CommandOutcome::Account(Err(AccountRefusal::StaleEpoch)));
    let sealed = state_machine.apply(Version(31), &seal(2));
    assert_eq!(sealed, CommandOutcome::Account(Ok(Epoch(3))));
    let without_backup = state_machine.apply(Version(32), &seal(3));
    assert_eq!(without_backup, CommandOutcome::Account(Err(AccountRefusal::WrongState)));
    let slots = |state_machine: &StateMachine| match state_machine
        .table()
        .get(&RowKey::KeySlots("north".into()))
    {
        Some(Row::KeySlots(row)) => row.clone(),
        other => panic!("{other:?}"),
    };
    assert!(slots(&state_machine).accounts.iter().all(|holder| *holder == account));
    let mark_lost = Command::MarkLost { account: account.clone(), expected: Epoch(3) };
    state_machine.apply(Version(33), &mark_lost);
    let node = NodeId { machine: "north".into(), incarnation: Incarnation(2) };
    let new_account = AccountId::mirrored(&node);
    let open = Command::OpenAccount { account: new_account.clone(), zone: "north".into() };
    state_machine.apply(Version(34), &open);
    let (expected, backup) =
        (Epoch(1), NodeId { machine: "x".into(), incarnation: Incarnation(1) });
    state_machine.apply(
        Version(35),
        &Command::ChangeBackup { account: new_account.clone(), expected, backup },
    );
    let slots = slots(&state_machine);
    assert!(slots.accounts.iter().all(|holder| *holder == new_account));
    assert!(slots.forgotten.iter().all(|forgotten| *forgotten));
}

#[test]
fn deltas_update_a_table_and_never_revert_it() {
    let mut state_machine = StateMachine::default();
    state_machine.apply(Version(1), &edit("a", RowKey::Zone("a".into()), 0, zone(1)));
    let mut follower = Table::default();
    let first = state_machine.table().delta_since(Version(0));
    assert!(follower.apply(&first).is_some());
    state_machine.apply(Version(2), &edit("b", RowKey::Zone("b".into()), 0, zone(1)));
    state_machine.apply(Version(3), &edit("c", RowKey::Zone("a".into()), 1, None));
    let second = state_machine.table().delta_since(Version(1));
    assert_eq!(second.rows.len(), 2);
    assert!(follower.apply(&second).is_some());
    assert_eq!(follower.get(&RowKey::Zone("a".into())), None);
    assert!(follower.apply(&first).is_none(), "an older delta is refused");
    let gap = Delta { from: Version(9), to: Version(10), rows: Vec::new() };
    assert!(follower.apply(&gap).is_none(), "a delta with a gap is refused");
    assert_eq!(follower.version(), Version(3));
}
