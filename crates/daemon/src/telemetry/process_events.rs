//! Log lines of process events: start, reload and shutdown, and changes of the
//! configuration, the target list, the store and the peers.
//!
//! Each function logs the event of its name. Event and field names are those of
//! [`cyclamengauge_core::events::PROCESS_EVENTS`].

use std::{fmt, net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, PromptPartId},
    serving::{
        memory::MemoryError,
        pace::PaceChange,
        reachability::{PathChange, PathState},
        store_calls::Outage,
        targets::{Outcome, TargetFacts},
        watchers::WatchState,
    },
    units::RequestsPerSecond,
};

/// Largest number of lines about changes of speeds at once.
const MAX_PACE_LINES: usize = 20;

/// Longest text of a cause that may quote what another system wrote, in bytes.
const MAX_CAUSE_BYTES: usize = 500;

/// Text of a cause, cut to a size that does not depend on what it quotes.
fn describe_cause(cause: &anyhow::Error) -> String {
    let mut text = format!("{cause:#}");
    if text.len() > MAX_CAUSE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_CAUSE_BYTES));
        text.push('…');
    }
    text
}

/// Logs that the process serves on `listen`.
pub fn log_start(instance: &InstanceId, incarnation: u64, listen: SocketAddr) {
    tracing::info!(
        event = "start",
        %instance,
        incarnation,
        %listen,
        "start: serving on {listen}"
    );
}

/// Logs a reload of the settings. After a failure, given as `cause`, the previous
/// settings stay in effect.
pub fn log_reload(cause: Option<&anyhow::Error>) {
    match cause {
        None => tracing::info!(
            event = "reload",
            "reload: applied the bounds of the new settings"
        ),
        Some(err) => tracing::error!(
            event = "reload",
            cause = format!("{err:#}"),
            "reload: failed, keeping the previous settings: {err:#}"
        ),
    }
}

/// Logs the start of a shutdown, after SIGTERM, or its end if `is_complete`.
pub fn log_shutdown(in_progress: usize, is_complete: bool) {
    let state = if is_complete {
        "complete"
    } else {
        "started, no longer ready"
    };
    tracing::info!(
        event = "shutdown",
        in_progress,
        "shutdown: {state}, {in_progress} requests in progress"
    );
}

/// Logs that a configuration was applied; version `replaced` was in effect before, or
/// 0 if there was none.
pub fn log_configuration(version: u64, replaced: u64, source: &str) {
    tracing::info!(
        event = "configuration",
        version,
        replaced,
        source,
        "config: applied version {version} from {source}, replacing version {replaced}"
    );
}

/// Logs that a configuration is invalid. The previous one stays in effect.
pub fn log_configuration_faulty(source: &str, cause: &anyhow::Error) {
    let cause = describe_cause(cause);
    tracing::error!(
        event = "configuration-faulty",
        source,
        cause,
        "config: rejected configuration from {source}: {cause}"
    );
}

/// Logs a new or changed entry of the target list.
pub fn log_target_listed(facts: &TargetFacts, source: &str) {
    tracing::info!(
        event = "target-listed",
        target = %facts.id,
        service = %facts.service,
        address = %facts.address,
        draining = facts.draining,
        source,
        "targets: {} listed with address {}",
        facts.id,
        facts.address
    );
}

/// Logs that the target list has lost a target's entry. The target stays usable for
/// `linger`.
pub fn log_target_unlisted(target: &EngineId, linger: Duration) {
    tracing::info!(
        event = "target-unlisted",
        %target,
        linger_ms = millis(linger),
        "targets: {target} removed from the list"
    );
}

/// Logs that an entry of the target list is invalid.
pub fn log_target_entry_faulty(target: &str, cause: &anyhow::Error) {
    let cause = describe_cause(cause);
    tracing::warn!(
        event = "target-entry-faulty",
        target,
        cause,
        "targets: invalid entry of {target}: {cause}"
    );
}

