//! Runs one attempt of a completion request on the engines of its plan.

use std::{rc::Rc, time::Duration};

use awc::error::SendRequestError;
use cyclamengauge_core::{
    dispatch::{Delivery, Failure, OutgoingAttempt},
    ids::{AttemptId, EngineId},
    routing,
};
use futures_util::{StreamExt, future};

use crate::{
    engines::{self, Event, EventReader},
    http,
    node::{Node, ResponseEvent, TextChunk},
};

/// Longest wait for a client to read buffered text before it counts as disconnected.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(10);

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt ended.
enum AttemptEnd {
    Completed,
    Failed(Failure),
    ClientDisconnected,
    /// The dispatcher dropped the attempt's tokens, or the request has ended.
    Superseded,
}

/// Runs an attempt to its end and reports the end to the dispatcher.
pub async fn run_attempt(node: Rc<Node>, outgoing: OutgoingAttempt) {
    let attempt = outgoing.attempt;
    let request = outgoing.request;
    let end = match prefill_segments(&node, &outgoing).await {
        Ok(()) => stream_response(&node, &outgoing).await,
        Err(failure) => AttemptEnd::Failed(failure),
    };
    match end {
        AttemptEnd::Completed => node.update_dispatcher(|d, now| d.handle_completion(attempt, now)),
        AttemptEnd::Failed(failure) => {
            node.update_dispatcher(|d, now| d.handle_failure(attempt, failure, now))
        }
        AttemptEnd::ClientDisconnected => {
            node.update_dispatcher(|d, now| d.handle_client_disconnect(request, now))
        }
        AttemptEnd::Superseded => {}
    }
}

/// Cancels an attempt on an engine. Closing the connection cancels the attempt as
/// well; the explicit request covers a connection that a network fault leaves
/// half open.
pub async fn cancel_attempt(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    let Some(url) = node.engine_url(&engine) else {
        return;
    };
    let url = format!("{url}/v1/attempts/{}", node.attempt_name(attempt));
    let _ = node.client.delete(url).timeout(CANCEL_TIMEOUT).send().await;
}

/// Prefills the segments of a split prompt on all engines of its group in parallel.
async fn prefill_segments(node: &Rc<Node>, outgoing: &OutgoingAttempt) -> Result<(), Failure> {
    if outgoing.plan.segments.len() < 2 {
        return Ok(());
    }
    let segments = outgoing.plan.segments.iter();
    let prefills = segments.map(|segment| prefill_segment(node, outgoing, segment));
    future::try_join_all(prefills).await?;
    Ok(())
}

async fn prefill_segment(
    node: &Rc<Node>,
    outgoing: &OutgoingAttempt,
    segment: &routing::Segment,
) -> Result<(), Failure> {
    let url = node.engine_url(&segment.engine).ok_or(Failure::NotSent)?;
    let attempt_name = node.attempt_name(outgoing.attempt);
    let request = node
        .client
        .post(format!("{url}/v1/segments"))
        .insert_header((engines::RESERVATION_HEADER, attempt_name.as_str()))
        .insert_header((
            engines::PRIORITY_HEADER,
            outgoing.plan.priority.0.to_string(),
        ))
        .insert_header((
            engines::PROMPT_TOKENS_HEADER,
            segment.prefill_tokens.get().to_string(),
        ))
        .timeout(node.clock.until(outgoing.deadline));
    let response = request
        .send()
        .await
        .map_err(|err| failure_from_error(&err))?;
    match response.status().as_u16() {
        200 => Ok(()),
        _ => Err(Failure::Rejected),
    }
}

