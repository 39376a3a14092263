/*!
Gateway for the users' platform: routes client requests by host and path to the
targets of a service.

A request passes through four folders, each of which uses only those below it:

- [`request`](handle): from arrival to response, with admission, the long-prompt queue,
  retries and streams that are resumed on another engine;
- `handover`: an attempt that a peer makes, or that is made for a peer;
- `attempt`: one attempt at one target, the paths to the targets, and the guards that count
  requests;
- `response`: heads and errors that clients are told.

Beside them:

- `client_body`: bodies of requests, as far as there is memory for them;
- `door_limits`: number of connections and time limits of each listener;
- `watch`: the configuration and the target list, from the platform's store or from
  peers that watch it;
- `gossip`: exchange of loads, crashes and versions between instances;
- `target_limits`: the limits that targets name in their responses;
- `target_notices`: what targets say of themselves in their responses;
- `refused_parts`: parts of prompts that crash engines, in the platform's store;
- `memory`: the memory that is held for clients and targets;
- `upstream`, `store`: outgoing connections and the store client.
*/

mod attempt;
mod client_body;
mod door_limits;
mod gauges;
mod gossip;
mod handover;
pub mod memory;
mod own_link;
mod peer_keys;
mod refused_parts;
mod request;
mod response;
mod run;
mod store;
mod target_limits;
mod target_notices;
mod upstream;
mod watch;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, PromptPartId, ServiceId},
    serving::{
        configuration_spread::{
            offers::Offers,
            pacing::{self, Pacer},
            sources::Sources,
            versions::Versions,
        },
        crashes::Crashes,
        dissemination::Schedule,
        handover::TakenOver,
        peers::{self, Peers},
        prompt_parts::PromptParts,
        queue::Queue,
        rate,
        reachability::Reachability,
        retry_budget::{RetryBudget, RetryLimits},
        routes::RouteTable,
        shutdown::Shutdown,
        target_list::TargetList,
        targets::Targets,
        watchers::Watchers,
    },
    units::MegabitsPerSecond,
};
use cyclamengauge_platform::{configuration, settings, store::StoreEra};
use tokio::sync::Notify;

pub use request::handle;
pub use run::{Listeners, run, shut_down, start};

use crate::{
    gateway::own_link::OwnLinkUse,
    http::Connections,
    node::Clock,
    telemetry::{process_events, trace::RequestLog},
};

/// Time without a response from the store, beyond the apply limit of
/// configurations, after which this instance may have missed a change.
const STALE_CONFIGURATION_MARGIN: Duration = Duration::from_millis(2_500);

/// Time until the next configuration is read or fetched, in times that the latest one took
/// to decode: a quick series then takes a bounded share of the processor.
const APPLY_PAUSE_FACTOR: u32 = 3;

/// Largest such time, as a share of the time in which a configuration must be in force.
const MAX_DEFERRAL_SHARE: f64 = 0.2;

/// Age up to which peers report events. The clock must be able to express their times,
/// also if they are before the start of this process.
const REPORTED_PAST: Duration = Duration::from_secs(3_600);

/// State of this instance's watch of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TableWatch {
    /// Peers watch the table, or the watch has not begun.
    #[default]
    Paused,
    /// The latest call succeeded.
    Active,
    /// The latest call failed.
    Failing,
}

