//! Differences between successive configurations.
//!
//! A whole configuration grows with the fleet; what a change alters does not. A
//! difference carries the digest of the result, so a receiver whose base is not
//! the sender's finds out and asks for the whole.

use std::collections::{BTreeMap, BTreeSet};

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{error::Error, intent::confirm::HISTORY_LENGTH};

/// Puts the items of a declaration into the order of their names, so that equal
/// declarations are equal byte for byte.
pub fn canonicalize(mut declaration: v1::Declaration) -> v1::Declaration {
    declaration.models.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.engines.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.services.sort_by(|a, b| a.name.cmp(&b.name));
    declaration.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    declaration
}

/// The difference that leads from one configuration to its successor.
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
        models: changed(&before.models, &after.models, |m| &m.name),
        engines: changed(&before.engines, &after.engines, |e| &e.name),
        services: changed(&before.services, &after.services, |s| &s.name),
        accounts: changed(&before.accounts, &after.accounts, |a| &a.name),
        routing: after.routing,
    };
    v1::Delta {
        from_version: old.version,
        removed_models: removed(&before.models, &after.models, |m| &m.name),
        removed_engines: removed(&before.engines, &after.engines, |e| &e.name),
        removed_services: removed(&before.services, &after.services, |s| &s.name),
        removed_accounts: removed(&before.accounts, &after.accounts, |a| &a.name),
        declaration_sha256: digest(after),
        changed: Some(v1::Accepted {
            declaration: Some(changed),
            history: new.history.last().cloned().into_iter().collect(),
            ..new.clone()
        }),
    }
}

/// Applies a difference to the configuration that it starts from.
///
/// # Errors
///
/// If it starts from another version, or the result is not what its sender had.
pub fn apply_delta(old: &v1::Accepted, delta: &v1::Delta) -> Result<v1::Accepted, Error> {
    let Some(head) = delta
        .changed
        .clone()
        .filter(|_| delta.from_version == old.version)
    else {
        let cause = format!("it starts from {}, not {}", delta.from_version, old.version);
        return Err(Error::new("apply difference", cause));
    };
    let before = old.declaration.clone().unwrap_or_default();
    let changed = head.declaration.clone().unwrap_or_default();
    let declaration = v1::Declaration {
        models: merged(before.models, changed.models, &delta.removed_models, |m| {
            &m.name
        }),
        engines: merged(
            before.engines,
            changed.engines,
            &delta.removed_engines,
            |e| &e.name,
        ),
        services: merged(
            before.services,
            changed.services,
            &delta.removed_services,
            |s| &s.name,
        ),
        accounts: merged(
            before.accounts,
            changed.accounts,
            &delta.removed_accounts,
            |a| &a.name,
        ),
        routing: changed.routing,
    };
    if digest(&declaration) != delta.declaration_sha256 {
        let cause = format!("version {} comes out differently", head.version);
        return Err(Error::new("apply difference", cause));
    }
    let mut history = old.history.clone();
    history.extend(head.history.iter().cloned());
    let surplus = history.len().saturating_sub(HISTORY_LENGTH);
    history.drain(..surplus);
    Ok(v1::Accepted {
        declaration: Some(declaration),
        history,
        ..head
    })
}

fn digest(declaration: &v1::Declaration) -> Vec<u8> {
    let bytes = prost::Message::encode_to_vec(&canonicalize(declaration.clone()));
    Sha256::digest(bytes).to_vec()
}

fn changed<T: Clone + PartialEq>(
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let known: BTreeMap<&String, &T> = before.iter().map(|item| (name(item), item)).collect();
    let differs = |item: &&T| known.get(name(item)) != Some(item);
    after.iter().filter(differs).cloned().collect()
}

fn removed<T>(before: &[T], after: &[T], name: impl Fn(&T) -> &String) -> Vec<String> {
    let kept: BTreeSet<&String> = after.iter().map(&name).collect();
    let gone = before.iter().map(&name).filter(|name| !kept.contains(name));
    gone.cloned().collect()
}

fn merged<T: Clone>(
    before: Vec<T>,
    changed: Vec<T>,
    removed: &[String],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let all = before.into_iter().chain(changed);
    let mut items: BTreeMap<String, T> = all.map(|item| (name(&item).clone(), item)).collect();
    for gone in removed {
        items.remove(gone);
    }
    items.into_values().collect()
}
