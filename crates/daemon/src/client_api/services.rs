//! Calls to plain services, some of which must be executed at most once.

use std::{rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::Bytes;
use cyclamengauge_core::{
    at_most_once,
    request::{ExecutionState, RefusalReason},
};
use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{
    client_api::{self, request_checks, service_call::ServiceCall},
    http,
    node::{Node, unix_ms},
    platform::PutOutcome,
};

/// Retry delay that clients receive if a call could not be claimed or no target responded.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Retry delay that clients receive if the same call is already in progress on this or another
/// instance.
const IN_PROGRESS_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of attempts to mark a claim as abandoned.
const MARK_ABANDONED_MAX_ATTEMPTS: u32 = 60;

/// Delay between two attempts to mark a claim as abandoned.
const MARK_ABANDONED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Counts a call in [`Node::service_calls`] until the guard is dropped.
struct InProgressGuard(Rc<Node>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.service_calls.set(self.0.service_calls.get() - 1);
    }
}

/// Handles a call to a plain service.
pub(crate) async fn handle(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let account = match request_checks::authenticate(&node, &request) {
        Ok(account) => account,
        Err(error_response) => return error_response,
    };
    let Some((service, path)) = find_service(&node, &request) else {
        return http::problem(
            404,
            "unknown-service",
            "no such service",
            ExecutionState::NotExecuted,
            None,
        );
    };
    let default_ms = service.default_deadline_ms;
    let time_limit = match request_checks::time_limit(&node, &request, &account, default_ms) {
        Ok(time_limit) => time_limit,
        Err(error_response) => return error_response,
    };
    let deadline = node.clock.now() + time_limit;
    let idempotency_key = header_value(&request, "idempotency-key");
    let buffered_body = match request_checks::read_body(&node, &mut request).await {
        Ok(body) => body,
        Err(error_response) => return error_response,
    };
    // The body may have taken a while.
    if node.shutting_down.get() {
        return request_checks::not_ready_response(&node);
    }
    let method = awc::http::Method::from_bytes(request.method().as_str().as_bytes());
    let call = ServiceCall {
        service,
        method: method.unwrap_or(awc::http::Method::POST),
        path,
        content_type: header_value(&request, "content-type").unwrap_or_default(),
        body: buffered_body.bytes.clone(),
        deadline,
        node: Rc::clone(&node),
    };
    node.service_calls.set(node.service_calls.get() + 1);
    let in_progress = InProgressGuard(Rc::clone(&node));
    if idempotency_key.is_some() || call.is_declared_at_most_once() {
        // A separate task, because a client that disconnects must not stop the call between
        // the writes of its claim and its record.
        let task = actix_rt::spawn(async move {
            let response = run_at_most_once(&call, account.id.as_str(), idempotency_key).await;
            drop((in_progress, buffered_body));
            response
        });
        return tokio::select! {
            biased;
            response = task => response.unwrap_or_else(|_| outcome_unknown_response()),
            () = node.wait_for_end() => outcome_unknown_response(),
        };
    }
    let sent = tokio::select! {
        biased;
        sent = call.send_idempotent() => sent,
        () = node.wait_for_end() => {
            let reason = RefusalReason::Interrupted;
            let detail = client_api::refusal_detail(reason);
            let (status, kind) = (reason.http_status(), reason.name());
            return http::problem(status, kind, detail, ExecutionState::Unknown, None);
        }
    };
    match sent {
        Ok(target) => target_response(target.status, &target.content_type, target.body, false),
        Err(ran) => {
            let detail = "no target of the service answered in time";
            http::problem(
                502,
                "targets-failed",
                detail,
                ran,
                Some(UNREACHABLE_RETRY_DELAY),
            )
        }
    }
}

/// Carries out the steps of [`at_most_once::Call`] until the call has a response.
async fn run_at_most_once(
    call: &ServiceCall,
    account: &str,
    idempotency_key: Option<String>,
) -> Response<BoxBody> {
    let node = &call.node;
    let body_digest = encode_hex(&Sha256::digest(&call.body));
    let row_key = claim_row_key(call, account, idempotency_key.as_deref(), &body_digest);
    let owner = at_most_once::ClaimOwner::new(
        &node.settings.instance,
        node.incarnation,
        node.next_call_number(),
    );
    let implicit_key = idempotency_key.is_none();
    let (mut once_call, mut step) = at_most_once::Call::begin(
        owner,
        body_digest,
        implicit_key,
        unix_ms(),
        node.clock.now(),
    );
    loop {
        let event = match step {
            at_most_once::Step::Respond(response) => {
                return client_response(call, &row_key, &once_call, response);
            }
            at_most_once::Step::WriteClaim { if_version, row } => {
                write_row(node, &row_key, if_version, &row).await
            }
            at_most_once::Step::WriteRecord { if_version, row } => {
                write_row(node, &row_key, if_version, &row).await
            }
            at_most_once::Step::Read => read_row(node, &row_key).await,
            at_most_once::Step::SendCall => at_most_once::Event::CallEnded(call.send_once().await),
        };
        step = once_call.handle_event(event, unix_ms(), node.clock.now());
    }
}

/// Writes the claim row if it has the version `if_version`.
async fn write_row(
    node: &Node,
    key: &str,
    if_version: u64,
    row: &v1::ClaimRow,
) -> at_most_once::Event {
    let value = serde_json::to_vec(row).unwrap_or_default();
    match node.platform.put(key, if_version, value).await {
        Ok(PutOutcome::Written(version)) => at_most_once::Event::Written { version },
        Ok(PutOutcome::Conflict(row)) => match serde_json::from_slice(&row.value) {
            Ok(claim) => at_most_once::Event::Conflict {
                version: row.version,
                row: claim,
            },
            Err(_) => at_most_once::Event::WriteLost,
        },
        Err(_) => at_most_once::Event::WriteLost,
    }
}

