//! Starts, signals and ends the processes of the fleet.

use crate::programs;
use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use stackpost_control::views::{EditView, FleetView};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_router_core::RouterStatus;
use stackpost_types::KeyHash;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The tenant's API key.
pub const KEY: &str = "tenant-key";
/// The model that the engines serve.
pub const MODEL: &str = "chat";
/// Limit of the tenant's budget, in tokens.
pub const LIMIT: u64 = 1_000_000;
/// The machines with a router.
pub const ROUTERS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];
/// The machines with a control replica.
const REPLICAS: [&str; 3] = ["a-1", "a-2", "b-1"];
const OPERATOR_KEY: &str = "operator-key";
/// Longest wait for any condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls `condition` until it returns a value; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) -> T {
    let started = Instant::now();
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        poll.tick().await;
        if let Some(value) = condition().await {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
    }
}

/// A running fleet. Dropping it ends its processes.
pub struct Fleet {
    folder: TempDir,
    /// Second byte of all addresses; differs between tests, which may run in parallel.
    net: u8,
    processes: BTreeMap<String, Child>,
    client: Client,
}

impl Fleet {
    /// Starts a fleet on addresses `127.net.*.*` and waits until every router is ready.
    pub async fn start(net: u8) -> Self {
        Self::start_with(net, &["--token-us", "1000"]).await
    }

    /// Starts a fleet like [`start`](Self::start), with other options for the engines.
    pub async fn start_with(net: u8, engine_options: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let client = Client::default();
        let mut fleet = Self { folder, net, processes: BTreeMap::new(), client };
        fleet.write_settings();
        fleet.start_standins(engine_options);
        for machine in REPLICAS {
            let status = fleet.control_command(machine).arg("--initialize").status();
            assert!(
                status.is_ok_and(|status| status.success()),
                "failed to initialize the control replica of {machine}"
            );
            fleet.start_control(machine);
        }
        fleet.write_table().await;
        for machine in ROUTERS {
            fleet.start_router(machine);
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// The folder with settings, logs and journals.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Caller address of a router.
    pub fn api(&self, machine: &str) -> SocketAddr {
        self.address(machine, 8080)
    }

    /// Admin address of a router.
    pub fn router_admin(&self, machine: &str) -> SocketAddr {
        self.address(machine, 9400)
    }

    /// Admin addresses of the control replicas.
    pub fn control_admins(&self) -> Vec<SocketAddr> {
        REPLICAS.iter().map(|machine| self.address(machine, 9500)).collect()
    }

    /// Sends a signal to a process that this fleet has started.
    pub fn signal(&self, name: &str, signal: Signal) {
        let child = self
            .processes
            .get(name)
            .unwrap_or_else(|| panic!("process {name} was not started or has been ended"));
        let pid = Pid::from_raw(child.id() as i32).expect("the process has a valid id");
        // Signalling fails if the process has just ended by itself.
        let _ = kill_process(pid, signal);
    }

    /// Kills a process at once and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a process has ended by itself and returns its exit code.
    pub async fn exit_code(&mut self, name: &str) -> Option<i32> {
        let mut child = self
            .processes
            .remove(name)
            .unwrap_or_else(|| panic!("process {name} was not started or has been ended"));
        let started = Instant::now();
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        loop {
            poll.tick().await;
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            if started.elapsed() > WAIT_TIMEOUT {
                let _ = child.kill();
                panic!("process {name} did not end in time");
            }
        }
    }

    /// Starts a router.
    pub fn start_router(&mut self, machine: &str) {
        let mut command = self.program("stackpost-router");
        command.args(["--settings", &self.settings(), "--machine", machine]);
        self.spawn(&format!("router-{machine}"), command);
    }

    /// Starts a control replica.
    pub fn start_control(&mut self, machine: &str) {
        let command = self.control_command(machine);
        self.spawn(&format!("control-{machine}"), command);
    }

    /// Waits until every router is ready.
    pub async fn wait_until_ready(&self) {
        for machine in ROUTERS {
            self.wait_until_router_is_ready(machine).await;
        }
    }

    /// Waits until one router is ready.
    pub async fn wait_until_router_is_ready(&self, machine: &str) {
        let what = format!("router {machine} is ready");
        wait_for(&what, || async {
            let status = self.router_status(machine).await?;
            status.ready.then_some(())
        })
        .await;
    }

    /// Status that a router reports at its admin address.
    pub async fn router_status(&self, machine: &str) -> Option<RouterStatus> {
        self.get(self.router_admin(machine), "/v1/status").await
    }

    /// The machine of the leader that holds a lease; waits until there is one.
    pub async fn leader(&self) -> String {
        wait_for("a control replica leads with a lease", || async {
            for machine in REPLICAS {
                let view: Option<FleetView> =
                    self.get(self.address(machine, 9500), "/v1/status").await;
                if view.is_some_and(|view| view.replica.has_lease) {
                    return Some(machine.to_string());
                }
            }
            None
        })
        .await
    }

    /// Sends a GET request as an operator; `None` unless the response is 200 with valid JSON.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let request = hyper::http::Request::get(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Bytes::new())
            .ok()?;
        let response = self.client.exchange(request, Duration::from_secs(2)).await;
        let (status, body) = response.ok()?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())?
    }

