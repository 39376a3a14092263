//! Limits that targets set on their requests per second.
//!
//! A target names its limit in its responses. The limit holds for all instances
//! together, until the target stops naming it. Each instance counts the requests that it
//! sends to every target, with a weight that decays, and tells its peers the counts for
//! limited targets. The counts of all instances decay alike, so their sum is the count of
//! the whole system, and instances with more clients use more of the limit.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{EngineId, InstanceId, ServiceId},
    units::RequestsPerSecond,
};

/// Time in which the weight of a request falls to 1/e. It bounds the burst that an idle
/// target gets: about the requests that its limit allows in this time.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Lowest rate at which a limited target gets requests. Only an answer shows that a limit
/// has changed.
const MIN_RATE: RequestsPerSecond = RequestsPerSecond(0.2);

/// Part of a cold target's rate at which it gets requests. An idle target may get twice as
/// many in its first second, and so may the instances on the other side of a cut.
const COLD_SHARE: f64 = 0.4;

/// Count below which a target without a limit is forgotten.
const MIN_COUNT: f64 = 1e-3;

/// Largest count that a peer's report may have.
const MAX_REPORTED_COUNT: f64 = 1e6;

/// Time for which a withdrawal is kept, and age of a limit up to which a peer's report of
/// it counts: a peer that was away does not bring back a limit that was withdrawn.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);

/// Number of requests to a target, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RequestCount {
    count: f64,
    updated_at: Instant,
}

impl RequestCount {
    fn at(self, now: Instant) -> f64 {
        let age = (now - self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.count * (-age).exp()
    }

    fn add(&mut self, count: f64, now: Instant) {
        *self = Self {
            count: self.at(now) + count,
            updated_at: now,
        };
    }
}

/// What an answer said about the target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    /// It named a limit.
    Limited(RequestsPerSecond),
    /// It named none.
    Unlimited,
}

/// Change of the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target is limited from now on, or has another limit than `before`.
    Limited {
        /// The limit.
        limit: RequestsPerSecond,
        /// The limit until now; none if there was none.
        before: Option<RequestsPerSecond>,
    },
    /// The target has no limit any more.
    Withdrawn {
        /// The limit until now.
        before: RequestsPerSecond,
    },
}

/// Limit of a target, as all instances together know it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TargetLimit {
    limit: RequestsPerSecond,
    /// Time at which the target named the limit last.
    named_at: Instant,
    /// Time of the first answer without a limit, to a request that was sent after
    /// `named_at`. Never before `named_at`.
    doubted_at: Option<Instant>,
    /// Time of a later answer without a limit, to a request that was sent after
    /// `doubted_at`: the limit holds no more. Never before `doubted_at`.
    withdrawn_at: Option<Instant>,
}

impl TargetLimit {
    fn in_force(&self) -> Option<RequestsPerSecond> {
        self.withdrawn_at.is_none().then_some(self.limit)
    }

    /// Whether it may still matter: it is in force, or was withdrawn lately.
    fn is_kept(&self, now: Instant) -> bool {
        self.withdrawn_at
            .is_none_or(|at| now - at <= ANSWER_RETENTION)
    }

    /// The state after the answers that `reported` tells of.
    fn merged_with(&self, reported: &OwnAnswers, limit: RequestsPerSecond) -> Self {
        let (limit, named_at) = match reported.named_at.filter(|at| *at > self.named_at) {
            Some(named_at) => (limit, named_at),
            None => (self.limit, self.named_at),
        };
        // Doubts and withdrawals of an earlier naming no longer count. At an instance
        // that has just started, all times before its start are the same.
        let first = |a: Option<Instant>, b: Option<Instant>| {
            let after_naming = [a, b].into_iter().flatten().filter(|at| *at >= named_at);
            after_naming.min()
        };
        Self {
            limit,
            named_at,
            doubted_at: first(self.doubted_at, reported.doubted_at),
            withdrawn_at: first(self.withdrawn_at, reported.withdrawn_at),
        }
    }
}

/// Times of the latest answers to this instance. Peers are told only of these: times
/// that are passed on would be later each time by the transit of the message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OwnAnswers {
    named_at: Option<Instant>,
    doubted_at: Option<Instant>,
    withdrawn_at: Option<Instant>,
}

