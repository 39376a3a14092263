//! One attempt of a request: the HTTP exchange with one target.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, PromptPartId, ServiceId},
    request::Fingerprint,
    serving::{
        placement::{self, Placement},
        reachability::{PathState, PeerChoice},
        routes::{Rank, Route},
        targets::{InFlightId, Outcome},
    },
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_platform::headers;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri,
    header::{CONTENT_ENCODING, HeaderName},
};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    gateway::{
        Gateway,
        handover::Origin,
        paths::{self, TargetAddress},
        reservations::Reservations,
        response_timeouts::{Awaited, ResponseTimeouts, WaitError},
        responses::GatewayError,
        target_limits,
        upstream::{self, Connection},
    },
    telemetry::{
        process_events,
        trace::{Trace, TraceEvent},
    },
};

/// Time to connect to a target: several times the highest network latency to a
/// target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time to connect to an engine whose response broke off. An engine that does not
/// accept the connection counts as crashed.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after the first event of a stream in which an engine crashes if it crashes on the
/// prompt.
const CRASH_ONSET_TIME: Duration = Duration::from_secs(2);

/// A client's request with its route, complete body and deadline.
pub struct ClientRequest {
    /// Request id that the client chose; empty if there is none.
    pub id: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Route that matches the host and path.
    pub route: Rc<Route>,
    /// Service whose targets get the request.
    pub service: ServiceId,
    /// Account of the client; none on a public route.
    pub account: Option<AccountId>,
    /// Rank among the requests to the same targets.
    pub rank: Rank,
    /// Digest of path and query, account and body.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other prompts may share, in order.
    pub shared_parts: Vec<PromptPartId>,
    /// Time of arrival at this instance.
    pub arrived_at: Instant,
    /// Time by which the client must have the complete response.
    pub deadline: Instant,
    /// Id of the event after which the client resumes a stream.
    pub last_event_id: Option<HeaderValue>,
    /// Prompt length and objectives of a stream; none for other requests.
    pub stream: Option<placement::Stream>,
    /// Trace events of the request.
    pub trace: Rc<Trace>,
    /// The peer that has handed the request over; none for a client's own.
    pub origin: Option<Rc<Origin>>,
}

/// How an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// The request was not sent.
    NotSent,
    /// The target refused the request without executing it.
    NotExecuted,
    /// The target returned a server error, with a complete body.
    ErrorResponse(Box<Response<Bytes>>),
    /// The connection broke or the response is invalid; the request may have been
    /// executed.
    Broken,
    /// No response, or not the whole body, arrived in time; the request may have been
    /// executed.
    NoResponse,
    /// A peer did not send the request to a target, for a reason that holds at every
    /// instance.
    Refused(GatewayError),
}

impl AttemptError {
    /// Whether the target may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        match self {
            Self::NotSent | Self::NotExecuted | Self::Refused(_) => false,
            Self::ErrorResponse(_) | Self::Broken | Self::NoResponse => true,
        }
    }

    /// Whether the request was sent to the target.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent | Self::Refused(_))
    }

    /// Stable name, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::NotExecuted => "not run",
            Self::ErrorResponse(_) => "answered with a failure",
            Self::Broken => "broke off",
            Self::NoResponse => "silent",
            Self::Refused(_) => "refused by peer",
        }
    }
}

/// Where an attempt is counted.
#[derive(Clone, Debug)]
enum Counted {
    /// In the load of its targets.
    AtTargets(InFlightId),
    /// Among the requests that a peer has taken over.
    AtPeer(PeerChoice),
}

/// Counts a request in the load of its targets, or at the peer that it is handed over to,
/// until dropped; on drop, records the outcome.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    counted: Counted,
    service: ServiceId,
    /// Target that sends the response.
    pub target: EngineId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether other engines prefill parts of the prompt.
    has_helpers: bool,
    /// Time of the first event of the stream.
    first_event_at: Cell<Option<Instant>>,
    outcome: Outcome,
}

impl InFlightGuard {
    fn begin(gateway: &Rc<Gateway>, service: &ServiceId, placement: &Placement) -> Self {
        let now = gateway.clock.now();
        let parts = placement.parts.clone();
        let stream = placement.stream;
        let id = gateway.targets.borrow_mut().begin(parts, stream, now);
        gateway.report_placement();
        Self {
            gateway: Rc::clone(gateway),
            counted: Counted::AtTargets(id),
            service: service.clone(),
            target: placement.target.clone(),
            address: placement.address,
            has_helpers: !placement.helpers.is_empty(),
            first_event_at: Cell::new(None),
            outcome: Outcome::Unknown,
        }
    }

