//! BUDGET: a change gives a tenant a `Prepaid` in the middle of the day.

use crate::Verdict;
use crate::fleet::ZONES;
use crate::http::Connection;
use crate::standins::{
    CONFIG_APPLY, Engine, Run, World, client_headers, document, usual_routes,
};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const PREPAID: u64 = 300_000;
const PROMPT: u64 = 900;
const EVENTS: u64 = 20;
/// `Stride` of the service: tokens in an event.
const STRIDE: u64 = 5;
const GENERATED: u64 = EVENTS * STRIDE;
/// Requests before and after the change, each of 1,000 tokens.
const BEFORE: u64 = 230;
const AFTER: u64 = 360;
const PAUSE: Duration = Duration::from_millis(20);

fn request(world: &World, address: &str) -> io::Result<u16> {
    let id = world.id();
    let more = format!(
        "X-Model: m\r\nX-Token-Count: {PROMPT},{GENERATED}\r\nX-Prompt-Prefix: 5c1e07a2:700,{id}:200\r\n"
    );
    let mut connection = Connection::open(address, Duration::from_secs(10))?;
    connection.send("POST /ruling/2f", &client_headers(&id, "key-0", 8_000, &more), b"file")?;
    let head = connection.read_head()?;
    if head.status() == 200 {
        while connection.read_chunk()?.is_some() {}
    }
    world.record.line(&format!("{address} answers {id}: {}", head.status()));
    Ok(head.status())
}

fn load(world: &Arc<World>, requests: u64) {
    let routers = world.fleet.routers();
    let addresses: Vec<String> =
        routers.iter().map(|router| world.fleet.front_address(router)).collect();
    let clients: Vec<_> = (0..requests as usize)
        .map(|number| {
            let (world, address) = (world.clone(), addresses[number % addresses.len()].clone());
            thread::sleep(PAUSE);
            thread::spawn(move || drop(request(&world, &address)))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let without = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"]}".to_string();
    let with =
        format!("{{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"], \"Prepaid\": {PREPAID}}}");
    let first = if trouble { &without } else { &with };
    if world.put(&document(1, &usual_routes(), first)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let tokens = Arc::new(AtomicU64::new(0));
    let _engines = ZONES.map(|zone| {
        let tokens = tokens.clone();
        Engine::start(world, "model-pool", zone, 64, move |engine: &Engine, run: &mut Run<'_>| {
            tokens.fetch_add(PROMPT, Ordering::SeqCst);
            engine.begin_stream(run)?;
            for number in 1..=EVENTS {
                thread::sleep(Duration::from_millis(10));
                let event = format!("id: {number}\ndata: five tokens\n\n");
                run.connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                tokens.fetch_add(STRIDE, Ordering::SeqCst);
            }
            run.connection.write(b"0\r\n\r\n")
        })
    });
    if !world.settle() {
        return Verdict::NotPlayed("the fleet did not become ready");
    }
    load(world, BEFORE);
    let before = tokens.load(Ordering::SeqCst);
    world.record.note(&format!("the tenant has got {before} tokens today"));
    if world.put(&document(2, &usual_routes(), &with)) != 200 {
        return Verdict::NotPlayed("the change was not taken");
    }
    world.record.note(&format!("config_change: Prepaid {PREPAID} is acknowledged"));
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    load(world, AFTER);
    let total = tokens.load(Ordering::SeqCst);
    world.record.note(&format!(
        "the tenant has got {total} tokens today, {} of them for requests sent more than 2 s after the acknowledgement; Prepaid is {PREPAID}",
        total - before
    ));
    if before < PREPAID / 2 {
        return Verdict::NotPlayed("too few requests were served before the change");
    }
    // What was sent before the change is not judged.
    let is_broken = total > PREPAID && total - before > PREPAID.saturating_sub(before);
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
