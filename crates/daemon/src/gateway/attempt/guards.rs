//! Guards that count a request until they are dropped: as in progress, as taken over from a
//! peer, in the long-prompt queue, and in the load of its targets.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::{
        placement::{EngineCount, Placement},
        queue::EntryId,
        reachability::PeerChoice,
        targets::{InFlightId, Outcome},
    },
};

use crate::{
    gateway::{
        Gateway,
        attempt::{
            awaited::{Awaited, TargetAddress},
            client_request::ClientRequest,
        },
    },
    http::BusyGuard,
    telemetry::process_events,
};

/// Time after the first event of a stream in which an engine crashes if it crashes on the
/// prompt.
const CRASH_ONSET_TIME: Duration = Duration::from_secs(2);

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

/// Ends a peer's request when dropped.
pub struct TakenOverGuard {
    gateway: Rc<Gateway>,
}

impl TakenOverGuard {
    /// Guards a request that was counted as taken over.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for TakenOverGuard {
    fn drop(&mut self) {
        self.gateway.taken_over.borrow_mut().end();
    }
}

/// Entry in the long-prompt queue, removed on drop.
pub struct QueueEntry {
    gateway: Rc<Gateway>,
    id: EntryId,
}

impl QueueEntry {
    /// Queues a prompt whose prefill takes `prefill_time` on one idle engine.
    pub fn enqueue(gateway: &Rc<Gateway>, request: &ClientRequest, prefill_time: Duration) -> Self {
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

    /// Whether the prompt is the next one to be placed.
    pub fn is_next(&self, engines: EngineCount) -> bool {
        let now = self.gateway.clock.now();
        let queue = self.gateway.queue.borrow();
        queue.is_next(self.id, engines.usable, now)
    }

    /// Time until the prompt is expected to be placed.
    pub fn expected_wait(&self, engines: EngineCount) -> Duration {
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
    /// Counts a request in the load of the targets that it is placed on.
    pub fn begin(gateway: &Rc<Gateway>, service: &ServiceId, placement: &Placement) -> Self {
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
        let mut targets = self.gateway.targets.borrow_mut();
        targets.record_first_event(id);
        targets.record_pace(id, None, self.gateway.clock.now());
        drop(targets);
        match self.has_helpers {
            // It frees several engines for the next long prompt.
            true => self.gateway.report_placement(),
            false => self.gateway.report_progress(),
        }
    }

    /// Records a later event, for which the instance has waited since `waited_from`.
    pub fn record_event(&self, waited_from: Instant) {
        if let Counted::AtTargets(id) = self.counted {
            let mut targets = self.gateway.targets.borrow_mut();
            targets.record_pace(id, Some(waited_from), self.gateway.clock.now());
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
    pub fn may_have_caused_crash(&self) -> bool {
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
        process_events::log_exclusion(&self.target, self.outcome, exclusion);
        self.gateway.report_progress();
    }
}