/// Logs that rows of a table were left out, as their keys can't be read.
pub fn log_rows_unreadable(table: &dyn fmt::Debug, rows: usize) {
    tracing::warn!(
        event = "rows-unreadable",
        ?table,
        rows,
        "store: {rows} rows of {table:?} left out, their keys can't be read"
    );
}

/// Logs that a target is excluded for the time `excluded_for`.
pub fn log_target_suspect(target: &EngineId, cause: &str, excluded_for: Duration) {
    tracing::info!(
        event = "target-suspect",
        %target,
        cause,
        out_ms = millis(excluded_for),
        "targets: {target} excluded for {} ms: {cause}",
        excluded_for.as_millis()
    );
}

/// Logs that a target has said to the instance `source` that it leaves.
pub fn log_target_leaving(target: &EngineId, source: &str) {
    tracing::info!(
        event = "target-leaving",
        %target,
        source,
        "targets: {target} said to {source} that it leaves, no new requests until it restarts"
    );
}

/// Logs that a target wants no requests of this instance for a time.
pub fn log_target_paused(target: &EngineId, paused_for: Duration) {
    tracing::info!(
        event = "target-paused",
        %target,
        out_ms = millis(paused_for),
        "targets: {target} wants no requests for {} ms",
        paused_for.as_millis()
    );
}

/// Logs that a data centre is evacuated, or no longer. `source` is where this instance learned
/// of it.
pub fn log_evacuation(data_centre: &DataCentreId, is_evacuated: bool, source: &str) {
    let state = match is_evacuated {
        true => "evacuated",
        false => "in use",
    };
    tracing::info!(
        event = "evacuation",
        %data_centre,
        state,
        source,
        "targets: data centre {data_centre} is {state}, from {source}"
    );
}

/// Logs that a row that evacuates a data centre is invalid, or names a data centre without
/// targets.
pub fn log_evacuation_faulty(key: &str, cause: &anyhow::Error) {
    let cause = describe_cause(cause);
    tracing::warn!(
        event = "evacuation-faulty",
        key,
        cause,
        "targets: evacuation {key}: {cause}"
    );
}

/// Logs that what a target said of itself is invalid.
pub fn log_target_notice_faulty(target: &EngineId, cause: &anyhow::Error) {
    tracing::warn!(
        event = "target-notice-faulty",
        %target,
        cause = format!("{cause:#}"),
        "targets: response of {target}: {cause:#}"
    );
}

/// Logs that a target has named a limit on its requests per second or, without `limit`,
/// withdrawn it. `source` is the instance that got the response.
pub fn log_target_limit(
    target: &EngineId,
    limit: Option<RequestsPerSecond>,
    before: Option<RequestsPerSecond>,
    source: &str,
) {
    let stated = match limit {
        Some(limit) => format!("is limited to {limit} from all instances"),
        None => "has no limit any more".to_owned(),
    };
    tracing::info!(
        event = "target-limit",
        %target,
        limit_per_s = limit.map(RequestsPerSecond::get),
        before_per_s = before.map(RequestsPerSecond::get),
        source,
        "targets: {target} {stated}"
    );
}

/// Logs that the limit in a response of a target is invalid.
pub fn log_target_limit_faulty(target: &EngineId, cause: &anyhow::Error) {
    tracing::warn!(
        event = "target-limit-faulty",
        %target,
        cause = format!("{cause:#}"),
        "targets: ignored the limit of {target}: {cause:#}"
    );
}

/// Logs the targets whose slowdown has changed by a third, the largest changes first.
pub fn log_pace_changes(changes: &[PaceChange]) {
    let mut changes: Vec<&PaceChange> = changes.iter().collect();
    let size = |change: &PaceChange| (change.estimate.slowdown / change.before).ln().abs();
    changes.sort_by(|a, b| size(b).total_cmp(&size(a)));
    for change in changes.into_iter().take(MAX_PACE_LINES) {
        let PaceChange {
            target,
            before,
            estimate,
        } = change;
        tracing::info!(
            event = "target-pace",
            %target,
            slowdown = estimate.slowdown,
            before = *before,
            uncertainty = estimate.uncertainty,
            knee = estimate.knee,
            "targets: {target} takes {:.2} times as long as usual, before {before:.2}",
            estimate.slowdown
        );
    }
}

