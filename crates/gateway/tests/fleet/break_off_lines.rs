//! The lines that tell afterwards which requests engines broke off, and which of them are the same.

use crate::support::*;
use log::kv::{Error, Key, Value, VisitSource};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// A line by its fields.
type Fields = BTreeMap<String, String>;

/// Keeps the lines about answers that engines broke off.
struct Lines(Mutex<Vec<Fields>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

struct Collect(Fields);

impl<'kvs> VisitSource<'kvs> for Collect {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().to_string() == "the engine broke off" {
            let mut fields = Collect(Fields::new());
            record.key_values().visit(&mut fields).expect("fields can be shown");
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push(fields.0);
        }
    }

    fn flush(&self) {}
}

/// Requests of this test alone: the logger is shared by the whole program.
const REQUESTS: [&str; 7] =
    ["lost-1", "lost-2", "lost-3", "broken-1", "broken-2", "ended-1", "ended-2"];

#[test]
fn a_request_that_comes_again_is_told_from_others() {
    log::set_logger(&LINES).expect("no other logger");
    log::set_max_level(log::LevelFilter::Info);
    play(async {
        let fleet = Fleet::start().await;
        let second = fleet.add_router().await;
        second.ready(fleet.engines.len()).await;
        fleet.behave(Behaviour::Lose, Behaviour::Lose);
        fleet.ask("/once/first", "lost-1").await;
        second.ask("/once/first", "lost-2").await;
        fleet.ask("/once/second", "lost-3").await;
        fleet.behave(Behaviour::Break, Behaviour::Break);
        fleet.ask("/plain-stream/1", "broken-1").await;
        fleet.ask("/once/third", "broken-2").await;
        for (point, id) in CrashPoint::ALL.into_iter().zip(["ended-1", "ended-2"]) {
            fleet.ask(&format!("/plain-stream/{}", point.word()), id).await;
        }
    });
    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner);
    let own = lines.iter().filter(|line| REQUESTS.contains(&line["request"].as_str()));
    let own: Vec<&Fields> = own.collect();
    let field = |name: &str| own.iter().map(|line| line[name].clone()).collect::<Vec<_>>();
    assert_eq!(field("request"), REQUESTS);
    let steps = ["head", "head", "head", "stream", "body", "head", "first_event"];
    assert_eq!(field("step"), steps);
    let fingerprints = field("fingerprint");
    assert_eq!(fingerprints[0], fingerprints[1], "the same, under another id at another router");
    assert_ne!(fingerprints[0], fingerprints[2]);
    assert!(own.iter().all(|line| line["engine"].starts_with('e')));
}
