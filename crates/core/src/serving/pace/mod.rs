//! How fast each target is compared with the others of its service, and from which load
//! on it slows down.
//!
//! An instance measures the times that the answers to its own requests show: of an
//! engine, the time to the first event and the gaps between events, over those that the
//! model of its service gives for the load there; of another target, the time of the
//! request. The median of the latest samples of a target is compared with those of the
//! other targets, so that what delays all of them, such as a slow link of this instance,
//! cancels out. The instances exchange these estimates, and each takes the weighted
//! median. A small share of the requests tests slow targets, so that a recovery shows.

mod merged;
mod window;

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{EngineId, InstanceId, ServiceId},
    serving::{
        cost::EngineModel,
        targets::{InFlightId, Load, Part, StreamTraits, Targets},
    },
};

use merged::{Contribution, Evidence, Merged};
use window::Sample;

/// Ratio of a measured time to the expected one below and above which the sample is left
/// out: a clock has stepped, events came in a batch, or a target hung.
const PLAUSIBLE_RATIO: (f64, f64) = (1.0 / 16.0, 64.0);

/// Time of a plain request from which it is left out.
const MAX_PLAIN_TIME: Duration = Duration::from_secs(60);

/// Delay between an event and the wait for the next one from which the gap says more
/// about the client than about the engine.
const MAX_READ_DELAY: Duration = Duration::from_millis(10);

/// Share of the expected time for which no further sample of a target is taken. All
/// streams of an engine have their events at the same time.
const MIN_SAMPLE_INTERVAL_SHARE: f64 = 0.5;

/// Interval at which estimates are merged and applied.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the latest sample up to which an estimate is reported to peers.
const MAX_REPORTED_AGE: Duration = Duration::from_millis(2_500);

/// Change of an estimate, as a logarithm, that is reported at once, and the shortest
/// interval between two such reports of a target.
const REPORTED_CHANGE: f64 = 0.25;
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Samples, weighed by age, from which the speed of a target is known.
const MIN_KNOWN_WEIGHT: f64 = 1.0;

/// Slowdown from which a target is tested.
const TESTED_SLOWDOWN: f64 = 1.3;

/// Share of a service's requests that test its slow targets. It is small against the
/// twentieth of the requests that latency targets leave out.
const TEST_SHARE: f64 = 0.02;

/// Largest number of estimates in a message, the latest first.
const MAX_REPORTS: usize = 64;

/// Change of the slowdown that is logged, as a logarithm: by a third.
const LOGGED_CHANGE: f64 = 0.2877;

crate::data_types! {
    /// An instance's estimate of a target, as it is reported to peers.
    pub struct PaceReport {
        /// Id of the target.
        pub target: EngineId,
        /// Factor on the usual times of the service's targets.
        pub slowdown: f64,
        /// Samples, weighed by age.
        pub weight: f64,
        /// Concurrent requests from which times grow with them; none if there is no
        /// such number.
        pub knee: Option<f64>,
        /// Time since the latest sample.
        pub age: Duration,
    }

    /// What placements assume of a target.
    #[derive(Copy)]
    pub struct PaceEstimate {
        /// Factor on the usual times of the service's targets.
        pub slowdown: f64,
        /// Relative standard error of the slowdown.
        pub uncertainty: f64,
        /// Samples of all instances, weighed by age.
        pub weight: f64,
        /// Concurrent requests from which times grow with them; none if there is no
        /// such number.
        pub knee: Option<f64>,
    }

    /// A change of a target's slowdown that operators are told.
    pub struct PaceChange {
        /// Id of the target.
        pub target: EngineId,
        /// Slowdown at the latest change that was told.
        pub before: f64,
        /// What is assumed now.
        pub estimate: PaceEstimate,
    }
}

/// A request whose times are measured.
#[derive(Clone, Debug)]
struct Measured {
    target: EngineId,
    service: ServiceId,
    /// Start of the time that is measured next.
    since: Instant,
    /// Expected time from `since` to the next event; none if it can't be told.
    expected: Option<Duration>,
    /// Requests at the target, this one included.
    requests: u32,
    is_stream: bool,
}

#[derive(Clone, Debug)]
struct TargetPace {
    service: ServiceId,
    /// Samples of requests that were sent before are left out.
    counts_from: Instant,
    evidence: Option<Box<Evidence>>,
}

