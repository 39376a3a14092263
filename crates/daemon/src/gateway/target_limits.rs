//! Limits on requests per second that targets name in their responses.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::targets::{
        Target,
        limits::{LimitChange, LimitStatement},
    },
};
use cyclamengauge_platform::headers;
use http::{HeaderMap, Response, StatusCode};

use crate::{gateway::Gateway, telemetry::process_events};

/// Shortest interval between two log lines about invalid limits.
const FAULTY_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of targets that the line of a refused request names.
const MAX_NAMED_TARGETS: usize = 8;

/// Records the limit in the head of a response from `target` to a request that was sent
/// at `sent_at`.
pub fn record_response<B>(
    gateway: &Gateway,
    target: &EngineId,
    response: &Response<B>,
    sent_at: Instant,
) {
    // The address belongs to another target now.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(statement) = decode_statement(gateway, target, response.headers()) {
        record_statement(gateway, target, statement, sent_at);
    }
}

/// Records the limit in the response to an order, if it names one. Other responses to
/// orders say nothing about the limit.
pub fn record_order_response<B>(gateway: &Gateway, target: &EngineId, response: &Response<B>) {
    let statement = decode_statement(gateway, target, response.headers());
    if let Some(statement @ LimitStatement::Limited(_)) = statement
        && response.status() != StatusCode::MISDIRECTED_REQUEST
    {
        record_statement(gateway, target, statement, gateway.clock.now());
    }
}

/// Decodes what a response says about the target's limit; none if that is invalid.
fn decode_statement(
    gateway: &Gateway,
    target: &EngineId,
    map: &HeaderMap,
) -> Option<LimitStatement> {
    let Some(value) = map.get(headers::REQUEST_LIMIT) else {
        return Some(LimitStatement::Unlimited);
    };
    match headers::parse_request_limit(value.as_bytes()) {
        Ok(limit) => Some(LimitStatement::Limited(limit)),
        Err(err) => {
            metrics::counter!("cyclamengauge_faulty_limits_total").increment(1);
            let now = gateway.clock.now();
            let logged_at = &gateway.faulty_limit_logged_at;
            let is_due = |at: Instant| now - at >= FAULTY_LIMIT_LOG_INTERVAL;
            if logged_at.get().is_none_or(is_due) {
                logged_at.set(Some(now));
                process_events::log_target_limit_faulty(target, &err);
            }
            None
        }
    }
}

fn record_statement(
    gateway: &Gateway,
    target: &EngineId,
    statement: LimitStatement,
    sent_at: Instant,
) {
    let now = gateway.clock.now();
    let mut targets = gateway.targets.borrow_mut();
    let change = targets
        .limits
        .record_answer(target, statement, sent_at, now);
    drop(targets);
    if let Some(change) = change {
        let own = gateway.settings.borrow().instance.to_string();
        log_change(target, change, &own);
        gateway.report_placement();
    }
}

/// Logs the change of a limit that the instance `source` got in a response.
pub fn log_change(target: &EngineId, change: LimitChange, source: &str) {
    let (limit, before) = match change {
        LimitChange::Limited { limit, before } => (Some(limit), before),
        LimitChange::Withdrawn { before } => (None, Some(before)),
    };
    process_events::log_target_limit(target, limit, before, source);
}

/// Time after which a client of `service` can be served that is refused since the limits
/// of all usable targets are reached.
pub fn take_retry_delay(
    gateway: &Gateway,
    service: &ServiceId,
    excluded: &[EngineId],
    wait: Duration,
) -> Duration {
    let now = gateway.clock.now();
    let mut targets = gateway.targets.borrow_mut();
    let at_limit = targets.at_limit(service, excluded, now);
    let at_limit: Vec<EngineId> = at_limit.iter().map(|t| t.facts.id.clone()).collect();
    metrics::counter!("cyclamengauge_limit_refusals_total", "service" => service.to_string())
        .increment(1);
    targets
        .limits
        .take_retry_delay(service, &at_limit, wait, now)
}

/// Names the targets of a service whose limits are reached, with these limits.
pub fn describe_at_limit(gateway: &Gateway, service: &ServiceId, excluded: &[EngineId]) -> String {
    let targets = gateway.targets.borrow();
    let at_limit = targets.at_limit(service, excluded, gateway.clock.now());
    let named = at_limit.iter().take(MAX_NAMED_TARGETS);
    let named = named.map(|target| describe(gateway, target));
    let mut description = named.collect::<Vec<_>>().join(", ");
    if at_limit.len() > MAX_NAMED_TARGETS {
        let others = at_limit.len() - MAX_NAMED_TARGETS;
        description.push_str(&format!(" and {others} more"));
    }
    description
}

fn describe(gateway: &Gateway, target: &Target) -> String {
    let id = &target.facts.id;
    let limit = gateway.targets.borrow().limits.limit(id);
    limit.map_or_else(|| id.to_string(), |limit| format!("{id} {limit}"))
}
