//! Whether this instance can open connections to the targets of a service, and which of
//! its peers can.
//!
//! A target that is down fails at every instance. An instance whose own path is cut fails
//! at every target, while its peers reach them. A failed connection alone does not tell
//! the two apart, so it makes the path of its service doubtful: further targets are
//! probed, and peers that hear of the doubt probe the service too. A connection to any
//! target ends the doubt; several failed targets and a peer that has connected since the
//! first failure confirm that the instance is cut off. It then hands requests over to
//! such peers until targets answer it again.
//!
//! Only the opening of connections counts, as open ones may outlive a cut.

pub mod own_link;
mod peers;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, ServiceId},
    serving::targets::{TargetFacts, Targets},
};

use peers::PeerPaths;
pub use peers::{PathReport, PeerChoice, PeerReport};

/// Number of probes in the first round.
const FIRST_ROUND_PROBES: usize = 3;

/// Number of targets that must fail before an instance counts as cut off, or all targets
/// of a service with fewer: those of two rounds of probes. If a third of the targets is
/// down, fewer may all be among these.
const MIN_CUT_TARGETS: usize = 3 * FIRST_ROUND_PROBES;

/// Time from a round of probes, made after the first failure, until an instance may count
/// as cut off: targets nearby refuse sooner than sound ones further away accept.
const MIN_FAILING_TIME: Duration = Duration::from_millis(30);

/// Number of targets that must answer before a service counts as reached again, or all
/// targets of a service with fewer.
const MIN_RETURNED_TARGETS: usize = 2;

/// Interval between two rounds of probes of a service.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest interval between two rounds of probes if the path becomes doubtful again.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of probes in a round.
const MAX_ROUND_PROBES: usize = 24;

/// Age up to which this instance's latest connection answers the doubt of a peer without
/// a probe.
const FRESH_CONNECTION_AGE: Duration = Duration::from_millis(300);

/// Age up to which a connection shows that another attempt is worth while, although others
/// failed since: about the time in which a round of probes is answered.
const RECENT_CONNECTION_AGE: Duration = Duration::from_millis(60);

/// Time after the first failure within which bytes on an open connection may have been
/// sent before the cut.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Time after a return within which another cut counts as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(5);

/// Time for which targets must answer before a flapping path is used again; doubles with
/// each further cut.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(300);
const MAX_RETURN_DELAY: Duration = Duration::from_millis(2_400);

/// Whether this instance can connect to the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PathState {
    /// The latest connection was opened.
    #[default]
    Open,
    /// Connections failed since the latest one that was opened.
    Doubtful,
    /// This instance reaches no target, but peers do.
    CutOff,
    /// Neither this instance nor, as far as it knows, a peer reaches a target.
    Unreachable,
}

/// Where the next attempt of a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Path {
    /// To a target.
    Direct,
    /// It is not known yet whether targets can be reached; the answer is a matter of a
    /// few hundred milliseconds.
    Undecided,
    /// To a peer that reaches the targets.
    Peer(PeerChoice),
    /// Nowhere: no target can be reached from any instance.
    Closed,
}

crate::data_types! {
    /// A target to be probed by opening a connection.
    pub struct Probe {
        /// Service of the target.
        pub service: ServiceId,
        /// Id of the target.
        pub target: EngineId,
        /// Address of the target.
        pub address: SocketAddr,
    }

    /// A change of a path's state that operators are told of.
    pub struct PathChange {
        /// Service whose targets the path leads to.
        pub service: ServiceId,
        /// State before the change.
        pub before: PathState,
        /// State from now on.
        pub after: PathState,
        /// Time since the first failed connection.
        pub failing_for: Duration,
        /// Targets that could not be connected to.
        pub failed_targets: usize,
        /// Requests that were handed over to peers meanwhile.
        pub handed_over: u64,
        /// Requests that were refused meanwhile.
        pub refused: u64,
    }
}

