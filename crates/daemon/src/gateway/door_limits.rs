//! How many connections each listener takes, and how long its clients may take.
//!
//! Of the machine's descriptors, a part is left for targets, the store and files, whatever
//! clients do; of its memory, the budget for bodies and responses.

use std::time::Duration;

use cyclamengauge_core::serving::routes::ClientLimits;
use cyclamengauge_platform::settings::MachineLimits;

use crate::http::ConnectionLimits;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Shares of the other descriptors for connections of clients and of peers.
const CLIENT_SHARE: f64 = 0.65;
const PEER_SHARE: f64 = 0.10;

/// Largest number of connections to the readiness check, and to the metrics.
const MAX_PROBE_CONNECTIONS: usize = 48;

/// Memory of a connection without a body, in bytes: buffers of the server and request head.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Share of the memory for client connections.
const MEMORY_SHARE: f64 = 0.35;

/// Smallest number of connections of clients or peers.
const MIN_CONNECTIONS: usize = 64;

/// Smallest limit on a request head, in bytes.
const MIN_HEAD_BYTES: usize = 32 * 1024;

/// Shortest time limits, beyond those of the configuration.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits for clients; `limits` are those of the configuration, once there is one.
pub fn for_clients(machine: &MachineLimits, limits: Option<&ClientLimits>) -> ConnectionLimits {
    let by_memory = machine.memory_mb.map(|memory_mb| {
        let memory_bytes = memory_mb as f64 * 1e6 * MEMORY_SHARE;
        memory_bytes as usize / CONNECTION_BYTES as usize
    });
    let by_descriptors = descriptor_share(machine, CLIENT_SHARE);
    let max_connections = by_descriptors.min(by_memory.unwrap_or(usize::MAX));
    let default = ConnectionLimits::default();
    let max_head_bytes = limits.and_then(|limits| limits.max_header_bytes);
    let head_timeout = limits.and_then(|limits| limits.header_timeout);
    let idle_timeout = limits.and_then(|limits| limits.idle_timeout);
    ConnectionLimits {
        max_connections: max_connections.max(MIN_CONNECTIONS),
        max_head_bytes: max_head_bytes
            .unwrap_or(default.max_head_bytes)
            .max(MIN_HEAD_BYTES),
        head_timeout: head_timeout
            .unwrap_or(default.head_timeout)
            .max(MIN_HEAD_TIMEOUT),
        idle_timeout: idle_timeout
            .unwrap_or(default.idle_timeout)
            .max(MIN_IDLE_TIMEOUT),
    }
}

/// Limits for peers.
pub fn for_peers(machine: &MachineLimits) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: descriptor_share(machine, PEER_SHARE).max(MIN_CONNECTIONS),
        ..ConnectionLimits::default()
    }
}

/// Limits for the readiness check and the metrics.
pub fn for_probes() -> ConnectionLimits {
    ConnectionLimits {
        max_connections: MAX_PROBE_CONNECTIONS,
        ..ConnectionLimits::default()
    }
}

fn descriptor_share(machine: &MachineLimits, share: f64) -> usize {
    machine.max_fds.map_or(usize::MAX, |max_fds| {
        (max_fds.saturating_sub(FILE_DESCRIPTORS) as f64 * share) as usize
    })
}
