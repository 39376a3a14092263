/*!
The daemon on the users' platform: requests are routed by host and path to the
targets of a service.

- [`requests`](handle): from a caller's request to its end;
- `exchange`: one try at one target;
- `relay`: a stream of events, resumed at another engine where it broke;
- `watch`: the configuration and the list of targets, from the platform's store;
- `gossip`: what the instances tell each other;
- `upstream`, `store`: connections and the store's client.
*/

mod attempts;
mod exchange;
mod gauges;
mod gossip;
mod relay;
mod requests;
mod reservations;
mod response_timeouts;
mod responses;
mod run;
mod store;
mod upstream;
mod watch;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use cyclamengauge_core::{
    clock::Instant,
    ids::ServiceId,
    serving::{
        crashes::Crashes,
        peers::{self, Peers},
        queue::Queue,
        rate,
        retry_budget::{RetryBudget, RetryLimits},
        routes::RouteTable,
        targets::Targets,
    },
};
use cyclamengauge_platform::{configuration, settings, store::StoreVersion};
use tokio::sync::Notify;

pub use requests::handle;
pub use run::{Listeners, run, shut_down, start};

use crate::{
    http::Connections,
    node::Clock,
    telemetry::{process, trace::RequestLog},
};

/// Silence of the store beyond the bound for configurations after which this
/// instance may have missed a change.
const STALE_SLACK: Duration = Duration::from_millis(2_500);

/// All state of a daemon on the platform.
pub struct Gateway {
    /// Settings of this process.
    pub settings: RefCell<settings::Settings>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Start of this process in Unix microseconds.
    pub incarnation: u64,
    /// The configuration in force.
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Since when it is in force.
    configured_at: Cell<Instant>,
    /// The configuration in force as the store holds it, for peers.
    stored_configuration: RefCell<Bytes>,
    /// The list of targets as the store holds it, for peers.
    stored_list: RefCell<BTreeMap<String, Vec<u8>>>,
    /// Version of the store up to which the list is known.
    list_version: Cell<StoreVersion>,
    /// Whether the latest try to follow the list failed.
    list_failing: Cell<bool>,
    /// Targets and loads.
    pub targets: RefCell<Targets>,
    /// Whether the list of targets was read since the start.
    listed: Cell<bool>,
    /// Streams that callers ask this instance for.
    stream_rate: Cell<rate::Rate>,
    /// Long prompts that wait for their turn.
    queue: RefCell<Queue>,
    retries: RefCell<RetryBudget>,
    crashes: RefCell<Crashes>,
    rng: RefCell<fastrand::Rng>,
    peers: RefCell<Peers>,
    /// Whether something is being fetched from a peer.
    fetching: Cell<bool>,
    /// Whether the latest try to follow the configuration failed.
    store_away: Cell<bool>,
    /// Latest call to the store that failed, and that succeeded.
    store_failed_at: Cell<Option<Instant>>,
    store_answered_at: Cell<Option<Instant>>,
    /// Latest call about the list of targets that succeeded.
    list_answered_at: Cell<Option<Instant>>,
    /// Told when the loads have changed, so that peers hear of it.
    load_changed: Notify,
    /// Whether SIGTERM was received, and when.
    closing_since: Cell<Option<Instant>>,
    /// Connections of callers.
    connections: Connections,
    /// Requests of callers in progress.
    in_progress: Cell<usize>,
    /// Log lines of requests.
    request_log: Rc<RequestLog>,
}

impl Gateway {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(settings: settings::Settings, incarnation: u64) -> Self {
        let retries = RetryBudget::new(retry_limits(&settings));
        let mut peers = Peers::default();
        for seed in &settings.seeds {
            peers.add_address(*seed, Instant::ZERO);
        }
        let clock = Clock::start();
        Self {
            request_log: Rc::new(RequestLog::new(clock)),
            clock,
            incarnation,
            table: RefCell::default(),
            configured_at: Cell::default(),
            stored_configuration: RefCell::default(),
            stored_list: RefCell::default(),
            list_version: Cell::default(),
            list_failing: Cell::new(false),
            targets: RefCell::default(),
            listed: Cell::new(false),
            stream_rate: Cell::default(),
            queue: RefCell::default(),
            retries: RefCell::new(retries),
            crashes: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(incarnation)),
            peers: RefCell::new(peers),
            fetching: Cell::new(false),
            store_away: Cell::new(false),
            store_failed_at: Cell::new(None),
            store_answered_at: Cell::new(None),
            list_answered_at: Cell::new(None),
            load_changed: Notify::new(),
            closing_since: Cell::new(None),
            connections: Connections::default(),
            in_progress: Cell::new(0),
            settings: RefCell::new(settings),
        }
    }

    /// Whether this instance takes new connections.
    pub fn is_ready(&self) -> bool {
        let configured = self.table.borrow().is_some() && self.listed.get();
        configured && self.closing_since.get().is_none()
    }

    /// The configuration in force.
    fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    fn configuration_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version())
    }

    /// Puts a configuration in force if it is newer than the one that is.
    fn adopt(&self, stored: Bytes, source: &str) {
        let decoded = match configuration::decode(&stored) {
            Ok(decoded) => decoded,
            Err(err) => {
                process::configuration_faulty(source, &err);
                return;
            }
        };
        let (version, known) = (decoded.version, self.configuration_version());
        if version <= known {
            return;
        }
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(decoded)));
        *self.stored_configuration.borrow_mut() = stored;
        self.load_changed.notify_waiters();
        self.configured_at.set(self.clock.now());
        process::configured(version, known, source);
    }

    /// Whether the store was silent for so long that a change may be missing.
    fn is_stale(&self) -> bool {
        let now = self.clock.now();
        let answered_at = self.store_answered_at.get();
        let bounds = self.settings.borrow().bounds;
        let after = bounds.configuration_apply_limit + STALE_SLACK;
        self.store_away.get() || answered_at.is_none_or(|at| now - at > after)
    }

    /// Counts a caller's request for the retry budget and the rate of streams.
    fn note_request(&self, job: &exchange::ClientRequest) {
        let now = self.clock.now();
        if job.stream.is_some() {
            let rate = self.stream_rate.get().decayed_to(now).with_event();
            self.stream_rate.set(rate);
        }
        let mut retries = self.retries.borrow_mut();
        retries.record_request(&job.service, now);
    }

    /// Streams that the peers are likely to have placed since their latest news,
    /// if they get as many as this instance.
    fn unseen(&self) -> f64 {
        let now = self.clock.now();
        let peers = self.peers.borrow().alive_count(now);
        let rate = self.stream_rate.get().decayed_to(now).per_s();
        rate * f64::from(peers) * peers::expected_gossip_age(peers).as_secs_f64()
    }

    /// Instances that share the traffic, this one included.
    fn instances(&self) -> u32 {
        let now = self.clock.now();
        1 + self.peers.borrow().alive_count(now)
    }

    /// Time since the store last answered about the list of targets.
    fn list_age(&self) -> Option<Duration> {
        let answered_at = self.list_answered_at.get()?;
        Some(self.clock.now() - answered_at)
    }

    /// Retries of a service's requests that this instance may still make.
    fn retries_left(&self, service: &ServiceId) -> u64 {
        let (instances, now) = (self.instances(), self.clock.now());
        self.retries.borrow_mut().remaining(service, instances, now)
    }

    fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }
}

fn retry_limits(settings: &settings::Settings) -> RetryLimits {
    RetryLimits {
        ratio: settings.bounds.retry_ratio,
        extra_retries: settings.bounds.retry_extra,
        window: settings.bounds.retry_window,
    }
}
