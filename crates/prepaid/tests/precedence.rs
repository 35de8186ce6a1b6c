//! A budget that runs out is kept for the more urgent requests.

use stackpost_prepaid::*;
use stackpost_types::{Incarnation, MachineName, Millis, NodeId, TenantName, Timestamp, Tokens};
use std::collections::BTreeMap;

const NOW: Timestamp = Timestamp(1_000);
const URGENT: Demand = Demand { amount: Tokens(7_000), priority: 0 };
const NEIGHBOUR: Demand = Demand { amount: Tokens(900), priority: 1 };
const BACKGROUND: Demand = Demand { amount: Tokens(1_800), priority: 2 };

fn tenant() -> TenantName {
    TenantName::new("tenant")
}

/// A wallet that has seen two of the background requests for each urgent one.
fn wallet_with_mixed_demand() -> Wallet {
    let mut wallet = Wallet::default();
    for _ in 0..200 {
        for demand in [URGENT, NEIGHBOUR, BACKGROUND, BACKGROUND] {
            wallet.admits(NOW, &tenant(), demand, None);
        }
    }
    wallet
}

fn admits(wallet: &mut Wallet, demand: Demand, lasts_ms: u64) -> bool {
    wallet.admits(NOW, &tenant(), demand, Some(Outlook::Lasts(Millis(lasts_ms))))
}

#[test]
fn background_requests_are_refused_first_when_a_budget_runs_out() {
    let mut wallet = wallet_with_mixed_demand();
    // 7,000 of 11,500 tokens are urgent: 15 s of their demand last 9.1 s at that of all.
    assert!(admits(&mut wallet, BACKGROUND, 10_000));
    assert!(!admits(&mut wallet, BACKGROUND, 8_000));
    assert!(admits(&mut wallet, URGENT, 8_000));
    assert!(admits(&mut wallet, NEIGHBOUR, 8_000), "neighbours are not told apart");
}

#[test]
fn background_requests_are_served_to_the_end_if_there_are_no_others() {
    let mut wallet = Wallet::default();
    for _ in 0..50 {
        assert!(admits(&mut wallet, BACKGROUND, 0));
    }
}

#[test]
fn demand_that_has_ended_is_forgotten() {
    let mut wallet = wallet_with_mixed_demand();
    for _ in 0..400 {
        admits(&mut wallet, BACKGROUND, 500);
    }
    assert!(admits(&mut wallet, BACKGROUND, 500));
}

#[test]
fn refused_requests_count_as_demand() {
    let mut wallet = wallet_with_mixed_demand();
    let before = rate(&mut wallet);
    assert!(!admits(&mut wallet, BACKGROUND, 500));
    assert!(rate(&mut wallet) > before);
}

fn rate(wallet: &mut Wallet) -> Tokens {
    wallet.report(NOW).first().map(|(_, report)| report.rate).unwrap_or_default()
}

#[test]
fn the_leader_tells_how_long_a_budget_lasts() {
    let mut ledger = PrepaidLedger::default();
    ledger.set_limits(&[(tenant(), Tokens(1_000_000))]);
    let holder = NodeId { machine: MachineName::new("router"), incarnation: Incarnation(1) };
    let outlook_at = |rate: u64| {
        let report = AccountReport { rate: Tokens(rate), ..AccountReport::default() };
        let reports = BTreeMap::from([(holder.clone(), BTreeMap::from([(tenant(), report)]))]);
        plan(&ledger, &reports, Millis(250), &mut Rations::default())
            .outlooks
            .get(&tenant())
            .copied()
    };
    // 970,000 tokens can be handed out: half a percent is withheld, 2.5 are kept for the end.
    assert_eq!(outlook_at(0), None);
    assert_eq!(outlook_at(10_000), None, "97 s");
    assert_eq!(outlook_at(50_000), Some(Outlook::Lasts(Millis(19_000))));
}
