/*!
Measures how costs grow with size, for `docs/CAPACITY.md`.

Each slope comes from at least four sizes with a straight line fitted through
them; the residual shows where a cost is not linear.
*/

mod control;
mod decisions;
mod fit;
mod live;
mod memory;

use std::{path::Path, process::ExitCode};

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

pub use fit::{Line, fit};

/// Options of `slopes`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(slopes_options))]
pub struct SlopesOptions {
    /// Print JSON, as kept in docs/capacity-slopes.json
    #[bpaf(long, switch)]
    pub json: bool,
}

/// One measured cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// Stable name.
    pub name: String,
    /// Unit of the cost, such as `us` or `bytes`.
    pub unit: String,
    /// What one more of makes the cost grow.
    pub per: String,
    /// Sizes and the cost at each.
    pub points: Vec<(f64, f64)>,
    /// Cost of one more.
    pub slope: f64,
    /// Cost at size zero.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

impl Slope {
    /// Fits a line through the points.
    pub fn new(name: &str, unit: &str, per: &str, points: Vec<(f64, f64)>) -> Self {
        let line = fit(&points);
        Self {
            name: name.to_owned(),
            unit: unit.to_owned(),
            per: per.to_owned(),
            points,
            slope: line.slope,
            base: line.base,
            residual: line.residual,
        }
    }

    /// The cost at a size, by the line.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// All slopes of one measuring.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Slopes {
    /// The slopes in the order of their measuring.
    pub slopes: Vec<Slope>,
}

impl Slopes {
    /// The slope of that name.
    ///
    /// # Errors
    ///
    /// If it was not measured.
    pub fn get(&self, name: &str) -> anyhow::Result<&Slope> {
        let found = self.slopes.iter().find(|slope| slope.name == name);
        found.ok_or_else(|| anyhow::anyhow!("slope `{name}` was not measured"))
    }
}

/// Measures everything and prints it.
pub fn run(options: &SlopesOptions, program: &Path) -> ExitCode {
    match measure(program) {
        Ok(slopes) if options.json => {
            let text = serde_json::to_string_pretty(&slopes).unwrap_or_default();
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(slopes) => {
            slopes
                .slopes
                .iter()
                .for_each(|slope| println!("{}", line(slope)));
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("slopes: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn measure(program: &Path) -> anyhow::Result<Slopes> {
    let mut slopes = Slopes::default();
    eprintln!("slopes: memory");
    slopes.slopes.extend(memory::measure());
    eprintln!("slopes: decisions");
    slopes.slopes.extend(decisions::measure());
    eprintln!("slopes: control messages");
    slopes.slopes.extend(control::measure());
    eprintln!("slopes: running daemons");
    let live = actix_rt::System::new().block_on(live::measure(program))?;
    slopes.slopes.extend(live);
    Ok(slopes)
}

fn line(slope: &Slope) -> String {
    format!(
        "{:<34} {:>12.4} {} per {}, base {:.2}, residual {:.3}",
        slope.name, slope.slope, slope.unit, slope.per, slope.base, slope.residual
    )
}
