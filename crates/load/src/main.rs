//! The load and experiment tool.

use std::process::ExitCode;

use bpaf::Bpaf;
use cyclamengauge_load::experiment::{self, compare_options};

/// Load and experiment tool of cyclamengauge
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Run routing policies side by side in virtual time
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_options))] experiment::CompareOptions),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Compare(options) => {
            println!("{}", experiment::compare(&options));
            ExitCode::SUCCESS
        }
    }
}
