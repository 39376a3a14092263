//! Requests that an instance hands over to a peer, as it reaches no target of their
//! service.
//!
//! A peer makes one attempt for each request that it takes, and passes the target's response
//! on, or says what came of the attempt. The instance that the client called keeps the
//! request: it counts the attempts, draws on the retry budget and resumes streams. A
//! message is signed with the key that the instances share, names its recipient and is
//! taken once.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use actix_http::{
    Request as ServerRequest, Response as ServerResponse,
    body::BoxBody,
    header::{HeaderName as ServerHeaderName, HeaderValue as ServerHeaderValue},
};
use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, InstanceId, PromptPartId, ServiceId},
    request::Fingerprint,
    serving::{
        handover::Rejection,
        placement,
        reachability::PeerChoice,
        routes::{Rank, Route, RouteKind, WeightedService},
    },
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_schema::v1;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use prost::Message;

use crate::{
    gateway::{
        Gateway,
        attempts::InProgressGuard,
        exchange::{self, AttemptError, ClientRequest, Exchange, InFlightGuard},
        requests,
        reservations::Reservations,
        response_timeouts::ResponseTimeouts,
        responses::GatewayError,
        upstream::Connection,
    },
    http as server,
    telemetry::{process_events, trace::Trace, trace::TraceEvent},
};

/// Path at which an instance takes requests of its peers.
pub const PATH: &str = "/requests";

/// Prefix of the headers between instances. Clients never see them.
pub const HEADER_PREFIX: &str = "cyclamengauge-";

/// What came of the attempt; see [`Outcome`].
const OUTCOME_HEADER: &str = "cyclamengauge-outcome";

/// Target of the attempt.
const TARGET_HEADER: &str = "cyclamengauge-target";

/// Name of the error for which the peer did not send the request to a target.
const ERROR_HEADER: &str = "cyclamengauge-error";

/// Delay of a retry that goes with the error, in milliseconds.
const RETRY_AFTER_HEADER: &str = "cyclamengauge-retry-after-ms";

/// Present if the end of the target's response is not marked by its framing.
const UNMARKED_END_HEADER: &str = "cyclamengauge-unmarked-end";

/// Time for a peer to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the body of a peer's message to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest size of a message beyond the body of the client's request.
const MAX_MESSAGE_OVERHEAD_BYTES: usize = 256 * 1024;

/// Shortest interval between two log lines about rejected messages.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Where a request comes from that a peer has handed over, and how far it has got here.
#[derive(Debug)]
pub struct Origin {
    /// Targets that have failed the request already.
    pub excluded: Vec<EngineId>,
    /// Whether the peer may make another attempt.
    pub may_retry: bool,
    /// Time of the latest event of a stream that has begun.
    pub last_event_at: Option<Instant>,
    /// Whether the request was sent to a target.
    pub was_sent: Cell<bool>,
    /// Target of the latest attempt.
    pub target: RefCell<Option<EngineId>>,
}

/// The point at which a stream is resumed.
#[derive(Clone, Copy, Debug)]
pub struct Resumed<'a> {
    /// Id of the event after which it goes on.
    pub after: &'a HeaderValue,
    /// Time of the latest event; none if the client resumes the stream.
    pub last_event_at: Option<Instant>,
}

/// What came of a peer's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The response is the target's.
    Answered,
    /// The request was not sent to a target.
    NotSent,
    /// The target refused the request without executing it.
    NotExecuted,
    /// The target's response broke off.
    Broken,
    /// The target did not respond in time.
    NoResponse,
}

/// Why a request could not be handed over, or what failed at the peer.
pub struct Failure {
    /// How the attempt failed.
    pub error: AttemptError,
    /// Target that failed, or the name of the peer.
    pub target: EngineId,
    /// Whether the peer gets no further attempt of the request.
    pub excludes_peer: bool,
}

