//! Polls and applies the engines' load reports, probes engines and sends orders.

use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use actix_http::HttpMessage;
use awc::error::{ConnectError, SendRequestError};
use cyclamengauge_core::{
    clock::Instant,
    dispatch::ProbeResult,
    ids::EngineId,
    intent,
    request::PrefixHash,
    routing::{self, Backlog, CacheEvent},
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_schema::v1;

use crate::{
    engines,
    http::{self, BodyError},
    node::Node,
};

/// Time without a report after which an engine may be polled. Engines with traffic
/// send reports in their responses.
const STALE_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time between two polls of engines with stale reports, which bounds the polling
/// traffic for any number of engines.
const POLL_INTERVAL: Duration = Duration::from_millis(333);

/// Time limit of a probe and of sending an order.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of repetitions of a probe that failed before its time limit: the system closes the
/// connections of a process that ends one after the other, its listener perhaps last.
const MAX_PROBE_REPEATS: u32 = 3;

/// Time between two of these repetitions.
const PROBE_REPEAT_DELAY: Duration = Duration::from_millis(50);

const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Polls engines for reports until the daemon exits: new engines at once, then in
/// each interval the one engine that has been without contact for longest.
pub async fn poll_reports(node: Rc<Node>) {
    let mut last_polled: BTreeMap<EngineId, Instant> = BTreeMap::new();
    loop {
        let engines: Vec<EngineId> = node.directory.borrow().engines.keys().cloned().collect();
        last_polled.retain(|engine, _| engines.contains(engine));
        let now = node.clock.now();
        let (known, new): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .partition(|engine| last_polled.contains_key(engine));
        for engine in new {
            last_polled.insert(engine.clone(), now);
            actix_rt::spawn(probe(Rc::clone(&node), engine));
        }
        let time_since_contact = |engine: &EngineId| {
            let report_age = node.time_since_report(engine).unwrap_or(Duration::MAX);
            report_age.min(now - last_polled[engine])
        };
        let stalest = known
            .into_iter()
            .max_by_key(|engine| time_since_contact(engine));
        if let Some(engine) =
            stalest.filter(|engine| time_since_contact(engine) >= STALE_REPORT_AGE)
        {
            last_polled.insert(engine.clone(), now);
            actix_rt::spawn(probe(Rc::clone(&node), engine));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Why a report could not be fetched.
enum ProbeFailure {
    /// Nothing listens at the engine's address.
    Refused,
    /// The connection broke, perhaps while it was opened, or what came is no report: the engine
    /// may be about to end.
    Broken,
    /// There was no report in time.
    Silent,
}

/// Fetches an engine's report now. An engine that refuses the connection is passed to the
/// dispatcher as dead, one without a valid report as silent; its last report is dropped.
pub async fn probe(node: Rc<Node>, engine: EngineId) {
    let started_at = node.clock.now();
    let mut fetched = fetch_report(&node, &engine).await;
    for _ in 0..MAX_PROBE_REPEATS {
        if !matches!(fetched, Err(ProbeFailure::Broken)) {
            break;
        }
        actix_rt::time::sleep(PROBE_REPEAT_DELAY).await;
        fetched = fetch_report(&node, &engine).await;
    }
    match fetched {
        Ok(report) => {
            let incarnation = report.incarnation;
            let probed = ProbeResult::Alive { incarnation };
            node.update_dispatcher(|d, now| {
                d.handle_probe_result(&engine, probed, started_at, now)
            });
            apply_report(&node, &engine, report);
        }
        Err(failure) => {
            let probed = match failure {
                ProbeFailure::Refused => ProbeResult::Dead,
                ProbeFailure::Broken | ProbeFailure::Silent => ProbeResult::Silent,
            };
            node.reports.borrow_mut().remove(&engine);
            node.update_dispatcher(|d, now| {
                d.handle_probe_result(&engine, probed, started_at, now)
            });
        }
    }
}

/// Applies a report that was polled or that came with a response.
pub fn apply_report(node: &Rc<Node>, engine: &EngineId, report: v1::EngineReport) {
    let load = routing::LoadReport {
        backlog: Backlog::from_levels(&report.queued_prefill_tokens),
        running: report.running,
        waiting: report.waiting,
        reserved: Tokens(report.reserved_tokens),
    };
    let events: Vec<CacheEvent> = report.cache_events.iter().map(cache_event).collect();
    let (incarnation, draining) = (report.incarnation, report.draining);
    node.update_dispatcher(|d, now| {
        let actions = d.handle_report(engine, incarnation, draining, &load, now);
        d.handle_cache_events(engine, report.first_cache_event, &events, now);
        actions
    });
    engines::release_orphans(node, engine, &report.reservations);
    node.record_report_time(engine);
    node.reports.borrow_mut().insert(engine.clone(), report);
}

/// Returns the engines' state from their last reports, for plans and orders.
pub fn observed_engines(node: &Node) -> intent::ObservedFleet {
    let reports = node.reports.borrow();
    let engines = reports.iter().map(|(id, report)| {
        let state = intent::ObservedEngine {
            model: SmolStr::new(&report.model),
            version: SmolStr::new(&report.version),
            draining: report.draining,
            running: report.running.saturating_add(report.waiting),
        };
        (id.clone(), state)
    });
    intent::ObservedFleet {
        engines: engines.collect(),
    }
}

/// Sends an order to an engine; returns whether the engine accepted it.
pub async fn send_order(node: &Node, engine: &EngineId, order: &v1::EngineOrder) -> bool {
    let Some(url) = node.engine_url(engine) else {
        return false;
    };
    let request = node
        .client
        .post(format!("{url}/v1/orders"))
        .insert_header(("x-orders-from", node.settings.instance.as_str()))
        .timeout(PROBE_TIMEOUT);
    let response = request.send_json(order).await;
    response.is_ok_and(|response| response.status().as_u16() == 200)
}

/// Fetches a report over a connection of its own, so that a refusal is the engine's.
async fn fetch_report(node: &Node, engine: &EngineId) -> Result<v1::EngineReport, ProbeFailure> {
    let url = node.engine_url(engine).ok_or(ProbeFailure::Broken)?;
    let request = node
        .no_reuse_client
        .get(format!("{url}/v1/report"))
        .timeout(PROBE_TIMEOUT);
    let mut response = request.send().await.map_err(|err| match err {
        SendRequestError::Connect(ConnectError::Io(err))
            if err.kind() == io::ErrorKind::ConnectionRefused =>
        {
            ProbeFailure::Refused
        }
        SendRequestError::Timeout | SendRequestError::Connect(ConnectError::Timeout) => {
            ProbeFailure::Silent
        }
        _ => ProbeFailure::Broken,
    })?;
    let payload = response.take_payload();
    let body = http::collect_response(payload, MAX_REPORT_BYTES, PROBE_TIMEOUT).await;
    let body = body.map_err(|err| match err {
        BodyError::Broken | BodyError::TooLarge => ProbeFailure::Broken,
        BodyError::TooSlow => ProbeFailure::Silent,
    })?;
    serde_json::from_slice(&body).map_err(|_| ProbeFailure::Broken)
}

fn cache_event(event: &v1::CacheEvent) -> CacheEvent {
    let prefix = PrefixHash(event.prefix);
    match event.evicted {
        true => CacheEvent::Evicted(prefix),
        false => CacheEvent::Stored(prefix),
    }
}
