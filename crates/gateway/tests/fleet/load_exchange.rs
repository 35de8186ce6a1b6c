//! Routers tell each other over real sockets what they send to engines.

use crate::support::*;
use stackpost_gateway::load_exchange::LoadExchange;
use stackpost_gateway_core::*;
use stackpost_types::*;
use std::net::UdpSocket;

/// More than a machine reads while a test looks.
const LONG_PROMPT: Tokens = Tokens(100_000_000);

fn placement() -> Placement {
    let work = GenerationWork {
        shared: Tokens::ZERO,
        own: LONG_PROMPT,
        objective: Millis(500),
        gap_objective: Millis(500),
    };
    let estimate = EngineLoad::default().estimate(Timestamp(0), None, &work, false);
    Placement { work, subject: None, estimate, cost: PlacementCost::default() }
}

#[test]
fn what_one_router_sends_is_known_to_the_other() {
    run_local(async {
        let (teller, listener) = (router(), router());
        let (from, to) = (free_address(), free_address());
        let exchange = LoadExchange::start(1, from, teller.clone()).await.expect("started");
        let _other = LoadExchange::start(2, to, listener.clone()).await.expect("started");
        exchange.set_peers(&[to]);
        let engine = BackEndName::new("e1");
        teller.on_placed(&engine, Some(&placement()));
        wait_until(|| listener.to_read(&engine) > Tokens::ZERO).await;
        assert!(listener.to_read(&engine) > Tokens(LONG_PROMPT.0 / 2));
    });
}

#[test]
fn what_is_no_news_changes_nothing() {
    run_local(async {
        let (teller, listener) = (router(), router());
        let (from, to) = (free_address(), free_address());
        let exchange = LoadExchange::start(1, from, teller.clone()).await.expect("started");
        let _other = LoadExchange::start(2, to, listener.clone()).await.expect("started");
        let stranger = UdpSocket::bind(free_address()).expect("an address");
        for noise in [&b""[..], b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", &[7; 3_000]] {
            stranger.send_to(noise, to).expect("sent");
        }
        exchange.set_peers(&[to]);
        let engine = BackEndName::new("e1");
        teller.on_placed(&engine, Some(&placement()));
        // Datagrams of one machine come in the order in which they were sent.
        wait_until(|| listener.to_read(&engine) > Tokens::ZERO).await;
        assert_eq!(listener.to_read(&BackEndName::new("e2")), Tokens::ZERO);
    });
}
