/*!
Works out what each role costs at three sizes, from measured slopes.

`cyclamengauge-load capacity` writes the tables of `docs/CAPACITY.md` from
`docs/capacity-slopes.json`; with `--check` it only compares, so the page cannot
drift from the arithmetic.
*/

mod lines;
mod page;
mod sizes;

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context;
use bpaf::Bpaf;

pub use lines::{Line, lines};
pub use page::render;
pub use sizes::Size;

use crate::slopes::Slopes;

/// Marks around the generated part of the page.
const BEGIN: &str = "<!-- generated: begin -->";
const END: &str = "<!-- generated: end -->";

/// Options of `capacity`
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(capacity_options))]
pub struct CapacityOptions {
    /// File with the measured slopes
    #[bpaf(
        long,
        argument("FILE"),
        fallback(PathBuf::from("docs/capacity-slopes.json"))
    )]
    pub slopes: PathBuf,
    /// Page whose generated part is written
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("docs/CAPACITY.md")))]
    pub page: PathBuf,
    /// Only compare; exit with 1 if the page differs
    #[bpaf(long, switch)]
    pub check: bool,
}

/// Writes or compares the page.
pub fn run(options: &CapacityOptions) -> ExitCode {
    match execute(options) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("capacity: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(options: &CapacityOptions) -> anyhow::Result<ExitCode> {
    let slopes = fs::read_to_string(&options.slopes).context("read the slopes")?;
    let slopes: Slopes = serde_json::from_str(&slopes).context("parse the slopes")?;
    let page = fs::read_to_string(&options.page).context("read the page")?;
    let fresh = replace(&page, &render(&slopes)?)?;
    if !options.check {
        fs::write(&options.page, fresh).context("write the page")?;
        return Ok(ExitCode::SUCCESS);
    }
    if fresh == page {
        println!("capacity: the page agrees with the slopes");
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("capacity: the page differs; run cyclamengauge-load capacity");
    Ok(ExitCode::FAILURE)
}

/// Puts `text` between the marks of the page.
///
/// # Errors
///
/// If the marks are missing.
pub fn replace(page: &str, text: &str) -> anyhow::Result<String> {
    let (head, rest) = page
        .split_once(BEGIN)
        .context("the page has no begin mark")?;
    let (_, tail) = rest.split_once(END).context("the page has no end mark")?;
    Ok(format!("{head}{BEGIN}\n\n{text}\n{END}{tail}"))
}