    /// Counts a request that is handed over to a peer.
    pub fn begin_handover(gateway: &Rc<Gateway>, service: &ServiceId, peer: &PeerChoice) -> Self {
        let mut reachability = gateway.reachability.borrow_mut();
        reachability.begin_handover(service, &peer.instance);
        Self {
            gateway: Rc::clone(gateway),
            counted: Counted::AtPeer(peer.clone()),
            service: service.clone(),
            target: EngineId::new(peer.instance.as_str()),
            address: peer.address,
            has_helpers: false,
            first_event_at: Cell::new(None),
            outcome: Outcome::Unknown,
        }
    }

    /// Records the first event of the stream.
    pub fn record_first_event(&self) {
        self.first_event_at.set(Some(self.gateway.clock.now()));
        let Counted::AtTargets(id) = self.counted else {
            return;
        };
        self.gateway.targets.borrow_mut().record_first_event(id);
        match self.has_helpers {
            // It frees several engines for the next long prompt.
            true => self.gateway.report_placement(),
            false => self.gateway.report_progress(),
        }
    }

    /// The target and its address.
    pub fn target_address(&self) -> TargetAddress {
        TargetAddress {
            service: self.service.clone(),
            target: self.target.clone(),
            address: self.address,
        }
    }

    /// What a response of the target depends on.
    pub fn awaited(&self) -> Awaited {
        let peer = match &self.counted {
            Counted::AtTargets(_) => None,
            Counted::AtPeer(peer) => Some(peer.address),
        };
        Awaited {
            target: self.target_address(),
            peer,
        }
    }

    /// Whether a peer makes the attempt.
    pub fn is_handed_over(&self) -> bool {
        matches!(self.counted, Counted::AtPeer(_))
    }

    /// Whether a crash of the target may be due to this request: an engine crashes on a
    /// prompt when it begins to write the answer.
    fn may_have_caused_crash(&self) -> bool {
        let now = self.gateway.clock.now();
        let first_event_at = self.first_event_at.get();
        first_event_at.is_none_or(|at| now - at <= CRASH_ONSET_TIME)
    }

    /// Records that bytes arrived from the target.
    pub fn record_received(&self) {
        let now = self.gateway.clock.now();
        let Counted::AtTargets(id) = self.counted else {
            return;
        };
        self.gateway.targets.borrow_mut().record_received(id, now);
        self.gateway
            .reachability
            .borrow_mut()
            .record_received(&self.service, now);
    }

    /// Sets the outcome to record on drop; [`Outcome::Unknown`] if never set.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let id = match &self.counted {
            Counted::AtTargets(id) => *id,
            Counted::AtPeer(peer) => {
                let mut reachability = self.gateway.reachability.borrow_mut();
                reachability.end_handover(&peer.instance);
                return;
            }
        };
        let mut targets = self.gateway.targets.borrow_mut();
        let exclusion = targets.record_end(id, self.outcome, now);
        drop(targets);
        log_exclusion(&self.target, self.outcome, exclusion);
        self.gateway.report_progress();
    }
}

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
                request,
                &in_flight,
                AttemptError::NotSent,
                &err,
            ));
        }
    };
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
                request,
                &in_flight,
                AttemptError::Broken,
                &err.into(),
            ));
        }
        Ok(Ok(response)) => response,
    };
    in_flight.record_received();
    target_limits::record_response(gateway, &in_flight.target, &response, sent_at);
    let exchange = Exchange {
        response,
        in_flight,
        connection,
        reservations,
    };
    check_response(gateway, request, exchange).await
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
            Err(log_failure(request, &in_flight, AttemptError::Broken, &err))
        }
        Err(ReadError::TimedOut(err)) => {
            in_flight.set_outcome(Outcome::Silent);
            Err(log_failure(
                request,
                &in_flight,
                AttemptError::NoResponse,
                &err,
            ))
        }
    }
}

/// Why a response body could not be read.
enum ReadError {
    /// The connection broke, or the body is malformed or too large.
    Broken(anyhow::Error),
    /// The deadline passed.
    TimedOut(anyhow::Error),
}

