//! Connections to targets, and what they show of the path from this instance to them.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::ServiceId,
    serving::{
        reachability::{PathChange, PathState, PeerReport, Probe},
        targets::Outcome,
    },
};
use futures_util::future;

use crate::{
    gateway::{Gateway, attempt::awaited::TargetAddress, upstream::Connection},
    telemetry::process_events,
};

/// Time after which a connection that is not open makes the path doubtful: several times
/// the highest network latency to a target.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(60);

/// Time for a probed target to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after a failure from which bytes that a peer has received from the target show that
/// it is alive: peers also repeat what this instance received before.
const HEARD_MARGIN: Duration = Duration::from_millis(100);

/// Longest time that a request waits until it is known whether its targets can be reached:
/// two rounds of probes.
const MAX_DECISION_TIME: Duration = Duration::from_millis(320);

/// Number of other targets that must all fail before a failed target is put down to this
/// instance's own path.
const MIN_FAILED_CONTROLS: usize = 2;

/// Connects to a target and records the result for its path.
///
/// # Errors
///
/// If the connection is refused or takes longer than `timeout`, or if this instance turns
/// out to reach no target meanwhile.
pub async fn connect(
    gateway: &Rc<Gateway>,
    target: &TargetAddress,
    timeout: Duration,
) -> anyhow::Result<Connection> {
    let started_at = gateway.clock.now();
    let opening = Connection::open(target.address, timeout);
    tokio::pin!(opening);
    let early = actix_rt::time::timeout(SLOW_CONNECT_TIME, &mut opening).await;
    let result = match early {
        Ok(result) => result,
        Err(_) => {
            record_slow(gateway, &target.service, started_at);
            tokio::select! {
                result = &mut opening => result,
                () = wait_until_cut(gateway, &target.service) => {
                    let address = target.address;
                    anyhow::bail!("connect to {address}: given up, no target can be reached");
                }
            }
        }
    };
    record_result(gateway, target, started_at, result.is_ok());
    result
}

/// Waits until it is known that this instance reaches no target of a service.
pub async fn wait_until_cut(gateway: &Gateway, service: &ServiceId) {
    loop {
        let changed = gateway.path_changed.notified();
        let state = gateway.reachability.borrow().state(service);
        if matches!(state, PathState::CutOff | PathState::Unreachable) {
            return;
        }
        changed.await;
    }
}

/// Waits until this instance reaches no target of a service and open connections to them
/// carry no bytes either.
pub async fn wait_until_hanging(gateway: &Gateway, service: &ServiceId) {
    loop {
        let changed = gateway.path_changed.notified();
        if gateway.reachability.borrow().hangs(service) {
            return;
        }
        changed.await;
    }
}

/// Waits while it is unknown whether the targets of a service can be reached, for a limited
/// time.
pub async fn wait_for_decision(gateway: &Gateway, service: &ServiceId, deadline: Instant) {
    let latest = deadline.min(gateway.clock.now() + MAX_DECISION_TIME);
    loop {
        let changed = gateway.path_changed.notified();
        let state = gateway.reachability.borrow().state(service);
        let left = gateway.clock.until(latest);
        if state != PathState::Doubtful || left.is_zero() {
            return;
        }
        let _ = actix_rt::time::timeout(left, changed).await;
    }
}

/// Merges what a peer reports of its paths.
pub fn merge_report(gateway: &Gateway, report: PeerReport) {
    let now = gateway.clock.now();
    let targets = gateway.targets.borrow();
    let mut reachability = gateway.reachability.borrow_mut();
    let changes = reachability.merge_report(report, &targets, now);
    let has_probes = reachability.probes_due_at().is_some();
    drop((targets, reachability));
    for change in changes {
        apply_change(gateway, &change);
    }
    if has_probes {
        report_changes(gateway);
    }
}

/// Probes targets while a path is in doubt or cut, until the process ends.
pub async fn probe_targets(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.path_changed.notified();
        let due_at = gateway.reachability.borrow().probes_due_at();
        match due_at.map(|at| gateway.clock.until(at)) {
            None => changed.await,
            Some(wait) if !wait.is_zero() => {
                let _ = actix_rt::time::timeout(wait, changed).await;
            }
            Some(_) => {
                let now = gateway.clock.now();
                let targets = gateway.targets.borrow();
                let probes = gateway.reachability.borrow_mut().take_probes(&targets, now);
                drop(targets);
                for probe in probes {
                    let gateway = Rc::clone(&gateway);
                    actix_rt::spawn(async move { run_probe(&gateway, probe).await });
                }
            }
        }
    }
}

