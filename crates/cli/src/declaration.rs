//! Declarations read from a directory of JSON files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context;
use cyclamengauge_core::intent;
use cyclamengauge_schema::{parse_json, v1};

/// Reads all `.json` files of a directory, in the order of their names, and
/// joins them into one declaration.
///
/// # Errors
///
/// If a file cannot be read, is no JSON or has unknown fields, or if two files
/// set the routing policy.
pub fn read(dir: &Path) -> anyhow::Result<v1::Declaration> {
    let mut whole = v1::Declaration::default();
    for path in files(dir)? {
        let part = read_file(&path)?;
        if whole.routing.is_some() && part.routing.is_some() {
            anyhow::bail!("{}: routing is set in an earlier file", path.display());
        }
        whole.models.extend(part.models);
        whole.engines.extend(part.engines);
        whole.services.extend(part.services);
        whole.accounts.extend(part.accounts);
        whole.routing = whole.routing.or(part.routing);
    }
    Ok(whole)
}

/// Reads a directory and reports every fault in one error.
///
/// # Errors
///
/// If the files cannot be read or the declaration has faults.
pub fn read_checked(dir: &Path) -> anyhow::Result<v1::Declaration> {
    let declaration = read(dir)?;
    let faults = intent::check(&declaration);
    if faults.is_empty() {
        return Ok(declaration);
    }
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    let count = faults.len();
    anyhow::bail!(
        "{} has {count} faults:\n{}",
        dir.display(),
        lines.join("\n")
    )
}

fn files(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(dir).with_context(|| format!("read {}", dir.display()))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry
            .with_context(|| format!("read {}", dir.display()))?
            .path();
        if path.extension().is_some_and(|ext| ext == "json") {
            paths.push(path);
        }
    }
    if paths.is_empty() {
        anyhow::bail!("{} has no .json files", dir.display());
    }
    paths.sort();
    Ok(paths)
}

fn read_file(path: &Path) -> anyhow::Result<v1::Declaration> {
    let bytes = fs::read(path).with_context(|| format!("read {}", path.display()))?;
    parse_json(&bytes).with_context(|| format!("parse {}", path.display()))
}
