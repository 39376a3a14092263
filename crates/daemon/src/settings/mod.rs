/*!
The daemon's settings: read from JSON with `//` comments, and checked whole.
*/

mod check;

use std::{fs, path::Path};

use anyhow::Context;
use cyclamengauge_schema::{parse_json, v1};

pub use check::check;

/// Reads JSON that may carry `//` and `/* */` comments.
///
/// # Errors
///
/// If the file cannot be read, is no JSON, or has unknown fields.
pub fn read<T: serde::de::DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let bytes = fs::read(path).with_context(|| format!("read {}", path.display()))?;
    parse_json(&bytes).with_context(|| format!("parse {}", path.display()))
}

/// Reads the settings and reports every fault in one error.
///
/// # Errors
///
/// If the file cannot be read or has faults.
pub fn load(path: &Path) -> anyhow::Result<v1::Settings> {
    let settings: v1::Settings = read(path)?;
    let faults = check(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    anyhow::bail!(
        "{} has {} faults:\n{}",
        path.display(),
        faults.len(),
        lines.join("\n")
    )
}
