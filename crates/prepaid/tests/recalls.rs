//! Tokens that routers return, at the leader's request or by themselves.

use stackpost_prepaid::*;
use stackpost_types::*;
use std::collections::BTreeMap;

const LIMIT: u64 = 100_000;
const ROUTERS: usize = 3;

fn tenant() -> TenantName {
    TenantName::new("ferry")
}

fn node(machine: usize, incarnation: u64) -> NodeId {
    NodeId {
        machine: MachineName::new(format!("m{machine}")),
        incarnation: Incarnation(incarnation),
    }
}

fn report_of(wanted: u64, used: u64) -> AccountReport {
    AccountReport {
        used: Tokens(used),
        wanted: Tokens(wanted),
        largest_request: Tokens(40_000),
        rate: Tokens(1_000),
        ..AccountReport::default()
    }
}

/// Idle routers hold nearly the whole budget while a request waits at another router.
#[test]
fn tokens_for_a_waiting_request_are_recalled_from_idle_routers() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let mut wallets: Vec<Wallet> = (0..ROUTERS).map(|_| Wallet::default()).collect();
    for (machine, wallet) in wallets.iter_mut().enumerate() {
        let amount = Tokens(LIMIT * 33 / 100);
        let to_primary = Tokens(1_000);
        let (holder, draw_rate) = (node(machine, 1), DrawRate::default());
        ledger.allot(&Grant { holder, tenant: tenant(), amount, to_primary, draw_rate });
        let allotment = ledger.allotment(&node(machine, 1), &tenant());
        wallet.on_allotted(&tenant(), &allotment);
    }
    let reports: BTreeMap<NodeId, BTreeMap<TenantName, AccountReport>> = (0..ROUTERS)
        .map(|machine| {
            let wanted = if machine == 0 { 60_000 } else { 0 };
            let report = report_of(wanted, 0);
            (node(machine, 1), BTreeMap::from([(tenant(), report)]))
        })
        .collect();
    let planned = plan(&ledger, &reports, Millis(250), &mut ScarceBudgetLimiter::default());
    for recall in &planned.recalls {
        let machine = (0..ROUTERS).find(|machine| node(*machine, 1) == recall.holder);
        let machine = machine.expect("recall for an unknown router");
        assert_ne!(machine, 0, "nothing is recalled from the router whose request waits");
        wallets[machine].return_excess(&tenant(), recall.keep);
        let (_, account) = wallets[machine].report(Timestamp(1)).remove(0);
        ledger.record_return(&TokenReturn {
            holder: recall.holder.clone(),
            tenant: tenant(),
            returned: account.returned,
            released: account.released,
        });
    }
    let next = plan(&ledger, &reports, Millis(250), &mut ScarceBudgetLimiter::default());
    next.grants.iter().for_each(|grant| ledger.allot(grant));
    let allotment = ledger.allotment(&node(0, 1), &tenant());
    assert!(allotment.usable_primary() >= Tokens(60_000), "primary {}", allotment.usable_primary());
    assert!(ledger.issued(&tenant()) <= Tokens(LIMIT));
}

/// The leader moves tokens from the reserve to the primary while the router returns the same
/// tokens.
#[test]
fn released_reserve_moved_to_the_primary_is_spent_once() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(LIMIT))]);
    let mut wallet = Wallet::default();
    let grant = |amount, to_primary| Grant {
        holder: node(0, 1),
        tenant: tenant(),
        amount: Tokens(amount),
        to_primary: Tokens(to_primary),
        draw_rate: DrawRate::default(),
    };
    ledger.allot(&grant(100, 10));
    wallet.on_allotted(&tenant(), &ledger.allotment(&node(0, 1), &tenant()));
    ledger.allot(&grant(0, 80));
    wallet.return_excess(&tenant(), Tokens(10));
    let (_, account) = wallet.report(Timestamp(1)).remove(0);
    ledger.record_return(&TokenReturn {
        holder: node(0, 1),
        tenant: tenant(),
        returned: account.returned,
        released: account.released,
    });
    wallet.on_allotted(&tenant(), &ledger.allotment(&node(0, 1), &tenant()));
    assert!(wallet.reserve(Timestamp(1), &tenant(), Tokens(11)).is_err());
    assert!(wallet.reserve(Timestamp(1), &tenant(), Tokens(10)).is_ok());
    assert_eq!(ledger.issued(&tenant()), Tokens(10));
}
