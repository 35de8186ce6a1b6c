//! Command-line arguments and start-up shared by the stand-ins.

use clap::{Arg, Command};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A command with the arguments common to all stand-ins.
pub fn command(name: &'static str, about: &'static str) -> Command {
    let address = Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(clap::value_parser!(SocketAddr))
        .help("Where it listens");
    let log = Arg::new("log")
        .long("log")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Where it notes what it did, one JSON object a line");
    Command::new(name).about(about).version(clap::crate_version!()).arg(address).arg(log)
}

/// An argument with an integer value.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(clap::value_parser!(u64))
        .help(help)
}

/// Calls `start` inside a runtime and keeps the process running until it is terminated.
pub fn run_forever(start: impl FnOnce() -> Result<(), String>) -> std::process::ExitCode {
    let runtime =
        match tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                eprintln!("start of the tokio runtime failed: {error}");
                return std::process::ExitCode::FAILURE;
            }
        };
    let _guard = runtime.enter();
    if let Err(error) = start() {
        eprintln!("{error}");
        return std::process::ExitCode::FAILURE;
    }
    runtime.block_on(std::future::pending())
}
