/*!
The state of one daemon, shared by its parts on one thread.

[`Node`] owns the dispatcher and carries out its actions. Parts hold it behind
an `Rc` and borrow its cells for moments only, never across an `await`.
*/

mod actions;
mod configure;
mod directory;
mod journal;
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
    recovery::budget,
    serving::targets::Targets,
    units::Tokens,
};
use cyclamengauge_schema::v1;
use tokio::sync::{Notify, mpsc};

pub use directory::{AccountEntry, Directory, EngineEntry, decode};
pub use journal::Journal;
pub use time::{Clock, unix_ms};

use crate::platform;

/// Connections kept to one target at most.
const CONNECTIONS_PER_TARGET: usize = 8_192;

/// What the caller's side of a request receives.
#[derive(Debug)]
pub enum Piece {
    /// Text of the answer, in sequence.
    Text(TextPiece),
    /// The end.
    End(dispatch::Outcome),
}

/// Text of an answer as it came from an engine.
#[derive(Debug)]
pub struct TextPiece {
    /// The text.
    pub text: String,
    /// Why the answer ended, on its last piece.
    pub finish_reason: Option<String>,
}

/// A caller that waits for an answer.
pub struct Caller {
    /// Where the answer goes.
    pub pieces: mpsc::Sender<Piece>,
    /// The end, kept apart so that it never waits behind text.
    pub end: Rc<RefCell<Option<dispatch::Outcome>>>,
    /// The request as it came, to be sent to engines.
    pub body: Bytes,
    /// Path on the engine.
    pub path: &'static str,
}

/// What other instances have told.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Configuration version that the peer had.
    pub version: u64,
    /// When it was heard last.
    pub seen_at: Option<cyclamengauge_core::clock::Instant>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its unread prompt tokens by engine.
    pub loads: HashMap<EngineId, Tokens>,
}

/// One daemon.
pub struct Node {
    /// Its settings.
    pub settings: v1::Settings,
    /// Key that the instances share.
    pub peer_key: [u8; 32],
    /// Key of the fingerprints of contents.
    pub fingerprint_key: [u8; 32],
    /// Changes with each start.
    pub incarnation: u64,
    /// Time since start.
    pub clock: Clock,
    /// The decisions on completions.
    pub dispatcher: RefCell<dispatch::Dispatcher>,
    /// What the configuration in force says.
    pub directory: RefCell<Directory>,
    /// The configuration in force.
    pub current: RefCell<intent::CurrentConfiguration>,
    /// Callers by request.
    pub callers: RefCell<HashMap<RequestId, Caller>>,
    /// Tasks that run attempts.
    pub attempts: RefCell<HashMap<AttemptId, tokio::task::AbortHandle>>,
    /// Decisions about requests.
    pub journal: RefCell<Journal>,
    /// What engines report, by name.
    pub reports: RefCell<HashMap<EngineId, v1::EngineReport>>,
    /// When each engine was heard last.
    pub heard_at: RefCell<HashMap<EngineId, cyclamengauge_core::clock::Instant>>,
    /// What peers tell, by instance.
    pub peers: RefCell<HashMap<String, PeerView>>,
    /// Client with kept-alive connections.
    pub client: awc::Client,
    /// Client that opens a connection for each call, so that a failure to
    /// connect proves that nothing was sent.
    pub once_client: awc::Client,
    /// Client of the platform.
    pub platform: platform::Platform,
    /// Whether the table service answered last.
    pub store_reachable: Cell<bool>,
    /// Bytes of request bodies held now.
    pub buffered_bytes: Cell<usize>,
    /// Targets of plain services, and the calls in progress there.
    pub service_targets: RefCell<Targets>,
    /// Budget of second tries of calls to plain services.
    pub service_budget: RefCell<budget::Budget>,
    /// Source of chance for choices.
    pub rng: RefCell<fastrand::Rng>,
    /// Calls to plain services in progress.
    pub service_calls: Cell<usize>,
    /// Whether the daemon is shutting down.
    pub closing: Cell<bool>,
    /// Wakes the timer loop.
    pub timer_changed: Notify,
    /// Wakes the exchange with peers.
    pub version_changed: Notify,
    last_request: Cell<u64>,
    last_call: Cell<u64>,
}

