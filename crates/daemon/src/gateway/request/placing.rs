//! Queueing and placement of a request.

use std::time::Duration;

use cyclamengauge_core::serving::{
    peers,
    placement::{self, EngineCount, Placement, PlacementError, PlacementRequest},
    queue::{self, Patience},
};

use crate::{
    gateway::{
        attempt::{ClientRequest, QueueEntry, client_timeout},
        request::attempts::{Attempts, RequestError},
        response::GatewayError,
        target_notices,
    },
    telemetry::trace::{PlacementDetails, TraceEvent},
};

/// Time between two checks of a queued prompt if no load changes.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Shortest retry delay for a long prompt that the queue refused.
const MIN_OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Attempts {
    /// Places the request. A long prompt waits in the queue first, unless its placement
    /// may skip the queue.
    pub async fn place_or_queue(
        &mut self,
        request: &ClientRequest,
    ) -> Result<Placement, RequestError> {
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
            self.check_shutdown(wait)?;
            if patience.is_exhausted(wait, self.gateway.clock.now()) {
                return Err(self.overloaded_error(request, wait));
            }
            // Without usable engines, the placement says why and until when.
            if engines.usable == 0 || entry.is_next(engines) {
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
        drop(rng);
        placed.map_err(|error| {
            if let PlacementError::AtLimit(wait) = error
                && !self.may_have_executed
            {
                return RequestError::Gateway(GatewayError::TargetsAtLimit(wait));
            }
            if let PlacementError::Paused(pause_left) = error
                && !self.may_have_executed
            {
                target_notices::count_refusal(&request.service);
                let delay = target_notices::retry_delay(&self.gateway, pause_left);
                return RequestError::Gateway(GatewayError::TargetsPaused(delay));
            }
            if self.may_have_executed || self.sent_attempts > 0 {
                return self.final_error_for(request, &targets);
            }
            RequestError::Gateway(match error {
                PlacementError::NoTarget => GatewayError::NoTarget,
                PlacementError::AtLimit(wait) => GatewayError::TargetsAtLimit(wait),
                PlacementError::Paused(wait) => GatewayError::TargetsPaused(wait),
                PlacementError::TooLong => GatewayError::PromptTooLong,
                PlacementError::NoMemory => self.busy_error(request, &targets),
            })
        })
    }

    /// Records a placement in the request's trace.
    pub fn trace_placement(&self, request: &ClientRequest, placement: &Placement) {
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
