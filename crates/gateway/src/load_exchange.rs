//! Routers tell each other what they send to engines.
//!
//! Each router sees only its own requests, a small part of what an engine has to do. So every
//! router tells the others, by datagrams: at once when it has sent much to be read, else now and
//! then. A datagram says what is new to be read and how much runs; one that is lost makes the
//! picture of the others a little older and nothing else. Nobody waits for an answer.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{CrashSighting, EngineLoadUpdate};
use stackpost_types::{BackEndName, Millis, PeerError, Tokens};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between two words while nothing has to be told at once, for few routers.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Routers from which on they tell each other less, so that what one of them sends and receives does
/// not grow with their number: 70 routers that all told of 3,000 tokens at once spent more than
/// their links and processors had.
const FEW_ROUTERS: u64 = 12;
/// Most by which the interval grows: what is said counts for a little over twice as long.
const MOST_INTERVALS: u64 = 6;
/// Other routers are told at once of so many tokens to be read at one engine, if they are few: less
/// is read before anyone else could send something there because of it.
const TOLD_AT_ONCE: Tokens = Tokens(3_000);
/// Pause after each word, in which what follows is gathered.
const GATHER_TIME: Duration = Duration::from_millis(8);
/// Engines in one datagram, so that it fits one packet.
const ENGINES_PER_DATAGRAM: usize = 24;

/// What one router tells the others.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadUpdate {
    /// Names the sender's life.
    router: u64,
    engines: Vec<(BackEndName, EngineLoadUpdate)>,
}

/// One router's part in the exchange.
pub struct LoadExchange {
    own: u64,
    router: Rc<Router>,
    socket: Rc<PeerSocket>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl LoadExchange {
    /// Listens for other routers at `address` and tells them from now on. `own` names this life of
    /// the router. Must be called inside a `LocalSet`.
    pub async fn start(
        own: u64,
        address: SocketAddr,
        router: Rc<Router>,
    ) -> Result<Rc<Self>, PeerError> {
        let socket = Rc::new(PeerSocket::bind(address).await?);
        router.permits.open(own, address, socket.clone());
        let exchange = Rc::new(Self { own, router, socket, peers: RefCell::default() });
        tokio::task::spawn_local(exchange.clone().listen());
        tokio::task::spawn_local(exchange.clone().tell());
        Ok(exchange)
    }

    /// Takes over who is to be told.
    pub fn set_peers(&self, peers: &[SocketAddr]) {
        *self.peers.borrow_mut() = peers.to_vec();
        self.router.urgent_update_tokens.set(Tokens(TOLD_AT_ONCE.0 * self.crowd()));
    }

    /// Tells other routers of engines that ended under requests.
    pub(crate) fn broadcast_engine_crashes(&self, seen: &[(CrashSighting, Millis)]) {
        for some in seen.chunks(ENGINES_PER_DATAGRAM) {
            let datagram = PeerDatagram::EngineCrashes(some.to_vec());
            self.peers.borrow().iter().for_each(|peer| self.socket.send(*peer, &datagram));
        }
    }

    /// One for few routers, and more the more there are.
    fn crowd(&self) -> u64 {
        (self.peers.borrow().len() as u64).div_ceil(FEW_ROUTERS).max(1)
    }

    async fn listen(self: Rc<Self>) {
        loop {
            match self.socket.receive(&self.router.metrics).await {
                (PeerDatagram::Load(news), _) => self.take_in(news),
                (PeerDatagram::EngineCrashes(seen), _) => {
                    let now = self.router.now();
                    self.router.crash_tracker.borrow_mut().on_peer_sightings(now, seen);
                }
                (PeerDatagram::Permit(message), from) => {
                    self.router.on_permit_message(from, message);
                }
            }
        }
    }

    fn take_in(&self, news: LoadUpdate) {
        let now = self.router.now();
        let mut picker = self.router.picker.borrow_mut();
        for (engine, of_engine) in news.engines {
            picker.on_peer_update(now, news.router, engine, &of_engine);
        }
    }

    async fn tell(self: Rc<Self>) {
        let mut told_all_at = Instant::now();
        loop {
            let urgent = tokio::select! {
                () = self.router.load_changed.notified() => true,
                () = sleep_until(told_all_at + self.interval()) => false,
            };
            if !urgent {
                told_all_at = Instant::now();
                self.router.publish_rates();
            }
            self.tell_all(urgent);
            sleep(GATHER_TIME).await;
        }
    }

    fn interval(&self) -> Duration {
        TELL_INTERVAL * self.crowd().min(MOST_INTERVALS) as u32
    }

    fn tell_all(&self, urgent: bool) {
        let news = self.router.picker.borrow_mut().take_updates(urgent);
        let peers = self.peers.borrow().clone();
        for engines in news.chunks(ENGINES_PER_DATAGRAM) {
            let news = LoadUpdate { router: self.own, engines: engines.to_vec() };
            let datagram = PeerDatagram::Load(news);
            for peer in &peers {
                self.socket.send(*peer, &datagram);
            }
        }
    }
}
