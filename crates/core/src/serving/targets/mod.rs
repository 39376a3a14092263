//! Targets of all services: address, health, and load from all instances.

mod cold;
pub mod evacuation;
pub mod limits;
mod load;
pub mod notices;
mod restored;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, ServiceId},
    serving::{pace::Paces, queue, routes::ColdStart},
    units::Tokens,
};

use evacuation::Evacuations;
use limits::TargetLimits;
use load::PeerLoads;
pub use load::{Load, LoadReport};
use notices::Notices;
use restored::Departure;

/// Exclusion after the first request without a response; doubles with each
/// further one.
const MIN_SUSPECT_BACKOFF: Duration = Duration::from_millis(800);

/// Longest exclusion of a target that does not respond.
const MAX_SUSPECT_BACKOFF: Duration = Duration::from_secs(6);

/// Exclusion of a target that refused a request although it has room. Such a
/// target is shutting down; its entry in the target list follows soon.
pub const LEAVING_BACKOFF: Duration = Duration::from_secs(5);

/// Weight of the newest outcome in the moving average of a target's failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Half-life of a failure rate without new outcomes. The decay gives a target
/// that recovered new requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of the newest request in the moving average of a service's durations.
const DURATION_WEIGHT: f64 = 0.1;

/// Time from the end of the prefill of a long prompt to its first event: the rest of the
/// current iteration and the one that produces the event. The helpers are idle in this
/// time.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(200);

/// Share of a part's prefill time that remains as backlog when the first event is
/// overdue: the estimate was too low.
const OVERDUE_BACKLOG_SHARE: f64 = 0.7;

/// Lead over the last part of a request from which a part counts as prefilled
/// once it is due. A late first event indicates a delay of the last part only.
const MIN_PREFILL_LEAD: Duration = Duration::from_millis(100);

crate::data_types! {
    /// Entry of a target in the target list.
    pub struct TargetFacts {
        /// Id of the target; most platforms assign a new one at each start.
        pub id: EngineId,
        /// Service that the target belongs to.
        pub service: ServiceId,
        /// Listen address.
        pub address: SocketAddr,
        /// Data centre in which the target runs.
        pub data_centre: DataCentreId,
        /// Requests that the target runs concurrently.
        pub slots: u32,
        /// Whether the target is draining and gets no new requests.
        pub draining: bool,
        /// Start of the target's process, in ms since the Unix epoch; 0 if
        /// unknown.
        pub started_unix_ms: u64,
        /// Time for which the target was still cold when it wrote the entry.
        pub cold_remaining: Duration,
    }

    /// Part of a request that runs on one target.
    pub struct Part {
        /// Target of this part.
        pub target: EngineId,
        /// Time to prefill this part of the prompt.
        pub prefill_time: Duration,
        /// KV memory that the target holds for the request.
        pub memory: Tokens,
    }
}

/// Properties of a stream that its load depends on, besides its parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamTraits {
    /// Gap objective: longest on-time interval between two events.
    pub gap: Duration,
    /// Value of an on-time response; a very short stream has the value 1.
    pub value: f64,
}

/// Id of an in-flight request, unique in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InFlightId(u64);

/// How a target handled a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded without a server error.
    Served,
    /// The target returned a server error or broke off the response.
    Failed,
    /// The target did not respond.
    Silent,
    /// The target refused the request although it has room, as a target does
    /// while it shuts down.
    Leaving,
    /// The target can't be judged: the client disconnected, or another target
    /// failed.
    Unknown,
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    /// The first part belongs to the target that sends the response.
    parts: Vec<Part>,
    /// Expected end of the prefill of each part.
    prefilled_at: Vec<Instant>,
    stream: Option<StreamTraits>,
    sent_at: Instant,
    has_first_event: bool,
}

/// A target with its health.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest entry in the target list.
    pub facts: TargetFacts,
    /// Time at which the first entry of the target's process was read.
    known_since: Instant,
    /// End of the linger time of a target without an entry.
    removed_at: Option<Instant>,
    suspect_until: Option<Instant>,
    leaving_until: Option<Instant>,
    /// Time until which only a restored entry lists the target.
    unconfirmed_until: Option<Instant>,
    /// Requests without a response since the last served one.
    unanswered_requests: u32,
    failure_rate: f64,
    /// Time at which `failure_rate` was last updated.
    failure_rate_at: Instant,
    /// Time of the latest bytes from the target, at any instance.
    last_received_at: Option<Instant>,
}

