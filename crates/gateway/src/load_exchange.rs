//! Load updates between routers.
//!
//! Each router sees only its own requests, a small part of an engine's load. So every router sends
//! its load to the others, by datagrams: at once after sending many prompt tokens, else
//! periodically. A datagram states the new prompt tokens and the running requests; if it is lost,
//! the other routers' view is a little older and nothing else. No reply is expected.
//!
//! With the engine model, further datagrams of the same period state the mean number of plain
//! requests in flight at each engine, and the streams, the memory in use and the pace there.

use crate::peer_socket::{PeerDatagram, PeerSocket};
use crate::pressure_control::SAMPLE_INTERVAL;
use crate::router::Router;
use serde::{Deserialize, Serialize};
use stackpost_gateway_core::{
    CrashSighting, EngineLoadUpdate, GenerationLoadReport, PlainLoadReport, PressureReport,
};
use stackpost_types::{BackEndName, Millis, PeerError, Tokens, ZoneName};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until};

/// Interval of periodic updates with few routers.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of routers from which updates become less frequent, so that the traffic of one router
/// does not grow with their number: 70 routers that each sent an update at once for every 3,000
/// tokens exceeded the capacity of their links and processors.
const FEW_ROUTERS: u64 = 12;
/// Largest factor by which the interval grows: an update stays valid (4 s) for more than twice the
/// longest interval (1.5 s).
const MAX_INTERVAL_FACTOR: u64 = 6;
/// Prompt tokens at one engine from which an update is sent at once, with few routers: fewer are
/// prefilled before another router could send a request there because of them.
const URGENT_UPDATE_TOKENS: Tokens = Tokens(3_000);
/// Pause after each update, in which further changes are batched.
const BATCH_TIME: Duration = Duration::from_millis(8);
/// Maximum number of engines in one datagram, so that it fits one packet.
const ENGINES_PER_DATAGRAM: usize = 24;

/// An update of the load that one router puts on engines.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadUpdate {
    /// Identifies the sender's incarnation.
    router: u64,
    engines: Vec<(BackEndName, EngineLoadUpdate)>,
}

/// What one router knows of engines, for their model. Sent periodically.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EngineModelUpdate {
    /// Identifies the sender's incarnation.
    router: u64,
    /// The sender's zone.
    zone: ZoneName,
    /// Its requests that are not generations.
    plain: Vec<(BackEndName, PlainLoadReport)>,
    /// Its generations.
    generations: Vec<(BackEndName, GenerationLoadReport)>,
}