/// Speeds of all targets.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// Engine model of each service that has one; none while speeds are not learned.
    models: Option<HashMap<ServiceId, EngineModel>>,
    targets: HashMap<EngineId, TargetPace>,
    /// Slowdowns that are known from elsewhere.
    known: HashMap<EngineId, f64>,
    in_flight: HashMap<InFlightId, Measured>,
    refreshed_at: Instant,
    implausible_samples: u64,
}

impl Paces {
    /// Sets the engine models by service; with none, speeds are not learned and all
    /// targets count as equally fast.
    pub fn configure(&mut self, models: Option<HashMap<ServiceId, EngineModel>>) {
        if models.is_none() {
            self.in_flight.clear();
            for target in self.targets.values_mut() {
                target.evidence = None;
            }
        }
        self.models = models;
    }

    /// Whether speeds are learned.
    pub fn is_enabled(&self) -> bool {
        self.models.is_some()
    }

    /// Factor on the usual times for one more request at a target with `requests`
    /// requests.
    pub fn slowdown(&self, target: &EngineId, requests: u32) -> f64 {
        if let Some(known) = self.known.get(target) {
            return *known;
        }
        self.evidence(target)
            .map_or(1.0, |evidence| evidence.slowdown(requests))
    }

    /// Sets a slowdown that is known from elsewhere, which goes before the learned one.
    pub fn set_known(&mut self, target: &EngineId, slowdown: f64) {
        self.known.insert(target.clone(), slowdown);
    }

