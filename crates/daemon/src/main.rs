//! Command-line program of the daemon.

use std::process::ExitCode;

use cyclamengauge_daemon::{Options, run};

fn main() -> ExitCode {
    run(&Options::from_command_line())
}
