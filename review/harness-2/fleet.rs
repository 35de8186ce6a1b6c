//! Starts the project's own programs with the commands of the deploy file, on loopback addresses.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const ZONES: [&str; 3] = ["marina-hall", "ikorodu-hall", "badore-hall"];
/// Words of the deploy file: the program and its roles.
const PROGRAM: &str = "target/release/stackpost-platform";
const TEMPLATE: &str = "deploy/settings.jsonc";
/// `GraceS`, `BudgetRatio`, `BudgetExtra` and `BudgetWindowS` of a small deployment.
const BOUNDS: [(&str, &str); 4] = [
    ("Bounds.GraceS", "8"),
    ("Bounds.BudgetRatio", "0.2"),
    ("Bounds.BudgetExtra", "52"),
    ("Bounds.BudgetWindowS", "10"),
];

/// What was sent, answered and run, written to `record.txt` of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that can't be written shows as missing.
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// A line that is printed as well.
    pub fn note(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Numbers without a pattern, for addresses and ids.
pub struct Numbers(Mutex<u64>);

impl Numbers {
    pub fn new() -> Self {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(Mutex::new(time.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32)))
    }

    pub fn next(&self) -> u64 {
        let mut state = self.0.lock().unwrap();
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Router,
    Control,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub zone: &'static str,
    pub ip: String,
    process: Mutex<Option<Child>>,
}

/// Sizes of a fleet; the defaults are those of a small deployment.
pub struct Sizes {
    pub routers: usize,
    pub router_memory_mb: u64,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub sizes: Sizes,
    pub folder: PathBuf,
    net: String,
    port: u16,
    last_address: Mutex<u8>,
}

impl Fleet {
    pub fn create(sizes: Sizes, numbers: &Numbers) -> Self {
        let (net, port) = free_net(numbers);
        let folder = std::env::temp_dir().join(format!("review-2-{:016x}", numbers.next()));
        fs::create_dir_all(&folder).expect("a temporary folder can be created");
        let mut fleet = Self {
            machines: Vec::new(),
            sizes,
            folder,
            net,
            port,
            last_address: Mutex::new(10),
        };
        for number in 0..3 {
            let machine = fleet.machine(Role::Control, number);
            fleet.machines.push(machine);
        }
        for number in 0..fleet.sizes.routers {
            let machine = fleet.machine(Role::Router, number);
            fleet.machines.push(machine);
        }
        fleet
    }

    fn machine(&self, role: Role, number: usize) -> Machine {
        let zone = ZONES[number % ZONES.len()];
        let class = if role == Role::Router { "front" } else { "core" };
        let name = format!("{class}-{zone}-{}", number / ZONES.len() + 1);
        Machine { name, role, zone, ip: self.free_address(), process: Mutex::new(None) }
    }

    /// A loopback address that nothing else of this case uses.
    pub fn free_address(&self) -> String {
        let mut last = self.last_address.lock().unwrap();
        *last += 1;
        format!("{}.{}", self.net, *last)
    }

    /// The port of engines.
    pub fn engine_port(&self) -> u16 {
        self.port + 40
    }

    pub fn routers(&self) -> Vec<&Machine> {
        self.machines.iter().filter(|machine| machine.role == Role::Router).collect()
    }

    pub fn controls(&self) -> Vec<&Machine> {
        self.machines.iter().filter(|machine| machine.role == Role::Control).collect()
    }

    pub fn control_address(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port)
    }

    pub fn front_address(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port + 1)
    }

    pub fn ready_address(&self, machine: &Machine) -> String {
        format!("{}:{}", machine.ip, self.port + 2)
    }

    /// Starts every process for the first time.
    pub fn start_all(&self) {
        for machine in &self.machines {
            self.start(machine, true);
        }
    }

    /// Starts a process as the deploy file says. Its variables are those that DEPLOY.md names.
    pub fn start(&self, machine: &Machine, first_start: bool) {
        let settings = self.folder.join(format!("{}.jsonc", machine.name));
        fs::write(&settings, self.settings(machine, first_start)).expect("settings can be written");
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log opens");
        let copy = log.try_clone().expect("a log opens");
        let role = if machine.role == Role::Router { "router" } else { "control" };
        let mut command = Command::new(PROGRAM);
        command.arg(role).env_clear().env("STACKPOST_NODE_FILE", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(copy).spawn();
        *machine.process.lock().unwrap() = Some(child.expect("the built program starts"));
    }

    /// Fills the template of the settings.
    fn settings(&self, machine: &Machine, first_start: bool) -> String {
        let quoted = |text: &str| format!("\"{text}\"");
        let zones = ZONES.map(|zone| format!("\"{zone}\": \"lagos\"")).join(", ");
        let controls = self.controls();
        let seeds = controls.iter().map(|seed| quoted(&self.control_address(seed)));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let is_router = machine.role == Role::Router;
        let memory = if is_router { self.sizes.router_memory_mb } else { 256 };
        let mut values: Vec<(&str, String)> = vec![
            ("Node", quoted(&machine.name)),
            ("Ip", quoted(&machine.ip)),
            ("Zone", quoted(machine.zone)),
            ("Zones", format!("{{{zones}}}")),
            ("Seeds", format!("[{seeds}]")),
            ("Bootstrap", first_start.to_string()),
            ("PortRange", format!("[{}, {}]", self.port + 10, self.port + 25)),
            ("Tolerate.Machines", "1".into()),
            ("Limits.LinkMbps", if is_router { "1000.0" } else { "170.0" }.into()),
            ("Limits.MemoryMb", memory.to_string()),
            ("Limits.MaxFds", "4200".into()),
        ];
        values.extend(BOUNDS.map(|(name, value)| (name, value.to_string())));
        if is_router {
            values.push(("Listen.Front", quoted(&self.front_address(machine))));
            values.push(("Listen.Ready", quoted(&self.ready_address(machine))));
        } else {
            let folder = self.folder.join(format!("data-{}", machine.name));
            values.push(("DataDir", quoted(&folder.display().to_string())));
            values.push(("Listen.Control", quoted(&self.control_address(machine))));
        }
        fill(&fs::read_to_string(TEMPLATE).expect("the template is there"), &values)
    }

    /// Kills a process that this program started.
    pub fn kill(&self, machine: &Machine) {
        if let Some(mut child) = machine.process.lock().unwrap().take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of a process in MB.
    pub fn memory_mb(&self, machine: &Machine) -> Option<u64> {
        let id = machine.process.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kilobytes| kilobytes / 1024)
    }

    pub fn end(&self) {
        self.machines.iter().for_each(|machine| self.kill(machine));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// A loopback network and a range of ports that are free there.
fn free_net(numbers: &Numbers) -> (String, u16) {
    loop {
        let drawn = numbers.next();
        let net = format!("127.{}.{}", 2 + drawn % 250, (drawn >> 16) % 256);
        let port = 20_000 + ((drawn >> 32) % 200) as u16 * 50;
        let is_free = |offset: u16| {
            let address: SocketAddr = format!("{net}.10:{}", port + offset).parse().unwrap();
            TcpListener::bind(address).is_ok()
        };
        if [0, 1, 2, 10, 11, 12, 40].into_iter().all(is_free) {
            return (net, port);
        }
    }
}

/// Fills a template: `{{#a}}..{{/a}}` stands if `a` is given, `{{^a}}..{{/a}}` if not, and
/// `{{a|json}}` is its value.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let value = |name: &str| values.iter().find(|(known, _)| *known == name).map(|(_, text)| text);
    let mut filled = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        filled.push_str(&rest[..start]);
        let Some(length) = rest[start..].find("}}") else { break };
        let gap = &rest[start + 2..start + length];
        rest = &rest[start + length + 2..];
        if let Some(name) = gap.strip_prefix(['#', '^']) {
            let end = format!("{{{{/{name}}}}}");
            let Some(at) = rest.find(&end) else { break };
            if value(name).is_some() == gap.starts_with('#') {
                filled.push_str(&fill(&rest[..at], values));
            }
            rest = &rest[at + end.len()..];
        } else {
            let name = gap.trim_end_matches("|json");
            filled.push_str(value(name).map_or("null", String::as_str));
        }
    }
    filled.push_str(rest);
    filled
}

/// Waits until `condition` holds, for `limit` at most.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() >= limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
