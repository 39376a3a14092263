//! Tracks the open connections of a listener, so that a shutdown can close the idle
//! ones.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::task::AbortHandle;

/// Time without a request after which a connection counts as idle. Before that, the
/// last bytes of a response may not have been sent.
const IDLE_THRESHOLD: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct ConnectionState {
    /// Requests in progress, more than one only with pipelining.
    requests_in_progress: u32,
    /// Time when the connection was opened, or when its latest request ended.
    idle_since: Instant,
    /// Task that serves the connection, once it is spawned.
    task: Option<AbortHandle>,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            requests_in_progress: 0,
            idle_since: Instant::now(),
            task: None,
        }
    }

    fn is_idle(&self) -> bool {
        self.requests_in_progress == 0 && self.idle_since.elapsed() >= IDLE_THRESHOLD
    }
}

/// Open connections of a listener, by the address of the client. Clones share the
/// same connections.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    by_client: Rc<RefCell<HashMap<SocketAddr, ConnectionState>>>,
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

impl Connections {
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
        let connections = self.by_client.borrow();
        let idle = connections.values().filter(|state| state.is_idle());
        let tasks: Vec<AbortHandle> = idle.filter_map(|state| state.task.clone()).collect();
        drop(connections);
        for task in &tasks {
            task.abort();
        }
        tasks.len()
    }

    pub(super) fn insert(&self, client: SocketAddr) -> ConnectionGuard {
        self.by_client
            .borrow_mut()
            .insert(client, ConnectionState::new());
        ConnectionGuard {
            connections: self.clone(),
            client,
        }
    }

    pub(super) fn set_task(&self, client: SocketAddr, task: AbortHandle) {
        self.update(client, |state| state.task = Some(task));
    }

    fn update(&self, client: SocketAddr, update: impl FnOnce(&mut ConnectionState)) {
        if let Some(state) = self.by_client.borrow_mut().get_mut(&client) {
            update(state);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.by_client.borrow_mut().remove(&self.client);
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
