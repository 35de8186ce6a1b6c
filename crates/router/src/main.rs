//! `stackpost-router`: the router on an entry machine.

use std::process::ExitCode;

fn main() -> ExitCode {
    stackpost_router::app::run()
}
