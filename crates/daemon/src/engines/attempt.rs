//! One attempt at a completion on its engines.

use std::{rc::Rc, time::Duration};

use awc::error::SendRequestError;
use cyclamengauge_core::{
    dispatch::{Delivery, Failure, Sending},
    ids::{AttemptId, EngineId},
    routing,
};
use futures_util::{StreamExt, future};

use crate::{
    engines::{self, Event, EventReader},
    node::{Node, ResponseEvent, TextChunk},
};

/// Time for which a caller may leave text untaken.
const SLOW_CALLER: Duration = Duration::from_secs(10);

/// Time for a cancellation to be acknowledged.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt's stream ended.
enum Ended {
    Whole,
    Failed(Failure),
    CallerGone,
    Superseded,
}

/// Runs an attempt to its end and tells the dispatcher.
pub async fn run_attempt(node: Rc<Node>, sending: Sending) {
    let attempt = sending.attempt;
    let request = sending.request;
    let ended = match read_segments(&node, &sending).await {
        Ok(()) => stream(&node, &sending).await,
        Err(failure) => Ended::Failed(failure),
    };
    match ended {
        Ended::Whole => node.update_dispatcher(|d, now| d.completed(attempt, now)),
        Ended::Failed(failure) => node.update_dispatcher(|d, now| d.failed(attempt, failure, now)),
        Ended::CallerGone => node.update_dispatcher(|d, now| d.caller_gone(request, now)),
        Ended::Superseded => {}
    }
}

/// Cancels an attempt on an engine. The closed connection cancels it as well;
/// this covers a connection that a network fault keeps half open.
pub async fn cancel(node: Rc<Node>, attempt: AttemptId, engine: EngineId) {
    let Some(url) = node.engine_url(&engine) else {
        return;
    };
    let url = format!("{url}/v1/attempts/{}", node.attempt_name(attempt));
    let _ = node.client.delete(url).timeout(CANCEL_TIMEOUT).send().await;
}

/// Lets the members of a group read their segments, all at a time.
async fn read_segments(node: &Rc<Node>, sending: &Sending) -> Result<(), Failure> {
    if sending.plan.segments.len() < 2 {
        return Ok(());
    }
    let segments = sending.plan.segments.iter();
    let reading = segments.map(|segment| read_segment(node, sending, segment));
    future::try_join_all(reading).await?;
    Ok(())
}

async fn read_segment(
    node: &Rc<Node>,
    sending: &Sending,
    segment: &routing::Segment,
) -> Result<(), Failure> {
    let url = node.engine_url(&segment.engine).ok_or(Failure::NotSent)?;
    let name = node.attempt_name(sending.attempt);
    let request = node
        .client
        .post(format!("{url}/v1/segments"))
        .insert_header((engines::RESERVATION, name.as_str()))
        .insert_header((engines::PRIORITY, sending.plan.priority.0.to_string()))
        .insert_header((engines::PROMPT_TOKENS, segment.unread.get().to_string()))
        .timeout(node.clock.until(sending.deadline));
    let response = request.send().await.map_err(|err| failure_of(&err))?;
    match response.status().as_u16() {
        200 => Ok(()),
        _ => Err(Failure::Rejected),
    }
}

async fn stream(node: &Rc<Node>, sending: &Sending) -> Ended {
    let lead = &sending.plan.segments[0];
    let (Some(url), Some((path, body))) = (node.engine_url(&lead.engine), body_of(node, sending))
    else {
        return Ended::Failed(Failure::NotSent);
    };
    let name = node.attempt_name(sending.attempt);
    let left = node.clock.until(sending.deadline);
    let mut request = node
        .client
        .post(format!("{url}{path}"))
        .insert_header(("content-type", "application/json"))
        .insert_header((engines::ATTEMPT, name.as_str()))
        .insert_header((engines::PRIORITY, sending.plan.priority.0.to_string()))
        .insert_header((engines::DEADLINE_MS, left.as_millis().to_string()))
        .insert_header((engines::RESUME_FROM, sending.resume_from.to_string()))
        .insert_header((
            engines::PROMPT_TOKENS,
            (lead.unread + sending.plan.cached).get().to_string(),
        ))
        .timeout(left);
    if sending.plan.segments.len() > 1 {
        request = request.insert_header((engines::RESERVATION, name.as_str()));
    }
    let mut response = match request.send_body(body).await {
        Ok(response) => response,
        Err(err) => return Ended::Failed(failure_of(&err)),
    };
    if response.status().as_u16() != 200 {
        return Ended::Failed(Failure::Rejected);
    }
    let mut reader = EventReader::default();
    while let Some(Ok(bytes)) = response.next().await {
        reader.push(&bytes);
        while let Some(event) = reader.next_event() {
            if let Some(ended) = take_event(node, sending, &name, event).await {
                return ended;
            }
        }
    }
    Ended::Failed(Failure::Broken)
}

fn body_of(node: &Node, sending: &Sending) -> Option<(&'static str, bytes::Bytes)> {
    let pending_requests = node.pending_requests.borrow();
    let caller = pending_requests.get(&sending.request)?;
    Some((caller.path, caller.body.clone()))
}

/// Passes an event on; returns how the attempt ended, if it did.
async fn take_event(node: &Rc<Node>, sending: &Sending, name: &str, event: Event) -> Option<Ended> {
    let mut tokens = match event {
        Event::Done => return Some(Ended::Whole),
        Event::Malformed => return Some(Ended::Failed(Failure::OutOfSequence)),
        Event::Tokens(tokens) => tokens,
    };
    if tokens.attempt != name {
        return Some(Ended::Failed(Failure::OutOfSequence));
    }
    let lead = &sending.plan.segments[0].engine;
    if let Some(report) = tokens.report.take() {
        engines::take_report(node, lead, report);
    }
    let now = node.clock.now();
    let (delivery, actions) =
        node.dispatcher
            .borrow_mut()
            .tokens(sending.attempt, tokens.position, tokens.count, now);
    node.execute_actions(actions);
    if delivery == Delivery::Drop {
        return Some(Ended::Superseded);
    }
    let (text, finish_reason) = tokens.into_text();
    let piece = ResponseEvent::Text(TextChunk {
        text,
        finish_reason,
    });
    pass_on(node, sending, piece).await
}

async fn pass_on(node: &Rc<Node>, sending: &Sending, piece: ResponseEvent) -> Option<Ended> {
    let sender = {
        let pending_requests = node.pending_requests.borrow();
        pending_requests
            .get(&sending.request)
            .map(|c| c.events.clone())
    };
    let Some(sender) = sender else {
        return Some(Ended::Superseded);
    };
    match sender.try_send(piece) {
        Ok(()) => None,
        Err(tokio::sync::mpsc::error::TrySendError::Closed(_)) => Some(Ended::CallerGone),
        Err(tokio::sync::mpsc::error::TrySendError::Full(piece)) => {
            let sent = actix_rt::time::timeout(SLOW_CALLER, sender.send(piece)).await;
            match sent {
                Ok(Ok(())) => None,
                _ => Some(Ended::CallerGone),
            }
        }
    }
}

fn failure_of(err: &SendRequestError) -> Failure {
    match err {
        SendRequestError::Connect(_) => Failure::NotSent,
        _ => Failure::Broken,
    }
}
