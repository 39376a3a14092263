//! What a declaration would change.

use std::collections::{BTreeMap, BTreeSet};

use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{
    ids::EngineId,
    intent::{check::serves, delta},
    text::SmolStr,
};

/// Characters of a plan's id.
const ID_LENGTH: usize = 16;

crate::data_types! {
    /// What the fleet was seen to be when a plan was made.
    #[derive(Default)]
    pub struct ObservedFleet {
        /// The engines that answered.
        pub engines: BTreeMap<EngineId, ObservedEngine>,
    }

    /// What one engine reports of itself.
    #[derive(Default)]
    pub struct ObservedEngine {
        /// Model that it has loaded.
        pub model: SmolStr,
        /// Version of the model.
        pub version: SmolStr,
        /// Whether it refuses new work.
        pub draining: bool,
        /// Requests in progress there.
        pub running: u32,
    }
}

/// Digest of all that a plan takes from the fleet: which engines answer, what
/// they have loaded and whether they drain.
pub fn fleet_digest(observed: &ObservedFleet) -> String {
    let mut hash = Sha256::new();
    for (id, engine) in &observed.engines {
        let line = format!(
            "{id} {} {} {}\n",
            engine.model, engine.version, engine.draining
        );
        hash.update(line);
    }
    short_hex(hash)
}

/// Plans the way from the accepted to the desired declaration.
///
/// The plan's id is a digest of all its content, so a confirmation is bound to
/// exactly this plan. Nothing is changed by planning.
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
        changes: changes(current, desired),
        steps: steps(desired, observed),
        risks: Vec::new(),
        declaration: Some(desired.clone()),
        operator: operator.to_owned(),
    };
    plan.risks = risks(&plan, desired, observed);
    plan.id = plan_id(&plan);
    plan
}

fn plan_id(plan: &v1::Plan) -> String {
    let text = serde_json::to_string(plan).unwrap_or_default();
    let mut hash = Sha256::new();
    hash.update(text);
    short_hex(hash)
}

fn short_hex(hash: Sha256) -> String {
    let digest = hash.finalize();
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex[..ID_LENGTH].to_owned()
}

/// A line for each difference, in the order of the declaration.
fn changes(current: &v1::Declaration, desired: &v1::Declaration) -> Vec<String> {
    let mut lines = Vec::new();
    compare(&mut lines, "model", &current.models, &desired.models, |m| {
        &m.name
    });
    compare(
        &mut lines,
        "engine",
        &current.engines,
        &desired.engines,
        |e| &e.name,
    );
    compare(
        &mut lines,
        "service",
        &current.services,
        &desired.services,
        |s| &s.name,
    );
    compare(
        &mut lines,
        "account",
        &current.accounts,
        &desired.accounts,
        |a| &a.name,
    );
    if current.routing != desired.routing {
        lines.push(field_changes(
            "~ routing",
            &current.routing,
            &desired.routing,
        ));
    }
    lines
}

fn compare<T: PartialEq + serde::Serialize>(
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
                let head = format!("~ {kind} {}", name(item));
                lines.push(field_changes(&head, *old, item));
            }
            Some(_) => {}
        }
    }
    for gone in before.keys().filter(|name| !after.contains(**name)) {
        lines.push(format!("- {kind} {gone}"));
    }
}

/// Names the fields that differ with their values before and after.
fn field_changes<T: serde::Serialize>(head: &str, old: &T, new: &T) -> String {
    let before = serde_json::to_value(old).unwrap_or_default();
    let after = serde_json::to_value(new).unwrap_or_default();
    let empty = serde_json::Map::new();
    let before = before.as_object().unwrap_or(&empty);
    let after = after.as_object().unwrap_or(&empty);
    let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut parts = Vec::new();
    for field in fields {
        let (was, is) = (before.get(field), after.get(field));
        if was != is {
            let show = |value: Option<&serde_json::Value>| match value {
                Some(value) => value.to_string(),
                None => "unset".to_owned(),
            };
            parts.push(format!("{field} {} -> {}", show(was), show(is)));
        }
    }
    format!("{head}: {}", parts.join(", "))
}

/// Orders in the sequence in which they will be given: first those that add
/// capacity, then those that take it away.
fn steps(desired: &v1::Declaration, observed: &ObservedFleet) -> Vec<v1::PlanStep> {
    let mut serving = serving_now(desired, observed);
    let mut planned = Vec::new();
    for engine in &desired.engines {
        let seen = observed.engines.get(&EngineId::new(&engine.name));
        planned.extend(engine_orders(engine, seen, desired));
    }
    planned.sort_by_key(|(order, _)| takes_capacity(*order));
    let mut steps = Vec::new();
    for (order, engine) in planned {
        apply(&mut serving, order, engine);
        let left = serving.values().filter(|m| **m == engine.model).count();
        let model = desired.models.iter().find(|m| m.name == engine.model);
        steps.push(v1::PlanStep {
            number: steps.len() as u32 + 1,
            engine: engine.name.clone(),
            order: order.into(),
            model: engine.model.clone(),
            engines_left: left as u32,
            engines_floor: model.map_or(0, |m| m.min_engines),
        });
    }
    steps
}

fn serving_now(desired: &v1::Declaration, observed: &ObservedFleet) -> BTreeMap<String, String> {
    let declared: BTreeSet<&str> = desired.engines.iter().map(|e| e.name.as_str()).collect();
    observed
        .engines
        .iter()
        .filter(|(id, engine)| !engine.draining && declared.contains(id.as_str()))
        .map(|(id, engine)| (id.to_string(), engine.model.to_string()))
        .collect()
}

/// Orders that an engine needs to get to its declared state.
pub(crate) fn engine_orders<'a>(
    engine: &'a v1::Engine,
    seen: Option<&ObservedEngine>,
    desired: &v1::Declaration,
) -> Vec<(v1::OrderKind, &'a v1::Engine)> {
    let Some(seen) = seen else {
        return Vec::new();
    };
    let model = desired.models.iter().find(|m| m.name == engine.model);
    let version = model.map_or("", |m| m.version.as_str());
    let loaded = seen.model == engine.model && seen.version == version;
    let serving = serves(engine, &engine.model);
    let mut orders = Vec::new();
    if !loaded {
        if !seen.draining && !seen.model.is_empty() {
            orders.push((v1::OrderKind::Drain, engine));
        }
        orders.push((v1::OrderKind::LoadModel, engine));
    }
    match (serving, seen.draining || !loaded) {
        (true, true) => orders.push((v1::OrderKind::Serve, engine)),
        (false, false) => orders.push((v1::OrderKind::Drain, engine)),
        _ => {}
    }
    orders
}

fn takes_capacity(order: v1::OrderKind) -> bool {
    matches!(order, v1::OrderKind::Drain | v1::OrderKind::Standby)
}

fn apply(serving: &mut BTreeMap<String, String>, order: v1::OrderKind, engine: &v1::Engine) {
    match order {
        v1::OrderKind::Serve => {
            serving.insert(engine.name.clone(), engine.model.clone());
        }
        v1::OrderKind::Drain | v1::OrderKind::Standby => {
            serving.remove(&engine.name);
        }
        _ => {}
    }
}

fn risks(plan: &v1::Plan, desired: &v1::Declaration, observed: &ObservedFleet) -> Vec<String> {
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
    let silent = desired
        .engines
        .iter()
        .filter(|e| !observed.engines.contains_key(&EngineId::new(&e.name)));
    for engine in silent {
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
