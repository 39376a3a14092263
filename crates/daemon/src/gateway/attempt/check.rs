//! Checks the head of a response before it is used.

use std::{ops::RangeInclusive, rc::Rc};

use cyclamengauge_core::serving::targets::Outcome;
use cyclamengauge_platform::headers;
use http::{StatusCode, header::CONTENT_ENCODING};

use crate::{
    gateway::{
        Gateway,
        attempt::{
            body::{self, Exchange, ReadError},
            client_request::ClientRequest,
            error::{AttemptError, log_failure},
        },
    },
    telemetry::process_events,
};

/// Status codes that end an exchange. The request asks for no switch of protocols.
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// Returns the exchange if its response belongs to the request and can be forwarded.
///
/// # Errors
///
/// If the response has no final status, has another request id, lacks a signature or is
/// encoded, or if the target refused the request or returned a server error.
pub async fn check(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    mut exchange: Exchange,
) -> Result<Exchange, AttemptError> {
    let map = exchange.response.headers();
    let status = exchange.response.status();
    let response_id = map.get(headers::REQUEST_ID);
    let has_other_id = response_id.is_some_and(|id| id.as_bytes() != request.id.as_bytes());
    let has_no_signature = status.is_success() && !map.contains_key(headers::SIGNATURE);
    if !is_final_status(status) {
        exchange.in_flight.set_outcome(Outcome::Failed);
        let err = anyhow::anyhow!(
            "invalid response: status {status} is not a final one from {} to {}",
            FINAL_STATUS_CODES.start(),
            FINAL_STATUS_CODES.end()
        );
        return Err(log_failure(
            gateway,
            request,
            &exchange.in_flight,
            AttemptError::Broken,
            &err,
        ));
    }
    if has_other_id || has_no_signature || map.contains_key(CONTENT_ENCODING) {
        exchange.in_flight.set_outcome(Outcome::Failed);
        let err = anyhow::anyhow!(
            "invalid response: another request id, no signature or a content encoding"
        );
        return Err(log_failure(
            gateway,
            request,
            &exchange.in_flight,
            AttemptError::Broken,
            &err,
        ));
    }
    let is_not_executed =
        map.contains_key(headers::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if is_not_executed {
        let err = record_refusal(gateway, request, &mut exchange);
        return Err(log_failure(
            gateway,
            request,
            &exchange.in_flight,
            AttemptError::NotExecuted,
            &err,
        ));
    }
    if status.is_server_error() {
        return Err(collect_error_response(gateway, request, exchange).await);
    }
    Ok(exchange)
}

fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUS_CODES.contains(&status.as_u16())
}

/// Records the outcome of a refused request for the target, or for the helper that
/// caused the refusal.
fn record_refusal(
    gateway: &Gateway,
    request: &ClientRequest,
    exchange: &mut Exchange,
) -> anyhow::Error {
    let map = exchange.response.headers();
    let status = exchange.response.status();
    let header_text = |name| map.get(name).and_then(|value| value.to_str().ok());
    let has_free_slot = header_text(headers::LOAD).and_then(headers::has_free_slot) == Some(true);
    let faulty_address = header_text(headers::FAULTY_TARGET).and_then(headers::parse_faulty_target);
    let helper = faulty_address.filter(|address| *address != exchange.in_flight.address);
    if let Some(helper) = helper {
        let now = gateway.clock.now();
        let mut targets = gateway.targets.borrow_mut();
        let faulty_target = targets.at_address(&request.service, helper);
        if let Some(id) = faulty_target.map(|target| target.facts.id.clone()) {
            let exclusion = targets.record_outcome(&id, Outcome::Leaving, now);
            process_events::log_exclusion(&id, Outcome::Leaving, exclusion);
        }
        return anyhow::anyhow!("refused with status {status} because of helper {helper}");
    }
    let outcome = match status {
        // The address belongs to another target now.
        StatusCode::MISDIRECTED_REQUEST => Outcome::Leaving,
        StatusCode::SERVICE_UNAVAILABLE if has_free_slot => Outcome::Leaving,
        _ => Outcome::Failed,
    };
    exchange.in_flight.set_outcome(outcome);
    anyhow::anyhow!("refused with status {status}")
}

async fn collect_error_response(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    exchange: Exchange,
) -> AttemptError {
    let status = exchange.response.status();
    let (mut in_flight, read) = body::collect_and_release(gateway, request, exchange).await;
    in_flight.set_outcome(Outcome::Failed);
    match read {
        Ok(response) => {
            let err = anyhow::anyhow!("response with status {status}");
            log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::ErrorResponse(Box::new(response)),
                &err,
            )
        }
        Err(ReadError::Broken(err)) => {
            log_failure(gateway, request, &in_flight, AttemptError::Broken, &err)
        }
        Err(ReadError::OutOfMemory(err)) => {
            let err = err.into();
            log_failure(gateway, request, &in_flight, AttemptError::Broken, &err)
        }
        Err(ReadError::TimedOut(err)) => {
            log_failure(gateway, request, &in_flight, AttemptError::NoResponse, &err)
        }
    }
}