/// Reads a response body, then releases the connection and the reservations.
async fn collect_and_release(
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

/// Probes an engine whose response broke off. If the engine does not accept a connection,
/// records a crash that the request may have caused, and excludes the engine.
/// Not so if this instance may reach no other target either. A peer does it for the
/// attempts that it makes.
pub fn suspect_crash(gateway: &Rc<Gateway>, request: &ClientRequest, in_flight: &InFlightGuard) {
    if in_flight.is_handed_over() {
        return;
    }
    let gateway = Rc::clone(gateway);
    let (fingerprint, request_id) = (request.fingerprint, request.id.clone());
    let shared_parts = match in_flight.may_have_caused_crash() {
        true => request.shared_parts.clone(),
        false => Vec::new(),
    };
    let (target, address) = (in_flight.target.clone(), in_flight.target_address());
    let broke_at = gateway.clock.now();
    actix_rt::spawn(async move {
        let Err(err) = paths::connect(&gateway, &address, CRASH_PROBE_TIMEOUT).await else {
            return;
        };
        if !paths::is_target_at_fault(&gateway, &address, broke_at).await {
            process_events::log_crash_ruled_out(&request_id, &target);
            return;
        }
        let now = gateway.clock.now();
        process_events::log_target_crashed(&request_id, &shared_parts, &target, &err);
        let crash = SmolStr::new(format!("{target}/{request_id}"));
        gateway
            .crashes
            .borrow_mut()
            .record_crash(fingerprint, crash, now);
        gateway.record_part_crash(&shared_parts, &target);
        let mut targets = gateway.targets.borrow_mut();
        let exclusion = targets.record_outcome(&target, Outcome::Silent, now);
        log_exclusion(&target, Outcome::Silent, exclusion);
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

/// Returns the exchange if its response belongs to the request and can be forwarded.
///
/// # Errors
///
/// If the response has another request id, lacks a signature or is encoded, or if the
/// target refused the request or returned a server error.
pub async fn check_response(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    mut exchange: Exchange,
) -> Result<Exchange, AttemptError> {
    let map = exchange.response.headers();
    let status = exchange.response.status();
    let response_id = map.get(headers::REQUEST_ID);
    let has_other_id = response_id.is_some_and(|id| id.as_bytes() != request.id.as_bytes());
    let has_no_signature = status.is_success() && !map.contains_key(headers::SIGNATURE);
    if has_other_id || has_no_signature || map.contains_key(CONTENT_ENCODING) {
        exchange.in_flight.set_outcome(Outcome::Failed);
        let err = anyhow::anyhow!(
            "invalid response: another request id, no signature or a content encoding"
        );
        return Err(log_failure(
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
            log_exclusion(&id, Outcome::Leaving, exclusion);
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
    let (mut in_flight, read) = collect_and_release(gateway, request, exchange).await;
    in_flight.set_outcome(Outcome::Failed);
    match read {
        Ok(response) => {
            let err = anyhow::anyhow!("response with status {status}");
            log_failure(
                request,
                &in_flight,
                AttemptError::ErrorResponse(Box::new(response)),
                &err,
            )
        }
        Err(ReadError::Broken(err)) => log_failure(request, &in_flight, AttemptError::Broken, &err),
        Err(ReadError::TimedOut(err)) => {
            log_failure(request, &in_flight, AttemptError::NoResponse, &err)
        }
    }
}

/// Counts and logs a failed attempt; returns the failure.
pub fn log_failure(
    request: &ClientRequest,
    in_flight: &InFlightGuard,
    failure: AttemptError,
    err: &anyhow::Error,
) -> AttemptError {
    metrics::counter!("cyclamengauge_try_failures_total", "failure" => failure.name()).increment(1);
    request.trace.add(TraceEvent::AttemptFailed {
        target: in_flight.target.clone(),
        failure: failure.name(),
        cause: format!("{err:#}"),
        retries_left: in_flight.gateway.retries_left(&request.service),
    });
    failure
}

/// Logs that an outcome excludes a target.
pub fn log_exclusion(target: &EngineId, outcome: Outcome, exclusion: Option<Duration>) {
    if let Some(exclusion) = exclusion {
        process_events::log_target_suspect(target, outcome.name(), exclusion);
    }
}
