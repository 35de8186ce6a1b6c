//! Delayed, reordered and duplicated messages neither create nor lose rights.

use proptest::prelude::*;
use stackpost_ledger::policy::{self, TransferRequest, ZoneShare};
use stackpost_ledger::{
    AccountState, BillKind, Intent, MirrorMessage, MirroredAccount, OwnedAccount, Record,
};
use stackpost_table::{AccountRow, AccountState as AccountStatus, PolicyRow};
use stackpost_types::*;

const ISSUED: u64 = 1_000;

fn node(name: &str) -> NodeId {
    NodeId { machine: name.into(), incarnation: Incarnation(1) }
}

fn account(index: usize) -> AccountId {
    AccountId::mirrored(&node(&format!("m-{index}")))
}

fn budget() -> BudgetName {
    "budget".into()
}

#[derive(Clone, Debug)]
enum Step {
    Send { from: usize, to: usize, amount: u64 },
    Deliver { from: usize, to: usize },
    Spend { at: usize, bound: u64, used: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0_usize..4, 0_usize..4, 1_u64..400).prop_map(|(from, to, amount)| Step::Send {
            from,
            to,
            amount
        }),
        (0_usize..4, 0_usize..4).prop_map(|(from, to)| Step::Deliver { from, to }),
        (0_usize..4, 1_u64..200, 0_u64..300).prop_map(|(at, bound, used)| Step::Spend {
            at,
            bound,
            used
        }),
    ];
    prop::collection::vec(step, 0..80)
}

fn intent(bound: u64) -> Intent {
    Intent {
        budget: budget(),
        tenant: "tenant".into(),
        bound: Tokens(bound),
        back_end: "engine".into(),
        repeatable: true,
        key: None,
    }
}

fn settle(request: RequestId, used: u64) -> Record {
    let (kind, at) = (BillKind::Reported, WallTime(0));
    Record::Settle { request, tokens: Tokens(used), kind, at, answer: None }
}

proptest! {
    /// Accounts transfer rights by totals that are delivered any number of times and in any order;
    /// the total spent never exceeds what was issued.
    #[test]
    fn messages_in_any_order_never_overspend(steps in steps()) {
        let mut states: Vec<AccountState> = (0..4).map(|_| AccountState::default()).collect();
        states[0].apply(&Record::Issued { budget: budget(), total: Tokens(ISSUED) });
        let mut request = 0;
        for step in steps {
            match step {
                Step::Send { from, to, amount } if from != to => {
                    let amount = Tokens(amount).min(states[from].available(&budget()));
                    let sent = states[from].holding(&budget()).map(|held| {
                        held.sent().get(&account(to)).copied().unwrap_or_default()
                    });
                    let total = sent.unwrap_or_default() + amount;
                    states[from].apply(&Record::Sent { budget: budget(), to: account(to), total });
                }
                Step::Deliver { from, to } if from != to => {
                    let total = states[from].holding(&budget()).and_then(|held| {
                        held.sent().get(&account(to)).copied()
                    });
                    if let Some(total) = total {
                        let from = account(from);
                        states[to].apply(&Record::Received { budget: budget(), from, total });
                    }
                }
                Step::Spend { at, bound, used }
                    if states[at].available(&budget()) >= Tokens(bound) =>
                {
                    request += 1;
                    let request = RequestId(request);
                    let intent = intent(bound);
                    states[at].apply(&Record::Intent { request, intent });
                    states[at].apply(&settle(request, used));
                    // A second settlement has no effect.
                    states[at].apply(&settle(request, used));
                }
                _ => {}
            }
            let not_overdrawn = |state: &AccountState| {
                state.holding(&budget()).is_none_or(|held| !held.is_overdrawn())
            };
            prop_assert!(states.iter().all(not_overdrawn));
        }
        let spent: Tokens = states
            .iter()
            .filter_map(|state| state.holding(&budget()))
            .map(|held| held.spent())
            .sum();
        prop_assert!(spent <= Tokens(ISSUED));
    }

    /// A backup whose batches are lost, duplicated and reordered ends with the owner's state, and
    /// the owner releases nothing that the backup lacks.
    #[test]
    fn mirror_converges_to_its_owner(deliveries in prop::collection::vec(0_u8..4, 1..60)) {
        let (owner, backup) = (node("owner"), node("backup"));
        let id = AccountId::mirrored(&owner);
        let row = AccountRow {
            epoch: Epoch(2),
            zone: "zone".into(),
            owner: owner.clone(),
            backup: Some(backup.clone()),
            state: AccountStatus::Active,
        };
        let now = |step: usize| Timestamp(1_000 + 200 * step as u64);
        let mut owned = OwnedAccount::new(id, &row, AccountState::default(), 0, now(0));
        let mut mirror: Option<MirroredAccount> = None;
        let mut delayed: Vec<MirrorMessage> = Vec::new();
        for (step, delivery) in deliveries.iter().enumerate() {
            let total = Tokens(step as u64 + 1);
            owned.append(Record::Issued { budget: budget(), total });
            let mut messages: Vec<MirrorMessage> =
                owned.flush(now(step)).into_iter().map(|(_, message)| message).collect();
            match delivery {
                0 => messages.clear(),
                1 => delayed.append(&mut messages),
                2 => messages.append(&mut delayed),
                _ => messages.extend(messages.clone()),
            }
            for message in messages {
                let (copy, ack) = MirroredAccount::receive(mirror, now(step), &owner, message);
                mirror = copy;
                owned.on_ack(now(step), &backup, &ack);
            }
            let held = mirror.as_ref().map_or(0, |copy| copy.sequence);
            prop_assert!(owned.released() <= held);
        }
        for step in deliveries.len()..deliveries.len() + 4 {
            for (_, message) in owned.flush(now(step)) {
                let (copy, ack) = MirroredAccount::receive(mirror, now(step), &owner, message);
                mirror = copy;
                owned.on_ack(now(step), &backup, &ack);
            }
        }
        prop_assert_eq!(&mirror.expect("the backup holds a copy").state, owned.state());
        prop_assert!(!owned.has_unacked());
    }

    #[test]
    fn transfer_covers_the_need_within_what_is_available(
        available in 0_u64..10_000,
        need in 0_u64..10_000,
        want in 0_u64..10_000,
    ) {
        let amount = policy::transfer_amount(
            Tokens(available),
            TransferRequest { need: Tokens(need), want: Tokens(want) },
        );
        prop_assert!(amount <= Tokens(available));
        prop_assert!(amount >= Tokens(need.min(available)));
    }

    #[test]
    fn rebalancing_only_moves_a_surplus_towards_a_deficit(
        shares in prop::collection::vec((0_u64..100_000, 0_u64..100), 2..6),
    ) {
        let zones: Vec<ZoneShare> = shares
            .iter()
            .map(|(available, demand)| ZoneShare {
                available: Tokens(*available),
                demand: Tokens(*demand),
                weight: 1,
            })
            .collect();
        let forward = policy::rebalance_amount(&PolicyRow::default(), &zones, 0, 1);
        let backward = policy::rebalance_amount(&PolicyRow::default(), &zones, 1, 0);
        prop_assert!(forward.is_zero() || backward.is_zero());
        prop_assert!(forward <= zones[0].available);
    }
}

