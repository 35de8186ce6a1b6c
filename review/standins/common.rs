//! Parts shared by the review's scripts: a fleet of the project's own processes on loopback
//! addresses, and an operator's HTTP client. Standard library only.
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/stackpost-platform";
/// Variables that a process of the platform inherits.
const INHERITED: [&str; 3] = ["PATH", "HOME", "LANG"];
/// Pause of the operator before it calls again; doubled up to the limit.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest wait for one answer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);
/// Statuses at which a call of the operator ends at once.
const FINAL_STATUSES: [u16; 5] = [400, 409, 412, 413, 422];

// From the C library, which the standard library links.
unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

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

    /// A time after the start.
    pub fn at(&self, elapsed: Duration) -> Instant {
        self.started + elapsed
    }
}

/// A number that differs between runs, for loopback addresses and folders.
fn run_number() -> u32 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.subsec_nanos());
    (nanos / 1_000) ^ std::process::id()
}

/// Machines of a small deployment, each with a loopback address of its own. They are killed when
/// this is dropped.
pub struct Fleet {
    pub controls: Vec<String>,
    routers: Vec<String>,
    control_port: u16,
    front_port: u16,
    ready_port: u16,
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

    fn data_folder(&self, machine: &str) -> PathBuf {
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
        let inherited =
            INHERITED.iter().filter_map(|name| Some((*name, std::env::var(name).ok()?)));
        let mut command = Command::new(PROGRAM);
        command.arg(role).env_clear().envs(inherited).env("STACKPOST_NODE_FILE", &file);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: the call only sets an attribute of the new process: it ends with this one.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
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
    fn kill(&mut self, machine: &str) {
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

    /// Sends an operator's call to one control process and follows redirects twice. `None` if there
    /// was no answer in time. Returns the status, the body and the machine that answered.
    fn call(
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
            let answer = http_call(address, method, path, body, wait).ok()?;
            if answer.status != 307 {
                return Some((answer.status, answer.body, machine));
            }
            let location = answer.header("location")?;
            machine = location.strip_prefix("http://")?.split(':').next()?.to_string();
        }
        None
    }

    /// Repeats an operator's call, to one control process after the other and with growing pauses,
    /// until it gets a 200 or a final refusal, or `until` has come. Returns the last answer.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        until: Instant,
    ) -> Option<(u16, Vec<u8>, String)> {
        let mut last = None;
        let mut pause = FIRST_PAUSE;
        loop {
            for control in &self.controls {
                let wait = ANSWER_WAIT.min(until.saturating_duration_since(Instant::now()));
                if wait.is_zero() {
                    return last;
                }
                let answer = self.call(control, method, path, body, wait);
                let is_final = |answer: &(u16, Vec<u8>, String)| {
                    answer.0 == 200 || FINAL_STATUSES.contains(&answer.0)
                };
                if answer.as_ref().is_some_and(is_final) {
                    return answer;
                }
                last = answer.or(last);
            }
            std::thread::sleep(pause.min(until.saturating_duration_since(Instant::now())));
            pause = (pause * 2).min(MAX_PAUSE);
        }
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
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An HTTP answer.
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One call over a connection of its own, with `Content-Length` bodies only.
fn http_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    wait: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut stream)
}

/// Reads an answer whose body has a length.
fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
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
