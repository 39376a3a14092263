//! Gauges of the gateway's state, updated at each scrape.

use std::collections::{BTreeMap, BTreeSet};

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::{
        pace::PaceEstimate,
        reachability::PathState,
        targets::{Target, Targets},
        watchers::WatchState,
    },
};

use crate::{
    gateway::{Gateway, watch},
    telemetry,
};

/// Value of the label `state` of `cyclamengauge_targets`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TargetState {
    Usable,
    Suspect,
    Leaving,
    Evacuated,
    Paused,
    Unconfirmed,
    Draining,
}

impl TargetState {
    const ALL: [Self; 7] = [
        Self::Usable,
        Self::Suspect,
        Self::Leaving,
        Self::Evacuated,
        Self::Paused,
        Self::Unconfirmed,
        Self::Draining,
    ];

    fn of(targets: &Targets, target: &Target, now: Instant) -> Self {
        match target {
            target if target.facts.draining => Self::Draining,
            target if targets.has_said_leaving(target) => Self::Leaving,
            target if target.is_leaving(now) => Self::Leaving,
            target if targets.is_evacuated(target, now) => Self::Evacuated,
            target if targets.is_paused(target, now) => Self::Paused,
            target if target.is_suspect(now) => Self::Suspect,
            target if target.is_unconfirmed(now) => Self::Unconfirmed,
            _ => Self::Usable,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Paused => "paused",
            Self::Unconfirmed => "unconfirmed",
            Self::Draining => "draining",
        }
    }
}

/// Sets all gauges to the current state.
pub fn update(gateway: &Gateway) {
    let now = gateway.clock.now();
    let dropped_lines = telemetry::dropped_lines() as f64;
    metrics::gauge!("cyclamengauge_log_lines_lost").set(dropped_lines);
    let alive = gateway.peers.borrow().alive_count(now);
    metrics::gauge!("cyclamengauge_peers").set(f64::from(alive));
    let (connections, limits) = (&gateway.connections, gateway.connections.limits());
    metrics::gauge!("cyclamengauge_client_connections").set(connections.count() as f64);
    metrics::gauge!("cyclamengauge_client_connections_limit").set(limits.max_connections as f64);
    let is_watching = watch::watch_state(gateway) == WatchState::Watching;
    metrics::gauge!("cyclamengauge_watching").set(f64::from(u8::from(is_watching)));
    let refused_parts = gateway.refused_parts() as f64;
    metrics::gauge!("cyclamengauge_refused_parts").set(refused_parts);
    metrics::gauge!("cyclamengauge_requests_in_progress")
        .set(gateway.requests_in_progress.get() as f64);
    metrics::gauge!("cyclamengauge_memory_held_bytes").set(gateway.memory.held_bytes() as f64);
    metrics::gauge!("cyclamengauge_memory_limit_bytes").set(gateway.memory.capacity_bytes() as f64);
    let version = gateway.configuration_version() as f64;
    metrics::gauge!("cyclamengauge_configuration_version").set(version);
    let configuration_age = now - gateway.configuration_applied_at.get();
    metrics::gauge!("cyclamengauge_configuration_age_seconds").set(configuration_age.as_secs_f64());
    let last_successes = [
        ("any", gateway.last_store_success_at.get()),
        ("targets", gateway.last_target_list_success_at.get()),
    ];
    for (table, at) in last_successes {
        // Before the first successful call, the age is the uptime.
        let age = now - at.unwrap_or(gateway.started_at);
        metrics::gauge!("cyclamengauge_store_age_seconds", "table" => table).set(age.as_secs_f64());
    }
    update_services(gateway, now);
    update_limits(gateway);
    update_paces(gateway);
}

/// Sets the speed of each target of which something is known, and the usual one for those
/// of which nothing is known any more.
fn update_paces(gateway: &Gateway) {
    let targets = gateway.targets.borrow();
    let set = |target: &EngineId, slowdown: f64, uncertainty: f64, knee: f64| {
        let labels = [("target", target.to_string())];
        metrics::gauge!("cyclamengauge_target_slowdown", &labels).set(slowdown);
        metrics::gauge!("cyclamengauge_target_slowdown_uncertainty", &labels).set(uncertainty);
        metrics::gauge!("cyclamengauge_target_knee", &labels).set(knee);
    };
    let mut known: BTreeSet<EngineId> = BTreeSet::new();
    for (target, _, estimate) in targets.pace.estimates() {
        let PaceEstimate {
            slowdown,
            uncertainty,
            knee,
            ..
        } = estimate;
        set(target, slowdown, uncertainty, knee.unwrap_or_default());
        known.insert(target.clone());
    }
    let previous = gateway.paces_in_metrics.replace(known.clone());
    for target in previous.difference(&known) {
        set(target, 1.0, 0.0, 0.0);
    }
    let implausible = targets.pace.implausible_samples() as f64;
    metrics::gauge!("cyclamengauge_implausible_pace_samples").set(implausible);
}

/// Sets the limit of each limited target, and 0 for those that no longer have one.
fn update_limits(gateway: &Gateway) {
    let targets = gateway.targets.borrow();
    let set = |target: &EngineId, limit: f64| {
        metrics::gauge!("cyclamengauge_target_limit", "target" => target.to_string()).set(limit);
    };
    let mut limited: BTreeSet<EngineId> = BTreeSet::new();
    for (target, limit) in targets.limits.limited() {
        set(target, limit.get());
        limited.insert(target.clone());
    }
    let previous = gateway.limits_in_metrics.replace(limited.clone());
    for target in previous.difference(&limited) {
        set(target, 0.0);
    }
}

fn update_services(gateway: &Gateway, now: Instant) {
    let Some(route_table) = gateway.route_table() else {
        return;
    };
    let mut counts: BTreeMap<(&ServiceId, TargetState), u32> = BTreeMap::new();
    let targets = gateway.targets.borrow();
    for target in targets.iter() {
        let state = TargetState::of(&targets, target, now);
        *counts.entry((&target.facts.service, state)).or_default() += 1;
    }
    for service in route_table.services() {
        let name = service.id.to_string();
        for state in TargetState::ALL {
            let count = counts.get(&(&service.id, state)).copied();
            let labels = [
                ("service", name.clone()),
                ("state", state.name().to_owned()),
            ];
            metrics::gauge!("cyclamengauge_targets", &labels)
                .set(f64::from(count.unwrap_or_default()));
        }
        let path = gateway.reachability.borrow().state(&service.id);
        for state in [PathState::CutOff, PathState::Unreachable] {
            let labels = [
                ("service", name.clone()),
                ("state", state.name().to_owned()),
            ];
            metrics::gauge!("cyclamengauge_path", &labels).set(f64::from(u8::from(path == state)));
        }
        let retries_left = gateway.retries_left(&service.id) as f64;
        metrics::gauge!("cyclamengauge_retries_left", "service" => name).set(retries_left);
    }
}
