/*!
The daemon's settings file: JSON with comments. All faults are reported together.
*/

mod check;

use std::{fs, path::Path};

use anyhow::Context;
use cyclamengauge_schema::{parse_json, v1};

pub use check::check;

/// Reads a JSON file that may have `//` and `/* */` comments.
///
/// # Errors
///
/// If the file cannot be read, is not valid JSON, or has unknown fields.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let bytes = fs::read(path).with_context(|| format!("read {}", path.display()))?;
    parse_json(&bytes).with_context(|| format!("parse {}", path.display()))
}

/// Reads and checks the settings.
///
/// # Errors
///
/// If the file cannot be read or parsed, or has faults. The error lists all faults.
pub fn load(path: &Path) -> anyhow::Result<v1::Settings> {
    let settings: v1::Settings = read_json(path)?;
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
