//! Crashes of engines that a request may have caused.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::serving::{crashes, targets::Outcome};

use crate::{
    gateway::{
        Gateway,
        attempt::{client_request::ClientRequest, guards::InFlightGuard, paths},
    },
    telemetry::process_events,
};

/// Time to connect to an engine whose response broke off. An engine that does not
/// accept the connection counts as crashed.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes an engine whose response broke off. If the engine does not accept a connection,
/// records a crash that the request may have caused, and excludes the engine.
/// Not so if this instance may reach no other target either. A peer does it for the
/// attempts that it makes.
pub fn suspect_crash(gateway: &Rc<Gateway>, request: &ClientRequest, in_flight: &InFlightGuard) {
    if in_flight.is_handed_over() {
        return;
    }
    let gateway = Rc::clone(gateway);
    let (fingerprint, request_id) = (request.fingerprint, request.id.clone());
    let shared_parts = match in_flight.may_have_caused_crash() {
        true => request.shared_parts.clone(),
        false => Vec::new(),
    };
    let (target, address) = (in_flight.target.clone(), in_flight.target_address());
    let crash_id = {
        let targets = gateway.targets.borrow();
        let listed = targets.get(&target);
        crashes::crash_id(&target, listed.map_or(0, |t| t.facts.started_unix_ms))
    };
    let broke_at = gateway.clock.now();
    actix_rt::spawn(async move {
        let Err(err) = paths::connect(&gateway, &address, CRASH_PROBE_TIMEOUT).await else {
            return;
        };
        if !paths::is_target_at_fault(&gateway, &address, broke_at).await {
            process_events::log_crash_ruled_out(&request_id, &target);
            return;
        }
        let now = gateway.clock.now();
        process_events::log_target_crashed(&request_id, &shared_parts, &target, &err);
        gateway
            .crashes
            .borrow_mut()
            .record_crash(fingerprint, crash_id, now);
        gateway.record_part_crash(&shared_parts, &target);
        let mut targets = gateway.targets.borrow_mut();
        let exclusion = targets.record_outcome(&target, Outcome::Silent, now);
        process_events::log_exclusion(&target, Outcome::Silent, exclusion);
    });
}