/// Path to the targets of one service.
#[derive(Clone, Debug, Default)]
struct ServicePath {
    state: PathState,
    /// Start of the latest attempt that opened a connection.
    connected_at: Option<Instant>,
    /// Targets that failed since then, with the start of the latest failed attempt.
    failed: BTreeMap<EngineId, Instant>,
    /// Start of the earliest failed attempt; none while the path is open.
    first_failed_at: Option<Instant>,
    /// Whether every listed target failed.
    all_failed: bool,
    /// Targets that have answered during the cut since it was last confirmed.
    returned: BTreeSet<EngineId>,
    /// Time of the first answer of these.
    returning_since: Option<Instant>,
    /// Failures since the latest answer during the cut.
    failures_in_row: usize,
    /// Time for which targets must answer before the path is open again.
    return_delay: Duration,
    /// Time at which the path was last open again after a cut.
    reopened_at: Option<Instant>,
    /// Latest bytes on an open connection while the path was not open.
    received_at: Option<Instant>,
    probed_at: Option<Instant>,
    next_probes_at: Option<Instant>,
    probe_rounds: u32,
    last_probed: Option<EngineId>,
    handed_over: u64,
    refused: u64,
}

/// Paths to the targets of all services, from this instance and from its peers.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: BTreeMap<ServiceId, ServicePath>,
    peers: PeerPaths,
    /// Start of the latest attempt that opened a connection to any target.
    connected_at: Option<Instant>,
    /// Whether the peers must hear of a path before the next complete state.
    has_news: bool,
}

impl Reachability {
    /// State of the path to a service.
    pub fn state(&self, service: &ServiceId) -> PathState {
        self.services
            .get(service)
            .map_or(PathState::Open, |path| path.state)
    }

    /// Records that a connection to a target, begun at `started_at`, was opened.
    pub fn record_connected(
        &mut self,
        service: &ServiceId,
        target: &EngineId,
        started_at: Instant,
        targets: &Targets,
        now: Instant,
    ) -> Option<PathChange> {
        self.connected_at = self.connected_at.max(Some(started_at));
        let path = self.services.entry(service.clone()).or_default();
        let was_fresh = path.is_fresh(now);
        path.connected_at = path.connected_at.max(Some(started_at));
        match path.state {
            PathState::Open => {
                // A peer in doubt waits for this.
                self.has_news |= !was_fresh;
                return None;
            }
            PathState::Doubtful | PathState::Unreachable => {
                path.failed.retain(|_, failed_at| *failed_at > started_at);
                if !path.failed.is_empty() {
                    path.first_failed_at = path.failed.values().min().copied();
                    return None;
                }
            }
            PathState::CutOff => {
                path.failed.remove(target);
                path.all_failed = false;
                path.returned.insert(target.clone());
                path.returning_since = path.returning_since.or(Some(now));
                path.failures_in_row = 0;
                if !path.has_returned(targets.listed(service, now).count(), now) {
                    return None;
                }
            }
        }
        let change = path.enter(service, PathState::Open, now);
        self.has_news = true;
        change
    }

    /// Records that a connection to a target, begun at `started_at`, could not be opened.
    pub fn record_failed(
        &mut self,
        service: &ServiceId,
        target: &EngineId,
        started_at: Instant,
        targets: &Targets,
        now: Instant,
    ) -> Option<PathChange> {
        let path = self.services.entry(service.clone()).or_default();
        if path.connected_at >= Some(started_at) && path.state != PathState::CutOff {
            return None;
        }
        path.failed.insert(target.clone(), started_at);
        path.failures_in_row += 1;
        if path.failures_in_row >= MIN_RETURNED_TARGETS {
            path.returned.clear();
            path.returning_since = None;
        }
        path.doubt(started_at, now);
        self.has_news = true;
        self.evaluate(service, targets, now)
    }

    /// Records that a connection, begun at `started_at`, is not open yet although it
    /// usually takes less time: whether the path is cut is worth a round of probes.
    pub fn record_slow(&mut self, service: &ServiceId, started_at: Instant, now: Instant) {
        let path = self.services.entry(service.clone()).or_default();
        if path.connected_at >= Some(started_at) || path.state != PathState::Open {
            return;
        }
        path.doubt(started_at, now);
        self.has_news = true;
    }

