//! One try of a request at one target.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, ServiceId},
    request::Fingerprint,
    serving::{
        placement::{self, Placement},
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
        reservations::Reservations,
        response_timeouts::{ResponseTimeouts, WaitError},
        upstream::{self, Connection},
    },
    telemetry::{
        process,
        trace::{Step, Trace},
    },
};

/// Time to connect to a target: several times the longest distance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time to find out whether an engine that broke off has crashed.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A caller's request, ready to be sent to targets.
pub struct ClientRequest {
    /// The caller's id of it.
    pub id: SmolStr,
    /// Method.
    pub method: Method,
    /// Path and query as received.
    pub target: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// Service that answers.
    pub service: ServiceId,
    /// Account of the caller.
    pub account: Option<AccountId>,
    /// Its rank among the requests for the same targets.
    pub rank: Rank,
    /// Digest of path, caller and body.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it must have its whole answer.
    pub deadline: Instant,
    /// Event after which the caller wants a stream to go on.
    pub last_event_id: Option<HeaderValue>,
    /// What is known of a stream.
    pub stream: Option<placement::Stream>,
    /// Its log lines.
    pub trace: Rc<Trace>,
}

/// How a try failed.
#[derive(Debug)]
pub enum AttemptError {
    /// Nothing was sent.
    NotSent,
    /// The target refused without running it.
    NotRun,
    /// The target answered with a failure of its own, whole.
    ErrorResponse(Box<Response<Bytes>>),
    /// The connection broke or the answer can't be used; it may have run.
    Broken,
    /// No answer came in time; it may have run.
    Silent,
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent | Self::NotRun => false,
            Self::ErrorResponse(_) | Self::Broken | Self::Silent => true,
        }
    }

    /// Whether the target got the request.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent)
    }

    fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::NotRun => "not run",
            Self::ErrorResponse(_) => "answered with a failure",
            Self::Broken => "broke off",
            Self::Silent => "silent",
        }
    }
}

/// A request in progress at its targets; dropped, it is over there as well.
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    id: InFlightId,
    /// Target that answers.
    pub target: EngineId,
    /// Its address.
    pub address: SocketAddr,
    outcome: Outcome,
}

impl InFlightGuard {
    fn begin(gateway: &Rc<Gateway>, placement: &Placement) -> Self {
        let now = gateway.clock.now();
        let parts = placement.parts.clone();
        let stream = placement.stream;
        let id = gateway.targets.borrow_mut().begin(parts, stream, now);
        gateway.load_changed.notify_waiters();
        Self {
            gateway: Rc::clone(gateway),
            id,
            target: placement.target.clone(),
            address: placement.address,
            outcome: Outcome::Unknown,
        }
    }

    /// Notes the first event.
    pub fn record_first_event(&self) {
        self.gateway
            .targets
            .borrow_mut()
            .record_first_event(self.id);
        self.gateway.load_changed.notify_waiters();
    }

    /// Notes bytes from the target.
    pub fn record_received(&self) {
        let now = self.gateway.clock.now();
        self.gateway
            .targets
            .borrow_mut()
            .record_received(self.id, now);
    }

    /// Sets how the target is judged at the end.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut targets = self.gateway.targets.borrow_mut();
        let out = targets.record_end(self.id, self.outcome, now);
        drop(targets);
        log_out(&self.target, self.outcome, out);
        self.gateway.load_changed.notify_waiters();
    }
}

/// An answer whose head has arrived.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// The request at its target.
    pub in_flight: InFlightGuard,
    /// Kept as long as the answer is read.
    pub connection: Connection,
    /// Memory on other engines, kept as long.
    pub reservations: Reservations,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// If the target can't be used for this request, however that shows.
pub async fn send(
    gateway: &Rc<Gateway>,
    job: &ClientRequest,
    placement: &Placement,
    last_event_id: Option<&HeaderValue>,
    response_timeouts: ResponseTimeouts,
) -> Result<Exchange, AttemptError> {
    let mut in_flight = InFlightGuard::begin(gateway, placement);
    // An order of an earlier try may still be carried out, so each try has names
    // of its own.
    let name = format!("{}-{:08x}", job.id, gateway.rng.borrow_mut().u32(..));
    let since = gateway.clock.now();
    let reserved = Reservations::make(placement, &name).await;
    let reservations = match reserved {
        Ok(reservations) => {
            note_reserved(gateway, job, placement, since);
            reservations
        }
        Err(err) => {
            metrics::counter!("cyclamengauge_reservations_total", "result" => "failed")
                .increment(1);
            return Err(failed(job, &in_flight, AttemptError::NotSent, &err));
        }
    };
    let opened = Connection::open(placement.address, CONNECT_TIMEOUT).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(err) => {
            in_flight.set_outcome(Outcome::Silent);
            return Err(failed(job, &in_flight, AttemptError::NotSent, &err));
        }
    };
    let request = request(gateway, job, placement, &reservations, last_event_id);
    let target = (&placement.target, placement.address);
    let sending = connection.send(request);
    let sent = response_timeouts
        .wait(gateway, target, job.deadline, sending)
        .await;
    let response = match sent {
        Err(late) => {
            in_flight.set_outcome(match late {
                WaitError::DeadlineExceeded => Outcome::Failed,
                WaitError::Silent(_) => Outcome::Silent,
            });
            let err = anyhow::anyhow!("{late}");
            return Err(failed(job, &in_flight, AttemptError::Silent, &err));
        }
        Ok(Err(err)) => {
            in_flight.set_outcome(Outcome::Failed);
            suspect_crash(gateway, job, &in_flight);
            return Err(failed(job, &in_flight, AttemptError::Broken, &err.into()));
        }
        Ok(Ok(response)) => response,
    };
    in_flight.record_received();
    let exchange = Exchange {
        response,
        in_flight,
        connection,
        reservations,
    };
    accept(gateway, job, exchange).await
}

