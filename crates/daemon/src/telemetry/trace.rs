//! The log lines of single requests.
//!
//! A request's lines are kept until its end is known. They are written in full if
//! it failed, was refused, was late or needed more than one try, and for a sample
//! of the others. Which target each request went to is summed up every second, so
//! that a process that is killed leaves at least that.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    ids::{AccountId, EngineId, ServiceId},
    text::SmolStr,
    units::Tokens,
};

use crate::{
    node::{self, Clock},
    telemetry::process_events::{self, millis},
};

/// Lines that are kept of one request: several tries at each of its targets.
const MAX_STEPS: usize = 40;

/// One request of so many that went well is written in full.
const SAMPLE: u64 = 32;

/// Lines in one second about requests that did not go well. A request beyond that
/// has its last line only, which counts the others.
const LINES_PER_S: u32 = 500;

/// Last lines in one second; beyond that requests are only counted.
const ENDS_PER_S: u32 = 500;

/// Bytes of placements after which they are written before the second is over:
/// lines up to this size are written whole or not at all.
const MAX_PLACED_BYTES: usize = 3_000;

/// Class of a request whose route is not known.
const UNKNOWN_CLASS: &str = "unknown";

/// Class of a request in the metrics, by the length of its prompt.
pub fn class(prompt_tokens: Option<u64>) -> &'static str {
    prompt_tokens.map_or("plain", super::length_class)
}

/// A decision about a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Route and account are known and the body is whole.
    Received {
        /// Its route.
        route: SmolStr,
        /// Service that answers.
        service: ServiceId,
        /// Account of the caller, unless the route is public.
        account: Option<AccountId>,
        /// Digest of path, account and body.
        content: String,
        /// Length of a stream's prompt.
        prompt_tokens: Option<u64>,
        /// Time until its deadline.
        left: Duration,
        /// The configuration by which it was routed.
        configuration_version: u64,
        /// Time since that came into force here.
        configuration_age: Duration,
    },
    /// A long prompt waits for its turn.
    Queued {
        /// Expected time until its turn.
        wait: Duration,
        /// Longest wait before it is refused.
        latest: Duration,
        /// Instances whose queues are known.
        peers: u32,
    },
    /// A target was chosen.
    Placed(Box<Placed>),
    /// Memory was reserved on helpers.
    Reserved {
        /// Number of engines.
        engines: u64,
        /// Memory on all of them.
        memory: Tokens,
        /// Time that it took.
        took: Duration,
    },
    /// A try failed.
    TryFailed {
        /// The target.
        target: EngineId,
        /// How it failed.
        failure: &'static str,
        /// What was seen.
        cause: String,
        /// Retries that this instance may still make for the service.
        retries_left: u64,
    },
    /// A stream broke after its first event.
    StreamBroke {
        /// The engine.
        target: EngineId,
        /// Id of the last event that was passed on.
        last_event: Option<u64>,
        /// What was seen.
        cause: String,
    },
    /// Another engine goes on with a stream.
    Resumed {
        /// The engine.
        target: EngineId,
        /// Id of the event after which it goes on.
        last_event: u64,
    },
}

/// The choice of a target, with what decided it.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The target.
    pub target: EngineId,
    /// Engines that help to read the prompt.
    pub helpers: u64,
    /// Expected time to the first event.
    pub estimate: Duration,
    /// Part of it before the prompt is read.
    pub wait: Duration,
    /// Requests there of all instances.
    pub target_requests: u32,
    /// Share of its latest requests that the target failed.
    pub target_failing: f64,
    /// The next cheapest targets, with their costs above the chosen one's.
    pub runners_up: String,
    /// Targets that were left out as they had the request.
    pub excluded: u64,
    /// Age of the list of targets.
    pub list_age: Option<Duration>,
    /// Instances whose loads are known.
    pub peers: u32,
    /// Usual age of their loads.
    pub news_age: Duration,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct End {
    /// Stable name of the outcome.
    pub outcome: &'static str,
    /// Whether the caller had the whole answer in time.
    pub good: bool,
    /// Status that the caller got.
    pub status: Option<u16>,
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Longest pause between two events of a stream.
    pub longest_gap: Option<Duration>,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl End {
    /// An end without an answer.
    pub fn without_answer(outcome: &'static str) -> Self {
        Self {
            outcome,
            good: false,
            status: None,
            first_event: None,
            longest_gap: None,
            retry_after: None,
        }
    }
}

/// How much may be written in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    since: Instant,
    used: u32,
}