/// A lost batch must be detected even though newer batches keep being sent.
#[test]
fn lost_batch_is_resent_under_steady_traffic() {
    let (owner, backup) = (node("owner"), node("backup"));
    let row = AccountRow {
        epoch: Epoch(2),
        zone: "zone".into(),
        owner: owner.clone(),
        backup: Some(backup.clone()),
        state: AccountStatus::Active,
    };
    let id = AccountId::mirrored(&owner);
    let mut owned = OwnedAccount::new(id, &row, AccountState::default(), 0, Timestamp(1_000));
    let mut mirror: Option<MirroredAccount> = None;
    for step in 0..40 {
        let now = Timestamp(1_000 + 50 * step);
        owned.append(Record::Issued { budget: budget(), total: Tokens(step + 1) });
        for (_, message) in owned.flush(now) {
            if step == 10 {
                continue;
            }
            let (copy, ack) = MirroredAccount::receive(mirror, now, &owner, message);
            mirror = copy;
            owned.on_ack(now, &backup, &ack);
        }
    }
    assert_eq!(owned.released(), owned.sequence());
}

/// Acknowledgements of a candidate do not release changes before the view names it the backup; a
/// view with another owner ends the ownership.
#[test]
fn backup_counts_only_once_the_view_names_it() {
    let (owner, backup) = (node("owner"), node("backup"));
    let row = AccountRow {
        epoch: Epoch(1),
        zone: "zone".into(),
        owner: owner.clone(),
        backup: None,
        state: AccountStatus::Active,
    };
    let id = AccountId::mirrored(&owner);
    let mut owned = OwnedAccount::new(id.clone(), &row, AccountState::default(), 0, Timestamp(1));
    owned.append(Record::Issued { budget: budget(), total: Tokens(5) });
    assert_eq!(owned.released(), 0);
    owned.start_candidate(Timestamp(1), backup.clone());
    assert_eq!(owned.backup_request(), None);
    let ack = stackpost_ledger::MirrorAck { account: id, sequence: Some(1) };
    owned.on_ack(Timestamp(2), &backup, &ack);
    assert_eq!(owned.backup_request(), Some(backup.clone()));
    assert_eq!(owned.released(), 0, "not released before the view names the backup");
    let view = AccountRow { epoch: Epoch(2), backup: Some(backup.clone()), ..row.clone() };
    assert_eq!(
        owned.on_view(Timestamp(3), &owner, &view),
        stackpost_ledger::ViewChange::StillOwner
    );
    assert_eq!(owned.released(), 1);
    let sealed = AccountRow { epoch: Epoch(3), owner: backup, backup: None, ..row };
    let change = owned.on_view(Timestamp(4), &owner, &sealed);
    assert_eq!(change, stackpost_ledger::ViewChange::OwnershipLost);
}
