//! Bodies of responses that are read whole.

use std::rc::Rc;

use bytes::Bytes;
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
    upstream::{self, Connection},
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
) -> Result<Response<Bytes>, AttemptError> {
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
    /// The deadline passed.
    TimedOut(anyhow::Error),
}

/// Reads a response body, then releases the connection and the reservations.
pub async fn collect_and_release(
    gateway: &Gateway,
    request: &ClientRequest,
    exchange: Exchange,
) -> (InFlightGuard, Result<Response<Bytes>, ReadError>) {
    let Exchange {
        response,
        in_flight,
        connection,
        reservations,
    } = exchange;
    let status = response.status();
    let reading = upstream::collect(response);
    let left = gateway.clock.until(request.deadline);
    let read = match actix_rt::time::timeout(left, reading).await {
        Ok(read) => read.map_err(ReadError::Broken),
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
