//! Log lines of replicas: the state at the start, the voters, and why there is no leader.

mod support;

use std::sync::Mutex;
use support::{INITIAL_VOTERS, World};

/// Records all log lines with their fields.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut line = record.args().to_string();
        for field in ["disk_was_empty", "identity", "votes", "voters"] {
            if let Some(value) = record.key_values().get(field.into()) {
                line.push_str(&format!(" {field}={value}"));
            }
        }
        self.0.lock().expect("no panic while locked").push(line);
    }

    fn flush(&self) {}
}

fn lines_with(parts: &[&str]) -> usize {
    let lines = LINES.0.lock().expect("no panic while locked");
    lines.iter().filter(|line| parts.iter().all(|part| line.contains(part))).count()
}

/// One test, since the logger is shared by the whole process.
#[test]
fn log_distinguishes_a_lost_majority_from_failing_elections() {
    log::set_logger(&LINES).expect("no other logger");
    log::set_max_level(log::LevelFilter::Info);
    let mut world = World::with_machines(5, INITIAL_VOTERS);
    world.run_for(3_000);
    assert_eq!(lines_with(&["replica opened disk_was_empty=true identity=1 votes=true"]), 3);
    assert_eq!(lines_with(&["elected in term"]), 1);

    // Two of three voters lose their disks, so the third one can't be elected again.
    world.lose_disk(0, 500);
    world.lose_disk(1, 500);
    world.run_for(10_000);
    let started_empty = lines_with(&["replica opened disk_was_empty=true", "votes=false"]);
    assert_eq!(
        started_empty, 2,
        "two replicas log that they start with empty disks and do not vote"
    );
    assert!(lines_with(&["the answer of m0 does not count"]) > 0);
    let leaderless = lines_with(&["knows no leader; PreCandidate"]);
    assert!((2..=5).contains(&leaderless), "logged at most every two seconds: {leaderless}");
}
