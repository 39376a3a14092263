//! Orders that bring the observed state nearer to the desired one.
//!
//! The comparison is level-triggered: it looks at what is, not at what was
//! ordered before. So a lost, doubled or late order is put right at the next
//! look, also where an engine ignores fencing numbers.

use std::collections::BTreeMap;

use cyclamengauge_schema::v1;

use crate::{
    check_invariant,
    ids::EngineId,
    intent::plan::{ObservedEngine, ObservedFleet, engine_orders},
    text::SmolStr,
};

crate::data_types! {
    /// What a round of orders must respect.
    #[derive(Copy)]
    pub struct OrderLimits {
        /// Loads of weights that may run at a time, over the whole fleet.
        pub max_model_loads: usize,
        /// Loads known to be running.
        pub running_model_loads: usize,
    }
}

/// The orders to give now, at most one for each engine.
///
/// An order that takes an engine away is left out while the model would fall
/// below its floor; an engine loads only once it is empty.
pub fn next_orders(
    desired: &v1::Declaration,
    observed: &ObservedFleet,
    limits: OrderLimits,
) -> Vec<(EngineId, v1::EngineOrder)> {
    let mut serving = serving_counts(observed);
    let mut loads = limits.running_model_loads;
    let mut given = Vec::new();
    for engine in &desired.engines {
        let id = EngineId::new(&engine.name);
        let Some(seen) = observed.engines.get(&id) else {
            continue;
        };
        let Some((kind, _)) = engine_orders(engine, Some(seen), desired)
            .into_iter()
            .next()
        else {
            continue;
        };
        if allowed(kind, seen, desired, &mut serving, &mut loads, limits) {
            given.push((id, order(kind, engine, desired)));
        }
    }
    given
}

fn allowed(
    kind: v1::OrderKind,
    seen: &ObservedEngine,
    desired: &v1::Declaration,
    serving: &mut BTreeMap<SmolStr, u32>,
    loads: &mut usize,
    limits: OrderLimits,
) -> bool {
    match kind {
        v1::OrderKind::Drain => {
            let floor = floor_of(desired, &seen.model);
            let count = serving.entry(seen.model.clone()).or_default();
            if *count <= floor {
                return false;
            }
            *count -= 1;
            check_invariant!(
                *count >= floor,
                "model-keeps-floor",
                "model {} would have {count} engines, its floor is {floor}",
                seen.model
            );
            true
        }
        v1::OrderKind::LoadModel => {
            if seen.running > 0 || *loads >= limits.max_model_loads {
                return false;
            }
            *loads += 1;
            true
        }
        _ => true,
    }
}

fn serving_counts(observed: &ObservedFleet) -> BTreeMap<SmolStr, u32> {
    let mut counts = BTreeMap::new();
    for engine in observed.engines.values().filter(|e| !e.draining) {
        *counts.entry(engine.model.clone()).or_default() += 1;
    }
    counts
}

fn floor_of(desired: &v1::Declaration, model: &str) -> u32 {
    let found = desired.models.iter().find(|m| m.name == model);
    found.map_or(0, |m| m.min_engines)
}

fn order(kind: v1::OrderKind, engine: &v1::Engine, desired: &v1::Declaration) -> v1::EngineOrder {
    let model = desired.models.iter().find(|m| m.name == engine.model);
    v1::EngineOrder {
        kind: kind.into(),
        model: engine.model.clone(),
        version: model.map_or_else(String::new, |m| m.version.clone()),
        fence: 0,
        holder: String::new(),
    }
}
