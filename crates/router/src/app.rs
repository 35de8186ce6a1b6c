//! Command line, start and planned stop of the process.

use crate::metrics::Metrics;
use crate::server::RouterServer;
use crate::{admin, api, poll};
use clap::{Arg, ArgAction, ArgMatches, Command};
use stackpost_http::{ServerOptions, serve};
use stackpost_router_core::Event;
use stackpost_settings::{FleetSettings, MachineEntry, RouterEntry, load};
use stackpost_types::{PeerError, Step};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Threads of the admin interface.
const ADMIN_THREADS: usize = 1;
/// Delay before the process exits, in which the last bytes of responses are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

fn command() -> Command {
    Command::new("stackpost-router")
        .about("Routes callers' requests to back ends and keeps them within their budgets")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings of the fleet, JSON with comments"),
        )
        .arg(
            Arg::new("machine")
                .long("machine")
                .value_name("NAME")
                .required(true)
                .help("This machine's name in the settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and stop"),
        )
        .after_help("Example:\n  stackpost-router --settings fleet.jsonc --machine marina-1")
}

/// Runs the process; returns its exit code: 0 after a planned stop, 2 for invalid settings, 1 for
/// any other error.
pub fn run() -> ExitCode {
    let arguments = command().get_matches();
    let (settings, entry) = match read_settings(&arguments) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("stackpost-router: {error}");
            return ExitCode::from(2);
        }
    };
    if arguments.get_flag("check") {
        println!("settings of {} are in order", entry.name);
        return ExitCode::SUCCESS;
    }
    match start(settings, &entry) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackpost-router: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(arguments: &ArgMatches) -> Result<(FleetSettings, MachineEntry), String> {
    let file = arguments.get_one::<PathBuf>("settings").expect("required");
    let name = arguments.get_one::<String>("machine").expect("required");
    let settings: FleetSettings = load(file).map_err(|error| error.to_string())?;
    let entry = settings
        .machine(name)
        .map_err(|problem| format!("--machine: {}; allowed: {}", problem.found, problem.allowed))?;
    if entry.router.is_none() {
        return Err(format!("--machine: `{name}` has no `router` in the settings"));
    }
    let entry = entry.clone();
    Ok((settings, entry))
}

fn start(settings: FleetSettings, entry: &MachineEntry) -> Result<(), PeerError> {
    stackpost_telemetry::start_logs("router", entry.name.as_str(), &settings.log)
        .map_err(|error| PeerError::new(Step::Settings, "log", error))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.router.threads)
        .enable_all()
        .build()
        .map_err(|error| PeerError::new(Step::Listen, "runtime", error))?;
    runtime.block_on(serve_until_stopped(settings, entry))
}

async fn serve_until_stopped(
    settings: FleetSettings,
    entry: &MachineEntry,
) -> Result<(), PeerError> {
    let metrics =
        Metrics::new().map_err(|error| PeerError::new(Step::Settings, "metrics", error))?;
    let addresses = entry.router.clone().expect("checked when the settings were read");
    let server = RouterServer::new(&settings, entry, metrics);
    listen(&server, &addresses, settings.router.threads).await?;
    if let Some(platform) = settings.platform {
        tokio::spawn(poll::watch_platform(server.clone(), platform));
    }
    tokio::spawn(poll::watch_back_ends(server.clone()));
    tokio::spawn(tick(server.clone()));
    log::info!(zone = entry.zone.to_string(), address = addresses.api.to_string(); "listening");
    wait_for_stop(&server).await
}

async fn listen(
    server: &Arc<RouterServer>,
    addresses: &RouterEntry,
    threads: usize,
) -> Result<(), PeerError> {
    let receiver = server.clone();
    stackpost_transport::listen(addresses.peer, move |batch| receiver.receive(batch)).await?;
    let operators = server.clone();
    let options = ServerOptions { address: addresses.admin, threads: ADMIN_THREADS };
    serve(options, move |exchange| admin::handle(operators.clone(), exchange))?;
    let callers = server.clone();
    let options = ServerOptions { address: addresses.api, threads };
    serve(options, move |exchange| api::handle(callers.clone(), exchange))
}

async fn tick(server: Arc<RouterServer>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        server.handle(Event::Tick);
    }
}

/// SIGTERM and SIGINT begin a planned stop: readiness fails first, then requests in flight are
/// finished. The HTTP server's own shutdown would interrupt streams after 30 s, so it is not used.
async fn wait_for_stop(server: &Arc<RouterServer>) -> Result<(), PeerError> {
    let signal_error = |error: std::io::Error| PeerError::new(Step::Listen, "signals", error);
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stopping: finishing requests in flight");
    server.drain();
    server.drained().await;
    while server.open_call_count() > 0 {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    log::info!("stopped");
    Ok(())
}
