//! A call on its way to the targets of a plain service. The core chooses and judges
//! them, as it does for streams.

use std::rc::Rc;

use actix_http::HttpMessage;
use awc::error::SendRequestError;
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, ServiceId},
    once::Finished,
    request::ExecutionState,
    serving::{
        placement::{self, Placement, PlacementRequest},
        targets::{InFlightId, Outcome},
    },
};
use cyclamengauge_schema::v1;

use crate::{http, node::Node};

/// Largest answer of a service that is passed on.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A call on its way to a service.
pub(super) struct Call {
    /// The daemon.
    pub node: Rc<Node>,
    /// Declaration of the service.
    pub service: v1::Service,
    /// Method.
    pub method: awc::http::Method,
    /// Path and query on the target.
    pub path: String,
    /// Type of the body; empty if the caller named none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// When its answer must be there.
    pub deadline: Instant,
}

/// A target's whole answer.
pub(super) struct Answer {
    /// Status.
    pub status: u16,
    /// Type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A call in progress at a target; dropped, it is over there.
struct Flight<'a> {
    node: &'a Node,
    id: InFlightId,
    outcome: Outcome,
}

impl<'a> Flight<'a> {
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

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut targets = self.node.service_targets.borrow_mut();
        targets.record_end(self.id, self.outcome, now);
    }
}

impl Call {
    /// Whether the service runs it at most once, with a key or without.
    pub fn declared_at_most_once(&self) -> bool {
        self.service.at_most_once.iter().any(|route| {
            let method = route.method.is_empty() || route.method == self.method.as_str();
            method && self.path.starts_with(&route.path_prefix)
        })
    }

    /// Sends the call once, over a connection of its own.
    pub async fn single(&self) -> Finished {
        let mut tried = Vec::new();
        while let Some(placement) = self.place(&tried) {
            let client = &self.node.once_client;
            let finished = self.send(client, &placement).await;
            if finished != Finished::NotSent {
                return finished;
            }
            tried.push(placement.target);
        }
        Finished::NotSent
    }

    /// Sends an idempotent call to one target after the other.
    ///
    /// # Errors
    ///
    /// If none answers, with what may have run.
    pub async fn repeatable(&self) -> Result<Answer, ExecutionState> {
        self.node.service_budget.borrow_mut().earn();
        let mut ran = ExecutionState::NotExecuted;
        let mut tried = Vec::new();
        while let Some(placement) = self.place(&tried) {
            match self.send(&self.node.client, &placement).await {
                Finished::Answered {
                    status,
                    content_type,
                    body,
                } => {
                    return Ok(Answer {
                        status,
                        content_type,
                        body,
                    });
                }
                Finished::NotSent => {}
                Finished::Unknown => {
                    ran = ExecutionState::Unknown;
                    if !self.node.service_budget.borrow_mut().take() {
                        break;
                    }
                }
            }
            tried.push(placement.target);
        }
        Err(ran)
    }

    /// The target that comes next; none if all have had the call.
    fn place(&self, tried: &[EngineId]) -> Option<Placement> {
        let ask = PlacementRequest {
            service: ServiceId::new(&self.service.name),
            data_centre: DataCentreId::new(&self.node.settings.data_centre),
            stream: None,
            instances: 1,
            unreported_streams: 0.0,
            excluded: tried.to_vec(),
        };
        let now = self.node.clock.now();
        let targets = self.node.service_targets.borrow();
        let mut rng = self.node.rng.borrow_mut();
        placement::choose(&targets, &ask, None, &mut rng, now).ok()
    }

    async fn send(&self, client: &awc::Client, placement: &Placement) -> Finished {
        let left = self.node.clock.until(self.deadline);
        if left.is_zero() {
            return Finished::NotSent;
        }
        let mut flight = Flight::begin(&self.node, placement);
        let url = format!("http://{}{}", placement.address, self.path);
        let mut request = client.request(self.method.clone(), url).timeout(left);
        if !self.content_type.is_empty() {
            request = request.insert_header(("content-type", self.content_type.as_str()));
        }
        let mut response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => {
                flight.outcome = Outcome::Silent;
                return Finished::NotSent;
            }
            Err(_) => {
                flight.outcome = Outcome::Failed;
                return Finished::Unknown;
            }
        };
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let left = self.node.clock.until(self.deadline);
        let payload = response.take_payload();
        match http::collect_response(payload, MAX_ANSWER_BYTES, left).await {
            Ok(body) => {
                flight.outcome = match status {
                    500.. => Outcome::Failed,
                    _ => Outcome::Served,
                };
                Finished::Answered {
                    status,
                    content_type,
                    body: body.to_vec(),
                }
            }
            Err(_) => {
                flight.outcome = Outcome::Failed;
                Finished::Unknown
            }
        }
    }
}
