/*!
HTTP interface for operators: plans, confirmations, status and metrics.

`GET /ready` and `GET /metrics` need no key. All other requests need an operator's
key in `Authorization: Bearer`.
*/

mod plans;
mod status;

use std::{rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use cyclamengauge_core::request::ExecutionState;
use metrics_exporter_prometheus::PrometheusHandle;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    http,
    node::{Node, decode_hex},
};

pub(crate) use plans::CONFIGURATION_KEY;

/// Largest request body; a plan request contains a whole declaration.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Path prefix of the decisions on a request; the request's name follows.
const EXPLAIN_PATH_PREFIX: &str = "/v1/explain/";

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request of an operator.
pub async fn handle(
    node: Rc<Node>,
    metrics: PrometheusHandle,
    mut request: Request,
) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/ready") => return http::readiness(node.is_ready()),
        ("GET", "/metrics") => {
            status::update_gauges(&node);
            return http::text(200, metrics.render());
        }
        _ => {}
    }
    let Some(operator) = authenticate(&node, &request) else {
        let detail = "the key in `Authorization: Bearer` belongs to no operator";
        return http::problem(401, "wrong-key", detail, ExecutionState::NotExecuted, None);
    };
    let body = match http::collect(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => {
            return http::problem(
                400,
                "bad-body",
                &err.to_string(),
                ExecutionState::NotExecuted,
                None,
            );
        }
    };
    match (method.as_str(), path.as_str()) {
        ("GET", "/v1/status") => status::status(&node),
        ("GET", "/v1/configuration") => status::configuration(&node),
        ("GET", path) if path.starts_with(EXPLAIN_PATH_PREFIX) => {
            status::explain(&node, &path[EXPLAIN_PATH_PREFIX.len()..])
        }
        ("POST", "/v1/plan") => plans::create_plan(&node, &operator, &body).await,
        ("POST", "/v1/confirm") => plans::confirm_plan(&node, &operator, &body).await,
        _ => http::problem(
            404,
            "not-found",
            "there is nothing at this path",
            ExecutionState::NotExecuted,
            None,
        ),
    }
}

/// Finds the operator whose key the request carries. The key is compared with every
/// operator's in constant time.
fn authenticate(node: &Node, request: &Request) -> Option<String> {
    let header = request.headers().get("authorization")?.to_str().ok()?;
    let key = header.strip_prefix("Bearer ")?.trim();
    let hash: [u8; 32] = Sha256::digest(key).into();
    let mut found = None;
    for operator in &node.settings.operators {
        let known_hash = decode_hex(&operator.key_sha256).unwrap_or_default();
        if bool::from(known_hash.ct_eq(&hash)) {
            found = Some(operator.name.clone());
        }
    }
    found
}
