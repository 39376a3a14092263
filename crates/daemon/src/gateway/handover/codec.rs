//! Messages with which requests are handed over.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, PromptPartId, ServiceId},
    request::Fingerprint,
    serving::{
        placement,
        reachability::PeerChoice,
        routes::{Rank, Route, RouteKind, WeightedService},
    },
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_schema::v1;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use prost::Message;

use crate::{
    gateway::{
        Gateway,
        attempt::{ClientRequest, ResponseTimeouts, TakenOverGuard},
    },
    telemetry::trace::Trace,
};

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

/// A request that a peer has handed over.
pub struct TakenRequest {
    /// The request of the peer's client.
    pub request: ClientRequest,
    /// Where it comes from.
    pub origin: Rc<Origin>,
    /// Counts it as taken over.
    pub guard: TakenOverGuard,
}

/// Encodes and signs a request for a peer; none without a key.
pub fn encode(
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

/// Decodes a message.
///
/// # Errors
///
/// If a field is missing or invalid.
pub fn decode(
    gateway: &Rc<Gateway>,
    message: v1::HandedOverRequest,
    trace: Rc<Trace>,
) -> anyhow::Result<(ClientRequest, Rc<Origin>)> {
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
    let origin = Origin {
        excluded: message.excluded.iter().map(EngineId::new).collect(),
        may_retry: message.may_retry,
        last_event_at: message
            .last_event_age_ms
            .map(|age_ms| Instant::from_start(now.since_start().saturating_sub(millis(age_ms)))),
        was_sent: Cell::new(false),
        target: RefCell::default(),
    };
    let request = ClientRequest {
        id: SmolStr::new(&message.request),
        trace,
        method,
        uri,
        headers,
        last_event_id: last_event_id.transpose()?,
        body: Bytes::from(message.body),
        _body_memory: None,
        service,
        stream,
        rank: Rank(message.rank),
        route: Rc::new(route),
        account: message.account.map(AccountId::new),
        fingerprint: Fingerprint(fingerprint),
        shared_parts: message.shared_parts.iter().map(PromptPartId::new).collect(),
        arrived_at: Instant::from_start(now.since_start().saturating_sub(age)),
        deadline: now + time_left,
        may_run: Rc::default(),
    };
    Ok((request, Rc::new(origin)))
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
