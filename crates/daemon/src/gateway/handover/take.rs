//! Takes the requests that peers hand over.

use std::{rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use anyhow::Context;
use cyclamengauge_core::{
    clock::Instant,
    ids::{InstanceId, ServiceId},
    serving::handover::Rejection,
    text::SmolStr,
};
use cyclamengauge_schema::v1;
use prost::Message;

use crate::{
    gateway::{
        Gateway,
        attempt::{ClientRequest, TakenOverGuard},
        client_body,
        handover::{
            codec::{self, TakenRequest},
            outcome::{OUTCOME_HEADER, Outcome},
            replies,
        },
        response::GatewayError,
    },
    http as server,
    telemetry::{process_events, trace::Trace, trace::TraceEvent},
};

/// Time for the body of a peer's message to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest size of a message beyond the body of the client's request.
const MAX_MESSAGE_OVERHEAD_BYTES: usize = 256 * 1024;

/// Shortest interval between two log lines about rejected messages.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Takes a request that a peer hands over.
///
/// # Errors
///
/// The response to the peer, if the message is not valid or not taken.
pub async fn take(
    gateway: &Rc<Gateway>,
    mut request: Request,
) -> Result<TakenRequest, Response<BoxBody>> {
    let max_body_bytes = gateway
        .route_table()
        .map_or(0, |table| table.limits().max_body_bytes);
    let max_bytes = max_body_bytes.saturating_add(MAX_MESSAGE_OVERHEAD_BYTES);
    let latest = gateway.clock.now() + BODY_TIMEOUT;
    let received = client_body::receive(gateway, &mut request, None, max_bytes, latest).await;
    let message = received
        .map_err(|err| anyhow::anyhow!("read a peer's request: {}", err.name()))
        .and_then(|received| Ok((authenticate(gateway, &received.body)?, received.memory)));
    let (message, body_memory) = match message {
        Ok(message) => message,
        Err(err) => {
            reject(gateway, &err);
            return Err(server::text(403, "rejected\n"));
        }
    };
    let sender = InstanceId::new(&message.sender);
    let taken =
        gateway
            .taken_over
            .borrow_mut()
            .begin(&sender, message.sender_incarnation, message.number);
    let guard = match taken {
        Ok(()) => TakenOverGuard::new(gateway),
        Err(rejection @ Rejection::Full) => return Err(replies::refuse(rejection.name(), None)),
        Err(rejection @ Rejection::Repeated) => {
            let number = message.number;
            let name = rejection.name();
            let err = anyhow::anyhow!("take request {number} of {sender}: {name}");
            reject(gateway, &err);
            let mut response = server::text(403, "rejected\n");
            // The copy that came first may have run.
            replies::insert(&mut response, OUTCOME_HEADER, Outcome::Broken.name());
            return Err(response);
        }
    };
    let trace = Trace::begin_taken_over(&gateway.request_log, SmolStr::new(&message.request));
    trace.add(TraceEvent::TakenOver {
        sender,
        service: ServiceId::new(&message.service),
        time_to_deadline: Duration::from_millis(message.time_left_ms),
        configuration_version: message.configuration_version,
    });
    match codec::decode(gateway, message, trace) {
        Ok((request, origin)) => Ok(TakenRequest {
            request: ClientRequest {
                _body_memory: body_memory,
                ..request
            },
            origin,
            guard,
        }),
        Err(err) => {
            reject(gateway, &err);
            Err(replies::refuse(GatewayError::BadRequest.name(), None))
        }
    }
}

/// Decodes a message and checks that an instance has sent it to this process.
fn authenticate(gateway: &Gateway, body: &[u8]) -> anyhow::Result<v1::HandedOverRequest> {
    let mut message = v1::HandedOverRequest::decode(body).context("decode a peer's request")?;
    let mac = std::mem::take(&mut message.mac);
    let sender = &message.sender;
    anyhow::ensure!(
        gateway.peer_keys.verify(&message.encode_to_vec(), &mac),
        "take a request of `{sender}`: its MAC is not valid"
    );
    let instance = gateway.settings.borrow().instance.to_string();
    anyhow::ensure!(
        message.recipient == instance && message.recipient_incarnation == gateway.incarnation,
        "take a request of `{sender}`: it is for process {} of `{}`",
        message.recipient_incarnation,
        message.recipient
    );
    Ok(message)
}

/// Counts a message that is not taken, and logs it unless another one was logged lately.
fn reject(gateway: &Gateway, err: &anyhow::Error) {
    metrics::counter!("cyclamengauge_rejected_handovers_total").increment(1);
    let now = gateway.clock.now();
    let logged_at = &gateway.rejection_logged_at;
    let is_due = |at: Instant| now - at >= REJECTION_LOG_INTERVAL;
    if logged_at.get().is_none_or(is_due) {
        logged_at.set(Some(now));
        process_events::log_peer_faulty("", err);
    }
}