impl Outcome {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::NotSent,
        Self::NotExecuted,
        Self::Broken,
        Self::NoResponse,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not-sent",
            Self::NotExecuted => "not-executed",
            Self::Broken => "broken",
            Self::NoResponse => "no-response",
        }
    }

    /// Parses the header of a response; [`Self::Broken`], which promises nothing, if it is
    /// missing or unknown.
    fn of(map: &HeaderMap) -> Self {
        let name = header_text(map, OUTCOME_HEADER);
        let mut all = Self::ALL.into_iter();
        let found = all.find(|outcome| Some(outcome.name()) == name);
        found.unwrap_or(Self::Broken)
    }
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
            error: exchange::log_failure(request, in_flight, error, err),
            target: in_flight.target.clone(),
            excludes_peer: true,
        }
    };
    let Some(message) = encode(gateway, request, peer, excluded, resumed, timeouts) else {
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
    let sending = connection.send(http_request);
    let sent = timeouts.wait(gateway, &awaited, request.deadline, sending);
    let (error, err) = match sent.await {
        Ok(Ok(response)) => {
            return receive(gateway, request, in_flight, connection, response).await;
        }
        Ok(Err(err)) => (AttemptError::Broken, anyhow::Error::new(err)),
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

/// Takes the head of a peer's response.
async fn receive(
    gateway: &Rc<Gateway>,
    request: &ClientRequest,
    mut in_flight: InFlightGuard,
    connection: Connection,
    mut response: Response<Incoming>,
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
        let exchange = Exchange {
            response,
            in_flight,
            connection,
            reservations: Reservations::none(gateway),
        };
        let checked = exchange::check_response(gateway, request, exchange).await;
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
        error: exchange::log_failure(request, &in_flight, error, &err),
        target,
        excludes_peer: outcome == Outcome::NotSent,
    })
}

/// Whether a peer has passed on a response whose end is not marked by its framing.
pub fn has_unmarked_end(map: &HeaderMap) -> bool {
    map.contains_key(UNMARKED_END_HEADER)
}

fn count_handover(result: &'static str) {
    metrics::counter!("cyclamengauge_handed_over_total", "result" => result).increment(1);
}

fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// Encodes and signs a request for a peer; none without a key.
fn encode(
    gateway: &Gateway,
    request: &ClientRequest,
    peer: &PeerChoice,
    excluded: &[EngineId],
    resumed: Option<Resumed<'_>>,
    timeouts: ResponseTimeouts,
) -> Option<Vec<u8>> {
    let number = gateway.last_handover.get() + 1;
    gateway.last_handover.set(number);
    let millis = |time: Duration| time.as_millis() as u64;
    let headers = request.headers.iter().map(|(name, value)| v1::Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    let prompt = request.stream.as_ref().map(|stream| v1::PromptSize {
        prompt_tokens: stream.prompt.get(),
        output_tokens: stream.output.get(),
    });
    let last_event_id = resumed.and_then(|resumed| resumed.after.to_str().ok());
    let last_event_at = resumed.and_then(|resumed| resumed.last_event_at);
    let mut message = v1::HandedOverRequest {
        sender: gateway.settings.borrow().instance.to_string(),
        sender_incarnation: gateway.incarnation,
        number,
        recipient: peer.instance.to_string(),
        recipient_incarnation: peer.incarnation,
        request: request.id.to_string(),
        method: request.method.to_string(),
        uri: request.uri.to_string(),
        headers: headers.collect(),
        body: request.body.to_vec(),
        route: request.route.name.to_string(),
        route_kind: encode_kind(request.route.kind).into(),
        objective_ms: millis(request.route.objective),
        gap_objective_ms: request.route.gap_objective.map(millis),
        service: request.service.to_string(),
        account: request.account.as_ref().map(AccountId::to_string),
        rank: request.rank.0,
        prompt,
        fingerprint: request.fingerprint.0.to_vec(),
        shared_parts: request
            .shared_parts
            .iter()
            .map(PromptPartId::to_string)
            .collect(),
        time_left_ms: millis(gateway.clock.until(request.deadline)),
        age_ms: millis(gateway.clock.now() - request.arrived_at),
        last_event_id: last_event_id.map(str::to_owned),
        excluded: excluded.iter().map(EngineId::to_string).collect(),
        configuration_version: gateway.configuration_version(),
        may_retry: timeouts.can_end_early(),
        mac: Vec::new(),
        last_event_age_ms: last_event_at.map(|at| millis(gateway.clock.now() - at)),
    };
    message.mac = gateway.peer_keys.sign(&message.encode_to_vec())?;
    Some(message.encode_to_vec())
}

fn encode_kind(kind: RouteKind) -> v1::RouteKind {
    match kind {
        RouteKind::Idempotent => v1::RouteKind::Idempotent,
        RouteKind::NonIdempotent => v1::RouteKind::NonIdempotent,
        RouteKind::Stream { resumable: false } => v1::RouteKind::Stream,
        RouteKind::Stream { resumable: true } => v1::RouteKind::ResumableStream,
    }
}

fn decode_kind(kind: v1::RouteKind) -> anyhow::Result<RouteKind> {
    Ok(match kind {
        v1::RouteKind::Idempotent => RouteKind::Idempotent,
        v1::RouteKind::NonIdempotent => RouteKind::NonIdempotent,
        v1::RouteKind::Stream => RouteKind::Stream { resumable: false },
        v1::RouteKind::ResumableStream => RouteKind::Stream { resumable: true },
        v1::RouteKind::Unspecified => anyhow::bail!("take a request: its route has no kind"),
    })
}

/// Ends a peer's request when dropped.
pub struct TakenOverGuard {
    gateway: Rc<Gateway>,
}

impl Drop for TakenOverGuard {
    fn drop(&mut self) {
        self.gateway.taken_over.borrow_mut().end();
    }
}

/// Takes a request that a peer hands over.
pub async fn handle(gateway: Rc<Gateway>, mut request: ServerRequest) -> ServerResponse<BoxBody> {
    let max_body_bytes = gateway
        .route_table()
        .map_or(0, |table| table.limits().max_body_bytes);
    let max_bytes = max_body_bytes + MAX_MESSAGE_OVERHEAD_BYTES;
    let body = server::collect(request.take_payload(), max_bytes, BODY_TIMEOUT).await;
    let message = body
        .map_err(anyhow::Error::new)
        .and_then(|body| authenticate(&gateway, &body));
    let message = match message {
        Ok(message) => message,
        Err(err) => {
            reject(&gateway, &err);
            return server::text(403, "rejected\n");
        }
    };
    let sender = InstanceId::new(&message.sender);
    let taken =
        gateway
            .taken_over
            .borrow_mut()
            .begin(&sender, message.sender_incarnation, message.number);
    let guard = match taken {
        Ok(()) => TakenOverGuard {
            gateway: Rc::clone(&gateway),
        },
        Err(rejection @ Rejection::Full) => return refuse(rejection.name(), None),
        Err(rejection @ Rejection::Repeated) => {
            let number = message.number;
            let name = rejection.name();
            let err = anyhow::anyhow!("take request {number} of {sender}: {name}");
            reject(&gateway, &err);
            let mut response = server::text(403, "rejected\n");
            // The copy that came first may have run.
            insert(&mut response, OUTCOME_HEADER, Outcome::Broken.name());
            return response;
        }
    };
    let trace = Trace::begin_taken_over(&gateway.request_log, SmolStr::new(&message.request));
    trace.add(TraceEvent::TakenOver {
        sender,
        service: ServiceId::new(&message.service),
        time_to_deadline: Duration::from_millis(message.time_left_ms),
        configuration_version: message.configuration_version,
    });
    let request = match decode(&gateway, message, trace) {
        Ok(request) => request,
        Err(err) => {
            reject(&gateway, &err);
            return refuse(GatewayError::BadRequest.name(), None);
        }
    };
    let in_progress = InProgressGuard::for_peer(&gateway, guard);
    requests::serve_taken_over(&gateway, request, in_progress).await
}

/// Decodes a message and checks that an instance has sent it to this process.
fn authenticate(gateway: &Gateway, body: &[u8]) -> anyhow::Result<v1::HandedOverRequest> {
    let mut message = v1::HandedOverRequest::decode(body).context("decode a peer's request")?;
    let mac = std::mem::take(&mut message.mac);
    let sender = &message.sender;
    anyhow::ensure!(
        gateway.peer_keys.verify(&message.encode_to_vec(), &mac),
        "take a request of `{sender}`: its MAC is not valid"
    );
    let instance = gateway.settings.borrow().instance.to_string();
    anyhow::ensure!(
        message.recipient == instance && message.recipient_incarnation == gateway.incarnation,
        "take a request of `{sender}`: it is for process {} of `{}`",
        message.recipient_incarnation,
        message.recipient
    );
    Ok(message)
}

/// Counts a message that is not taken, and logs it unless another one was logged lately.
fn reject(gateway: &Gateway, err: &anyhow::Error) {
    metrics::counter!("cyclamengauge_rejected_handovers_total").increment(1);
    let now = gateway.clock.now();
    let logged_at = &gateway.rejection_logged_at;
    let is_due = |at: Instant| now - at >= REJECTION_LOG_INTERVAL;
    if logged_at.get().is_none_or(is_due) {
        logged_at.set(Some(now));
        process_events::log_peer_faulty("", err);
    }
}

fn decode(
    gateway: &Rc<Gateway>,
    message: v1::HandedOverRequest,
    trace: Rc<Trace>,
) -> anyhow::Result<ClientRequest> {
    let millis = Duration::from_millis;
    let now = gateway.clock.now();
    let kind = decode_kind(message.route_kind())?;
    let mut headers = HeaderMap::new();
    for header in &message.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.with_context(|| format!("take a request: header `{}`", header.name))?;
        let value = HeaderValue::from_bytes(&header.value);
        let value = value.with_context(|| format!("take a request: value of header `{name}`"))?;
        headers.append(name, value);
    }
    let service = ServiceId::new(&message.service);
    let objective = millis(message.objective_ms);
    let gap_objective = message.gap_objective_ms.map(millis);
    let time_left = millis(message.time_left_ms);
    let age = millis(message.age_ms);
    let fingerprint = <[u8; 16]>::try_from(&message.fingerprint[..]);
    let fingerprint = fingerprint.context("take a request: length of its fingerprint")?;
    let last_event_id = message.last_event_id.as_deref().map(HeaderValue::from_str);
    let uri: Uri = message
        .uri
        .parse()
        .with_context(|| format!("take a request: path `{}`", message.uri))?;
    let method = Method::from_bytes(message.method.as_bytes())
        .with_context(|| format!("take a request: method `{}`", message.method))?;
    let route = Route {
        name: SmolStr::new(&message.route),
        host: SmolStr::default(),
        prefix: SmolStr::default(),
        kind,
        timeout: time_left,
        objective,
        gap_objective,
        rank: Rank(message.rank),
        weighted_services: vec![WeightedService {
            service: service.clone(),
            weight: 1,
        }],
        // The sender makes the others.
        max_attempts: 1,
        public: message.account.is_none(),
    };
    let stream = message.prompt.map(|prompt| placement::Stream {
        prompt: Tokens(prompt.prompt_tokens),
        output: Tokens(prompt.output_tokens),
        objective,
        gap: gap_objective.unwrap_or(objective),
    });
    Ok(ClientRequest {
        id: SmolStr::new(&message.request),
        trace,
        method,
        uri,
        headers,
        last_event_id: last_event_id.transpose()?,
        body: Bytes::from(message.body),
        service,
        stream,
        rank: Rank(message.rank),
        route: Rc::new(route),
        account: message.account.map(AccountId::new),
        fingerprint: Fingerprint(fingerprint),
        shared_parts: message.shared_parts.iter().map(PromptPartId::new).collect(),
        arrived_at: Instant::from_start(now.since_start().saturating_sub(age)),
        deadline: now + time_left,
        origin: Some(Rc::new(Origin {
            excluded: message.excluded.iter().map(EngineId::new).collect(),
            may_retry: message.may_retry,
            last_event_at: message.last_event_age_ms.map(|age_ms| {
                Instant::from_start(now.since_start().saturating_sub(millis(age_ms)))
            }),
            was_sent: Cell::new(false),
            target: RefCell::default(),
        })),
    })
}