/// State of a gateway process.
pub struct Gateway {
    /// Settings of this process.
    pub settings: RefCell<settings::Settings>,
    /// Monotonic clock; at one hour, as `REPORTED_PAST` says, when the process starts.
    pub clock: Clock,
    /// Start of the process.
    started_at: Instant,
    /// Start of this process, in µs since the Unix epoch.
    pub incarnation: u64,
    /// Route table of the configuration in force; none before the first one.
    route_table: RefCell<Option<Rc<RouteTable>>>,
    /// Time at which the configuration in force was applied.
    configuration_applied_at: Cell<Instant>,
    /// The configuration in force and earlier ones, encoded as in the store, for peers.
    configuration_versions: RefCell<Versions>,
    /// Peers with their versions of the configuration.
    configuration_sources: RefCell<Sources>,
    /// Transfers of the configuration to peers.
    configuration_offers: RefCell<Offers>,
    /// Time before which no further configuration is read or fetched, so that neither the
    /// link nor the processor is taken up by a quick series of versions.
    next_configuration_at: Cell<Instant>,
    /// Bytes of configurations from the store and from peers.
    configuration_pacer: Cell<Pacer>,
    own_link: Rc<OwnLinkUse>,
    /// The target list as stored, for peers.
    target_list: RefCell<TargetList>,
    target_list_watch: Cell<TableWatch>,
    /// Watch states of the peers.
    watchers: RefCell<Watchers>,
    /// Targets with their health and load.
    pub targets: RefCell<Targets>,
    /// Paths to the targets, from here and from the peers.
    pub reachability: RefCell<Reachability>,
    /// Requests of peers that reach no target.
    taken_over: RefCell<TakenOver>,
    /// Number of the latest request that was handed over to a peer.
    last_handover: Cell<u64>,
    peer_keys: peer_keys::PeerKeys,
    /// Latest log line about a message on the peers' path that was rejected.
    rejection_logged_at: Cell<Option<Instant>>,
    /// Notified when a path changes, when probes are due, and when a peer reports its paths.
    path_changed: Notify,
    /// Whether the target list was read in full since the start.
    target_list_loaded: Cell<bool>,
    /// Rate of client requests for streams at this instance.
    stream_rate: Cell<rate::ArrivalRate>,
    /// Long-prompt queue.
    queue: RefCell<Queue>,
    retry_budget: RefCell<RetryBudget>,
    /// Latest log line about an invalid limit of a target.
    faulty_limit_logged_at: Cell<Option<Instant>>,
    /// Latest log line about an invalid notice, by target.
    faulty_notices_logged_at: RefCell<HashMap<EngineId, Instant>>,
    /// Targets whose limits the metrics have, so that they can be reset.
    limits_in_metrics: RefCell<BTreeSet<EngineId>>,
    /// Targets whose speeds the metrics have, so that they can be reset.
    paces_in_metrics: RefCell<BTreeSet<EngineId>>,
    crashes: RefCell<Crashes>,
    prompt_parts: RefCell<PromptParts>,
    rng: RefCell<fastrand::Rng>,
    peers: RefCell<Peers>,
    /// Fetches from peers that are scheduled or in progress.
    peer_fetches: gossip::FetchesInProgress,
    configuration_watch: Cell<TableWatch>,
    /// Latest era of the store that a watch or a peer has seen; none before the first one.
    store_era: Cell<Option<StoreEra>>,
    /// Notified when the store has come back from an older copy.
    store_era_changed: Notify,
    /// Latest failed store call of a watch, or the time at which a restoration of the store
    /// became known.
    last_store_failure_at: Cell<Option<Instant>>,
    /// Latest successful store call of a watch, here or at a peer that watches the
    /// tables for this instance.
    last_store_success_at: Cell<Option<Instant>>,
    /// Latest successful store call of the target list's watch, here or at a peer.
    last_target_list_success_at: Cell<Option<Instant>>,
    /// Notified when a load, the queue or the configuration changes: wakes the requests
    /// in the long-prompt queue.
    load_changed: Notify,
    /// Times of the next gossip messages.
    gossip_schedule: RefCell<Schedule>,
    /// Wakes the gossip sender after a change of its schedule.
    gossip_scheduled: Notify,
    /// Times of the shutdown; none before SIGTERM.
    shutdown: Cell<Option<Shutdown>>,
    /// Notified when the shutdown begins.
    shutdown_begun: Notify,
    /// Whether the process ends now and takes no further request.
    is_ending: Cell<bool>,
    /// Client connections.
    connections: Connections,
    /// Memory that is held for clients and targets.
    pub memory: memory::Memory,
    /// Client requests in progress.
    requests_in_progress: Cell<usize>,
    /// Log of client requests and placements.
    request_log: Rc<RequestLog>,
}

