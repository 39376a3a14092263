//! Status, configuration, decisions and gauges of an instance.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use cyclamengauge_core::{
    ids::EngineId, invariant, membership::TargetState, request::ExecutionState,
};
use cyclamengauge_schema::v1;

use crate::{http, node::Node};

/// Status of the instance, its engines and its peers, as this instance sees them.
pub(super) fn status(node: &Rc<Node>) -> Response<BoxBody> {
    let now = node.clock.now();
    let current_configuration = node.current_configuration.borrow();
    let status = v1::FleetStatus {
        instance: node.settings.instance.clone(),
        version: current_configuration.version(),
        operator: current_configuration
            .accepted()
            .map_or_else(String::new, |a| a.operator.clone()),
        confirmed_ago_ms: current_configuration
            .time_since_verified(now)
            .map(|age| age.as_millis() as u64),
        store_reachable: node.store_reachable.get(),
        engines: engine_statuses(node),
        peers: peer_statuses(node),
        ready: node.is_ready(),
        invariant_violations: invariant::violation_count(),
    };
    http::json(200, serde_json::to_vec(&status).unwrap_or_default())
}

/// The configuration in force, complete; an empty one before the first is accepted.
pub(super) fn configuration(node: &Rc<Node>) -> Response<BoxBody> {
    let current_configuration = node.current_configuration.borrow();
    let empty = v1::Accepted::default();
    let accepted = current_configuration.accepted().unwrap_or(&empty);
    http::json(200, serde_json::to_vec(accepted).unwrap_or_default())
}

/// Recent decisions on a request of this instance, by the request's name.
pub(super) fn explain(node: &Rc<Node>, name: &str) -> Response<BoxBody> {
    let decision_log = node.decision_log.borrow();
    let lines = node
        .parse_request_name(name)
        .map_or(&[][..], |id| decision_log.lines(id));
    if lines.is_empty() {
        let detail = "this instance does not remember the request";
        return http::problem(
            404,
            "unknown-request",
            detail,
            ExecutionState::NotExecuted,
            None,
        );
    }
    let explanation = v1::Explanation {
        request: name.to_owned(),
        instance: node.settings.instance.clone(),
        lines: lines.to_vec(),
    };
    http::json(200, serde_json::to_vec(&explanation).unwrap_or_default())
}

/// Sets the gauges that are computed only when metrics are read.
pub(super) fn update_gauges(node: &Node) {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    metrics::gauge!("cyclamengauge_requests_in_flight").set(dispatcher.in_flight() as f64);
    metrics::gauge!("cyclamengauge_reservations").set(dispatcher.reservations() as f64);
    metrics::gauge!("cyclamengauge_quarantined").set(dispatcher.quarantine().len() as f64);
    metrics::gauge!("cyclamengauge_config_version")
        .set(node.current_configuration.borrow().version() as f64);
    metrics::gauge!("cyclamengauge_buffered_bytes").set(node.buffered_bytes.get() as f64);
    let membership = dispatcher.membership();
    for target_state in [
        TargetState::Live,
        TargetState::Leaving,
        TargetState::Ejected,
        TargetState::Dead,
    ] {
        let count = membership
            .ids()
            .filter(|id| membership.target_state(id, now) == target_state)
            .count();
        metrics::gauge!("cyclamengauge_engines", "standing" => target_state.name())
            .set(count as f64);
    }
}

fn engine_statuses(node: &Node) -> Vec<v1::EngineStatus> {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    let reports = node.reports.borrow();
    let mut ids: Vec<&EngineId> = dispatcher.membership().ids().collect();
    ids.sort();
    ids.into_iter()
        .map(|id| {
            let report = reports.get(id);
            let load = dispatcher.fleet().engine(id).map(|engine| &engine.load);
            v1::EngineStatus {
                name: id.to_string(),
                state: dispatcher
                    .membership()
                    .target_state(id, now)
                    .name()
                    .to_owned(),
                model: report.map_or_else(String::new, |r| r.model.clone()),
                in_flight: load.map_or(0, |load| load.own_requests()),
                reserved_tokens: report.map_or(0, |r| r.reserved_tokens),
            }
        })
        .collect()
}

fn peer_statuses(node: &Node) -> Vec<v1::PeerStatus> {
    let now = node.clock.now();
    let peers = node.peers.borrow();
    let mut statuses: Vec<v1::PeerStatus> = peers
        .iter()
        .map(|(instance, view)| v1::PeerStatus {
            instance: instance.clone(),
            version: view.version,
            seen_ago_ms: view
                .seen_at
                .map_or(u64::MAX, |at| (now - at).as_millis() as u64),
        })
        .collect();
    statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
    statuses
}
