//! LOST: engines are replaced by a release that never closes idle connections and says so.

use crate::Verdict;
use crate::fleet::ZONES;
use crate::http::Connection;
use crate::standins::{Engine, Run, World, client_headers, document, usual_routes};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each router, and what each sends.
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(60);
const LOAD: Duration = Duration::from_secs(14);
/// `timeout` of the engines' answers: five seconds, and the largest number of many languages.
const USUAL: &str = "5";
const NEVER: &str = "9223372036854775807";
/// How often one machine may close a kept connection without an answer.
const ALLOWED: usize = 3;

fn engine(
    world: &Arc<World>,
    zone: &'static str,
    timeout: &'static str,
    whole: &Arc<Mutex<BTreeSet<String>>>,
) -> Arc<Engine> {
    let (whole, recorder) = (whole.clone(), world.clone());
    Engine::start(world, "ticket-app", zone, 6, move |engine: &Engine, run: &mut Run<'_>| {
        thread::sleep(WORK);
        let id = run.id().to_string();
        engine.answer(run, "boarding pass", &format!("Keep-Alive: timeout={timeout}\r\n"))?;
        recorder.record.line(&format!("engine {} has run {id} and answered it whole", engine.id));
        whole.lock().unwrap().insert(id);
        Ok(())
    })
}

/// Requests that ended with their connection, by the router's name: on a kept connection or not.
type Lost = Arc<Mutex<BTreeMap<String, Vec<(String, bool)>>>>;

fn client(world: &World, router: &str, address: &str, lost: &Lost, stop: &AtomicBool) {
    let mut kept: Option<(Connection, usize)> = None;
    while !stop.load(Ordering::SeqCst) {
        let connection = kept.take().or_else(|| {
            let timeout = Duration::from_secs(4);
            Connection::open(address, timeout).ok().map(|connection| (connection, 0))
        });
        let Some((mut connection, served)) = connection else {
            thread::sleep(PAUSE);
            continue;
        };
        let id = world.id();
        let answered = exchange(&mut connection, &id);
        match answered {
            Ok(status) => {
                world.record.line(&format!("{router} answers {id}: {status}"));
                kept = Some((connection, served + 1));
            }
            Err(error) => {
                world.record.line(&format!(
                    "{router} closes the connection of {id} without an answer ({served} answers before): {error}"
                ));
                let entry = (id, served > 0);
                lost.lock().unwrap().entry(router.to_string()).or_default().push(entry);
            }
        }
        thread::sleep(PAUSE);
    }
}

fn exchange(connection: &mut Connection, id: &str) -> io::Result<u16> {
    let headers = client_headers(id, "key-0", 4_000, "");
    connection.send("POST /pass/7", &headers, b"seat 12")?;
    let head = connection.read_head()?;
    connection.read_body(&head)?;
    Ok(head.status())
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let tenants = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"]}";
    if world.put(&document(1, &usual_routes(), tenants)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let whole = Arc::new(Mutex::new(BTreeSet::new()));
    let engines = ZONES.map(|zone| engine(world, zone, USUAL, &whole));
    if !world.settle() {
        return Verdict::NotPlayed("the fleet did not become ready");
    }
    let (lost, stop) = (Lost::default(), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for router in world.fleet.routers() {
        for _ in 0..CLIENTS {
            let (world, lost, stop) = (world.clone(), lost.clone(), stop.clone());
            let (name, address) = (router.name.clone(), world.fleet.front_address(router));
            clients.push(thread::spawn(move || client(&world, &name, &address, &lost, &stop)));
        }
    }
    let started = Instant::now();
    thread::sleep(Duration::from_secs(2));
    // A release of a third of the engines: the new one starts first, the old one drains.
    let version = if trouble { NEVER } else { USUAL };
    world.record.note(&format!("release: the new engine states Keep-Alive: timeout={version}"));
    let _replacement = engine(world, ZONES[0], version, &whole);
    let (old, leaving) = (engines[0].clone(), world.clone());
    let leave = thread::spawn(move || old.leave(&leaving));
    thread::sleep(LOAD.saturating_sub(started.elapsed()));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(leave.join());
    judge(world, &lost, &whole.lock().unwrap())
}

fn judge(world: &World, lost: &Lost, whole: &BTreeSet<String>) -> Verdict {
    let mut is_broken = false;
    for (router, requests) in lost.lock().unwrap().iter() {
        let run = requests.iter().filter(|(id, _)| whole.contains(id)).count();
        let counted = requests.iter().filter(|(id, kept)| *kept && whole.contains(id)).count();
        world.record.note(&format!(
            "{router}: {} requests ended with their connection and no answer, {run} of them run and answered whole by a sound engine, {counted} of these on a kept connection ({ALLOWED} allowed)",
            requests.len()
        ));
        is_broken |= counted > ALLOWED;
    }
    world.record.note(&format!("{} requests run in all", whole.len()));
    if whole.len() < 50 {
        return Verdict::NotPlayed("too few requests were run");
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