impl Budget {
    fn take(&mut self, lines: u32, limit: u32, now: Instant) -> bool {
        if now - self.since >= Duration::from_secs(1) {
            *self = Self {
                since: now,
                used: 0,
            };
        }
        let allowed = self.used + lines <= limit;
        if allowed {
            self.used += lines;
        }
        allowed
    }
}

/// The request lines of one process.
#[derive(Debug)]
pub struct RequestLog {
    clock: Clock,
    lines: Cell<Budget>,
    ends: Cell<Budget>,
    served: Cell<u64>,
    placed: RefCell<String>,
}

impl RequestLog {
    /// Creates a log without lines.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            lines: Cell::default(),
            ends: Cell::default(),
            served: Cell::new(0),
            placed: RefCell::default(),
        }
    }

    /// Writes which requests went to which targets since the last time.
    pub fn write_placements(&self) {
        let placed = self.placed.take();
        if !placed.is_empty() {
            process_events::log_placements(&placed);
        }
    }

    fn note_placed(&self, request: &str, target: &EngineId) {
        let mut placed = self.placed.borrow_mut();
        if !placed.is_empty() {
            placed.push(' ');
        }
        placed.push_str(request);
        placed.push('>');
        placed.push_str(target.as_str());
        let full = placed.len() >= MAX_PLACED_BYTES;
        drop(placed);
        if full {
            self.write_placements();
        }
    }

    fn take(budget: &Cell<Budget>, lines: u32, limit: u32, now: Instant) -> bool {
        let mut state = budget.get();
        let allowed = state.take(lines, limit, now);
        budget.set(state);
        allowed
    }

    fn is_sample(&self) -> bool {
        let served = self.served.get();
        self.served.set(served + 1);
        served.is_multiple_of(SAMPLE)
    }
}

/// The lines of one request. Dropped without an end, its caller went away.
#[derive(Debug)]
pub struct Trace {
    log: Rc<RequestLog>,
    id: SmolStr,
    arrived_at: Instant,
    arrived_unix_ms: u64,
    steps: RefCell<Vec<(Instant, Step)>>,
    left_out: Cell<u64>,
    /// Targets that were asked.
    tries: Cell<u64>,
    /// Class of the request in the metrics.
    class: Cell<&'static str>,
    ended: Cell<bool>,
}

impl Trace {
    /// Begins with the arrival of a request.
    pub fn begin(log: &Rc<RequestLog>, id: SmolStr) -> Rc<Self> {
        Rc::new(Self {
            id,
            arrived_at: log.clock.now(),
            arrived_unix_ms: node::unix_ms(),
            log: Rc::clone(log),
            steps: RefCell::default(),
            left_out: Cell::new(0),
            tries: Cell::new(0),
            class: Cell::new(UNKNOWN_CLASS),
            ended: Cell::new(false),
        })
    }

    /// Adds a decision.
    pub fn add(&self, step: Step) {
        if let Step::Placed(placed) = &step {
            self.log.note_placed(&self.id, &placed.target);
            self.tries.set(self.tries.get() + 1);
        }
        if let Step::Received { prompt_tokens, .. } = &step {
            self.class.set(class(*prompt_tokens));
        }
        let mut steps = self.steps.borrow_mut();
        if steps.len() < MAX_STEPS {
            steps.push((self.log.clock.now(), step));
        } else {
            self.left_out.set(self.left_out.get() + 1);
        }
    }

