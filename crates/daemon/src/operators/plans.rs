//! Creation and confirmation of configuration plans.

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
    platform::PutOutcome,
};

/// Key of the table service's row with the configuration in force.
pub(crate) const CONFIGURATION_KEY: &str = "configuration";

/// Checks a declaration and plans the steps to it. The configuration stays as it is.
/// The plan is written to the object store, so that any instance can confirm it.
pub(super) async fn create_plan(node: &Rc<Node>, operator: &str, body: &[u8]) -> Response<BoxBody> {
    let request: v1::PlanRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(err) => return bad_request(&err.to_string()),
    };
    let Some(desired) = request.declaration else {
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
    let base_configuration = node.current_configuration.borrow().accepted().cloned();
    let observed = engines::observed_engines(node);
    let plan = intent::plan(base_configuration.as_ref(), &desired, &observed, operator);
    let encoded_plan = serde_json::to_vec(&plan).unwrap_or_default();
    let name = plan_object_name(&plan.id);
    if let Err(err) = node.platform.put_object(&name, encoded_plan.clone()).await {
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
        "config: plan {} created from version {}; not yet confirmed",
        plan.id,
        plan.base_version
    );
    http::json(200, encoded_plan)
}

/// Confirms a plan and puts its configuration in force, unless the fleet has changed
/// since the plan was made.
pub(super) async fn confirm_plan(
    node: &Rc<Node>,
    operator: &str,
    body: &[u8],
) -> Response<BoxBody> {
    let request: v1::ConfirmRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(err) => return bad_request(&err.to_string()),
    };
    let plan = match load_plan(node, &request.plan_id).await {
        Ok(plan) => plan,
        Err(detail) => return confirm_response(v1::ConfirmOutcome::Refused, 0, detail),
    };
    if let Some(detail) = outdated_plan_detail(node, &plan) {
        return confirm_response(v1::ConfirmOutcome::Refused, plan.base_version, detail);
    }
    let verdict = run_confirmation(node, plan, operator).await;
    tracing::info!(
        plan = request.plan_id,
        operator,
        ?verdict,
        "config: confirmation of plan {} finished",
        request.plan_id
    );
    match verdict {
        ConfirmationOutcome::Accepted(accepted) => {
            let version = accepted
                .history
                .iter()
                .find(|entry| entry.plan_id == request.plan_id)
                .map_or(accepted.version, |entry| entry.version);
            node.adopt_configuration(*accepted);
            confirm_response(v1::ConfirmOutcome::Accepted, version, String::new())
        }
        ConfirmationOutcome::Refused(detail) => {
            confirm_response(v1::ConfirmOutcome::Refused, 0, detail)
        }
        ConfirmationOutcome::Unknown => {
            let detail = "the table service did not answer; confirm the same plan again to learn the outcome";
            confirm_response(v1::ConfirmOutcome::Unknown, 0, detail.to_owned())
        }
    }
}

async fn run_confirmation(node: &Rc<Node>, plan: v1::Plan, operator: &str) -> ConfirmationOutcome {
    let (mut confirmation, mut step) = intent::Confirmation::begin(plan, operator, unix_ms());
    // Version of the row as last read, the condition of the next write.
    let mut row_version = 0;
    loop {
        let event = match step {
            ConfirmationStep::Done(verdict) => return verdict,
            ConfirmationStep::Read => match node.platform.get(CONFIGURATION_KEY).await {
                Ok(row) => {
                    row_version = row.version;
                    ConfirmationEvent::Read(stored_configuration(node, &row).map(Box::new))
                }
                Err(_) => ConfirmationEvent::ReadFailed,
            },
            ConfirmationStep::Write(accepted) => {
                let value = serde_json::to_vec(&accepted).unwrap_or_default();
                match node
                    .platform
                    .put(CONFIGURATION_KEY, row_version, value)
                    .await
                {
                    Ok(PutOutcome::Written(_)) => ConfirmationEvent::Written,
                    Ok(PutOutcome::Conflict(_)) => ConfirmationEvent::Conflict,
                    Err(_) => ConfirmationEvent::WriteReplyLost,
                }
            }
        };
        step = confirmation.handle_event(event);
    }
}

/// The configuration in its row; none if there is no row. A row that another writer has made
/// unreadable counts as holding the configuration in force, so that the next one can replace it.
fn stored_configuration(node: &Node, row: &v1::Row) -> Option<v1::Accepted> {
    if row.version == 0 {
        return None;
    }
    match serde_json::from_slice(&row.value) {
        Ok(accepted) => Some(accepted),
        Err(err) => {
            let row_version = row.version;
            tracing::warn!(
                row_version,
                "config: row {CONFIGURATION_KEY} can't be read and will be replaced: {err}"
            );
            node.current_configuration.borrow().accepted().cloned()
        }
    }
}

async fn load_plan(node: &Node, id: &str) -> Result<v1::Plan, String> {
    let result = node.platform.get_object(&plan_object_name(id)).await;
    let encoded_plan = result
        .map_err(|err| format!("the plan could not be read: {err}; nothing was written"))?
        .ok_or_else(|| format!("there is no plan {id}"))?;
    serde_json::from_slice(&encoded_plan).map_err(|err| format!("plan {id} is damaged: {err}"))
}

/// Repeats the planning with the current state of the fleet. Returns the reason for
/// refusing the plan if its steps have changed.
fn outdated_plan_detail(node: &Node, plan: &v1::Plan) -> Option<String> {
    let current_configuration = node.current_configuration.borrow();
    let is_accepted = current_configuration
        .accepted()
        .is_some_and(|a| a.history.iter().any(|entry| entry.plan_id == plan.id));
    if is_accepted || current_configuration.version() != plan.base_version {
        // The table service's row is authoritative: the confirmation reads it and
        // decides.
        return None;
    }
    let observed = engines::observed_engines(node);
    let declaration = plan.declaration.clone().unwrap_or_default();
    let new_plan = intent::plan(
        current_configuration.accepted(),
        &declaration,
        &observed,
        &plan.operator,
    );
    (new_plan.steps != plan.steps).then(|| {
        format!(
            "the fleet moved: the plan has {} steps, a new one would have {}; plan again",
            plan.steps.len(),
            new_plan.steps.len()
        )
    })
}

fn plan_object_name(plan_id: &str) -> String {
    format!("plan-{plan_id}")
}

fn confirm_response(
    outcome: v1::ConfirmOutcome,
    version: u64,
    detail: String,
) -> Response<BoxBody> {
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