    /// Draws whether the next request is to test one of `idle`, the targets without
    /// requests, and which: a slow one whose recovery would not show otherwise.
    pub fn draw_tested<'a>(
        &self,
        idle: impl Iterator<Item = &'a EngineId>,
        rng: &mut fastrand::Rng,
    ) -> Option<&'a EngineId> {
        if !self.is_enabled() {
            return None;
        }
        let slow = idle.filter(|id| {
            let evidence = self.evidence(id);
            evidence.is_some_and(|evidence| evidence.base_slowdown() >= TESTED_SLOWDOWN)
        });
        let slow: Vec<&EngineId> = slow.collect();
        if slow.is_empty() || rng.f64() >= TEST_SHARE {
            return None;
        }
        rng.choice(slow)
    }

    /// Whether the speed of a target is known.
    pub fn is_known(&self, target: &EngineId) -> bool {
        let evidence = self.evidence(target);
        self.known.contains_key(target) || evidence.is_some_and(|e| e.weight() >= MIN_KNOWN_WEIGHT)
    }

    /// What placements assume of a target; none if nothing is known of it.
    pub fn estimate(&self, target: &EngineId) -> Option<PaceEstimate> {
        self.evidence(target).map(estimate_of)
    }

    /// Targets of which something is known, with their service.
    pub fn estimates(&self) -> impl Iterator<Item = (&EngineId, &ServiceId, PaceEstimate)> {
        self.targets.iter().filter_map(|(id, target)| {
            let evidence = target.evidence.as_deref()?;
            Some((id, &target.service, estimate_of(evidence)))
        })
    }

    /// Samples that were left out because their times can't be true.
    pub fn implausible_samples(&self) -> u64 {
        self.implausible_samples
    }

    /// Begins anew with a target that was listed or restarted.
    pub fn begin_anew(&mut self, target: &EngineId, service: &ServiceId, now: Instant) {
        let pace = TargetPace {
            service: service.clone(),
            counts_from: now,
            evidence: None,
        };
        self.targets.insert(target.clone(), pace);
    }

    /// Leaves out the samples of requests that are sent to a target before `until`, such
    /// as those during which it warms up.
    pub fn leave_out_until(&mut self, target: &EngineId, until: Instant) {
        if let Some(pace) = self.targets.get_mut(target) {
            pace.counts_from = pace.counts_from.max(until);
        }
    }

    /// Drops the targets that `is_listed` rejects.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.targets.retain(|id, _| is_listed(id));
        self.known.retain(|id, _| is_listed(id));
    }

    /// Drops the estimates of a peer whose process was replaced.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        let evidence = self.targets.values_mut();
        for evidence in evidence.filter_map(|target| target.evidence.as_mut()) {
            evidence.peers.remove(peer);
        }
    }

    /// Records that a request is sent. `load` is the load of the target that responds,
    /// without this request.
    pub fn record_sent(
        &mut self,
        id: InFlightId,
        parts: &[Part],
        stream: Option<StreamTraits>,
        load: &Load,
        now: Instant,
    ) {
        let Some(models) = &self.models else { return };
        let Some(lead) = parts.first() else { return };
        let Some(pace) = self.targets.get(&lead.target) else {
            return;
        };
        if now < pace.counts_from {
            return;
        }
        // A helper of a split prompt may be the one that delays the first event.
        let model = models.get(&pace.service).filter(|_| parts.len() == 1);
        let expected = model.map(|model| {
            let iteration = model.iteration_time(load.decoding_streams + 1, load.memory);
            let remaining = match load.decoding_streams {
                0 => Duration::ZERO,
                _ => iteration / 2,
            };
            remaining + load.backlog + lead.prefill_time + iteration
        });
        let measured = Measured {
            target: lead.target.clone(),
            service: pace.service.clone(),
            since: now,
            expected: expected.filter(|_| stream.is_some()),
            requests: load.requests + 1,
            is_stream: stream.is_some(),
        };
        self.in_flight.insert(id, measured);
        self.refresh(now);
    }

    /// Records an event of a stream. `waited_from` is the time at which the instance
    /// began to wait for it, and `load` the load of the target.
    pub fn record_event(
        &mut self,
        id: InFlightId,
        waited_from: Option<Instant>,
        load: impl FnOnce(&EngineId) -> Load,
        now: Instant,
    ) {
        let Some(models) = &self.models else { return };
        let Some(measured) = self.in_flight.get_mut(&id) else {
            return;
        };
        let load = load(&measured.target);
        let model = models.get(&measured.service);
        let next_expected = model
            .map(|model| model.iteration_time(load.decoding_streams, load.memory) + load.backlog);
        let (since, requests) = (measured.since, measured.requests);
        let expected = std::mem::replace(&mut measured.expected, next_expected);
        measured.since = now;
        measured.requests = load.requests;
        let target = measured.target.clone();
        if waited_from.is_some_and(|from| from - since > MAX_READ_DELAY) {
            return;
        }
        if let Some(expected) = expected {
            self.add_engine_sample(&target, now - since, expected, requests, now);
        }
        self.refresh(now);
    }

    /// Records the end of a request; `was_served` tells whether its time counts.
    pub fn record_end(&mut self, id: InFlightId, was_served: bool, now: Instant) {
        let Some(measured) = self.in_flight.remove(&id) else {
            return;
        };
        if !was_served || measured.is_stream {
            return;
        }
        let time = now - measured.since;
        if time.is_zero() || time > MAX_PLAIN_TIME {
            self.implausible_samples += 1;
            return;
        }
        let sample = Sample {
            at: now,
            log_time: (time.as_secs_f64() * 1e3).ln(),
            requests: f64::from(measured.requests),
        };
        self.add_sample(&measured.target, sample);
        self.refresh(now);
    }

    /// This instance's estimates, for its peers.
    pub fn reports(&mut self, now: Instant) -> Vec<PaceReport> {
        self.take_reports(|_, _| true, now)
    }

    /// This instance's estimates that have changed much since they were last taken.
    pub fn take_changed_reports(&mut self, now: Instant) -> Vec<PaceReport> {
        let has_changed = |evidence: &Evidence, now| {
            let (reported, at) = evidence.reported;
            (evidence.own_relative - reported).abs() >= REPORTED_CHANGE
                && now - at >= MIN_REPORT_INTERVAL
        };
        self.take_reports(has_changed, now)
    }

    fn take_reports(
        &mut self,
        is_due: impl Fn(&Evidence, Instant) -> bool,
        now: Instant,
    ) -> Vec<PaceReport> {
        let mut reports: Vec<PaceReport> = Vec::new();
        for (id, target) in &mut self.targets {
            let evidence = target.evidence.as_deref_mut();
            let Some(evidence) = evidence.filter(|evidence| is_due(evidence, now)) else {
                continue;
            };
            let Some(own) = evidence.own.filter(|own| now - own.at <= MAX_REPORTED_AGE) else {
                continue;
            };
            evidence.reported = (evidence.own_relative, now);
            reports.push(PaceReport {
                target: id.clone(),
                slowdown: evidence.own_relative.exp(),
                weight: own.weight.min(merged::MAX_INSTANCE_WEIGHT),
                knee: own.knee.is_finite().then_some(own.knee),
                age: now - own.at,
            });
        }
        reports.sort_by(|a, b| a.age.cmp(&b.age).then_with(|| a.target.cmp(&b.target)));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Merges a peer's estimates.
    pub fn merge_reports(&mut self, peer: &InstanceId, reports: &[PaceReport], now: Instant) {
        if self.models.is_none() || reports.is_empty() {
            return;
        }
        for report in reports {
            let Some(target) = self.targets.get_mut(&report.target) else {
                continue;
            };
            let (min, max) = PLAUSIBLE_RATIO;
            let is_plausible = (min..=max).contains(&report.slowdown)
                && report.weight.is_finite()
                && report.weight > 0.0
                && report
                    .knee
                    .is_none_or(|knee| knee.is_finite() && knee > 0.0);
            if !is_plausible {
                self.implausible_samples += 1;
                continue;
            }
            // The peer may not know yet that the target was restarted.
            let sampled_at = Instant::from_start(now.since_start().saturating_sub(report.age));
            if sampled_at < target.counts_from {
                continue;
            }
            let contribution = Contribution {
                log_slowdown: report.slowdown.ln(),
                weight: report.weight,
                knee: report.knee.unwrap_or(f64::INFINITY),
                sampled_at,
                at: now,
            };
            let evidence = evidence_of(target, now);
            evidence.peers.insert(peer.clone(), contribution);
        }
        self.refresh(now);
    }

    /// Takes the changes of slowdowns by a third or more since the latest that was taken.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        let mut changes = Vec::new();
        for (id, target) in &mut self.targets {
            let Some(evidence) = target.evidence.as_deref_mut() else {
                continue;
            };
            let (before, now) = (evidence.logged_log_slowdown, evidence.base_slowdown().ln());
            if (now - before).abs() < LOGGED_CHANGE {
                continue;
            }
            evidence.logged_log_slowdown = now;
            changes.push(PaceChange {
                target: id.clone(),
                before: before.exp(),
                estimate: estimate_of(evidence),
            });
        }
        changes
    }

    fn evidence(&self, target: &EngineId) -> Option<&Evidence> {
        self.targets.get(target)?.evidence.as_deref()
    }

    fn add_engine_sample(
        &mut self,
        target: &EngineId,
        time: Duration,
        expected: Duration,
        requests: u32,
        now: Instant,
    ) {
        let ratio = time.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        let (min, max) = PLAUSIBLE_RATIO;
        if !(min..=max).contains(&ratio) {
            self.implausible_samples += 1;
            return;
        }
        let min_interval = expected.mul_f64(MIN_SAMPLE_INTERVAL_SHARE);
        let last_at = self.evidence(target).and_then(|e| e.window.last_at());
        if last_at.is_some_and(|at| now - at < min_interval) {
            return;
        }
        let sample = Sample {
            at: now,
            log_time: ratio.ln(),
            requests: f64::from(requests),
        };
        self.add_sample(target, sample);
    }

    fn add_sample(&mut self, target: &EngineId, sample: Sample) {
        if let Some(pace) = self.targets.get_mut(target) {
            evidence_of(pace, sample.at).window.add(sample);
        }
    }

    /// Merges and applies the estimates if the interval has passed.
    fn refresh(&mut self, now: Instant) {
        if now - self.refreshed_at < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        self.compare_own(now);
        let merged = self.merge_all(now);
        let mut by_service = HashMap::new();
        for (service, merged) in merged.values() {
            push_weighed(&mut by_service, service, merged.log_slowdown, merged.weight);
        }
        let baselines = self.baselines(by_service);
        for (id, target) in &mut self.targets {
            let Some(evidence) = target.evidence.as_deref_mut() else {
                continue;
            };
            let baseline = baselines.get(&target.service).copied().flatten();
            let merged = merged.get(id).map(|(_, merged)| *merged);
            evidence.apply(merged, baseline.unwrap_or(0.0), now);
            if evidence.is_spent() {
                target.evidence = None;
            }
        }
    }

    /// Compares this instance's own estimates of the targets of each service.
    fn compare_own(&mut self, now: Instant) {
        let mut by_service = HashMap::new();
        for (id, overdue) in self.overdue(now) {
            if overdue > 0.0
                && let Some(target) = self.targets.get_mut(&id)
            {
                evidence_of(target, now).overdue = Some(overdue);
            }
        }
        for target in self.targets.values_mut() {
            let Some(evidence) = target.evidence.as_deref_mut() else {
                continue;
            };
            evidence.estimate_own(now);
            if let Some(own) = evidence.own {
                push_weighed(&mut by_service, &target.service, own.log_time, own.weight);
            }
        }
        let baselines = self.baselines(by_service);
        let models = self.models.as_ref();
        for target in self.targets.values_mut() {
            let Some(evidence) = target.evidence.as_deref_mut() else {
                continue;
            };
            let baseline = baselines.get(&target.service).copied().flatten();
            let has_model = models.is_some_and(|models| models.contains_key(&target.service));
            match (evidence.own, baseline, has_model) {
                (Some(own), Some(baseline), _) => evidence.own_relative = own.log_time - baseline,
                (Some(own), None, true) => evidence.own_relative = own.log_time,
                // The time of a plain request says nothing without others.
                _ => evidence.own = None,
            }
        }
    }

    /// Logarithm of the ratio of the wait to the expected time, at each target the lowest
    /// of this instance's requests: the target answers none of them.
    fn overdue(&self, now: Instant) -> HashMap<EngineId, f64> {
        let mut overdue: HashMap<EngineId, f64> = HashMap::new();
        for measured in self.in_flight.values() {
            let Some(expected) = measured.expected else {
                continue;
            };
            let wait = now - measured.since;
            let ratio = wait.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
            let lowest = overdue
                .entry(measured.target.clone())
                .or_insert(f64::INFINITY);
            *lowest = lowest.min(ratio.min(PLAUSIBLE_RATIO.1).ln());
        }
        overdue
    }

    fn merge_all(&mut self, now: Instant) -> HashMap<EngineId, (ServiceId, Merged)> {
        let targets = self.targets.iter_mut();
        let merged = targets.filter_map(|(id, target)| {
            let merged = target.evidence.as_deref_mut()?.merge(now)?;
            Some((id.clone(), (target.service.clone(), merged)))
        });
        merged.collect()
    }

    fn baselines(
        &self,
        by_service: HashMap<ServiceId, Vec<(f64, f64)>>,
    ) -> HashMap<ServiceId, Option<f64>> {
        let models = self.models.as_ref();
        let baselines = by_service.into_iter().map(|(service, mut weighed)| {
            let has_model = models.is_some_and(|models| models.contains_key(&service));
            let baseline = merged::baseline(&mut weighed, has_model);
            (service, baseline)
        });
        baselines.collect()
    }
}

