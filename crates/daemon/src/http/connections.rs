//! Tracks the open connections of a listener: bounds their number, closes those whose
//! client is too slow, and lets a shutdown close the idle ones.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use cyclamengauge_core::{
    clock,
    serving::connections::{Connection, choose_to_close},
};
use tokio::task::AbortHandle;

use crate::{
    http::stream::{CloseCause, Flow},
    telemetry::process_events,
};

/// Time without a request after which a connection counts as idle. Before that, the
/// last bytes of a response may not have been sent.
const IDLE_THRESHOLD: Duration = Duration::from_millis(300);

/// What the clients of a listener may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Number of open connections.
    pub max_connections: usize,
    /// Size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a request head to arrive after its first byte.
    pub head_timeout: Duration,
    /// Time in which a client that is sent something must read some of it.
    pub idle_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: usize::MAX,
            max_head_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

#[derive(Debug)]
struct ConnectionState {
    /// Requests in progress, more than one only with pipelining.
    requests_in_progress: u32,
    /// Time when the connection was opened, or when its latest request ended.
    idle_since: Instant,
    flow: Rc<Flow>,
    /// Task that serves the connection, once it is spawned.
    task: Option<AbortHandle>,
    /// Whether the task was ended for another connection.
    is_closing: bool,
}

impl ConnectionState {
    fn new(client: SocketAddr) -> Self {
        Self {
            requests_in_progress: 0,
            idle_since: Instant::now(),
            flow: Rc::new(Flow::new(client)),
            task: None,
            is_closing: false,
        }
    }

    fn is_idle(&self) -> bool {
        self.requests_in_progress == 0 && self.idle_since.elapsed() >= IDLE_THRESHOLD
    }
}

#[derive(Debug)]
struct Registry {
    limits: Cell<ConnectionLimits>,
    by_client: RefCell<HashMap<SocketAddr, ConnectionState>>,
    /// Connections that were closed or refused since the latest report, with one client of
    /// each cause.
    closed: RefCell<BTreeMap<CloseCause, (u64, Closed)>>,
    started_at: Instant,
}

/// A client whose connection was closed.
#[derive(Clone, Debug)]
struct Closed {
    account: String,
    address: String,
}

/// Open connections of a listener, by the address of the client. Clones share the
/// same connections.
#[derive(Clone, Debug)]
pub struct Connections {
    registry: Rc<Registry>,
}

/// Unregisters a closed connection when dropped.
pub(super) struct ConnectionGuard {
    connections: Connections,
    client: SocketAddr,
}

/// Marks a connection as busy until dropped.
pub struct BusyGuard {
    connections: Connections,
    client: Option<SocketAddr>,
}

impl Default for Connections {
    fn default() -> Self {
        Self::with_limits(ConnectionLimits::default())
    }
}

impl Connections {
    /// Creates the register of a listener without connections.
    pub fn with_limits(limits: ConnectionLimits) -> Self {
        Self {
            registry: Rc::new(Registry {
                limits: Cell::new(limits),
                by_client: RefCell::default(),
                closed: RefCell::default(),
                started_at: Instant::now(),
            }),
        }
    }

    /// What the clients may take.
    pub fn limits(&self) -> ConnectionLimits {
        self.registry.limits.get()
    }

