//! The load and experiment tool.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use cyclamengauge_load::{
    capacity::{self, capacity_options},
    demo::{self, demo_options},
    experiment::{self, compare_options},
    hostile::{self, hostile_options},
    latency::{self, latency_options},
    slopes::{self, slopes_options},
    standins::{self, engine_options, plain_options, platform_options},
};

/// Load and experiment tool of cyclamengauge
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Run an installation on loopback under load and failures
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] demo::DemoOptions),
    /// Run routing policies side by side in virtual time
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_options))] experiment::CompareOptions),
    /// Measure what a daemon adds to the way of each token
    #[bpaf(command)]
    Latency(#[bpaf(external(latency_options))] latency::LatencyOptions),
    /// Play clients that misbehave
    #[bpaf(command)]
    Hostile(#[bpaf(external(hostile_options))] hostile::HostileOptions),
    /// Measure how costs grow with size
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes_options))] slopes::SlopesOptions),
    /// Work out docs/CAPACITY.md from measured slopes
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_options))] capacity::CapacityOptions),
    /// Run a stand-in
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in))] StandIn),
    /// Run a daemon
    #[bpaf(command)]
    Daemon {
        /// File with the settings
        #[bpaf(long, argument("FILE"))]
        config: PathBuf,
    },
}

/// A stand-in
#[derive(Bpaf, Clone, Debug)]
enum StandIn {
    /// An engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_options))] standins::EngineOptions),
    /// A plain service
    #[bpaf(command)]
    Plain(#[bpaf(external(plain_options))] standins::PlainOptions),
    /// The platform's table service, object store and list of instances
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_options))] standins::PlatformOptions),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Demo(options) => with_program(|program| demo::run(&options, program)),
        Command::Capacity(options) => capacity::run(&options),
        Command::Hostile(options) => hostile::run(&options),
        Command::Latency(options) => with_program(|program| latency::run(&options, program)),
        Command::Slopes(options) => with_program(|program| slopes::run(&options, program)),
        Command::Compare(options) => {
            println!("{}", experiment::compare(&options));
            ExitCode::SUCCESS
        }
        Command::StandIn(StandIn::Engine(options)) => standins::run_engine(&options),
        Command::StandIn(StandIn::Plain(options)) => standins::run_plain(&options),
        Command::StandIn(StandIn::Platform(options)) => standins::run_platform(&options),
        Command::Daemon { config } => {
            let check = false;
            cyclamengauge_daemon::run(&cyclamengauge_daemon::Options::Own { config, check })
        }
    }
}

/// Runs something that starts this program again for its processes.
fn with_program(run: impl FnOnce(&Path) -> ExitCode) -> ExitCode {
    match std::env::current_exe() {
        Ok(program) => run(&program),
        Err(err) => {
            eprintln!("find this program: {err}");
            ExitCode::FAILURE
        }
    }
}
