//! The attempts of one request: queueing, placement, retries and the final error.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, InstanceId},
    serving::{
        peers,
        placement::{self, EngineCount, Placement, PlacementError, PlacementRequest},
        queue::{self, EntryId, Patience},
        reachability::{Path, PeerChoice},
        targets::Targets,
    },
};
use http::{HeaderValue, Response};

use crate::{
    gateway::{
        Gateway,
        exchange::{self, AttemptError, ClientRequest, Exchange},
        handover::{self, Failure, Origin, Resumed, TakenOverGuard},
        paths,
        response_timeouts::{ResponseTimeouts, client_timeout},
        responses::GatewayError,
        target_limits,
    },
    http::BusyGuard,
    telemetry::trace::{self, PlacementDetails, RequestEnd, TraceEvent},
};

/// Largest number of attempts of a request that fail before the request is sent.
/// These don't count against the route's limit on attempts.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Shortest remaining time until the deadline for another attempt.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Time between two checks of a queued prompt if no load changes.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Shortest retry delay for a long prompt that the queue refused.
const MIN_OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Shortest retry delay for a request that found no free slot: about the time in
/// which a client opens a new connection.
const MIN_BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Shortest retry delay for a request whose targets can't be reached from any instance:
/// two rounds of probes. The delays are spread over the second duration, so that the
/// clients do not return all at once.
const MIN_UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
const UNREACHABLE_RETRY_SPREAD: Duration = Duration::from_millis(600);

/// Retry delay for a request that found no free slot, before the first served
/// request of its service.
const DEFAULT_BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Counts a request as in progress, and marks the client's connection as busy, until
/// dropped.
pub struct InProgressGuard {
    gateway: Rc<Gateway>,
    _busy: BusyGuard,
    /// For a request of a peer.
    _taken_over: Option<TakenOverGuard>,
}

impl InProgressGuard {
    /// Counts a request on the connection from `client`.
    pub fn new(gateway: &Rc<Gateway>, client: Option<SocketAddr>) -> Self {
        gateway
            .requests_in_progress
            .set(gateway.requests_in_progress.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
            _busy: gateway.connections.mark_busy(client),
            _taken_over: None,
        }
    }

    /// Counts a request of a peer.
    pub fn for_peer(gateway: &Rc<Gateway>, taken_over: TakenOverGuard) -> Self {
        let mut guard = Self::new(gateway, None);
        guard._taken_over = Some(taken_over);
        guard
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        let count = &self.gateway.requests_in_progress;
        count.set(count.get().saturating_sub(1));
    }
}

/// Entry in the long-prompt queue, removed on drop.
struct QueueEntry {
    gateway: Rc<Gateway>,
    id: EntryId,
}

impl QueueEntry {
    fn enqueue(gateway: &Rc<Gateway>, request: &ClientRequest, prefill_time: Duration) -> Self {
        let objective_at = request.arrived_at + request.route.objective;
        let id = gateway
            .queue
            .borrow_mut()
            .enqueue(objective_at, prefill_time);
        gateway.report_placement();
        Self {
            gateway: Rc::clone(gateway),
            id,
        }
    }

    fn is_next(&self, engines: EngineCount) -> bool {
        let now = self.gateway.clock.now();
        let queue = self.gateway.queue.borrow();
        queue.is_next(self.id, engines.usable, now)
    }

    fn expected_wait(&self, engines: EngineCount) -> Duration {
        let now = self.gateway.clock.now();
        let queue = self.gateway.queue.borrow();
        queue.expected_wait(self.id, engines.usable, engines.available, now)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.gateway.queue.borrow_mut().remove(self.id);
        self.gateway.report_placement();
    }
}

/// Final failure of a request.
#[derive(Debug)]
pub enum RequestError {
    /// The instance generates the error response.
    Gateway(GatewayError),
    /// The error response of the last target that returned one is forwarded.
    TargetResponse(Box<Response<Bytes>>),
}