/// Logs that this instance reaches no target of a service any more, or again.
pub fn log_path(change: &PathChange) {
    let PathChange { service, .. } = change;
    let meaning = match change.after {
        PathState::CutOff => "peers reach its targets, this instance does not",
        PathState::Unreachable => "its targets can't be reached",
        PathState::Doubtful => "its targets are not known to be unreachable any more",
        PathState::Open => "its targets can be reached again",
    };
    tracing::warn!(
        event = "path",
        %service,
        state = change.after.name(),
        before = change.before.name(),
        failing_ms = millis(change.failing_for),
        failed_targets = change.failed_targets,
        handed_over = change.handed_over,
        refused = change.refused,
        "path: service {service}: {meaning}"
    );
}

/// Logs that a target broke off `request` and accepts no connections since, which
/// counts as a crash. `shared_parts` are the parts of the prompt that others may share.
pub fn log_target_crashed(
    request: &str,
    shared_parts: &[PromptPartId],
    target: &EngineId,
    cause: &anyhow::Error,
) {
    tracing::warn!(
        event = "target-crashed",
        request,
        shared_parts = join_parts(shared_parts),
        %target,
        cause = format!("{cause:#}"),
        "targets: {target} crashed while {request} ran: {cause:#}"
    );
}

/// Logs that a target broke off `request` and accepts no connections since, but that this
/// is put down to the path from this instance.
pub fn log_crash_ruled_out(request: &str, target: &EngineId) {
    tracing::info!(
        event = "crash-ruled-out",
        request,
        %target,
        "targets: {target} is not taken for crashed, the path to it may be cut"
    );
}

/// Logs that prompts with a part are refused because it crashes engines; the latest
/// crash was reported by the instance `source`.
pub fn log_part_refused(part: &PromptPartId, source: &str) {
    tracing::warn!(
        event = "part-refused",
        %part,
        source,
        "request: refusing prompts with part {part}, which crashes engines"
    );
}

/// Logs that prompts with a part are no longer refused: one that was sent before was
/// served, as the instance `source` reported, or the crashes are too old.
pub fn log_part_allowed(part: &PromptPartId, source: &str) {
    tracing::info!(
        event = "part-allowed",
        %part,
        source,
        "request: prompts with part {part} are no longer refused"
    );
}

/// Logs that the store's rows of refused parts could not be read, decoded or written, as
/// `step` says.
pub fn log_refused_parts_failed(step: &str, cause: &anyhow::Error) {
    let cause = describe_cause(cause);
    tracing::warn!(
        event = "refused-parts-failed",
        step,
        cause,
        "platform: {step} refused prompt parts: {cause}"
    );
}

/// Logs that reading the changes of a table of the store failed.
pub fn log_store_lost(table: &dyn fmt::Debug, cause: &anyhow::Error) {
    tracing::warn!(
        event = "store-lost",
        ?table,
        cause = format!("{cause:#}"),
        "platform: reading changes of table {table:?} failed: {cause:#}"
    );
}

/// Logs that changes of a table can be read again after an outage.
pub fn log_store_back(table: &dyn fmt::Debug, outage: &Outage, now: Instant) {
    tracing::info!(
        event = "store-back",
        ?table,
        lost_ms = millis(now - outage.since),
        failed_calls = outage.failed_calls,
        latest_call_ms = millis(outage.latest_call),
        "platform: reading changes of table {table:?} works again"
    );
}

/// Logs that this instance began or ceased to watch the tables of the store.
pub fn log_watch(state: WatchState, before: WatchState) {
    let (state, before) = (state.name(), before.name());
    tracing::info!(
        event = "watch",
        state,
        before,
        "platform: the watch of the tables is {state}, was {before}"
    );
}

