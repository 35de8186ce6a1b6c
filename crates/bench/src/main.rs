//! `stackpost-bench`: benchmarks of the decision code in a simulated fleet, without sockets.
//!
//! - `refusals`: overspend and false refusals, compared with two baselines;
//! - `capacity`: memory, CPU time and network traffic by number of routers, engines, budgets and
//!   requests;
//! - `rates`: gateways in front of engines that state a request rate limit;
//! - `departures`: a rolling replacement of all engines.

mod baseline;
mod capacity;
mod departures;
mod rates;
mod refusals;

use clap::{Arg, Command, value_parser};
use std::process::ExitCode;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let matches = Command::new("stackpost-bench")
        .about("Measures the decision code in a simulated fleet")
        .subcommand_required(true)
        .subcommand(
            Command::new("refusals")
                .about("Overspend and false refusals, against two baselines")
                .arg(number("minutes", "60", "Length of the cut"))
                .arg(number("scale", "1", "Routers in each zone, times two")),
        )
        .subcommand(
            Command::new("capacity")
                .about("A hollow fleet of the size asked for: memory, processor time, bytes")
                .arg(number("routers", "6", "Routers, spread over six zones"))
                .arg(number("engines", "18", "Engines"))
                .arg(number("budgets", "100", "Budgets, each with a tenant"))
                .arg(number("rate", "20", "Requests a second"))
                .arg(number("seconds", "20", "Simulated seconds of each phase"))
                .arg(number("edits", "5", "Edits in the last phase")),
        )
        .subcommand(
            Command::new("rates")
                .about("Gateways before engines that state rates: datagrams, processor time, share used")
                .arg(number("routers", "8", "Routers"))
                .arg(number("engines", "900", "Engines"))
                .arg(number("limited-percent", "100", "Engines in a hundred that state a rate"))
                .arg(number("seconds", "15", "Simulated seconds")),
        )
        .subcommand(
            Command::new("departures")
                .about("All engines are replaced within two minutes: what control tells routers")
                .arg(number("routers", "8", "Routers"))
                .arg(number("engines", "900", "Engines")),
        )
        .get_matches();
    match matches.subcommand() {
        Some(("refusals", inner)) => refusals::run(inner),
        Some(("capacity", inner)) => capacity::run(inner),
        Some(("rates", inner)) => rates::run(inner),
        Some(("departures", inner)) => departures::run(inner),
        _ => return ExitCode::FAILURE,
    }
    ExitCode::SUCCESS
}
