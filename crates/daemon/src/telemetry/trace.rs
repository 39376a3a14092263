//! Log lines of single requests.
//!
//! The events of a request are kept until the request ends. All of them are logged
//! if the request failed, was refused, was late or needed more than one attempt, and
//! for a sample of the other requests. The target of each attempt is logged in a
//! summary every second, so that the placements survive a kill of the process.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, InstanceId, PromptPartId, ServiceId},
    text::SmolStr,
    units::Tokens,
};

use crate::{
    node::{self, Clock},
    telemetry::process_events::{self, millis},
};

/// Events kept per request, enough for several attempts at each of its targets.
const MAX_EVENTS: usize = 40;

/// One in this many requests that were served in time on the first attempt is
/// logged with all its events.
const SAMPLE_INTERVAL: u64 = 32;

/// Event lines per second of all logged requests. A request beyond the limit has
/// only its last line, which counts the lines that are missing.
const MAX_EVENT_LINES_PER_S: u32 = 500;

/// Last lines of requests per second. Requests beyond the limit appear only in the
/// metrics.
const MAX_END_LINES_PER_S: u32 = 500;

/// Size at which a summary of placements is logged before its second is over. A pipe
/// takes lines up to this size whole or not at all.
const MAX_PLACEMENTS_BYTES: usize = 3_000;

/// Class of a request whose route is not known.
const UNKNOWN_CLASS: &str = "unknown";

/// Class of a request in the metrics, by the length of its prompt in tokens.
/// Requests without a prompt length are `plain`.
pub fn request_class(prompt_tokens: Option<u64>) -> &'static str {
    prompt_tokens.map_or("plain", super::length_class)
}

/// An event in the processing of a request.
#[derive(Clone, Debug)]
pub enum TraceEvent {
    /// The route and the account are known and the body has arrived completely.
    Received {
        /// Name of the route.
        route: SmolStr,
        /// Service to which the route leads.
        service: ServiceId,
        /// Account of the client, or `None` if the route is public.
        account: Option<AccountId>,
        /// Digest of path, account and body.
        fingerprint: String,
        /// Parts of the prompt that other prompts may share.
        shared_parts: Vec<PromptPartId>,
        /// Length of the prompt, if the response is a stream.
        prompt_tokens: Option<u64>,
        /// Time until the deadline of the request.
        time_to_deadline: Duration,
        /// Version of the configuration that routed the request.
        configuration_version: u64,
        /// Time since this instance applied that configuration.
        configuration_age: Duration,
    },
    /// A long prompt was queued.
    Queued {
        /// Expected time in the queue.
        expected_wait: Duration,
        /// Time in the queue after which the request is refused.
        max_wait: Duration,
        /// Number of peers whose queues are known.
        peers: u32,
    },
    /// A target was chosen.
    Placed(Box<PlacementDetails>),
    /// The limits of all usable targets are reached.
    AtLimit {
        /// These targets and their limits.
        targets: String,
        /// Time until the first limit allows another request.
        wait: Duration,
    },
    /// The request was handed over to a peer, as this instance reaches no target.
    HandedOver {
        /// The peer.
        peer: InstanceId,
    },
    /// The request was taken over from a peer that reaches no target.
    TakenOver {
        /// The peer.
        sender: InstanceId,
        /// Service of the request.
        service: ServiceId,
        /// Time until the client's deadline.
        time_to_deadline: Duration,
        /// Version of the configuration by which the peer has accepted the request.
        configuration_version: u64,
    },
    /// Memory was reserved on the helpers.
    Reserved {
        /// Number of engines with a reservation.
        engines: u64,
        /// Total memory over all engines.
        memory: Tokens,
        /// Time to make all reservations.
        took: Duration,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Target of the attempt.
        target: EngineId,
        /// Stable name of the failure.
        failure: &'static str,
        /// Error text.
        cause: String,
        /// Retries that the retry budget still allows this instance for the service.
        retries_left: u64,
    },
    /// A stream broke after its first event.
    StreamBroke {
        /// Engine that sent the stream.
        target: EngineId,
        /// Id of the last event that was forwarded to the client.
        last_event_id: Option<u64>,
        /// Error text.
        cause: String,
    },
    /// Another engine resumed a stream.
    Resumed {
        /// Engine that resumed the stream.
        target: EngineId,
        /// Id of the event after which the stream was resumed.
        last_event_id: u64,
    },
}

