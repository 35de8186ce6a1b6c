//! Rolling replacement of all engines of a fleet: messages and bytes that control processes send to
//! routers, and the size of the replicated state afterwards. Directories, departure records,
//! revisions and messages are those of the gateway. There are no sockets: messages arrive at once,
//! and routers confirm them every [`CONFIRM_INTERVAL_MS`] milliseconds.

use clap::ArgMatches;
use stackpost_coordinator::{Command, DeliveryTracker, FleetMessage, FleetState};
use stackpost_gateway_core::{
    DepartureChange, DepartureRecord, EngineDirectory, EngineNotice, EngineState, KnownDepartures,
};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::time::Instant;

const CONTROL_PROCESSES: usize = 9;
/// Time within which all engines are replaced.
const REPLACEMENT_TIME: Millis = Millis(120_000);
/// Time between two confirmations by a router.
const CONFIRM_INTERVAL_MS: u64 = 450;
/// Time between two rounds in which control processes forward updates received from each other.
const FORWARD_INTERVAL_MS: u64 = 200;
/// Size of a TCP segment's headers and of the length prefix of a message.
const SEGMENT_HEADER_BYTES: usize = 44;
const START: Timestamp = Timestamp::PROCESS_START;

/// Delivery state from one control process to one router.
#[derive(Clone, Default)]
struct Link {
    engines: DeliveryTracker,
    departures: DeliveryTracker,
}

struct Router {
    directory: EngineDirectory,
    departures: KnownDepartures,
    links: [Link; CONTROL_PROCESSES],
}

struct Simulation {
    control: Vec<EngineDirectory>,
    state: FleetState,
    routers: Vec<Router>,
    messages: u64,
    bytes: u64,
    log_entry_bytes: u64,
}

fn notice(number: usize, successor: bool) -> EngineNotice {
    let engine = BackEndName::new(format!("i-{:08x}", number * 2 + usize::from(successor)));
    let octets = [10, 200, (number / 250) as u8, (number % 250) as u8];
    EngineNotice {
        service: "woti71c".into(),
        address: (octets, 8_000 + u16::from(successor)).into(),
        zone: "imbiribeira".into(),
        sequence: 40,
        slots: 24,
        state: EngineState::Ready,
        ..EngineNotice::name_only(&engine)
    }
}

fn wire_size(message: &FleetMessage) -> usize {
    let encoded = postcard::to_stdvec(message).expect("encode a fleet message");
    encoded.len() + SEGMENT_HEADER_BYTES
}

impl Simulation {
    fn new(routers: usize, engines: usize) -> Self {
        let router = || Router {
            directory: EngineDirectory::follower(),
            departures: KnownDepartures::default(),
            links: Default::default(),
        };
        let mut simulation = Self {
            control: vec![EngineDirectory::default(); CONTROL_PROCESSES],
            state: FleetState::default(),
            routers: (0..routers).map(|_| router()).collect(),
            messages: 0,
            bytes: 0,
            log_entry_bytes: 0,
        };
        for number in 0..engines {
            simulation.announce(START, &notice(number, false));
        }
        simulation.send_updates(START, true);
        simulation.confirm();
        (simulation.messages, simulation.bytes) = (0, 0);
        simulation
    }

    /// Merges the notice into the directory of every control process.
    fn announce(&mut self, now: Timestamp, notice: &EngineNotice) {
        for directory in &mut self.control {
            directory.merge(now, notice.clone());
        }
    }

    /// Marks an engine as gone in every directory and commits its departure.
    fn mark_gone(&mut self, now: Timestamp, engine: &BackEndName) {
        for directory in &mut self.control {
            directory.mark_gone(now, engine);
        }
        let record =
            DepartureRecord { engine: engine.clone(), state: EngineState::Gone, sequence: 41 };
        let command = Command::Departures(DepartureChange::Announced(vec![record]));
        self.log_entry_bytes +=
            postcard::to_stdvec(&command).expect("encode a command").len() as u64;
        self.state.apply(command);
    }

    /// Sends pending updates to all routers: engine changes from the first control process only, or
    /// from all of them; departures from the leader.
    fn send_updates(&mut self, now: Timestamp, from_all: bool) {
        let senders = if from_all { CONTROL_PROCESSES } else { 1 };
        for router in &mut self.routers {
            for (directory, link) in self.control[..senders].iter().zip(&mut router.links) {
                if let Some(base) = link.engines.begin_send(now, directory.revision()) {
                    let delta = directory.changes_since(now, base);
                    for notice in &delta.notices {
                        router.directory.merge(now, notice.clone());
                    }
                    self.bytes += wire_size(&FleetMessage::EngineChanges(delta)) as u64;
                    self.messages += 1;
                }
            }
            let leader = &mut router.links[0].departures;
            if let Some(base) = leader.begin_send(now, self.state.departures.revision()) {
                let delta = self.state.departures.since(base);
                router.departures.merge_delta(now, &delta);
                self.bytes += wire_size(&FleetMessage::Departures(delta)) as u64;
                self.messages += 1;
            }
        }
    }

    fn confirm(&mut self) {
        for router in &mut self.routers {
            for (directory, link) in self.control.iter().zip(&mut router.links) {
                link.engines.confirm(directory.revision());
            }
            router.links[0].departures.confirm(router.departures.revision());
        }
    }
}

/// Replaces all engines and prints the traffic and the state size.
pub fn run(arguments: &ArgMatches) {
    let number =
        |name: &str| *arguments.get_one::<u64>(name).expect("argument has a default") as usize;
    let (routers, engines) = (number("routers"), number("engines"));
    let mut simulation = Simulation::new(routers, engines);
    let started = Instant::now();
    let (mut confirmed_at, mut forwarded_at) = (0, 0);
    for engine in 0..engines {
        let elapsed_ms = REPLACEMENT_TIME.0 * engine as u64 / engines as u64;
        let now = START + Millis(elapsed_ms);
        simulation.announce(now, &notice(engine, true));
        simulation.send_updates(now, false);
        simulation.mark_gone(now, &notice(engine, false).engine);
        simulation.send_updates(now, false);
        if elapsed_ms >= forwarded_at + FORWARD_INTERVAL_MS {
            forwarded_at = elapsed_ms;
            simulation.send_updates(now, true);
        }
        if elapsed_ms >= confirmed_at + CONFIRM_INTERVAL_MS {
            confirmed_at = elapsed_ms;
            simulation.confirm();
        }
    }
    simulation.send_updates(START + REPLACEMENT_TIME, true);
    let seconds = REPLACEMENT_TIME.0 as f64 / 1e3;
    let per_router = simulation.bytes as f64 / routers as f64 / seconds;
    let all_known = simulation.routers.iter().all(|router| {
        router.directory.iter().filter(|record| record.notice.state == EngineState::Ready).count()
            == engines
    });
    println!(
        "{routers} routers, {engines} engines replaced in {seconds} s: a router is told {:.2} messages and {:.0} bytes a second; \
         the leader and {} others send {:.1} KB/s in all; {:.1} bytes an entry, {:.1} KB of state; {:.2} s of processor time; every router knows: {all_known}",
        simulation.messages as f64 / routers as f64 / seconds,
        per_router,
        CONTROL_PROCESSES - 1,
        per_router * routers as f64 / 1e3,
        simulation.log_entry_bytes as f64 / engines as f64,
        simulation.state.to_snapshot().len() as f64 / 1e3,
        started.elapsed().as_secs_f64(),
    );
}