    /// Records bytes from a target of a service on an open connection.
    pub fn record_received(&mut self, service: &ServiceId, now: Instant) {
        if let Some(path) = self.services.get_mut(service)
            && path.state != PathState::Open
        {
            path.received_at = Some(now);
        }
    }

    /// Whether open connections to a service hang too: it can't be reached, and no bytes
    /// have arrived since.
    pub fn hangs(&self, service: &ServiceId) -> bool {
        let Some(path) = self.services.get(service) else {
            return false;
        };
        let is_cut = matches!(path.state, PathState::CutOff | PathState::Unreachable);
        let sent_before = path.first_failed_at.map(|at| at + TRANSIT_TIME);
        is_cut && path.received_at <= sent_before
    }

    /// Whether a connection to some target was opened by an attempt after `at`.
    pub fn has_connected_since(&self, at: Instant) -> bool {
        self.connected_at >= Some(at)
    }

    /// Whether a peer has connected to a target of a service since `at`.
    pub fn has_peer_connected_since(&self, service: &ServiceId, at: Instant) -> bool {
        self.peers.has_connected_since(service, at)
    }

    /// Merges what a peer reports of its paths. Returns the changes of this instance's
    /// paths that follow from it.
    pub fn merge_report(
        &mut self,
        report: PeerReport,
        targets: &Targets,
        now: Instant,
    ) -> Vec<PathChange> {
        for peer_path in report.paths.iter().filter(|path| !path.is_open) {
            let path = self.services.entry(peer_path.service.clone()).or_default();
            if path.state == PathState::Open && !path.is_fresh(now) {
                path.schedule_probes(now, FRESH_CONNECTION_AGE);
            }
        }
        self.peers.merge(report, now);
        let unresolved = self.services.iter();
        let unresolved = unresolved.filter(|(_, path)| path.state != PathState::Open);
        let unresolved: Vec<ServiceId> = unresolved.map(|(service, _)| service.clone()).collect();
        let changes = unresolved.iter();
        let changes = changes.filter_map(|service| self.evaluate(service, targets, now));
        changes.collect()
    }

    /// What this instance reports of its paths.
    pub fn reports(&self, now: Instant) -> Vec<PathReport> {
        let reports = self.services.iter().map(|(service, path)| PathReport {
            service: service.clone(),
            is_open: path.state == PathState::Open,
            connected_age: path.connected_at.map(|at| now - at),
        });
        reports.collect()
    }

