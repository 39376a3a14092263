//! The operators' tool's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamengauge_cli::commands::run()
}
