//! Bodies of responses that are read whole.

use std::rc::Rc;

use cyclamengauge_core::serving::targets::Outcome;
use http::Response;
use hyper::body::Incoming;

use crate::gateway::{
    Gateway,
    attempt::{
        client_request::ClientRequest,
        crash::suspect_crash,
        error::{AttemptError, log_failure},
        guards::InFlightGuard,
        reservations::Reservations,
    },
    memory::{HeldBody, HeldBuffer, Holder, MemoryError},
    upstream::Connection,
};

/// An exchange with a target whose response head has arrived.
pub struct Exchange {
    /// Response with an unread body.
    pub response: Response<Incoming>,
    /// Load of the request on its targets.
    pub in_flight: InFlightGuard,
    /// Connection to the target, kept open while the body is read.
    pub connection: Connection,
    /// Memory reservations on helpers, released when dropped.
    pub reservations: Reservations,
}

/// Reads the body of a response that is not a stream.
///
/// # Errors
///
/// If the body is incomplete or does not arrive by the deadline.
pub async fn collect_response(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    exchange: Exchange,
) -> Result<Response<HeldBody>, AttemptError> {
    let (mut in_flight, read) = collect_and_release(gateway, request, exchange).await;
    match read {
        Ok(response) => {
            in_flight.set_outcome(Outcome::Served);
            Ok(response)
        }
        Err(ReadError::Broken(err)) => {
            in_flight.set_outcome(Outcome::Failed);
            suspect_crash(gateway, request, &in_flight);
            Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::Broken,
                &err,
            ))
        }
        // The target is not at fault.
        Err(ReadError::OutOfMemory(err)) => Err(log_failure(
            gateway,
            request,
            &in_flight,
            AttemptError::Broken,
            &err.into(),
        )),
        Err(ReadError::TimedOut(err)) => {
            in_flight.set_outcome(Outcome::Silent);
            Err(log_failure(
                gateway,
                request,
                &in_flight,
                AttemptError::NoResponse,
                &err,
            ))
        }
    }
}

/// Why a response body could not be read.
pub enum ReadError {
    /// The connection broke, or the body is malformed or too large.
    Broken(anyhow::Error),
    /// This process has no memory for the body.
    OutOfMemory(MemoryError),
    /// The deadline passed.
    TimedOut(anyhow::Error),
}

/// Reads a response body, then releases the connection and the reservations.
pub async fn collect_and_release(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    exchange: Exchange,
) -> (InFlightGuard, Result<Response<HeldBody>, ReadError>) {
    let Exchange {
        response,
        in_flight,
        connection,
        reservations,
    } = exchange;
    let status = response.status();
    let reading = read_body(gateway, request, &connection, response);
    let left = gateway.clock.until(request.deadline);
    let read = match actix_rt::time::timeout(left, reading).await {
        Ok(read) => read,
        Err(_) => {
            let err =
                anyhow::anyhow!("response with status {status}: body incomplete at the deadline");
            Err(ReadError::TimedOut(err))
        }
    };
    drop(connection);
    drop(reservations);
    (in_flight, read)
}

/// Reads a response body into a buffer of its own.
async fn read_body(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    connection: &Connection,
    response: Response<Incoming>,
) -> Result<Response<HeldBody>, ReadError> {
    let (head, mut body) = response.into_parts();
    let is_repeatable = request.route.kind.is_repeatable();
    let hold = gateway.hold_memory(Holder::TargetResponse {
        may_have_run: true,
        is_repeatable,
    });
    let max_bytes = gateway.memory.max_response_bytes();
    let mut buffer = HeldBuffer::default();
    loop {
        let next = tokio::select! {
            biased;
            () = hold.ended() => {
                let held_bytes = hold.held_bytes();
                return Err(ReadError::OutOfMemory(MemoryError::Ended { held_bytes }));
            }
            next = connection.next_data(&mut body) => next.map_err(ReadError::Broken)?,
        };
        let Some(data) = next else {
            break;
        };
        let length = buffer.as_slice().len() + data.len();
        if length > max_bytes {
            let err = anyhow::anyhow!(
                "response with status {}: body of {length} bytes or more, limit {max_bytes}",
                head.status
            );
            return Err(ReadError::Broken(err));
        }
        let appended = buffer.append(&hold, &data, max_bytes, request.deadline);
        appended.await.map_err(ReadError::OutOfMemory)?;
        hold.record_progress();
    }
    drop(body);
    hold.update(Holder::ClientResponse {
        account: request.account.clone(),
        address: None,
        may_have_run: true,
        is_repeatable,
    });
    Ok(Response::from_parts(head, buffer.into_body(hold)))
}
