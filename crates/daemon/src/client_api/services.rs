//! Calls to plain services, some of which must run at most once.

use std::{rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::Bytes;
use cyclamengauge_core::{once, request::ExecutionState};
use cyclamengauge_schema::v1;
use sha2::{Digest, Sha256};

use crate::{
    client_api::{request_checks, service_call::Call},
    http,
    node::{Node, unix_ms},
    platform::Put,
};

/// When to come back if a call could not be claimed or its target not reached.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// When to ask again for a call that is in progress elsewhere.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Tries to mark an abandoned claim, and the pause between them.
const ABANDON_TRIES: u32 = 60;
const ABANDON_PAUSE: Duration = Duration::from_secs(2);

/// Counts a call as in progress until it is dropped.
struct Counted(Rc<Node>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.service_calls.set(self.0.service_calls.get() - 1);
    }
}

/// Answers a call to a plain service.
pub(crate) async fn handle(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let account = match request_checks::account(&node, &request) {
        Ok(account) => account,
        Err(refused) => return refused,
    };
    let Some((service, path)) = find(&node, &request) else {
        return http::problem(
            404,
            "unknown-service",
            "no such service",
            ExecutionState::NotExecuted,
            None,
        );
    };
    let default_ms = service.default_deadline_ms;
    let deadline = match request_checks::deadline(&node, &request, &account, default_ms) {
        Ok(deadline) => deadline,
        Err(refused) => return refused,
    };
    let deadline = node.clock.now() + deadline;
    let key = header(&request, "idempotency-key");
    let held = match request_checks::body(&node, &mut request).await {
        Ok(held) => held,
        Err(refused) => return refused,
    };
    let method = awc::http::Method::from_bytes(request.method().as_str().as_bytes());
    let call = Call {
        service,
        method: method.unwrap_or(awc::http::Method::POST),
        path,
        content_type: header(&request, "content-type").unwrap_or_default(),
        body: held.bytes.clone(),
        deadline,
        node: Rc::clone(&node),
    };
    node.service_calls.set(node.service_calls.get() + 1);
    let counted = Counted(Rc::clone(&node));
    if key.is_some() || call.declared_at_most_once() {
        // A caller that goes away must not stop the call between its claim and
        // its record, so it runs on its own.
        let running = actix_rt::spawn(async move {
            let answer = run_once(&call, account.id.as_str(), key).await;
            drop((counted, held));
            answer
        });
        return running.await.unwrap_or_else(|_| unknown());
    }
    match call.repeatable().await {
        Ok(answer) => target_answer(answer.status, &answer.content_type, answer.body, false),
        Err(ran) => {
            let detail = "no target of the service answered in time";
            http::problem(502, "targets-failed", detail, ran, Some(RETRY_AFTER))
        }
    }
}

async fn run_once(call: &Call, account: &str, key: Option<String>) -> Response<BoxBody> {
    let node = &call.node;
    let digest = hex(&Sha256::digest(&call.body));
    let row_key = row_key(call, account, key.as_deref(), &digest);
    let owner = once::Owner::new(&node.settings.instance, node.incarnation, node.next_call());
    let implicit = key.is_none();
    let (mut machine, mut step) =
        once::Call::begin(owner, digest, implicit, unix_ms(), node.clock.now());
    loop {
        let event = match step {
            once::Step::Answer(answer) => return finish(call, &row_key, &machine, answer),
            once::Step::WriteClaim { if_version, row } => {
                write(node, &row_key, if_version, &row).await
            }
            once::Step::WriteRecord { if_version, row } => {
                write(node, &row_key, if_version, &row).await
            }
            once::Step::Read => read(node, &row_key).await,
            once::Step::Run => once::Event::Ran(call.single().await),
        };
        step = machine.on(event, unix_ms(), node.clock.now());
    }
}

async fn write(node: &Node, key: &str, if_version: u64, row: &v1::ClaimRow) -> once::Event {
    let value = serde_json::to_vec(row).unwrap_or_default();
    match node.platform.put(key, if_version, value).await {
        Ok(Put::Written(version)) => once::Event::Written { version },
        Ok(Put::Conflict(row)) => match serde_json::from_slice(&row.value) {
            Ok(claim) => once::Event::Conflict {
                version: row.version,
                row: claim,
            },
            Err(_) => once::Event::WriteLost,
        },
        Err(_) => once::Event::WriteLost,
    }
}

