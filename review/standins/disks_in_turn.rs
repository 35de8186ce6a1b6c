//! Case 1: two disks are lost, one after the other, each after the machine before has long been
//! back. An acknowledged configuration must still be readable.

mod common;

use common::{Fleet, Record};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Routes by which one change makes the configuration grow: `big_config`, `count = 350`.
const GROWTH: usize = 350;
const GROWTHS: usize = 13;
/// Routes of the deployment before that.
const FIRST_ROUTES: usize = 28;
/// Two storms of `for_s = 4.0`, `gap_s = 0.33`.
const STORM_CHANGES: usize = 24;
const STORM_GAP: Duration = Duration::from_millis(330);
/// `after_ack_wipe`, `for_s = 3.0`.
const DOWN: Duration = Duration::from_secs(3);
/// `CatchUpS` is 4.
const CATCH_UP: Duration = Duration::from_millis(5_000);
/// The operator repeats its last read for at least `ContactMs`, 3,000; here for five times as long.
const LAST_READ: Duration = Duration::from_secs(15);

fn document(version: u64, routes: usize) -> Vec<u8> {
    let routes: Vec<String> = (0..routes)
        .map(|number| {
            format!(
                "{{\"Name\":\"r-{number:06}\",\"Host\":\"ficu95.example\",\
                 \"PathPrefix\":\"/puxa{number:05}/\",\"Kind\":\"idempotent\",\
                 \"TimeoutMs\":{},\"SloMs\":100,\"Priority\":2,\"Service\":\"wuno96b\",\
                 \"MaxAttempts\":2,\"Public\":false,\"Sticky\":false,\"Resumable\":false}}",
                1_500 + version % 7
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"wuno96b\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\
         \"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1,\"Prepaid\":3943495}}]}}",
        routes.join(",")
    )
    .into_bytes()
}

fn version_of(document: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(document).ok()?;
    text.strip_prefix("{\"Version\":")?.split(',').next()?.parse().ok()
}

/// Time for one change in calm times, and before the loss of a disk.
const CALM_CHANGE: Duration = Duration::from_secs(5);
const LAST_CHANGE: Duration = Duration::from_secs(10);
/// Time by which the calm part must be over, so that the case ends within 120 s.
const CALM_UNTIL: Duration = Duration::from_secs(55);

struct Operator<'a> {
    fleet: &'a mut Fleet,
    record: &'a Record,
    version: u64,
    routes: usize,
}

impl Operator<'_> {
    /// Sends a change while nothing is disturbed.
    fn calm_change(&mut self) -> Result<(), String> {
        let until = self.record.at(CALM_UNTIL).min(Instant::now() + CALM_CHANGE);
        let taken = self.change(until);
        taken.map(|_| ()).ok_or_else(|| "a change was not taken in calm times".into())
    }

    /// Sends a change until it is acknowledged. Returns the machine that acknowledged it.
    fn change(&mut self, until: Instant) -> Option<String> {
        self.version += 3;
        let body = document(self.version, self.routes);
        let answer = self.fleet.order("POST", "/-/config/put", &body, until);
        let (version, bytes) = (self.version, body.len());
        match answer {
            Some((200, _, machine)) => {
                self.record
                    .line(format!("version {version} ({bytes} bytes) acknowledged by {machine}"));
                Some(machine)
            }
            other => {
                let status = other.map(|answer| answer.0);
                self.record.line(format!("version {version} not acknowledged: {status:?}"));
                self.version -= 3;
                None
            }
        }
    }

    /// The machine that acknowledges the next change loses its disk and is back after [`DOWN`].
    fn lose_acknowledging_disk(&mut self) -> Result<(), String> {
        let machine = self.change(Instant::now() + LAST_CHANGE);
        let machine = machine.ok_or("no change was acknowledged before the loss of a disk")?;
        self.fleet.lose_disk(&machine);
        self.record.line(format!("{machine} has lost its disk"));
        sleep(DOWN);
        self.fleet.start(&machine, false).map_err(|error| error.to_string())?;
        self.record.line(format!("{machine} is back with an empty disk"));
        Ok(())
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let status = run(&record, with_trouble).unwrap_or_else(|why| {
        record.line(format!("could not run: {why}"));
        2
    });
    std::process::exit(status);
}

fn run(record: &Record, with_trouble: bool) -> Result<i32, String> {
    let mut fleet = Fleet::new(3, 7).map_err(|error| error.to_string())?;
    fleet.start_all().map_err(|error| error.to_string())?;
    sleep(Duration::from_secs(2));
    let mut operator = Operator { fleet: &mut fleet, record, version: 1, routes: FIRST_ROUTES };
    let until = Instant::now() + Duration::from_secs(15);
    operator.change(until).ok_or("the first configuration was not taken")?;
    for _ in 0..GROWTHS {
        operator.routes += GROWTH;
        operator.calm_change()?;
        sleep(Duration::from_millis(500));
    }
    for _ in 0..STORM_CHANGES {
        operator.calm_change()?;
        sleep(STORM_GAP);
    }
    if with_trouble {
        operator.lose_acknowledging_disk()?;
        sleep(CATCH_UP);
        record.line("5 s later");
        operator.lose_acknowledging_disk()?;
        sleep(CATCH_UP);
        record.line("5 s later; the operator reads the configuration back");
    } else {
        for _ in 0..2 {
            operator.change(Instant::now() + CALM_CHANGE).ok_or("a change was not taken")?;
            sleep(DOWN + CATCH_UP);
        }
        record.line("no disk was lost; the operator reads the configuration back");
    }
    let newest = operator.version;
    let until = Instant::now() + LAST_READ;
    let answer = operator.fleet.order("GET", "/-/config/get", b"", until);
    let status = answer.as_ref().map(|answer| answer.0);
    let body = answer.filter(|answer| answer.0 == 200).map(|answer| answer.1);
    let version = body.as_deref().and_then(version_of);
    let is_as_sent = version
        .is_some_and(|version| body.is_some_and(|body| body == document(version, operator.routes)));
    record.line(format!(
        "newest acknowledged version {newest}; read back: status {status:?}, version {version:?}, \
         as sent: {is_as_sent}"
    ));
    // Not judged: whether orders are still acknowledged.
    operator.change(Instant::now() + CALM_CHANGE);
    if version.is_some_and(|version| version >= newest) && is_as_sent {
        record.line("CONFIG held");
        return Ok(0);
    }
    record.line("CONFIG broken: the newest acknowledged configuration is not read back as sent");
    Ok(1)
}
