//! `stackpost-standin-service`: a plain service that counts the requests that it executes.

use clap::Arg;
use stackpost_http::{ServerOptions, serve};
use stackpost_standins::arguments::{command, run_forever};
use stackpost_standins::journal::Journal;
use stackpost_standins::plain::{self, PlainService};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command("stackpost-standin-service", "A stand-in for a plain service")
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("service")
                .help("Name that its answers carry"),
        )
        .get_matches();
    let address = *matches.get_one::<SocketAddr>("address").expect("argument is required");
    let name = matches.get_one::<String>("name").expect("argument has a default").clone();
    run_forever(|| {
        let log = matches.get_one::<PathBuf>("log");
        let service = PlainService::new(name, Journal::open(log.map(PathBuf::as_path))?);
        let server = ServerOptions { address, threads: 1 };
        serve(server, move |exchange| plain::handle(service.clone(), exchange))
            .map_err(|error| error.to_string())
    })
}
