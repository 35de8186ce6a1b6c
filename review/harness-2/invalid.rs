//! CONFIG: invalid configurations are sent.

use crate::Verdict;
use crate::standins::{World, document, route, usual_routes};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const PLAIN: &str = ", \"TimeoutMs\": 2000, \"SloMs\": 300, \"Priority\": 2, \"MaxAttempts\": 1, \"Sticky\": false, \"Resumable\": false";

/// Each with the sentence that makes it invalid.
fn invalid_routes() -> Vec<(&'static str, String)> {
    let split = ", \"Split\": [{\"Service\": \"ticket-app\", \"Weight\": 1}]";
    let unknown = route("other", "/other/", "idempotent", "no-such-service", &format!("{PLAIN}{split}"));
    let same = route("again", "/pass/", "idempotent", "model-pool", PLAIN);
    let same = same.replace("ferry.example", "Ferry.Example");
    vec![
        ("a route names an unknown service", unknown),
        ("two routes share host and prefix", same),
    ]
}

pub fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let tenants = "{\"Name\": \"tenant-0\", \"ApiKeys\": [\"key-0\"]}";
    if world.put(&document(1, &usual_routes(), tenants)) != 200 {
        return Verdict::NotPlayed("the first configuration was not taken");
    }
    let mut is_broken = false;
    for (number, (reason, invalid)) in invalid_routes().into_iter().enumerate() {
        let version = 10 + number as u64;
        let mut routes = usual_routes();
        routes.push(match trouble {
            true => invalid,
            false => route("other", "/other/", "idempotent", "ticket-app", PLAIN),
        });
        let sent = document(version, &routes, tenants);
        let status = world.put(&sent);
        thread::sleep(Duration::from_millis(500));
        let read = world.control_call("GET /-/config/get", b"", 20);
        let is_in_force = read.is_some_and(|(_, body)| body == sent.as_bytes());
        world.record.note(&format!(
            "version {version} ({}): acknowledged with {status}, read back: {is_in_force}",
            if trouble { reason } else { "valid" }
        ));
        is_broken |= trouble && status == 200;
        if !trouble && !(status == 200 && is_in_force) {
            return Verdict::NotPlayed("a valid configuration was not taken");
        }
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