/// All targets known to this instance.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    targets: BTreeMap<EngineId, Target>,
    in_flight: BTreeMap<InFlightId, InFlightRequest>,
    last_id: u64,
    /// Targets whose entries were removed lately.
    departures: HashMap<EngineId, Departure>,
    /// Targets on which this instance's load changed since the changes were last taken.
    changed: BTreeSet<EngineId>,
    peers: HashMap<InstanceId, PeerLoads>,
    /// Limits that targets set on their requests.
    pub limits: TargetLimits,
    /// How the targets of services start, of those whose targets start cold.
    cold_starts: BTreeMap<ServiceId, ColdStart>,
    /// What targets said of themselves.
    notices: Notices,
    /// Data centres whose targets get no new requests.
    pub evacuations: Evacuations,
    /// Speeds that the targets' answers show.
    pub pace: Paces,
    /// Moving average of the durations of served requests.
    mean_durations: HashMap<ServiceId, Duration>,
}

impl Targets {
    /// Returns the target with an id.
    pub fn get(&self, id: &EngineId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the target of a service at an address.
    pub fn at_address(&self, service: &ServiceId, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values();
        targets.find(|t| &t.facts.service == service && t.facts.address == address)
    }

    /// Iterates over all targets, usable or not.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Adds or updates a target from its entry. If the target's process was
    /// restarted, its failure rate, exclusions and limit are reset.
    pub fn upsert(&mut self, facts: TargetFacts, now: Instant) {
        self.departures.remove(&facts.id);
        let id = facts.id.clone();
        let known = self.targets.get(&id).map(|known| known.facts.clone());
        match self.targets.get_mut(&facts.id) {
            Some(known) if known.facts.started_unix_ms == facts.started_unix_ms => {
                known.facts = facts;
                known.removed_at = None;
                known.unconfirmed_until = None;
            }
            _ => {
                let target = Target::new(facts, now);
                let id = target.facts.id.clone();
                self.pace.begin_anew(&id, &target.facts.service, now);
                if self.targets.insert(id.clone(), target).is_some() {
                    self.limits.forget_limit(&id);
                }
            }
        }
        self.record_cold_entry(&id, known.as_ref(), now);
    }

    /// Removes a target without an entry after `linger`. The target stays usable
    /// until then; [`Self::upsert`] cancels the removal.
    pub fn schedule_removal(&mut self, id: &EngineId, linger: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let at = now + linger;
            target.removed_at = Some(target.removed_at.map_or(at, |known| known.min(at)));
            let facts = target.facts.clone();
            self.record_departure(&facts, now);
        }
    }

    /// Drops removed targets without requests in flight, and outdated peer loads.
    pub fn remove_expired(&mut self, now: Instant) {
        let in_flight = &self.in_flight;
        let in_use = |id: &EngineId| {
            let mut parts = in_flight.values().flat_map(|request| &request.parts);
            parts.any(|part| &part.target == id)
        };
        self.targets
            .retain(|id, target| !target.is_removed(now) || in_use(id));
        self.peers.retain(|_, peer| peer.is_recent(now));
        self.remove_expired_departures(now);
        let targets = &self.targets;
        self.limits
            .remove_expired(|id| targets.contains_key(id), now);
        self.notices
            .remove_expired(|id| targets.contains_key(id), now);
        self.pace.retain(|id| targets.contains_key(id));
    }

    /// Records a request that is being sent. The first part belongs to the target
    /// that sends the response.
    pub fn begin(
        &mut self,
        parts: Vec<Part>,
        stream: Option<StreamTraits>,
        now: Instant,
    ) -> InFlightId {
        let prefilled_at = parts.iter().map(|part| {
            let backlog = self.load(&part.target, now).backlog;
            now + backlog + part.prefill_time
        });
        let prefilled_at = prefilled_at.collect();
        self.mark_changed(&parts);
        for part in &parts {
            self.limits.record_request(&part.target, now);
        }
        self.last_id += 1;
        let id = InFlightId(self.last_id);
        if self.pace.is_enabled() {
            let load = self.load(&parts[0].target, now);
            self.pace.record_sent(id, &parts, stream, &load, now);
        }
        let request = InFlightRequest {
            parts,
            prefilled_at,
            stream,
            sent_at: now,
            has_first_event: false,
        };
        self.in_flight.insert(id, request);
        id
    }

