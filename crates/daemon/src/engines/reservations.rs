//! Reserves memory on engines, and releases reservations whose owner stopped
//! renewing them.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::{AttemptId, EngineId},
    recovery::reservation::{self, ListedReservation, Reply},
    units::Tokens,
};
use cyclamengauge_schema::v1;

use crate::{http, node::Node};

/// Time limit of one call that reserves, renews or releases memory.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reserves memory on an engine and passes the engine's reply to the dispatcher.
pub async fn reserve_memory(node: Rc<Node>, attempt: AttemptId, engine: EngineId, memory: Tokens) {
    let reply = request_reservation(&node, attempt, &engine, memory).await;
    node.update_dispatcher(|d, now| d.handle_reservation_reply(attempt, &engine, reply, now));
}

/// Extends a reservation's expiry. A failed call is not retried here.
pub async fn renew_reservation(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    if let Some(url) = reservation_url(&node, attempt, &engine) {
        let url = format!("{url}/renew");
        let _ = node.client.post(url).timeout(CALL_TIMEOUT).send().await;
    }
}

/// Releases a reservation. The dispatcher repeats the call until the engine
/// acknowledges it.
pub async fn release_reservation(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    let Some(url) = reservation_url(&node, attempt, &engine) else {
        node.dispatcher
            .borrow_mut()
            .handle_release(attempt, &engine);
        return;
    };
    let response = node.client.delete(url).timeout(CALL_TIMEOUT).send().await;
    let acknowledged = response.is_ok_and(|r| matches!(r.status().as_u16(), 200 | 404));
    if acknowledged {
        node.dispatcher
            .borrow_mut()
            .handle_release(attempt, &engine);
    }
}

/// Releases the reservations in an engine's report whose owner has not renewed
/// them within their time to live.
pub fn release_orphans(node: &Rc<Node>, engine: &EngineId, reservations: &[v1::Reservation]) {
    let reported: Vec<ListedReservation> = reservations.iter().map(listed_reservation).collect();
    for orphan in reservation::orphans(&reported) {
        let Some(url) = node.engine_url(engine) else {
            return;
        };
        let url = format!("{url}/v1/reservations/{}", orphan.id);
        tracing::warn!(%engine, reservation = orphan.id, "engine: {engine} holds a reservation that its owner no longer renews; releasing it");
        metrics::counter!("cyclamengauge_orphans_released_total").increment(1);
        let client = node.client.clone();
        actix_rt::spawn(async move {
            let _ = client.delete(url).timeout(CALL_TIMEOUT).send().await;
        });
    }
}

async fn request_reservation(
    node: &Rc<Node>,
    attempt: AttemptId,
    engine: &EngineId,
    memory: Tokens,
) -> Reply {
    let Some(url) = node.engine_url(engine) else {
        return Reply::Refused;
    };
    let body = v1::Reservation {
        id: node.attempt_name(attempt),
        owner: node.holder_name(),
        tokens: memory.get(),
        ttl_ms: reservation::RESERVATION_TTL.as_millis() as u32,
        idle_ms: 0,
    };
    let request = node
        .client
        .post(format!("{url}/v1/reservations"))
        .timeout(CALL_TIMEOUT);
    match request.send_json(&body).await {
        Ok(response) if response.status().as_u16() == 200 => Reply::Granted,
        Ok(_) => Reply::Refused,
        Err(err) if http::is_unsent(&err) => Reply::Refused,
        Err(_) => Reply::Lost,
    }
}

fn reservation_url(node: &Node, attempt: AttemptId, engine: &EngineId) -> Option<String> {
    let url = node.engine_url(engine)?;
    Some(format!(
        "{url}/v1/reservations/{}",
        node.attempt_name(attempt)
    ))
}

fn listed_reservation(entry: &v1::Reservation) -> ListedReservation {
    ListedReservation {
        id: entry.id.clone(),
        idle: Duration::from_millis(entry.idle_ms),
        ttl: Duration::from_millis(u64::from(entry.ttl_ms)),
    }
}
