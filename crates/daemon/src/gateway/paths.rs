//! Connections to targets, and what they show of the path from this instance to them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::{
        reachability::{PathChange, PathState, PeerReport, Probe},
        targets::Outcome,
    },
};

use crate::{
    gateway::{Gateway, exchange, upstream::Connection},
    telemetry::process_events,
};

/// Time after which a connection that is not open makes the path doubtful: several times
/// the highest network latency to a target.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(60);

/// Time for a probed target to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// A target to connect to.
#[derive(Clone, Debug)]
pub struct TargetAddress {
    /// Service of the target.
    pub service: ServiceId,
    /// Id of the target.
    pub target: EngineId,
    /// Listen address.
    pub address: SocketAddr,
}

/// Connects to a target and records the result for its path.
///
/// # Errors
///
/// If the connection is refused or takes longer than `timeout`.
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
            opening.await
        }
    };
    record_result(gateway, target, started_at, result.is_ok());
    result
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
    if !is_connected && state == PathState::Open {
        // Other targets answer, so this one is at fault.
        let now = gateway.clock.now();
        let mut targets = gateway.targets.borrow_mut();
        let exclusion = targets.record_outcome(&target.target, Outcome::Silent, now);
        exchange::log_exclusion(&target.target, Outcome::Silent, exclusion);
    }
}

fn record_slow(gateway: &Gateway, service: &ServiceId, started_at: Instant) {
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

/// Logs a change of a path.
fn apply_change(gateway: &Gateway, change: &PathChange) {
    process_events::log_path(change);
    gateway.path_changed.notify_waiters();
}