/// State of one request over all its attempts.
pub struct Attempts {
    /// State of the daemon.
    pub gateway: Rc<Gateway>,
    /// Estimated time to the first event in the latest attempt.
    pub estimate: Duration,
    /// Whether the latest placement classifies the prompt as long.
    pub is_long: bool,
    /// Time from the arrival to the first event of a stream.
    time_to_first_event: Option<Duration>,
    /// Time of the latest event.
    last_event_at: Option<Instant>,
    /// Longest interval between two events.
    longest_gap: Option<Duration>,
    /// Targets of failed attempts, which get no further attempt.
    excluded: Vec<EngineId>,
    /// Peers that could not be handed the request, which get no further attempt.
    tried_peers: Vec<InstanceId>,
    /// Whether a peer has handed the request over.
    is_taken_over: bool,
    /// Whether the peer that has handed the request over may make another attempt.
    peer_may_retry: bool,
    sent_attempts: u32,
    unsent_attempts: u32,
    may_have_executed: bool,
    /// Latest error response of a target.
    error_response: Option<Box<Response<Bytes>>>,
}

impl Attempts {
    /// Creates the state of a request before its first attempt here.
    pub fn new(gateway: &Rc<Gateway>, origin: Option<&Origin>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            estimate: Duration::ZERO,
            is_long: false,
            time_to_first_event: None,
            last_event_at: origin.and_then(|origin| origin.last_event_at),
            longest_gap: None,
            excluded: origin.map_or_else(Vec::new, |origin| origin.excluded.clone()),
            tried_peers: Vec::new(),
            is_taken_over: origin.is_some(),
            peer_may_retry: origin.is_some_and(|origin| origin.may_retry),
            sent_attempts: 0,
            unsent_attempts: 0,
            may_have_executed: false,
            error_response: None,
        }
    }

    /// Whether another attempt is allowed if the current target fails after it may
    /// have executed the request.
    pub fn can_retry(&self, request: &ClientRequest) -> bool {
        request.route.kind.is_repeatable()
            && (self.sent_attempts < request.route.max_attempts || self.peer_may_retry)
    }

    /// Sends the request to one target after another until a response head arrives.
    ///
    /// # Errors
    ///
    /// If the request can't be placed, or the last allowed attempt fails.
    pub async fn open_exchange(
        &mut self,
        request: &ClientRequest,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Exchange, RequestError> {
        loop {
            if let Some(peer) = self.choose_peer(request).await? {
                match self.hand_over(request, &peer, last_event_id).await {
                    Ok(exchange) => return Ok(exchange),
                    Err(failure) => self.record_peer_failure(request, &peer, failure)?,
                }
                continue;
            }
            let placement = self.place_or_queue(request).await;
            let placement = placement.map_err(|error| self.with_return_time(request, error))?;
            // Crashes since the last attempt may have shown it.
            if self.gateway.has_refused_part(&request.shared_parts) {
                return Err(self.refused_part_error(request));
            }
            self.estimate = placement.estimate;
            self.is_long = placement.long;
            self.trace_placement(request, &placement);
            self.sent_attempts += 1;
            let timeouts = self.response_timeouts(request);
            let gateway = Rc::clone(&self.gateway);
            let sent = exchange::send(&gateway, request, &placement, last_event_id, timeouts).await;
            if let Some(origin) = &request.origin {
                let was_sent = sent.as_ref().err().is_none_or(AttemptError::was_sent);
                origin.was_sent.set(was_sent);
                origin.target.replace(Some(placement.target.clone()));
            }
            match sent {
                Ok(exchange) => return Ok(exchange),
                Err(error) => self.record_failure(request, &placement.target, error)?,
            }
        }
    }

    /// Chooses the peer that the next attempt is handed over to; none if this instance
    /// makes it. Waits while it is not known whether the targets can be reached.
    ///
    /// # Errors
    ///
    /// If no target can be reached.
    async fn choose_peer(
        &self,
        request: &ClientRequest,
    ) -> Result<Option<PeerChoice>, RequestError> {
        let gateway = &self.gateway;
        let mut has_waited = false;
        loop {
            let is_first = self.attempt_count() == 0;
            let path = {
                let settings = gateway.settings.borrow();
                gateway.reachability.borrow().path(
                    &request.service,
                    &settings.data_centre,
                    &self.tried_peers,
                    is_first || has_waited,
                    &mut gateway.rng.borrow_mut(),
                    gateway.clock.now(),
                )
            };
            match path {
                Path::Direct => return Ok(None),
                Path::Undecided => {
                    let (service, deadline) = (&request.service, request.deadline);
                    paths::wait_for_decision(gateway, service, deadline).await;
                    has_waited = true;
                }
                Path::Peer(peer) if !self.is_taken_over => return Ok(Some(peer)),
                // A request is handed over once.
                Path::Peer(_) | Path::Closed => return Err(self.unreachable_error(request)),
            }
        }
    }

    async fn hand_over(
        &mut self,
        request: &ClientRequest,
        peer: &PeerChoice,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Exchange, Failure> {
        self.sent_attempts += 1;
        let timeouts = ResponseTimeouts::for_peer(request, self);
        let gateway = Rc::clone(&self.gateway);
        let resumed = last_event_id.map(|after| Resumed {
            after,
            last_event_at: self.last_event_at,
        });
        handover::send(&gateway, request, peer, &self.excluded, resumed, timeouts).await
    }

    /// Records an attempt that was handed over and failed.
    ///
    /// # Errors
    ///
    /// If no other attempt is allowed.
    fn record_peer_failure(
        &mut self,
        request: &ClientRequest,
        peer: &PeerChoice,
        failure: Failure,
    ) -> Result<(), RequestError> {
        if failure.excludes_peer {
            self.tried_peers.push(peer.instance.clone());
        }
        if let AttemptError::Refused(error) = failure.error {
            self.sent_attempts -= 1;
            return Err(match self.may_have_executed {
                true => self.final_error(request),
                false => RequestError::Gateway(error),
            });
        }
        self.record_failure(request, &failure.target, failure.error)
    }

    fn unreachable_error(&self, request: &ClientRequest) -> RequestError {
        if self.may_have_executed {
            return self.final_error(request);
        }
        let mut reachability = self.gateway.reachability.borrow_mut();
        reachability.record_refusal(&request.service);
        let draw = self.gateway.rng.borrow_mut().f64();
        let delay = MIN_UNREACHABLE_RETRY_AFTER + UNREACHABLE_RETRY_SPREAD.mul_f64(draw);
        RequestError::Gateway(GatewayError::TargetsUnreachable(delay))
    }

    /// Records a failed attempt at `target`.
    ///
    /// # Errors
    ///
    /// If no other attempt is allowed.
    pub fn record_failure(
        &mut self,
        request: &ClientRequest,
        target: &EngineId,
        error: AttemptError,
    ) -> Result<(), RequestError> {
        self.excluded.push(target.clone());
        let is_repeatable = !error.may_have_executed() || request.route.kind.is_repeatable();
        self.may_have_executed |= error.may_have_executed();
        let was_sent = error.was_sent();
        if let AttemptError::ErrorResponse(response) = error {
            self.error_response = Some(response);
        }
        if !was_sent {
            self.sent_attempts -= 1;
            self.unsent_attempts += 1;
        }
        let has_time = self.gateway.clock.until(request.deadline) > MIN_RETRY_TIME;
        let has_attempts_left = self.sent_attempts < request.route.max_attempts
            && self.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        if !is_repeatable
            || !has_time
            || !has_attempts_left
            || (was_sent && !self.take_retry(request))
        {
            return Err(self.final_error(request));
        }
        Ok(())
    }

    /// Records the first event of a stream.
    pub fn record_first_event(&mut self, request: &ClientRequest) {
        let now = self.gateway.clock.now();
        self.time_to_first_event = Some(now - request.arrived_at);
        self.last_event_at = Some(now);
    }

    /// Records a further event of a stream.
    pub fn record_event(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(before) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(Some(now - before));
        }
    }

    /// Records that an engine wrote a stream to its end.
    pub fn record_written_stream(&self, request: &ClientRequest) {
        self.gateway.record_part_completion(&request.shared_parts);
    }

    /// Records that the client got a complete response, and whether it was on time.
    pub fn record_completion(&self, request: &ClientRequest) {
        let mut crashes = self.gateway.crashes.borrow_mut();
        crashes.record_completion(&request.fingerprint);
        let prompt = request.stream.as_ref().map(|stream| stream.prompt.get());
        let class = trace::request_class(prompt);
        if self.is_taken_over {
            // The peer that the client called counts it.
            self.end(request, "served", None);
            return;
        }
        let took = self.gateway.clock.now() - request.arrived_at;
        let time_to_first_event = self.time_to_first_event.unwrap_or(took);
        metrics::histogram!("cyclamengauge_request_seconds", "class" => class).record(took);
        metrics::histogram!("cyclamengauge_first_event_seconds", "class" => class)
            .record(time_to_first_event);
        if let Some(gap) = self.longest_gap {
            metrics::histogram!("cyclamengauge_longest_gap_seconds", "class" => class).record(gap);
        }
        metrics::histogram!("cyclamengauge_tries").record(f64::from(self.attempt_count()));
        let gap_objective = request.route.gap_objective;
        let is_gap_late = gap_objective.is_some_and(|limit| self.longest_gap > Some(limit));
        let outcome = match time_to_first_event > request.route.objective || is_gap_late {
            true => "late",
            false => "served",
        };
        self.end(request, outcome, None);
    }

    /// Records that an error response of a target was forwarded.
    pub fn record_error_response(&self, request: &ClientRequest, response: &Response<Bytes>) {
        self.gateway
            .crashes
            .borrow_mut()
            .record_completion(&request.fingerprint);
        self.end(request, "target-answered", Some(response.status().as_u16()));
    }

    /// Records that a stream broke and could not be resumed.
    pub fn record_cut_off(&self, request: &ClientRequest) {
        self.end(request, "cut-off", None);
    }

    fn end(&self, request: &ClientRequest, outcome: &'static str, status: Option<u16>) {
        request.trace.end(&RequestEnd {
            outcome,
            served_in_time: outcome == "served",
            status,
            first_event: self.time_to_first_event,
            longest_gap: self.longest_gap,
            retry_after: None,
        });
    }

    /// Number of attempts, sent or not.
    fn attempt_count(&self) -> u32 {
        self.sent_attempts + self.unsent_attempts
    }

    /// Sets the time at which a client can return that is refused since the limits of the
    /// targets are reached.
    fn with_return_time(&self, request: &ClientRequest, error: RequestError) -> RequestError {
        let RequestError::Gateway(GatewayError::TargetsAtLimit(wait)) = error else {
            return error;
        };
        let (gateway, service) = (&self.gateway, &request.service);
        request.trace.add(TraceEvent::AtLimit {
            targets: target_limits::describe_at_limit(gateway, service, &self.excluded),
            wait,
        });
        let delay = target_limits::take_retry_delay(gateway, service, &self.excluded, wait);
        RequestError::Gateway(GatewayError::TargetsAtLimit(delay))
    }

    /// Places the request. A long prompt waits in the queue first, unless its placement
    /// may skip the queue.
    async fn place_or_queue(&mut self, request: &ClientRequest) -> Result<Placement, RequestError> {
        let prefill_time = self
            .prefill_time(request)
            .filter(|time| *time >= queue::MIN_QUEUED_PREFILL_TIME);
        let Some(prefill_time) = prefill_time else {
            return self.place(request);
        };
        if let Ok(placement) = self.place(request)
            && placement.can_skip_queue
        {
            return Ok(placement);
        }
        let queued_at = self.gateway.clock.now();
        let patience = self.queue_patience(request);
        let entry = QueueEntry::enqueue(&self.gateway, request, prefill_time);
        request.trace.add(TraceEvent::Queued {
            expected_wait: entry.expected_wait(self.count_engines(request)),
            max_wait: patience.left(queued_at),
            peers: self.gateway.instance_count() - 1,
        });
        loop {
            if self.gateway.has_refused_part(&request.shared_parts) {
                return Err(self.refused_part_error(request));
            }
            let engines = self.count_engines(request);
            let wait = entry.expected_wait(engines);
            if patience.is_exhausted(wait, self.gateway.clock.now()) {
                return Err(self.overloaded_error(request, wait));
            }
            if entry.is_next(engines) {
                match self.place(request) {
                    Ok(placement) if placement.wait <= queue::MAX_DISPATCH_BACKLOG => {
                        let waited = self.gateway.clock.now() - queued_at;
                        metrics::histogram!("cyclamengauge_queue_seconds").record(waited);
                        return Ok(placement);
                    }
                    // Stays queued until other requests free memory or the backlog shrinks.
                    Ok(_) | Err(RequestError::Gateway(GatewayError::TargetsBusy(_))) => {}
                    Err(RequestError::Gateway(GatewayError::TargetsAtLimit(wait)))
                        if !patience.is_exhausted(wait, self.gateway.clock.now()) => {}
                    Err(error) => return Err(error),
                }
            }
            let changed = self.gateway.load_changed.notified();
            let _ = actix_rt::time::timeout(QUEUE_POLL_INTERVAL, changed).await;
        }
    }

    fn count_engines(&self, request: &ClientRequest) -> EngineCount {
        let now = self.gateway.clock.now();
        let targets = self.gateway.targets.borrow();
        let gap = request.stream.as_ref().map_or(Duration::ZERO, |s| s.gap);
        placement::count_engines(&targets, &request.service, gap, now)
    }

    /// How long the request may stay in the queue.
    fn queue_patience(&self, request: &ClientRequest) -> Patience {
        let (client_timeout, deadline) = (client_timeout(request), request.deadline);
        match self.last_event_at {
            Some(at) => Patience::of_stream_under_way(at, client_timeout, deadline),
            None => {
                let now = self.gateway.clock.now();
                Patience::of_new(request.arrived_at, client_timeout, deadline, now)
            }
        }
    }

    fn overloaded_error(&self, request: &ClientRequest, wait: Duration) -> RequestError {
        if self.sent_attempts > 0 {
            return self.final_error(request);
        }
        RequestError::Gateway(GatewayError::Overloaded(
            wait.max(MIN_OVERLOADED_RETRY_AFTER),
        ))
    }

    /// Prefill time of the prompt on one idle engine; none without a stream or an
    /// engine model.
    fn prefill_time(&self, request: &ClientRequest) -> Option<Duration> {
        let stream = request.stream.as_ref()?;
        let table = self.gateway.route_table()?;
        let model = table.service(&request.service)?.engine.as_ref()?;
        Some(model.prefill_time(stream.prompt))
    }

    fn place(&mut self, request: &ClientRequest) -> Result<Placement, RequestError> {
        let placement_request = PlacementRequest {
            service: request.service.clone(),
            data_centre: self.gateway.settings.borrow().data_centre.clone(),
            stream: request.stream.clone(),
            instances: self.gateway.instance_count(),
            unreported_streams: self.gateway.unreported_streams(),
            excluded: self.excluded.clone(),
        };
        let table = self.gateway.route_table();
        let service = table.as_ref().and_then(|t| t.service(&request.service));
        let model = service.and_then(|service| service.engine.as_ref());
        let now = self.gateway.clock.now();
        let targets = self.gateway.targets.borrow();
        let mut rng = self.gateway.rng.borrow_mut();
        let placed = placement::choose(&targets, &placement_request, model, &mut rng, now);
        placed.map_err(|error| {
            if let PlacementError::AtLimit(wait) = error
                && !self.may_have_executed
            {
                return RequestError::Gateway(GatewayError::TargetsAtLimit(wait));
            }
            if self.may_have_executed || self.sent_attempts > 0 {
                return self.final_error_for(request, &targets);
            }
            RequestError::Gateway(match error {
                PlacementError::NoTarget => GatewayError::NoTarget,
                PlacementError::AtLimit(wait) => GatewayError::TargetsAtLimit(wait),
                PlacementError::TooLong => GatewayError::PromptTooLong,
                PlacementError::NoMemory => self.busy_error(request, &targets),
            })
        })
    }

    fn final_error(&self, request: &ClientRequest) -> RequestError {
        self.final_error_for(request, &self.gateway.targets.borrow())
    }

    fn final_error_for(&self, request: &ClientRequest, targets: &Targets) -> RequestError {
        if let Some(response) = &self.error_response {
            return RequestError::TargetResponse(response.clone());
        }
        let is_past_deadline = self.gateway.clock.until(request.deadline).is_zero();
        RequestError::Gateway(match (self.may_have_executed, is_past_deadline) {
            (false, _) => self.busy_error(request, targets),
            (true, true) => GatewayError::TimedOut,
            (true, false) => GatewayError::TargetFailed,
        })
    }

    fn refused_part_error(&self, request: &ClientRequest) -> RequestError {
        match self.may_have_executed {
            true => self.final_error(request),
            false => RequestError::Gateway(GatewayError::PartCrashesEngines),
        }
    }

    fn busy_error(&self, request: &ClientRequest, targets: &Targets) -> GatewayError {
        let slot_wait = targets.expected_slot_wait(&request.service);
        GatewayError::TargetsBusy(
            slot_wait
                .unwrap_or(DEFAULT_BUSY_RETRY_AFTER)
                .max(MIN_BUSY_RETRY_AFTER),
        )
    }

    fn take_retry(&self, request: &ClientRequest) -> bool {
        let now = self.gateway.clock.now();
        let instances = self.gateway.instance_count();
        let mut retries = self.gateway.retry_budget.borrow_mut();
        retries.try_take(&request.service, instances, now)
    }

    /// Time limits for the response head. Engines send the head with the first event.
    fn response_timeouts(&self, request: &ClientRequest) -> ResponseTimeouts {
        match request.stream {
            Some(_) => ResponseTimeouts::for_first_event(request, self),
            None => ResponseTimeouts::for_plain(request, self),
        }
    }

    fn trace_placement(&self, request: &ClientRequest, placement: &Placement) {
        let now = self.gateway.clock.now();
        let targets = self.gateway.targets.borrow();
        let load = targets.load(&placement.target, now);
        let target = targets.get(&placement.target);
        let peers = self.gateway.instance_count() - 1;
        let at_limit = targets
            .at_limit(&request.service, &self.excluded, now)
            .len() as u64;
        if at_limit > 0 {
            let service = request.service.to_string();
            metrics::counter!("cyclamengauge_limit_diversions_total", "service" => service)
                .increment(1);
        }
        request
            .trace
            .add(TraceEvent::Placed(Box::new(PlacementDetails {
                target: placement.target.clone(),
                helpers: placement.helpers.len() as u64,
                estimate: placement.estimate,
                wait: placement.wait,
                target_requests: load.requests,
                target_failure_rate: target.map_or(0.0, |target| target.failure_rate(now)),
                runners_up: runners_up(placement),
                excluded: self.excluded.len() as u64,
                at_limit,
                list_age: self.gateway.target_list_age(),
                peers,
                peer_load_age: peers::expected_gossip_age(peers),
            })));
    }
}

fn runners_up(placement: &Placement) -> String {
    let others = placement.runners_up.iter();
    let others = others.map(|other| format!("{} +{:.2}", other.target, other.excess_cost));
    others.collect::<Vec<_>>().join(", ")
}
