//! Load reports, probes and orders.

use actix_http::HttpMessage;
use std::{collections::BTreeMap, rc::Rc, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    dispatch::Probed,
    ids::EngineId,
    intent,
    request::PrefixHash,
    routing::{self, Backlog, CacheEvent},
    text::SmolStr,
    units::Tokens,
};
use cyclamengauge_schema::v1;

use crate::{engines, http, node::Node};

/// Silence of an engine after which it may be asked for a report. Engines with
/// traffic send reports along with their answers.
const POLL_AFTER: Duration = Duration::from_secs(2);

/// Time between two questions to silent engines, which bounds their traffic
/// whatever the number of engines.
const POLL_PERIOD: Duration = Duration::from_millis(333);

/// Time for an engine to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest report.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Asks engines for reports, for the life of the daemon: new ones at once, then
/// one at a time the one that has been silent for longest.
pub async fn poll_reports(node: Rc<Node>) {
    let mut asked: BTreeMap<EngineId, Instant> = BTreeMap::new();
    loop {
        let engines: Vec<EngineId> = node.directory.borrow().engines.keys().cloned().collect();
        asked.retain(|engine, _| engines.contains(engine));
        let now = node.clock.now();
        let (known, new): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .partition(|engine| asked.contains_key(engine));
        for engine in new {
            asked.insert(engine.clone(), now);
            actix_rt::spawn(probe(Rc::clone(&node), engine));
        }
        let silence = |engine: &EngineId| {
            let heard = node.heard_from(engine).unwrap_or(Duration::MAX);
            heard.min(now - asked[engine])
        };
        let quietest = known.into_iter().max_by_key(|engine| silence(engine));
        if let Some(engine) = quietest.filter(|engine| silence(engine) >= POLL_AFTER) {
            asked.insert(engine.clone(), now);
            actix_rt::spawn(probe(Rc::clone(&node), engine));
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

/// Asks an engine for its report now.
pub async fn probe(node: Rc<Node>, engine: EngineId) {
    match fetch(&node, &engine).await {
        Some(report) => {
            let incarnation = report.incarnation;
            let probed = Probed::Alive { incarnation };
            node.decide(|d, now| d.probed(&engine, probed, now));
            take_report(&node, &engine, report);
        }
        None => {
            node.reports.borrow_mut().remove(&engine);
            node.decide(|d, now| d.probed(&engine, Probed::Dead, now));
        }
    }
}

/// Takes in a report that came along with an answer or was asked for.
pub fn take_report(node: &Rc<Node>, engine: &EngineId, report: v1::EngineReport) {
    let load = routing::Report {
        backlog: Backlog::from_levels(&report.queued_prefill_tokens),
        running: report.running,
        waiting: report.waiting,
        reserved: Tokens(report.reserved_tokens),
    };
    let events: Vec<CacheEvent> = report.cache_events.iter().map(cache_event).collect();
    let (incarnation, draining) = (report.incarnation, report.draining);
    node.decide(|d, now| {
        let actions = d.reported(engine, incarnation, draining, &load, now);
        d.cache_events(engine, report.first_cache_event, &events, now);
        actions
    });
    engines::sweep(node, engine, &report.reservations);
    node.heard(engine);
    node.reports.borrow_mut().insert(engine.clone(), report);
}

/// What the engines report of themselves, as plans and orders need it.
pub fn observed(node: &Node) -> intent::ObservedFleet {
    let reports = node.reports.borrow();
    let engines = reports.iter().map(|(id, report)| {
        let seen = intent::ObservedEngine {
            model: SmolStr::new(&report.model),
            version: SmolStr::new(&report.version),
            draining: report.draining,
            running: report.running + report.waiting,
        };
        (id.clone(), seen)
    });
    intent::ObservedFleet {
        engines: engines.collect(),
    }
}

/// Gives an order to an engine; true if the engine accepted it.
pub async fn order(node: &Node, engine: &EngineId, order: &v1::EngineOrder) -> bool {
    let Some(url) = node.engine_url(engine) else {
        return false;
    };
    let request = node
        .client
        .post(format!("{url}/v1/orders"))
        .insert_header(("x-orders-from", node.settings.instance.as_str()))
        .timeout(PROBE_TIMEOUT);
    let answer = request.send_json(order).await;
    answer.is_ok_and(|response| response.status().as_u16() == 200)
}

async fn fetch(node: &Node, engine: &EngineId) -> Option<v1::EngineReport> {
    let url = node.engine_url(engine)?;
    let request = node
        .client
        .get(format!("{url}/v1/report"))
        .timeout(PROBE_TIMEOUT);
    let mut response = request.send().await.ok()?;
    let payload = response.take_payload();
    let body = http::collect_response(payload, MAX_REPORT_BYTES, PROBE_TIMEOUT).await;
    serde_json::from_slice(&body.ok()?).ok()
}

fn cache_event(event: &v1::CacheEvent) -> CacheEvent {
    let prefix = PrefixHash(event.prefix);
    match event.evicted {
        true => CacheEvent::Evicted(prefix),
        false => CacheEvent::Stored(prefix),
    }
}