crate::data_types! {
    /// What an instance tells its peers about a limited target.
    pub struct LimitReport {
        /// The target.
        pub target: EngineId,
        /// The limit that the target named last, at any instance.
        pub limit: RequestsPerSecond,
        /// Time since the target named it to the sender; none if it named it to others.
        pub named_age: Option<Duration>,
        /// Time since the first answer without a limit that followed; none if the sender
        /// did not get it.
        pub doubted_age: Option<Duration>,
        /// Time since the limit was withdrawn; none if the sender did not get the answer
        /// that withdrew it.
        pub withdrawn_age: Option<Duration>,
        /// Requests of the sender to the target, with the weights that they have at the
        /// time of the report.
        pub sent_count: f64,
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    count: RequestCount,
    /// Number of the report with this count.
    sequence: u64,
}

/// A target that takes few requests for some time.
#[derive(Clone, Copy, Debug)]
struct ColdTarget {
    /// Rate at which requests are sent to it; below the one that it takes, for the burst that
    /// an idle target gets and for the requests that peers send unheard.
    limit: RequestsPerSecond,
    until: Instant,
}

/// The limits of all targets, and the requests that count against them.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    limits: BTreeMap<EngineId, TargetLimit>,
    /// Answers to this instance, of targets in `limits`.
    own_answers: HashMap<EngineId, OwnAnswers>,
    /// Targets that are cold.
    cold: BTreeMap<EngineId, ColdTarget>,
    /// Most instances that this process has known of at a time.
    most_instances: u32,
    /// Requests of this instance, for all targets.
    own_counts: HashMap<EngineId, RequestCount>,
    /// Latest reported requests of the peers, for limited targets.
    peer_counts: HashMap<InstanceId, HashMap<EngineId, PeerCount>>,
    /// Requests of processes that have ended.
    ended_counts: HashMap<EngineId, RequestCount>,
    /// Limited targets whose limit or own count changed since the changes were last
    /// taken.
    changed: BTreeSet<EngineId>,
    /// Peers whose requests are known.
    heard_peers: u32,
    /// Peers that fell silent a short time ago. They may still send requests.
    missing_peers: u32,
    /// Per service, the latest time at which a refused client was told to return.
    return_times: HashMap<ServiceId, Instant>,
}

impl TargetLimits {
    /// Sets the number of peers that share the limits: those whose reports arrive, and
    /// those that fell silent a short time ago.
    pub fn set_peers(&mut self, heard: u32, missing: u32) {
        self.heard_peers = heard;
        self.missing_peers = missing;
        self.most_instances = self.most_instances.max(1 + heard + missing);
    }

    /// Takes a target for cold until `until`: it takes `rate` from all instances together.
    pub fn set_cold(
        &mut self,
        target: &EngineId,
        rate: RequestsPerSecond,
        until: Instant,
        now: Instant,
    ) {
        let known = self.cold.get(target).map(|cold| cold.until);
        let until = until.max(known.unwrap_or(until));
        if until > now {
            let limit = RequestsPerSecond(rate.0 * COLD_SHARE);
            self.cold
                .insert(target.clone(), ColdTarget { limit, until });
        }
    }

    /// Whether any target is cold.
    pub fn has_cold(&self, now: Instant) -> bool {
        self.cold.values().any(|cold| now < cold.until)
    }

    /// Rate at which the instances whose requests are known may send to a target; none if it
    /// has no limit. A cold target crashes above its rate, so all instances that may still
    /// run count there, heard of or not.
    fn rate(&self, target: &EngineId, now: Instant) -> Option<RequestsPerSecond> {
        let named = self.limit(target).map(|limit| self.known_rate(limit));
        let cold = self.cold.get(target).filter(|cold| now < cold.until);
        let cold = cold.map(|cold| {
            let known = 1 + self.heard_peers;
            let share = f64::from(known) / f64::from(self.most_instances.max(known));
            RequestsPerSecond((cold.limit.0 * share).max(MIN_RATE.0))
        });
        match (named, cold) {
            (Some(named), Some(cold)) => Some(RequestsPerSecond(named.0.min(cold.0))),
            (named, cold) => named.or(cold),
        }
    }

    /// Limit of a target; none if it has none.
    pub fn limit(&self, target: &EngineId) -> Option<RequestsPerSecond> {
        self.limits.get(target)?.in_force()
    }