/// Reads the claim row; version 0 means that there is none.
async fn read_row(node: &Node, key: &str) -> at_most_once::Event {
    match node.platform.get(key).await {
        Ok(row) if row.version == 0 => at_most_once::Event::Read {
            version: 0,
            row: None,
        },
        Ok(row) => match serde_json::from_slice(&row.value) {
            Ok(claim) => at_most_once::Event::Read {
                version: row.version,
                row: Some(claim),
            },
            Err(_) => at_most_once::Event::ReadFailed,
        },
        Err(_) => at_most_once::Event::ReadFailed,
    }
}

/// Creates the response to the client. If a claim may stand although the call was not
/// executed, starts a task that marks the claim.
fn client_response(
    call: &ServiceCall,
    row_key: &str,
    once_call: &at_most_once::Call,
    response: at_most_once::Response,
) -> Response<BoxBody> {
    match response {
        at_most_once::Response::Target {
            status,
            content_type,
            body,
            replayed,
        } => target_response(status, &content_type, body, replayed),
        at_most_once::Response::KeyReused => {
            let detail = "the key was used for a call with another body";
            http::problem(422, "key-reused", detail, ExecutionState::NotExecuted, None)
        }
        at_most_once::Response::InProgress => {
            let detail = "the same call is in progress";
            let retry_after = Some(IN_PROGRESS_RETRY_DELAY);
            http::problem(
                409,
                "in-progress",
                detail,
                ExecutionState::Unknown,
                retry_after,
            )
        }
        at_most_once::Response::Unknown => outcome_unknown_response(),
        at_most_once::Response::TargetUnreachable => {
            let detail = "the target could not be reached";
            http::problem(
                503,
                "target-unreachable",
                detail,
                ExecutionState::NotExecuted,
                Some(UNREACHABLE_RETRY_DELAY),
            )
        }
        at_most_once::Response::StoreUnreachable { claim_may_exist } => {
            if claim_may_exist {
                let row = once_call.not_executed_row();
                actix_rt::spawn(mark_abandoned(
                    Rc::clone(&call.node),
                    row_key.to_owned(),
                    row,
                ));
            }
            let detail = "the call could not be claimed, as the table service does not answer";
            http::problem(
                503,
                "store-unreachable",
                detail,
                ExecutionState::NotExecuted,
                Some(UNREACHABLE_RETRY_DELAY),
            )
        }
    }
}

/// Marks the claim in `row` as not executed once the table service responds, so that a
/// resent call can be claimed again.
///
/// Leaves the row unchanged if it holds another owner's claim or has left the claimed
/// state.
async fn mark_abandoned(node: Rc<Node>, key: String, row: v1::ClaimRow) {
    for _ in 0..MARK_ABANDONED_MAX_ATTEMPTS {
        match node.platform.get(&key).await {
            Err(_) => actix_rt::time::sleep(MARK_ABANDONED_RETRY_DELAY).await,
            Ok(current_row) => {
                let claim: Option<v1::ClaimRow> = serde_json::from_slice(&current_row.value).ok();
                let is_own_claim = claim
                    .is_some_and(|c| c.owner == row.owner && c.state() == v1::ClaimState::Claimed);
                if is_own_claim {
                    let value = serde_json::to_vec(&row).unwrap_or_default();
                    let _ = node.platform.put(&key, current_row.version, value).await;
                }
                return;
            }
        }
    }
}

/// Splits the request path into the declared service and the path and query on its
/// targets.
fn find_service(node: &Node, request: &Request) -> Option<(v1::Service, String)> {
    let name_and_path = request.path().strip_prefix(super::SERVICES_PATH_PREFIX)?;
    let (name, path) = match name_and_path.find('/') {
        Some(slash) => name_and_path.split_at(slash),
        None => (name_and_path, "/"),
    };
    let directory = node.directory.borrow();
    let service = directory.services.get(name)?;
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Some((service.clone(), path))
}

/// Returns the key of the claim row of a call. The hash includes the account, so that the
/// same idempotency key of two accounts gives different rows.
fn claim_row_key(
    call: &ServiceCall,
    account: &str,
    idempotency_key: Option<&str>,
    body_digest: &str,
) -> String {
    let mut hasher = Sha256::new();
    for part in [
        account,
        &call.service.name,
        call.method.as_str(),
        &call.path,
    ] {
        hasher.update(part);
        hasher.update([0]);
    }
    match idempotency_key {
        Some(key) => hasher.update(key),
        None => hasher.update(body_digest),
    }
    format!("once-{}", encode_hex(&hasher.finalize()))
}

fn target_response(
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    replayed: bool,
) -> Response<BoxBody> {
    let status =
        actix_http::StatusCode::from_u16(status).unwrap_or(actix_http::StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", content_type));
    if replayed {
        builder.insert_header(("idempotent-replayed", "true"));
    }
    builder
        .body(BoxBody::new(Bytes::from(body)))
        .map_into_boxed_body()
}

fn outcome_unknown_response() -> Response<BoxBody> {
    let detail = "the call may have run; it will not be run again under this key";
    http::problem(
        502,
        "outcome-unknown",
        detail,
        ExecutionState::Unknown,
        None,
    )
}

fn header_value(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.to_owned())
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