    /// Records the first event of a request: the prefill is complete.
    pub fn record_first_event(&mut self, id: InFlightId) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.has_first_event = true;
            let changed = request.parts.iter().map(|part| part.target.clone());
            self.changed.extend(changed);
        }
    }

    /// Records bytes from the target that sends the response.
    pub fn record_received(&mut self, id: InFlightId, now: Instant) {
        let Some(request) = self.in_flight.get(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&request.parts[0].target) {
            target.last_received_at = Some(now);
        }
    }

    /// Records that a peer received bytes from a target `age` ago.
    pub fn record_peer_received(&mut self, id: &EngineId, age: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let at = Instant::from_start(now.since_start().saturating_sub(age));
            target.last_received_at = target.last_received_at.max(Some(at));
        }
    }

    /// Removes a request that ended and records its outcome. Returns the duration
    /// of the target's exclusion if the outcome excludes the target.
    pub fn record_end(
        &mut self,
        id: InFlightId,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        let request = self.in_flight.remove(&id)?;
        self.pace.record_end(id, outcome == Outcome::Served, now);
        self.mark_changed(&request.parts);
        let target = request.parts[0].target.clone();
        if outcome == Outcome::Served {
            self.record_duration(&target, now - request.sent_at);
        }
        self.record_outcome(&target, outcome, now)
    }

    fn mark_changed(&mut self, parts: &[Part]) {
        let changed = parts.iter().map(|part| part.target.clone());
        self.changed.extend(changed);
    }

    /// Expected time until a slot of a fully occupied target becomes free; none
    /// before the first served request of the service.
    pub fn expected_slot_wait(&self, service: &ServiceId) -> Option<Duration> {
        let mean = self.mean_durations.get(service)?;
        let targets = self.targets.values().map(|target| &target.facts);
        let slots = targets.filter(|facts| &facts.service == service);
        let slots = slots.map(|facts| facts.slots).min()?;
        Some(*mean / slots.max(1))
    }

    fn record_duration(&mut self, id: &EngineId, duration: Duration) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let service = target.facts.service.clone();
        let mean = self.mean_durations.entry(service).or_insert(duration);
        *mean = mean.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT);
    }

    /// Updates a target's failure rate and exclusion by the outcome of a request.
    /// Returns the duration of the exclusion if the outcome excludes the target.
    pub fn record_outcome(
        &mut self,
        id: &EngineId,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        let target = self.targets.get_mut(id)?;
        match outcome {
            Outcome::Unknown => None,
            Outcome::Served => {
                target.update_failure_rate(0.0, now);
                target.last_received_at = Some(now);
                target.unanswered_requests = 0;
                target.suspect_until = None;
                None
            }
            Outcome::Failed => {
                target.update_failure_rate(1.0, now);
                None
            }
            Outcome::Leaving => {
                target.leaving_until = Some(now + LEAVING_BACKOFF);
                Some(LEAVING_BACKOFF)
            }
            Outcome::Silent => {
                target.update_failure_rate(1.0, now);
                let factor = 1 << target.unanswered_requests.min(8);
                let backoff = (MIN_SUSPECT_BACKOFF * factor).min(MAX_SUSPECT_BACKOFF);
                target.unanswered_requests += 1;
                target.suspect_until = Some(now + backoff);
                Some(backoff)
            }
        }
    }

    /// Targets excluded after [`Outcome::Leaving`], with the remaining time of the
    /// exclusion.
    pub fn leaving(&self, now: Instant) -> Vec<(EngineId, Duration)> {
        let targets = self.targets.values();
        let leaving = targets.filter_map(|target| {
            let until = target.leaving_until.filter(|until| *until > now)?;
            Some((target.facts.id.clone(), until - now))
        });
        leaving.collect()
    }

    /// Excludes a target that a peer excludes after [`Outcome::Leaving`], for the
    /// `remaining` time there.
    pub fn record_peer_leaving(&mut self, id: &EngineId, remaining: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let until = now + remaining.min(LEAVING_BACKOFF);
            target.leaving_until = target.leaving_until.max(Some(until));
        }
    }

    /// Whether any instance has received bytes from a target since `since`.
    pub fn has_received_since(&self, id: &EngineId, since: Instant) -> bool {
        let last_received_at = self
            .targets
            .get(id)
            .and_then(|target| target.last_received_at);
        last_received_at.is_some_and(|at| at > since)
    }

    /// Merges a peer's report with its earlier ones. The reports may arrive in any
    /// order.
    pub fn merge_peer_loads(&mut self, peer: &InstanceId, report: &LoadReport, now: Instant) {
        let known = self.peers.entry(peer.clone()).or_default();
        known.merge(report, now);
    }

    /// Drops the loads of a peer whose process was replaced.
    pub fn forget_peer(&mut self, peer: &InstanceId, now: Instant) {
        self.peers.remove(peer);
        self.limits.record_peer_restart(peer, now);
        self.pace.forget_peer(peer);
    }

    /// Takes this instance's loads on the targets where they changed since the last
    /// call; without requests where the last one ended.
    pub fn take_changed_loads(&mut self, now: Instant) -> BTreeMap<EngineId, Load> {
        let changed = std::mem::take(&mut self.changed);
        let mut loads = self.own_loads(now);
        let changed = changed.into_iter().map(|id| {
            let load = loads.remove(&id).unwrap_or_default();
            (id, load)
        });
        changed.collect()
    }

    /// Load by target of this instance's own requests.
    pub fn own_loads(&self, now: Instant) -> BTreeMap<EngineId, Load> {
        let mut loads: BTreeMap<EngineId, Load> = BTreeMap::new();
        for request in self.in_flight.values() {
            for (index, part) in request.parts.iter().enumerate() {
                let load = loads.entry(part.target.clone()).or_default();
                load.add(&request.load_of(index, now));
            }
        }
        loads.retain(|_, load| load.requests > 0);
        loads
    }

    /// Load of a target over all instances.
    pub fn load(&self, id: &EngineId, now: Instant) -> Load {
        let mut sum = Load::default();
        for request in self.in_flight.values() {
            for (index, part) in request.parts.iter().enumerate() {
                if &part.target == id {
                    sum.add(&request.load_of(index, now));
                }
            }
        }
        for peer in self.peers.values() {
            if let Some(load) = peer.load(id, now) {
                sum.add(&load);
            }
        }
        sum
    }

    /// Load of each target over all instances. One pass over the loads is cheaper
    /// than a sum per target: with hundreds of instances and thousands of targets,
    /// few instances use the same target.
    pub fn loads(&self, now: Instant) -> HashMap<&EngineId, Load> {
        let mut sums: HashMap<&EngineId, Load> = HashMap::new();
        for request in self.in_flight.values() {
            for (index, part) in request.parts.iter().enumerate() {
                let sum = sums.entry(&part.target).or_default();
                sum.add(&request.load_of(index, now));
            }
        }
        for peer in self.peers.values() {
            for (id, load) in peer.loads(now) {
                sums.entry(id).or_default().add(&load);
            }
        }
        sums
    }

    /// Targets of a service that may receive new requests: the eligible ones whose
    /// limits allow another request.
    pub fn usable(&self, service: &ServiceId, excluded: &[EngineId], now: Instant) -> Vec<&Target> {
        let mut targets = self.eligible(service, excluded, now);
        targets.retain(|target| self.limits.wait(&target.facts.id, now).is_zero());
        targets
    }

    /// Eligible targets of a service whose limits don't allow another request now.
    pub fn at_limit(
        &self,
        service: &ServiceId,
        excluded: &[EngineId],
        now: Instant,
    ) -> Vec<&Target> {
        if self.limits.limited().next().is_none() && !self.limits.has_cold(now) {
            return Vec::new();
        }
        let mut targets = self.eligible(service, excluded, now);
        targets.retain(|target| !self.limits.wait(&target.facts.id, now).is_zero());
        targets
    }

    /// Targets of a service that take new requests, whether they can be reached or not.
    pub fn listed(&self, service: &ServiceId, now: Instant) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(move |target| {
            &target.facts.service == service
                && !self.is_closed(target, now)
                && !target.is_removed(now)
        })
    }

    /// Ends the exclusions of a service's targets that did not respond since `since`, and
    /// forgets these failures: they were not the targets' own.
    pub fn forgive_silence(&mut self, service: &ServiceId, since: Instant) {
        let targets = self.targets.values_mut();
        let targets = targets.filter(|target| &target.facts.service == service);
        for target in targets.filter(|target| target.failure_rate_at >= since) {
            target.suspect_until = None;
            target.unanswered_requests = 0;
            target.failure_rate = 0.0;
        }
    }

    /// Targets of a service that are not excluded for a time. If every target is, these
    /// exclusions are ignored; not so what the targets say of themselves.
    fn eligible(&self, service: &ServiceId, excluded: &[EngineId], now: Instant) -> Vec<&Target> {
        let candidates = self.listed(service, now);
        let candidates: Vec<&Target> = candidates
            .filter(|target| !excluded.contains(&target.facts.id))
            .filter(|target| !self.is_paused(target, now))
            .collect();
        let healthy: Vec<&Target> = candidates
            .iter()
            .copied()
            .filter(|target| !target.is_excluded(now))
            .collect();
        let eligible = match healthy.is_empty() {
            true => candidates,
            false => healthy,
        };
        let with_room = eligible.iter().copied();
        let with_room: Vec<&Target> = with_room
            .filter(|target| self.has_return_room(target, now))
            .collect();
        match with_room.is_empty() {
            true => eligible,
            false => with_room,
        }
    }
}