/// A chosen target and the figures behind the choice.
#[derive(Clone, Debug)]
pub struct PlacementDetails {
    /// The chosen target.
    pub target: EngineId,
    /// Number of engines that help to prefill the prompt.
    pub helpers: u64,
    /// Expected time to the first event.
    pub estimate: Duration,
    /// Part of the estimate before the prefill starts.
    pub wait: Duration,
    /// In-flight requests of all instances at the target.
    pub target_requests: u32,
    /// Share of the target's latest requests that failed, from 0 to 1.
    pub target_failure_rate: f64,
    /// The next cheapest targets and their additional costs over the chosen target.
    pub runners_up: String,
    /// Number of targets excluded from the choice because an earlier attempt at them
    /// failed.
    pub excluded: u64,
    /// Number of targets excluded because their limits are reached.
    pub at_limit: u64,
    /// Age of the target list.
    pub list_age: Option<Duration>,
    /// Number of peers whose loads are known.
    pub peers: u32,
    /// Typical age of the peers' loads.
    pub peer_load_age: Duration,
}

/// End of a request.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// Stable name of the outcome.
    pub outcome: &'static str,
    /// Whether the client received the complete response in time.
    pub served_in_time: bool,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Longest interval between two events of a stream.
    pub longest_gap: Option<Duration>,
    /// Delay after which the client may retry.
    pub retry_after: Option<Duration>,
}

impl RequestEnd {
    /// The end of a request that got no response.
    pub fn without_response(outcome: &'static str) -> Self {
        Self {
            outcome,
            served_in_time: false,
            status: None,
            first_event: None,
            longest_gap: None,
            retry_after: None,
        }
    }
}

/// Rate limit on log lines, counted in windows of one second.
#[derive(Clone, Copy, Debug, Default)]
struct LineBudget {
    window_start: Instant,
    used_lines: u32,
}

impl LineBudget {
    fn try_take(&mut self, lines: u32, limit: u32, now: Instant) -> bool {
        if now - self.window_start >= Duration::from_secs(1) {
            *self = Self {
                window_start: now,
                used_lines: 0,
            };
        }
        let allowed = self.used_lines + lines <= limit;
        if allowed {
            self.used_lines += lines;
        }
        allowed
    }
}

/// Request log of one process.
#[derive(Debug)]
pub struct RequestLog {
    clock: Clock,
    event_lines: Cell<LineBudget>,
    end_lines: Cell<LineBudget>,
    /// Requests that were served in time on the first attempt.
    sampled_requests: Cell<u64>,
    /// Placements since the last summary, as pairs `REQUEST>TARGET`.
    placements: RefCell<String>,
}

impl RequestLog {
    /// Creates an empty log.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            event_lines: Cell::default(),
            end_lines: Cell::default(),
            sampled_requests: Cell::new(0),
            placements: RefCell::default(),
        }
    }

    /// Logs the requests and targets placed since the last call, if there are any.
    pub fn write_placements(&self) {
        let placements = self.placements.take();
        if !placements.is_empty() {
            process_events::log_placements(&placements);
        }
    }

    fn add_placement(&self, request: &str, target: &EngineId) {
        let mut placements = self.placements.borrow_mut();
        if !placements.is_empty() {
            placements.push(' ');
        }
        placements.push_str(request);
        placements.push('>');
        placements.push_str(target.as_str());
        let is_full = placements.len() >= MAX_PLACEMENTS_BYTES;
        drop(placements);
        if is_full {
            self.write_placements();
        }
    }

    fn try_take(budget: &Cell<LineBudget>, lines: u32, limit: u32, now: Instant) -> bool {
        let mut state = budget.get();
        let allowed = state.try_take(lines, limit, now);
        budget.set(state);
        allowed
    }

    /// Counts a request that was served in time on the first attempt, and returns
    /// whether it belongs to the sample.
    fn sample(&self) -> bool {
        let count = self.sampled_requests.get();
        self.sampled_requests.set(count + 1);
        count.is_multiple_of(SAMPLE_INTERVAL)
    }
}

