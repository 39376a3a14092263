//! Orders that move the observed state of the fleet towards the declared state.
//!
//! Reconciliation is level-triggered: it compares states and does not depend on
//! earlier orders. The next round therefore corrects a lost, duplicated or late
//! order, also at an engine that ignores fencing numbers.

use std::collections::BTreeMap;

use cyclamengauge_schema::v1;

use crate::{
    check_invariant,
    ids::EngineId,
    intent::plan::{ObservedEngine, ObservedFleet, engine_orders},
    text::SmolStr,
};

crate::data_types! {
    /// Limits on the orders of one round.
    #[derive(Copy)]
    pub struct OrderLimits {
        /// Model loads that may run at a time in the whole fleet; bounds the read rate
        /// at the weight store.
        pub max_model_loads: usize,
        /// Model loads that are running when the round starts.
        pub running_model_loads: usize,
    }
}

/// Returns the orders to send now, at most one for each engine.
///
/// A drain is withheld while it would leave the loaded model with fewer than
/// `min_engines` serving engines. An engine loads a model only when it has no
/// requests in progress.
pub fn next_orders(
    desired: &v1::Declaration,
    observed: &ObservedFleet,
    limits: OrderLimits,
) -> Vec<(EngineId, v1::EngineOrder)> {
    let mut serving_counts = count_serving_engines(observed);
    let mut model_loads = limits.running_model_loads;
    let mut orders = Vec::new();
    for engine in &desired.engines {
        let id = EngineId::new(&engine.name);
        let Some(state) = observed.engines.get(&id) else {
            continue;
        };
        let Some((kind, _)) = engine_orders(engine, Some(state), desired)
            .into_iter()
            .next()
        else {
            continue;
        };
        if admit_order(
            kind,
            state,
            desired,
            &mut serving_counts,
            &mut model_loads,
            limits,
        ) {
            orders.push((id, build_order(kind, engine, desired)));
        }
    }
    orders
}

/// Whether the limits allow the order. An admitted order counts against them.
fn admit_order(
    kind: v1::OrderKind,
    state: &ObservedEngine,
    desired: &v1::Declaration,
    serving_counts: &mut BTreeMap<SmolStr, u32>,
    model_loads: &mut usize,
    limits: OrderLimits,
) -> bool {
    match kind {
        v1::OrderKind::Drain => {
            let min_engines = min_engines_of(desired, &state.model);
            let count = serving_counts.entry(state.model.clone()).or_default();
            if *count <= min_engines {
                return false;
            }
            *count -= 1;
            check_invariant!(
                *count >= min_engines,
                "model-keeps-floor",
                "model {} would have {count} serving engines, min_engines is {min_engines}",
                state.model
            );
            true
        }
        v1::OrderKind::LoadModel => {
            if state.running > 0 || *model_loads >= limits.max_model_loads {
                return false;
            }
            *model_loads += 1;
            true
        }
        _ => true,
    }
}

fn count_serving_engines(observed: &ObservedFleet) -> BTreeMap<SmolStr, u32> {
    let mut counts = BTreeMap::new();
    for engine in observed.engines.values().filter(|e| !e.draining) {
        *counts.entry(engine.model.clone()).or_default() += 1;
    }
    counts
}

fn min_engines_of(desired: &v1::Declaration, name: &str) -> u32 {
    let model = desired.models.iter().find(|m| m.name == name);
    model.map_or(0, |m| m.min_engines)
}

fn build_order(
    kind: v1::OrderKind,
    engine: &v1::Engine,
    desired: &v1::Declaration,
) -> v1::EngineOrder {
    let model = desired.models.iter().find(|m| m.name == engine.model);
    v1::EngineOrder {
        kind: kind.into(),
        model: engine.model.clone(),
        version: model.map_or_else(String::new, |m| m.version.clone()),
        fence: 0,
        holder: String::new(),
    }
}
