//! Plans and their confirmation.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use cyclamengauge_core::{
    intent::{self, ConfirmationEvent, ConfirmationOutcome, ConfirmationStep},
    request::ExecutionState,
};
use cyclamengauge_schema::v1;

use crate::{
    engines, http,
    node::{Node, unix_ms},
    platform::Put,
};

/// Row with the configuration in force.
pub(crate) const CONFIGURATION: &str = "configuration";

/// Checks a declaration and plans the way to it. Nothing is changed; the plan
/// is kept in the object store, so that any instance can confirm it.
pub(super) async fn plan(node: &Rc<Node>, operator: &str, body: &[u8]) -> Response<BoxBody> {
    let wanted: v1::PlanRequest = match serde_json::from_slice(body) {
        Ok(wanted) => wanted,
        Err(err) => return bad_request(&err.to_string()),
    };
    let Some(desired) = wanted.declaration else {
        return bad_request("the declaration is missing");
    };
    let faults = intent::check(&desired);
    if !faults.is_empty() {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return http::problem(
            422,
            "faulty-declaration",
            &lines.join("\n"),
            ExecutionState::NotExecuted,
            None,
        );
    }
    let base = node.current.borrow().accepted().cloned();
    let observed = engines::observed(node);
    let plan = intent::plan(base.as_ref(), &desired, &observed, operator);
    let text = serde_json::to_vec(&plan).unwrap_or_default();
    let name = object_name(&plan.id);
    if let Err(err) = node.platform.put_object(&name, text.clone()).await {
        let detail = format!("the plan could not be kept: {err}");
        return http::problem(
            503,
            "store-unreachable",
            &detail,
            ExecutionState::NotExecuted,
            None,
        );
    }
    tracing::info!(
        plan = plan.id,
        operator,
        "config: plan {} from version {}",
        plan.id,
        plan.base_version
    );
    http::json(200, text)
}

/// Confirms a plan, if it still says the truth.
pub(super) async fn confirm(node: &Rc<Node>, operator: &str, body: &[u8]) -> Response<BoxBody> {
    let wanted: v1::ConfirmRequest = match serde_json::from_slice(body) {
        Ok(wanted) => wanted,
        Err(err) => return bad_request(&err.to_string()),
    };
    let plan = match load_plan(node, &wanted.plan_id).await {
        Ok(plan) => plan,
        Err(detail) => return reply(v1::ConfirmOutcome::Refused, 0, detail),
    };
    if let Some(moved) = fleet_moved(node, &plan) {
        return reply(v1::ConfirmOutcome::Refused, plan.base_version, moved);
    }
    let verdict = drive(node, plan, operator).await;
    tracing::info!(
        plan = wanted.plan_id,
        operator,
        ?verdict,
        "config: confirmation of plan {} ended",
        wanted.plan_id
    );
    match verdict {
        ConfirmationOutcome::Accepted(accepted) => {
            let version = accepted
                .history
                .iter()
                .find(|entry| entry.plan_id == wanted.plan_id)
                .map_or(accepted.version, |entry| entry.version);
            node.adopt(*accepted);
            reply(v1::ConfirmOutcome::Accepted, version, String::new())
        }
        ConfirmationOutcome::Refused(detail) => reply(v1::ConfirmOutcome::Refused, 0, detail),
        ConfirmationOutcome::Unknown => {
            let detail = "the table service did not answer; confirm the same plan again to learn the outcome";
            reply(v1::ConfirmOutcome::Unknown, 0, detail.to_owned())
        }
    }
}

async fn drive(node: &Rc<Node>, plan: v1::Plan, operator: &str) -> ConfirmationOutcome {
    let (mut machine, mut step) = intent::Confirmation::begin(plan, operator, unix_ms());
    // The row's version in the table, which the conditional write names.
    let mut row_version = 0;
    loop {
        let event = match step {
            ConfirmationStep::Done(verdict) => return verdict,
            ConfirmationStep::Read => match node.platform.get(CONFIGURATION).await {
                Ok(row) => {
                    row_version = row.version;
                    let accepted = serde_json::from_slice(&row.value).ok();
                    ConfirmationEvent::Read(accepted.map(Box::new))
                }
                Err(_) => ConfirmationEvent::ReadFailed,
            },
            ConfirmationStep::Write(accepted) => {
                let value = serde_json::to_vec(&accepted).unwrap_or_default();
                match node.platform.put(CONFIGURATION, row_version, value).await {
                    Ok(Put::Written(_)) => ConfirmationEvent::Written,
                    Ok(Put::Conflict(_)) => ConfirmationEvent::Conflict,
                    Err(_) => ConfirmationEvent::WriteReplyLost,
                }
            }
        };
        step = machine.handle_event(event);
    }
}

async fn load_plan(node: &Node, id: &str) -> Result<v1::Plan, String> {
    let found = node.platform.object(&object_name(id)).await;
    let text = found
        .map_err(|err| format!("the plan could not be read: {err}; nothing was written"))?
        .ok_or_else(|| format!("there is no plan {id}"))?;
    serde_json::from_slice(&text).map_err(|err| format!("plan {id} is damaged: {err}"))
}

/// Plans anew and says what differs, if the plan says the truth no more.
fn fleet_moved(node: &Node, plan: &v1::Plan) -> Option<String> {
    let current = node.current.borrow();
    let accepted_already = current
        .accepted()
        .is_some_and(|a| a.history.iter().any(|entry| entry.plan_id == plan.id));
    if accepted_already || current.version() != plan.base_version {
        // The confirmation finds out by the table, which is the truth.
        return None;
    }
    let observed = engines::observed(node);
    let declaration = plan.declaration.clone().unwrap_or_default();
    let again = intent::plan(current.accepted(), &declaration, &observed, &plan.operator);
    (again.steps != plan.steps).then(|| {
        format!(
            "the fleet moved: the plan has {} steps, a new one would have {}; plan again",
            plan.steps.len(),
            again.steps.len()
        )
    })
}

fn object_name(plan_id: &str) -> String {
    format!("plan-{plan_id}")
}

fn reply(outcome: v1::ConfirmOutcome, version: u64, detail: String) -> Response<BoxBody> {
    let reply = v1::ConfirmReply {
        outcome: outcome.into(),
        version,
        detail,
    };
    http::json(200, serde_json::to_vec(&reply).unwrap_or_default())
}

fn bad_request(detail: &str) -> Response<BoxBody> {
    http::problem(
        400,
        "bad-request",
        detail,
        ExecutionState::NotExecuted,
        None,
    )
}
