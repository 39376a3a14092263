//! What an instance knows and how it is.

use std::rc::Rc;

use actix_http::{Response, body::BoxBody};
use cyclamengauge_core::{ids::EngineId, invariant, membership::Standing, request::ExecutionState};
use cyclamengauge_schema::v1;

use crate::{http, node::Node};

/// The instance's view of itself, the engines and its peers.
pub(super) fn status(node: &Rc<Node>) -> Response<BoxBody> {
    let now = node.clock.now();
    let current = node.current.borrow();
    let status = v1::FleetStatus {
        instance: node.settings.instance.clone(),
        version: current.version(),
        operator: current
            .accepted()
            .map_or_else(String::new, |a| a.operator.clone()),
        confirmed_ago_ms: current
            .time_since_verified(now)
            .map(|ago| ago.as_millis() as u64),
        store_reachable: node.store_reachable.get(),
        engines: engines(node),
        peers: peers(node),
        ready: node.is_ready(),
        invariant_violations: invariant::violation_count(),
    };
    http::json(200, serde_json::to_vec(&status).unwrap_or_default())
}

/// The configuration in force, whole.
pub(super) fn configuration(node: &Rc<Node>) -> Response<BoxBody> {
    let current = node.current.borrow();
    let empty = v1::Accepted::default();
    let accepted = current.accepted().unwrap_or(&empty);
    http::json(200, serde_json::to_vec(accepted).unwrap_or_default())
}

/// What was decided about a request of this instance.
pub(super) fn explain(node: &Rc<Node>, name: &str) -> Response<BoxBody> {
    let journal = node.journal.borrow();
    let lines = node
        .request_of(name)
        .map_or(&[][..], |id| journal.lines(id));
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

/// Sets the gauges that are not kept up to date all the time.
pub(super) fn measure(node: &Node) {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    metrics::gauge!("cyclamengauge_requests_in_flight").set(dispatcher.in_flight() as f64);
    metrics::gauge!("cyclamengauge_reservations").set(dispatcher.reservations() as f64);
    metrics::gauge!("cyclamengauge_quarantined").set(dispatcher.quarantine().len() as f64);
    metrics::gauge!("cyclamengauge_config_version").set(node.current.borrow().version() as f64);
    metrics::gauge!("cyclamengauge_buffered_bytes").set(node.buffered_bytes.get() as f64);
    let members = dispatcher.members();
    for standing in [
        Standing::Live,
        Standing::Leaving,
        Standing::Ejected,
        Standing::Dead,
    ] {
        let count = members
            .ids()
            .filter(|id| members.standing(id, now) == standing)
            .count();
        metrics::gauge!("cyclamengauge_engines", "standing" => standing.name()).set(count as f64);
    }
}

fn engines(node: &Node) -> Vec<v1::EngineStatus> {
    let now = node.clock.now();
    let dispatcher = node.dispatcher.borrow();
    let reports = node.reports.borrow();
    let mut ids: Vec<&EngineId> = dispatcher.members().ids().collect();
    ids.sort();
    ids.into_iter()
        .map(|id| {
            let report = reports.get(id);
            let load = dispatcher.fleet().engine(id).map(|engine| &engine.load);
            v1::EngineStatus {
                name: id.to_string(),
                state: dispatcher.members().standing(id, now).name().to_owned(),
                model: report.map_or_else(String::new, |r| r.model.clone()),
                in_flight: load.map_or(0, |load| load.own_requests()),
                reserved_tokens: report.map_or(0, |r| r.reserved_tokens),
            }
        })
        .collect()
}

fn peers(node: &Node) -> Vec<v1::PeerStatus> {
    let now = node.clock.now();
    let peers = node.peers.borrow();
    let mut list: Vec<v1::PeerStatus> = peers
        .iter()
        .map(|(instance, view)| v1::PeerStatus {
            instance: instance.clone(),
            version: view.version,
            seen_ago_ms: view
                .seen_at
                .map_or(u64::MAX, |at| (now - at).as_millis() as u64),
        })
        .collect();
    list.sort_by(|a, b| a.instance.cmp(&b.instance));
    list
}
