//! Plans: the changes and orders that a declaration leads to.

use std::collections::{BTreeMap, BTreeSet};

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{
    ids::EngineId,
    intent::{check::is_declared_serving, delta},
    text::SmolStr,
};

/// Length of a plan id and of a fleet digest, in hex digits.
const ID_HEX_DIGITS: usize = 16;

crate::data_types! {
    /// State of the fleet from the latest reports of its engines.
    #[derive(Default)]
    pub struct ObservedFleet {
        /// The engines that respond, by name.
        pub engines: BTreeMap<EngineId, ObservedEngine>,
    }

    /// State of one engine from its latest report.
    #[derive(Default)]
    pub struct ObservedEngine {
        /// Name of the loaded model; empty if no model is loaded.
        pub model: SmolStr,
        /// Version of the loaded model.
        pub version: SmolStr,
        /// Whether the engine refuses new requests.
        pub draining: bool,
        /// Requests in progress on the engine.
        pub running: u32,
    }
}

/// Digest of the fleet state that a plan depends on: the engines that respond,
/// their loaded models and whether they are draining.
pub fn fleet_digest(observed: &ObservedFleet) -> String {
    let mut hash = Sha256::new();
    for (id, engine) in &observed.engines {
        let line = format!(
            "{id} {} {} {}\n",
            engine.model, engine.version, engine.draining
        );
        hash.update(line);
    }
    short_hex_digest(hash)
}

/// Plans the change from the accepted to the desired declaration.
///
/// The plan's id is a digest of its whole content, so a confirmation applies to
/// exactly this plan. Planning changes no state.
pub fn plan(
    base: Option<&v1::Accepted>,
    desired: &v1::Declaration,
    observed: &ObservedFleet,
    operator: &str,
) -> v1::Plan {
    let desired = &delta::canonicalize(desired.clone());
    let empty = v1::Declaration::default();
    let current = base.and_then(|b| b.declaration.as_ref()).unwrap_or(&empty);
    let mut plan = v1::Plan {
        id: String::new(),
        base_version: base.map_or(0, |b| b.version),
        fleet_digest: fleet_digest(observed),
        changes: describe_changes(current, desired),
        steps: plan_steps(desired, observed),
        risks: Vec::new(),
        declaration: Some(desired.clone()),
        operator: operator.to_owned(),
    };
    plan.risks = find_risks(&plan, desired, observed);
    plan.id = plan_id(&plan);
    plan
}

fn plan_id(plan: &v1::Plan) -> String {
    let json = serde_json::to_string(plan).unwrap_or_default();
    let mut hash = Sha256::new();
    hash.update(json);
    short_hex_digest(hash)
}

fn short_hex_digest(hash: Sha256) -> String {
    let digest = hash.finalize();
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex[..ID_HEX_DIGITS].to_owned()
}

/// Returns one line for each changed item, in the order of the declaration's
/// fields.
fn describe_changes(current: &v1::Declaration, desired: &v1::Declaration) -> Vec<String> {
    let mut lines = Vec::new();
    push_item_changes(&mut lines, "model", &current.models, &desired.models, |m| {
        &m.name
    });
    push_item_changes(
        &mut lines,
        "engine",
        &current.engines,
        &desired.engines,
        |e| &e.name,
    );
    push_item_changes(
        &mut lines,
        "service",
        &current.services,
        &desired.services,
        |s| &s.name,
    );
    push_item_changes(
        &mut lines,
        "account",
        &current.accounts,
        &desired.accounts,
        |a| &a.name,
    );
    if current.routing != desired.routing {
        lines.push(describe_field_changes(
            "~ routing",
            &current.routing,
            &desired.routing,
        ));
    }
    lines
}

fn push_item_changes<T: PartialEq + serde::Serialize>(
    lines: &mut Vec<String>,
    kind: &str,
    current: &[T],
    desired: &[T],
    name: impl Fn(&T) -> &String,
) {
    let before: BTreeMap<&String, &T> = current.iter().map(|item| (name(item), item)).collect();
    let after: BTreeSet<&String> = desired.iter().map(&name).collect();
    for item in desired {
        match before.get(name(item)) {
            None => lines.push(format!("+ {kind} {}", name(item))),
            Some(old) if *old != item => {
                let prefix = format!("~ {kind} {}", name(item));
                lines.push(describe_field_changes(&prefix, *old, item));
            }
            Some(_) => {}
        }
    }
    for removed in before.keys().filter(|name| !after.contains(**name)) {
        lines.push(format!("- {kind} {removed}"));
    }
}

