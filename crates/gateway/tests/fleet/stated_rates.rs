//! Engines that state in their answers how many requests a second they take from all routers together.
//!
//! The failure: two of twelve engines stated 1.2 and 1.4 requests a second and went on getting four a second, 21 requests in
//! four seconds at one of them. Nobody was refused and nothing was logged; the engines served what came, in need.
//!
//! The cause: nobody read the statement. Had each router kept to it alone, eight of them would still have sent eight times as
//! much: what is meant for all routers together was known, at most, to one of them. The evidence: arrivals at the two engines did not
//! change in any second after they had stated their rates, and no line or figure of any router told of a statement; once it is
//! read, the first and the last test hold, and with an owner at every router the second one fails still, with 34 requests in a window. See
//! `docs/incidents/2026-12-03-stated-rates-exceeded.md`.

use crate::support::*;
use std::time::{Duration, Instant};

/// Span of time over which an engine's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What was under way, and what routers sent that had not been told yet, may still arrive so long after the first statement.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Time between two requests of a test.
const PACE: Duration = Duration::from_millis(25);

/// Most requests that an engine got within one window, later than [`UNDER_WAY`] after its first one.
fn most_in_a_window(engine: &Engine) -> usize {
    let arrivals = engine.arrivals.borrow();
    let Some(first) = arrivals.first().copied() else {
        return 0;
    };
    let counted: Vec<Instant> =
        arrivals.iter().copied().filter(|at| *at > first + UNDER_WAY).collect();
    let within = |begin: &Instant| {
        counted.iter().filter(|at| (*begin..*begin + WINDOW).contains(at)).count()
    };
    counted.iter().map(within).max().unwrap_or_default()
}

/// Checks the stated aim: in a window no more than one and a half times what the rate allows, and five requests.
fn assert_kept(engine: &Engine, rate: f64) {
    let allowed = (1.5 * rate * WINDOW.as_secs_f64()) as usize + 5;
    let most = most_in_a_window(engine);
    assert!(most <= allowed, "{most} requests in a window at {rate} a second, allowed {allowed}");
}

/// Most requests that an engine may serve in `time`: those before its statement is known, and the stated aim from then on.
fn most_taken(engine: &Engine, rate: f64, time: Duration) -> usize {
    let arrivals = engine.arrivals.borrow();
    let known_from = arrivals.first().map(|first| *first + UNDER_WAY);
    let before = arrivals.iter().filter(|at| known_from.is_some_and(|from| **at <= from)).count();
    before + (1.5 * rate * time.as_secs_f64()) as usize + 5
}

/// Asks the routers in turn for a window and a half.
async fn load(routers: &[std::net::SocketAddr], paths: &[&str]) -> Vec<CallerResponse> {
    let (begun, mut got) = (Instant::now(), Vec::new());
    for number in 0.. {
        let (router, path) = (routers[number % routers.len()], paths[number % paths.len()]);
        got.push(ask_as_caller(router, path, &format!("load-{number}")).await);
        tokio::time::sleep(PACE).await;
        if begun.elapsed() > WINDOW + WINDOW / 2 {
            break;
        }
    }
    got
}

#[test]
fn an_engine_gets_no_more_than_it_states_while_another_has_room() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.engines[0].rate.set(Some(1.5));
        let got = load(&[fleet.callers], &["/once/1", "/again/1", "/stream/1"]).await;
        assert!(got.iter().all(|got| got.status == 200), "the other engine has room");
        assert!(fleet.engines[0].arrivals.borrow().len() > 3, "it serves what it takes");
        assert_kept(&fleet.engines[0], 1.5);
    });
}

#[test]
fn routers_together_send_no_more_than_an_engine_states() {
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
        let begun = Instant::now();
        let got = load(&routers, &["/once/1", "/again/1", "/stream/1"]).await;
        let time = begun.elapsed();
        fleet.engines.iter().for_each(|engine| assert_kept(engine, 1.3));
        let taken: usize = fleet.engines.iter().map(|engine| most_taken(engine, 1.3, time)).sum();
        let served = got.iter().filter(|got| got.status == 200).count();
        let refused = got.iter().filter(|got| got.status == 503).count();
        assert_eq!(served + refused, got.len(), "what can't be served is refused");
        assert!(served <= taken, "{served} of {} served, engines take {taken}", got.len());
    });
}

#[test]
fn generations_are_held_to_a_rate_as_other_requests_are() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.engines[0].rate.set(Some(1.3));
        fleet.engines[1].rate.set(Some(40.0));
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < WINDOW + WINDOW / 2 {
            fleet.generate(&format!("generation-{number}")).await;
            number += 1;
            tokio::time::sleep(PACE).await;
        }
        assert_kept(&fleet.engines[0], 1.3);
    });
}

/// Without it a request that was turned away everywhere waited for a permit that nobody had to give.
#[test]
fn a_request_that_was_at_every_engine_is_refused_at_once() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::Full, Behaviour::Full);
        fleet.engines.iter().for_each(|engine| engine.rate.set(Some(40.0)));
        fleet.ask("/again/1", "first").await;
        tokio::time::sleep(UNDER_WAY).await;
        let got = fleet.ask("/again/1", "second").await;
        assert_eq!(got.status, 503);
        assert!(got.body.expect("whole").contains("engines_full"));
        let arrived: usize =
            fleet.engines.iter().map(|engine| engine.arrivals.borrow().len()).sum();
        assert_eq!(arrived, 4, "each was asked by both requests");
    });
}

/// A repeat took a permit that had just come, before a request that waited for its first.
#[test]
fn a_repeat_takes_no_permit_for_which_a_first_attempt_waits() {
    const REQUESTS: usize = 12;
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.set_behaviours(Behaviour::ServerError, Behaviour::ServerError);
        fleet.engines.iter().for_each(|engine| engine.rate.set(Some(8.0)));
        // More than may gather, so that nothing is left of the rates and all who ask at once wait.
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
        let is_repeat = |at: usize| arrived[..at].contains(&arrived[at]);
        let last_first = (0..arrived.len()).rev().find(|at| !is_repeat(*at)).expect("some came");
        let passed = (0..last_first).filter(|at| is_repeat(*at)).count();
        assert_eq!(passed, 0, "repeats before a first attempt: {arrived:?}");
    });
}

/// Ids of the requests that reached either engine, in the order in which they came.
fn arrivals_in_order(fleet: &Fleet) -> Vec<String> {
    let mut arrivals = Vec::new();
    for engine in &fleet.engines {
        let (runs, times) = (engine.runs.borrow(), engine.arrivals.borrow());
        arrivals.extend(times.iter().copied().zip(runs.iter().map(|(id, _)| id.clone())));
    }
    arrivals.sort();
    arrivals.into_iter().map(|(_, id)| id).collect()
}
