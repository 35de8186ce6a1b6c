//! CONFIG: an engine without a limit of its own joins while another one is full.

use crate::Verdict;
use crate::fleet::ZONES;
use crate::http::Connection;
use crate::standins::{Engine, Run, World, client_headers, document, usual_routes};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `TimeoutMs` of the route, and the half second that the rule adds.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(500);
const USUAL_SLOTS: u64 = 6;
/// The largest number of many languages: no limit.
const NO_LIMIT: u64 = 2_147_483_647;
const PAUSE: Duration = Duration::from_millis(150);
const LOAD: Duration = Duration::from_secs(12);
const FULL_FOR: Duration = Duration::from_secs(3);

struct Sent {
    id: String,
    answered_after: Option<Duration>,
}

fn request(world: &World, address: &str) -> Sent {
    let (id, sent) = (world.id(), Instant::now());
    world.record.line(&format!("client sends {id} to {address}"));
    let exchange = || -> io::Result<u16> {
        let mut connection = Connection::open(address, Duration::from_secs(20))?;
        connection.send("GET /fare/7", &client_headers(&id, "key-0", 4_000, ""), b"")?;
        let head = connection.read_head()?;
        connection.read_body(&head)?;
        Ok(head.status())
    };
    let answer = exchange();
    let after = sent.elapsed();
    world.record.line(&format!("{id}: {answer:?} after {} ms", after.as_millis()));
    let answered_after = answer.ok().map(|_| after);
    Sent { id, answered_after }
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let tenants = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"]}";
    if world.put(&document(1, &usual_routes(), tenants)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let is_full = Arc::new(AtomicBool::new(false));
    let start = |zone, slots, fills: bool| {
        let is_full = is_full.clone();
        Engine::start(world, "ticket-app", zone, slots, move |engine: &Engine, run: &mut Run<'_>| {
            if fills && is_full.load(Ordering::SeqCst) {
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {}\r\nX-Not-Run: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n",
                    run.id()
                );
                return run.connection.write(text.as_bytes());
            }
            thread::sleep(Duration::from_millis(60));
            engine.answer(run, "paid", "")
        })
    };
    let _engines = ZONES.map(|zone| start(zone, USUAL_SLOTS, zone == ZONES[0]));
    let _fourth = start(ZONES[2], USUAL_SLOTS, false);
    let slots = if trouble { NO_LIMIT } else { USUAL_SLOTS };
    world.record.note(&format!("scale_out: an engine with {slots} slots joins"));
    let _joined = start(ZONES[1], slots, false);
    if !world.settle() {
        return Verdict::NotPlayed("the fleet did not become ready");
    }
    let sent = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let mut clients = Vec::new();
    while started.elapsed() < LOAD {
        let full = started.elapsed() > Duration::from_secs(2)
            && started.elapsed() < Duration::from_secs(2) + FULL_FOR;
        is_full.store(full, Ordering::SeqCst);
        for router in world.fleet.routers() {
            let (world, sent) = (world.clone(), sent.clone());
            let address = world.fleet.front_address(router);
            clients.push(thread::spawn(move || {
                let one = request(&world, &address);
                sent.lock().unwrap().push(one);
            }));
        }
        thread::sleep(PAUSE);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    judge(world, &sent.lock().unwrap())
}

fn judge(world: &World, sent: &[Sent]) -> Verdict {
    let is_late = |one: &&Sent| one.answered_after.is_none_or(|after| after > TIMEOUT);
    let is_too_late =
        |one: &&Sent| one.answered_after.is_none_or(|after| after > TIMEOUT + MARGIN);
    let late = sent.iter().filter(is_late).count();
    let too_late: Vec<&Sent> = sent.iter().filter(is_too_late).collect();
    let never = sent.iter().filter(|one| one.answered_after.is_none()).count();
    for one in too_late.iter().take(5) {
        world.record.line(&format!("{} has no answer in time", one.id));
    }
    world.record.note(&format!(
        "{} requests sent, {late} unanswered at the route's TimeoutMs, {} of these half a second later, {never} without an answer after 20 s",
        sent.len(),
        too_late.len()
    ));
    // Eight or more outlast their TimeoutMs, and over a quarter of them still lack an answer.
    let is_broken = late >= 8 && too_late.len() * 4 > late;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
