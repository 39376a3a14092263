//! The attempts of one request: the choice of who makes them, retries and the final error.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, InstanceId},
    serving::{
        reachability::{Path, PeerChoice},
        targets::Targets,
    },
};
use http::{HeaderValue, Response};

use crate::{
    gateway::{
        Gateway,
        attempt::{self, AttemptError, ClientRequest, Exchange, Outlook, ResponseTimeouts, paths},
        handover::{self, Failure, Origin, Resumed},
        memory::HeldBody,
        response::GatewayError,
        target_limits, target_notices,
    },
    telemetry::trace::{self, RequestEnd, TraceEvent},
};

/// Largest number of attempts of a request that fail before the request is sent.
/// These don't count against the route's limit on attempts. Enough to find a sound target
/// while half of them refuse connections.
const MAX_UNSENT_ATTEMPTS: u32 = 12;

/// Shortest remaining time until the deadline for another attempt.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

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

/// Final failure of a request.
#[derive(Debug)]
pub enum RequestError {
    /// The instance generates the error response.
    Gateway(GatewayError),
    /// The error response of the last target that returned one is forwarded.
    TargetResponse(Box<Response<HeldBody>>),
}

/// State of one request over all its attempts.
pub struct Attempts {
    /// State of the daemon.
    pub gateway: Rc<Gateway>,
    /// Estimated time to the first event in the latest attempt.
    estimate: Duration,
    /// Whether the latest placement classifies the prompt as long.
    is_long: bool,
    /// Time from the arrival to the first event of a stream.
    time_to_first_event: Option<Duration>,
    /// Time of the latest event.
    pub last_event_at: Option<Instant>,
    /// Longest interval between two events.
    longest_gap: Option<Duration>,
    /// Targets of failed attempts, which get no further attempt.
    pub excluded: Vec<EngineId>,
    /// Peers that could not be handed the request, which get no further attempt.
    tried_peers: Vec<InstanceId>,
    /// Where the request comes from if a peer has handed it over.
    origin: Option<Rc<Origin>>,
    /// Attempts that were sent to a target.
    pub sent_attempts: u32,
    unsent_attempts: u32,
    /// Whether a target may have executed the request.
    pub may_have_executed: bool,
    /// Latest error response of a target.
    error_response: Option<Box<Response<HeldBody>>>,
}

impl Attempts {
    /// Creates the state of a request before its first attempt here.
    pub fn new(gateway: &Rc<Gateway>, origin: Option<Rc<Origin>>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            estimate: Duration::ZERO,
            is_long: false,
            time_to_first_event: None,
            last_event_at: origin.as_ref().and_then(|origin| origin.last_event_at),
            longest_gap: None,
            excluded: origin
                .as_ref()
                .map_or_else(Vec::new, |origin| origin.excluded.clone()),
            tried_peers: Vec::new(),
            origin,
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
            && (self.sent_attempts < request.route.max_attempts || self.may_peer_retry())
    }

    /// What is known of the current attempt for its time limits.
    pub fn outlook(&self, request: &ClientRequest) -> Outlook {
        Outlook {
            estimate: self.estimate,
            is_long: self.is_long,
            can_retry: self.can_retry(request),
            is_taken_over: self.origin.is_some(),
        }
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
            request.may_run.set(self.may_have_executed);
            if let Some(peer) = self.choose_peer(request).await? {
                self.check_shutdown(Duration::ZERO)?;
                request.may_run.set(true);
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
            self.check_shutdown(placement.estimate)?;
            request.may_run.set(true);
            self.estimate = placement.estimate;
            self.is_long = placement.long;
            self.trace_placement(request, &placement);
            self.sent_attempts += 1;
            let timeouts = self.response_timeouts(request);
            let gateway = Rc::clone(&self.gateway);
            let sent = attempt::send(&gateway, request, &placement, last_event_id, timeouts).await;
            if let Some(origin) = &self.origin {
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

    /// Checks that a response which begins after `estimate` comes before this process ends.
    ///
    /// # Errors
    ///
    /// If it does not, and no target has got the request.
    pub fn check_shutdown(&self, estimate: Duration) -> Result<(), RequestError> {
        match !self.may_have_executed && self.gateway.is_too_late(estimate) {
            true => Err(RequestError::Gateway(GatewayError::ShuttingDown)),
            false => Ok(()),
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
                Path::Peer(peer) if self.origin.is_none() => return Ok(Some(peer)),
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
        let timeouts = ResponseTimeouts::for_peer(&self.gateway, request, self.outlook(request));
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
        if self.origin.is_some() {
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
    pub fn record_error_response(&self, request: &ClientRequest, response: &Response<HeldBody>) {
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

    /// Whether the peer that has handed the request over may make another attempt.
    fn may_peer_retry(&self) -> bool {
        self.origin.as_ref().is_some_and(|origin| origin.may_retry)
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

    /// Builds the final error after the latest attempt.
    pub fn final_error(&self, request: &ClientRequest) -> RequestError {
        self.final_error_for(request, &self.gateway.targets.borrow())
    }

    /// As [`Self::final_error`], while the targets are borrowed.
    pub fn final_error_for(&self, request: &ClientRequest, targets: &Targets) -> RequestError {
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

    /// Builds the final error of a prompt with a part that crashes engines.
    pub fn refused_part_error(&self, request: &ClientRequest) -> RequestError {
        match self.may_have_executed {
            true => self.final_error(request),
            false => RequestError::Gateway(GatewayError::PartCrashesEngines),
        }
    }

    /// Builds the error of a request that finds no room.
    pub fn busy_error(&self, request: &ClientRequest, targets: &Targets) -> GatewayError {
        let (service, now) = (&request.service, self.gateway.clock.now());
        if targets.usable(service, &[], now).is_empty()
            && let Some(pause_left) = targets.pause_left(service, &[], now)
        {
            target_notices::count_refusal(service);
            let delay = target_notices::retry_delay(&self.gateway, pause_left);
            return GatewayError::TargetsPaused(delay);
        }
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
        let (gateway, outlook) = (&self.gateway, self.outlook(request));
        match request.stream {
            Some(_) => ResponseTimeouts::for_first_event(gateway, request, outlook),
            None => ResponseTimeouts::for_plain(gateway, request, outlook),
        }
    }
}
