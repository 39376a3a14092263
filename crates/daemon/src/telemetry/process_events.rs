//! Log lines about what the process believes and the stations of its life. Their
//! names and fields are those of [`cyclamengauge_core::events`].

use std::{fmt, net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    ids::{EngineId, InstanceId},
    serving::targets::TargetFacts,
};

/// The process serves.
pub fn log_start(instance: &InstanceId, incarnation: u64, listen: SocketAddr) {
    tracing::info!(
        event = "start",
        %instance,
        incarnation,
        %listen,
        "start: serving on {listen}"
    );
}

/// Settings were read again; with `cause`, they stay as they were.
pub fn log_reload(cause: Option<&anyhow::Error>) {
    match cause {
        None => tracing::info!(
            event = "reload",
            "reload: the settings' bounds are in force"
        ),
        Some(err) => tracing::error!(
            event = "reload",
            cause = format!("{err:#}"),
            "reload: the settings stay as they were: {err:#}"
        ),
    }
}

/// SIGTERM came, or the shutdown is over.
pub fn log_shutdown(in_progress: usize, over: bool) {
    let state = if over {
        "complete"
    } else {
        "not ready any more"
    };
    tracing::info!(
        event = "shutdown",
        in_progress,
        "shutdown: {state}, {in_progress} requests in progress"
    );
}

/// A configuration is in force.
pub fn log_configuration(version: u64, replaced: u64, source: &str) {
    tracing::info!(
        event = "configuration",
        version,
        replaced,
        source,
        "config: version {version} in force, from {source}"
    );
}

/// A configuration can't be used.
pub fn log_configuration_faulty(source: &str, cause: &anyhow::Error) {
    tracing::error!(
        event = "configuration-faulty",
        source,
        cause = format!("{cause:#}"),
        "config: from {source}, not usable: {cause:#}"
    );
}

/// The list has a new or changed entry.
pub fn log_target_listed(facts: &TargetFacts, source: &str) {
    tracing::info!(
        event = "target-listed",
        target = %facts.id,
        service = %facts.service,
        address = %facts.address,
        draining = facts.draining,
        source,
        "targets: {} listed at {}",
        facts.id,
        facts.address
    );
}

/// The list has an entry no more.
pub fn log_target_unlisted(target: &EngineId, linger: Duration) {
    tracing::info!(
        event = "target-unlisted",
        %target,
        linger_ms = millis(linger),
        "targets: {target} is listed no more"
    );
}

/// An entry of the list can't be read.
pub fn log_target_entry_faulty(target: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "target-entry-faulty",
        target,
        cause = format!("{cause:#}"),
        "targets: {cause:#}"
    );
}

/// A target is left out for a while.
pub fn log_target_suspect(target: &EngineId, cause: &str, out: Duration) {
    tracing::info!(
        event = "target-suspect",
        %target,
        cause,
        out_ms = millis(out),
        "targets: {target} is left out for {} ms: {cause}",
        out.as_millis()
    );
}

/// A target that broke off takes no connections.
pub fn log_target_crashed(request: &str, target: &EngineId, cause: &anyhow::Error) {
    tracing::warn!(
        event = "target-crashed",
        request,
        %target,
        cause = format!("{cause:#}"),
        "targets: {target} crashed while {request} ran: {cause:#}"
    );
}

/// A table of the store can't be followed.
pub fn log_store_lost(table: &dyn fmt::Debug, cause: &anyhow::Error) {
    tracing::warn!(
        event = "store-lost",
        ?table,
        cause = format!("{cause:#}"),
        "platform: {table:?} can't be followed: {cause:#}"
    );
}

/// A table of the store can be followed again.
pub fn log_store_back(table: &dyn fmt::Debug, lost: Duration) {
    tracing::info!(
        event = "store-back",
        ?table,
        lost_ms = millis(lost),
        "platform: the store answers again for {table:?}"
    );
}

/// A table of the store is read anew.
pub fn log_store_history_gone(table: &dyn fmt::Debug) {
    tracing::info!(
        event = "store-history-gone",
        ?table,
        "platform: {table:?} is read anew, its history is gone"
    );
}

/// Other instances are heard of, or no more.
pub fn log_peers(alive: u32, before: u32) {
    tracing::info!(
        event = "peers",
        alive,
        before,
        "peers: {alive} heard, {before} before"
    );
}

/// A peer's message or answer can't be used.
pub fn log_peer_faulty(peer: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "peer-faulty",
        peer,
        cause = format!("{cause:#}"),
        "peers: {peer}: {cause:#}"
    );
}

/// This instance's address is not in the store yet, or the others' are not known.
pub fn log_announce_failed(cause: &anyhow::Error) {
    tracing::warn!(
        event = "announce-failed",
        cause = format!("{cause:#}"),
        "peers: not announced, or not read, yet: {cause:#}"
    );
}

/// An order about reserved memory failed.
pub fn log_reservation_failed(reservation: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "reservation-failed",
        reservation,
        cause = format!("{cause:#}"),
        "reservation: {reservation}: {cause:#}"
    );
}

/// Part of a request can't be passed on.
pub fn log_request_faulty(request: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "request-faulty",
        request,
        cause = format!("{cause:#}"),
        "request: {request}: {cause:#}"
    );
}

/// Which requests went to which targets, as pairs `REQUEST>TARGET`.
pub fn log_placements(placed: &str) {
    tracing::info!(
        event = "placements",
        placed,
        "route: placements of a second"
    );
}

pub(super) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
