//! Fault: many users come at once, each with a body within `MaxBodyBytes`.

use crate::Verdict;
use crate::fleet::ZONES;
use crate::http::Connection;
use crate::standins::{Engine, Run, World, client_headers, document, usual_routes};
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Requests at a router at the same time: as a rule, and in a burst (at most 1.7 times as many).
const USUAL: usize = 13;
const BURST: usize = 22;
const WAVES: usize = 3;
/// Routers that the burst meets.
const MET: usize = 4;
const WORK: Duration = Duration::from_millis(1_200);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The platform kills a process that goes over its memory and starts it again.
fn watch(world: &World, kills: &Mutex<Vec<String>>, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        for router in world.fleet.routers() {
            let limit = world.fleet.sizes.router_memory_mb;
            let Some(used) = world.fleet.memory_mb(router).filter(|used| *used > limit) else {
                continue;
            };
            world.record.note(&format!(
                "{} uses {used} MB of {limit} MB and is killed by the platform",
                router.name
            ));
            world.fleet.kill(router);
            kills.lock().unwrap().push(router.name.clone());
            thread::sleep(RESTART_DELAY);
            world.fleet.start(router, false);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn request(world: &World, address: &str, body: &[u8]) -> io::Result<u16> {
    let id = world.id();
    let exchange = || -> io::Result<u16> {
        let mut connection = Connection::open(address, Duration::from_secs(6))?;
        let headers = client_headers(&id, "key-0", 4_000, "");
        connection.send("POST /pass/7", &headers, body)?;
        let head = connection.read_head()?;
        connection.read_body(&head)?;
        Ok(head.status())
    };
    let answer = exchange();
    world.record.line(&format!("{address} {id}: {answer:?}"));
    answer
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let tenants = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"]}";
    if world.put(&document(1, &usual_routes(), tenants)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let _engines = ZONES.map(|zone| {
        Engine::start(world, "ticket-app", zone, 64, |engine: &Engine, run: &mut Run<'_>| {
            thread::sleep(WORK);
            engine.answer(run, &run.body.len().to_string(), "")
        })
    });
    if !world.settle() {
        return Verdict::NotPlayed("the fleet did not become ready");
    }
    let (kills, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let watcher = {
        let (world, kills, stop) = (world.clone(), kills.clone(), stop.clone());
        thread::spawn(move || watch(&world, &kills, &stop))
    };
    let users = if trouble { BURST } else { USUAL };
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let served = Arc::new(Mutex::new((0, 0)));
    for wave in 1..=WAVES {
        world.record.note(&format!("burst {wave}: {users} users at each of {MET} routers"));
        let mut clients = Vec::new();
        for router in &world.fleet.routers()[..MET] {
            for _ in 0..users {
                let (world, served, body) = (world.clone(), served.clone(), body.clone());
                let address = world.fleet.front_address(router);
                clients.push(thread::spawn(move || {
                    let is_served = request(&world, &address, &body).is_ok_and(|status| status == 200);
                    let mut served = served.lock().unwrap();
                    served.0 += usize::from(is_served);
                    served.1 += 1;
                }));
            }
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::SeqCst);
    drop(watcher.join());
    let (kills, (served, sent)) = (kills.lock().unwrap(), *served.lock().unwrap());
    let mut machines = kills.clone();
    machines.sort();
    machines.dedup();
    world.record.note(&format!(
        "{served} of {sent} requests served; {} ends for memory on {} machines",
        kills.len(),
        machines.len()
    ));
    let is_broken = kills.len() >= 3 && machines.len() >= 2;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
