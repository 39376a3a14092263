//! Sends a call to a target of a plain service. The core library chooses the target and
//! rates it by the outcome, as for streams.

use std::rc::Rc;

use actix_http::HttpMessage;
use bytes::Bytes;
use cyclamengauge_core::{
    at_most_once::TargetOutcome,
    clock::Instant,
    ids::{DataCentreId, EngineId, ServiceId},
    request::ExecutionState,
    serving::{
        placement::{self, Placement, PlacementRequest},
        targets::{InFlightId, Outcome},
    },
};
use cyclamengauge_schema::v1;

use crate::{http, node::Node};

/// Size limit for the body of a target's response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A client's call to a plain service.
pub(super) struct ServiceCall {
    /// State of the daemon that sends the call.
    pub node: Rc<Node>,
    /// Declaration of the service.
    pub service: v1::Service,
    /// HTTP method of the client's request.
    pub method: awc::http::Method,
    /// Path and query on the target, without the prefix for the service.
    pub path: String,
    /// `Content-Type` of the request; empty if the client sent none.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

/// A target's complete response.
pub(super) struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; `application/octet-stream` if the target sent none.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Registers a call as an in-flight request of its target. On drop, records the end of
/// the request with `outcome`.
struct InFlightGuard<'a> {
    node: &'a Node,
    id: InFlightId,
    outcome: Outcome,
}

impl<'a> InFlightGuard<'a> {
    fn begin(node: &'a Node, placement: &Placement) -> Self {
        let now = node.clock.now();
        let mut targets = node.service_targets.borrow_mut();
        Self {
            node,
            id: targets.begin(placement.parts.clone(), None, now),
            outcome: Outcome::Unknown,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut targets = self.node.service_targets.borrow_mut();
        targets.record_end(self.id, self.outcome, now);
    }
}

impl ServiceCall {
    /// Whether the service declares the call's method and path as at-most-once, which then
    /// holds with or without an idempotency key.
    pub fn is_declared_at_most_once(&self) -> bool {
        self.service.at_most_once.iter().any(|route| {
            let method_matches = route.method.is_empty() || route.method == self.method.as_str();
            method_matches && self.path.starts_with(&route.path_prefix)
        })
    }

    /// Sends a non-idempotent call at most once.
    ///
    /// Each attempt opens a new connection, so a failure to connect proves that nothing was
    /// sent. Another target is tried only if nothing was sent.
    pub async fn send_once(&self) -> TargetOutcome {
        let mut tried_targets = Vec::new();
        while let Some(placement) = self.choose_target(&tried_targets) {
            let client = &self.node.no_reuse_client;
            let finished = self.send_to_target(client, &placement).await;
            if finished != TargetOutcome::NotSent {
                return finished;
            }
            tried_targets.push(placement.target);
        }
        TargetOutcome::NotSent
    }

    /// Sends an idempotent call to one target after another until one responds.
    ///
    /// An attempt after one that may have been executed takes a retry from the budget.
    ///
    /// # Errors
    ///
    /// If no target responds: whether a target may have executed the call.
    pub async fn send_idempotent(&self) -> Result<TargetResponse, ExecutionState> {
        self.node
            .service_retry_budget
            .borrow_mut()
            .record_first_attempt();
        let mut ran = ExecutionState::NotExecuted;
        let mut tried_targets = Vec::new();
        while let Some(placement) = self.choose_target(&tried_targets) {
            match self.send_to_target(&self.node.client, &placement).await {
                TargetOutcome::Responded {
                    status,
                    content_type,
                    body,
                } => {
                    return Ok(TargetResponse {
                        status,
                        content_type,
                        body,
                    });
                }
                TargetOutcome::NotSent => {}
                TargetOutcome::Unknown => {
                    ran = ExecutionState::Unknown;
                    if !self.node.service_retry_budget.borrow_mut().try_take() {
                        break;
                    }
                }
            }
            tried_targets.push(placement.target);
        }
        Err(ran)
    }

    /// Chooses a target that is not among `tried_targets`, if any is left.
    fn choose_target(&self, tried_targets: &[EngineId]) -> Option<Placement> {
        let placement_request = PlacementRequest {
            service: ServiceId::new(&self.service.name),
            data_centre: DataCentreId::new(&self.node.settings.data_centre),
            stream: None,
            instances: 1,
            unreported_streams: 0.0,
            excluded: tried_targets.to_vec(),
        };
        let now = self.node.clock.now();
        let targets = self.node.service_targets.borrow();
        let mut rng = self.node.rng.borrow_mut();
        placement::choose(&targets, &placement_request, None, &mut rng, now).ok()
    }

    /// Sends the call to one target and reads its complete response.
    async fn send_to_target(&self, client: &awc::Client, placement: &Placement) -> TargetOutcome {
        let remaining = self.node.clock.until(self.deadline);
        if remaining.is_zero() {
            return TargetOutcome::NotSent;
        }
        let mut guard = InFlightGuard::begin(&self.node, placement);
        let url = format!("http://{}{}", placement.address, self.path);
        let mut request = client.request(self.method.clone(), url).timeout(remaining);
        if !self.content_type.is_empty() {
            request = request.insert_header(("content-type", self.content_type.as_str()));
        }
        let mut response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(err) if http::is_unsent(&err) => {
                guard.outcome = Outcome::Silent;
                return TargetOutcome::NotSent;
            }
            Err(_) => {
                guard.outcome = Outcome::Failed;
                return TargetOutcome::Unknown;
            }
        };
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let remaining = self.node.clock.until(self.deadline);
        let payload = response.take_payload();
        match http::collect_response(payload, MAX_RESPONSE_BYTES, remaining).await {
            Ok(body) => {
                guard.outcome = match status {
                    500.. => Outcome::Failed,
                    _ => Outcome::Served,
                };
                TargetOutcome::Responded {
                    status,
                    content_type,
                    body: body.to_vec(),
                }
            }
            Err(_) => {
                guard.outcome = Outcome::Failed;
                TargetOutcome::Unknown
            }
        }
    }
}
