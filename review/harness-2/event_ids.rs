//! ORDER: a router is killed, and its clients resume their streams, whose event ids are numbers of
//! 64 bits, at other routers.

use crate::Verdict;
use crate::fleet::ZONES;
use crate::http::Connection;
use crate::standins::{Engine, Run, World, client_headers, document, usual_routes};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Ids count up from the time of day in nanoseconds at which the service was set up.
const FIRST_ID: u64 = 1_796_593_740_000_000_000;
const EVENTS: u64 = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
const CLIENTS: u64 = 12;
/// Time for which the killed router is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// The longest `TimeoutMs` and a little more: the fleet knows by then who can have begun a stream.
const KNOWN_AFTER: Duration = Duration::from_millis(8_500);

fn stream(engine: &Engine, run: &mut Run<'_>) -> io::Result<()> {
    let after = run.head.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
    engine.begin_stream(run)?;
    for number in 1..=EVENTS {
        let id = FIRST_ID + number;
        if after.is_some_and(|after| id <= after) {
            continue;
        }
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {id}\ndata: piece {number}\n\n");
        run.connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    run.connection.write(b"0\r\n\r\n")
}

struct Received {
    ids: Vec<u64>,
    resumed: bool,
    is_whole: bool,
}

/// Reads one attempt of a stream. Returns whether it came to its end.
fn read(world: &World, address: &str, after: Option<u64>, ids: &mut Vec<u64>) -> io::Result<bool> {
    let id = world.id();
    let mut more = format!(
        "X-Model: m\r\nX-Token-Count: 6610,380\r\nX-Prompt-Prefix: 5c1e07a2:5000,{id}:1610\r\n"
    );
    if let Some(after) = after {
        more.push_str(&format!("Last-Event-Id: {after}\r\n"));
    }
    world.record.line(&format!("client sends {id} to {address}, Last-Event-Id {after:?}"));
    let mut connection = Connection::open(address, Duration::from_secs(4))?;
    connection.send("POST /ruling/2f", &client_headers(&id, "key-0", 15_000, &more), b"file")?;
    let head = connection.read_head()?;
    world.record.line(&format!("client gets {} for {id}", head.status()));
    if head.status() != 200 {
        return Err(io::Error::other("not served"));
    }
    let mut pending = String::new();
    while let Some(chunk) = connection.read_chunk()? {
        pending.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = pending.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            if let Some(number) = number.and_then(|text| text.parse().ok()) {
                ids.push(number);
                world.record.line(&format!("client gets event {number} of {id}"));
            }
            pending = rest.to_string();
        }
    }
    Ok(true)
}

fn client(world: &World, number: usize, addresses: &[String]) -> Received {
    let mut received = Received { ids: Vec::new(), resumed: false, is_whole: false };
    for attempt in 0..4 {
        // The first attempts of all clients go to the router that is killed.
        let address = if attempt == 0 { 0 } else { 1 + (number + attempt) % (addresses.len() - 1) };
        let after = received.ids.last().copied();
        received.resumed |= after.is_some();
        if read(world, &addresses[address], after, &mut received.ids).unwrap_or(false) {
            received.is_whole = true;
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    received
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let tenants = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"], \"Prepaid\": 100000000}";
    if world.put(&document(1, &usual_routes(), tenants)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let _engines = ZONES.map(|zone| Engine::start(world, "model-pool", zone, 64, stream));
    if !world.settle() {
        return Verdict::NotPlayed("the fleet did not become ready");
    }
    thread::sleep(KNOWN_AFTER);
    let routers = world.fleet.routers();
    let addresses: Vec<String> =
        routers.iter().map(|router| world.fleet.front_address(router)).collect();
    let clients: Vec<_> = (0..CLIENTS as usize)
        .map(|number| {
            let (world, addresses) = (world.clone(), addresses.clone());
            thread::spawn(move || client(&world, number, &addresses))
        })
        .collect();
    thread::sleep(EVENT_PAUSE * 25);
    if trouble {
        world.record.note(&format!("node_kill: {} is killed", routers[0].name));
        world.fleet.kill(routers[0]);
        thread::sleep(DOWN);
        world.fleet.start(routers[0], false);
    }
    let received: Vec<Received> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    judge(world, &received, trouble)
}

fn judge(world: &World, received: &[Received], trouble: bool) -> Verdict {
    let (mut twice, mut missing, mut whole) = (0, 0, 0);
    for stream in received.iter().filter(|stream| stream.is_whole) {
        whole += 1;
        let expected: Vec<u64> = (1..=EVENTS).map(|number| FIRST_ID + number).collect();
        twice += usize::from(
            expected.iter().any(|id| stream.ids.iter().filter(|known| *known == id).count() > 1),
        );
        missing += usize::from(expected.iter().any(|id| !stream.ids.contains(id)));
    }
    let resumed = received.iter().filter(|stream| stream.resumed).count();
    world.record.note(&format!(
        "{whole} streams ended as complete, {resumed} of {} were resumed; {twice} hold a piece twice, {missing} lack one",
        received.len()
    ));
    if whole == 0 || (trouble && resumed == 0) {
        return Verdict::NotPlayed("no stream came to its end");
    }
    if twice + missing > 0 { Verdict::Broken } else { Verdict::Held }
}