impl Outcome {
    /// Stable name, for the log field `cause`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Leaving => "refused with room",
            Self::Unknown => "unknown",
        }
    }
}

impl Target {
    fn new(facts: TargetFacts, now: Instant) -> Self {
        Self {
            facts,
            known_since: now,
            removed_at: None,
            suspect_until: None,
            leaving_until: None,
            unconfirmed_until: None,
            unanswered_requests: 0,
            failure_rate: 0.0,
            failure_rate_at: now,
            last_received_at: None,
        }
    }

    /// Time of the latest bytes from the target at any instance.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.last_received_at
    }

    /// Moving average of the target's failures, 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = (now - self.failure_rate_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Whether the target is excluded after a request without a response.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Whether the target is excluded because it refused a request although it has
    /// room.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    fn is_excluded(&self, now: Instant) -> bool {
        self.is_suspect(now) || self.is_leaving(now) || self.is_unconfirmed(now)
    }

    fn is_removed(&self, now: Instant) -> bool {
        self.removed_at.is_some_and(|at| now >= at)
    }

    fn update_failure_rate(&mut self, outcome: f64, now: Instant) {
        let before = self.failure_rate(now);
        self.failure_rate = before + OUTCOME_WEIGHT * (outcome - before);
        self.failure_rate_at = now;
    }
}