    /// Ends the request; later ends are ignored.
    pub fn end(&self, end: &End) {
        if self.ended.replace(true) {
            return;
        }
        metrics::counter!(
            "cyclamengauge_requests_total",
            "outcome" => end.outcome,
            "class" => self.class.get()
        )
        .increment(1);
        let now = self.log.clock.now();
        let steps = self.steps.take();
        let plain = end.good && self.tries.get() <= 1;
        if plain && !self.log.is_sample() {
            return;
        }
        let lines = steps.len() as u32;
        let mut left_out = self.left_out.get();
        if RequestLog::take(&self.log.lines, lines, LINES_PER_S, now) {
            for (at, step) in &steps {
                self.write(self.unix_ms(*at), step);
            }
        } else {
            left_out += u64::from(lines);
            dropped(lines);
        }
        if RequestLog::take(&self.log.ends, 1, ENDS_PER_S, now) {
            self.write_end(end, now, left_out);
        } else {
            dropped(1);
        }
    }

    fn unix_ms(&self, at: Instant) -> u64 {
        self.arrived_unix_ms + millis(at - self.arrived_at)
    }

    fn write(&self, at_unix_ms: u64, step: &Step) {
        let request = self.id.as_str();
        match step {
            Step::Received {
                route,
                service,
                account,
                content,
                prompt_tokens,
                left,
                configuration_version,
                configuration_age,
            } => tracing::info!(
                event = "received",
                request,
                at_unix_ms,
                %route,
                %service,
                account = account.as_ref().map(AccountId::as_str),
                content,
                prompt_tokens,
                left_ms = millis(*left),
                configuration_version,
                configuration_age_ms = millis(*configuration_age),
                "request: {request} on route {route} for {service}"
            ),
            Step::Queued {
                wait,
                latest,
                peers,
            } => tracing::info!(
                event = "queued",
                request,
                at_unix_ms,
                wait_ms = millis(*wait),
                latest_ms = millis(*latest),
                peers,
                "route: {request} waits for its turn, {} ms expected",
                wait.as_millis()
            ),
            Step::Placed(placed) => write_placed(request, at_unix_ms, placed),
            Step::Reserved {
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
                "route: {request} has {memory} reserved on {engines} engines"
            ),
            Step::TryFailed {
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
                "request: {request} at {target}: {failure}: {cause}"
            ),
            Step::StreamBroke {
                target,
                last_event,
                cause,
            } => tracing::info!(
                event = "stream-broke",
                request,
                at_unix_ms,
                %target,
                last_event,
                cause,
                "request: {request}: the stream from {target} broke: {cause}"
            ),
            Step::Resumed { target, last_event } => tracing::info!(
                event = "resumed",
                request,
                at_unix_ms,
                %target,
                last_event,
                "request: {request} goes on at {target} after event {last_event}"
            ),
        }
    }

    fn write_end(&self, end: &End, now: Instant, left_out: u64) {
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
            tries = self.tries.get(),
            retry_after_ms = end.retry_after.map(millis),
            left_out,
            "request: {request} ended, {outcome}"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(&End::without_answer("caller-left"));
        }
    }
}

fn write_placed(request: &str, at_unix_ms: u64, placed: &Placed) {
    tracing::info!(
        event = "placed",
        request,
        at_unix_ms,
        target = %placed.target,
        helpers = placed.helpers,
        estimate_ms = millis(placed.estimate),
        wait_ms = millis(placed.wait),
        target_requests = placed.target_requests,
        target_failing = placed.target_failing,
        runners_up = placed.runners_up,
        excluded = placed.excluded,
        list_age_ms = placed.list_age.map(millis),
        peers = placed.peers,
        news_age_ms = millis(placed.news_age),
        "route: {request} to {}",
        placed.target
    );
}

fn dropped(lines: u32) {
    metrics::counter!("cyclamengauge_log_lines_dropped_total").increment(u64::from(lines));
}