/// Sends and receives load updates for one router.
pub struct LoadExchange {
    incarnation: u64,
    router: Rc<Router>,
    socket: Rc<PeerSocket>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl LoadExchange {
    /// Receives updates at `address` and starts to send them. `incarnation` identifies this run of
    /// the router. Must be called inside a `LocalSet`.
    pub async fn start(
        incarnation: u64,
        address: SocketAddr,
        router: Rc<Router>,
    ) -> Result<Rc<Self>, PeerError> {
        Self::start_at(incarnation, address, address, router).await
    }

    /// The same for a router that others reach as `advertised`.
    pub async fn start_at(
        incarnation: u64,
        address: SocketAddr,
        advertised: SocketAddr,
        router: Rc<Router>,
    ) -> Result<Rc<Self>, PeerError> {
        let meter = router.pressure_control.meter.clone();
        let socket = Rc::new(PeerSocket::bind(address, meter).await?);
        router.permits.open(incarnation, advertised, socket.clone());
        router.stream_records.open(socket.clone());
        let exchange = Rc::new(Self { incarnation, router, socket, peers: RefCell::default() });
        tokio::task::spawn_local(exchange.clone().listen());
        tokio::task::spawn_local(exchange.clone().send_updates());
        if exchange.router.pressure_control.is_measured() {
            tokio::task::spawn_local(exchange.clone().sample_pressure());
        }
        Ok(exchange)
    }

    /// Sets the routers that receive updates.
    pub fn set_peers(&self, peers: &[SocketAddr]) {
        *self.peers.borrow_mut() = peers.to_vec();
        self.router
            .urgent_update_tokens
            .set(Tokens(URGENT_UPDATE_TOKENS.0 * self.interval_factor()));
    }

    /// Sends crash sightings to the other routers.
    pub(crate) fn broadcast_engine_crashes(&self, sightings: &[(CrashSighting, Millis)]) {
        for chunk in sightings.chunks(ENGINES_PER_DATAGRAM) {
            let datagram = PeerDatagram::EngineCrashes(chunk.to_vec());
            self.peers.borrow().iter().for_each(|peer| self.socket.send(*peer, &datagram));
        }
    }

    /// Factor by which updates become less frequent: 1 for few routers, growing with their number.
    fn interval_factor(&self) -> u64 {
        (self.peers.borrow().len() as u64).div_ceil(FEW_ROUTERS).max(1)
    }

    async fn listen(self: Rc<Self>) {
        loop {
            match self.socket.receive(&self.router.metrics).await {
                (PeerDatagram::Load(update), _) => self.on_update(update),
                (PeerDatagram::EngineCrashes(sightings), _) => {
                    let now = self.router.now();
                    self.router.crash_tracker.borrow_mut().on_peer_sightings(now, sightings);
                }
                (PeerDatagram::Permit(message), from) => {
                    self.router.on_permit_message(from, message);
                }
                (PeerDatagram::Stream(message), from) => {
                    self.router.on_stream_message(from, message);
                }
                (PeerDatagram::EngineModel(update), _) => self.on_model_update(update),
                (PeerDatagram::Pressure(report), from) => {
                    self.router.on_pressure_report(from, report);
                }
            }
        }
    }

    fn on_update(&self, update: LoadUpdate) {
        let now = self.router.now();
        let mut picker = self.router.picker.borrow_mut();
        for (engine, engine_update) in update.engines {
            picker.on_peer_update(now, update.router, engine, &engine_update);
        }
    }

    fn on_model_update(&self, update: EngineModelUpdate) {
        let now = self.router.now();
        let mut picker = self.router.picker.borrow_mut();
        for (engine, report) in update.plain {
            picker.on_plain_report(now, update.router, &update.zone, engine, report);
        }
        for (engine, report) in update.generations {
            picker.on_generation_report(now, update.router, engine, report);
        }
    }

    async fn send_updates(self: Rc<Self>) {
        let mut last_broadcast_at = Instant::now();
        loop {
            let urgent = tokio::select! {
                () = self.router.load_changed.notified() => true,
                () = sleep_until(last_broadcast_at + self.interval()) => false,
            };
            if !urgent {
                last_broadcast_at = Instant::now();
                self.router.publish_rates();
                self.broadcast_engine_model();
                self.broadcast_pressure();
            }
            self.broadcast_updates(urgent);
            sleep(BATCH_TIME).await;
        }
    }

    /// Sends the pressure on this machine to all peers.
    fn broadcast_pressure(&self) {
        if let Some(report) = self.router.periodic_pressure_report() {
            self.send_pressure(&self.peers.borrow(), report);
        }
    }

    /// Samples the pressure on this machine, and sends large changes to the zone's routers.
    async fn sample_pressure(self: Rc<Self>) {
        let mut samples = interval(SAMPLE_INTERVAL);
        samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            samples.tick().await;
            if let Some(report) = self.router.sample_pressure() {
                self.send_pressure(&self.router.neighbour_addresses(), report);
            }
        }
    }

    fn send_pressure(&self, to: &[SocketAddr], report: PressureReport) {
        let datagram = PeerDatagram::Pressure(report);
        to.iter().for_each(|peer| self.socket.send(*peer, &datagram));
    }

    fn interval(&self) -> Duration {
        UPDATE_INTERVAL * self.interval_factor().min(MAX_INTERVAL_FACTOR) as u32
    }

    fn broadcast_engine_model(&self) {
        let now = self.router.now();
        let plain = self.router.picker.borrow_mut().take_plain_reports(now);
        let generations = self.router.picker.borrow_mut().take_generation_reports(now);
        let plain = plain.chunks(ENGINES_PER_DATAGRAM).map(|chunk| (chunk.to_vec(), Vec::new()));
        let generations =
            generations.chunks(ENGINES_PER_DATAGRAM).map(|chunk| (Vec::new(), chunk.to_vec()));
        for (plain, generations) in plain.chain(generations) {
            let zone = self.router.picker.borrow().own_zone().clone();
            let update = EngineModelUpdate { router: self.incarnation, zone, plain, generations };
            let datagram = PeerDatagram::EngineModel(update);
            self.peers.borrow().iter().for_each(|peer| self.socket.send(*peer, &datagram));
        }
    }

    fn broadcast_updates(&self, urgent: bool) {
        let updates = self.router.picker.borrow_mut().take_updates(urgent);
        let peers = self.peers.borrow().clone();
        for engines in updates.chunks(ENGINES_PER_DATAGRAM) {
            let update = LoadUpdate { router: self.incarnation, engines: engines.to_vec() };
            let datagram = PeerDatagram::Load(update);
            for peer in &peers {
                self.socket.send(*peer, &datagram);
            }
        }
    }
}
