//! Plays one case: `harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod budget;
mod event_ids;
mod fleet;
mod http;
mod invalid;
mod keep_alive;
mod memory;
mod slots;
mod standins;

use fleet::{Fleet, Numbers, Record, Sizes};
use standins::World;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// A case that takes longer is ended, with all its processes.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotPlayed(&'static str),
}

type Case = fn(&Arc<World>, bool) -> Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let small = |routers| Sizes { routers, router_memory_mb: 260 };
    let (sizes, case): (Sizes, Case) = match name.as_str() {
        "keep-alive" => (small(6), keep_alive::play),
        "event-ids" => (Sizes { routers: 7, router_memory_mb: 110 }, event_ids::play),
        "budget" => (small(6), budget::play),
        "slots" => (small(6), slots::play),
        "invalid" => (small(3), invalid::play),
        "memory" => (Sizes { routers: 7, router_memory_mb: 110 }, memory::play),
        _ => return ExitCode::from(2),
    };
    let Ok(record) = Record::create(record) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note(&format!("case {name}, trouble: {trouble}"));
    let numbers = Numbers::new();
    let fleet = Fleet::create(sizes, &numbers);
    let world = Arc::new(World { fleet, record, numbers, ended: AtomicBool::new(false) });
    let watched = world.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.record.note("the case took too long");
        watched.fleet.end();
        std::process::exit(2);
    });
    world.fleet.start_all();
    let verdict = case(&world, trouble);
    world.ended.store(true, std::sync::atomic::Ordering::SeqCst);
    world.fleet.end();
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotPlayed(reason) => (reason, 2),
    };
    world.record.note(text);
    // Threads of stand-ins may still wait on their sockets.
    std::process::exit(code)
}