/// Events of one request.
///
/// A trace that is dropped before [`Trace::end`] ends with the outcome
/// `caller-left`: the server drops the handler when the client disconnects.
#[derive(Debug)]
pub struct Trace {
    log: Rc<RequestLog>,
    id: SmolStr,
    arrived_at: Instant,
    arrived_unix_ms: u64,
    events: RefCell<Vec<(Instant, TraceEvent)>>,
    /// Events beyond [`MAX_EVENTS`], which were not kept.
    dropped_events: Cell<u64>,
    /// Number of targets that were chosen.
    attempts: Cell<u64>,
    /// Whether a peer has handed the request over, and counts it.
    is_taken_over: bool,
    /// Class of the request in the metrics.
    class: Cell<&'static str>,
    ended: Cell<bool>,
}

impl Trace {
    /// Creates the trace of a request that has just arrived.
    pub fn begin(log: &Rc<RequestLog>, id: SmolStr) -> Rc<Self> {
        Self::new(log, id, false)
    }

    /// Creates the trace of a request that a peer has handed over.
    pub fn begin_taken_over(log: &Rc<RequestLog>, id: SmolStr) -> Rc<Self> {
        Self::new(log, id, true)
    }

    fn new(log: &Rc<RequestLog>, id: SmolStr, is_taken_over: bool) -> Rc<Self> {
        Rc::new(Self {
            id,
            arrived_at: log.clock.now(),
            arrived_unix_ms: node::unix_ms(),
            log: Rc::clone(log),
            events: RefCell::default(),
            dropped_events: Cell::new(0),
            attempts: Cell::new(0),
            is_taken_over,
            class: Cell::new(UNKNOWN_CLASS),
            ended: Cell::new(false),
        })
    }

    /// Adds an event with the current time.
    pub fn add(&self, event: TraceEvent) {
        if let TraceEvent::Placed(placement) = &event {
            self.log.add_placement(&self.id, &placement.target);
            self.attempts.set(self.attempts.get() + 1);
        }
        if let TraceEvent::HandedOver { .. } = &event {
            self.attempts.set(self.attempts.get() + 1);
        }
        if let TraceEvent::Received { prompt_tokens, .. } = &event {
            self.class.set(request_class(*prompt_tokens));
        }
        let mut events = self.events.borrow_mut();
        if events.len() < MAX_EVENTS {
            events.push((self.log.clock.now(), event));
        } else {
            self.dropped_events.set(self.dropped_events.get() + 1);
        }
    }

    /// Ends the request: counts the outcome and logs the events that are due. Later
    /// calls have no effect.
    pub fn end(&self, end: &RequestEnd) {
        if self.ended.replace(true) {
            return;
        }
        match self.is_taken_over {
            true => metrics::counter!("cyclamengauge_taken_over_total", "outcome" => end.outcome),
            false => metrics::counter!(
                "cyclamengauge_requests_total",
                "outcome" => end.outcome,
                "class" => self.class.get()
            ),
        }
        .increment(1);
        let now = self.log.clock.now();
        let events = self.events.take();
        let first_attempt_in_time = end.served_in_time && self.attempts.get() <= 1;
        if first_attempt_in_time && !self.log.sample() {
            return;
        }
        let lines = events.len() as u32;
        let mut dropped_lines = self.dropped_events.get();
        if RequestLog::try_take(&self.log.event_lines, lines, MAX_EVENT_LINES_PER_S, now) {
            for (at, event) in &events {
                self.write_event(self.unix_ms(*at), event);
            }
        } else {
            dropped_lines += u64::from(lines);
            count_dropped_lines(lines);
        }
        if RequestLog::try_take(&self.log.end_lines, 1, MAX_END_LINES_PER_S, now) {
            self.write_end(end, now, dropped_lines);
        } else {
            count_dropped_lines(1);
        }
    }

    fn unix_ms(&self, at: Instant) -> u64 {
        self.arrived_unix_ms + millis(at - self.arrived_at)
    }

