//! `stackpost-standin-platform`: a machine list that lags behind and a rate-limited weight
//! store.

use stackpost_http::{ServerOptions, serve};
use stackpost_standins::arguments::{command, number, run_forever};
use stackpost_standins::platform::{self, Platform};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let matches = command("stackpost-standin-platform", "A stand-in for the platform")
        .arg(number("lag-ms", "1000", "Age of the machine list, in milliseconds"))
        .arg(number("weight-reads", "4", "Reads of weights allowed in a second"))
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("argument has a default");
    let address = *matches.get_one::<SocketAddr>("address").expect("argument is required");
    let lag = Duration::from_millis(value("lag-ms"));
    let platform = Platform::new(lag, value("weight-reads") as usize);
    run_forever(|| {
        let server = ServerOptions { address, threads: 1 };
        serve(server, move |exchange| platform::handle(platform.clone(), exchange))
            .map_err(|error| error.to_string())
    })
}