fn note_reserved(gateway: &Gateway, job: &ClientRequest, placement: &Placement, since: Instant) {
    let holders = placement.helpers.iter();
    let holders = holders.filter(|helper| helper.memory > Tokens(0));
    let engines = holders.clone().count() as u64;
    if engines == 0 {
        return;
    }
    metrics::counter!("cyclamengauge_reservations_total", "result" => "made").increment(1);
    job.trace.add(Step::Reserved {
        engines,
        memory: holders.map(|helper| helper.memory).sum(),
        took: gateway.clock.now() - since,
    });
}

/// Reads the rest of an answer that is no stream.
///
/// # Errors
///
/// If it is incomplete or not there by the deadline.
pub async fn finish(
    gateway: &Rc<Gateway>,
    job: &ClientRequest,
    exchange: Exchange,
) -> Result<Response<Bytes>, AttemptError> {
    let (mut in_flight, read) = read_rest(gateway, job, exchange).await;
    match read {
        Ok(answer) => {
            in_flight.set_outcome(Outcome::Served);
            Ok(answer)
        }
        Err(Unread::Broken(err)) => {
            in_flight.set_outcome(Outcome::Failed);
            suspect_crash(gateway, job, &in_flight);
            Err(failed(job, &in_flight, AttemptError::Broken, &err))
        }
        Err(Unread::Late(err)) => {
            in_flight.set_outcome(Outcome::Silent);
            Err(failed(job, &in_flight, AttemptError::Silent, &err))
        }
    }
}

/// Why the rest of an answer could not be read.
enum Unread {
    /// The connection broke or the answer is malformed.
    Broken(anyhow::Error),
    /// The deadline passed.
    Late(anyhow::Error),
}

/// Reads the rest of an answer, then lets go of its connection and reservations.
async fn read_rest(
    gateway: &Gateway,
    job: &ClientRequest,
    exchange: Exchange,
) -> (InFlightGuard, Result<Response<Bytes>, Unread>) {
    let Exchange {
        response,
        in_flight,
        connection,
        reservations,
    } = exchange;
    let status = response.status();
    let reading = upstream::collect(response);
    let left = gateway.clock.until(job.deadline);
    let read = match actix_rt::time::timeout(left, reading).await {
        Ok(read) => read.map_err(Unread::Broken),
        Err(_) => {
            let err = anyhow::anyhow!("answered {status}, not whole at the deadline");
            Err(Unread::Late(err))
        }
    };
    drop(connection);
    drop(reservations);
    (in_flight, read)
}

/// An engine that broke off a request may have crashed by it. It has if it takes
/// no connections now.
pub fn suspect_crash(gateway: &Rc<Gateway>, job: &ClientRequest, in_flight: &InFlightGuard) {
    let gateway = Rc::clone(gateway);
    let (content, request) = (job.fingerprint, job.id.clone());
    let (target, address) = (in_flight.target.clone(), in_flight.address);
    actix_rt::spawn(async move {
        let Err(err) = Connection::open(address, CRASH_PROBE_TIMEOUT).await else {
            return;
        };
        let now = gateway.clock.now();
        process::target_crashed(&request, &target, &err);
        let crash = SmolStr::new(format!("{target}/{request}"));
        gateway
            .crashes
            .borrow_mut()
            .record_crash(content, crash, now);
        let mut targets = gateway.targets.borrow_mut();
        let out = targets.record_outcome(&target, Outcome::Silent, now);
        log_out(&target, Outcome::Silent, out);
    });
}

