//! Client requests, and those of peers, from arrival to response.

use std::{cell::Cell, pin::Pin, rc::Rc};

use actix_http::{
    HttpMessage, Request, Response,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use cyclamengauge_core::{serving::targets::Outcome, text::SmolStr};
use cyclamengauge_platform::headers;
use http::HeaderValue;

use crate::{
    gateway::{
        Gateway,
        attempt::{
            self, AttemptError, ClientRequest, EventReader, InProgressGuard, ResponseTimeouts,
            StreamError,
        },
        handover::{self, Origin, TakenRequest},
        request::{
            attempts::{Attempts, RequestError},
            prepare,
            relay::Relay,
        },
        response::{self, GatewayError},
    },
    telemetry::trace::{RequestEnd, Trace, TraceEvent},
};

/// Serves a client request.
pub async fn handle(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    let in_progress = InProgressGuard::new(&gateway, request.peer_addr());
    let response = match serve(&gateway, request, in_progress).await {
        Ok(response) => response,
        Err(RequestError::TargetResponse(response)) => response::from_target(*response),
        Err(RequestError::Gateway(error)) => response::error_response(error),
    };
    response::close_if_shutting_down(&gateway, response)
}

async fn serve(
    gateway: &Rc<Gateway>,
    mut request: Request,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, RequestError> {
    let arrived_at = gateway.clock.now();
    let id = prepare::header_text(request.headers(), headers::REQUEST_ID);
    let id = SmolStr::new(id.unwrap_or_default());
    let trace = Trace::begin(&gateway.request_log, id.clone());
    let may_run = Rc::<Cell<bool>>::default();
    let serving = Box::pin(async {
        let prepared =
            prepare::prepare(gateway, &mut request, id, &trace, &may_run, arrived_at).await;
        let client_request = prepared.map_err(RequestError::Gateway)?;
        gateway.record_request(&client_request);
        match client_request.route.kind.is_stream() {
            true => serve_stream(gateway, client_request, None, in_progress).await,
            false => serve_plain(gateway, &client_request, None).await,
        }
    });
    let served = until_shutdown(gateway, &may_run, serving).await;
    if let Err(error) = &served {
        trace_error(&trace, error);
    }
    served
}

/// Waits for the response to a request, or until the process must answer it as it ends.
/// `serving` is boxed, as a future passed by value would take its memory twice.
async fn until_shutdown(
    gateway: &Gateway,
    may_run: &Cell<bool>,
    serving: Pin<Box<impl Future<Output = Result<Response<BoxBody>, RequestError>>>>,
) -> Result<Response<BoxBody>, RequestError> {
    tokio::select! {
        biased;
        served = serving => served,
        () = gateway.wait_for_final_answers() => {
            Err(RequestError::Gateway(match may_run.get() {
                true => GatewayError::Interrupted,
                false => GatewayError::ShuttingDown,
            }))
        }
    }
}

/// Takes a request that a peer hands over, and makes its attempt.
pub async fn handle_peer(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    match handover::take(&gateway, request).await {
        Ok(taken) => serve_taken_over(&gateway, taken).await,
        Err(response) => response,
    }
}

async fn serve_taken_over(gateway: &Rc<Gateway>, taken: TakenRequest) -> Response<BoxBody> {
    let TakenRequest {
        request,
        origin,
        guard,
    } = taken;
    let in_progress = InProgressGuard::for_peer(gateway, guard);
    let trace = Rc::clone(&request.trace);
    let may_run = Rc::clone(&request.may_run);
    let serving = Box::pin(async {
        if gateway.refuses_requests(gateway.clock.now()) {
            return Err(RequestError::Gateway(GatewayError::ShuttingDown));
        }
        match request.route.kind.is_stream() {
            true => serve_stream(gateway, request, Some(&origin), in_progress).await,
            false => {
                let response = serve_plain(gateway, &request, Some(&origin)).await?;
                // The body has been read to its end.
                Ok(handover::mark_answered(response, &origin, true))
            }
        }
    });
    match until_shutdown(gateway, &may_run, serving).await {
        Ok(response) => response,
        Err(error) => {
            trace_error(&trace, &error);
            match error {
                RequestError::TargetResponse(response) => {
                    let response = response::from_target(*response);
                    handover::mark_answered(response, &origin, true)
                }
                RequestError::Gateway(error) => handover::error_response(error, &origin),
            }
        }
    }
}

async fn serve_plain(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    origin: Option<&Rc<Origin>>,
) -> Result<Response<BoxBody>, RequestError> {
    let mut attempts = Attempts::new(gateway, origin.cloned());
    loop {
        let exchange = attempts
            .open_exchange(request, request.last_event_id.as_ref())
            .await?;
        let target = exchange.in_flight.target.clone();
        match attempt::collect_response(gateway, request, exchange).await {
            Ok(response) => {
                match response.status().is_success() {
                    true => attempts.record_completion(request),
                    false => attempts.record_error_response(request, &response),
                }
                return Ok(response::from_target(response));
            }
            Err(error) => attempts.record_failure(request, &target, error)?,
        }
    }
}

async fn serve_stream(
    gateway: &Rc<Gateway>,
    request: ClientRequest,
    origin: Option<&Rc<Origin>>,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, RequestError> {
    let mut attempts = Attempts::new(gateway, origin.cloned());
    let marked = |response, has_marked_end| match origin {
        Some(origin) => handover::mark_answered(response, origin, has_marked_end),
        None => response,
    };
    let after = request.last_event_id.as_ref().and_then(parse_event_id);
    loop {
        let exchange = attempts
            .open_exchange(&request, request.last_event_id.as_ref())
            .await?;
        let target = exchange.in_flight.target.clone();
        if !exchange.response.status().is_success() {
            match attempt::collect_response(gateway, &request, exchange).await {
                Ok(response) => {
                    attempts.record_error_response(&request, &response);
                    return Ok(marked(response::from_target(response), true));
                }
                Err(error) => attempts.record_failure(&request, &target, error)?,
            }
            continue;
        }
        let mut events = EventReader::new(gateway, &request, exchange);
        let response_timeouts =
            ResponseTimeouts::for_first_event(gateway, &request, attempts.outlook(&request));
        let first = events
            .next_with_timeout(gateway, &request, response_timeouts, after)
            .await;
        match first {
            Ok(Some(first)) => {
                events.in_flight().record_first_event();
                attempts.record_first_event(&request);
                let (head, has_marked_end) = (events.head(), events.has_marked_end());
                let bytes = first.bytes.clone();
                let relay = Relay::new(request, attempts, events, &first, in_progress);
                let response = response::with_head(&head, relay_body(bytes, relay));
                return Ok(marked(response, has_marked_end));
            }
            // A client that resumes may have had all events.
            Ok(None) if events.has_marked_end() || after.is_some() => {
                events.set_outcome(Outcome::Served);
                attempts.record_completion(&request);
                let response = response::with_head(&events.head(), BoxBody::new(()));
                return Ok(marked(response, events.has_marked_end()));
            }
            Ok(None) | Err(_) => {
                let broken = first.err().unwrap_or(StreamError::EndedBeforeFirstEvent);
                request.trace.add(TraceEvent::AttemptFailed {
                    target: target.clone(),
                    failure: "broke off",
                    cause: broken.to_string(),
                    retries_left: gateway.retries_left(&request.service),
                });
                if broken.is_possible_crash() {
                    attempt::suspect_crash(gateway, &request, events.in_flight());
                }
                drop(events);
                attempts.record_failure(&request, &target, AttemptError::Broken)?;
            }
        }
    }
}

/// Builds the body of a streamed response: the first events, then those of the relay.
fn relay_body(first: Bytes, relay: Relay) -> BoxBody {
    let rest = futures_util::stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(broken) => Some((Err(std::io::Error::other(broken)), None)),
        }
    });
    let first = futures_util::stream::once(async { Ok(first) });
    let events = futures_util::StreamExt::chain(first, rest);
    BoxBody::new(BodyStream::new(Box::pin(events)))
}

fn parse_event_id(id: &HeaderValue) -> Option<u64> {
    id.to_str().ok()?.trim().parse().ok()
}

fn trace_error(trace: &Trace, error: &RequestError) {
    let end = match error {
        RequestError::Gateway(error) => RequestEnd {
            status: Some(error.http_status()),
            retry_after: error.retry_after(),
            ..RequestEnd::without_response(error.name())
        },
        RequestError::TargetResponse(response) => RequestEnd {
            status: Some(response.status().as_u16()),
            ..RequestEnd::without_response("target-failed")
        },
    };
    trace.end(&end);
}