async fn read(node: &Node, key: &str) -> once::Event {
    match node.platform.get(key).await {
        Ok(row) if row.version == 0 => once::Event::Read {
            version: 0,
            row: None,
        },
        Ok(row) => match serde_json::from_slice(&row.value) {
            Ok(claim) => once::Event::Read {
                version: row.version,
                row: Some(claim),
            },
            Err(_) => once::Event::ReadFailed,
        },
        Err(_) => once::Event::ReadFailed,
    }
}

fn finish(
    call: &Call,
    row_key: &str,
    machine: &once::Call,
    answer: once::Answer,
) -> Response<BoxBody> {
    match answer {
        once::Answer::Target {
            status,
            content_type,
            body,
            replayed,
        } => target_answer(status, &content_type, body, replayed),
        once::Answer::KeyReused => {
            let detail = "the key was used for a call with another body";
            http::problem(422, "key-reused", detail, ExecutionState::NotExecuted, None)
        }
        once::Answer::InProgress => {
            let detail = "the same call is in progress";
            let again = Some(IN_PROGRESS_RETRY);
            http::problem(409, "in-progress", detail, ExecutionState::Unknown, again)
        }
        once::Answer::Unknown => unknown(),
        once::Answer::TargetUnreachable => {
            let detail = "the target could not be reached";
            http::problem(
                503,
                "target-unreachable",
                detail,
                ExecutionState::NotExecuted,
                Some(RETRY_AFTER),
            )
        }
        once::Answer::StoreUnreachable { abandon } => {
            if abandon {
                let row = machine.abandoned_row();
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
                Some(RETRY_AFTER),
            )
        }
    }
}

/// Marks a claim of our own as not run, once the table service answers, so that
/// a resend may claim the call anew.
async fn mark_abandoned(node: Rc<Node>, key: String, row: v1::ClaimRow) {
    for _ in 0..ABANDON_TRIES {
        match node.platform.get(&key).await {
            Err(_) => actix_rt::time::sleep(ABANDON_PAUSE).await,
            Ok(found) => {
                let claim: Option<v1::ClaimRow> = serde_json::from_slice(&found.value).ok();
                let ours = claim
                    .is_some_and(|c| c.owner == row.owner && c.state() == v1::ClaimState::Claimed);
                if ours {
                    let value = serde_json::to_vec(&row).unwrap_or_default();
                    let _ = node.platform.put(&key, found.version, value).await;
                }
                return;
            }
        }
    }
}

fn find(node: &Node, request: &Request) -> Option<(v1::Service, String)> {
    let rest = request.path().strip_prefix(super::SERVICES)?;
    let (name, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    let directory = node.directory.borrow();
    let service = directory.services.get(name)?;
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Some((service.clone(), path))
}

/// Key of the row for a call. Keys of one account cannot meet another's.
fn row_key(call: &Call, account: &str, key: Option<&str>, body_digest: &str) -> String {
    let mut hash = Sha256::new();
    for part in [
        account,
        &call.service.name,
        call.method.as_str(),
        &call.path,
    ] {
        hash.update(part);
        hash.update([0]);
    }
    match key {
        Some(key) => hash.update(key),
        None => hash.update(body_digest),
    }
    format!("once-{}", hex(&hash.finalize()))
}

fn target_answer(
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    replayed: bool,
) -> Response<BoxBody> {
    let code =
        actix_http::StatusCode::from_u16(status).unwrap_or(actix_http::StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(code);
    builder.insert_header(("content-type", content_type));
    if replayed {
        builder.insert_header(("idempotent-replayed", "true"));
    }
    builder
        .body(BoxBody::new(Bytes::from(body)))
        .map_into_boxed_body()
}

fn unknown() -> Response<BoxBody> {
    let detail = "the call may have run; it will not be run again under this key";
    http::problem(
        502,
        "outcome-unknown",
        detail,
        ExecutionState::Unknown,
        None,
    )
}

fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.to_owned())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