impl Targets {
    /// Records an event of a stream for the speed of its target. `waited_from` is the
    /// time at which the instance began to wait for it.
    pub fn record_pace(&mut self, id: InFlightId, waited_from: Option<Instant>, now: Instant) {
        if !self.pace.is_enabled() {
            return;
        }
        let mut pace = std::mem::take(&mut self.pace);
        pace.record_event(id, waited_from, |target| self.load(target, now), now);
        self.pace = pace;
    }
}

fn evidence_of(target: &mut TargetPace, now: Instant) -> &mut Evidence {
    let evidence = &mut target.evidence;
    evidence.get_or_insert_with(|| Box::new(Evidence::new(now)))
}

fn estimate_of(evidence: &Evidence) -> PaceEstimate {
    PaceEstimate {
        slowdown: evidence.base_slowdown(),
        uncertainty: evidence.uncertainty(),
        weight: evidence.weight(),
        knee: evidence.knee(),
    }
}

/// Adds a target's value to those of its service. Each target counts once, less if its
/// samples are old.
fn push_weighed(
    by_service: &mut HashMap<ServiceId, Vec<(f64, f64)>>,
    service: &ServiceId,
    value: f64,
    weight: f64,
) {
    let weighed = by_service.entry(service.clone()).or_default();
    weighed.push((value, weight.min(1.0)));
}