impl Node {
    /// Creates a daemon's state from checked settings.
    pub fn new(settings: v1::Settings) -> Rc<Self> {
        let clock = Clock::start();
        let client = client(Duration::from_secs(60));
        let address = settings.platform.clone().unwrap_or_default();
        Rc::new(Self {
            peer_key: decode(&settings.peer_key).unwrap_or_default(),
            fingerprint_key: decode(&settings.fingerprint_key).unwrap_or_default(),
            incarnation: fastrand::u64(1..u64::MAX / 2),
            clock,
            dispatcher: RefCell::new(dispatch::Dispatcher::new(dispatch::Settings::default())),
            directory: RefCell::new(Directory::default()),
            current: RefCell::new(intent::CurrentConfiguration::default()),
            callers: RefCell::new(HashMap::new()),
            attempts: RefCell::new(HashMap::new()),
            journal: RefCell::new(Journal::default()),
            reports: RefCell::new(HashMap::new()),
            heard_at: RefCell::new(HashMap::new()),
            peers: RefCell::new(HashMap::new()),
            platform: platform::Platform::new(client.clone(), &address),
            client,
            once_client: client_without_reuse(),
            store_reachable: Cell::new(false),
            buffered_bytes: Cell::new(0),
            service_targets: RefCell::default(),
            service_budget: RefCell::default(),
            rng: RefCell::default(),
            service_calls: Cell::new(0),
            closing: Cell::new(false),
            timer_changed: Notify::new(),
            version_changed: Notify::new(),
            last_request: Cell::new(0),
            last_call: Cell::new(0),
            settings,
        })
    }

    /// Number of the next request.
    pub fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        RequestId(self.last_request.get())
    }

    /// Name of a request, unique over all instances and restarts. Callers get it
    /// with every answer, and operators ask by it.
    pub fn request_name(&self, request: RequestId) -> String {
        let instance = &self.settings.instance;
        format!("cmpl-{instance}-{:x}-{}", self.incarnation, request.0)
    }

    /// The request of that name, if it was one of this instance.
    pub fn request_of(&self, name: &str) -> Option<RequestId> {
        let (_, number) = name.rsplit_once('-')?;
        let request = RequestId(number.parse().ok()?);
        (self.request_name(request) == name).then_some(request)
    }

    /// Number of the next non-idempotent call.
    pub fn next_call(&self) -> u64 {
        self.last_call.set(self.last_call.get() + 1);
        self.last_call.get()
    }

    /// Name of an attempt, unique among all instances and restarts.
    pub fn attempt_name(&self, attempt: AttemptId) -> String {
        format!(
            "{}-{:x}-{}",
            self.settings.instance, self.incarnation, attempt.0
        )
    }

    /// Name of this incarnation of the instance.
    pub fn holder_name(&self) -> String {
        format!("{}/{:x}", self.settings.instance, self.incarnation)
    }

    /// Notes a report of an engine.
    pub fn heard(&self, engine: &EngineId) {
        let now = self.clock.now();
        self.heard_at.borrow_mut().insert(engine.clone(), now);
    }

    /// Time since an engine's last report.
    pub fn heard_from(&self, engine: &EngineId) -> Option<Duration> {
        let heard_at = self.heard_at.borrow();
        heard_at.get(engine).map(|at| self.clock.now() - *at)
    }

    /// Whether the daemon may serve callers.
    pub fn is_ready(&self) -> bool {
        !self.closing.get() && self.current.borrow().version() > 0
    }

    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.in_flight() == 0
            && dispatcher.reservations() == 0
            && self.service_calls.get() == 0
            && self.callers.borrow().is_empty()
    }

    /// Place of this instance among all, in the order of their names.
    pub fn index(&self) -> u32 {
        let own = &self.settings.instance;
        let before = self.settings.peers.iter().filter(|p| &p.instance < own);
        before.count() as u32
    }

    /// Instances that share the traffic, as far as this one knows.
    pub fn instances(&self) -> u32 {
        let leaving = self.peers.borrow().values().filter(|p| p.leaving).count();
        let peers = self.settings.peers.len().saturating_sub(leaving);
        peers as u32 + 1
    }
}

fn client(keep_alive: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .limit(CONNECTIONS_PER_TARGET)
        .conn_keep_alive(keep_alive)
        .timeout(Duration::from_secs(1));
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

fn client_without_reuse() -> awc::Client {
    client(Duration::ZERO)
}