/// Marks a response as that of a target, for the peer.
pub fn mark_answered(
    response: ServerResponse<BoxBody>,
    origin: &Origin,
    has_marked_end: bool,
) -> ServerResponse<BoxBody> {
    let mut response = mark(response, origin, Outcome::Answered);
    if !has_marked_end {
        insert(&mut response, UNMARKED_END_HEADER, "1");
    }
    response
}

/// Builds the response for the peer if the attempt has failed.
pub fn error_response(error: GatewayError, origin: &Origin) -> ServerResponse<BoxBody> {
    let outcome = match error {
        GatewayError::TargetFailed => Outcome::Broken,
        GatewayError::TimedOut => Outcome::NoResponse,
        _ if origin.was_sent.get() => Outcome::NotExecuted,
        _ => Outcome::NotSent,
    };
    let refusal = refuse(error.name(), error.retry_after());
    mark(refusal, origin, outcome)
}

fn mark(
    mut response: ServerResponse<BoxBody>,
    origin: &Origin,
    outcome: Outcome,
) -> ServerResponse<BoxBody> {
    insert(&mut response, OUTCOME_HEADER, outcome.name());
    if let Some(target) = &*origin.target.borrow() {
        insert(&mut response, TARGET_HEADER, target.as_str());
    }
    response
}

/// Builds a response that says why the request was not sent to a target.
fn refuse(error: &'static str, retry_after: Option<Duration>) -> ServerResponse<BoxBody> {
    let mut response = server::text(503, "");
    insert(&mut response, OUTCOME_HEADER, Outcome::NotSent.name());
    insert(&mut response, ERROR_HEADER, error);
    if let Some(delay) = retry_after {
        let delay_ms = delay.as_millis().to_string();
        insert(&mut response, RETRY_AFTER_HEADER, &delay_ms);
    }
    response
}

fn insert(response: &mut ServerResponse<BoxBody>, name: &'static str, value: &str) {
    if let Ok(value) = ServerHeaderValue::from_str(value) {
        let name = ServerHeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
