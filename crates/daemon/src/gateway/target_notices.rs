//! What targets say of themselves in their responses: that they leave, or that they want no
//! requests for a time.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::targets::notices::{MAX_PAUSE, TargetProcess},
};
use cyclamengauge_platform::headers;
use http::{HeaderMap, Response, StatusCode};

use crate::{gateway::Gateway, telemetry::process_events};

/// Shortest interval between two log lines about invalid notices of a target.
const FAULTY_NOTICE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Range of the random time that is added to the delay of a client that is refused since
/// all targets are paused, so that the clients do not return all at once.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Records the notices in the head of a response of a target's `process`, to a request or
/// an order.
pub fn record_response<B>(gateway: &Gateway, process: &TargetProcess, response: &Response<B>) {
    // The address belongs to another target now.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let map = response.headers();
    let values = map.get_all(headers::LEAVING).iter();
    match headers::parse_leaving(values.map(|value| value.as_bytes())) {
        Ok(true) => {
            let own = gateway.settings.borrow().instance.to_string();
            record_leaving(gateway, process, &own);
        }
        Ok(false) => {}
        Err(err) => log_faulty(gateway, &process.target, &err),
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        record_retry_after(gateway, process, map);
    }
}

/// Records the notice of a target's `process` in the head of a response that a peer has
/// passed on. A pause is between the target and the peer.
pub fn record_passed_on<B>(gateway: &Gateway, process: &TargetProcess, response: &Response<B>) {
    let values = response.headers().get_all(headers::LEAVING).iter();
    let leaving = headers::parse_leaving(values.map(|value| value.as_bytes()));
    if matches!(leaving, Ok(true)) && response.status() != StatusCode::MISDIRECTED_REQUEST {
        let own = gateway.settings.borrow().instance.to_string();
        record_leaving(gateway, process, &own);
    }
}

/// Records that a target's process has said to the instance `source` that it leaves.
pub fn record_leaving(gateway: &Gateway, process: &TargetProcess, source: &str) {
    let now = gateway.clock.now();
    let is_new = gateway
        .targets
        .borrow_mut()
        .record_leaving_process(process, now);
    if is_new {
        count("leaving");
        process_events::log_target_leaving(&process.target, source);
        gateway.report_placement();
    }
}

fn record_retry_after(gateway: &Gateway, process: &TargetProcess, map: &HeaderMap) {
    // The later end of two counts.
    let mut pause = Duration::ZERO;
    for value in map.get_all(headers::RETRY_AFTER) {
        match headers::parse_retry_after(value.as_bytes()) {
            Ok(delay) => pause = pause.max(delay),
            Err(err) => log_faulty(gateway, &process.target, &err),
        }
    }
    if pause > MAX_PAUSE {
        let (seconds, max) = (pause.as_secs(), MAX_PAUSE.as_secs());
        let err = anyhow::anyhow!(
            "header {} is {seconds} s, at most {max} s count",
            headers::RETRY_AFTER
        );
        log_faulty(gateway, &process.target, &err);
    }
    let now = gateway.clock.now();
    let mut targets = gateway.targets.borrow_mut();
    let listed = targets.get(&process.target);
    let was_paused = listed.is_some_and(|target| targets.is_paused(target, now));
    let left = targets.record_pause(process, pause, now);
    drop(targets);
    if let Some(left) = left
        && !was_paused
    {
        count("retry-after");
        process_events::log_target_paused(&process.target, left);
    }
}

/// Time after which a client can return that is refused since all targets of the service
/// want no requests for `pause_left`.
pub fn retry_delay(gateway: &Gateway, pause_left: Duration) -> Duration {
    pause_left + RETURN_SPREAD.mul_f64(gateway.rng.borrow_mut().f64())
}

/// Counts a request that is refused since all targets of its service are paused.
pub fn count_refusal(service: &ServiceId) {
    metrics::counter!("cyclamengauge_pause_refusals_total", "service" => service.to_string())
        .increment(1);
}

fn count(notice: &'static str) {
    metrics::counter!("cyclamengauge_target_notices_total", "notice" => notice).increment(1);
}

fn log_faulty(gateway: &Gateway, target: &EngineId, err: &anyhow::Error) {
    metrics::counter!("cyclamengauge_faulty_notices_total").increment(1);
    let now = gateway.clock.now();
    let is_recent = |at: &Instant| now - *at < FAULTY_NOTICE_LOG_INTERVAL;
    let mut logged_at = gateway.faulty_notices_logged_at.borrow_mut();
    if logged_at.get(target).is_some_and(is_recent) {
        return;
    }
    logged_at.retain(|_, at| is_recent(at));
    logged_at.insert(target.clone(), now);
    process_events::log_target_notice_faulty(target, err);
}
