//! `stackpost-control`: the control replica on a machine with a disk.

use std::process::ExitCode;

fn main() -> ExitCode {
    stackpost_control::app::run()
}
