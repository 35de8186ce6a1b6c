//! Load updates between routers over real sockets.

use crate::support::*;
use stackpost_clock::MachineClock;
use stackpost_gateway::load_exchange::LoadExchange;
use stackpost_gateway::{LoadSettings, Router, TcpDialer};
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::net::UdpSocket;
use std::rc::Rc;

/// More than an engine prefills during a test.
const LONG_PROMPT: Tokens = Tokens(100_000_000);

fn placement() -> Placement {
    let work = GenerationWork {
        shared: Tokens::ZERO,
        own: LONG_PROMPT,
        objective: Millis(500),
        gap_objective: Millis(500),
    };
    let estimate = EngineLoad::default().estimate(Timestamp(0), None, &work, false);
    Placement { work, prefix_hash: None, estimate, cost: PlacementCost::default() }
}

#[test]
fn load_update_reaches_the_other_router() {
    run_local(async {
        let (sender, receiver) = (router(), router());
        let (from, to) = (free_address(), free_address());
        let exchange = LoadExchange::start(1, from, sender.clone()).await.expect("started");
        let _other = LoadExchange::start(2, to, receiver.clone()).await.expect("started");
        exchange.set_peers(&[to]);
        let engine = BackEndName::new("e1");
        sender.on_placed(&engine, Some(&placement()));
        wait_until(|| receiver.pending_prefill(&engine) > Tokens::ZERO).await;
        assert!(receiver.pending_prefill(&engine) > Tokens(LONG_PROMPT.0 / 2));
    });
}

#[test]
fn malformed_datagrams_change_nothing() {
    run_local(async {
        let (sender, receiver) = (router(), router());
        let (from, to) = (free_address(), free_address());
        let exchange = LoadExchange::start(1, from, sender.clone()).await.expect("started");
        let _other = LoadExchange::start(2, to, receiver.clone()).await.expect("started");
        let unknown_sender = UdpSocket::bind(free_address()).expect("an address");
        for noise in [&b""[..], b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", &[7; 3_000]] {
            unknown_sender.send_to(noise, to).expect("sent");
        }
        exchange.set_peers(&[to]);
        let engine = BackEndName::new("e1");
        sender.on_placed(&engine, Some(&placement()));
        // Datagrams between two sockets on one machine arrive in order.
        wait_until(|| receiver.pending_prefill(&engine) > Tokens::ZERO).await;
        assert_eq!(receiver.pending_prefill(&BackEndName::new("e2")), Tokens::ZERO);
    });
}

fn router_with_engine_model(engine_model: bool) -> Rc<Router> {
    let load = LoadSettings { engine_model, ..LoadSettings::default() };
    router_with_load(MachineClock::default(), Rc::new(TcpDialer::default()), load)
}

/// Guards against routers that know only their own plain requests, and against reports between
/// routers whose engine model is switched off.
#[test]
fn plain_requests_in_flight_are_reported_with_the_engine_model_only() {
    run_local(async {
        let (sender, receiver) = (router_with_engine_model(true), router_with_engine_model(true));
        let without_model = router_with_engine_model(false);
        let (from, to, to_other) = (free_address(), free_address(), free_address());
        let exchange = LoadExchange::start(1, from, sender.clone()).await.expect("started");
        let _receiving = LoadExchange::start(2, to, receiver.clone()).await.expect("started");
        let other = without_model.clone();
        let silent = LoadExchange::start(3, to_other, other).await.expect("started");
        exchange.set_peers(&[to, to_other]);
        silent.set_peers(&[from]);
        let engine = BackEndName::new("e1");
        sender.on_placed(&engine, None);
        sender.on_placed(&engine, None);
        without_model.on_placed(&engine, None);
        wait_until(|| receiver.reported_plain_in_flight(&engine) > 1.9).await;
        assert!(receiver.reported_plain_in_flight(&engine) < 2.1);
        assert_eq!(sender.reported_plain_in_flight(&engine), 0.0);
        assert_eq!(without_model.reported_plain_in_flight(&engine), 0.0);
    });
}
