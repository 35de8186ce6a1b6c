//! Parts shared by the review's scripts: a fleet of the project's own processes on loopback
//! addresses, and an operator's HTTP client. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const PROGRAM: &str = "target/release/stackpost-platform";

/// Writes `record.txt` of a case, each line with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be created");
        Self { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// A number that differs between runs, for loopback addresses and folders.
pub fn run_number() -> u32 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.subsec_nanos());
    (nanos / 1_000) ^ std::process::id()
}

/// Machines of a small deployment, each with a loopback address of its own. They are killed when
/// this is dropped.
pub struct Fleet {
    pub controls: Vec<String>,
    pub routers: Vec<String>,
    pub control_port: u16,
    pub front_port: u16,
    pub ready_port: u16,
    fleet_port: u16,
    folder: PathBuf,
    processes: BTreeMap<String, Child>,
}

impl Fleet {
    pub fn new(controls: usize, routers: usize) -> io::Result<Self> {
        let number = run_number();
        let net = format!("127.{}.{}", 64 + number % 128, (number / 128) % 250);
        let address = |host: usize| format!("{net}.{host}");
        let controls: Vec<String> = (0..controls).map(|one| address(11 + one)).collect();
        let routers: Vec<String> = (0..routers).map(|one| address(31 + one)).collect();
        let probe = TcpListener::bind((controls[0].as_str(), 0))?;
        let base = 20_000 + probe.local_addr()?.port() % 10_000;
        let folder = std::env::temp_dir().join(format!("stackpost-review-{number}"));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            controls,
            routers,
            control_port: base,
            front_port: base + 1,
            ready_port: base + 2,
            fleet_port: base + 10,
            folder,
            processes: BTreeMap::new(),
        })
    }

    fn is_control(&self, machine: &str) -> bool {
        self.controls.iter().any(|control| control == machine)
    }

    /// The filled template `deploy/settings.jsonc`, with the bounds of the site.
    fn settings(&self, machine: &str, first_start: bool) -> String {
        let is_control = self.is_control(machine);
        let peers = if is_control { &self.controls } else { &self.routers };
        let zones = ["boa-viagem", "derby-hall", "imbiribeira"];
        let index = peers.iter().position(|peer| peer == machine).unwrap_or_default();
        let seeds: Vec<String> = self
            .controls
            .iter()
            .take(3)
            .map(|control| format!("\"{control}:{}\"", self.control_port))
            .collect();
        let listen = |is_served: bool, port: u16| {
            if is_served { format!("\"{machine}:{port}\"") } else { "null".into() }
        };
        let data = match is_control {
            true => format!("{:?}", self.data_folder(machine).display().to_string()),
            false => "null".into(),
        };
        let (memory, descriptors) = if is_control { (256, 4_096) } else { (110, 4_100) };
        format!(
            concat!(
                "{{\"machine\":\"{machine}\",\"address\":\"{machine}\",\"zone\":\"{zone}\",",
                "\"zones\":{{\"boa-viagem\":\"nordeste-br\",\"derby-hall\":\"nordeste-br\",",
                "\"imbiribeira\":\"nordeste-br\"}},\"seeds\":[{seeds}],",
                "\"first_start\":{first_start},\"data_folder\":{data},",
                "\"port_range\":[{first},{last}],\"listen\":{{\"callers\":{callers},",
                "\"readiness\":{ready},\"control\":{control}}},\"losses_borne\":1,\"grace_s\":8,",
                "\"retry_ratio\":0.2,\"retry_extra\":54,\"retry_window_s\":10,",
                "\"load\":{{\"machine\":{{\"link_mbps\":1000.0,\"memory_mb\":{memory},",
                "\"descriptors\":{descriptors}}},\"rebalance_connections\":true,",
                "\"reset_connections\":false,\"accounts_by_demand\":false,",
                "\"admission_order\":true,\"engine_model\":false,\"bounded_streams\":true}}}}\n"
            ),
            machine = machine,
            zone = zones[index % zones.len()],
            seeds = seeds.join(","),
            first_start = first_start,
            data = data,
            first = self.fleet_port,
            last = self.fleet_port + 15,
            callers = listen(!is_control, self.front_port),
            ready = listen(!is_control, self.ready_port),
            control = listen(is_control, self.control_port),
            memory = memory,
            descriptors = descriptors,
        )
    }

    pub fn data_folder(&self, machine: &str) -> PathBuf {
        self.folder.join(machine).join("data")
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, machine: &str, first_start: bool) -> io::Result<()> {
        let folder = self.folder.join(machine);
        fs::create_dir_all(&folder)?;
        let file = folder.join("settings.json");
        fs::write(&file, self.settings(machine, first_start))?;
        let log = OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let role = if self.is_control(machine) { "control" } else { "router" };
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("STACKPOST_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.insert(machine.to_string(), child);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        for machine in self.controls.clone().iter().chain(&self.routers.clone()) {
            self.start(machine, true)?;
        }
        Ok(())
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: &str) {
        if let Some(mut child) = self.processes.remove(machine) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process of a machine, whose disk is lost.
    pub fn lose_disk(&mut self, machine: &str) {
        self.kill(machine);
        let _ = fs::remove_dir_all(self.data_folder(machine));
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: &str, signal: &str) {
        if let Some(child) = self.processes.get(machine) {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, machine: &str) -> bool {
        let child = self.processes.get_mut(machine);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log(&self, machine: &str) -> String {
        fs::read_to_string(self.folder.join(machine).join("log")).unwrap_or_default()
    }

    /// Sends an operator's call to one control process and follows redirects twice. `None` if there
    /// was no answer in time. Returns the status, the body and the machine that answered.
    pub fn call(
        &self,
        control: &str,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<(u16, Vec<u8>, String)> {
        let mut machine = control.to_string();
        for _ in 0..3 {
            let address: SocketAddr = format!("{machine}:{}", self.control_port).parse().ok()?;
            let answer = http_call(address, method, path, "control", &[], body, wait).ok()?;
            if answer.status != 307 {
                return Some((answer.status, answer.body, machine));
            }
            let location = answer.header("location")?;
            machine = location.strip_prefix("http://")?.split(':').next()?.to_string();
        }
        None
    }

    /// Repeats an operator's call, to one control process after the other, until it gets a 200 or
    /// `limit` has passed. Returns the last answer.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<(u16, Vec<u8>, String)> {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < limit {
            for control in &self.controls {
                let answer = self.call(control, method, path, body, Duration::from_secs(2));
                if answer.as_ref().is_some_and(|answer| answer.0 == 200) {
                    return answer;
                }
                last = answer.or(last);
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        last
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// An HTTP answer.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One call over a connection of its own, with `Content-Length` bodies only.
pub fn http_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut stream)
}

/// Reads an answer whose body has a length.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let end_of_head = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8_lossy(&bytes[..end_of_head]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut answer = Answer { status, headers, body: bytes[end_of_head..].to_vec() };
    let length: usize =
        answer.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while answer.body.len() < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.body.extend_from_slice(&buffer[..read]);
    }
    Ok(answer)
}
