//! `stackpost-standin-engine`: a model engine that generates meaningless text.

use clap::{Arg, ArgAction};
use stackpost_http::{ServerOptions, serve};
use stackpost_standins::arguments::{command, number, run_forever};
use stackpost_standins::engine::{self, Engine, EngineOptions};
use stackpost_standins::generation::UsageMode;
use stackpost_standins::journal::Journal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let matches = command("stackpost-standin-engine", "A stand-in for a model engine")
        .arg(
            Arg::new("checks-fence")
                .long("checks-fence")
                .action(ArgAction::SetTrue)
                .help("Refuse orders with an older fencing token"),
        )
        .arg(number("token-us", "2000", "Time per token, in microseconds"))
        .arg(number("block-us", "500", "Time per prompt block not in the cache, in microseconds"))
        .arg(number("batch", "32", "Requests worked on at once"))
        .arg(number("cache-blocks", "4096", "Blocks in the prefix cache"))
        .arg(number("lag-ms", "300", "Age of load reports and cache events, in milliseconds"))
        .arg(
            Arg::new("usage")
                .long("usage")
                .default_value("exact")
                .value_parser(["exact", "missing", "low", "high"])
                .help("How it reports what it used"),
        )
        .arg(
            Arg::new("rest-s")
                .long("rest-s")
                .value_name("SECONDS")
                .value_parser(clap::value_parser!(u64))
                .help("Turn every chat away and ask for so much rest"),
        )
        .arg(
            Arg::new("weight-store")
                .long("weight-store")
                .value_name("IP:PORT")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Where it reads weights"),
        )
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("argument has a default");
    let usage = matches.get_one::<String>("usage").and_then(|text| UsageMode::parse(text));
    let options = EngineOptions {
        checks_fence: matches.get_flag("checks-fence"),
        token_time: Duration::from_micros(value("token-us")),
        block_time: Duration::from_micros(value("block-us")),
        batch: value("batch") as usize,
        cache_blocks: value("cache-blocks") as usize,
        lag: Duration::from_millis(value("lag-ms")),
        usage: usage.unwrap_or(UsageMode::Exact),
        weight_store: matches.get_one::<SocketAddr>("weight-store").copied(),
        retry_after_s: matches.get_one::<u64>("rest-s").copied(),
    };
    let address = *matches.get_one::<SocketAddr>("address").expect("argument is required");
    run_forever(|| {
        let log = matches.get_one::<PathBuf>("log");
        let engine = Engine::new(options, Journal::open(log.map(PathBuf::as_path))?);
        let server = ServerOptions { address, threads: 1 };
        serve(server, move |exchange| engine::handle(engine.clone(), exchange))
            .map_err(|error| error.to_string())
    })
}
