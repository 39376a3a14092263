//! Memory reserved on engines, and the release of what others left behind.

use std::{rc::Rc, time::Duration};

use cyclamengauge_core::{
    ids::{AttemptId, EngineId},
    recovery::reservation::{self, Listed, Reply},
    units::Tokens,
};
use cyclamengauge_schema::v1;

use crate::node::Node;

/// Time for an engine to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Asks an engine for memory and tells the dispatcher the answer.
pub async fn reserve(node: Rc<Node>, attempt: AttemptId, engine: EngineId, memory: Tokens) {
    let reply = ask(&node, attempt, &engine, memory).await;
    node.update_dispatcher(|d, now| d.reserved(attempt, &engine, reply, now));
}

/// Pushes a reservation's expiry forward.
pub async fn renew(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    if let Some(url) = reservation_url(&node, attempt, &engine) {
        let url = format!("{url}/renew");
        let _ = node.client.post(url).timeout(TIMEOUT).send().await;
    }
}

/// Gives memory back; the dispatcher repeats this until it is acknowledged.
pub async fn release(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    let Some(url) = reservation_url(&node, attempt, &engine) else {
        node.dispatcher.borrow_mut().released(attempt, &engine);
        return;
    };
    let answer = node.client.delete(url).timeout(TIMEOUT).send().await;
    let acknowledged = answer.is_ok_and(|r| matches!(r.status().as_u16(), 200 | 404));
    if acknowledged {
        node.dispatcher.borrow_mut().released(attempt, &engine);
    }
}

/// Frees what a report shows to have been left behind by a silent owner.
pub fn sweep(node: &Rc<Node>, engine: &EngineId, reservations: &[v1::Reservation]) {
    let listed: Vec<Listed> = reservations.iter().map(listed).collect();
    for orphan in reservation::orphans(&listed) {
        let Some(url) = node.engine_url(engine) else {
            return;
        };
        let url = format!("{url}/v1/reservations/{}", orphan.id);
        tracing::warn!(%engine, reservation = orphan.id, "engine: {engine} holds memory of a silent owner, released");
        metrics::counter!("cyclamengauge_orphans_released_total").increment(1);
        let client = node.client.clone();
        actix_rt::spawn(async move {
            let _ = client.delete(url).timeout(TIMEOUT).send().await;
        });
    }
}

async fn ask(node: &Rc<Node>, attempt: AttemptId, engine: &EngineId, memory: Tokens) -> Reply {
    let Some(url) = node.engine_url(engine) else {
        return Reply::Refused;
    };
    let wanted = v1::Reservation {
        id: node.attempt_name(attempt),
        owner: node.holder_name(),
        tokens: memory.get(),
        ttl_ms: reservation::RESERVATION_TTL.as_millis() as u32,
        idle_ms: 0,
    };
    let request = node
        .client
        .post(format!("{url}/v1/reservations"))
        .timeout(TIMEOUT);
    match request.send_json(&wanted).await {
        Ok(response) if response.status().as_u16() == 200 => Reply::Granted,
        Ok(_) => Reply::Refused,
        Err(awc::error::SendRequestError::Connect(_)) => Reply::Refused,
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

fn listed(entry: &v1::Reservation) -> Listed {
    Listed {
        id: entry.id.clone(),
        idle: Duration::from_millis(entry.idle_ms),
        ttl: Duration::from_millis(u64::from(entry.ttl_ms)),
    }
}
