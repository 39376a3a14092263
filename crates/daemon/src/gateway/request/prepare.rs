//! Turns what a client sent into a request that can be placed.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request};
use cyclamengauge_core::{
    clock::Instant,
    ids::AccountId,
    request::Fingerprint,
    serving::{
        placement,
        routes::{Client, Route, RouteTable},
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
        attempt::ClientRequest,
        client_body,
        response::{self, GatewayError},
    },
    http as server,
    telemetry::{
        process_events,
        trace::{Trace, TraceEvent},
    },
};

/// Longest time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Finds the route and the account, and reads the body.
///
/// # Errors
///
/// If the request is refused before it is placed.
pub async fn prepare(
    gateway: &Rc<Gateway>,
    request: &mut Request,
    id: SmolStr,
    trace: &Rc<Trace>,
    may_run: &Rc<Cell<bool>>,
    arrived_at: Instant,
) -> Result<ClientRequest, GatewayError> {
    let table = gateway.route_table().ok_or(GatewayError::NotConfigured)?;
    if gateway.refuses_requests(arrived_at) {
        return Err(GatewayError::ShuttingDown);
    }
    let (route, account) = authorise(gateway, &table, request)?;
    let timeout = header_text(request.headers(), headers::DEADLINE);
    let timeout = timeout.and_then(headers::parse_milliseconds);
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = arrived_at + timeout.min(route.timeout);
    if let Some(flow) = server::stream::flow(request) {
        flow.set_account(account.as_ref());
    }
    let max_bytes = table.limits().max_body_bytes;
    let latest = deadline.min(arrived_at + BODY_TIMEOUT);
    let received =
        client_body::receive(gateway, request, account.as_ref(), max_bytes, latest).await?;
    // The body may have taken a while.
    if gateway.refuses_requests(gateway.clock.now()) {
        return Err(GatewayError::ShuttingDown);
    }
    let uri = parse_uri(request, &id)?;
    let fingerprint = compute_fingerprint(&uri, account.as_ref(), &received.body);
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
        body: received.body,
        _body_memory: received.memory,
        service,
        stream,
        rank: table.rank(&route, account.as_ref()),
        route,
        account,
        fingerprint,
        shared_parts,
        arrived_at,
        deadline,
        may_run: Rc::clone(may_run),
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
        let is_stripped = response::is_hop_by_hop(name)
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

/// Value of a header, if it is text.
pub fn header_text<'a>(map: &'a actix_http::header::HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
