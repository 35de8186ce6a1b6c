//! `stackpost-load`: sends single requests or open-loop load, and compares the router with direct
//! calls of the same engine.

mod arguments;
mod compare;
mod open_loop;
mod request;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stackpost-load: runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        match matches.subcommand() {
            Some(("request", inner)) => request::run(inner).await,
            Some(("run", inner)) => open_loop::run(inner).await,
            Some(("compare", inner)) => compare::run(inner).await,
            _ => Err("no command".to_string()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackpost-load: {error}");
            ExitCode::FAILURE
        }
    }
}
