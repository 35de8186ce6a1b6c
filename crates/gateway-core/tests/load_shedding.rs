//! Who is let in while engines state that they take less than is asked.

use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

fn class(priority: u32, tenant: &str) -> RequestClass {
    RequestClass { priority, tenant: Some(tenant.into()) }
}

fn service() -> ServiceName {
    "plain".into()
}

/// Requests of these classes, so many a second each, for twenty seconds before engines that take
/// `rate` a second in all. Returns how many of each got a permit a second in the second half.
fn play(classes: &[(RequestClass, u64)], rate: u32) -> BTreeMap<RequestClass, f64> {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::from_milli_rps(rate * 1_000);
    let (mut level, mut got, mut lot) = (0.0_f64, BTreeMap::new(), 0_u64);
    for step in 0..20_000 {
        let now = Timestamp(1_000 + step);
        level = (level + f64::from(rate) / 1_000.0).min(2.0);
        for (class, a_second) in
            classes.iter().filter(|(_, a_second)| step % (1_000 / a_second) == 0)
        {
            lot =
                lot.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            if !shedding.admits(now, &service(), class, owned, lot >> 32) {
                continue;
            }
            if level < 1.0 {
                shedding.on_no_permit(now, &service());
                continue;
            }
            level -= 1.0;
            shedding.on_permit(&service());
            if step >= 10_000 {
                *got.entry(class.clone()).or_insert(0.0) += 0.1;
            }
            let _ = a_second;
        }
    }
    got
}

#[test]
fn the_more_urgent_go_first_and_nobody_starves() {
    let (urgent, usual, late) = (class(0, "a"), class(1, "a"), class(2, "a"));
    let got = play(&[(late.clone(), 100), (usual.clone(), 20), (urgent.clone(), 10)], 20);
    let served = |class: &RequestClass, asked: f64| got[class] / asked;
    assert!(served(&urgent, 10.0) >= served(&usual, 20.0) - 0.05, "{got:?}");
    assert!(served(&usual, 20.0) >= served(&late, 100.0) - 0.05, "{got:?}");
    assert!(got[&late] >= 1.0, "{got:?}");
    assert!(got.values().sum::<f64>() >= 17.0, "what can be had is used: {got:?}");
}

#[test]
fn tenants_share_alike_up_to_what_they_ask_for() {
    let (large, small, tiny) = (class(1, "large"), class(1, "small"), class(1, "tiny"));
    let got = play(&[(large.clone(), 100), (small.clone(), 20), (tiny.clone(), 4)], 20);
    assert!(got[&tiny] >= 3.0, "{got:?}");
    assert!((5.0..11.0).contains(&got[&small]), "{got:?}");
    assert!((5.0..11.0).contains(&got[&large]), "{got:?}");
}

#[test]
fn nobody_is_shed_while_there_are_permits() {
    let mut shedding = LoadShedder::default();
    for step in 0..5_000 {
        let owned = RequestRate::ZERO;
        assert!(shedding.admits(Timestamp(step), &service(), &class(3, "a"), owned, u64::MAX));
    }
}

#[test]
fn callers_return_at_the_pace_at_which_permits_come() {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::from_milli_rps(10_000);
    for now in [1_000, 2_000] {
        shedding.admits(Timestamp(now), &service(), &class(1, "a"), owned, 0);
    }
    let now = Timestamp(2_000);
    let mut told = |lot| shedding.retry_delay(now, &service(), Millis(50), Millis(1_000), lot).0;
    let first: Vec<u64> = (0..10).map(&mut told).collect();
    assert_eq!(first, [50, 150, 250, 350, 450, 550, 650, 750, 850, 950]);
    let late: Vec<u64> = (0..500).map(|lot| told(lot * 7)).collect();
    assert!(late.iter().all(|after| (500..=1_000).contains(after)), "none later than is of use");
}

#[test]
fn a_caller_that_has_no_time_is_not_told_to_stay_away_longer() {
    let mut shedding = LoadShedder::default();
    let owned = RequestRate::ZERO;
    shedding.admits(Timestamp(1_000), &service(), &class(1, "a"), owned, 0);
    let told = shedding.retry_delay(Timestamp(1_000), &service(), Millis(900), Millis(0), 5);
    assert_eq!(told, Millis(0));
    let told = shedding.retry_delay(Timestamp(1_000), &service(), Millis(900), Millis(100), 5);
    assert!(told <= Millis(100));
}