    /// HTTP status of an admin path, requested without a key.
    pub async fn probe(&self, address: SocketAddr, path: &str) -> Option<StatusCode> {
        let request = hyper::http::Request::get(format!("http://{address}{path}"));
        let request = request.body(Bytes::new()).ok()?;
        let response = self.client.exchange(request, Duration::from_secs(2)).await;
        response.ok().map(|(status, _)| status)
    }

    /// Sends an edit to each replica in turn until its outcome is known.
    pub async fn edit(
        &self,
        id: &str,
        table: &str,
        name: &str,
        based_on: u64,
        row: Value,
    ) -> EditView {
        let edit = json!({
            "id": id, "table": table, "name": name, "based_on": based_on, "row": row,
        });
        let what = format!("the outcome of edit {id} of {table}/{name} is known");
        wait_for(&what, || async {
            for address in self.control_admins() {
                match self.post_edit(address, &edit).await {
                    Some(EditView::NotLeader { .. } | EditView::Unconfirmed) | None => {}
                    Some(view) => return Some(view),
                }
            }
            None
        })
        .await
    }

    async fn post_edit(&self, address: SocketAddr, edit: &Value) -> Option<EditView> {
        let request = hyper::http::Request::post(format!("http://{address}/v1/edits"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Bytes::from(edit.to_string()))
            .ok()?;
        let response = self.client.exchange(request, Duration::from_secs(3)).await;
        serde_json::from_slice(&response.ok()?.1).ok()
    }

    fn address(&self, machine: &str, port: u16) -> SocketAddr {
        let (zone, number) =
            machine.split_once('-').expect("machine names have the form zone-number");
        let zone = if zone == "a" { 1 } else { 2 };
        format!("127.{}.{zone}.{number}:{port}", self.net).parse().expect("valid address")
    }

    fn settings(&self) -> String {
        self.folder().join("fleet.jsonc").display().to_string()
    }

    fn program(&self, name: &str) -> Command {
        Command::new(programs::folder().join(name))
    }

    fn control_command(&self, machine: &str) -> Command {
        let mut command = self.program("stackpost-control");
        command.args(["--settings", &self.settings(), "--machine", machine]);
        command
    }

    fn spawn(&mut self, name: &str, mut command: Command) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder().join(format!("{name}.log")))
            .expect("the log file can be opened");
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {name}: {error}"));
        self.processes.insert(name.to_string(), child);
    }

    /// Data folder of a control replica.
    pub fn data_folder(&self, machine: &str) -> std::path::PathBuf {
        self.folder().join("data").join(machine)
    }

    fn write_settings(&self) {
        let machines: Vec<Value> = ROUTERS
            .iter()
            .map(|machine| {
                let mut entry = json!({
                    "name": machine,
                    "zone": zone_of(machine),
                    "router": {
                        "api": self.address(machine, 8080),
                        "peer": self.address(machine, 7400),
                        "admin": self.address(machine, 9400),
                    },
                });
                if REPLICAS.contains(machine) {
                    entry["control"] = json!({
                        "peer": self.address(machine, 7500),
                        "admin": self.address(machine, 9500),
                        "data_folder": self.data_folder(machine),
                    });
                }
                entry
            })
            .collect();
        let settings = json!({
            "machines": machines,
            "platform": self.platform(),
            "operators_file": "operators.jsonc",
            "router": { "threads": 1, "max_body_bytes": 1_000_000, "body_timeout_ms": 1_000 },
            "log": { "level": "debug" },
        });
        let operators = json!({ "operator": KeyHash::of(OPERATOR_KEY) });
        let write = |name: &str, value: Value| {
            std::fs::write(self.folder().join(name), value.to_string())
                .expect("the file can be written");
        };
        write("fleet.jsonc", settings);
        write("operators.jsonc", operators);
    }

    fn platform(&self) -> SocketAddr {
        SocketAddr::from(([127, self.net, 0, 1], 8500))
    }

    /// Address of the stand-in engine or plain service of a zone.
    pub fn back_end_address(&self, zone: &str, plain: bool) -> SocketAddr {
        let zone = if zone == "a" { 1 } else { 2 };
        SocketAddr::from(([127, self.net, 10 + u8::from(plain), zone], 8000))
    }

    fn start_standins(&mut self, engine_options: &[&str]) {
        let platform = self.platform().to_string();
        let mut command = self.program("stackpost-standin-platform");
        command.args(["--address", &platform, "--lag-ms", "200"]);
        self.spawn("platform", command);
        for zone in ["a", "b"] {
            let journal = |name: &str| {
                self.folder().join(format!("journal-{name}.jsonl")).display().to_string()
            };
            let mut engine = self.program("stackpost-standin-engine");
            let address = self.back_end_address(zone, false).to_string();
            let log = journal(&format!("engine-{zone}"));
            engine.args(["--address", &address, "--log", &log]).args(engine_options);
            if zone == "a" {
                engine.arg("--checks-fence");
            }
            let mut plain = self.program("stackpost-standin-service");
            let address = self.back_end_address(zone, true).to_string();
            let log = journal(&format!("app-{zone}"));
            plain.args(["--address", &address, "--log", &log]);
            self.spawn(&format!("engine-{zone}"), engine);
            self.spawn(&format!("app-{zone}"), plain);
        }
    }

    async fn write_table(&self) {
        for (table, name, row) in self.rows() {
            let id = format!("first-{table}-{name}");
            let view = self.edit(&id, table, &name, 0, row).await;
            assert!(
                matches!(view, EditView::Accepted { .. }),
                "initial row {table}/{name} was not accepted: {view:?}"
            );
        }
    }

    fn rows(&self) -> Vec<(&'static str, String, Value)> {
        let mut rows = Vec::new();
        for zone in ["zone-a", "zone-b"] {
            rows.push(("zone", zone.to_string(), json!({ "weight": 1 })));
        }
        for machine in ROUTERS {
            let row = json!({
                "zone": zone_of(machine),
                "peer_address": self.address(machine, 7400),
                "api_address": self.api(machine),
            });
            rows.push(("machine", machine.to_string(), row));
        }
        let service = |kind: &str, models: Vec<&str>| {
            json!({
                "kind": kind, "models": models, "queue_limit": 50, "back_end_concurrency": 16,
                "queue_wait_ms": 10_000, "max_tokens_limit": 5_000,
            })
        };
        rows.push(("service", "models".into(), service("model", vec![MODEL])));
        rows.push(("service", "app".into(), service("plain", Vec::new())));
        for (service, plain) in [("models", false), ("app", true)] {
            for zone in ["a", "b"] {
                let row = json!({
                    "service": service, "zone": format!("zone-{zone}"),
                    "address": self.back_end_address(zone, plain), "weight": 100, "state": "active",
                    "checks_fence": zone == "a", "loaded": [], "role": "both",
                });
                rows.push(("back_end", format!("{service}-{zone}"), row));
            }
        }
        for (name, path, repeatable) in
            [("tickets", "/tickets", false), ("timetable", "/timetable", true)]
        {
            let row = json!({
                "path_prefix": path, "methods": [], "service": "app", "repeatable": repeatable,
                "cost": 20,
            });
            rows.push(("route", name.to_string(), row));
        }
        rows.push(("budget", "budget".into(), json!({ "limit": LIMIT })));
        let tenant = json!({
            "key_hashes": [KeyHash::of(KEY)], "budget": "budget", "home_zone": "zone-a",
            "weight": 1,
        });
        rows.push(("tenant", "tenant".into(), tenant));
        rows
    }
}

fn zone_of(machine: &str) -> String {
    format!("zone-{}", machine.split('-').next().unwrap_or_default())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
    }
}
