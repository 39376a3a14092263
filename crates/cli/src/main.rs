//! Binary `cyclamengauge`, the command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamengauge_cli::commands::run()
}
