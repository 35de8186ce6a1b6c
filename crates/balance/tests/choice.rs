//! Selection of back ends, fair queues, ejection and the retry budget.

use stackpost_balance::*;
use stackpost_table::{BackEndRow, BackEndState, EngineRole, PolicyRow};
use stackpost_types::*;

fn row(zone: &str, weight: u32) -> BackEndRow {
    BackEndRow {
        service: "models".into(),
        zone: zone.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        weight,
        state: BackEndState::Active,
        checks_fence: true,
        loaded: Vec::new(),
        role: EngineRole::Both,
    }
}

fn balancer(rows: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::default();
    for (name, zone) in rows {
        balancer.set_back_end(&BackEndName::new(name), &row(zone, 100));
    }
    balancer
}

fn choose(balancer: &Balancer, now: u64, blocks: &[BlockHash], may_probe: bool) -> Choice {
    let query = Query {
        service: &"models".into(),
        zone: &"a".into(),
        blocks,
        concurrency: 2,
        tried: &[],
        may_probe,
    };
    balancer.choose(Timestamp(now), &query)
}

fn chosen(choice: Choice) -> String {
    match choice {
        Choice::Chosen(candidates) => candidates[0].back_end.to_string(),
        other => format!("{other:?}"),
    }
}

#[test]
fn cached_prefix_lowers_cost_and_load_raises_it() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a"), ("far", "b")]);
    let blocks = block_hashes("m", &"x".repeat(4 * BLOCK_BYTES));
    let two = BackEndName::new("two");
    balancer.get_mut(&two).expect("known back end").cache.replace(10, &blocks);
    assert_eq!(chosen(choose(&balancer, 0, &blocks, true)), "two");
    let busy = LoadReport { running: 9, waiting: 0, age_ms: 0 };
    balancer.get_mut(&two).expect("known back end").on_report(Timestamp(5), busy);
    assert_eq!(chosen(choose(&balancer, 5, &blocks, true)), "one");
    // Reports lag: the router's dispatches since the report are added to it.
    let one = BackEndName::new("one");
    for _ in 0..2 {
        balancer.get_mut(&one).expect("known back end").on_dispatch(Timestamp(6));
    }
    assert_eq!(chosen(choose(&balancer, 7, &blocks, true)), "two");
    balancer.get_mut(&two).expect("known back end").on_platform(true);
    assert_eq!(chosen(choose(&balancer, 7, &blocks, true)), "far");
}

#[test]
fn gap_in_cache_events_empties_index_until_it_is_replaced() {
    let blocks = block_hashes("m", &"y".repeat(3 * BLOCK_BYTES));
    let stored = |block: &BlockHash| CacheChange::Stored(*block);
    let mut index = CacheIndex::default();
    assert_eq!(index.apply_events(0, &[stored(&blocks[0])]), CacheUpdate::Gap);
    index.replace(4, &blocks[..1]);
    assert_eq!(
        index.apply_events(3, &[stored(&blocks[0]), stored(&blocks[1])]),
        CacheUpdate::Applied
    );
    assert_eq!((index.cached_prefix_len(&blocks), index.next_sequence()), (2, Some(5)));
    assert_eq!(index.apply_events(6, &[stored(&blocks[2])]), CacheUpdate::Gap);
    assert_eq!((index.cached_prefix_len(&blocks), index.next_sequence()), (0, None));
}

/// Unlike an ejection, a backoff is stated by the back end: no request is sent before its end, even
/// if no other back end is available, and whatever load the back end reports meanwhile.
#[test]
fn back_end_gets_no_requests_until_its_backoff_ends() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a")]);
    let [one, two] = ["one", "two"].map(BackEndName::new);
    balancer.get_mut(&one).expect("known back end").on_backoff(Timestamp(100), Millis(3_000));
    assert_eq!(chosen(choose(&balancer, 101, &[], true)), "two");
    balancer.get_mut(&two).expect("known back end").on_backoff(Timestamp(200), Millis(1_000));
    balancer.get_mut(&two).expect("known back end").on_backoff(Timestamp(300), Millis(100));
    balancer
        .get_mut(&two)
        .expect("known back end")
        .on_report(Timestamp(400), LoadReport::default());
    balancer.get_mut(&two).expect("known back end").on_success();
    assert_eq!(choose(&balancer, 1_199, &[], true), Choice::AllBackingOff(Timestamp(1_200)));
    assert_eq!(chosen(choose(&balancer, 1_200, &[], true)), "two");
    balancer.get_mut(&two).expect("known back end").on_platform(true);
    assert_eq!(choose(&balancer, 1_200, &[], true), Choice::AllBackingOff(Timestamp(3_100)));
    assert_eq!(chosen(choose(&balancer, 3_100, &[], true)), "one");
}

#[test]
fn failing_back_end_is_ejected_then_probed_with_one_request() {
    let mut balancer = balancer(&[("one", "a")]);
    let policy = PolicyRow::default();
    let name = BackEndName::new("one");
    for _ in 0..policy.eject_after_failures {
        balancer.get_mut(&name).expect("known back end").on_failure(Timestamp(100), &policy);
    }
    assert_eq!(choose(&balancer, 101, &[], true), Choice::NoneAvailable);
    let later = 100 + policy.eject_ms;
    assert_eq!(
        choose(&balancer, later, &[], false),
        Choice::AllBusy,
        "no probe with a request that may not probe"
    );
    assert_eq!(chosen(choose(&balancer, later, &[], true)), "one");
    balancer.get_mut(&name).expect("known back end").on_dispatch(Timestamp(later));
    assert_eq!(choose(&balancer, later, &[], true), Choice::AllBusy);
    balancer.get_mut(&name).expect("known back end").on_failure(Timestamp(later), &policy);
    assert_eq!(choose(&balancer, later + policy.eject_ms, &[], true), Choice::NoneAvailable);
    balancer.get_mut(&name).expect("known back end").on_success();
    balancer.get_mut(&name).expect("known back end").on_request_end();
    assert_eq!(chosen(choose(&balancer, later, &[], true)), "one");
}

#[test]
fn burst_of_one_tenant_does_not_delay_the_others() {
    let mut queue = FairQueue::default();
    let (bursting, other) = (TenantName::new("loud"), TenantName::new("quiet"));
    for item in 0..4 {
        assert_eq!(queue.push(&bursting, 1, 0, item, 4), PushOutcome::Queued);
    }
    assert_eq!(queue.push(&bursting, 1, 0, 9, 4), PushOutcome::Refused(9));
    assert_eq!(queue.push(&other, 1, 0, 100, 4), PushOutcome::Evicted(3));
    assert_eq!(queue.push(&bursting, 1, 5, 50, 5), PushOutcome::Queued);
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop_if(|_| true)).collect();
    assert_eq!(
        order,
        vec![50, 100, 0, 1, 2],
        "by priority within a tenant, alternating among tenants"
    );
    assert!(queue.is_empty());
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(100);
        retries += u32::from(budget.try_withdraw());
    }
    assert_eq!(retries, 100);
}