    /// Whether the peers must hear of a path before the next complete state.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// As [`Self::has_news`]; false from then on, as they are told now.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Where the next attempt of a request goes. `tried` are the peers that it was handed
    /// over to before, `is_first` says whether none of its attempts has failed.
    pub fn path(
        &self,
        service: &ServiceId,
        data_centre: &DataCentreId,
        tried: &[InstanceId],
        is_first: bool,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Path {
        let Some(path) = self.services.get(service) else {
            return Path::Direct;
        };
        match path.state {
            PathState::Open => Path::Direct,
            PathState::Doubtful if is_first || path.has_connected_lately(now) => Path::Direct,
            PathState::Doubtful => Path::Undecided,
            // A peer may not have noticed yet that it reaches no target either; it refuses
            // then, and reports it.
            PathState::CutOff | PathState::Unreachable => {
                let choice = self.peers.choose(service, data_centre, tried, rng, now);
                match choice {
                    Some(peer) => Path::Peer(peer),
                    None if path.all_failed => Path::Closed,
                    None => Path::Direct,
                }
            }
        }
    }

    /// Records that a request was sent to a peer.
    pub fn begin_handover(&mut self, service: &ServiceId, peer: &InstanceId) {
        if let Some(path) = self.services.get_mut(service) {
            path.handed_over += 1;
        }
        self.peers.begin(peer);
    }

    /// Records the end of a request that was sent to a peer.
    pub fn end_handover(&mut self, peer: &InstanceId) {
        self.peers.end(peer);
    }

    /// Records that a request was refused as no instance reaches a target.
    pub fn record_refusal(&mut self, service: &ServiceId) {
        if let Some(path) = self.services.get_mut(service) {
            path.refused += 1;
        }
    }

    /// Time of the next probes; none if there are none to make.
    pub fn probes_due_at(&self) -> Option<Instant> {
        let due = self
            .services
            .values()
            .filter_map(|path| path.next_probes_at);
        due.min()
    }

    /// Takes the probes that are due.
    pub fn take_probes(&mut self, targets: &Targets, now: Instant) -> Vec<Probe> {
        let mut probes = Vec::new();
        for (service, path) in &mut self.services {
            if path.next_probes_at.is_some_and(|at| at <= now) {
                let listed = targets.listed(service, now).map(|target| &target.facts);
                let listed: Vec<&TargetFacts> = listed.collect();
                probes.extend(path.take_round(service, &listed, now));
            }
        }
        probes
    }

    /// Targets other than `target` whose probes show whether this instance's own path is at
    /// fault for a failed connection to it.
    pub fn control_probes(&self, target: &EngineId, targets: &Targets, now: Instant) -> Vec<Probe> {
        let others = targets.iter().filter(|other| {
            &other.facts.id != target && !other.facts.draining && !other.is_suspect(now)
        });
        let others: Vec<_> = others.collect();
        // An even sample of the ids, which says more than neighbours in one data centre.
        let step = (others.len() / FIRST_ROUND_PROBES).max(1);
        let sample = others.iter().step_by(step).take(FIRST_ROUND_PROBES);
        sample.map(|other| Probe::of(&other.facts)).collect()
    }

    fn evaluate(
        &mut self,
        service: &ServiceId,
        targets: &Targets,
        now: Instant,
    ) -> Option<PathChange> {
        let path = self.services.get_mut(service)?;
        let first_failed_at = path.first_failed_at?;
        let listed: BTreeMap<&EngineId, &DataCentreId> = targets
            .listed(service, now)
            .map(|target| (&target.facts.id, &target.facts.data_centre))
            .collect();
        if listed.is_empty() {
            return path.enter(service, PathState::Open, now);
        }
        path.failed.retain(|target, _| listed.contains_key(target));
        path.all_failed = path.failed.len() >= listed.len();
        let required = MIN_CUT_TARGETS.min(listed.len());
        let data_centres: BTreeSet<&DataCentreId> = listed.values().copied().collect();
        let failed = path.failed.keys().filter_map(|target| listed.get(target));
        let failed: BTreeSet<&DataCentreId> = failed.copied().collect();
        let probed_at = path.probed_at.filter(|at| *at >= first_failed_at);
        // Targets that crash together, such as those of a data centre, are no cut.
        let is_confirmed = path.failed.len() >= required
            && failed.len() == data_centres.len()
            && probed_at.is_some_and(|at| now - at >= MIN_FAILING_TIME);
        let is_reached_by_peer = self.peers.has_connected_since(service, first_failed_at);
        let state = match path.state {
            PathState::Open | PathState::CutOff => path.state,
            PathState::Doubtful | PathState::Unreachable if is_confirmed && is_reached_by_peer => {
                PathState::CutOff
            }
            _ if path.all_failed => PathState::Unreachable,
            _ => PathState::Doubtful,
        };
        let change = path.enter(service, state, now);
        self.has_news |= change.is_some();
        change
    }
}

impl ServicePath {
    fn is_fresh(&self, now: Instant) -> bool {
        self.connected_at
            .is_some_and(|at| now - at < FRESH_CONNECTION_AGE)
    }

    fn has_connected_lately(&self, now: Instant) -> bool {
        self.connected_at
            .is_some_and(|at| now - at <= RECENT_CONNECTION_AGE)
    }

    fn doubt(&mut self, started_at: Instant, now: Instant) {
        let first = self.first_failed_at.unwrap_or(started_at);
        self.first_failed_at = Some(first.min(started_at));
        if self.state == PathState::Open {
            self.state = PathState::Doubtful;
            self.probe_rounds = 0;
            self.schedule_probes(now, MIN_PROBE_INTERVAL);
        }
    }

    /// Schedules a round of probes, at least `interval` after the one before.
    fn schedule_probes(&mut self, now: Instant, interval: Duration) {
        let earliest = self.probed_at.map_or(now, |at| at + interval);
        let at = now.max(earliest);
        self.next_probes_at = Some(self.next_probes_at.map_or(at, |known| known.min(at)));
    }