impl Gateway {
    /// Creates the state of a process without a configuration and targets. The
    /// seed addresses of `settings` are the first peers.
    pub fn new(settings: settings::Settings, incarnation: u64) -> Self {
        let retry_budget = RetryBudget::new(retry_limits(&settings));
        let clock = Clock::start_with_past(REPORTED_PAST);
        let started_at = clock.now();
        let link = link(&settings);
        let own_link_mbps = link.map(MegabitsPerSecond::rounded);
        let link = link.unwrap_or(pacing::DEFAULT_LINK);
        let mut peers = Peers::default();
        for seed in &settings.seeds {
            peers.add_address(*seed, started_at);
        }
        Self {
            request_log: Rc::new(RequestLog::new(clock)),
            clock,
            started_at,
            incarnation,
            route_table: RefCell::default(),
            configuration_applied_at: Cell::new(started_at),
            configuration_versions: RefCell::default(),
            configuration_sources: RefCell::default(),
            configuration_offers: RefCell::new(Offers::new(link)),
            next_configuration_at: Cell::new(started_at),
            configuration_pacer: Cell::new(Pacer::new(link)),
            own_link: Rc::new(OwnLinkUse::new(clock, settings.limits.memory_mb)),
            target_list: RefCell::default(),
            target_list_watch: Cell::default(),
            watchers: RefCell::new(Watchers::new(own_link_mbps)),
            targets: RefCell::default(),
            reachability: RefCell::default(),
            taken_over: RefCell::default(),
            last_handover: Cell::new(0),
            peer_keys: peer_keys::PeerKeys::default(),
            rejection_logged_at: Cell::default(),
            path_changed: Notify::new(),
            target_list_loaded: Cell::new(false),
            stream_rate: Cell::default(),
            queue: RefCell::default(),
            retry_budget: RefCell::new(retry_budget),
            faulty_limit_logged_at: Cell::default(),
            faulty_notices_logged_at: RefCell::default(),
            limits_in_metrics: RefCell::default(),
            paces_in_metrics: RefCell::default(),
            crashes: RefCell::default(),
            prompt_parts: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(incarnation)),
            peers: RefCell::new(peers),
            peer_fetches: gossip::FetchesInProgress::default(),
            configuration_watch: Cell::default(),
            store_era: Cell::new(None),
            store_era_changed: Notify::new(),
            last_store_failure_at: Cell::new(None),
            last_store_success_at: Cell::new(None),
            last_target_list_success_at: Cell::new(None),
            load_changed: Notify::new(),
            gossip_schedule: RefCell::default(),
            gossip_scheduled: Notify::new(),
            shutdown: Cell::new(None),
            shutdown_begun: Notify::new(),
            is_ending: Cell::new(false),
            connections: Connections::with_limits(door_limits::for_clients(&settings.limits, None)),
            memory: memory::Memory::new(settings.limits.memory_mb),
            requests_in_progress: Cell::new(0),
            settings: RefCell::new(settings),
        }
    }

    /// Whether this instance accepts new connections: the configuration and the
    /// target list are loaded, and no shutdown is in progress.
    pub fn is_ready(&self) -> bool {
        let loaded = self.route_table.borrow().is_some() && self.target_list_loaded.get();
        loaded && !self.is_shutting_down()
    }

    /// Route table of the configuration in force.
    fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    fn configuration_version(&self) -> u64 {
        self.route_table
            .borrow()
            .as_ref()
            .map_or(0, |t| t.version())
    }

    /// Applies an encoded configuration if it is newer than the one in force.
    fn apply_configuration(&self, stored: Rc<[u8]>, source: &str) {
        let started_at = self.clock.now();
        let is_in_force = {
            let versions = self.configuration_versions.borrow();
            versions.get(versions.current()) == Some(&stored)
        };
        if is_in_force {
            return;
        }
        let decoded = match configuration::decode(&stored) {
            Ok(decoded) => decoded,
            Err(err) => {
                process_events::log_configuration_faulty(source, &err);
                return;
            }
        };
        let (version, current_version) = (decoded.version, self.configuration_version());
        if version <= current_version {
            return;
        }
        let machine = self.settings.borrow().limits;
        let limits = door_limits::for_clients(&machine, Some(&decoded.limits));
        self.connections.set_limits(limits);
        let services = decoded.services.iter();
        let cold_starts =
            services.filter_map(|service| Some((service.id.clone(), service.cold_start?)));
        let now = self.clock.now();
        self.targets.borrow_mut().set_cold_starts(cold_starts, now);
        let route_table = Rc::new(RouteTable::new(decoded));
        if self.settings.borrow().learns_pace {
            let models = route_table.engine_models();
            self.targets.borrow_mut().pace.configure(Some(models));
        }
        *self.route_table.borrow_mut() = Some(route_table);
        let now = self.clock.now();
        self.configuration_versions
            .borrow_mut()
            .push(version, stored, now);
        self.configuration_sources.borrow_mut().record_applied();
        match current_version {
            // No peer has been heard yet that could be told.
            0 => self.report_progress(),
            // Peers fetch it from whoever has it.
            _ => self.report_placement(),
        }
        self.configuration_applied_at.set(now);
        let pause = (now - started_at) * APPLY_PAUSE_FACTOR;
        self.defer_configuration(now + pause);
        process_events::log_configuration(version, current_version, source);
    }

    /// Records bytes of a configuration from the store or a peer; the next ones follow
    /// when the link has room for them.
    fn record_configuration_bytes(&self, bytes: usize) {
        let now = self.clock.now();
        let mut pacer = self.configuration_pacer.get();
        pacer.record(bytes, now);
        self.configuration_pacer.set(pacer);
        self.defer_configuration(now + pacer.wait(now));
    }

    /// Reads and fetches no further configuration before `until`, within a part of the
    /// time in which one must be in force.
    fn defer_configuration(&self, until: Instant) {
        let limit = self.settings.borrow().bounds.configuration_apply_limit;
        let latest = self.clock.now() + limit.mul_f64(MAX_DEFERRAL_SHARE);
        let until = until.max(self.next_configuration_at.get()).min(latest);
        self.next_configuration_at.set(until);
    }

    /// Waits until a further configuration may be read or fetched.
    async fn wait_for_configuration_room(&self) {
        actix_rt::time::sleep(self.clock.until(self.next_configuration_at.get())).await;
    }

    /// Whether a change of the configuration may be missing: its watch fails, or
    /// the store did not respond for too long.
    fn is_configuration_stale(&self) -> bool {
        let now = self.clock.now();
        let last_success_at = self.last_store_success_at.get();
        let bounds = self.settings.borrow().bounds;
        let max_age = bounds.configuration_apply_limit + STALE_CONFIGURATION_MARGIN;
        self.configuration_watch.get() == TableWatch::Failing
            || last_success_at.is_none_or(|at| now - at > max_age)
    }

    /// Records the era of the store, from a response or from a peer.
    fn record_store_era(&self, era: StoreEra) {
        let before = self.store_era.get();
        if before >= Some(era) {
            return;
        }
        self.store_era.set(Some(era));
        self.store_era_changed.notify_waiters();
        if let Some(before) = before {
            // Entries that the store has lost are missing until they are written again.
            self.last_store_failure_at.set(Some(self.clock.now()));
            process_events::log_store_restored(era.0, before.0);
        }
    }

    /// Counts a client request for the retry budget and the stream rate.
    fn record_request(&self, request: &attempt::ClientRequest) {
        let now = self.clock.now();
        if request.stream.is_some() {
            let mut rate = self.stream_rate.get();
            rate.record(now);
            self.stream_rate.set(rate);
        }
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.record_request(&request.service, now);
    }

    /// Reports a placement, a change of the long-prompt queue, or the first event of a
    /// split prompt to the peers at once.
    fn report_placement(&self) {
        let now = self.clock.now();
        self.gossip_schedule.borrow_mut().record_placement(now);
        self.gossip_scheduled.notify_one();
        self.load_changed.notify_waiters();
    }

    /// Reports a first event, the end of a request or a new configuration to the peers
    /// soon.
    fn report_progress(&self) {
        let now = self.clock.now();
        self.gossip_schedule.borrow_mut().record_progress(now);
        self.gossip_scheduled.notify_one();
        self.load_changed.notify_waiters();
    }

    /// Expected number of streams that peers have placed since their last gossip
    /// message, if each peer receives streams at the rate of this instance.
    fn unreported_streams(&self) -> f64 {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let heard = peers.alive_count(now);
        let unheard = peers.expected_count(now) - heard;
        let rate_per_s = self.stream_rate.get().per_s(now);
        peers::unreported_streams(rate_per_s, heard, unheard, now - self.started_at)
    }

    /// Number of instances that share the traffic: this one and the peers that may be
    /// alive.
    fn instance_count(&self) -> u32 {
        let now = self.clock.now();
        1 + self.peers.borrow().expected_count(now)
    }

    /// Time since the latest successful store call of the target list's watch.
    fn target_list_age(&self) -> Option<Duration> {
        let last_success_at = self.last_target_list_success_at.get()?;
        Some(self.clock.now() - last_success_at)
    }

    /// Records that a target crashed while a prompt with `shared_parts` ran on it.
    fn record_part_crash(self: &Rc<Self>, shared_parts: &[PromptPartId], target: &EngineId) {
        let now = self.clock.now();
        let changes = self
            .prompt_parts
            .borrow_mut()
            .record_crash(shared_parts, target, now);
        let own = self.settings.borrow().instance.to_string();
        refused_parts::record_changes(self, changes, &own);
    }

    /// Records that an engine wrote the answer to a prompt with `shared_parts` to its end.
    fn record_part_completion(self: &Rc<Self>, shared_parts: &[PromptPartId]) {
        let now = self.clock.now();
        let changes = self
            .prompt_parts
            .borrow_mut()
            .record_completion(shared_parts, now);
        let own = self.settings.borrow().instance.to_string();
        refused_parts::record_changes(self, changes, &own);
    }

    /// Number of parts of prompts that are refused because they crash engines.
    pub fn refused_parts(&self) -> usize {
        self.prompt_parts.borrow().refused_count()
    }

    /// Whether a prompt has a part that crashes engines.
    fn has_refused_part(&self, shared_parts: &[PromptPartId]) -> bool {
        let prompt_parts = self.prompt_parts.borrow();
        prompt_parts.find_refused(shared_parts).is_some()
    }

    /// Retries of a service's requests that the retry budget still allows this
    /// instance.
    fn retries_left(&self, service: &ServiceId) -> u64 {
        let (instances, now) = (self.instance_count(), self.clock.now());
        self.retry_budget
            .borrow_mut()
            .remaining(service, instances, now)
    }

    /// Whether peers may hand requests over to this instance.
    fn takes_requests(&self) -> bool {
        let has_room = self.taken_over.borrow().has_room();
        has_room && self.peer_keys.is_loaded() && self.is_ready()
    }

    /// Whether too little of the shutdown grace period is left to accept a request.
    fn refuses_requests(&self, now: Instant) -> bool {
        let shutdown = self.shutdown.get();
        self.is_ending.get() || shutdown.is_some_and(|shutdown| shutdown.refuses(now))
    }

    /// Whether too little of the shutdown grace period is left for a request that no target
    /// has got, and whose response is expected to begin after `estimate`.
    fn is_too_late(&self, estimate: Duration) -> bool {
        let now = self.clock.now();
        let shutdown = self.shutdown.get();
        shutdown.is_some_and(|shutdown| shutdown.is_too_late(estimate, now))
    }

    /// Waits until the requests in progress must get their final answers, as the process ends.
    async fn wait_for_final_answers(&self) {
        loop {
            let begun = self.shutdown_begun.notified();
            if let Some(shutdown) = self.shutdown.get() {
                return actix_rt::time::sleep(self.clock.until(shutdown.answers_at)).await;
            }
            begun.await;
        }
    }

    fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }
}

fn retry_limits(settings: &settings::Settings) -> RetryLimits {
    RetryLimits {
        ratio: settings.bounds.retry_ratio,
        extra_retries: settings.bounds.retry_extra,
        window: settings.bounds.retry_window,
    }
}

/// Bandwidth of this machine's link, if the settings name it.
fn link(settings: &settings::Settings) -> Option<MegabitsPerSecond> {
    let link_mbps = settings.limits.link_mbps;
    link_mbps.filter(|mbps| *mbps > 0.0).map(MegabitsPerSecond)
}
