//! Hands a request over to a peer.

use std::{rc::Rc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{clock::Instant, ids::EngineId, serving::reachability::PeerChoice};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    gateway::{
        Gateway,
        attempt::{
            self, AttemptError, ClientRequest, Exchange, InFlightGuard, Reservations,
            ResponseTimeouts,
        },
        handover::{
            PATH,
            codec::{self, Resumed},
            outcome::{
                ERROR_HEADER, OUTCOME_HEADER, Outcome, RETRY_AFTER_HEADER, TARGET_HEADER,
                header_text,
            },
        },
        response::GatewayError,
        target_notices,
        upstream::Connection,
    },
    telemetry::trace::TraceEvent,
};

/// Time for a peer to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a request could not be handed over, or what failed at the peer.
pub struct Failure {
    /// How the attempt failed.
    pub error: AttemptError,
    /// Target that failed, or the name of the peer.
    pub target: EngineId,
    /// Whether the peer gets no further attempt of the request.
    pub excludes_peer: bool,
}

/// Sends a request to a peer and waits for the head of the target's response.
///
/// # Errors
///
/// If the peer can't be reached or does not take the request, or if its attempt fails.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    peer: &PeerChoice,
    excluded: &[EngineId],
    resumed: Option<Resumed<'_>>,
    timeouts: ResponseTimeouts,
) -> Result<Exchange, Failure> {
    let mut in_flight = InFlightGuard::begin_handover(gateway, &request.service, peer);
    request.trace.add(TraceEvent::HandedOver {
        peer: peer.instance.clone(),
    });
    let fail = |in_flight: &InFlightGuard, error: AttemptError, err: &anyhow::Error| {
        count_handover(error.name());
        Failure {
            error: attempt::log_failure(gateway, request, in_flight, error, err),
            target: in_flight.target.clone(),
            excludes_peer: true,
        }
    };
    let Some(message) = codec::encode(gateway, request, peer, excluded, resumed, timeouts) else {
        let err = anyhow::anyhow!("hand over: the key of the instances is not loaded");
        return Err(fail(&in_flight, AttemptError::NotSent, &err));
    };
    let message_bytes = message.len() as u64;
    let mut connection = match Connection::open(peer.address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(err) => return Err(fail(&in_flight, AttemptError::NotSent, &err)),
    };
    let http_request = Request::post(PATH)
        .header(http::header::HOST, peer.address.to_string())
        .body(Full::new(Bytes::from(message)));
    let http_request = match http_request.context("hand over: build the request") {
        Ok(http_request) => http_request,
        Err(err) => return Err(fail(&in_flight, AttemptError::NotSent, &err)),
    };
    let awaited = in_flight.awaited();
    let sent_at = gateway.clock.now();
    let sending = connection.send(http_request);
    let sent = timeouts.wait(gateway, &awaited, request.deadline, sending);
    let (error, err) = match sent.await {
        Ok(Ok(response)) => {
            return receive(gateway, request, in_flight, connection, response, sent_at).await;
        }
        Ok(Err(err)) => (AttemptError::Broken, err),
        Err(wait_error) => (AttemptError::NoResponse, anyhow::anyhow!("{wait_error}")),
    };
    // A peer that did not get all of the message has not sent the request on.
    let error = match connection.written_bytes() < message_bytes {
        true => AttemptError::NotSent,
        false => error,
    };
    in_flight.target = EngineId::new(peer.instance.as_str());
    Err(fail(&in_flight, error, &err))
}

/// Takes the head of a peer's response to a request that was sent at `sent_at`.
async fn receive(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    mut in_flight: InFlightGuard,
    connection: Connection,
    mut response: Response<Incoming>,
    sent_at: Instant,
) -> Result<Exchange, Failure> {
    let is_rejected = response.status().is_client_error();
    let map = response.headers_mut();
    let outcome = match map.contains_key(OUTCOME_HEADER) {
        // The peer does not know the call, or does not take this one.
        false if is_rejected => Outcome::NotSent,
        _ => Outcome::of(map),
    };
    let peer = in_flight.target.clone();
    if let Some(target) = header_text(map, TARGET_HEADER) {
        in_flight.target = EngineId::new(target);
    }
    count_handover(outcome.name());
    let target = in_flight.target.clone();
    if outcome == Outcome::Answered {
        let process = gateway.targets.borrow().process_since(&target, sent_at);
        if let Some(process) = process {
            target_notices::record_passed_on(gateway, &process, &response);
        }
        let exchange = Exchange {
            response,
            in_flight,
            connection,
            reservations: Reservations::none(gateway),
        };
        let checked = attempt::check(gateway, request, exchange).await;
        return checked.map_err(|error| Failure {
            error,
            target,
            excludes_peer: false,
        });
    }
    let name = header_text(map, ERROR_HEADER).unwrap_or_default();
    let delay = header_text(map, RETRY_AFTER_HEADER).and_then(|text| text.parse().ok());
    let refusal = GatewayError::from_peer(name, Duration::from_millis(delay.unwrap_or(0)));
    let err = anyhow::anyhow!("attempt of {peer}: {} {name}", outcome.name());
    let error = match (outcome, refusal) {
        (Outcome::NotSent, Some(refusal)) => AttemptError::Refused(refusal),
        (Outcome::NotSent, None) => AttemptError::NotSent,
        (Outcome::NotExecuted, _) => AttemptError::NotExecuted,
        (Outcome::NoResponse, _) => AttemptError::NoResponse,
        (Outcome::Answered | Outcome::Broken, _) => AttemptError::Broken,
    };
    Err(Failure {
        error: attempt::log_failure(gateway, request, &in_flight, error, &err),
        target,
        excludes_peer: outcome == Outcome::NotSent,
    })
}

fn count_handover(result: &'static str) {
    metrics::counter!("cyclamengauge_handed_over_total", "result" => result).increment(1);
}