fn request(
    gateway: &Gateway,
    job: &ClientRequest,
    placement: &Placement,
    reservations: &Reservations,
    last_event_id: Option<&HeaderValue>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    let map = request.headers_mut();
    *map = job.headers.clone();
    let left_ms = gateway.clock.until(job.deadline).as_millis() as u64;
    set(map, headers::DEADLINE, &left_ms.to_string());
    set(map, headers::EXPECTED_TARGET, placement.target.as_str());
    if let Some(account) = &job.account {
        set(map, headers::ACCOUNT, account.as_str());
    }
    if job.stream.is_some() {
        let priority = job.rank.priority(placement.long);
        set(map, headers::PRIORITY, &headers::format_priority(priority));
    }
    if !placement.helpers.is_empty() {
        let helpers = placement.helpers.iter();
        let helpers = helpers.map(|helper| (helper.address, reservations.on(helper)));
        let helpers: Vec<(SocketAddr, Option<&str>)> = helpers.collect();
        set(map, headers::HELPERS, &headers::format_helpers(&helpers));
    }
    if let Some(id) = last_event_id {
        map.insert(HeaderName::from_static(headers::LAST_EVENT_ID), id.clone());
    }
    request
}

fn set(map: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(HeaderName::from_static(name), value);
        }
        Err(err) => {
            let id = map.get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
            let err = anyhow::anyhow!("header {name} can't be `{value}`: {err}");
            process::request_faulty(id.unwrap_or_default(), &err);
        }
    }
}

/// Accepts an answer that belongs to the request and can be passed on.
async fn accept(
    gateway: &Rc<Gateway>,
    job: &ClientRequest,
    mut exchange: Exchange,
) -> Result<Exchange, AttemptError> {
    let map = exchange.response.headers();
    let status = exchange.response.status();
    let echoed = map.get(headers::REQUEST_ID);
    let foreign = echoed.is_some_and(|id| id.as_bytes() != job.id.as_bytes());
    let unsigned = status.is_success() && !map.contains_key(headers::SIGNATURE);
    if foreign || unsigned || map.contains_key(CONTENT_ENCODING) {
        exchange.in_flight.set_outcome(Outcome::Failed);
        let err = anyhow::anyhow!("the answer is not one to this request");
        return Err(failed(job, &exchange.in_flight, AttemptError::Broken, &err));
    }
    let has_not_run =
        map.contains_key(headers::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if has_not_run {
        let err = judge_refusal(gateway, job, &mut exchange);
        return Err(failed(job, &exchange.in_flight, AttemptError::NotRun, &err));
    }
    if status.is_server_error() {
        return Err(server_error(gateway, job, exchange).await);
    }
    Ok(exchange)
}

/// Judges the target, or the helper at fault, of a request that was refused.
fn judge_refusal(gateway: &Gateway, job: &ClientRequest, exchange: &mut Exchange) -> anyhow::Error {
    let map = exchange.response.headers();
    let status = exchange.response.status();
    let text = |name| map.get(name).and_then(|value| value.to_str().ok());
    let has_room = text(headers::LOAD).and_then(headers::has_free_slot) == Some(true);
    let at_fault = text(headers::FAULTY_TARGET).and_then(headers::parse_faulty_target);
    let helper = at_fault.filter(|address| *address != exchange.in_flight.address);
    if let Some(helper) = helper {
        let now = gateway.clock.now();
        let mut targets = gateway.targets.borrow_mut();
        let known = targets.at_address(&job.service, helper);
        if let Some(id) = known.map(|target| target.facts.id.clone()) {
            let out = targets.record_outcome(&id, Outcome::Leaving, now);
            log_out(&id, Outcome::Leaving, out);
        }
        return anyhow::anyhow!("refused with {status}, helper {helper} is at fault");
    }
    let outcome = match status {
        // Another target has the address now.
        StatusCode::MISDIRECTED_REQUEST => Outcome::Leaving,
        StatusCode::SERVICE_UNAVAILABLE if has_room => Outcome::Leaving,
        _ => Outcome::Failed,
    };
    exchange.in_flight.set_outcome(outcome);
    anyhow::anyhow!("refused with {status}")
}

async fn server_error(
    gateway: &Rc<Gateway>,
    job: &ClientRequest,
    exchange: Exchange,
) -> AttemptError {
    let status = exchange.response.status();
    let (mut in_flight, read) = read_rest(gateway, job, exchange).await;
    in_flight.set_outcome(Outcome::Failed);
    match read {
        Ok(answer) => {
            let err = anyhow::anyhow!("answered {status}");
            failed(
                job,
                &in_flight,
                AttemptError::ErrorResponse(Box::new(answer)),
                &err,
            )
        }
        Err(Unread::Broken(err)) => failed(job, &in_flight, AttemptError::Broken, &err),
        Err(Unread::Late(err)) => failed(job, &in_flight, AttemptError::Silent, &err),
    }
}

fn failed(
    job: &ClientRequest,
    in_flight: &InFlightGuard,
    failure: AttemptError,
    err: &anyhow::Error,
) -> AttemptError {
    metrics::counter!("cyclamengauge_try_failures_total", "failure" => failure.name()).increment(1);
    job.trace.add(Step::TryFailed {
        target: in_flight.target.clone(),
        failure: failure.name(),
        cause: format!("{err:#}"),
        retries_left: in_flight.gateway.retries_left(&job.service),
    });
    failure
}

fn log_out(target: &EngineId, outcome: Outcome, out: Option<Duration>) {
    if let Some(out) = out {
        process::target_suspect(target, outcome.name(), out);
    }
}
