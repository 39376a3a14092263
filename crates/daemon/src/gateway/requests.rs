//! Client requests, from arrival to response.

use std::{rc::Rc, time::Duration};

use actix_http::{
    HttpMessage, Request, Response,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::AccountId,
    request::Fingerprint,
    serving::{
        placement,
        routes::{Client, Route, RouteTable},
        targets::Outcome,
    },
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_platform::headers;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use sha2::{Digest, Sha256};

use crate::{
    gateway::{
        Gateway,
        attempts::{Attempts, InProgressGuard, RequestError},
        exchange::{self, ClientRequest},
        handover,
        relay::{EventReader, Relay, StreamError},
        response_timeouts::ResponseTimeouts,
        responses::{self, GatewayError},
    },
    http as server,
    telemetry::{
        process_events,
        trace::{RequestEnd, Trace, TraceEvent},
    },
};

/// Longest time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of the time from SIGTERM to SIGKILL in which the instance still accepts
/// requests on open connections. The rest is for their responses.
const ACCEPTING_SHUTDOWN_SHARE: f64 = 0.3;

/// Serves a client request.
pub async fn handle(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    let in_progress = InProgressGuard::new(&gateway, request.peer_addr());
    let response = match serve(&gateway, request, in_progress).await {
        Ok(response) => response,
        Err(RequestError::TargetResponse(response)) => responses::from_target(*response),
        Err(RequestError::Gateway(error)) => responses::error_response(error),
    };
    responses::close_if_shutting_down(&gateway, response)
}

async fn serve(
    gateway: &Rc<Gateway>,
    mut request: Request,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, RequestError> {
    let arrived_at = gateway.clock.now();
    let id = header_text(request.headers(), headers::REQUEST_ID);
    let id = SmolStr::new(id.unwrap_or_default());
    let trace = Trace::begin(&gateway.request_log, id.clone());
    let prepared = prepare(gateway, &mut request, id, &trace, arrived_at).await;
    let served = match prepared {
        Ok(client_request) => {
            gateway.record_request(&client_request);
            match client_request.route.kind.is_stream() {
                true => serve_stream(gateway, client_request, in_progress).await,
                false => serve_plain(gateway, &client_request).await,
            }
        }
        Err(error) => Err(RequestError::Gateway(error)),
    };
    if let Err(error) = &served {
        trace_error(&trace, error);
    }
    served
}

/// Makes the attempt of a request that a peer has handed over.
pub async fn serve_taken_over(
    gateway: &Rc<Gateway>,
    request: ClientRequest,
    in_progress: InProgressGuard,
) -> Response<BoxBody> {
    let Some(origin) = request.origin.clone() else {
        return responses::error_response(GatewayError::BadRequest);
    };
    let trace = Rc::clone(&request.trace);
    let served = match refuses_requests(gateway, gateway.clock.now()) {
        true => Err(RequestError::Gateway(GatewayError::ShuttingDown)),
        false => match request.route.kind.is_stream() {
            true => serve_stream(gateway, request, in_progress).await,
            false => serve_plain(gateway, &request).await.map(|response| {
                // The body has been read to its end.
                handover::mark_answered(response, &origin, true)
            }),
        },
    };
    match served {
        Ok(response) => response,
        Err(error) => {
            trace_error(&trace, &error);
            match error {
                RequestError::TargetResponse(response) => {
                    let response = responses::from_target(*response);
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
) -> Result<Response<BoxBody>, RequestError> {
    let mut attempts = Attempts::new(gateway, request.origin.as_deref());
    loop {
        let exchange = attempts
            .open_exchange(request, request.last_event_id.as_ref())
            .await?;
        let target = exchange.in_flight.target.clone();
        match exchange::collect_response(gateway, request, exchange).await {
            Ok(response) => {
                match response.status().is_success() {
                    true => attempts.record_completion(request),
                    false => attempts.record_error_response(request, &response),
                }
                return Ok(responses::from_target(response));
            }
            Err(error) => attempts.record_failure(request, &target, error)?,
        }
    }
}

async fn serve_stream(
    gateway: &Rc<Gateway>,
    request: ClientRequest,
    in_progress: InProgressGuard,
) -> Result<Response<BoxBody>, RequestError> {
    let mut attempts = Attempts::new(gateway, request.origin.as_deref());
    let origin = request.origin.clone();
    let marked = |response, has_marked_end| match &origin {
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
            match exchange::collect_response(gateway, &request, exchange).await {
                Ok(response) => {
                    attempts.record_error_response(&request, &response);
                    return Ok(marked(responses::from_target(response), true));
                }
                Err(error) => attempts.record_failure(&request, &target, error)?,
            }
            continue;
        }
        let mut events = EventReader::new(exchange);
        let response_timeouts = ResponseTimeouts::for_first_event(&request, &attempts);
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
                let response = responses::with_head(&head, relay_body(bytes, relay));
                return Ok(marked(response, has_marked_end));
            }
            // A client that resumes may have had all events.
            Ok(None) if events.has_marked_end() || after.is_some() => {
                events.set_outcome(Outcome::Served);
                attempts.record_completion(&request);
                let response = responses::with_head(&events.head(), BoxBody::new(()));
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
                    exchange::suspect_crash(gateway, &request, events.in_flight());
                }
                drop(events);
                attempts.record_failure(&request, &target, exchange::AttemptError::Broken)?;
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

/// Finds the route and the account, and reads the body.
///
/// # Errors
///
/// If the request is refused before it is placed.
async fn prepare(
    gateway: &Gateway,
    request: &mut Request,
    id: SmolStr,
    trace: &Rc<Trace>,
    arrived_at: Instant,
) -> Result<ClientRequest, GatewayError> {
    let table = gateway.route_table().ok_or(GatewayError::NotConfigured)?;
    if refuses_requests(gateway, arrived_at) {
        return Err(GatewayError::ShuttingDown);
    }
    let (route, account) = authorise(gateway, &table, request)?;
    let timeout = header_text(request.headers(), headers::DEADLINE);
    let timeout = timeout.and_then(headers::parse_milliseconds);
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = arrived_at + timeout.min(route.timeout);
    let body_timeout = gateway.clock.until(deadline).min(BODY_TIMEOUT);
    let max_bytes = table.limits().max_body_bytes;
    let body = server::collect(request.take_payload(), max_bytes, body_timeout)
        .await
        .map_err(|err| match err {
            server::BodyError::TooLarge => GatewayError::BodyTooLarge,
            server::BodyError::TooSlow | server::BodyError::Broken => GatewayError::BadRequest,
        })?;
    let uri = parse_uri(request, &id)?;
    let fingerprint = compute_fingerprint(&uri, account.as_ref(), &body);
    if gateway
        .crashes
        .borrow()
        .is_refused(&fingerprint, arrived_at)
    {
        return Err(GatewayError::ContentCrashesEngines);
    }
    let shared_parts = header_text(request.headers(), headers::PROMPT_PARTS);
    let shared_parts = shared_parts.map(headers::parse_shared_parts);
    let shared_parts = shared_parts.unwrap_or_default();
    let draw = gateway.rng.borrow_mut().f64();
    let last_event_id = header_text(request.headers(), headers::LAST_EVENT_ID);
    let service = route.draw_service(draw).clone();
    let stream = requested_stream(&route, request.headers());
    trace.add(TraceEvent::Received {
        route: route.name.clone(),
        service: service.clone(),
        account: account.clone(),
        fingerprint: fingerprint.to_string(),
        shared_parts: shared_parts.clone(),
        prompt_tokens: stream.as_ref().map(|stream| stream.prompt.get()),
        time_to_deadline: gateway.clock.until(deadline),
        configuration_version: table.version(),
        configuration_age: arrived_at - gateway.configuration_applied_at.get(),
    });
    if gateway.has_refused_part(&shared_parts) {
        return Err(GatewayError::PartCrashesEngines);
    }
    Ok(ClientRequest {
        id,
        trace: Rc::clone(trace),
        method: Method::from_bytes(request.method().as_str().as_bytes())
            .map_err(|_| GatewayError::BadRequest)?,
        uri,
        headers: forwarded_headers(request.headers()),
        last_event_id: last_event_id.and_then(|id| HeaderValue::from_str(id).ok()),
        body,
        service,
        stream,
        rank: table.rank(&route, account.as_ref()),
        route,
        account,
        fingerprint,
        shared_parts,
        arrived_at,
        deadline,
        origin: None,
    })
}

/// Finds the route and the account of a request. If the configuration may be outdated,
/// reports that in place of a missing route or an unknown key.
fn authorise(
    gateway: &Gateway,
    table: &RouteTable,
    request: &Request,
) -> Result<(Rc<Route>, Option<AccountId>), GatewayError> {
    let stale_or = |error| match gateway.is_configuration_stale() {
        true => GatewayError::StaleConfiguration,
        false => error,
    };
    let host = header_text(request.headers(), "host").unwrap_or_default();
    let route = table.find(host, request.path());
    let route = route.ok_or_else(|| stale_or(GatewayError::NoRoute))?;
    let key = header_text(request.headers(), "authorization").and_then(headers::parse_bearer_key);
    match table.identify_client(&route, key) {
        Client::Account(account) => Ok((route, Some(account))),
        Client::Anonymous => Ok((route, None)),
        Client::Unknown => Err(stale_or(GatewayError::WrongKey)),
    }
}

/// Whether too little of the shutdown grace period is left to accept a request.
fn refuses_requests(gateway: &Gateway, now: Instant) -> bool {
    let grace = gateway.settings.borrow().bounds.shutdown_grace;
    let shutdown_started_at = gateway.shutdown_started_at.get();
    shutdown_started_at.is_some_and(|since| now - since > grace.mul_f64(ACCEPTING_SHUTDOWN_SHARE))
}

fn requested_stream(
    route: &Route,
    map: &actix_http::header::HeaderMap,
) -> Option<placement::Stream> {
    if !route.kind.is_stream() {
        return None;
    }
    let counts = header_text(map, headers::TOKEN_COUNTS).and_then(headers::parse_token_counts);
    let (prompt, output) = counts.unwrap_or((Tokens(0), Tokens(0)));
    Some(placement::Stream {
        prompt,
        output,
        objective: route.objective,
        gap: route.gap_objective.unwrap_or(route.objective),
    })
}

/// Headers that are forwarded unchanged: all but hop-by-hop headers, headers that are
/// stripped, and those that are set anew for each attempt.
fn forwarded_headers(map: &actix_http::header::HeaderMap) -> HeaderMap {
    let connection = header_text(map, "connection").unwrap_or_default();
    let connection_headers: Vec<String> = connection
        .split(',')
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::new();
    for (name, value) in map {
        let name = name.as_str();
        let is_stripped = responses::is_hop_by_hop(name)
            || headers::STRIPPED_FROM_REQUESTS.contains(&name)
            || matches!(name, "content-length" | "expect" | headers::LAST_EVENT_ID)
            || connection_headers.iter().any(|hop| hop == name);
        if is_stripped {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            forwarded.append(name, value);
        }
    }
    forwarded
}

/// Path and query of the request, as the URI that is sent to targets.
fn parse_uri(request: &Request, id: &str) -> Result<Uri, GatewayError> {
    let path = request.uri().path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    path.parse().map_err(|err| {
        let err = anyhow::anyhow!("request path `{path}` is malformed: {err}");
        process_events::log_request_faulty(id, &err);
        GatewayError::BadRequest
    })
}

fn compute_fingerprint(uri: &Uri, account: Option<&AccountId>, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(uri.to_string().as_bytes());
    hash.update([0]);
    hash.update(account.map_or("", AccountId::as_str).as_bytes());
    hash.update([0]);
    hash.update(body);
    let digest = hash.finalize();
    let mut fingerprint = Fingerprint::default();
    let length = fingerprint.0.len();
    fingerprint.0.copy_from_slice(&digest[..length]);
    fingerprint
}

fn header_text<'a>(map: &'a actix_http::header::HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
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
