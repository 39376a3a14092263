/*!
State of one daemon, shared by all tasks of its thread.

[`Node`] owns the dispatcher and executes its actions. Tasks hold the node in an
`Rc` and never keep a borrow of its cells across an `await`.
*/

mod actions;
mod configure;
mod decision_log;
mod directory;
mod time;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use cyclamengauge_core::{
    dispatch,
    ids::{AttemptId, EngineId, RequestId},
    intent,
    recovery::local_retry_budget,
    serving::targets::Targets,
    units::Tokens,
};
use cyclamengauge_schema::v1;
use tokio::sync::{Notify, mpsc};

pub use decision_log::DecisionLog;
pub use directory::{AccountEntry, Directory, EngineEntry, decode_hex};
pub use time::{Clock, unix_ms};

use crate::platform;

/// Connections to one target, in use or kept alive.
const MAX_CONNECTIONS_PER_TARGET: usize = 8_192;

/// Part of a response, as passed from the engine's attempt to the client's connection.
#[derive(Debug)]
pub enum ResponseEvent {
    /// Text, in sequence.
    Text(TextChunk),
    /// Outcome of the request; always the last event.
    End(dispatch::Outcome),
}

/// Text of one event of an engine's response.
#[derive(Debug)]
pub struct TextChunk {
    /// Generated text since the previous chunk.
    pub text: String,
    /// Why generation ended; set on the last chunk only.
    pub finish_reason: Option<String>,
}

/// Request whose response is not complete.
pub struct PendingRequest {
    /// Sends response events to the client's connection.
    pub events: mpsc::Sender<ResponseEvent>,
    /// Outcome, outside the channel so that a full channel can't delay it.
    pub end: Rc<RefCell<Option<dispatch::Outcome>>>,
    /// Request body as received, forwarded to engines unchanged.
    pub body: Bytes,
    /// Request path on the engine.
    pub path: &'static str,
}

/// Latest state received from a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Newest configuration version that the peer has reported.
    pub version: u64,
    /// Time of the peer's last message.
    pub seen_at: Option<cyclamengauge_core::clock::Instant>,
    /// Whether the peer is shutting down.
    pub leaving: bool,
    /// Prefill tokens of the peer's own requests on each engine.
    pub loads: HashMap<EngineId, Tokens>,
}

/// State of one daemon: configuration, requests in progress, engines and peers.
pub struct Node {
    /// Settings, without faults.
    pub settings: v1::Settings,
    /// Shared key that authenticates messages between instances.
    pub peer_key: [u8; 32],
    /// Key of the fingerprints that identify request contents.
    pub fingerprint_key: [u8; 32],
    /// Random number that identifies this process run of the instance.
    pub incarnation: u64,
    /// Monotonic clock, started with the daemon.
    pub clock: Clock,
    /// Admission, routing and retries of completion requests.
    pub dispatcher: RefCell<dispatch::Dispatcher>,
    /// Indexes of the configuration in force.
    pub directory: RefCell<Directory>,
    /// The configuration in force.
    pub current_configuration: RefCell<intent::CurrentConfiguration>,
    /// Requests whose response is not complete.
    pub pending_requests: RefCell<HashMap<RequestId, PendingRequest>>,
    /// Handles of the tasks that run attempts.
    pub attempt_tasks: RefCell<HashMap<AttemptId, tokio::task::AbortHandle>>,
    /// Recent decisions by request, for operators.
    pub decision_log: RefCell<DecisionLog>,
    /// Last report of each engine.
    pub reports: RefCell<HashMap<EngineId, v1::EngineReport>>,
    /// Time of each engine's last report.
    pub last_report_at: RefCell<HashMap<EngineId, cyclamengauge_core::clock::Instant>>,
    /// State of the peers, by instance name.
    pub peers: RefCell<HashMap<String, PeerView>>,
    /// HTTP client that keeps connections alive.
    pub client: awc::Client,
    /// HTTP client that opens a connection for each call, so that a failure to
    /// connect proves that nothing was sent.
    pub no_reuse_client: awc::Client,
    /// Client of the platform's services.
    pub platform: platform::Platform,
    /// Whether the last read of the table service succeeded.
    pub store_reachable: Cell<bool>,
    /// Total size of the buffered request bodies.
    pub buffered_bytes: Cell<usize>,
    /// Targets of plain services and their calls in progress.
    pub service_targets: RefCell<Targets>,
    /// Budget for retries of calls to plain services.
    pub service_retry_budget: RefCell<local_retry_budget::LocalRetryBudget>,
    /// Random numbers for the choice of targets.
    pub rng: RefCell<fastrand::Rng>,
    /// Number of calls to plain services in progress.
    pub service_calls: Cell<usize>,
    /// Whether the daemon is shutting down.
    pub shutting_down: Cell<bool>,
    /// Whether the process ends now, and all requests in progress get their final answers.
    pub is_ending: Cell<bool>,
    /// Notified when the process ends.
    pub ending: Notify,
    /// Wakes [`Node::run_timers`] when the next timer may have changed.
    pub timer_changed: Notify,
    /// Wakes the exchange with peers when the configuration version changes.
    pub version_changed: Notify,
    last_request_id: Cell<u64>,
    last_call_number: Cell<u64>,
}

