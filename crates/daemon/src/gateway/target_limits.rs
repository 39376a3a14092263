//! Limits that targets name in their responses.

use cyclamengauge_core::ids::EngineId;
use cyclamengauge_platform::headers;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;

use crate::{gateway::Gateway, telemetry::process_events};

/// Records the limit in the head of a response from `target`.
pub fn record_response(gateway: &Gateway, target: &EngineId, response: &Response<Incoming>) {
    // The address belongs to another target now.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    record_headers(gateway, target, response.headers());
}

fn record_headers(gateway: &Gateway, target: &EngineId, map: &HeaderMap) {
    let named = map.get(headers::REQUEST_LIMIT);
    let limit = match named.map(|value| headers::parse_request_limit(value.as_bytes())) {
        Some(Ok(limit)) => Some(limit),
        Some(Err(err)) => return process_events::log_target_limit_faulty(target, &err),
        None => None,
    };
    let mut limits = gateway.named_limits.borrow_mut();
    let before = match limit {
        Some(limit) => limits.insert(target.clone(), limit),
        None => limits.remove(target),
    };
    if limit != before {
        let own = gateway.settings.borrow().instance.to_string();
        process_events::log_target_limit(target, limit, before, &own);
    }
}