/// Sends the request to the lead engine and forwards its response to the client.
async fn stream_response(node: &Rc<Node>, outgoing: &OutgoingAttempt) -> AttemptEnd {
    let lead_segment = &outgoing.plan.segments[0];
    let (Some(url), Some((path, body))) = (
        node.engine_url(&lead_segment.engine),
        request_path_and_body(node, outgoing),
    ) else {
        return AttemptEnd::Failed(Failure::NotSent);
    };
    let attempt_name = node.attempt_name(outgoing.attempt);
    let remaining = node.clock.until(outgoing.deadline);
    let mut request = node
        .client
        .post(format!("{url}{path}"))
        .insert_header(("content-type", "application/json"))
        .insert_header((engines::ATTEMPT_HEADER, attempt_name.as_str()))
        .insert_header((
            engines::PRIORITY_HEADER,
            outgoing.plan.priority.0.to_string(),
        ))
        .insert_header((engines::DEADLINE_HEADER, remaining.as_millis().to_string()))
        .insert_header((
            engines::RESUME_FROM_HEADER,
            outgoing.resume_from.to_string(),
        ))
        .insert_header((
            engines::PROMPT_TOKENS_HEADER,
            (lead_segment.prefill_tokens + outgoing.plan.cached)
                .get()
                .to_string(),
        ))
        .timeout(remaining);
    if outgoing.plan.segments.len() > 1 {
        request = request.insert_header((engines::RESERVATION_HEADER, attempt_name.as_str()));
    }
    let mut response = match request.send_body(body).await {
        Ok(response) => response,
        Err(err) => return AttemptEnd::Failed(failure_from_error(&err)),
    };
    if response.status().as_u16() != 200 {
        return AttemptEnd::Failed(Failure::Rejected);
    }
    let mut reader = EventReader::default();
    let mut turn = http::BodyTurn::default();
    while let Some(Ok(bytes)) = response.next().await {
        turn.record(&bytes).await;
        reader.push(&bytes);
        while let Some(event) = reader.next_event() {
            if let Some(end) = handle_event(node, outgoing, &attempt_name, event).await {
                return end;
            }
        }
    }
    AttemptEnd::Failed(Failure::Broken)
}

fn request_path_and_body(
    node: &Node,
    outgoing: &OutgoingAttempt,
) -> Option<(&'static str, bytes::Bytes)> {
    let clients = node.pending_requests.borrow();
    let client = clients.get(&outgoing.request)?;
    Some((client.path, client.body.clone()))
}

/// Forwards an event to the client; returns how the attempt ended, if it did.
async fn handle_event(
    node: &Rc<Node>,
    outgoing: &OutgoingAttempt,
    attempt_name: &str,
    event: Event,
) -> Option<AttemptEnd> {
    let mut tokens = match event {
        Event::Done => return Some(AttemptEnd::Completed),
        Event::Malformed => return Some(AttemptEnd::Failed(Failure::OutOfSequence)),
        Event::Tokens(tokens) => tokens,
    };
    if tokens.attempt != attempt_name {
        return Some(AttemptEnd::Failed(Failure::OutOfSequence));
    }
    let lead_engine = &outgoing.plan.segments[0].engine;
    if let Some(report) = tokens.report.take() {
        engines::apply_report(node, lead_engine, report);
    }
    let now = node.clock.now();
    let (delivery, actions) = node.dispatcher.borrow_mut().handle_tokens(
        outgoing.attempt,
        tokens.position,
        tokens.count,
        now,
    );
    node.execute_actions(actions);
    if delivery == Delivery::Drop {
        return Some(AttemptEnd::Superseded);
    }
    let (text, finish_reason) = tokens.into_text_and_finish_reason();
    let event = ResponseEvent::Text(TextChunk {
        text,
        finish_reason,
    });
    forward_event(node, outgoing, event).await
}

/// Queues an event of the response for the client; waits up to
/// `CLIENT_READ_TIMEOUT` if the queue is full.
async fn forward_event(
    node: &Rc<Node>,
    outgoing: &OutgoingAttempt,
    event: ResponseEvent,
) -> Option<AttemptEnd> {
    let sender = {
        let clients = node.pending_requests.borrow();
        clients
            .get(&outgoing.request)
            .map(|client| client.events.clone())
    };
    let Some(sender) = sender else {
        return Some(AttemptEnd::Superseded);
    };
    match sender.try_send(event) {
        Ok(()) => None,
        Err(tokio::sync::mpsc::error::TrySendError::Closed(_)) => {
            Some(AttemptEnd::ClientDisconnected)
        }
        Err(tokio::sync::mpsc::error::TrySendError::Full(event)) => {
            let sent = actix_rt::time::timeout(CLIENT_READ_TIMEOUT, sender.send(event)).await;
            match sent {
                Ok(Ok(())) => None,
                _ => Some(AttemptEnd::ClientDisconnected),
            }
        }
    }
}

fn failure_from_error(err: &SendRequestError) -> Failure {
    match http::is_unsent(err) {
        true => Failure::NotSent,
        false => Failure::Broken,
    }
}
