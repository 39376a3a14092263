//! Deltas between successive configurations.
//!
//! The size of a configuration grows with the fleet; the size of a delta depends
//! only on the change. A delta carries the digest of its result, so a receiver
//! with a different base detects the mismatch and needs the whole configuration.

use std::collections::{BTreeMap, BTreeSet};

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{error::Error, intent::confirm::MAX_HISTORY_ENTRIES};

/// Sorts the items of a declaration by name, so that equal declarations have
/// equal encodings.
pub fn canonicalize(mut declaration: v1::Declaration) -> v1::Declaration {
    declaration.models.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.engines.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.services.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    declaration
}

/// Computes the delta from a configuration to its successor.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::intent;
/// use cyclamengauge_schema::v1;
///
/// let old = v1::Accepted { version: 1, ..Default::default() };
/// let new = v1::Accepted { version: 2, ..Default::default() };
/// let delta = intent::compute_delta(&old, &new);
/// assert_eq!(intent::apply_delta(&old, &delta).unwrap().version, 2);
/// ```
pub fn compute_delta(old: &v1::Accepted, new: &v1::Accepted) -> v1::Delta {
    let empty = v1::Declaration::default();
    let before = old.declaration.as_ref().unwrap_or(&empty);
    let after = new.declaration.as_ref().unwrap_or(&empty);
    let changed = v1::Declaration {
        models: changed_items(&before.models, &after.models, |m| &m.name),
        engines: changed_items(&before.engines, &after.engines, |e| &e.name),
        services: changed_items(&before.services, &after.services, |s| &s.name),
        accounts: changed_items(&before.accounts, &after.accounts, |a| &a.name),
        routing: after.routing,
    };
    v1::Delta {
        from_version: old.version,
        removed_models: removed_names(&before.models, &after.models, |m| &m.name),
        removed_engines: removed_names(&before.engines, &after.engines, |e| &e.name),
        removed_services: removed_names(&before.services, &after.services, |s| &s.name),
        removed_accounts: removed_names(&before.accounts, &after.accounts, |a| &a.name),
        declaration_sha256: declaration_digest(after),
        changed: Some(v1::Accepted {
            declaration: Some(changed),
            history: new.history.last().cloned().into_iter().collect(),
            ..new.clone()
        }),
    }
}

/// Applies a delta to its base configuration.
///
/// # Errors
///
/// If the delta has another base version than `old`, or the result's digest
/// differs from the digest in the delta.
pub fn apply_delta(old: &v1::Accepted, delta: &v1::Delta) -> Result<v1::Accepted, Error> {
    let Some(header) = delta
        .changed
        .clone()
        .filter(|_| delta.from_version == old.version)
    else {
        let cause = format!(
            "the delta starts from version {}, the configuration has version {}",
            delta.from_version, old.version
        );
        return Err(Error::new("apply delta", cause));
    };
    let before = old.declaration.clone().unwrap_or_default();
    let changed = header.declaration.clone().unwrap_or_default();
    let declaration = v1::Declaration {
        models: merge_items(before.models, changed.models, &delta.removed_models, |m| {
            &m.name
        }),
        engines: merge_items(
            before.engines,
            changed.engines,
            &delta.removed_engines,
            |e| &e.name,
        ),
        services: merge_items(
            before.services,
            changed.services,
            &delta.removed_services,
            |s| &s.name,
        ),
        accounts: merge_items(
            before.accounts,
            changed.accounts,
            &delta.removed_accounts,
            |a| &a.name,
        ),
        routing: changed.routing,
    };
    if declaration_digest(&declaration) != delta.declaration_sha256 {
        let cause = format!(
            "the result for version {} does not match the delta's declaration_sha256",
            header.version
        );
        return Err(Error::new("apply delta", cause));
    }
    let mut history = old.history.clone();
    history.extend(header.history.iter().cloned());
    let excess = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
    history.drain(..excess);
    Ok(v1::Accepted {
        declaration: Some(declaration),
        history,
        ..header
    })
}

fn declaration_digest(declaration: &v1::Declaration) -> Vec<u8> {
    let bytes = prost::Message::encode_to_vec(&canonicalize(declaration.clone()));
    Sha256::digest(bytes).to_vec()
}

fn changed_items<T: Clone + PartialEq>(
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let previous: BTreeMap<&String, &T> = before.iter().map(|item| (name(item), item)).collect();
    let is_changed = |item: &&T| previous.get(name(item)) != Some(item);
    after.iter().filter(is_changed).cloned().collect()
}

fn removed_names<T>(before: &[T], after: &[T], name: impl Fn(&T) -> &String) -> Vec<String> {
    let remaining: BTreeSet<&String> = after.iter().map(&name).collect();
    let removed = before
        .iter()
        .map(&name)
        .filter(|name| !remaining.contains(name));
    removed.cloned().collect()
}

fn merge_items<T: Clone>(
    before: Vec<T>,
    changed: Vec<T>,
    removed: &[String],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let all = before.into_iter().chain(changed);
    let mut items: BTreeMap<String, T> = all.map(|item| (name(&item).clone(), item)).collect();
    for name in removed {
        items.remove(name);
    }
    items.into_values().collect()
}