/// Lists the changed fields with their old and new values.
fn describe_field_changes<T: serde::Serialize>(prefix: &str, old: &T, new: &T) -> String {
    let before = serde_json::to_value(old).unwrap_or_default();
    let after = serde_json::to_value(new).unwrap_or_default();
    let empty = serde_json::Map::new();
    let before = before.as_object().unwrap_or(&empty);
    let after = after.as_object().unwrap_or(&empty);
    let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut parts = Vec::new();
    for field in fields {
        let (old_value, new_value) = (before.get(field), after.get(field));
        if old_value != new_value {
            let show = |value: Option<&serde_json::Value>| match value {
                Some(value) => value.to_string(),
                None => "unset".to_owned(),
            };
            parts.push(format!(
                "{field} {} -> {}",
                show(old_value),
                show(new_value)
            ));
        }
    }
    format!("{prefix}: {}", parts.join(", "))
}

/// Returns the steps of a plan: orders that keep or add capacity come before orders
/// that remove it.
fn plan_steps(desired: &v1::Declaration, observed: &ObservedFleet) -> Vec<v1::PlanStep> {
    let mut serving_models = serving_models(desired, observed);
    let mut planned = Vec::new();
    for engine in &desired.engines {
        let state = observed.engines.get(&EngineId::new(&engine.name));
        planned.extend(engine_orders(engine, state, desired));
    }
    planned.sort_by_key(|(order, _)| removes_capacity(*order));
    let mut steps = Vec::new();
    for (order, engine) in planned {
        apply_order(&mut serving_models, order, engine);
        let engines_left = serving_models
            .values()
            .filter(|m| **m == engine.model)
            .count();
        let model = desired.models.iter().find(|m| m.name == engine.model);
        steps.push(v1::PlanStep {
            number: steps.len() as u32 + 1,
            engine: engine.name.clone(),
            order: order.into(),
            model: engine.model.clone(),
            engines_left: engines_left as u32,
            engines_floor: model.map_or(0, |m| m.min_engines),
        });
    }
    steps
}

/// Returns the model of each declared engine that serves at present.
fn serving_models(desired: &v1::Declaration, observed: &ObservedFleet) -> BTreeMap<String, String> {
    let declared: BTreeSet<&str> = desired.engines.iter().map(|e| e.name.as_str()).collect();
    observed
        .engines
        .iter()
        .filter(|(id, engine)| !engine.draining && declared.contains(id.as_str()))
        .map(|(id, engine)| (id.to_string(), engine.model.to_string()))
        .collect()
}

/// Returns the orders that bring an engine to its declared state, in sequence.
/// Empty if the engine does not respond.
pub(crate) fn engine_orders<'a>(
    engine: &'a v1::Engine,
    state: Option<&ObservedEngine>,
    desired: &v1::Declaration,
) -> Vec<(v1::OrderKind, &'a v1::Engine)> {
    let Some(state) = state else {
        return Vec::new();
    };
    let model = desired.models.iter().find(|m| m.name == engine.model);
    let version = model.map_or("", |m| m.version.as_str());
    let is_loaded = state.model == engine.model && state.version == version;
    let should_serve = is_declared_serving(engine, &engine.model);
    let mut orders = Vec::new();
    if !is_loaded {
        if !state.draining && !state.model.is_empty() {
            orders.push((v1::OrderKind::Drain, engine));
        }
        orders.push((v1::OrderKind::LoadModel, engine));
    }
    match (should_serve, state.draining || !is_loaded) {
        (true, true) => orders.push((v1::OrderKind::Serve, engine)),
        (false, false) => orders.push((v1::OrderKind::Drain, engine)),
        _ => {}
    }
    orders
}

fn removes_capacity(order: v1::OrderKind) -> bool {
    matches!(order, v1::OrderKind::Drain | v1::OrderKind::Standby)
}

fn apply_order(
    serving_models: &mut BTreeMap<String, String>,
    order: v1::OrderKind,
    engine: &v1::Engine,
) {
    match order {
        v1::OrderKind::Serve => {
            serving_models.insert(engine.name.clone(), engine.model.clone());
        }
        v1::OrderKind::Drain | v1::OrderKind::Standby => {
            serving_models.remove(&engine.name);
        }
        _ => {}
    }
}

fn find_risks(plan: &v1::Plan, desired: &v1::Declaration, observed: &ObservedFleet) -> Vec<String> {
    let mut risks = Vec::new();
    for step in plan
        .steps
        .iter()
        .filter(|s| s.engines_left < s.engines_floor)
    {
        risks.push(format!(
            "step {} leaves {} engines for model {}, below its floor of {}; it will wait",
            step.number, step.engines_left, step.model, step.engines_floor
        ));
    }
    let not_responding = desired
        .engines
        .iter()
        .filter(|e| !observed.engines.contains_key(&EngineId::new(&e.name)));
    for engine in not_responding {
        risks.push(format!("engine {} does not answer now", engine.name));
    }
    let unfenced = desired
        .engines
        .iter()
        .filter(|e| !e.honours_fencing)
        .count();
    if unfenced > 0 && !plan.steps.is_empty() {
        risks.push(format!(
            "{unfenced} engines ignore fencing numbers; orders there are re-checked after each report"
        ));
    }
    risks
}
