//! Reads a declaration from a directory of JSON files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context;
use cyclamengauge_core::intent;
use cyclamengauge_schema::{parse_json, v1};

/// Reads all `.json` files of a directory in the order of their names and merges
/// them into one declaration.
///
/// # Errors
///
/// Fails if the directory has no `.json` file, if a file cannot be read, is not
/// valid JSON or has unknown fields, or if two files set the routing policy.
pub fn read_dir(dir: &Path) -> anyhow::Result<v1::Declaration> {
    let mut declaration = v1::Declaration::default();
    for path in json_files(dir)? {
        let part = read_file(&path)?;
        if declaration.routing.is_some() && part.routing.is_some() {
            anyhow::bail!(
                "{}: `routing` is already set in an earlier file",
                path.display()
            );
        }
        declaration.models.extend(part.models);
        declaration.engines.extend(part.engines);
        declaration.services.extend(part.services);
        declaration.accounts.extend(part.accounts);
        declaration.routing = declaration.routing.or(part.routing);
    }
    Ok(declaration)
}

/// Reads a declaration with [`read_dir`] and validates it.
///
/// # Errors
///
/// Fails if [`read_dir`] fails, or if the declaration has faults; the error then
/// lists all of them.
pub fn read_and_validate(dir: &Path) -> anyhow::Result<v1::Declaration> {
    let declaration = read_dir(dir)?;
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

fn json_files(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(dir).with_context(|| format!("read directory {}", dir.display()))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry
            .with_context(|| format!("read directory {}", dir.display()))?
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
