//! Engines that state a rate limit for all routers together in their responses.
//!
//! Guards against stated rate limits being ignored. Two of twelve engines were overloaded, stated
//! 1.2 and 1.4 requests per second and still received four per second, 21 requests in four seconds
//! at one of them; nothing was refused or logged. No router read the header. Had each router
//! applied the limit alone, eight of them would still have sent eight times as much. With a
//! separate owner of the limit at every router, 34 requests arrived in one window.
//!
//! See `docs/incidents/2026-12-03-stated-rates-exceeded.md`.

use crate::support::*;
use std::time::{Duration, Instant};

/// Window over which an engine's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in flight, and those that routers sent before they received the limit, may arrive up to
/// this long after the first statement.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Interval between two requests of a test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Largest number of requests that an engine received within one window, from [`IN_FLIGHT_TIME`]
/// after its first one.
fn max_in_a_window(engine: &Engine) -> usize {
    let arrivals = engine.arrivals.borrow();
    let Some(first) = arrivals.first().copied() else {
        return 0;
    };
    let counted: Vec<Instant> =
        arrivals.iter().copied().filter(|at| *at > first + IN_FLIGHT_TIME).collect();
    let count_from = |begin: &Instant| {
        counted.iter().filter(|at| (*begin..*begin + WINDOW).contains(at)).count()
    };
    counted.iter().map(count_from).max().unwrap_or_default()
}

/// Checks that a window has at most one and a half times the requests that the rate limit allows,
/// plus five.
fn assert_rate_respected(engine: &Engine, rate: f64) {
    let allowed = (1.5 * rate * WINDOW.as_secs_f64()) as usize + 5;
    let largest = max_in_a_window(engine);
    assert!(
        largest <= allowed,
        "{largest} requests in a window at {rate} a second, allowed {allowed}"
    );
}

/// Largest number of requests that an engine may serve in `time`: those before its statement is
/// known, and one and a half times its rate limit plus five from then on.
fn max_served(engine: &Engine, rate: f64, time: Duration) -> usize {
    let arrivals = engine.arrivals.borrow();
    let known_from = arrivals.first().map(|first| *first + IN_FLIGHT_TIME);
    let before = arrivals.iter().filter(|at| known_from.is_some_and(|from| **at <= from)).count();
    before + (1.5 * rate * time.as_secs_f64()) as usize + 5
}

/// Sends requests to the routers in turn for a window and a half.
async fn send_load(routers: &[std::net::SocketAddr], paths: &[&str]) -> Vec<CallerResponse> {
    let (started, mut responses) = (Instant::now(), Vec::new());
    for number in 0.. {
        let (router, path) = (routers[number % routers.len()], paths[number % paths.len()]);
        responses.push(ask_as_caller(router, path, &format!("load-{number}")).await);
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if started.elapsed() > WINDOW + WINDOW / 2 {
            break;
        }
    }
    responses
}

#[test]
fn stated_rate_is_respected_while_another_engine_has_capacity() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.engines[0].rate.set(Some(1.5));
        let responses = send_load(&[fleet.callers], &["/once/1", "/again/1", "/stream/1"]).await;
        assert!(
            responses.iter().all(|response| response.status == 200),
            "the other engine has free capacity"
        );
        assert!(
            fleet.engines[0].arrivals.borrow().len() > 3,
            "the limited engine receives requests as well"
        );
        assert_rate_respected(&fleet.engines[0], 1.5);
    });
}

#[test]
fn stated_rate_is_respected_by_all_routers_together() {
    run_local(async {
        let fleet = Fleet::start().await;
        let mut routers = vec![fleet.callers];
        let mut machines = Vec::new();
        for _ in 0..5 {
            let machine = fleet.add_router().await;
            machine.ready(2).await;
            routers.push(machine.callers);
            machines.push(machine);
        }
        fleet.engines.iter().for_each(|engine| engine.rate.set(Some(1.3)));
        let started = Instant::now();
        let responses = send_load(&routers, &["/once/1", "/again/1", "/stream/1"]).await;
        let time = started.elapsed();
        fleet.engines.iter().for_each(|engine| assert_rate_respected(engine, 1.3));
        let max_total: usize =
            fleet.engines.iter().map(|engine| max_served(engine, 1.3, time)).sum();
        let served = responses.iter().filter(|response| response.status == 200).count();
        let refused = responses.iter().filter(|response| response.status == 503).count();
        assert_eq!(served + refused, responses.len(), "every request is served or refused");
        assert!(
            served <= max_total,
            "{served} of {} served, engines take {max_total}",
            responses.len()
        );
    });
}

#[test]
fn stated_rate_applies_to_generations() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.engines[0].rate.set(Some(1.3));
        fleet.engines[1].rate.set(Some(40.0));
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < WINDOW + WINDOW / 2 {
            fleet.generate(&format!("generation-{number}")).await;
            number += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        assert_rate_respected(&fleet.engines[0], 1.3);
    });
}

/// Guards against a request that every engine has rejected waiting for a permit that nobody can
/// grant.
#[test]
fn request_rejected_by_every_engine_is_refused_at_once() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.rate.set(Some(40.0)));
        fleet.ask("/again/1", "first").await;
        tokio::time::sleep(IN_FLIGHT_TIME).await;
        let response = fleet.ask("/again/1", "second").await;
        assert_eq!(response.status, 503);
        assert!(response.body.expect("a complete body").contains("engines_full"));
        let arrived: usize =
            fleet.engines.iter().map(|engine| engine.arrivals.borrow().len()).sum();
        assert_eq!(arrived, 4, "each engine received both requests");
    });
}

/// Guards against a retry taking a new permit before a request that waits for its first one.
#[test]
fn retry_takes_no_permit_before_a_waiting_first_attempt() {
    const REQUESTS: usize = 12;
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::ServerError, Behaviour::ServerError);
        fleet.engines.iter().for_each(|engine| engine.rate.set(Some(8.0)));
        // More than the token buckets hold, so that the limits are exhausted and all concurrent
        // requests wait.
        for number in 0..REQUESTS {
            fleet.ask("/again/1", &format!("before-{number}")).await;
        }
        let before = fleet.runs();
        let ask = |number: usize| {
            let callers = fleet.callers;
            async move { ask_as_caller(callers, "/again/1", &format!("at-once-{number}")).await }
        };
        futures::future::join_all((0..REQUESTS).map(ask)).await;
        let arrived = arrivals_in_order(&fleet).split_off(before);
        let is_retry = |at: usize| arrived[..at].contains(&arrived[at]);
        let last_first =
            (0..arrived.len()).rev().find(|at| !is_retry(*at)).expect("some requests arrived");
        let early_retries = (0..last_first).filter(|at| is_retry(*at)).count();
        assert_eq!(early_retries, 0, "retries before a first attempt: {arrived:?}");
    });
}

/// Ids of the requests that reached either engine, in order of arrival.
fn arrivals_in_order(fleet: &Fleet) -> Vec<String> {
    let mut arrivals = Vec::new();
    for engine in &fleet.engines {
        let (runs, times) = (engine.runs.borrow(), engine.arrivals.borrow());
        arrivals.extend(times.iter().copied().zip(runs.iter().map(|(id, _)| id.clone())));
    }
    arrivals.sort();
    arrivals.into_iter().map(|(_, id)| id).collect()
}
