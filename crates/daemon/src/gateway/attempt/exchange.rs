//! One attempt of a request: the HTTP exchange with one target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    serving::{placement::Placement, reachability::PathState, targets::Outcome},
    units::Tokens,
};
use cyclamengauge_platform::headers;
use http::{HeaderMap, HeaderValue, Request, header::HeaderName};
use http_body_util::Full;

use crate::{
    gateway::{
        Gateway,
        attempt::{
            body::Exchange,
            check,
            client_request::ClientRequest,
            crash::suspect_crash,
            error::{AttemptError, log_failure},
            guards::InFlightGuard,
            paths,
            reservations::Reservations,
            timeouts::{ResponseTimeouts, WaitError},
        },
        target_limits, target_notices,
    },
    telemetry::{process_events, trace::TraceEvent},
};

/// Time to connect to a target: several times the highest network latency to a
/// target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends a request to the placed target and waits for the head of its response.
///
/// # Errors
///
/// If a reservation or the connection fails, no valid response head arrives in time,
/// or the target refuses the request or returns a server error.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    placement: &Placement,
    last_event_id: Option<&HeaderValue>,
    response_timeouts: ResponseTimeouts,
) -> Result<Exchange, AttemptError> {
    let mut in_flight = InFlightGuard::begin(gateway, &request.service, placement);
    let process = gateway.targets.borrow().process(&placement.target);
    // A delayed order of an earlier attempt may still take effect, so each attempt
    // uses reservation ids of its own.
    let reservation_prefix = format!("{}-{:08x}", request.id, gateway.rng.borrow_mut().u32(..));
    let reservation_started_at = gateway.clock.now();
    let reserved = Reservations::create(gateway, placement, &reservation_prefix).await;
    let reservations = match reserved {
        Ok(reservations) => {
            record_reservation(gateway, request, placement, reservation_started_at);
            reservations
        }
        Err(err) => {
            metrics::counter!("cyclamengauge_reservations_total", "result" => "failed")
                .increment(1);
            return Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::NotSent,
                &err,
            ));
        }
    };
    let opened = paths::connect(gateway, &in_flight.target_address(), CONNECT_TIMEOUT).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(err) => {
            // Without a path to any target, the failure is not this one's.
            let state = gateway.reachability.borrow().state(&request.service);
            if matches!(state, PathState::Open | PathState::Doubtful) {
                in_flight.set_outcome(Outcome::Silent);
            }
            return Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::NotSent,
                &err,
            ));
        }
    };
    if let Some(err) = withdrawn_target(gateway, placement) {
        return Err(log_failure(
            gateway,
            request,
            &in_flight,
            AttemptError::NotSent,
            &err,
        ));
    }
    let target_request =
        build_target_request(gateway, request, placement, &reservations, last_event_id);
    let awaited = in_flight.awaited();
    let sent_at = gateway.clock.now();
    let sending = connection.send(target_request);
    let sent = response_timeouts
        .wait(gateway, &awaited, request.deadline, sending)
        .await;
    let response = match sent {
        Err(wait_error) => {
            in_flight.set_outcome(match wait_error {
                WaitError::DeadlineExceeded => Outcome::Failed,
                WaitError::CutOff => Outcome::Unknown,
                WaitError::Silent(_) => Outcome::Silent,
            });
            let err = anyhow::anyhow!("{wait_error}");
            return Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::NoResponse,
                &err,
            ));
        }
        Ok(Err(err)) => {
            in_flight.set_outcome(Outcome::Failed);
            suspect_crash(gateway, request, &in_flight);
            return Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::Broken,
                &err,
            ));
        }
        Ok(Ok(response)) => response,
    };
    in_flight.record_received();
    target_limits::record_response(gateway, &in_flight.target, &response, sent_at);
    if let Some(process) = process {
        target_notices::record_response(gateway, &process, &response);
    }
    let exchange = Exchange {
        response,
        in_flight,
        connection,
        reservations,
    };
    check::check(gateway, request, exchange).await
}

/// The error of a placement whose targets no longer all take requests: what became known
/// since then counts.
fn withdrawn_target(gateway: &Gateway, placement: &Placement) -> Option<anyhow::Error> {
    let now = gateway.clock.now();
    let targets = gateway.targets.borrow();
    let mut parts = placement.parts.iter();
    let withdrawn = parts.find(|part| !targets.accepts(&part.target, now))?;
    Some(anyhow::anyhow!(
        "{} takes no requests since the placement",
        withdrawn.target
    ))
}

fn record_reservation(
    gateway: &Gateway,
    request: &ClientRequest,
    placement: &Placement,
    started_at: Instant,
) {
    let holders = placement.helpers.iter();
    let holders = holders.filter(|helper| helper.memory > Tokens(0));
    let engines = holders.clone().count() as u64;
    if engines == 0 {
        return;
    }
    metrics::counter!("cyclamengauge_reservations_total", "result" => "made").increment(1);
    request.trace.add(TraceEvent::Reserved {
        engines,
        memory: holders.map(|helper| helper.memory).sum(),
        took: gateway.clock.now() - started_at,
    });
}

fn build_target_request(
    gateway: &Gateway,
    request: &ClientRequest,
    placement: &Placement,
    reservations: &Reservations,
    last_event_id: Option<&HeaderValue>,
) -> Request<Full<Bytes>> {
    let mut target_request = Request::new(Full::new(request.body.clone()));
    *target_request.method_mut() = request.method.clone();
    *target_request.uri_mut() = request.uri.clone();
    let map = target_request.headers_mut();
    *map = request.headers.clone();
    let left_ms = gateway.clock.until(request.deadline).as_millis() as u64;
    set_header(map, headers::DEADLINE, &left_ms.to_string());
    set_header(map, headers::EXPECTED_TARGET, placement.target.as_str());
    if let Some(account) = &request.account {
        set_header(map, headers::ACCOUNT, account.as_str());
    }
    if request.stream.is_some() {
        let priority = request.rank.priority(placement.long);
        set_header(map, headers::PRIORITY, &headers::format_priority(priority));
    }
    if !placement.helpers.is_empty() {
        let helpers = placement.helpers.iter();
        let helpers = helpers.map(|helper| (helper.address, reservations.id_on(helper)));
        let helpers: Vec<(SocketAddr, Option<&str>)> = helpers.collect();
        set_header(map, headers::HELPERS, &headers::format_helpers(&helpers));
    }
    if let Some(id) = last_event_id {
        map.insert(HeaderName::from_static(headers::LAST_EVENT_ID), id.clone());
    }
    target_request
}

fn set_header(map: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(HeaderName::from_static(name), value);
        }
        Err(err) => {
            let id = map.get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
            let err = anyhow::anyhow!("header {name} can't have the value `{value}`: {err}");
            process_events::log_request_faulty(id.unwrap_or_default(), &err);
        }
    }
}