    fn write_event(&self, at_unix_ms: u64, event: &TraceEvent) {
        let request = self.id.as_str();
        match event {
            TraceEvent::Received {
                route,
                service,
                account,
                fingerprint,
                shared_parts,
                prompt_tokens,
                time_to_deadline,
                configuration_version,
                configuration_age,
            } => tracing::info!(
                event = "received",
                request,
                at_unix_ms,
                %route,
                %service,
                account = account.as_ref().map(AccountId::as_str),
                content = fingerprint,
                shared_parts = process_events::join_parts(shared_parts),
                prompt_tokens,
                left_ms = millis(*time_to_deadline),
                configuration_version,
                configuration_age_ms = millis(*configuration_age),
                "request: {request} received on route {route} for service {service}"
            ),
            TraceEvent::Queued {
                expected_wait,
                max_wait,
                peers,
            } => tracing::info!(
                event = "queued",
                request,
                at_unix_ms,
                wait_ms = millis(*expected_wait),
                latest_ms = millis(*max_wait),
                peers,
                "route: {request} queued as a long prompt, expected wait {} ms",
                expected_wait.as_millis()
            ),
            TraceEvent::Placed(placement) => write_placed(request, at_unix_ms, placement),
            TraceEvent::AtLimit { targets, wait } => tracing::info!(
                event = "at-limit",
                request,
                at_unix_ms,
                targets,
                wait_ms = millis(*wait),
                "route: {request} not placed, the limits of its targets are reached: {targets}"
            ),
            TraceEvent::HandedOver { peer } => tracing::info!(
                event = "handed-over",
                request,
                at_unix_ms,
                %peer,
                "route: {request} handed over to {peer}, no target can be reached"
            ),
            TraceEvent::TakenOver {
                sender,
                service,
                time_to_deadline,
                configuration_version,
            } => tracing::info!(
                event = "taken-over",
                request,
                at_unix_ms,
                %sender,
                %service,
                left_ms = millis(*time_to_deadline),
                configuration_version,
                "request: {request} taken over from {sender} for service {service}"
            ),
            TraceEvent::Reserved {
                engines,
                memory,
                took,
            } => tracing::info!(
                event = "reserved",
                request,
                at_unix_ms,
                engines,
                memory_tokens = memory.get(),
                took_ms = millis(*took),
                "route: reserved {memory} for {request} on {engines} engines"
            ),
            TraceEvent::AttemptFailed {
                target,
                failure,
                cause,
                retries_left,
            } => tracing::info!(
                event = "try-failed",
                request,
                at_unix_ms,
                %target,
                failure,
                cause,
                retries_left,
                "request: attempt of {request} at {target} failed, {failure}: {cause}"
            ),
            TraceEvent::StreamBroke {
                target,
                last_event_id,
                cause,
            } => tracing::info!(
                event = "stream-broke",
                request,
                at_unix_ms,
                %target,
                last_event = last_event_id,
                cause,
                "request: stream of {request} from {target} broke: {cause}"
            ),
            TraceEvent::Resumed {
                target,
                last_event_id,
            } => tracing::info!(
                event = "resumed",
                request,
                at_unix_ms,
                %target,
                last_event = last_event_id,
                "request: {request} resumed at {target} after event {last_event_id}"
            ),
        }
    }

    fn write_end(&self, end: &RequestEnd, now: Instant, dropped_lines: u64) {
        let request = self.id.as_str();
        let outcome = end.outcome;
        tracing::info!(
            event = "ended",
            request,
            at_unix_ms = self.unix_ms(now),
            outcome,
            status = end.status,
            took_ms = millis(now - self.arrived_at),
            first_event_ms = end.first_event.map(millis),
            longest_gap_ms = end.longest_gap.map(millis),
            tries = self.attempts.get(),
            retry_after_ms = end.retry_after.map(millis),
            left_out = dropped_lines,
            "request: {request} ended, {outcome}"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(&RequestEnd::without_response("caller-left"));
        }
    }
}

fn write_placed(request: &str, at_unix_ms: u64, placement: &PlacementDetails) {
    tracing::info!(
        event = "placed",
        request,
        at_unix_ms,
        target = %placement.target,
        helpers = placement.helpers,
        estimate_ms = millis(placement.estimate),
        wait_ms = millis(placement.wait),
        target_requests = placement.target_requests,
        target_failing = placement.target_failure_rate,
        runners_up = placement.runners_up,
        excluded = placement.excluded,
        at_limit = placement.at_limit,
        list_age_ms = placement.list_age.map(millis),
        peers = placement.peers,
        news_age_ms = millis(placement.peer_load_age),
        "route: {request} placed on {}",
        placement.target
    );
}

fn count_dropped_lines(lines: u32) {
    metrics::counter!("cyclamengauge_log_lines_dropped_total").increment(u64::from(lines));
}
