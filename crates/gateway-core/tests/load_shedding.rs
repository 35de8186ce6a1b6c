//! Which requests are admitted while demand exceeds the rates that engines state.

use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

fn class(priority: u32, tenant: &str) -> RequestClass {
    RequestClass { priority, tenant: Some(tenant.into()) }
}

fn service() -> ServiceName {
    "plain".into()
}

/// Simulates 20 s of requests, with a rate per second for each class, at engines that accept `rate`
/// per second in all. Returns the permits per second of each class in the second half.
fn simulate(classes: &[(RequestClass, u64)], rate: u32) -> BTreeMap<RequestClass, f64> {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::from_milli_rps(rate * 1_000);
    let (mut level, mut permits, mut request_hash) = (0.0_f64, BTreeMap::new(), 0_u64);
    for step in 0..20_000 {
        let now = Timestamp(1_000 + step);
        level = (level + f64::from(rate) / 1_000.0).min(2.0);
        for (class, per_second) in
            classes.iter().filter(|(_, per_second)| step % (1_000 / per_second) == 0)
        {
            request_hash = request_hash
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            if !shedding.admits(now, &service(), class, owned, request_hash >> 32) {
                continue;
            }
            if level < 1.0 {
                shedding.on_no_permit(now, &service());
                continue;
            }
            level -= 1.0;
            shedding.on_permit(&service());
            if step >= 10_000 {
                *permits.entry(class.clone()).or_insert(0.0) += 0.1;
            }
            let _ = per_second;
        }
    }
    permits
}

#[test]
fn higher_priorities_go_first_and_none_starves() {
    let (high, normal, low) = (class(0, "a"), class(1, "a"), class(2, "a"));
    let permits = simulate(&[(low.clone(), 100), (normal.clone(), 20), (high.clone(), 10)], 20);
    let served = |class: &RequestClass, demand: f64| permits[class] / demand;
    assert!(served(&high, 10.0) >= served(&normal, 20.0) - 0.05, "{permits:?}");
    assert!(served(&normal, 20.0) >= served(&low, 100.0) - 0.05, "{permits:?}");
    assert!(permits[&low] >= 1.0, "{permits:?}");
    assert!(permits.values().sum::<f64>() >= 17.0, "the capacity is used: {permits:?}");
}

#[test]
fn tenants_get_equal_shares_up_to_their_demand() {
    let (large, small, tiny) = (class(1, "large"), class(1, "small"), class(1, "tiny"));
    let permits = simulate(&[(large.clone(), 100), (small.clone(), 20), (tiny.clone(), 4)], 20);
    assert!(permits[&tiny] >= 3.0, "{permits:?}");
    assert!((5.0..11.0).contains(&permits[&small]), "{permits:?}");
    assert!((5.0..11.0).contains(&permits[&large]), "{permits:?}");
}

#[test]
fn no_request_is_shed_while_permits_are_available() {
    let mut shedding = LoadShedder::default();
    for step in 0..5_000 {
        let owned = RequestRate::ZERO;
        assert!(shedding.admits(Timestamp(step), &service(), &class(3, "a"), owned, u64::MAX));
    }
}

#[test]
fn retries_are_spaced_at_the_permit_rate() {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::from_milli_rps(10_000);
    for now in [1_000, 2_000] {
        shedding.admits(Timestamp(now), &service(), &class(1, "a"), owned, 0);
    }
    let now = Timestamp(2_000);
    let mut delay = |request_hash| {
        shedding.retry_delay(now, &service(), Millis(50), Millis(1_000), request_hash).0
    };
    let first: Vec<u64> = (0..10).map(&mut delay).collect();
    assert_eq!(first, [50, 150, 250, 350, 450, 550, 650, 750, 850, 950]);
    let delayed: Vec<u64> = (0..500).map(|request_hash| delay(request_hash * 7)).collect();
    assert!(
        delayed.iter().all(|delay| (500..=1_000).contains(delay)),
        "no delay is beyond the latest useful time"
    );
}

#[test]
fn the_retry_delay_is_within_the_callers_time() {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::ZERO;
    shedding.admits(Timestamp(1_000), &service(), &class(1, "a"), owned, 0);
    let delay = shedding.retry_delay(Timestamp(1_000), &service(), Millis(900), Millis(0), 5);
    assert_eq!(delay, Millis(0));
    let delay = shedding.retry_delay(Timestamp(1_000), &service(), Millis(900), Millis(100), 5);
    assert!(delay <= Millis(100));
}
