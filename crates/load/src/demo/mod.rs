/*!
The demo: an installation on loopback under a seeded mixed load, with an engine
killed and an instance drained halfway, and a table of what came of it.
*/

mod run;
mod tally;

use bpaf::Bpaf;

pub use run::run;
pub use tally::Tally;

use crate::model::Deployment;

/// Options of `demo`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(demo_options))]
pub struct DemoOptions {
    /// Seed of the load
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// Print JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// Length of the load in seconds, 5 to 45
    #[bpaf(
        long,
        argument("N"),
        fallback(24),
        guard(sensible_time, "allowed: 5 to 45 s")
    )]
    pub seconds: u64,
    /// Load as a share of what the engines can do, above 0 to 3
    #[bpaf(
        long,
        argument("SHARE"),
        fallback(0.6),
        guard(sensible_load, "allowed: above 0 to 3")
    )]
    pub load: f64,
    /// Whose callers send
    #[bpaf(long, argument("NAME"), fallback(Deployment::MoosachIsental))]
    pub deployment: Deployment,
}

fn sensible_time(seconds: &u64) -> bool {
    (5..=45).contains(seconds)
}

fn sensible_load(load: &f64) -> bool {
    *load > 0.0 && *load <= 3.0
}