    /// Whether enough targets have answered, for long enough.
    fn has_returned(&self, listed: usize, now: Instant) -> bool {
        self.returned.len() >= MIN_RETURNED_TARGETS.min(listed)
            && self
                .returning_since
                .is_some_and(|since| now - since >= self.return_delay)
    }

    /// Enters a state. Returns the change unless it is only a doubt or the end of one.
    fn enter(&mut self, service: &ServiceId, state: PathState, now: Instant) -> Option<PathChange> {
        let before = std::mem::replace(&mut self.state, state);
        if before == state {
            return None;
        }
        let change = PathChange {
            service: service.clone(),
            before,
            after: state,
            failing_for: self.first_failed_at.map_or(Duration::ZERO, |at| now - at),
            failed_targets: self.failed.len(),
            handed_over: self.handed_over,
            refused: self.refused,
        };
        match state {
            PathState::CutOff => {
                let is_flapping = self.reopened_at.is_some_and(|at| now - at < FLAP_WINDOW);
                self.return_delay = match is_flapping {
                    true => (self.return_delay * 2).clamp(MIN_RETURN_DELAY, MAX_RETURN_DELAY),
                    false => Duration::ZERO,
                };
                self.returned.clear();
                self.returning_since = None;
            }
            PathState::Open => {
                if before == PathState::CutOff {
                    self.reopened_at = Some(now);
                }
                self.failed.clear();
                self.first_failed_at = None;
                self.all_failed = false;
                self.received_at = None;
                self.next_probes_at = None;
                (self.handed_over, self.refused) = (0, 0);
            }
            PathState::Doubtful | PathState::Unreachable => {}
        }
        let is_reported = |state| matches!(state, PathState::CutOff | PathState::Unreachable);
        (is_reported(before) || is_reported(state)).then_some(change)
    }

    fn take_round(
        &mut self,
        service: &ServiceId,
        listed: &[&TargetFacts],
        now: Instant,
    ) -> Vec<Probe> {
        let size = match self.state {
            PathState::Open => 1,
            // All targets are covered within a few rounds, however many there are.
            PathState::Doubtful => {
                (FIRST_ROUND_PROBES << self.probe_rounds.min(3)).min(MAX_ROUND_PROBES)
            }
            PathState::CutOff | PathState::Unreachable => FIRST_ROUND_PROBES,
        };
        self.probed_at = Some(now);
        self.probe_rounds += 1;
        self.next_probes_at = match (self.state, self.probe_rounds) {
            (PathState::Open, _) => None,
            (PathState::Doubtful, 1) => Some(now + MIN_FAILING_TIME),
            _ => Some(now + PROBE_INTERVAL),
        };
        let mut order = listed.to_vec();
        let first = order.partition_point(|facts| Some(&facts.id) <= self.last_probed.as_ref());
        order.rotate_left(first);
        // Targets that have not failed yet decide a doubt, those of all data centres alike.
        let mut counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        let ranks = order.iter().map(|facts| {
            let count = counts.entry(&facts.data_centre).or_default();
            *count += 1;
            *count
        });
        let ranks: Vec<usize> = ranks.collect();
        let mut ranked: Vec<(usize, &TargetFacts)> = ranks.into_iter().zip(order).collect();
        ranked.sort_by_key(|(rank, facts)| (self.failed.contains_key(&facts.id), *rank));
        let mut order: Vec<&TargetFacts> = ranked.into_iter().map(|(_, facts)| facts).collect();
        order.truncate(size);
        self.last_probed = order.last().map(|facts| facts.id.clone());
        let probes = order.into_iter().map(|facts| Probe {
            service: service.clone(),
            ..Probe::of(facts)
        });
        probes.collect()
    }
}

impl Probe {
    fn of(facts: &TargetFacts) -> Self {
        Self {
            service: facts.service.clone(),
            target: facts.id.clone(),
            address: facts.address,
        }
    }
}

impl PathState {
    /// Stable name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Doubtful => "doubtful",
            Self::CutOff => "cut-off",
            Self::Unreachable => "unreachable",
        }
    }
}