impl Node {
    /// Creates the state of a daemon. `settings` must be free of faults.
    pub fn new(settings: v1::Settings) -> Rc<Self> {
        let clock = Clock::start();
        let client = http_client(Duration::from_secs(60));
        let address = settings.platform.clone().unwrap_or_default();
        Rc::new(Self {
            peer_key: decode_hex(&settings.peer_key).unwrap_or_default(),
            fingerprint_key: decode_hex(&settings.fingerprint_key).unwrap_or_default(),
            incarnation: fastrand::u64(1..u64::MAX / 2),
            clock,
            dispatcher: RefCell::new(dispatch::Dispatcher::new(dispatch::Settings::default())),
            directory: RefCell::new(Directory::default()),
            current_configuration: RefCell::new(intent::CurrentConfiguration::default()),
            pending_requests: RefCell::new(HashMap::new()),
            attempt_tasks: RefCell::new(HashMap::new()),
            decision_log: RefCell::new(DecisionLog::default()),
            reports: RefCell::new(HashMap::new()),
            last_report_at: RefCell::new(HashMap::new()),
            peers: RefCell::new(HashMap::new()),
            platform: platform::Platform::new(client.clone(), &address),
            client,
            no_reuse_client: no_reuse_http_client(),
            store_reachable: Cell::new(false),
            buffered_bytes: Cell::new(0),
            service_targets: RefCell::default(),
            service_retry_budget: RefCell::default(),
            rng: RefCell::default(),
            service_calls: Cell::new(0),
            shutting_down: Cell::new(false),
            is_ending: Cell::new(false),
            ending: Notify::new(),
            timer_changed: Notify::new(),
            version_changed: Notify::new(),
            last_request_id: Cell::new(0),
            last_call_number: Cell::new(0),
            settings,
        })
    }

    /// Allocates a request id, unique within this process run.
    pub fn next_request_id(&self) -> RequestId {
        self.last_request_id.set(self.last_request_id.get() + 1);
        RequestId(self.last_request_id.get())
    }

    /// Name of a request, unique across instances and restarts. Clients receive it
    /// in each response, and operators look up decisions by it.
    pub fn request_name(&self, request: RequestId) -> String {
        let instance = &self.settings.instance;
        format!("cmpl-{instance}-{:x}-{}", self.incarnation, request.0)
    }

    /// Parses a request name. Returns `None` for a request of another instance or
    /// process run.
    pub fn parse_request_name(&self, name: &str) -> Option<RequestId> {
        let (_, number) = name.rsplit_once('-')?;
        let request = RequestId(number.parse().ok()?);
        (self.request_name(request) == name).then_some(request)
    }

    /// Allocates the number of a non-idempotent call, unique within this process run.
    pub fn next_call_number(&self) -> u64 {
        self.last_call_number.set(self.last_call_number.get() + 1);
        self.last_call_number.get()
    }

    /// Name of an attempt, unique across instances and restarts.
    pub fn attempt_name(&self, attempt: AttemptId) -> String {
        format!(
            "{}-{:x}-{}",
            self.settings.instance, self.incarnation, attempt.0
        )
    }

    /// Name of this incarnation as the holder of leases and reservations.
    pub fn holder_name(&self) -> String {
        format!("{}/{:x}", self.settings.instance, self.incarnation)
    }

    /// Records that an engine has just sent a report.
    pub fn record_report_time(&self, engine: &EngineId) {
        let now = self.clock.now();
        self.last_report_at.borrow_mut().insert(engine.clone(), now);
    }

    /// Time since an engine's last report; `None` if there has been none.
    pub fn time_since_report(&self, engine: &EngineId) -> Option<Duration> {
        let last_report_at = self.last_report_at.borrow();
        last_report_at.get(engine).map(|at| self.clock.now() - *at)
    }

    /// Whether the daemon accepts requests: it has a configuration and is not
    /// shutting down.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.get() && self.current_configuration.borrow().version() > 0
    }

    /// Gives the requests in progress their final answers, as the process ends.
    pub fn end_requests(self: &Rc<Self>) {
        self.update_dispatcher(|dispatcher, now| dispatcher.end_requests(now));
        self.is_ending.set(true);
        self.ending.notify_waiters();
    }

    /// Waits until the process ends.
    pub async fn wait_for_end(&self) {
        loop {
            let ending = self.ending.notified();
            if self.is_ending.get() {
                return;
            }
            ending.await;
        }
    }

    /// Whether no request, reservation or call is in progress.
    pub fn is_idle(&self) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.in_flight() == 0
            && dispatcher.reservations() == 0
            && self.service_calls.get() == 0
            && self.pending_requests.borrow().is_empty()
    }

    /// Index of this instance among all instances, sorted by name.
    pub fn instance_index(&self) -> u32 {
        let own = &self.settings.instance;
        let preceding = self.settings.peers.iter().filter(|p| &p.instance < own);
        preceding.count() as u32
    }

    /// Number of instances that share the traffic: this one and all peers that have
    /// not announced their shutdown.
    pub fn instance_count(&self) -> u32 {
        let leaving = self.peers.borrow().values().filter(|p| p.leaving).count();
        let peers = self.settings.peers.len().saturating_sub(leaving);
        peers as u32 + 1
    }
}

fn http_client(keep_alive: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(MAX_CONNECTIONS_PER_TARGET)
        .conn_keep_alive(keep_alive)
        .timeout(Duration::from_secs(1));
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

fn no_reuse_http_client() -> awc::Client {
    http_client(Duration::ZERO)
}
