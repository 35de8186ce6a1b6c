//! A release of all engines before a whole fleet: what control processes tell routers of it, how many bytes that is and what
//! the replicated state holds afterwards. The directories, words, versions and messages are those of the gateway. There are
//! no sockets: what is told arrives at once, and routers confirm it every [`CONFIRM_INTERVAL`] milliseconds.

use clap::ArgMatches;
use stackpost_coordinator::{Command, DeliveryTracker, FleetMessage, FleetState};
use stackpost_gateway_core::{
    DepartureChange, DepartureRecord, EngineDirectory, EngineNotice, EngineState, KnownDepartures,
};
use stackpost_types::{BackEndName, Millis, Timestamp};
use std::time::Instant;

/// Control processes.
const CONTROL: usize = 9;
/// Time in which all engines are replaced.
const RELEASE: Millis = Millis(120_000);
/// Time between two confirmations of a router.
const CONFIRM_INTERVAL: u64 = 450;
/// Time between two rounds in which a control process passes on what it heard from others.
const PASS_ON_INTERVAL: u64 = 200;
/// Bytes of a segment's headers and of the length before a message.
const SEGMENT_HEAD: usize = 44;
const START: Timestamp = Timestamp::PROCESS_START;

/// What one control process has told one router.
#[derive(Clone, Copy, Default)]
struct Link {
    engines: DeliveryTracker,
    departures: DeliveryTracker,
}

struct Router {
    directory: EngineDirectory,
    departures: KnownDepartures,
    links: [Link; CONTROL],
}

struct Simulation {
    control: Vec<EngineDirectory>,
    state: FleetState,
    routers: Vec<Router>,
    messages: u64,
    bytes: u64,
    entry_bytes: u64,
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

fn size(message: &FleetMessage) -> usize {
    let encoded = postcard::to_stdvec(message).expect("a message can be encoded");
    encoded.len() + SEGMENT_HEAD
}

impl Simulation {
    fn new(routers: usize, engines: usize) -> Self {
        let router = || Router {
            directory: EngineDirectory::follower(),
            departures: KnownDepartures::default(),
            links: [Link::default(); CONTROL],
        };
        let mut simulation = Self {
            control: vec![EngineDirectory::default(); CONTROL],
            state: FleetState::default(),
            routers: (0..routers).map(|_| router()).collect(),
            messages: 0,
            bytes: 0,
            entry_bytes: 0,
        };
        for number in 0..engines {
            simulation.announce(START, &notice(number, false));
        }
        simulation.tell(START, true);
        simulation.confirm();
        (simulation.messages, simulation.bytes) = (0, 0);
        simulation
    }

    /// Every control process hears of it.
    fn announce(&mut self, now: Timestamp, notice: &EngineNotice) {
        for directory in &mut self.control {
            directory.merge(now, notice.clone());
        }
    }

    /// An engine leaves: its word is written down and taken over everywhere.
    fn mark_gone(&mut self, now: Timestamp, engine: &BackEndName) {
        for directory in &mut self.control {
            directory.mark_gone(now, engine);
        }
        let word =
            DepartureRecord { engine: engine.clone(), state: EngineState::Gone, sequence: 41 };
        let command = Command::Departures(DepartureChange::Announced(vec![word]));
        self.entry_bytes += postcard::to_stdvec(&command).expect("it can be encoded").len() as u64;
        self.state.apply(command);
    }

    /// Tells routers what is new: whoever heard of it, or every control process, of the engines; the leader of departures.
    fn tell(&mut self, now: Timestamp, by_all: bool) {
        let telling = if by_all { CONTROL } else { 1 };
        for router in &mut self.routers {
            for (directory, link) in self.control[..telling].iter().zip(&mut router.links) {
                if let Some(base) = link.engines.begin_send(now, directory.revision()) {
                    let news = directory.changes_since(now, base);
                    for notice in &news.notices {
                        router.directory.merge(now, notice.clone());
                    }
                    self.bytes += size(&FleetMessage::EngineChanges(news)) as u64;
                    self.messages += 1;
                }
            }
            let leader = &mut router.links[0].departures;
            if let Some(base) = leader.begin_send(now, self.state.departures.revision()) {
                let news = self.state.departures.since(base);
                router.departures.merge_delta(now, &news);
                self.bytes += size(&FleetMessage::Departures(news)) as u64;
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

/// Prints what a release costs.
pub fn run(arguments: &ArgMatches) {
    let number = |name: &str| *arguments.get_one::<u64>(name).expect("it has a default") as usize;
    let (routers, engines) = (number("routers"), number("engines"));
    let mut simulation = Simulation::new(routers, engines);
    let began = Instant::now();
    let (mut confirmed_at, mut passed_on_at) = (0, 0);
    for engine in 0..engines {
        let passed = RELEASE.0 * engine as u64 / engines as u64;
        let now = START + Millis(passed);
        simulation.announce(now, &notice(engine, true));
        simulation.tell(now, false);
        simulation.mark_gone(now, &notice(engine, false).engine);
        simulation.tell(now, false);
        if passed >= passed_on_at + PASS_ON_INTERVAL {
            passed_on_at = passed;
            simulation.tell(now, true);
        }
        if passed >= confirmed_at + CONFIRM_INTERVAL {
            confirmed_at = passed;
            simulation.confirm();
        }
    }
    simulation.tell(START + RELEASE, true);
    let seconds = RELEASE.0 as f64 / 1e3;
    let per_router = simulation.bytes as f64 / routers as f64 / seconds;
    let known = simulation.routers.iter().all(|router| {
        router.directory.iter().filter(|one| one.notice.state == EngineState::Ready).count()
            == engines
    });
    println!(
        "{routers} routers, {engines} engines replaced in {seconds} s: a router is told {:.2} messages and {:.0} bytes a second; \
         the leader and {} others send {:.1} KB/s in all; {:.1} bytes an entry, {:.1} KB of state; {:.2} s of processor time; every router knows: {known}",
        simulation.messages as f64 / routers as f64 / seconds,
        per_router,
        CONTROL - 1,
        per_router * routers as f64 / 1e3,
        simulation.entry_bytes as f64 / engines as f64,
        simulation.state.to_snapshot().len() as f64 / 1e3,
        began.elapsed().as_secs_f64(),
    );
}