/// Whether a target that has stopped responding at `failed_at`, and to which no connection
/// can be opened, is itself at fault and not the path from this instance.
pub async fn is_target_at_fault(
    gateway: &Rc<Gateway>,
    target: &TargetAddress,
    failed_at: Instant,
) -> bool {
    let is_heard = gateway
        .targets
        .borrow()
        .has_received_since(&target.target, failed_at + HEARD_MARGIN);
    if is_heard {
        return false;
    }
    let has_connected = || {
        let reachability = gateway.reachability.borrow();
        reachability.has_connected_since(failed_at)
    };
    if has_connected() {
        return true;
    }
    let controls = {
        let targets = gateway.targets.borrow();
        let reachability = gateway.reachability.borrow();
        reachability.control_probes(&target.target, &targets, gateway.clock.now())
    };
    let count = controls.len();
    let probes = controls.into_iter().map(|probe| run_probe(gateway, probe));
    future::join_all(probes).await;
    let reachability = gateway.reachability.borrow();
    reachability.has_connected_since(failed_at)
        || (count < MIN_FAILED_CONTROLS
            && !reachability.has_peer_connected_since(&target.service, failed_at))
}

async fn run_probe(gateway: &Rc<Gateway>, probe: Probe) {
    let target = TargetAddress {
        service: probe.service,
        target: probe.target,
        address: probe.address,
    };
    let started_at = gateway.clock.now();
    let is_connected = Connection::open(target.address, PROBE_TIMEOUT)
        .await
        .is_ok();
    record_result(gateway, &target, started_at, is_connected);
    let result = if is_connected { "open" } else { "failed" };
    metrics::counter!("cyclamengauge_path_probes_total", "result" => result).increment(1);
    let state = gateway.reachability.borrow().state(&target.service);
    let is_explained = gateway.own_link.explains(started_at);
    if !is_connected && !is_explained && state == PathState::Open {
        // Other targets answer, so this one is at fault.
        let now = gateway.clock.now();
        let mut targets = gateway.targets.borrow_mut();
        let exclusion = targets.record_outcome(&target.target, Outcome::Silent, now);
        process_events::log_exclusion(&target.target, Outcome::Silent, exclusion);
    }
}

fn record_slow(gateway: &Gateway, service: &ServiceId, started_at: Instant) {
    if gateway.own_link.explains(started_at) {
        return;
    }
    let now = gateway.clock.now();
    let mut reachability = gateway.reachability.borrow_mut();
    reachability.record_slow(service, started_at, now);
    drop(reachability);
    report_changes(gateway);
}

fn record_result(
    gateway: &Gateway,
    target: &TargetAddress,
    started_at: Instant,
    is_connected: bool,
) {
    if !is_connected && gateway.own_link.explains(started_at) {
        return;
    }
    let now = gateway.clock.now();
    let TargetAddress {
        service,
        target: id,
        ..
    } = target;
    let targets = gateway.targets.borrow();
    let mut reachability = gateway.reachability.borrow_mut();
    let before = reachability.state(service);
    let change = match is_connected {
        true => reachability.record_connected(service, id, started_at, &targets, now),
        false => reachability.record_failed(service, id, started_at, &targets, now),
    };
    let has_changed = before != reachability.state(service);
    drop((targets, reachability));
    if let Some(change) = change {
        apply_change(gateway, &change);
    }
    if has_changed || gateway.reachability.borrow().has_news() {
        report_changes(gateway);
    }
}

/// Wakes what waits for a path, and tells the peers if they must hear of it.
fn report_changes(gateway: &Gateway) {
    gateway.path_changed.notify_waiters();
    if gateway.reachability.borrow().has_news() {
        gateway.report_placement();
    }
}

/// Logs a change of a path. While no target can be reached, failures are the path's and
/// not those of the targets.
fn apply_change(gateway: &Gateway, change: &PathChange) {
    process_events::log_path(change);
    let now = gateway.clock.now();
    let since = now.since_start().saturating_sub(change.failing_for);
    if change.before == PathState::CutOff || change.after == PathState::CutOff {
        let mut targets = gateway.targets.borrow_mut();
        targets.forgive_silence(&change.service, Instant::from_start(since));
    }
    gateway.path_changed.notify_waiters();
}