/// Logs that a table is read from the start because the store no longer has the
/// history of its changes.
pub fn log_store_history_gone(table: &dyn fmt::Debug) {
    tracing::info!(
        event = "store-history-gone",
        ?table,
        "platform: reading table {table:?} from the start, the history of its changes is gone"
    );
}

/// Logs that the store has come back from an older copy, in era `before`.
pub fn log_store_restored(era: u64, before: u64) {
    tracing::warn!(
        event = "store-restored",
        era,
        before,
        "platform: the store has come back from an older copy, era {era} after {before}"
    );
}

/// Logs a change in the number of peers that send gossip messages.
pub fn log_peers(alive: u32, before: u32) {
    tracing::info!(
        event = "peers",
        alive,
        before,
        "peers: {alive} alive, {before} before"
    );
}

/// Logs that a message or a response of a peer is invalid.
pub fn log_peer_faulty(peer: &str, cause: &anyhow::Error) {
    let cause = describe_cause(cause);
    tracing::warn!(
        event = "peer-faulty",
        peer,
        cause,
        "peers: invalid message of {peer}: {cause}"
    );
}

/// Logs that connections of clients were closed or refused, with one of the clients.
pub fn log_connections_closed(cause: &str, count: u64, account: &str, address: &str) {
    tracing::warn!(
        event = "connections-closed",
        cause,
        count,
        account,
        address,
        "connections: closed or refused {count}, {cause}: the latest of account `{account}` at {address}"
    );
}

/// Logs that writing this instance's address to the store, or reading the peers'
/// addresses from it, failed.
pub fn log_announce_failed(cause: &anyhow::Error) {
    tracing::warn!(
        event = "announce-failed",
        cause = format!("{cause:#}"),
        "peers: exchange of addresses through the store failed, retrying: {cause:#}"
    );
}

/// Logs that the renewal or release of reserved memory failed.
pub fn log_reservation_failed(reservation: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "reservation-failed",
        reservation,
        cause = format!("{cause:#}"),
        "reservation: order for {reservation} failed: {cause:#}"
    );
}

/// Logs that a header or the path of a request can't be forwarded.
pub fn log_request_faulty(request: &str, cause: &anyhow::Error) {
    tracing::warn!(
        event = "request-faulty",
        request,
        cause = format!("{cause:#}"),
        "request: part of {request} can't be forwarded: {cause:#}"
    );
}

/// Logs the latest placements: pairs `REQUEST>TARGET`, separated by spaces.
pub fn log_placements(placements: &str) {
    tracing::info!(
        event = "placements",
        placed = placements,
        "route: latest placements"
    );
}

pub(super) fn join_parts(parts: &[PromptPartId]) -> String {
    let parts = parts.iter().map(PromptPartId::as_str);
    parts.collect::<Vec<_>>().join(",")
}

pub(super) fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Logs that an outcome excludes a target, if it does.
pub fn log_exclusion(target: &EngineId, outcome: Outcome, exclusion: Option<Duration>) {
    if let Some(exclusion) = exclusion {
        log_target_suspect(target, outcome.name(), exclusion);
    }
}

/// Logs that the memory for clients and targets is used up, and how many holders are ended
/// to make room.
pub fn log_memory_short(error: MemoryError, ended: u64) {
    let (requested_bytes, held_bytes, limit_bytes) = match error {
        MemoryError::Full {
            requested_bytes,
            held_bytes,
            limit_bytes,
        } => (Some(requested_bytes), held_bytes, Some(limit_bytes)),
        MemoryError::Ended { held_bytes } => (None, held_bytes, None),
    };
    tracing::warn!(
        event = "memory-short",
        held_bytes,
        limit_bytes,
        requested_bytes,
        ended,
        "memory: {error}; {ended} bodies and responses give way"
    );
}
