//! Command line, startup and shutdown of the process.

use crate::api::{self, Api};
use crate::replica_handle;
use clap::{Arg, ArgAction, ArgMatches, Command};
use stackpost_http::{ServerOptions, serve};
use stackpost_settings::{ControlEntry, FleetSettings, MachineEntry, OperatorsFile, load};
use stackpost_types::{PeerError, Step};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads of the runtime, which handles messages and runs the API.
const THREADS: usize = 2;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Settings of the fleet, JSON with comments");
    let machine = Arg::new("machine")
        .long("machine")
        .value_name("NAME")
        .required(true)
        .help("This machine's name in the settings");
    Command::new("stackpost-control")
        .about("Keeps the table and decides which machine is in charge of what")
        .version(clap::crate_version!())
        .arg(settings)
        .arg(machine)
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and stop"),
        )
        .arg(
            Arg::new("initialize")
                .long("initialize")
                .action(ArgAction::SetTrue)
                .help("Make the data folder for a new fleet and stop; once per machine, ever"),
        )
        .after_help(
            "A replica that starts with an empty data folder copies everything from the others \
             before it counts.\n\nExample:\n  stackpost-control --settings fleet.jsonc --machine \
             marina-1 --initialize\n  stackpost-control --settings fleet.jsonc --machine marina-1",
        )
}

/// Runs the process and returns its exit code: 0 after a planned stop, 2 for invalid settings, 1
/// for any other error.
pub fn run() -> ExitCode {
    let arguments = command().get_matches();
    let (settings, entry, control) = match read_settings(&arguments) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("stackpost-control: {error}");
            return ExitCode::from(2);
        }
    };
    let result = if arguments.get_flag("check") {
        println!("settings of {} are in order", entry.name);
        Ok(())
    } else if arguments.get_flag("initialize") {
        replica_handle::initialize(&control.data_folder).map_err(|error| error.to_string())
    } else {
        start(settings, &entry, &control).map_err(|error| error.to_string())
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackpost-control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(
    arguments: &ArgMatches,
) -> Result<(FleetSettings, MachineEntry, ControlEntry), String> {
    let file = arguments.get_one::<PathBuf>("settings").expect("required");
    let name = arguments.get_one::<String>("machine").expect("required");
    let mut settings: FleetSettings = load(file).map_err(|error| error.to_string())?;
    settings.operators_file = relative_to(file, &settings.operators_file);
    let entry = settings
        .machine(name)
        .map_err(|problem| format!("--machine: {}; allowed: {}", problem.found, problem.allowed))?;
    let entry = entry.clone();
    let control = entry
        .control
        .clone()
        .ok_or_else(|| format!("--machine: `{name}` has no `control` in the settings"))?;
    Ok((settings, entry, control))
}

/// Resolves a path from the settings, which is relative to the settings file.
fn relative_to(file: &Path, path: &Path) -> PathBuf {
    file.parent().unwrap_or(Path::new(".")).join(path)
}

fn start(
    settings: FleetSettings,
    entry: &MachineEntry,
    control: &ControlEntry,
) -> Result<(), PeerError> {
    stackpost_telemetry::start_logs("control", entry.name.as_str(), &settings.log)
        .map_err(|error| PeerError::new(Step::Settings, "log", error))?;
    let operators: OperatorsFile = load(&settings.operators_file)
        .map_err(|error| PeerError::new(Step::Settings, "operators", error))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(|error| PeerError::new(Step::Listen, "runtime", error))?;
    runtime.block_on(async {
        let replica_handle = replica_handle::start(&settings, entry, &control.data_folder)
            .map_err(|error| PeerError::new(Step::Storage, control.data_folder.display(), error))?;
        let receiver = replica_handle.clone();
        stackpost_transport::listen(control.peer, move |batch| receiver.receive(batch)).await?;
        let api = Arc::new(Api { replica_handle, operators });
        let options = ServerOptions { address: control.admin, threads: 1 };
        serve(options, move |exchange| api::handle(api.clone(), exchange))?;
        log::info!(zone = entry.zone.to_string(), address = control.admin.to_string(); "listening");
        wait_for_stop_signal().await
    })
}

/// Waits for a signal to stop. A replica needs no shutdown protocol, since everything that it has
/// acknowledged is on its disk.
async fn wait_for_stop_signal() -> Result<(), PeerError> {
    let signal_error = |error: std::io::Error| PeerError::new(Step::Listen, "signals", error);
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stopped");
    Ok(())
}