    /// The targets with a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&EngineId, RequestsPerSecond)> {
        let limits = self.limits.iter();
        limits.filter_map(|(target, limit)| Some((target, limit.in_force()?)))
    }

    /// Time until the limit of a target allows another request; zero if it does now.
    pub fn wait(&self, target: &EngineId, now: Instant) -> Duration {
        let Some(rate) = self.rate(target, now) else {
            return Duration::ZERO;
        };
        let count = self.count(target, now);
        let max_count = max_count(rate);
        match count <= max_count {
            true => Duration::ZERO,
            false => TIME_CONSTANT.mul_f64((count / max_count).ln()),
        }
    }

    /// Requests of all instances to a target, with their present weights.
    fn count(&self, target: &EngineId, now: Instant) -> f64 {
        let own = [&self.own_counts, &self.ended_counts];
        let own = own.iter().filter_map(|counts| counts.get(target));
        let peers = self.peer_counts.values();
        let peers = peers.filter_map(|counts| Some(&counts.get(target)?.count));
        own.chain(peers).map(|count| count.at(now)).sum()
    }

    /// Part of a limit for the instances whose requests are known: missing peers are
    /// assumed to use an equal part each.
    fn known_rate(&self, limit: RequestsPerSecond) -> RequestsPerSecond {
        let known = f64::from(1 + self.heard_peers);
        let share = known / (known + f64::from(self.missing_peers));
        RequestsPerSecond((limit.0 * share).max(MIN_RATE.0))
    }

    /// Counts a request, or a part of one, that is being sent to a target.
    pub fn record_request(&mut self, target: &EngineId, now: Instant) {
        let count = self.own_counts.entry(target.clone()).or_default();
        count.add(1.0, now);
        if self.limits.contains_key(target) || self.cold.contains_key(target) {
            self.changed.insert(target.clone());
        }
    }

    /// Records what an answer to a request that was sent at `sent_at` said about the
    /// target's limit. Returns the change of the limit, if there is one.
    ///
    /// A limit is withdrawn by two answers without one. Each of them must belong to a
    /// request that was sent after the answer before it, so that answers that overtake
    /// each other change nothing.
    pub fn record_answer(
        &mut self,
        target: &EngineId,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.limits.get(target).copied();
        let mut answers = self.own_answers.get(target).copied().unwrap_or_default();
        let updated = match (statement, known) {
            (LimitStatement::Limited(limit), _) => {
                answers.named_at = Some(now);
                TargetLimit {
                    limit,
                    named_at: now,
                    doubted_at: None,
                    withdrawn_at: None,
                }
            }
            (LimitStatement::Unlimited, Some(known)) if known.withdrawn_at.is_none() => {
                match known.doubted_at {
                    None if sent_at > known.named_at => {
                        answers.doubted_at = Some(now);
                        TargetLimit {
                            doubted_at: Some(now),
                            ..known
                        }
                    }
                    Some(doubted_at) if sent_at > doubted_at => {
                        answers.withdrawn_at = Some(now);
                        TargetLimit {
                            withdrawn_at: Some(now),
                            ..known
                        }
                    }
                    _ => return None,
                }
            }
            (LimitStatement::Unlimited, _) => return None,
        };
        self.own_answers.insert(target.clone(), answers);
        if statement == LimitStatement::Unlimited {
            self.changed.insert(target.clone());
        }
        self.update(target, updated)
    }

    /// Sets the limit of a target to `updated` and returns the change.
    fn update(&mut self, target: &EngineId, updated: TargetLimit) -> Option<LimitChange> {
        let before = self.limits.insert(target.clone(), updated);
        let before = before.and_then(|before| before.in_force());
        let change = match (before, updated.in_force()) {
            (before, Some(limit)) if before != Some(limit) => {
                LimitChange::Limited { limit, before }
            }
            (Some(before), None) => LimitChange::Withdrawn { before },
            _ => return None,
        };
        self.changed.insert(target.clone());
        Some(change)
    }

    /// Merges a peer's reports, of the message with number `sequence`. Returns the
    /// changes of limits.
    pub fn merge_reports(
        &mut self,
        peer: &InstanceId,
        sequence: u64,
        reports: &[LimitReport],
        now: Instant,
    ) -> Vec<(EngineId, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let target = &report.target;
            let counts = self.peer_counts.entry(peer.clone()).or_default();
            let newest = counts.get(target).map_or(0, |known| known.sequence);
            if newest <= sequence {
                let sent_count = Some(report.sent_count).filter(|count| count.is_finite());
                let count = RequestCount {
                    count: sent_count
                        .unwrap_or_default()
                        .clamp(0.0, MAX_REPORTED_COUNT),
                    updated_at: now,
                };
                counts.insert(target.clone(), PeerCount { count, sequence });
            }
            let Some(updated) = self.merged_limit(report, now) else {
                continue;
            };
            if let Some(change) = self.update(target, updated) {
                changes.push((target.clone(), change));
            }
        }
        changes
    }

    /// Limit of a target with what a report tells of it; none if that is nothing new.
    fn merged_limit(&self, report: &LimitReport, now: Instant) -> Option<TargetLimit> {
        let answers = report.answers(now);
        if let Some(known) = self.limits.get(&report.target) {
            return Some(known.merged_with(&answers, report.limit));
        }
        let known = TargetLimit {
            limit: report.limit,
            named_at: answers.named_at.or(answers.withdrawn_at)?,
            doubted_at: None,
            withdrawn_at: None,
        };
        Some(known.merged_with(&answers, report.limit))
    }

    /// Takes the reports of the limited targets whose limit or own requests changed since
    /// the last call.
    pub fn take_changed_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let changed = std::mem::take(&mut self.changed);
        let reports = changed.iter().filter_map(|target| self.report(target, now));
        reports.collect()
    }

    /// Reports of all limited targets, and of those whose limit was withdrawn lately.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let targets: BTreeSet<&EngineId> = self.limits.keys().chain(self.cold.keys()).collect();
        let targets = targets.into_iter();
        targets
            .filter_map(|target| self.report(target, now))
            .collect()
    }

    fn report(&self, target: &EngineId, now: Instant) -> Option<LimitReport> {
        let own_count = self.own_counts.get(target);
        let sent_count = own_count.map_or(0.0, |count| count.at(now));
        let Some(known) = self.limits.get(target) else {
            // Only the count: without an age, the report names no limit.
            let cold = self.cold.get(target).filter(|_| sent_count >= MIN_COUNT)?;
            return Some(LimitReport {
                target: target.clone(),
                limit: cold.limit,
                named_age: None,
                doubted_age: None,
                withdrawn_age: None,
                sent_count,
            });
        };
        let answers = self.own_answers.get(target).copied().unwrap_or_default();
        let age = |at: Option<Instant>| at.map(|at| now - at);
        let since_naming = |at: Option<Instant>| at.filter(|at| *at >= known.named_at);
        let is_in_force = known.in_force().is_some();
        known.is_kept(now).then(|| LimitReport {
            target: target.clone(),
            limit: known.limit,
            named_age: age(answers.named_at.filter(|_| is_in_force)),
            doubted_age: age(since_naming(answers.doubted_at)),
            withdrawn_age: age(since_naming(answers.withdrawn_at)),
            sent_count,
        })
    }

    /// Keeps the requests of a peer's process that was replaced, until they have decayed:
    /// the new process does not report them.
    pub fn record_peer_restart(&mut self, peer: &InstanceId, now: Instant) {
        let counts = self.peer_counts.remove(peer).unwrap_or_default();
        for (target, peer_count) in counts {
            let ended = self.ended_counts.entry(target).or_default();
            ended.add(peer_count.count.at(now), now);
        }
    }

    /// Forgets the limit of a target whose process was replaced.
    pub fn forget_limit(&mut self, target: &EngineId) {
        self.limits.remove(target);
        self.own_answers.remove(target);
        self.cold.remove(target);
    }

    /// Time after which a client that is refused now can be served: `wait`, the time
    /// until the limits of `targets` allow another request, or later, so that the clients
    /// of this instance do not return faster than its part of the limits allows.
    pub fn take_retry_delay(
        &mut self,
        service: &ServiceId,
        targets: &[EngineId],
        wait: Duration,
        now: Instant,
    ) -> Duration {
        let rates = targets.iter().filter_map(|target| self.rate(target, now));
        let rate: f64 = rates.map(|rate| rate.0).sum();
        let interval = f64::from(1 + self.heard_peers) / rate.max(MIN_RATE.0);
        let earliest = now + wait;
        let return_at = match self.return_times.get(service) {
            Some(latest) => earliest.max(*latest + Duration::from_secs_f64(interval)),
            None => earliest,
        };
        self.return_times.insert(service.clone(), return_at);
        return_at - now
    }

    /// Drops what no longer matters: the limits of targets for which `is_known` is false,
    /// and counts that have decayed.
    pub fn remove_expired(&mut self, is_known: impl Fn(&EngineId) -> bool, now: Instant) {
        self.limits
            .retain(|target, limit| is_known(target) && limit.is_kept(now));
        let limits = &self.limits;
        self.own_answers
            .retain(|target, _| limits.contains_key(target));
        for counts in [&mut self.own_counts, &mut self.ended_counts] {
            counts.retain(|_, count| count.at(now) >= MIN_COUNT);
        }
        self.peer_counts.retain(|_, counts| {
            counts.retain(|_, peer_count| peer_count.count.at(now) >= MIN_COUNT);
            !counts.is_empty()
        });
        self.return_times.retain(|_, at| *at > now);
        self.cold.retain(|_, cold| cold.until > now);
    }
}

impl LimitReport {
    /// The answers that the report tells of; those that are too old are left out.
    fn answers(&self, now: Instant) -> OwnAnswers {
        let at = |age: Option<Duration>| {
            let age = age.filter(|age| *age <= ANSWER_RETENTION)?;
            Some(Instant::from_start(now.since_start().saturating_sub(age)))
        };
        OwnAnswers {
            named_at: at(self.named_age),
            doubted_at: at(self.doubted_age),
            withdrawn_at: at(self.withdrawn_age),
        }
    }
}

/// Largest count at which another request may be sent. Requests that are sent whenever
/// the count has fallen to this value arrive at `rate`.
fn max_count(rate: RequestsPerSecond) -> f64 {
    let weights_per_request = 1.0 / (rate.0 * TIME_CONSTANT.as_secs_f64());
    1.0 / weights_per_request.exp_m1()
}
