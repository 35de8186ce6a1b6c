//! Definition of the command line.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::SocketAddr;

/// The command with all subcommands.
pub fn command() -> Command {
    Command::new("stackpost-load")
        .about("Sends requests and measures the answers")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(
            request_arguments(Command::new("request").about("Sends one request and shows it"))
                .arg(Arg::new("path").long("path").help("Call a plain service on this path"))
                .arg(Arg::new("idempotency-key").long("idempotency-key").help("Its key")),
        )
        .subcommand(
            request_arguments(
                Command::new("run").about(
                    "Sends requests at a fixed rate, whether or not earlier ones are answered",
                ),
            )
            .arg(number("rate", "50", "Requests a second"))
            .arg(number("seconds", "10", "Duration")),
        )
        .subcommand(
            request_arguments(Command::new("compare").about(
                "Measures the router against direct calls of one engine, in turns, in one run",
            ))
            .arg(
                Arg::new("direct")
                    .long("direct")
                    .required(true)
                    .value_parser(value_parser!(SocketAddr))
                    .help("The engine"),
            )
            .arg(number("rate", "50", "Requests a second, on each side"))
            .arg(number("seconds", "10", "Duration of each turn"))
            .arg(number("turns", "3", "Turns on each side")),
        )
}

fn request_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("api")
                .long("api")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The router"),
        )
        .arg(Arg::new("key").long("key").default_value("").help("The tenant's key"))
        .arg(Arg::new("model").long("model").default_value("").help("The model"))
        .arg(Arg::new("prompt").long("prompt").default_value("hello").help("The prompt"))
        .arg(number("max-tokens", "64", "Most tokens to generate"))
        .arg(
            Arg::new("stream")
                .long("stream")
                .action(ArgAction::SetTrue)
                .help("Ask for a streamed answer"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

/// Value of a numeric argument; 0 if it is absent.
pub fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Value of a text argument; empty if it is absent.
pub fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Value of a required address.
pub fn address(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches.get_one::<SocketAddr>(name).expect("argument is required")
}