impl InFlightRequest {
    /// Load of one part. Helpers have no load after the first event.
    fn load_of(&self, index: usize, now: Instant) -> Load {
        let part = &self.parts[index];
        let is_lead = index == 0;
        if self.has_first_event && !is_lead {
            return Load::default();
        }
        let lead_stream = self.stream.filter(|_| is_lead);
        let (backlog, overdue_backlog) = match self.has_first_event {
            true => (Duration::ZERO, Duration::ZERO),
            false => self.backlog_of(index, now),
        };
        Load {
            requests: 1,
            decoding_streams: u32::from(self.has_first_event && self.stream.is_some()),
            backlog,
            overdue_backlog,
            overdue_in: self.first_event_overdue_at() - now,
            memory: part.memory,
            strictest_gap: lead_stream.map(|stream| stream.gap),
            value: lead_stream.map_or(0.0, |stream| stream.value),
        }
    }

    /// Backlog of one part before the first event, and the backlog that is assumed once
    /// the event is overdue.
    fn backlog_of(&self, index: usize, now: Instant) -> (Duration, Duration) {
        let part = &self.parts[index];
        let overdue_backlog =
            if self.prefilled_at[index] + MIN_PREFILL_LEAD < self.last_prefilled_at() {
                Duration::ZERO
            } else {
                part.prefill_time.mul_f64(OVERDUE_BACKLOG_SHARE)
            };
        let expected = (self.prefilled_at[index] - now).min(part.prefill_time);
        let backlog = match now >= self.first_event_overdue_at() {
            true => expected.max(overdue_backlog),
            false => expected,
        };
        (backlog, overdue_backlog)
    }

    fn last_prefilled_at(&self) -> Instant {
        self.prefilled_at.iter().max().copied().unwrap_or_default()
    }

    fn first_event_overdue_at(&self) -> Instant {
        let prefill_time: Duration = self.parts.iter().map(|part| part.prefill_time).sum();
        match prefill_time >= queue::MIN_QUEUED_PREFILL_TIME {
            true => self.last_prefilled_at() + FIRST_EVENT_TIME,
            // An iteration takes longer than the prefill, which may not have begun.
            false => self.last_prefilled_at(),
        }
    }
}
