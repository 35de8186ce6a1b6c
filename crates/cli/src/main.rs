//! `stackpost`: the operator's command line.
//!
//! Exit codes: 0 done; 1 the fleet could not be reached or refused; 2 wrong arguments or files;
//! 3 another edit came first; 4 an edit was accepted but is not yet in force in every zone.

mod arguments;
mod client;
mod commands;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stackpost: runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(&matches)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("stackpost: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
