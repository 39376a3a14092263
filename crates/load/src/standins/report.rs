//! The engine stand-in's report of itself.

use std::collections::BTreeMap;

use cyclamengauge_schema::v1;

use crate::model::Engine;

/// A reservation's owner and expiry.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) owner: String,
    pub(super) ttl_ms: u32,
    pub(super) renewed_at: std::time::Instant,
}

/// Who an engine is and what it has loaded.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) model: String,
    pub(super) version: String,
    pub(super) draining: bool,
    pub(super) sequence: u64,
}

/// Makes a report; cache events are given to each listener only once.
pub(super) fn report(
    identity: &mut Identity,
    engine: &mut Engine,
    held: &BTreeMap<String, Held>,
) -> v1::EngineReport {
    identity.sequence += 1;
    let (first, events) = engine.cache_mut().take_events();
    v1::EngineReport {
        engine: identity.name.clone(),
        incarnation: identity.incarnation,
        sequence: identity.sequence,
        model: identity.model.clone(),
        version: identity.version.clone(),
        draining: identity.draining,
        running: engine.running() as u32,
        waiting: engine.waiting() as u32,
        queued_prefill_tokens: trimmed(engine.unread().to_vec()),
        reserved_tokens: engine.reserved(),
        memory_tokens: engine.spec().memory_tokens,
        reservations: reservations(engine, held),
        first_cache_event: first,
        requests: engine.submitted(),
        cache_events: events
            .into_iter()
            .map(|(prefix, evicted)| v1::CacheEvent { prefix, evicted })
            .collect(),
    }
}

fn reservations(engine: &Engine, held: &BTreeMap<String, Held>) -> Vec<v1::Reservation> {
    let all = engine.reservations().iter();
    all.map(|(id, tokens)| {
        let known = held.get(id);
        v1::Reservation {
            id: id.clone(),
            owner: known.map_or_else(String::new, |h| h.owner.clone()),
            tokens: *tokens,
            ttl_ms: known.map_or(0, |h| h.ttl_ms),
            idle_ms: known.map_or(0, |h| h.renewed_at.elapsed().as_millis() as u64),
        }
    })
    .collect()
}

/// Levels without tokens at the end are left out.
fn trimmed(mut levels: Vec<u64>) -> Vec<u64> {
    while levels.last() == Some(&0) {
        levels.pop();
    }
    levels
}