    /// Sets what the clients may take. The size of heads holds for new connections.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.registry.limits.set(limits);
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.registry.by_client.borrow().len()
    }

    /// Marks the connection from the address `client` as busy.
    pub fn mark_busy(&self, client: Option<SocketAddr>) -> BusyGuard {
        if let Some(client) = client {
            self.update(client, |state| state.requests_in_progress += 1);
        }
        BusyGuard {
            connections: self.clone(),
            client,
        }
    }

    /// Closes the connections without a request in progress, and returns their number.
    /// Connections whose latest request ended less than `IDLE_THRESHOLD` ago stay open.
    pub fn close_idle(&self) -> usize {
        let connections = self.registry.by_client.borrow();
        let idle = connections.values().filter(|state| state.is_idle());
        let tasks: Vec<AbortHandle> = idle.filter_map(|state| state.task.clone()).collect();
        drop(connections);
        abort(&tasks)
    }

    /// Whether there is room for a new connection without closing another one.
    pub(super) fn has_room(&self) -> bool {
        self.count() < self.limits().max_connections
    }

    /// Makes room for a new connection: closes another one if there are too many. Returns
    /// whether there is room.
    pub(super) fn make_room(&self, client: SocketAddr) -> bool {
        let mut connections = self.registry.by_client.borrow_mut();
        let open = connections.values_mut().filter(|state| !state.is_closing);
        let (mut states, facts): (Vec<&mut ConnectionState>, Vec<Connection>) = open
            .map(|state| {
                let facts = self.facts(state);
                (state, facts)
            })
            .unzip();
        if states.len() < self.limits().max_connections {
            return true;
        }
        let Some(chosen) = choose_to_close(&facts) else {
            self.count_closed(CloseCause::TooMany, &Flow::new(client));
            return false;
        };
        let state = &mut states[chosen];
        state.is_closing = true;
        self.count_closed(CloseCause::TooMany, &state.flow);
        let task = state.task.clone();
        drop(connections);
        abort(task.as_slice());
        true
    }

    /// Closes the connections whose client is too slow.
    pub(super) fn close_slow(&self) {
        let limits = self.limits();
        let now = Instant::now();
        let mut tasks = Vec::new();
        for state in self.registry.by_client.borrow().values() {
            let fault = state
                .flow
                .fault(limits.head_timeout, limits.idle_timeout, now);
            if let Some(cause) = fault {
                self.count_closed(cause, &state.flow);
                tasks.extend(state.task.clone());
            }
        }
        abort(&tasks);
    }

    /// Logs the connections that were closed since the latest report.
    pub(super) fn report_closed(&self) {
        let closed = self.registry.closed.take();
        for (cause, (count, last)) in closed {
            process_events::log_connections_closed(
                cause.name(),
                count,
                &last.account,
                &last.address,
            );
        }
    }

    pub(super) fn insert(&self, client: SocketAddr) -> (ConnectionGuard, Rc<Flow>) {
        let state = ConnectionState::new(client);
        let flow = Rc::clone(&state.flow);
        self.registry.by_client.borrow_mut().insert(client, state);
        let guard = ConnectionGuard {
            connections: self.clone(),
            client,
        };
        (guard, flow)
    }

    pub(super) fn set_task(&self, client: SocketAddr, task: AbortHandle) {
        self.update(client, |state| state.task = Some(task));
    }

    fn facts(&self, state: &ConnectionState) -> Connection {
        let is_idle = state.requests_in_progress == 0 && state.flow.is_idle();
        let idle_for = state.idle_since - self.registry.started_at;
        Connection {
            account: state.flow.account(),
            address: state.flow.client().ip(),
            idle_since: is_idle.then(|| clock::Instant::from_start(idle_for)),
        }
    }

    fn count_closed(&self, cause: CloseCause, flow: &Flow) {
        metrics::counter!("cyclamengauge_closed_connections_total", "cause" => cause.name())
            .increment(1);
        let account = flow.account().map(|account| account.to_string());
        let closed = Closed {
            account: account.unwrap_or_default(),
            address: flow.client().ip().to_string(),
        };
        let mut causes = self.registry.closed.borrow_mut();
        let entry = causes.entry(cause).or_insert((0, closed.clone()));
        *entry = (entry.0 + 1, closed);
    }

    fn update(&self, client: SocketAddr, update: impl FnOnce(&mut ConnectionState)) {
        if let Some(state) = self.registry.by_client.borrow_mut().get_mut(&client) {
            update(state);
        }
    }
}

/// Ends the tasks of connections, and returns their number.
fn abort(tasks: &[AbortHandle]) -> usize {
    for task in tasks {
        task.abort();
    }
    tasks.len()
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let registry = &self.connections.registry;
        registry.by_client.borrow_mut().remove(&self.client);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if let Some(client) = self.client {
            self.connections.update(client, |state| {
                state.requests_in_progress = state.requests_in_progress.saturating_sub(1);
                state.idle_since = Instant::now();
            });
        }
    }
}
